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
    pub jobs: Vec<Name>,
    /// Where effects are taken in.
    pub effects: SocketAddr,
    /// Between two of one job, and between the look at the lease and the effect.
    pub every: Micros,
    pub pause: Micros,
}

/// How long an answer is waited for.
const ANSWER: Duration = Duration::from_secs(1);
/// Bytes of an answer at the most.
const LONGEST: usize = 1_024;

pub fn start(shared: &HostHandle, owners: &Rc<Leases>, settings: &Settings) {
    for job in &settings.jobs {
        if owners.register(job) {
            let work = work(shared.clone(), owners.clone(), job.clone(), settings.clone());
            shared.executor().spawn(work).detach();
        }
    }
}

async fn work(shared: HostHandle, owners: Rc<Leases>, job: Name, settings: Settings) {
    let (mut connection, mut number) = (None, 0u64);
    loop {
        Timer::after(Duration::from_micros(settings.every)).await;
        let Some(effect) = owners.authorize(&job, number) else {
            connection = None;
            continue;
        };
        number += 1;
        Timer::after(Duration::from_micros(settings.pause)).await;
        let said = async { Some(tell(settings.effects, &mut connection, &effect).await) };
        let late = async {
            Timer::after(ANSWER).await;
            None
        };
        match future::or(said, late).await {
            Some(Ok(None)) => {}
            Some(Ok(Some(highest))) => {
                warn!(shared.log(), #"owner.refused", "an effect was refused, as another owns the job";
                    "job" => &*job, "term" => effect.token().term, "highest" => highest.term);
                owners.effect_rejected(&job, highest);
            }
            // Whether it was taken in is not known; the next one tells.
            Some(Err(_)) | None => connection = None,
        }
    }
}

/// Sends an effect, and gives the fence that it was refused by, if it was.
async fn tell(
    to: SocketAddr,
    connection: &mut Option<BufReader<Async<TcpStream>>>,
    effect: &AuthorizedEffect<u64>,
) -> std::io::Result<Option<FencingToken>> {
    let fence = effect.token();
    let line = json!({ "job": &**effect.lease(), "term": fence.term, "run": fence.process.0, "number": effect.content() });
    let stream = match connection {
        Some(stream) => stream,
        None => connection.insert(BufReader::new(Async::<TcpStream>::connect(to).await?)),
    };
    stream.get_mut().write_all(format!("{line}\n").as_bytes()).await?;
    let mut answer = String::new();
    stream.read_line(&mut answer).await?;
    if answer.is_empty() || answer.len() > LONGEST {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    let answer: Value = serde_json::from_str(&answer)?;
    let number = |name: &str| answer.get(name).and_then(Value::as_u64);
    Ok(number("term").zip(number("run")).map(|(term, run)| FencingToken { term, process: ProcessId(run) }))
}
