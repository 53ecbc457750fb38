//! Exchanges with other gateways over streams, and questions of operators.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use fernscale_membership::packet::StreamMessage;
use futures_lite::{future, StreamExt};

use super::connection::{connect, dial_and_exchange, read, write, EXCHANGE_TIMEOUT};
use super::Membership;
use crate::transport::clock::unix;

/// Exchanges that others may have under way here. What is read of each before its seal is looked at has a bound, so that
/// strangers can't take more memory than all of them times that.
const MAX_INCOMING_EXCHANGES: usize = 4;
/// Messages that are on their way over streams at once, and likewise.
const MAX_OUTGOING_STREAMS: usize = 16;

/// Pause after a connection that could not be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(1);

/// Counts something that goes on, until it is dropped.
struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    fn new(counter: &Rc<Cell<usize>>) -> Self {
        counter.set(counter.get() + 1);
        CountGuard(counter.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Membership {
    /// Exchanges all that is known with another gateway.
    pub(super) fn begin_exchange(&self, to: SocketAddr) {
        let sealed = self.sealed_full_state();
        let work = dial_and_exchange(Some(self.local_ip), to, sealed);
        let Some(membership) = self.this.upgrade() else { return };
        let guard = CountGuard::new(&self.begun_exchanges);
        let work = async move {
            if let Ok(answer) = work.await {
                membership.handle_full_state_reply(&answer);
            }
            drop(guard);
        };
        self.host.executor().spawn(work).detach();
    }

    /// Sends sealed bytes that nobody answers.
    pub(super) fn send_stream(&self, to: SocketAddr, sealed: Vec<u8>) {
        let Some(membership) = self.this.upgrade().filter(|_| self.open_streams.get() < MAX_OUTGOING_STREAMS)
        else {
            return;
        };
        let guard = CountGuard::new(&self.open_streams);
        let work = async move {
            let send = async {
                let stream = connect(Some(membership.local_ip), to).await?;
                write(&stream, &sealed).await?;
                // Until the other has read it all: what is not read yet goes with a connection that is let go.
                let _ = read(&stream).await;
                Ok(())
            };
            let late = async {
                Timer::after(EXCHANGE_TIMEOUT).await;
                Err(io::Error::from(io::ErrorKind::TimedOut))
            };
            let _ = future::or(send, late).await;
            drop(guard);
        };
        self.host.executor().spawn(work).detach();
    }

    pub(super) fn sealed_full_state(&self) -> Vec<u8> {
        let state = self.node.borrow().full_state(self.host.clock().now());
        self.sealer.borrow_mut().seal(unix(), &StreamMessage::FullState(state))
    }

    pub(super) async fn accept_streams(self: Rc<Self>, listener: Async<TcpListener>) {
        let mut incoming = std::pin::pin!(listener.incoming());
        while let Some(stream) = incoming.next().await {
            let Ok(stream) = stream else {
                Timer::after(ACCEPT_RETRY_PAUSE).await;
                continue;
            };
            if self.open_exchanges.get() >= MAX_INCOMING_EXCHANGES {
                continue;
            }
            let guard = CountGuard::new(&self.open_exchanges);
            let membership = self.clone();
            self.host
                .executor()
                .spawn(async move {
                    let work = membership.exchange(stream);
                    let late = async {
                        Timer::after(EXCHANGE_TIMEOUT).await;
                        Err(io::Error::from(io::ErrorKind::TimedOut))
                    };
                    let _ = future::or(work, late).await;
                    drop(guard);
                })
                .detach();
        }
    }

    /// Somebody asks for all that is known here, and tells what it knows; or only asks who is there.
    async fn exchange(&self, stream: Async<TcpStream>) -> io::Result<()> {
        let bytes = read(&stream).await?;
        let opened = self.sealer.borrow_mut().open::<StreamMessage>(unix(), &bytes);
        let answer = match opened {
            Ok((sealed_by, StreamMessage::FullState(state))) if sealed_by == state.sender.instance => {
                self.node.borrow_mut().handle_full_state(self.host.clock().now(), state);
                self.drain_outputs();
                self.wake.notify(1);
                self.sealed_full_state()
            }
            Ok((_, StreamMessage::ListMembers)) => {
                let view = StreamMessage::Members(self.view());
                self.sealer.borrow_mut().seal(unix(), &view)
            }
            Ok((_, StreamMessage::ListCounters)) => {
                let totals =
                    StreamMessage::CounterTotals(self.node.borrow().counter_totals(self.host.clock().now()));
                self.sealer.borrow_mut().seal(unix(), &totals)
            }
            Ok((sealed_by, StreamMessage::Payload(sender, carried))) if sealed_by == sender.instance => {
                self.node.borrow_mut().handle_payload(self.host.clock().now(), sender, carried);
                self.drain_outputs();
                return Ok(());
            }
            Ok((_, StreamMessage::Query(channel, query))) => {
                let answer = self.responders.borrow().get(&channel).and_then(|responds| responds(&query));
                let answer = StreamMessage::QueryReply(answer.unwrap_or_default());
                self.sealer.borrow_mut().seal(unix(), &answer)
            }
            other => {
                let reason = other.err().map_or("it makes no sense here".into(), |reason| reason.to_string());
                self.log_rejected(stream.get_ref().peer_addr()?, &reason);
                return Ok(());
            }
        };
        write(&stream, &answer).await
    }

    fn handle_full_state_reply(&self, bytes: &[u8]) {
        let opened = self.sealer.borrow_mut().open::<StreamMessage>(unix(), bytes);
        if let Ok((sealed_by, StreamMessage::FullState(state))) = opened {
            if sealed_by == state.sender.instance {
                self.node.borrow_mut().handle_full_state(self.host.clock().now(), state);
                self.drain_outputs();
                self.wake.notify(1);
            }
        }
    }
}
