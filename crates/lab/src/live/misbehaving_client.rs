//! Clients that mean harm: what they send makes no sense, never ends, or is nothing at all. Each is owed an error or the
//! end of its connection in time, and must cost the others nothing.

use std::net::SocketAddr;
use std::rc::Rc;

use futures_lite::future;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::stream::Stream;
use super::{sleep, World};
use crate::history::Event;
use crate::request_ledger::MisbehaviorOutcome;
use crate::wire;
use crate::{Micros, SECOND};

/// In which such a client must have been told, beside the scenario's slack.
const TOLD_IN: Micros = 3 * SECOND;

/// Lane, plan and units that a usual client would name, so that only one thing is wrong at a time.
#[derive(Clone, Debug)]
pub struct Usual {
    pub lane: String,
    pub plan: String,
}

const KINDS: u32 = 18;

/// What one of them writes.
fn words(kind: u32, usual: &Usual, chance: &mut ChaCha8Rng) -> Vec<u8> {
    let (lane, plan) = (&usual.lane, &usual.plan);
    let call = |customer: &str, id: &str, list: String| {
        wire::write_command(&[b"CALL.GET", customer.as_bytes(), id.as_bytes(), list.as_bytes()])
    };
    let (customer, id) = ("00000000000000aa", format!("bad-{:x}", chance.gen::<u64>()));
    let good = format!("c={lane},t={plan},d=900");
    match kind {
        0 => (0..300).map(|_| chance.gen()).chain(*b"\r\n").collect(),
        1 => b"*1\r\n$-5\r\n".to_vec(),
        2 => b"*100000000\r\n$1\r\nx\r\n".to_vec(),
        3 => b"*2\r\n$60000000\r\nand it comes".to_vec(),
        4 => vec![b'A'; 300 * 1024],
        5 => call(customer, &id, format!("c=no-such-lane,t={plan},d=900")),
        6 => call(customer, &id, format!("c={lane},t=no-such-plan,d=900")),
        7 => call(customer, &id, format!("c={lane},t={plan},d=soon")),
        8 => call(customer, &id, format!("{good},units=nan")),
        9 => call(customer, &id, format!("{good},units=-4")),
        10 => call(customer, &id, format!("{good},units=1e300")),
        11 => call(customer, &id, format!("{good},spread=99999,first=0")),
        12 => call(customer, "", good),
        13 => call("not-a-customer-id", &id, good),
        14 => call("ffffffffffffffff", &id, good),
        15 => wire::write_command(&[b"FLUSHALL"]),
        16 => b"*3\r\n$8\r\nCALL.GET\r\n$16\r\n0000".to_vec(),
        _ => [call(customer, &id, format!("{good},d=900,d=800")), b"*0\r\n".to_vec()].concat(),
    }
}

/// How much harm is meant, and by what a usual client of this site would name.
#[derive(Clone, Debug)]
pub struct Harming {
    /// Clients that send what makes no sense, a second.
    pub a_second: f64,
    /// Connections held that say nothing.
    pub silent: u32,
    pub usual: Usual,
    pub seed: u64,
    pub slack: Micros,
}

/// Harms a gateway until it is told to stop by being dropped.
pub async fn harm(world: Rc<World>, gateway: u32, to: SocketAddr, how: Harming) {
    let Harming { a_second, silent, usual, seed, slack } = how;
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut kind = chance.gen_range(0..KINDS);
    let silence = async {
        let mut held = Vec::new();
        loop {
            held.retain(|stream: &Stream| stream.look().1);
            while held.len() < silent as usize {
                match Stream::dial(to, SECOND).await {
                    Ok(stream) => held.push(stream),
                    Err(_) => break,
                }
            }
            sleep(SECOND / 5).await;
        }
    };
    let noise = async {
        loop {
            sleep((SECOND as f64 / a_second.max(0.001)) as Micros).await;
            let bytes = words(kind, &usual, &mut chance);
            kind = (kind + 1) % KINDS;
            let own = world.clone();
            world.spawn(async move {
                if let Some(got) = one(&own, to, bytes, slack).await {
                    let now = own.now();
                    own.happened(now, Event::MisbehaviorEnded { gateway, got });
                }
            });
        }
    };
    future::or(silence, noise).await;
}

/// What one such client got; nothing where it could not even connect.
async fn one(world: &World, to: SocketAddr, bytes: Vec<u8>, slack: Micros) -> Option<MisbehaviorOutcome> {
    let stream = Stream::dial(to, SECOND).await.ok()?;
    let until = world.now() + TOLD_IN + slack;
    let mut other = stream.other();
    let write = async {
        let _ = stream.write(&bytes).await;
        future::pending::<MisbehaviorOutcome>().await
    };
    let read = async {
        loop {
            if let Some(first) = other.bytes.first() {
                let told = *first == b'-';
                let what = String::from_utf8_lossy(&other.bytes[..other.bytes.len().min(40)])
                    .escape_debug()
                    .to_string();
                return if told { MisbehaviorOutcome::Answered } else { MisbehaviorOutcome::Served(what) };
            }
            if other.more().await.is_err() {
                return MisbehaviorOutcome::Answered;
            }
        }
    };
    let late = async {
        world.until(until).await;
        MisbehaviorOutcome::Ignored
    };
    let got = future::or(read, future::or(write, late)).await;
    Some(got)
}
