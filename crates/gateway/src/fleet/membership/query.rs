//! Questions to a running gateway, for operators' commands.

use std::net::SocketAddr;

use fernscale_membership::packet::{CounterTotal, MembershipView, StreamMessage};
use fernscale_membership::payload::Channel;
use fernscale_membership::seal::{Key, Sealer};
use fernscale_shared_counter::pn_counter::Instance;

use super::connection::dial_and_exchange;
use crate::transport::clock::unix;

/// Asks a gateway of this installation something, by its keys.
fn call(to: SocketAddr, keys: &[Key], message: &StreamMessage) -> Result<StreamMessage, String> {
    let sealer = Sealer::new(keys.to_vec(), Instance(rand::random()));
    let mut sealer = sealer.ok_or("there is no key to ask with")?;
    let sealed = sealer.seal(unix(), message);
    let answer = async_io::block_on(dial_and_exchange(None, to, sealed));
    let answer = answer.map_err(|error| format!("the gateway at {to} does not answer: {error}"))?;
    let opened = sealer.open::<StreamMessage>(unix(), &answer);
    opened
        .map(|(_, message)| message)
        .map_err(|reason| format!("the gateway at {to} gives an answer that is not believed: {reason}"))
}

fn unexpected_reply(to: SocketAddr) -> String {
    format!("the gateway at {to} answers with something else")
}

/// Who is there, as a gateway sees it.
pub fn query_members(to: SocketAddr, keys: &[Key]) -> Result<MembershipView, String> {
    match call(to, keys, &StreamMessage::ListMembers)? {
        StreamMessage::Members(view) => Ok(view),
        _ => Err(unexpected_reply(to)),
    }
}

/// A question about something that the mesh only carries; the answer is empty where the gateway has nothing to say of it.
pub fn query(to: SocketAddr, keys: &[Key], channel: Channel, query: Vec<u8>) -> Result<Vec<u8>, String> {
    match call(to, keys, &StreamMessage::Query(channel, query))? {
        StreamMessage::QueryReply(answer) => Ok(answer),
        _ => Err(unexpected_reply(to)),
    }
}

/// What a gateway knows of all counts.
pub fn query_counters(to: SocketAddr, keys: &[Key]) -> Result<Vec<CounterTotal>, String> {
    match call(to, keys, &StreamMessage::ListCounters)? {
        StreamMessage::CounterTotals(totals) => Ok(totals),
        _ => Err(unexpected_reply(to)),
    }
}
