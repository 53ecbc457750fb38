//! The gateways' side of the connections of attempts: which of two attempts had been given up before the other was sent.
//!
//! The lab may come to read an attempt long after its gateway gave it up and sent another one, so that the order in which
//! attempts are read says nothing of that. The system keeps when the bytes and the end of a connection came.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use super::stream::{ReceiveTimes, Stream};

/// The connections of the attempts that are in flight at the stand-ins.
#[derive(Default)]
pub struct AttemptConnections {
    /// Connections from gateways to relays, by the address from which the relay goes on.
    relayed: RefCell<HashMap<SocketAddr, Stream>>,
    /// By request.
    in_flight: RefCell<HashMap<u64, Vec<InFlight>>>,
}

struct InFlight {
    attempt: usize,
    connection: Stream,
}

impl AttemptConnections {
    /// A relay passes on what comes on `from` by a connection that has this address, for as long as the guard is held.
    pub fn relay_opened(&self, going_on: SocketAddr, from: &Stream) -> RelayedConnection<'_> {
        self.relayed.borrow_mut().insert(going_on, from.other());
        RelayedConnection { connections: self, going_on }
    }

    /// The gateway's side of a connection on which an attempt has come.
    pub fn gateway_side(&self, stream: &Stream) -> Stream {
        let relayed = self.relayed.borrow();
        let from = stream.peer().and_then(|peer| relayed.get(&peer));
        from.unwrap_or(stream).other()
    }

    /// An attempt has come on the connection with this gateway's side.
    pub fn begin(&self, request: u64, attempt: usize, connection: Stream) {
        self.in_flight.borrow_mut().entry(request).or_default().push(InFlight { attempt, connection });
    }

    /// It has been answered, or its connection has ended.
    pub fn end(&self, request: u64, attempt: usize) {
        let mut in_flight = self.in_flight.borrow_mut();
        let Some(attempts) = in_flight.get_mut(&request) else { return };
        attempts.retain(|own| own.attempt != attempt);
        if attempts.is_empty() {
            in_flight.remove(&request);
        }
    }

    /// The request's attempts in flight that were never so together with the one that has come on `connection`: the gateway
    /// had ended the connection of one of the two before it sent the other.
    pub fn apart_from(&self, request: u64, connection: &Stream) -> Vec<usize> {
        let in_flight = self.in_flight.borrow();
        let attempts = in_flight.get(&request).into_iter().flatten();
        let apart = |other: &&InFlight| {
            ended_before_sent(connection, &other.connection)
                || ended_before_sent(&other.connection, connection)
        };
        attempts.filter(apart).map(|other| other.attempt).collect()
    }
}

/// A connection through a relay. Dropped, it leaves no handle behind that would keep the connection open.
pub struct RelayedConnection<'c> {
    connections: &'c AttemptConnections,
    going_on: SocketAddr,
}

impl Drop for RelayedConnection<'_> {
    fn drop(&mut self) {
        self.connections.relayed.borrow_mut().remove(&self.going_on);
    }
}

/// Whether one connection had been ended by its gateway when the bytes came on the other. False where the system does not
/// say so.
fn ended_before_sent(one: &Stream, other: &Stream) -> bool {
    // What is looked at first seems no earlier than it was.
    let sent = other.receive_times().map(|times| times.data);
    let ended = one.receive_times().and_then(|ReceiveTimes { end, .. }| end);
    sent.zip(ended).is_some_and(|(sent, ended)| ended >= sent)
}
