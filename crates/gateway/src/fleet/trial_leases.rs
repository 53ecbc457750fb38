//! Leases for tests of the lease subsystem: their holder sends an effect again and again to a recorder, as a line of JSON
//! with the fencing token. The recorder checks that there is one holder at a time and that a late effect is rejected.
//! Nothing that serves clients uses them.
//!
//! A pause lies between the authorization and the effect, as with a real one: the process may be stopped there, and resume
//! when another gateway holds the lease.

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
    /// The leases to hold.
    pub lease_names: Vec<Name>,
    /// Address of the recorder.
    pub effects_address: SocketAddr,
    /// Pause between two effects under one lease, in microseconds.
    pub effect_interval: Micros,
    /// Pause between the authorization and the effect, in microseconds.
    pub effect_delay: Micros,
}

/// How long to wait for the recorder's reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_REPLY_BYTES: usize = 1_024;

/// Registers the leases and starts a task for each that is new.
pub fn start(host: &HostHandle, leases: &Rc<Leases>, settings: &Settings) {
    for lease in &settings.lease_names {
        if leases.register(lease) {
            let task = run_lease(host.clone(), leases.clone(), lease.clone(), settings.clone());
            host.executor().spawn(task).detach();
        }
    }
}

async fn run_lease(host: HostHandle, leases: Rc<Leases>, lease: Name, settings: Settings) {
    let mut connection = None;
    let mut number = 0u64;
    loop {
        Timer::after(Duration::from_micros(settings.effect_interval)).await;
        let Some(effect) = leases.authorize(&lease, number) else {
            connection = None;
            continue;
        };
        number += 1;
        Timer::after(Duration::from_micros(settings.effect_delay)).await;
        let sent = async { Some(send_effect(settings.effects_address, &mut connection, &effect).await) };
        let timeout = async {
            Timer::after(REPLY_TIMEOUT).await;
            None
        };
        match future::or(sent, timeout).await {
            Some(Ok(None)) => {}
            Some(Ok(Some(highest))) => {
                warn!(host.log(), #"owner.refused", "an effect was refused, as another owns the job";
                    "job" => &*lease, "term" => effect.token().term, "highest" => highest.term);
                leases.effect_rejected(&lease, highest);
            }
            // Whether the effect was accepted is unknown; the next one shows it.
            Some(Err(_)) | None => connection = None,
        }
    }
}

/// Sends an effect. Gives the higher fencing token by which it was rejected, or nothing where it was accepted.
async fn send_effect(
    to: SocketAddr,
    connection: &mut Option<BufReader<Async<TcpStream>>>,
    effect: &AuthorizedEffect<u64>,
) -> std::io::Result<Option<FencingToken>> {
    let token = effect.token();
    let line = json!({ "job": &**effect.lease(), "term": token.term, "run": token.process.0, "number": effect.content() });
    let stream = match connection {
        Some(stream) => stream,
        None => connection.insert(BufReader::new(Async::<TcpStream>::connect(to).await?)),
    };
    stream.get_mut().write_all(format!("{line}\n").as_bytes()).await?;
    let mut reply = String::new();
    stream.read_line(&mut reply).await?;
    if reply.is_empty() || reply.len() > MAX_REPLY_BYTES {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    let reply: Value = serde_json::from_str(&reply)?;
    let number = |name: &str| reply.get(name).and_then(Value::as_u64);
    Ok(number("term").zip(number("run")).map(|(term, run)| FencingToken { term, process: ProcessId(run) }))
}
