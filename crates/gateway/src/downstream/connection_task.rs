//! The task of one client connection: it waits for input and replies, and keeps replies in the order of the commands.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use slog::debug;

use super::idle::{IdleConnections, IdleState};
use super::pipeline::{Pipeline, MAX_PIPELINED};
use super::SHUTDOWN_ACCEPT_PERIOD;
use crate::protocol::call::FinalAnswer;
use crate::rejection::EarlyRejection;
use crate::shared::{Event, FinalReply, Reservations, Shared};
use crate::transport::connection::{with_deadline, Connection};
use crate::transport::ending::ConnectionEnd;
use crate::transport::reply_memory::ReplyShare;

/// How long a client may pause in the middle of a command, or before its first command. Danger: clients that send nothing, or half
/// a command, would keep the slots from others.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_600);
/// How many bytes of a command a client must send each second beyond [`COMMAND_TIMEOUT`]. Danger: clients that send a byte now and
/// then would keep the slots, too.
const MIN_COMMAND_BYTES_PER_SECOND: u32 = 4 * 1024;
/// Divisor of the clients' slots for the part that idle connections with a single command may occupy while slots are scarce.
/// Danger: clients that open a connection for each request and never close it. Their front end runs out of connections once all
/// of them are idle here, and then no client can connect. They can't be distinguished from a connection pool that has used each
/// connection once, so no connection is evicted while slots are spare.
const ONE_COMMAND_DIVISOR: usize = 8;

/// The state that all connections of one listener share.
#[derive(Clone)]
pub(super) struct Context {
    pub(super) shared: Rc<Shared>,
    pub(super) events: Sender<Event>,
    pub(super) idle: IdleConnections,
    /// Closed when this gateway begins to shut down.
    pub(super) shutdown: Receiver<()>,
}

/// The number of a request in its connection's pipeline, its final reply, and its reservations.
pub(super) type NumberedReply = (u64, FinalReply, Reservations);

pub(super) struct ConnectionTask {
    pub(super) connection: Connection,
    pub(super) context: Context,
    /// The number of this connection at its listener.
    pub(super) number: u64,
    /// False if there was no slot to serve this connection: then its requests are only rejected.
    pub(super) is_served: bool,
    accepted_at: Instant,
    /// How long the bytes that were read last had waited in the kernel before this process read them.
    pub(super) input_delay: Duration,
    pub(super) pipeline: Pipeline,
    /// Memory for replies that are not written yet.
    pub(super) reply_share: ReplyShare,
    /// The sender that the dispatcher uses for final replies.
    pub(super) reply_sender: Sender<NumberedReply>,
    replies: Receiver<NumberedReply>,
    /// Notifies this connection that it is evicted to free its slot for another connection.
    pub(super) evict: Sender<()>,
    pub(super) evicted: Receiver<()>,
    /// Whether commands have waited unread, as the pipeline was full, since the client was last known to be there.
    has_backlog: bool,
    /// Whether no more commands are read, and the connection ends when all received commands are answered.
    pub(super) is_ending: bool,
    pub(super) invalid_commands: u32,
}

/// What the task handles next.
enum Input {
    Reply(NumberedReply),
    Read(Result<(), ConnectionEnd>),
    /// The connection ends, unless bytes have arrived on it meanwhile.
    End(ConnectionEnd),
}

impl ConnectionTask {
    pub(super) fn new(connection: Connection, context: Context, number: u64, is_served: bool) -> Self {
        let (reply_sender, replies) = async_channel::bounded(MAX_PIPELINED);
        let (evict, evicted) = async_channel::bounded(1);
        let reply_share = ReplyShare::new(&context.shared.limits.replies);
        ConnectionTask {
            connection,
            context,
            number,
            is_served,
            accepted_at: Instant::now(),
            input_delay: Duration::ZERO,
            pipeline: Pipeline::default(),
            reply_share,
            reply_sender,
            replies,
            evict,
            evicted,
            has_backlog: false,
            is_ending: false,
            invalid_commands: 0,
        }
    }

    pub(super) async fn run(mut self) {
        let end = self.serve().await;
        debug!(self.context.shared.log, #"client.ended", "a client's connection ended"; "how" => ?end);
        self.cancel_open_requests().await;
        match end {
            ConnectionEnd::Malformed | ConnectionEnd::ShuttingDown => self.linger().await,
            // The client may be sending a request at this moment, and must not get a reset for it.
            ConnectionEnd::Idle | ConnectionEnd::TimedOut => self.yield_slot().await,
            _ => {}
        }
    }

    /// Prevents further attempts for this client's open requests at once, and notifies the dispatcher.
    async fn cancel_open_requests(&mut self) {
        let open = self.pipeline.take_open();
        for request in &open {
            request.client_gone.set(true);
        }
        for request in open {
            let disconnected = Event::ClientDisconnected(request.id, request.ticket);
            drop(self.context.events.send(disconnected).await);
        }
    }

    async fn serve(&mut self) -> ConnectionEnd {
        loop {
            if let Err(end) = self.serve_next().await {
                return end;
            }
        }
    }

    /// Handles the commands in the buffer, writes the replies that are ready, and handles the next input.
    async fn serve_next(&mut self) -> Result<(), ConnectionEnd> {
        self.check_backlog()?;
        self.handle_commands().await?;
        self.has_backlog |= !self.can_take_command();
        // Bytes that are still in the buffer wait for space in the pipeline or for the rest of their command, not for this
        // process.
        self.input_delay = Duration::ZERO;
        let buffered = self.connection.buffer.filled().len();
        let was_full = !self.can_take_command();
        self.write_replies().await?;
        // Danger: the buffer may hold a complete command, and the client may send nothing more. The command was read while the
        // replies were written, or it was read earlier and the pipeline has space for it only now.
        let has_capacity_again = was_full && self.can_take_command();
        if has_capacity_again || self.connection.buffer.filled().len() > buffered {
            return Ok(());
        }
        if self.pipeline.is_empty() {
            self.check_still_open()?;
        }
        let input = match self.next_input().await {
            Input::End(end) if self.connection.is_open_and_idle() => return Err(end),
            // Bytes have arrived and take precedence. Waiting for the next input again would never read them.
            Input::End(_) => Input::Read(self.connection.read().await),
            input => input,
        };
        self.handle_input(input).await
    }

    /// Whether another command is taken now. If not, the client has to read replies first.
    pub(super) fn can_take_command(&self) -> bool {
        !self.pipeline.is_full() && self.reply_share.has_room()
    }

    /// Fails if the client has closed the connection behind commands that wait to be read. Danger: reading would show that only
    /// after they have all been forwarded.
    fn check_backlog(&mut self) -> Result<(), ConnectionEnd> {
        if !self.has_backlog {
            return Ok(());
        }
        if self.connection.is_closed_by_peer() {
            return Err(ConnectionEnd::Closed);
        }
        self.has_backlog = !(self.pipeline.is_empty() && self.connection.has_no_input());
        Ok(())
    }

    /// Fails with the reason to end a connection whose pipeline is empty, if there is one.
    fn check_still_open(&self) -> Result<(), ConnectionEnd> {
        if self.is_ending {
            return Err(ConnectionEnd::Malformed);
        }
        let ends_when_idle = self.context.shared.shutting_down_since.get().is_some() || !self.is_served;
        // The first command of a client that has just connected is still on its way. Commands that arrived meanwhile are
        // answered, and a command that has arrived in part may be completed until its timeout.
        if ends_when_idle && self.pipeline.received() > 0 && self.connection.has_no_input() {
            return Err(ConnectionEnd::ShuttingDown);
        }
        Ok(())
    }

    async fn handle_input(&mut self, input: Input) -> Result<(), ConnectionEnd> {
        match input {
            Input::Reply((number, reply, reservations)) => {
                self.pipeline.complete(number, reply, reservations);
                Ok(())
            }
            Input::Read(Ok(())) => {
                self.input_delay = self.connection.unread_time();
                Ok(())
            }
            Input::Read(Err(ConnectionEnd::Malformed)) => self.fail_protocol("the command is too long").await,
            Input::Read(Err(ConnectionEnd::OutOfMemory)) => {
                self.reject_unread();
                Ok(())
            }
            // A client that has sent nothing may still send a command, and would take an error for its reply.
            Input::Read(Err(ConnectionEnd::TimedOut)) if !self.connection.buffer.is_empty() => {
                self.fail_protocol("no whole command has come in time").await
            }
            Input::Read(Err(end)) | Input::End(end) => Err(end),
        }
    }

    /// Rejects a command that can't be read for lack of memory. It was not forwarded, so the client may retry it.
    fn reject_unread(&mut self) {
        let shared = &self.context.shared;
        EarlyRejection::NoMemory.record(&shared.log, &shared.metrics.unserved, None);
        let retry_after = shared.platform.max_retry_after;
        self.pipeline.push_ready(FinalAnswer::Rejected(retry_after).write(), None);
        self.is_ending = true;
    }

    async fn next_input(&mut self) -> Input {
        let is_reading = self.can_take_command() && !self.is_ending;
        let deadline = self.command_deadline();
        if self.pipeline.is_empty() {
            return self.next_input_while_idle(is_reading, deadline).await;
        }
        let reply = async {
            match self.replies.recv().await {
                Ok(reply) => Input::Reply(reply),
                Err(_) => Input::End(ConnectionEnd::ShuttingDown),
            }
        };
        future::or(reply, read(&mut self.connection, is_reading, deadline)).await
    }

    /// When the client has paused for too long or is too slow; `None` between two commands.
    fn command_deadline(&self) -> Option<Instant> {
        let buffer = &self.connection.buffer;
        let Some((began_at, last_received_at)) = buffer.message_began_at().zip(buffer.last_received_at())
        else {
            let has_received = self.pipeline.received() > 0;
            return (!has_received).then_some(self.accepted_at + COMMAND_TIMEOUT);
        };
        let received = u32::try_from(buffer.filled().len()).unwrap_or(u32::MAX);
        let allowed = COMMAND_TIMEOUT + Duration::from_secs(1) * received / MIN_COMMAND_BYTES_PER_SECOND;
        Some((last_received_at + COMMAND_TIMEOUT).min(began_at + allowed))
    }

    async fn next_input_while_idle(&mut self, is_reading: bool, deadline: Option<Instant>) -> Input {
        let state = IdleState::after_commands(self.pipeline.received());
        let idle_since = Instant::now();
        if state == IdleState::OneCommand {
            self.evict_after_one_command();
        }
        let entry = self.context.idle.enter(state, idle_since, self.number, self.evict.clone());
        let has_begun = !self.connection.buffer.is_empty();
        let shutdown = async {
            if has_begun || self.context.shutdown.recv().await.is_ok() {
                future::pending::<()>().await;
            }
            if state == IdleState::NoCommand {
                // The first command of a client that has just connected is still on its way.
                Timer::after(SHUTDOWN_ACCEPT_PERIOD).await;
            }
            Input::End(ConnectionEnd::ShuttingDown)
        };
        let evicted = async {
            let _ = self.evicted.recv().await;
            Input::End(ConnectionEnd::Idle)
        };
        let read = read(&mut self.connection, is_reading, deadline);
        let input = future::or(read, future::or(evicted, shutdown)).await;
        drop(entry);
        input
    }

    /// Evicts an idle connection with a single command if such connections occupy too many slots. The connection that becomes
    /// idle now is excluded: it is the most likely one to send another command, and may already be doing so.
    fn evict_after_one_command(&self) {
        let clients = &self.context.shared.limits.clients;
        if clients.has_third_free() {
            return;
        }
        let max_others = (clients.capacity() / ONE_COMMAND_DIVISOR).saturating_sub(1);
        if let Some(eviction) = self.context.idle.take_after_one_command(max_others) {
            eviction.request();
        }
    }
}

/// Reads bytes until the deadline. If no more commands are read, waits until the client disconnects.
async fn read(connection: &mut Connection, is_reading: bool, deadline: Option<Instant>) -> Input {
    if !is_reading {
        // Danger: a client that has filled its pipeline, or sent an invalid command, and then disconnects. No attempt may begin
        // for its requests any more, and its disconnect can't be detected behind unread bytes.
        return Input::Read(Err(connection.closed().await));
    }
    match deadline {
        None => Input::Read(connection.read().await),
        Some(deadline) => {
            Input::Read(with_deadline(deadline, ConnectionEnd::TimedOut, connection.read()).await)
        }
    }
}
