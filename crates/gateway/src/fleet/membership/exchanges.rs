//! Streams of the membership: exchanges of the full state with other gateways, messages that are too long for a datagram,
//! and operators' queries. This module bounds the number and the duration of streams. The membership package handles the
//! contents of messages.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use fernscale_membership::packet::{FullState, StreamMessage};
use futures_lite::{future, StreamExt};

use super::connection::{connect, dial_and_exchange, read_message, write_message, EXCHANGE_TIMEOUT};
use super::Membership;
use crate::transport::clock::unix;

/// Maximum number of incoming exchanges at a time. A message is read completely before its seal is checked, so without a
/// bound unauthenticated senders could use up the memory.
const MAX_INCOMING_EXCHANGES: usize = 4;
/// Maximum number of outgoing streams at a time. Messages beyond it are dropped, like messages lost on the network.
const MAX_OUTGOING_STREAMS: usize = 16;

/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(1);

/// Counts an open exchange or stream until the guard is dropped.
struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        CountGuard(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Membership {
    /// Sends the full state to another gateway and merges the state in the reply.
    pub(super) fn begin_exchange(&self, to: SocketAddr) {
        let exchange = dial_and_exchange(Some(self.local_ip), to, self.sealed_full_state());
        let Some(membership) = self.weak_self.upgrade() else { return };
        let guard = CountGuard::new(&self.outgoing_exchanges);
        let task = async move {
            if let Ok(reply) = exchange.await {
                membership.handle_full_state_reply(&reply);
            }
            drop(guard);
        };
        self.host.executor().spawn(task).detach();
    }

    /// Sends a sealed message that has no reply. The message is dropped if there are too many outgoing streams.
    pub(super) fn send_stream(&self, to: SocketAddr, sealed: Vec<u8>) {
        if self.outgoing_streams.get() >= MAX_OUTGOING_STREAMS {
            return;
        }
        let guard = CountGuard::new(&self.outgoing_streams);
        let local_ip = self.local_ip;
        let task = async move {
            let send = async {
                let stream = connect(Some(local_ip), to).await?;
                write_message(&stream, &sealed).await?;
                // Waits until the receiver closes the connection. Closing it first would discard data that the receiver has
                // not read yet.
                let _ = read_message(&stream).await;
                Ok(())
            };
            let _ = future::or(send, exchange_timeout()).await;
            drop(guard);
        };
        self.host.executor().spawn(task).detach();
    }

    /// Accepts streams until this gateway leaves the membership. Streams beyond the bound are closed.
    pub(super) async fn accept_streams(self: Rc<Self>, listener: Async<TcpListener>) {
        let mut incoming = std::pin::pin!(listener.incoming());
        while let Some(stream) = incoming.next().await {
            let Ok(stream) = stream else {
                Timer::after(ACCEPT_RETRY_PAUSE).await;
                continue;
            };
            if self.incoming_exchanges.get() >= MAX_INCOMING_EXCHANGES {
                continue;
            }
            let guard = CountGuard::new(&self.incoming_exchanges);
            let membership = self.clone();
            let task = async move {
                let _ = future::or(membership.serve_stream(stream), exchange_timeout()).await;
                drop(guard);
            };
            self.host.executor().spawn(task).detach();
        }
    }

    /// Handles the message of an accepted stream, and writes the reply if there is one.
    async fn serve_stream(&self, stream: Async<TcpStream>) -> io::Result<()> {
        let bytes = read_message(&stream).await?;
        let opened = self.sealer.borrow_mut().open::<StreamMessage>(unix(), &bytes);
        let reply = match opened {
            Ok((sealed_by, StreamMessage::FullState(state))) if sealed_by == state.sender.instance => {
                self.merge_full_state(state);
                self.sealed_full_state()
            }
            Ok((_, StreamMessage::ListMembers)) => self.seal(&StreamMessage::Members(self.view())),
            Ok((_, StreamMessage::ListCounters)) => {
                let totals = self.node.borrow().counter_totals(self.host.clock().now());
                self.seal(&StreamMessage::CounterTotals(totals))
            }
            Ok((sealed_by, StreamMessage::Payload(sender, payload))) if sealed_by == sender.instance => {
                self.node.borrow_mut().handle_payload(self.host.clock().now(), sender, payload);
                self.drain_outputs();
                return Ok(());
            }
            Ok((_, StreamMessage::Query(channel, query))) => {
                let reply = self.responders.borrow().get(&channel).and_then(|respond| respond(&query));
                self.seal(&StreamMessage::QueryReply(reply.unwrap_or_default()))
            }
            other => {
                let reason =
                    other.err().map_or("unexpected message type or sender".into(), |error| error.to_string());
                self.log_rejected(stream.get_ref().peer_addr()?, &reason);
                return Ok(());
            }
        };
        write_message(&stream, &reply).await
    }

    /// Merges the full state in a reply. Any other reply is ignored.
    fn handle_full_state_reply(&self, bytes: &[u8]) {
        let opened = self.sealer.borrow_mut().open::<StreamMessage>(unix(), bytes);
        match opened {
            Ok((sealed_by, StreamMessage::FullState(state))) if sealed_by == state.sender.instance => {
                self.merge_full_state(state);
            }
            _ => {}
        }
    }

    fn merge_full_state(&self, state: FullState) {
        self.node.borrow_mut().handle_full_state(self.host.clock().now(), state);
        self.drain_outputs();
        self.wake.notify(1);
    }

    fn sealed_full_state(&self) -> Vec<u8> {
        let state = self.node.borrow().full_state(self.host.clock().now());
        self.seal(&StreamMessage::FullState(state))
    }

    fn seal(&self, message: &StreamMessage) -> Vec<u8> {
        self.sealer.borrow_mut().seal(unix(), message)
    }
}

/// Fails with `TimedOut` after the time limit of an exchange.
async fn exchange_timeout() -> io::Result<()> {
    Timer::after(EXCHANGE_TIMEOUT).await;
    Err(io::Error::from(io::ErrorKind::TimedOut))
}
