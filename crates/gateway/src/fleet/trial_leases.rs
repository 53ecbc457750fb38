//! Jobs of trials: whoever owns one tells a stand-in so again and again, by lines of JSON that carry the fence. They show that
//! there is one owner at a time, and that a late one does no harm; nothing else uses them.
//!
//! Between the look at the lease and the effect stands a pause, which a real effect has as well: there a process may be
//! stopped, and wake up when another owns the job.

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

/// What a trial says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    pub lease_names: Vec<Name>,
    /// Where effects are taken in.
    pub effects_address: SocketAddr,
    /// Between two of one job, and between the look at the lease and the effect.
    pub effect_interval: Micros,
    pub effect_delay: Micros,
}

/// How long an answer is waited for.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of an answer at the most.
const MAX_REPLY_BYTES: usize = 1_024;

pub fn start(host: &HostHandle, leases: &Rc<Leases>, settings: &Settings) {
    for lease in &settings.lease_names {
        if leases.register(lease) {
            let run_lease = run_lease(host.clone(), leases.clone(), lease.clone(), settings.clone());
            host.executor().spawn(run_lease).detach();
        }
    }
}

async fn run_lease(host: HostHandle, leases: Rc<Leases>, lease: Name, settings: Settings) {
    let (mut connection, mut number) = (None, 0u64);
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
            // Whether it was taken in is not known; the next one tells.
            Some(Err(_)) | None => connection = None,
        }
    }
}

/// Sends an effect, and gives the fence that it was refused by, if it was.
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
