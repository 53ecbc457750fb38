//! The task of one client connection: it waits for what comes next, and keeps the order of commands and replies.

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

/// How long a client may take from connecting, or from the first byte of a command, to that command's end. Danger: clients that
/// send nothing, or half a command, would keep others out.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Part of the clients' slots, as its divisor, that idle connections on which one command has come may have while slots are
/// scarce. Danger: clients that open a connection for each request and never close it. Their front end runs out of
/// connections of its own once all of them are idle here, and then nobody comes. They can't be told from a connection
/// pool before its second round, so that none is evicted while there are spare slots.
const ASKED_ONCE_DIVISOR: usize = 8;

/// What the connections of one listener share.
#[derive(Clone)]
pub(super) struct Context {
    pub(super) shared: Rc<Shared>,
    pub(super) events: Sender<Event>,
    pub(super) idle: IdleConnections,
    /// Closed when this gateway shuts down.
    pub(super) shutdown: Receiver<()>,
}

/// The final reply to the request with a number in its connection's pipeline.
pub(super) type NumberedReply = (u64, FinalReply, Reservations);

pub(super) struct ConnectionTask {
    pub(super) connection: Connection,
    pub(super) context: Context,
    /// The number of this connection at its listener.
    pub(super) number: u64,
    /// False where there are only the descriptors to reject what comes.
    pub(super) is_served: bool,
    accepted_at: Instant,
    /// For how long what was read last had waited for this process.
    pub(super) input_delay: Duration,
    pub(super) pipeline: Pipeline,
    /// Where the dispatcher sends final replies.
    pub(super) reply_sender: Sender<NumberedReply>,
    replies: Receiver<NumberedReply>,
    /// Where this connection is notified that it is to make room for another.
    pub(super) evict: Sender<()>,
    pub(super) evicted: Receiver<()>,
    /// No more commands are read: the connection ends when all are answered.
    pub(super) is_ending: bool,
    pub(super) invalid_commands: u32,
}

/// What the task handles next.
enum Input {
    Reply(NumberedReply),
    Read(Result<(), ConnectionEnd>),
    /// The connection is to end, unless something has come on it meanwhile.
    End(ConnectionEnd),
}

impl ConnectionTask {
    pub(super) fn new(connection: Connection, context: Context, number: u64, is_served: bool) -> Self {
        let (reply_sender, replies) = async_channel::bounded(MAX_PIPELINED);
        let (evict, evicted) = async_channel::bounded(1);
        ConnectionTask {
            connection,
            context,
            number,
            is_served,
            accepted_at: Instant::now(),
            input_delay: Duration::ZERO,
            pipeline: Pipeline::default(),
            reply_sender,
            replies,
            evict,
            evicted,
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
            // A client that has sent nothing may be sending: what crosses the end must meet no reset.
            ConnectionEnd::Idle | ConnectionEnd::TimedOut => self.yield_slot().await,
            _ => {}
        }
    }

    /// Sees to it that no more attempts begin for this client, from this moment on, and notifies the dispatcher.
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

    /// Handles the commands that have come, writes the replies that are ready, and handles the next input.
    async fn serve_next(&mut self) -> Result<(), ConnectionEnd> {
        self.handle_commands().await?;
        // What is still in the buffer then waits for its turn, or for its rest.
        self.input_delay = Duration::ZERO;
        let buffered = self.connection.buffer.filled().len();
        let was_full = self.pipeline.is_full();
        self.write_replies().await?;
        // Danger: a complete command may be in the buffer, and nothing more may ever come. Either more was read while the
        // replies were written, or there is capacity again for what had come before.
        let has_capacity_again = was_full && !self.pipeline.is_full();
        if has_capacity_again || self.connection.buffer.filled().len() > buffered {
            return Ok(());
        }
        if self.pipeline.is_empty() {
            self.check_still_open()?;
        }
        let input = match self.next_input().await {
            Input::End(end) if self.connection.is_open_and_idle() => return Err(end),
            // Something has come and goes first. To wait for the next input again would never read it.
            Input::End(_) => Input::Read(self.connection.read().await),
            input => input,
        };
        self.handle_input(input).await
    }

    /// Whether a connection with an empty pipeline goes on.
    fn check_still_open(&self) -> Result<(), ConnectionEnd> {
        if self.is_ending {
            return Err(ConnectionEnd::Malformed);
        }
        let is_leaving = self.context.shared.shutting_down_since.get().is_some() || !self.is_served;
        // A client that has just connected has its first command on the way. What has come meanwhile is answered, and a command
        // that has begun to come has its time.
        if is_leaving && self.pipeline.received() > 0 && self.connection.has_no_input() {
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
            // A client that has sent nothing may yet ask, and would take an error for the answer.
            Input::Read(Err(ConnectionEnd::TimedOut)) if !self.connection.buffer.is_empty() => {
                self.fail_protocol("no whole command has come in time").await
            }
            Input::Read(Err(end)) | Input::End(end) => Err(end),
        }
    }

    /// Rejects a command that there is no memory to read. Nothing has been done with it, so that the client may retry it.
    fn reject_unread(&mut self) {
        let shared = &self.context.shared;
        EarlyRejection::NoMemory.record(&shared.log, &shared.metrics.unserved, None);
        let retry_after = shared.platform.max_retry_after;
        self.pipeline.push_ready(FinalAnswer::Rejected(retry_after).write(), None);
        self.is_ending = true;
    }

    async fn next_input(&mut self) -> Input {
        let is_reading = !self.pipeline.is_full() && !self.is_ending;
        let has_received = self.pipeline.received() > 0;
        let begun_at =
            self.connection.buffer.message_began_at().or((!has_received).then_some(self.accepted_at));
        let deadline = begun_at.map(|begun_at| begun_at + COMMAND_TIMEOUT);
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

    async fn next_input_while_idle(&mut self, is_reading: bool, deadline: Option<Instant>) -> Input {
        let state = IdleState::after_commands(self.pipeline.received());
        let idle_since = Instant::now();
        if state == IdleState::AskedOnce {
            self.evict_asked_once();
        }
        let entry = self.context.idle.enter(state, idle_since, self.number, self.evict.clone());
        let has_begun = !self.connection.buffer.is_empty();
        let shutdown = async {
            if has_begun || self.context.shutdown.recv().await.is_ok() {
                future::pending::<()>().await;
            }
            if state == IdleState::NeverAsked {
                // A client that has just connected has its first command on the way.
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

    /// Evicts one of the connections that asked once, where they have too many of the slots. The connection that becomes idle now is
    /// not among them: of all it is the likeliest to ask again, and may have begun to.
    fn evict_asked_once(&self) {
        let clients = &self.context.shared.limits.clients;
        if clients.has_third_free() {
            return;
        }
        let max_others = (clients.capacity() / ASKED_ONCE_DIVISOR).saturating_sub(1);
        if let Some(eviction) = self.context.idle.take_asked_once(max_others) {
            eviction.request();
        }
    }
}

/// Waits for bytes until the deadline, or for the client to disconnect where no more commands are read.
async fn read(connection: &mut Connection, is_reading: bool, deadline: Option<Instant>) -> Input {
    if !is_reading {
        // Danger: a client that has filled its pipeline, or sent something invalid, and disconnects. None of its requests may
        // begin an attempt any more, and its end can't be seen behind bytes that are not read.
        return Input::Read(Err(connection.closed().await));
    }
    match deadline {
        None => Input::Read(connection.read().await),
        Some(deadline) => {
            Input::Read(with_deadline(deadline, ConnectionEnd::TimedOut, connection.read()).await)
        }
    }
}
