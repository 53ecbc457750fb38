//! Queries to a running gateway, for operators' commands. They block the calling thread, so no gateway uses them itself.

use std::io;
use std::net::SocketAddr;

use fernscale_membership::packet::{CounterTotal, MembershipView, StreamMessage};
use fernscale_membership::payload::Channel;
use fernscale_membership::seal::{Key, OpenError, Sealer};
use fernscale_shared_counter::pn_counter::Instance;
use thiserror::Error;

use super::connection::dial_and_exchange;
use crate::transport::clock::unix;

/// Why a query has no reply.
#[derive(Debug, Error)]
pub enum QueryError {
    /// The configuration holds no key to seal a query with.
    #[error("there is no key to ask with")]
    NoKey,
    /// The gateway can't be reached, or sends no reply in time.
    #[error("the gateway at {gateway} does not answer: {error}")]
    NoReply {
        /// The address that was called.
        gateway: SocketAddr,
        /// What the connection met.
        error: io::Error,
    },
    /// The reply is not sealed with a key of the configuration, or not now.
    #[error("the gateway at {gateway} gives an answer that is not believed: {error}")]
    Unauthentic {
        /// The address that was called.
        gateway: SocketAddr,
        /// What is wrong with the seal.
        error: OpenError,
    },
    /// The reply is one to another query.
    #[error("the gateway at {gateway} answers with something else")]
    UnexpectedReply {
        /// The address that was called.
        gateway: SocketAddr,
    },
}

fn exchange(gateway: SocketAddr, keys: &[Key], query: &StreamMessage) -> Result<StreamMessage, QueryError> {
    let sealer = Sealer::new(keys.to_vec(), Instance(rand::random()));
    let mut sealer = sealer.ok_or(QueryError::NoKey)?;
    let sealed = sealer.seal(unix(), query);
    let reply = async_io::block_on(dial_and_exchange(None, gateway, sealed));
    let reply = reply.map_err(|error| QueryError::NoReply { gateway, error })?;
    let opened = sealer.open::<StreamMessage>(unix(), &reply);
    opened.map(|(_, message)| message).map_err(|error| QueryError::Unauthentic { gateway, error })
}

/// The members of the fleet, as a gateway sees them. `keys` are those of the installation.
///
/// # Errors
/// Each of [`QueryError`].
pub fn query_members(gateway: SocketAddr, keys: &[Key]) -> Result<MembershipView, QueryError> {
    match exchange(gateway, keys, &StreamMessage::ListMembers)? {
        StreamMessage::Members(view) => Ok(view),
        _ => Err(QueryError::UnexpectedReply { gateway }),
    }
}

/// The encoded reply to an encoded query of a channel; empty where the gateway does not run the channel's subsystem.
///
/// # Errors
/// Each of [`QueryError`].
pub fn query(
    gateway: SocketAddr,
    keys: &[Key],
    channel: Channel,
    query: Vec<u8>,
) -> Result<Vec<u8>, QueryError> {
    match exchange(gateway, keys, &StreamMessage::Query(channel, query))? {
        StreamMessage::QueryReply(reply) => Ok(reply),
        _ => Err(QueryError::UnexpectedReply { gateway }),
    }
}

/// The totals of all shared counters that a gateway knows of.
///
/// # Errors
/// Each of [`QueryError`].
pub fn query_counters(gateway: SocketAddr, keys: &[Key]) -> Result<Vec<CounterTotal>, QueryError> {
    match exchange(gateway, keys, &StreamMessage::ListCounters)? {
        StreamMessage::CounterTotals(totals) => Ok(totals),
        _ => Err(QueryError::UnexpectedReply { gateway }),
    }
}
