//! Leases for tests of the lease subsystem. The holder of such a lease repeatedly sends an effect to a recorder, as a line
//! of JSON that contains the fencing token. The recorder checks that there is one holder at a time and that a late effect
//! is rejected. No client request depends on these leases.
//!
//! There is a delay between the authorization of an effect and the effect, as there is with a real effect: the process may
//! be suspended in between and resume when another gateway holds the lease.

use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use fernscale_lease::candidate::AuthorizedEffect;
use fernscale_lease::{FencingToken, Name, ProcessId};
use fernscale_policy::Micros;
use futures_lite::io::BufReader;
use futures_lite::{future, AsyncBufReadExt, AsyncWriteExt};
use serde_json::{json, Value};
use slog::warn;

use super::host::HostHandle;
use super::leases::Leases;

/// The leases of the section `[trials]` of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Names of the leases to hold.
    pub lease_names: Vec<Name>,
    /// Address of the recorder.
    pub effects_address: SocketAddr,
    /// Interval between two effects under one lease, in microseconds.
    pub effect_interval: Micros,
    /// Delay between the authorization of an effect and the effect, in microseconds.
    pub effect_delay: Micros,
}

/// Time limit for sending an effect and receiving the recorder's reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum length of the recorder's reply, which is one line.
const MAX_REPLY_BYTES: usize = 1_024;

/// Registers the leases and starts a task for each lease that was not registered before.
pub fn start(host: &HostHandle, leases: &Rc<Leases>, settings: &Settings) {
    for lease in &settings.lease_names {
        if leases.register(lease) {
            let task = run_lease(host.clone(), leases.clone(), lease.clone(), settings.clone());
            host.executor().spawn(task).detach();
        }
    }
}

/// Sends effects while this gateway holds the lease.
async fn run_lease(host: HostHandle, leases: Rc<Leases>, lease: Name, settings: Settings) {
    let mut connection = None;
    let mut sequence_number = 0u64;
    loop {
        Timer::after(Duration::from_micros(settings.effect_interval)).await;
        let Some(effect) = leases.authorize(&lease, sequence_number) else {
            connection = None;
            continue;
        };
        sequence_number += 1;
        Timer::after(Duration::from_micros(settings.effect_delay)).await;
        let send = async { Some(send_effect(settings.effects_address, &mut connection, &effect).await) };
        let timeout = async {
            Timer::after(REPLY_TIMEOUT).await;
            None
        };
        match future::or(send, timeout).await {
            Some(Ok(None)) => {}
            Some(Ok(Some(highest))) => {
                warn!(host.log(), #"owner.refused", "the recorder rejected an effect: another gateway holds the lease";
                    "job" => &*lease, "term" => effect.token().term, "highest" => highest.term);
                leases.effect_rejected(&lease, highest);
            }
            // It is unknown whether the recorder accepted the effect. The reply to the next effect shows who holds the lease.
            Some(Err(_)) | None => connection = None,
        }
    }
}

/// Sends an effect to the recorder. Returns `None` if the recorder accepted the effect, or the higher fencing token because
/// of which the recorder rejected it.
async fn send_effect(
    recorder: SocketAddr,
    connection: &mut Option<BufReader<Async<TcpStream>>>,
    effect: &AuthorizedEffect<u64>,
) -> std::io::Result<Option<FencingToken>> {
    let token = effect.token();
    let line = json!({ "job": &**effect.lease(), "term": token.term, "run": token.process.0, "number": effect.content() });
    let stream = match connection {
        Some(stream) => stream,
        None => connection.insert(BufReader::new(Async::<TcpStream>::connect(recorder).await?)),
    };
    stream.get_mut().write_all(format!("{line}\n").as_bytes()).await?;
    let mut reply = String::new();
    stream.read_line(&mut reply).await?;
    if reply.is_empty() || reply.len() > MAX_REPLY_BYTES {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    let reply: Value = serde_json::from_str(&reply)?;
    let integer = |name: &str| reply.get(name).and_then(Value::as_u64);
    Ok(integer("term").zip(integer("run")).map(|(term, run)| FencingToken { term, process: ProcessId(run) }))
}
