//! Questions to a running gateway, for operators' commands.

use std::net::SocketAddr;

use fernscale_membership::packet::{CounterTotal, MembershipView, StreamMessage};
use fernscale_membership::payload::Channel;
use fernscale_membership::seal::{Key, Sealer};
use fernscale_shared_counter::pn_counter::Instance;

use super::connection::dial_and_exchange;
use crate::transport::clock::unix;

/// Asks a gateway of this installation something, by its keys.
fn ask(to: SocketAddr, keys: &[Key], what: &StreamMessage) -> Result<StreamMessage, String> {
    let sealer = Sealer::new(keys.to_vec(), Instance(rand::random()));
    let mut sealer = sealer.ok_or("there is no key to ask with")?;
    let sealed = sealer.seal(unix(), what);
    let answer = async_io::block_on(dial_and_exchange(None, to, sealed));
    let answer = answer.map_err(|error| format!("the gateway at {to} does not answer: {error}"))?;
    let opened = sealer.open::<StreamMessage>(unix(), &answer);
    opened
        .map(|(_, said)| said)
        .map_err(|why| format!("the gateway at {to} gives an answer that is not believed: {why}"))
}

fn something_else(to: SocketAddr) -> String {
    format!("the gateway at {to} answers with something else")
}

/// Who is there, as a gateway sees it.
pub fn query_members(to: SocketAddr, keys: &[Key]) -> Result<MembershipView, String> {
    match ask(to, keys, &StreamMessage::ListMembers)? {
        StreamMessage::Members(view) => Ok(view),
        _ => Err(something_else(to)),
    }
}

/// A question about something that the mesh only carries; the answer is empty where the gateway has nothing to say of it.
pub fn query(to: SocketAddr, keys: &[Key], kind: Channel, question: Vec<u8>) -> Result<Vec<u8>, String> {
    match ask(to, keys, &StreamMessage::Query(kind, question))? {
        StreamMessage::QueryReply(answer) => Ok(answer),
        _ => Err(something_else(to)),
    }
}

/// What a gateway knows of all counts.
pub fn query_counters(to: SocketAddr, keys: &[Key]) -> Result<Vec<CounterTotal>, String> {
    match ask(to, keys, &StreamMessage::ListCounters)? {
        StreamMessage::CounterTotals(sums) => Ok(sums),
        _ => Err(something_else(to)),
    }
}
