//! Exchanges with other gateways over streams, and questions of operators.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use fernscale_membership::packet::StreamMessage;
use futures_lite::{future, StreamExt};

use super::connection::{connect, dial_and_exchange, read, write, EXCHANGE};
use super::Membership;
use crate::transport::clock::unix;

/// Exchanges that others may have under way here. What is read of each before its seal is looked at has a bound, so that
/// strangers can't take more memory than all of them times that.
const EXCHANGES: usize = 4;
/// Messages that are on their way over streams at once, and likewise.
const STREAMS: usize = 16;

/// Pause after a connection that could not be accepted.
const PAUSE: Duration = Duration::from_millis(1);

/// Counts something that goes on, until it is dropped.
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
    /// Exchanges all that is known with another gateway.
    pub(super) fn begin_exchange(&self, to: SocketAddr) {
        let sealed = self.sealed_full();
        let work = dial_and_exchange(Some(self.from), to, sealed);
        let Some(mesh) = self.this.upgrade() else { return };
        let guard = CountGuard::new(&self.begun);
        let work = async move {
            if let Ok(answer) = work.await {
                mesh.full_came(&answer);
            }
            drop(guard);
        };
        self.host.executor().spawn(work).detach();
    }

    /// Sends sealed bytes that nobody answers.
    pub(super) fn stream(&self, to: SocketAddr, sealed: Vec<u8>) {
        let Some(mesh) = self.this.upgrade().filter(|_| self.streams.get() < STREAMS) else {
            return;
        };
        let guard = CountGuard::new(&self.streams);
        let work = async move {
            let send = async {
                let stream = connect(Some(mesh.from), to).await?;
                write(&stream, &sealed).await?;
                // Until the other has read it all: what is not read yet goes with a connection that is let go.
                let _ = read(&stream).await;
                Ok(())
            };
            let late = async {
                Timer::after(EXCHANGE).await;
                Err(io::Error::from(io::ErrorKind::TimedOut))
            };
            let _ = future::or(send, late).await;
            drop(guard);
        };
        self.host.executor().spawn(work).detach();
    }

    pub(super) fn sealed_full(&self) -> Vec<u8> {
        let full = self.node.borrow().full_state(self.host.clock().now());
        self.sealer.borrow_mut().seal(unix(), &StreamMessage::FullState(full))
    }

    pub(super) async fn exchanges(self: Rc<Self>, listener: Async<TcpListener>) {
        let mut incoming = std::pin::pin!(listener.incoming());
        while let Some(stream) = incoming.next().await {
            let Ok(stream) = stream else {
                Timer::after(PAUSE).await;
                continue;
            };
            if self.exchanges.get() >= EXCHANGES {
                continue;
            }
            let guard = CountGuard::new(&self.exchanges);
            let mesh = self.clone();
            self.host
                .executor()
                .spawn(async move {
                    let work = mesh.exchange(stream);
                    let late = async {
                        Timer::after(EXCHANGE).await;
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
            Ok((sealed_by, StreamMessage::FullState(full))) if sealed_by == full.sender.instance => {
                self.node.borrow_mut().handle_full_state(self.host.clock().now(), full);
                self.carry();
                self.wake.notify(1);
                self.sealed_full()
            }
            Ok((_, StreamMessage::ListMembers)) => {
                let view = StreamMessage::Members(self.view());
                self.sealer.borrow_mut().seal(unix(), &view)
            }
            Ok((_, StreamMessage::ListCounters)) => {
                let sums =
                    StreamMessage::CounterTotals(self.node.borrow().counter_totals(self.host.clock().now()));
                self.sealer.borrow_mut().seal(unix(), &sums)
            }
            Ok((sealed_by, StreamMessage::Payload(from, carried))) if sealed_by == from.instance => {
                self.node.borrow_mut().handle_payload(self.host.clock().now(), from, carried);
                self.carry();
                return Ok(());
            }
            Ok((_, StreamMessage::Query(kind, question))) => {
                let answer = self.answerers.borrow().get(&kind).and_then(|answers| answers(&question));
                let answer = StreamMessage::QueryReply(answer.unwrap_or_default());
                self.sealer.borrow_mut().seal(unix(), &answer)
            }
            other => {
                let why = other.err().map_or("it makes no sense here".into(), |why| why.to_string());
                self.refused(stream.get_ref().peer_addr()?, &why);
                return Ok(());
            }
        };
        write(&stream, &answer).await
    }

    fn full_came(&self, bytes: &[u8]) {
        let opened = self.sealer.borrow_mut().open::<StreamMessage>(unix(), bytes);
        if let Ok((sealed_by, StreamMessage::FullState(full))) = opened {
            if sealed_by == full.sender.instance {
                self.node.borrow_mut().handle_full_state(self.host.clock().now(), full);
                self.carry();
                self.wake.notify(1);
            }
        }
    }
}
