//! Asks gateways what their operators may ask: whom they see, what they know of counts, and that a server be left out.

use std::io;
use std::net::SocketAddr;

use fernscale_membership::packet::{MemberState, StreamMessage as Said};
use fernscale_membership::seal::{Key, Sealer};
use fernscale_shared_counter::pn_counter::Instance;
use futures_lite::future;

use super::stream::Stream;
use super::{sleep, World};
use crate::wire::Scanned;
use crate::{Micros, SECOND};

/// The key of all gateways of a run.
pub const KEY: &str = "00112233445566778899aabbccddeeff";
/// How long an answer is waited for.
const PATIENCE: Micros = SECOND;

/// What a gateway knows of each count: its name, the total, and the milliseconds it still lives.
pub type Sums = Vec<(String, f64, u32)>;

async fn in_time<T>(work: impl std::future::Future<Output = io::Result<T>>) -> io::Result<T> {
    let late = async {
        sleep(PATIENCE).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    };
    future::or(work, late).await
}

/// A message that is led by its length.
fn led(bytes: &[u8]) -> Scanned<Vec<u8>> {
    let Some(head) = bytes.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    Ok(bytes.get(4..4 + length).map(|message| (message.to_vec(), 4 + length)))
}

/// `ahead`: how far the gateway's clock is off, by which it would else not believe the call.
async fn ask(world: &World, to: SocketAddr, ahead: i64, what: Said) -> io::Result<Said> {
    let key = Key::parse(KEY).ok_or_else(|| io::Error::other("the key"))?;
    let sealer = Sealer::new(vec![key], Instance(rand::random()));
    let mut sealer = sealer.ok_or_else(|| io::Error::other("no key"))?;
    let unix = (world.start_unix + world.now()).saturating_add_signed(ahead);
    let sealed = sealer.seal(unix, &what);
    in_time(async {
        let mut stream = Stream::dial(to, PATIENCE).await?;
        stream.write(&(sealed.len() as u32).to_be_bytes()).await?;
        stream.write(&sealed).await?;
        let answer = stream.next(led).await?;
        let (_, said) = sealer.open(unix, &answer).map_err(io::Error::other)?;
        Ok(said)
    })
    .await
}

/// Whom a gateway sees, by where they are told to be: the live ones, and those that it suspects.
pub async fn view(world: &World, to: SocketAddr, ahead: i64) -> io::Result<(Vec<String>, Vec<String>)> {
    let Said::Members(view) = ask(world, to, ahead, Said::ListMembers).await? else {
        return Err(io::Error::other("no view"));
    };
    let of = |state| {
        let those = view.members.iter().filter(move |member| member.state == state);
        those.map(|member| member.peer.address.to_string()).collect()
    };
    Ok((of(MemberState::Alive), of(MemberState::Suspect)))
}

pub async fn sums(world: &World, to: SocketAddr, ahead: i64) -> io::Result<Sums> {
    let Said::CounterTotals(sums) = ask(world, to, ahead, Said::ListCounters).await? else {
        return Err(io::Error::other("no sums"));
    };
    Ok(sums.into_iter().map(|sum| (sum.key, sum.total, sum.expires_in_ms)).collect())
}

/// Calls a gateway's second address; gives the status.
pub async fn operate(to: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<u16> {
    in_time(async {
        let mut stream = Stream::dial(to, PATIENCE).await?;
        let length = body.len();
        let call = format!("{method} {path} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write(call.as_bytes()).await?;
        while stream.more().await.is_ok() {}
        let head = String::from_utf8_lossy(&stream.bytes).into_owned();
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        status.ok_or_else(|| io::Error::other("no status"))
    })
    .await
}
