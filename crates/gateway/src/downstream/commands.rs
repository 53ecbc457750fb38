//! How a connection task handles received commands: it hands requests to the dispatcher and answers all other commands itself.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use slog::debug;

use super::connection_task::ConnectionTask;
use super::idle::IdleState;
use super::pipeline::{MetricLabels, OpenRequest};
use super::{PROTOCOL_ERROR_INTERVAL, SHUTDOWN_ACCEPT_PERIOD};
use crate::operator::metrics::ResponseResult;
use crate::protocol::call::{self, Call, Command, FinalAnswer};
use crate::protocol::resp;
use crate::rejection::EarlyRejection;
use crate::shared::{Event, ReceivedRequest, ReplyHandle, Reservations};
use crate::transport::ending::ConnectionEnd;

/// Maximum number of invalid commands on one connection, which ends beyond it. An invalid command costs as much as a valid one.
const MAX_INVALID_COMMANDS: u32 = 16;
/// Maximum delay of an error reply to an invalid command.
const MAX_PROTOCOL_ERROR_DELAY: Duration = Duration::from_secs(1);

impl ConnectionTask {
    /// Handles the complete commands in the buffer as long as another one can be taken.
    pub(super) async fn handle_commands(&mut self) -> Result<(), ConnectionEnd> {
        while self.can_take_command() && !self.is_ending {
            let scanned = match resp::command(self.connection.buffer.filled()) {
                Ok(None) if self.connection.buffer.filled().len() < resp::MAX_MESSAGE_BYTES => return Ok(()),
                Ok(None) => Err("the command is too long"),
                Ok(Some((words, length))) => {
                    Ok((call::command(&words, &self.context.shared.platform), length))
                }
                Err(why) => Err(why),
            };
            match scanned {
                Ok((command, length)) => {
                    self.connection.buffer.consume(length);
                    self.handle_command(command).await?;
                }
                Err(why) => self.fail_protocol(why).await?,
            }
        }
        Ok(())
    }

    async fn handle_command(&mut self, command: Result<Command, String>) -> Result<(), ConnectionEnd> {
        match command {
            Ok(Command::Call(call)) => self.handle_call(call).await,
            Ok(Command::Ping) => self.pipeline.push_ready(self.ping_response(), None),
            Ok(Command::ConnectionSetup) => self.pipeline.push_ready(b"+OK\r\n".to_vec(), None),
            Err(why) => self.handle_invalid(&why).await?,
        }
        Ok(())
    }

    fn ping_response(&self) -> Vec<u8> {
        let shared = &self.context.shared;
        if shared.ready.get() && shared.shutting_down_since.get().is_none() {
            b"+PONG\r\n".to_vec()
        } else {
            call::error("not able to serve")
        }
    }

    /// Hands a request to the dispatcher, or rejects it. A rejected request was not forwarded, so the client may retry it.
    async fn handle_call(&mut self, call: Call) {
        let shared = &self.context.shared;
        let class = call.request.class;
        let reservations = match self.reserve(&call) {
            Ok(reservations) => reservations,
            Err(rejection) => {
                rejection.record(&shared.log, &shared.metrics.unserved, Some(&call.request.id));
                let response = FinalAnswer::Rejected(shared.platform.max_retry_after).write();
                let metric_labels = MetricLabels { class, result: ResponseResult::Rejected };
                return self.pipeline.push_ready(response, Some(metric_labels));
            }
        };
        let ticket = shared.next_ticket.get();
        shared.next_ticket.set(ticket + 1);
        let id = call.request.id.clone();
        let open = OpenRequest { id, ticket, client_gone: call.client_gone.clone() };
        let number = self.pipeline.push_open(open, class);
        let reply = ReplyHandle { ticket, number, sender: self.reply_sender.clone(), reservations };
        // Danger: a process that was suspended would give a server more time than the client has left.
        let now = Instant::now();
        let received_at = now.checked_sub(self.input_delay).unwrap_or(now);
        let received = ReceivedRequest { call, reply, received_at };
        drop(self.context.events.send(Event::RequestReceived(received)).await);
    }

    /// Reserves the slots that a request uses until its reply is written.
    fn reserve(&self, call: &Call) -> Result<Reservations, EarlyRejection> {
        if !self.is_served {
            return Err(EarlyRejection::NoConnectionSlot);
        }
        let shared = &self.context.shared;
        // Danger: a client that keeps sending on a busy connection would prevent the gateway from shutting down.
        // The time of a request is its arrival, not the time when a process that was suspended reads it.
        let received_after = |since: Instant| since.elapsed().saturating_sub(self.input_delay);
        let shutting_down_since = shared.shutting_down_since.get();
        if shutting_down_since.is_some_and(|since| received_after(since) >= SHUTDOWN_ACCEPT_PERIOD) {
            return Err(EarlyRejection::ShuttingDown);
        }
        let open = shared.limits.open.reserve(1).ok_or(EarlyRejection::NoRequestSlot)?;
        let bytes = shared.limits.bytes.reserve(call.memory_bytes()).ok_or(EarlyRejection::NoRequestSlot)?;
        let reply = self.reply_share.reserve().ok_or(EarlyRejection::NoMemory)?;
        Ok(Reservations { open, bytes, reply })
    }

    async fn handle_invalid(&mut self, why: &str) -> Result<(), ConnectionEnd> {
        self.invalid_commands += 1;
        if self.invalid_commands > MAX_INVALID_COMMANDS {
            return self.fail_protocol("too many commands make no sense").await;
        }
        debug!(self.context.shared.log, #"request.misread", "invalid command"; "why" => why);
        self.wait_for_error_permit().await?;
        self.pipeline.push_ready(call::error(why), None);
        Ok(())
    }

    /// Sends one error reply and ends the connection, as the boundaries of its commands are no longer known.
    pub(super) async fn fail_protocol(&mut self, why: &str) -> Result<(), ConnectionEnd> {
        debug!(self.context.shared.log, #"request.misread", "unreadable command; the connection will end"; "why" => why);
        self.wait_for_error_permit().await?;
        self.pipeline.push_ready(call::error(&format!("bad syntax: {why}")), None);
        self.is_ending = true;
        let unread = self.connection.buffer.filled().len();
        self.connection.buffer.consume(unread);
        Ok(())
    }

    /// Waits until the error reply to a command may be sent. If the connection is evicted meanwhile, it ends after that reply.
    async fn wait_for_error_permit(&mut self) -> Result<(), ConnectionEnd> {
        let next_error = &self.context.shared.next_protocol_error;
        let now = Instant::now();
        let permitted_at = next_error.get().max(now);
        next_error.set((permitted_at + PROTOCOL_ERROR_INTERVAL).min(now + MAX_PROTOCOL_ERROR_DELAY));
        if permitted_at == now {
            return Ok(());
        }
        let entry =
            self.context.idle.enter(IdleState::AwaitingErrorPermit, now, self.number, self.evict.clone());
        let permitted = async {
            Timer::at(permitted_at).await;
            Ok(false)
        };
        let evicted = async { Ok(self.evicted.recv().await.is_ok()) };
        let disconnected = async { Err(self.connection.closed().await) };
        let is_evicted = future::or(permitted, future::or(evicted, disconnected)).await;
        drop(entry);
        self.is_ending |= is_evicted?;
        Ok(())
    }
}
