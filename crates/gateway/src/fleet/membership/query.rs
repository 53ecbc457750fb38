//! Queries to a running gateway, for operators' commands. The queries block the calling thread, so the gateway itself does
//! not use them.

use std::io;
use std::net::SocketAddr;

use fernscale_membership::packet::{CounterTotal, MembershipView, StreamMessage};
use fernscale_membership::payload::Channel;
use fernscale_membership::seal::{Key, OpenError, Sealer};
use fernscale_shared_counter::pn_counter::Instance;
use thiserror::Error;

use super::connection::dial_and_exchange;
use crate::transport::clock::unix;

/// The error of a failed query.
#[derive(Debug, Error)]
pub enum QueryError {
    /// The configuration has no key to seal the query with.
    #[error("the configuration has no key to seal a query with")]
    NoKey,
    /// The gateway cannot be reached, or sends no reply in time.
    #[error("the gateway at {gateway} does not reply: {error}")]
    NoReply {
        /// The address of the gateway.
        gateway: SocketAddr,
        /// The error of the connection.
        error: io::Error,
    },
    /// The reply is not sealed with a configured key, or was not sealed recently.
    #[error("the reply of the gateway at {gateway} is not authentic: {error}")]
    Unauthentic {
        /// The address of the gateway.
        gateway: SocketAddr,
        /// Why the reply was rejected.
        error: OpenError,
    },
    /// The reply belongs to another kind of query.
    #[error("the gateway at {gateway} sends a reply to another kind of query")]
    UnexpectedReply {
        /// The address of the gateway.
        gateway: SocketAddr,
    },
}

/// Sends a query and returns the opened reply.
fn exchange(gateway: SocketAddr, keys: &[Key], query: &StreamMessage) -> Result<StreamMessage, QueryError> {
    let sealer = Sealer::new(keys.to_vec(), Instance(rand::random()));
    let mut sealer = sealer.ok_or(QueryError::NoKey)?;
    let sealed = sealer.seal(unix(), query);
    let reply = async_io::block_on(dial_and_exchange(None, gateway, sealed));
    let reply = reply.map_err(|error| QueryError::NoReply { gateway, error })?;
    let opened = sealer.open::<StreamMessage>(unix(), &reply);
    opened.map(|(_, message)| message).map_err(|error| QueryError::Unauthentic { gateway, error })
}

/// Queries the members of the fleet, as a gateway sees them. `keys` are the keys of the installation.
///
/// # Errors
/// See [`QueryError`].
pub fn query_members(gateway: SocketAddr, keys: &[Key]) -> Result<MembershipView, QueryError> {
    match exchange(gateway, keys, &StreamMessage::ListMembers)? {
        StreamMessage::Members(view) => Ok(view),
        _ => Err(QueryError::UnexpectedReply { gateway }),
    }
}

/// Sends an encoded query of a channel and returns the encoded reply, which is empty if the gateway does not run the
/// channel's subsystem.
///
/// # Errors
/// See [`QueryError`].
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

/// Queries the totals of all shared counters that a gateway knows of.
///
/// # Errors
/// See [`QueryError`].
pub fn query_counters(gateway: SocketAddr, keys: &[Key]) -> Result<Vec<CounterTotal>, QueryError> {
    match exchange(gateway, keys, &StreamMessage::ListCounters)? {
        StreamMessage::CounterTotals(totals) => Ok(totals),
        _ => Err(QueryError::UnexpectedReply { gateway }),
    }
}
