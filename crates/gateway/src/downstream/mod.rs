//! Clients: who is let in, and the task of each connection.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use fernscale_policy::Id;
use futures_lite::{future, StreamExt};
use slog::{debug, warn};

use crate::operator::metrics::ResponseResult;
use crate::protocol::call::{self, Command, FinalAnswer};
use crate::protocol::resp;
use crate::rejection::EarlyRejection;
use crate::shared::{
    Event, FinalReply, Piece, ReceivedRequest, ReplyHandle, Reservations, ResponseStream, Shared,
};
use crate::transport::buffer::Buffer;
use crate::transport::connection::{within, Connection};
use crate::transport::ending::ConnectionEnd;
use crate::transport::limits::Reservation;
use crate::transport::syscall::AcceptFailure;

/// Commands of one connection that are under way at once; beyond it no more are read.
const MAX_PIPELINED: usize = 32;
/// A client that takes no byte for so long is given up: its answers would be held for ever.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a client may take to read the error that ends its connection.
const LINGER: Duration = Duration::from_secs(1);
/// Pause while there is no place for another connection.
const SLOT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Part of the clients' places, as its divisor, that those may have who asked once and fell idle, once two thirds of
/// all places are taken. Danger: clients that come for one request and keep their connection. Whoever brings them in has so
/// many connections as well, and once all of those stand idle nobody comes. Who asks again is not of that kind; nor can
/// a pool be told from such a crowd before its second round, so that with room to spare nobody goes.
const ASKED_ONCE_DIVISOR: usize = 8;
/// How long a client's first command may be on its way once it has connected: whoever is pushed out before that comes
/// back, and pushes out another.
const FIRST_COMMAND_GRACE: Duration = Duration::from_millis(250);
/// After SIGTERM new connections keep coming for some tenths of a second; all that come until then are heard.
pub const STILL_COMING: Duration = Duration::from_millis(700);

/// How long a client may take from connecting, or from the first byte of a command, to that command's end: one that
/// says nothing, or half of it, is told so. Many of them must not keep others out; some that mean well take two seconds.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Commands of one connection that make no sense, beyond which it ends: each costs as much as one that does.
const MAX_INVALID_COMMANDS: u32 = 16;
/// Bytes that are still taken from a client that was told of an error, and the first pause between two reads of them,
/// which doubles: what such a client writes at full speed must cost little.
const MAX_LINGER_BYTES: usize = 64 * 1024;
const LINGER_PAUSE: Duration = Duration::from_millis(1);
/// Time between two errors about commands, for all clients together, or two who make room for others; and how long one
/// may wait for its turn: some come back with the same as soon as they are told, and would have all of a core.
const PROTOCOL_ERROR_INTERVAL: Duration = Duration::from_millis(2);
const MAX_PROTOCOL_ERROR_DELAY: Duration = Duration::from_secs(1);

/// Connections with nothing open: those that wait to hear what was wrong, those on which no command has come yet, those
/// with one, and those with more; in each, the longest idle first. The fewer have come, the less likely is another. Last
/// those that have left their place to another and are only read on, so that what crosses their end meets no reset.
#[derive(Default)]
struct IdleConnections([BTreeMap<(Instant, u64), Sender<()>>; 5]);

const DELAYED_ERROR: usize = 0;
const NEVER_ASKED: usize = 1;
const ASKED_ONCE: usize = 2;
const ASKED_AGAIN: usize = 3;
const LINGERING: usize = 4;

impl IdleConnections {
    /// Who is to make room for another: whoever asked wrongly, or has said nothing for longer than a first command
    /// takes; else one that asked once, else who says nothing, else the longest idle. And whether it asked wrongly.
    fn evictee(&mut self) -> Option<(Sender<()>, bool)> {
        let [wrong, silent, once, more, _] = &self.0;
        let asked_wrongly = !wrong.is_empty();
        let old =
            silent.first_key_value().is_some_and(|((since, _), _)| since.elapsed() >= FIRST_COMMAND_GRACE);
        let rank = match () {
            _ if asked_wrongly => DELAYED_ERROR,
            _ if old || once.is_empty() && !silent.is_empty() => NEVER_ASKED,
            _ if !once.is_empty() => return self.asked_once(0).map(|leave| (leave, false)),
            _ if !more.is_empty() => ASKED_AGAIN,
            _ => return None,
        };
        self.0[rank].pop_first().map(|(_, leave)| (leave, asked_wrongly))
    }

    /// One that asked once, where there are more of that kind than `most`, by a draw. Danger: pools that ask by turns. The
    /// longest idle is the next to ask there, so that with the longest idle gone none ever comes to ask again.
    fn asked_once(&mut self, most: usize) -> Option<Sender<()>> {
        let once = &mut self.0[ASKED_ONCE];
        if once.len() <= most {
            return None;
        }
        let key = *once.keys().nth(rand::random::<usize>() % once.len())?;
        once.remove(&key)
    }

    /// Who has been read on for longest.
    fn longest_lingering(&mut self) -> Option<Sender<()>> {
        self.0[LINGERING].pop_first().map(|(_, leave)| leave)
    }
}

pub use self::Listener as Door;

pub struct Listener {
    shared: Rc<Shared>,
    events: Sender<Event>,
    idle: Rc<RefCell<IdleConnections>>,
    /// Closed when this gateway ends.
    leave: Receiver<()>,
    accepted: u64,
}

impl Listener {
    pub fn new(shared: &Rc<Shared>, events: &Sender<Event>, leave: Receiver<()>) -> Self {
        Listener { shared: shared.clone(), events: events.clone(), idle: Rc::default(), leave, accepted: 0 }
    }

    /// Accepts clients. `shared`: another process accepts there too, and this one stops as soon as it ends.
    pub async fn run(mut self, listener: &Async<TcpListener>, shared: bool) {
        let mut incoming = std::pin::pin!(listener.incoming());
        let leave = self.leave.clone();
        loop {
            let left = async {
                if !shared || leave.recv().await.is_ok() {
                    future::pending::<()>().await;
                }
                None
            };
            let tightened = self.shared.limits_lowered.listen();
            let fewer = async {
                tightened.await;
                Some(None)
            };
            let came = async { incoming.next().await.map(Some) };
            let Some(came) = future::or(left, future::or(fewer, came)).await else { return };
            let Some(stream) = came else {
                self.evict_surplus();
                continue;
            };
            match stream {
                Ok(stream) => self.accept(stream).await,
                Err(error) => {
                    warn!(self.shared.log, #"client.not-accepted", "a client could not be accepted"; "why" => error.to_string());
                    Timer::after(AcceptFailure::classify(&error).backoff()).await;
                }
            }
        }
    }

    /// Another process of this gateway has a part of the places from now on, and can't have them until they are free.
    fn evict_surplus(&self) {
        let over = self.shared.limits.clients.used().saturating_sub(self.shared.limits.clients.capacity());
        for _ in 0..over {
            let Some((leave, _)) = self.idle.borrow_mut().evictee() else { return };
            let _ = leave.try_send(());
        }
    }

    async fn accept(&mut self, stream: Async<std::net::TcpStream>) {
        let (place, served) = loop {
            if let Some(place) = self.shared.limits.clients.reserve(1) {
                break (place, true);
            }
            let evictee = self.idle.borrow_mut().evictee();
            if let Some((leave, asked_wrongly)) = evictee {
                // It ends at its next turn, unless something has come on it meanwhile.
                let _ = leave.try_send(());
                let late = async {
                    Timer::after(SLOT_RETRY_INTERVAL).await;
                };
                future::or(leave.closed(), late).await;
                if asked_wrongly {
                    // It may be back with the same at once, and push out another.
                    Timer::after(PROTOCOL_ERROR_INTERVAL).await;
                }
                continue;
            }
            if let Some(place) = self.shared.limits.turned_away.reserve(1) {
                break (place, false);
            }
            let longest = self.idle.borrow_mut().longest_lingering();
            if let Some(leave) = longest {
                let _ = leave.try_send(());
            }
            Timer::after(SLOT_RETRY_INTERVAL).await;
        };
        let (answered, answers) = async_channel::bounded(MAX_PIPELINED);
        let (evict, evicted) = async_channel::bounded(1);
        self.accepted += 1;
        let buffer = Buffer::new(resp::MOST_MESSAGE, Some(self.shared.limits.from_clients.clone()));
        let client = ConnectionTask {
            connection: Connection::new(stream, buffer, Some(place)),
            shared: self.shared.clone(),
            events: self.events.clone(),
            idle: self.idle.clone(),
            evict,
            evicted,
            leave: self.leave.clone(),
            answered,
            answers,
            pending: VecDeque::new(),
            next_number: 0,
            is_served: served,
            is_ending: false,
            accepted_at: Instant::now(),
            number: self.accepted,
            invalid_commands: 0,
        };
        self.shared.executor.spawn(client.run()).detach();
        // Many may come in a row, and an idle one is known as such only once its task has run.
        future::yield_now().await;
    }
}

/// An answer in the form in which it is written.
enum Response {
    Complete(Vec<u8>),
    Streamed(ResponseStream),
}

/// A command that has come and is not answered yet; answers go out in the order of the commands.
struct PendingReply {
    number: u64,
    /// The transaction, its ticket and the word that its client has gone, as long as it has no answer.
    open: Option<(Id, u64, Rc<Cell<bool>>)>,
    answer: Option<(Response, Option<Reservations>)>,
    /// The class, and under what its answer is counted once it is written.
    result: Option<(usize, ResponseResult)>,
}

struct ConnectionTask {
    connection: Connection,
    shared: Rc<Shared>,
    events: Sender<Event>,
    idle: Rc<RefCell<IdleConnections>>,
    evict: Sender<()>,
    evicted: Receiver<()>,
    leave: Receiver<()>,
    answered: Sender<(u64, FinalReply, Reservations)>,
    answers: Receiver<(u64, FinalReply, Reservations)>,
    pending: VecDeque<PendingReply>,
    next_number: u64,
    /// False where there is only room to turn it away.
    is_served: bool,
    /// No more commands are read: the connection ends when all are answered.
    is_ending: bool,
    accepted_at: Instant,
    number: u64,
    invalid_commands: u32,
}

enum Input {
    Reply(u64, FinalReply, Reservations),
    Read(Result<(), ConnectionEnd>),
    End(ConnectionEnd),
}

impl ConnectionTask {
    async fn run(mut self) {
        let how = self.serve().await;
        debug!(self.shared.log, #"client.ended", "a client's connection ended"; "how" => ?how);
        // Whoever has gone is owed nothing, and nothing is begun for it from this moment on; the module hears of it in its turn.
        let open: Vec<_> = self.pending.drain(..).filter_map(|reply| reply.open).collect();
        open.iter().for_each(|(_, _, gone)| gone.set(true));
        for (id, ticket, _) in open {
            drop(self.events.send(Event::ClientDisconnected(id, ticket)).await);
        }
        match how {
            ConnectionEnd::Garbled | ConnectionEnd::Stopping => self.linger().await,
            // Who has said nothing may yet ask: what crosses the end meets no reset.
            ConnectionEnd::Idle | ConnectionEnd::Silent => self.yield_slot().await,
            _ => {}
        }
    }

    async fn serve(&mut self) -> ConnectionEnd {
        loop {
            if let Err(how) = self.handle_commands().await {
                return how;
            }
            let (had, full) = (self.connection.buffer.filled().len(), self.pending.len() >= MAX_PIPELINED);
            if let Err(how) = self.write_replies().await {
                return how;
            }
            // More was read while its end was looked for, or there is room again for what had come already. Danger: that may be a
            // whole command, and nothing more may ever come.
            let room = full && self.pending.len() < MAX_PIPELINED;
            if room || self.connection.buffer.filled().len() > had {
                continue;
            }
            if self.pending.is_empty() {
                if self.is_ending {
                    return ConnectionEnd::Garbled;
                }
                // Who has just come has asked for something, though it may still be on its way.
                let leaves = (self.shared.shutting_down_since.get().is_some() || !self.is_served)
                    && self.next_number > 0;
                // What has come meanwhile is answered first, and a command that has begun to come has its time.
                if leaves && self.connection.has_no_input() {
                    return ConnectionEnd::Stopping;
                }
            }
            let input = match self.next_input().await {
                Input::End(how) if self.connection.is_open_and_idle() => return how,
                // Something has come, and goes first. To look again at once would never let it in.
                Input::End(_) => Input::Read(self.connection.read().await),
                input => input,
            };
            match input {
                Input::Reply(number, answer, places) => {
                    if let Some(reply) = self.pending.iter_mut().find(|reply| reply.number == number) {
                        reply.open = None;
                        let (written, result) = match answer {
                            FinalReply::Complete(answer) => {
                                (Response::Complete(answer.write()), ResponseResult::of(&answer))
                            }
                            FinalReply::Streamed(flow) => {
                                (Response::Streamed(flow), ResponseResult::Completed)
                            }
                        };
                        reply.result = reply.result.map(|(class, _)| (class, result));
                        reply.answer = Some((written, Some(places)));
                    }
                }
                Input::Read(Ok(())) => {}
                Input::Read(Err(ConnectionEnd::Garbled)) => {
                    if let Err(how) = self.fail_protocol("the command is too long").await {
                        return how;
                    }
                }
                Input::Read(Err(ConnectionEnd::NoMemory)) => {
                    // Nothing has been done with it, and it may well come again.
                    EarlyRejection::NoMemory.record(&self.shared.log, None);
                    let wait = self.shared.platform.max_retry_after;
                    self.reply_directly(FinalAnswer::Rejected(wait).write(), None);
                    self.is_ending = true;
                }
                // Who has said nothing may yet ask, and would take an error for the answer.
                Input::Read(Err(ConnectionEnd::Silent)) if !self.connection.buffer.is_empty() => {
                    if let Err(how) = self.fail_protocol("no whole command has come in time").await {
                        return how;
                    }
                }
                Input::Read(Err(how)) => return how,
                Input::End(how) => return how,
            }
        }
    }

    async fn next_input(&mut self) -> Input {
        let (idle, reads) = (self.pending.is_empty(), self.pending.len() < MAX_PIPELINED && !self.is_ending);
        let answer = async {
            match self.answers.recv().await {
                Ok((number, answer, places)) => Input::Reply(number, answer, places),
                Err(_) => Input::End(ConnectionEnd::Stopping),
            }
        };
        let (begun, connection) = (!self.connection.buffer.is_empty(), &mut self.connection);
        let since = connection.buffer.since().or((self.next_number == 0).then_some(self.accepted_at));
        let read = async {
            match (reads, since) {
                // Danger: a client that has written more than is under way at once, or wrongly, and leaves: nothing of what it
                // asked may be begun any more, and behind what is not read its end can't be seen.
                (false, _) => Input::Read(Err(connection.closed().await)),
                (true, None) => Input::Read(connection.read().await),
                (true, Some(since)) => Input::Read(
                    within(since + COMMAND_TIMEOUT, ConnectionEnd::Silent, connection.read()).await,
                ),
            }
        };
        if !idle {
            return future::or(answer, read).await;
        }
        let fresh = self.next_number == 0;
        let leave = async {
            if begun || self.leave.recv().await.is_ok() {
                future::pending::<()>().await;
            }
            if fresh {
                // Who has just come has asked for something, though it may still be on its way.
                Timer::after(STILL_COMING).await;
            }
            Input::End(ConnectionEnd::Stopping)
        };
        let evicted = async {
            let _ = self.evicted.recv().await;
            Input::End(ConnectionEnd::Idle)
        };
        let rank = [NEVER_ASKED, ASKED_ONCE, ASKED_AGAIN][self.next_number.min(2) as usize];
        let key = (Instant::now(), self.number);
        let clients = &self.shared.limits.clients;
        // Who has said nothing yet is not of that kind, and pushes out nobody by it. Who falls idle stands aside in its own
        // draw: of all it is the likeliest to ask again, and may have begun to.
        if rank == ASKED_ONCE && !clients.has_spare() {
            let others = (clients.capacity() / ASKED_ONCE_DIVISOR).saturating_sub(1);
            if let Some(leave) = self.idle.borrow_mut().asked_once(others) {
                let _ = leave.try_send(());
            }
        }
        self.idle.borrow_mut().0[rank].insert(key, self.evict.clone());
        let input = future::or(read, future::or(evicted, leave)).await;
        self.idle.borrow_mut().0[rank].remove(&key);
        input
    }

    /// Takes the commands that have come whole, as many as may be under way.
    async fn handle_commands(&mut self) -> Result<(), ConnectionEnd> {
        while self.pending.len() < MAX_PIPELINED && !self.is_ending {
            let command = match resp::command(self.connection.buffer.filled()) {
                Ok(None) => return Ok(()),
                Ok(Some((words, length))) => Ok((call::command(&words, &self.shared.platform), length)),
                Err(why) => Err(why),
            };
            match command {
                Ok((request, length)) => {
                    self.connection.buffer.consume(length);
                    self.handle_command(request).await?;
                }
                Err(why) => self.fail_protocol(why).await?,
            }
        }
        Ok(())
    }

    async fn handle_command(&mut self, request: Result<Command, String>) -> Result<(), ConnectionEnd> {
        let answer = match request {
            Ok(Command::Call(call)) => {
                let limits = &self.shared.limits;
                let places = limits.open.reserve(1).zip(limits.bytes.reserve(call.weight()));
                let stays =
                    self.shared.shutting_down_since.get().is_none_or(|since| since.elapsed() < STILL_COMING);
                let place = match (self.is_served, stays, places) {
                    (false, ..) => Err(EarlyRejection::NoConnectionSlot),
                    (true, false, _) => Err(EarlyRejection::ShuttingDown),
                    (true, true, places) => places.ok_or(EarlyRejection::NoRequestSlot),
                };
                let Ok((open, bytes)) = place.inspect_err(|why| {
                    why.record(&self.shared.log, Some(&call.request.id));
                }) else {
                    // No room to take it, or no time: nothing has been done, and it may well come again. Danger: who writes
                    // on a busy connection without end would hold a gateway that ends until it is killed.
                    let result = Some((call.request.class, ResponseResult::Rejected));
                    self.reply_directly(
                        FinalAnswer::Rejected(self.shared.platform.max_retry_after).write(),
                        result,
                    );
                    return Ok(());
                };
                let number = self.next_number;
                self.next_number += 1;
                let ticket = self.shared.next_ticket.get();
                self.shared.next_ticket.set(ticket + 1);
                let open_as = Some((call.request.id.clone(), ticket, call.client_gone.clone()));
                let result = Some((call.request.class, ResponseResult::Failed));
                self.pending.push_back(PendingReply { number, open: open_as, answer: None, result });
                let reply = ReplyHandle { ticket, number, to: self.answered.clone(), places: [open, bytes] };
                let asked = ReceivedRequest { call, reply, received_at: Instant::now() };
                drop(self.events.send(Event::RequestReceived(asked)).await);
                return Ok(());
            }
            Ok(Command::Ping)
                if self.shared.ready.get() && self.shared.shutting_down_since.get().is_none() =>
            {
                b"+PONG\r\n".to_vec()
            }
            Ok(Command::Ping) => call::error("not able to serve"),
            Ok(Command::Courtesy) => b"+OK\r\n".to_vec(),
            Err(why) => {
                self.invalid_commands += 1;
                if self.invalid_commands > MAX_INVALID_COMMANDS {
                    return self.fail_protocol("too many commands make no sense").await;
                }
                debug!(self.shared.log, #"request.misread", "a command that makes no sense"; "why" => &why);
                self.wait_for_error_permit().await?;
                call::error(&why)
            }
        };
        self.reply_directly(answer, None);
        Ok(())
    }

    /// An answer that needs nobody else.
    fn reply_directly(&mut self, answer: Vec<u8>, result: Option<(usize, ResponseResult)>) {
        let number = self.next_number;
        self.next_number += 1;
        self.pending.push_back(PendingReply {
            number,
            open: None,
            answer: Some((Response::Complete(answer), None)),
            result,
        });
    }

    /// Waits until it is this client's turn to hear that it asked wrongly. It makes room for others, if need be.
    async fn wait_for_error_permit(&mut self) -> Result<(), ConnectionEnd> {
        let now = Instant::now();
        let at = self.shared.next_protocol_error.get().max(now);
        self.shared
            .next_protocol_error
            .set((at + PROTOCOL_ERROR_INTERVAL).min(now + MAX_PROTOCOL_ERROR_DELAY));
        if at == now {
            return Ok(());
        }
        let key = (now, self.number);
        self.idle.borrow_mut().0[DELAYED_ERROR].insert(key, self.evict.clone());
        let turn = async {
            Timer::at(at).await;
            Ok(false)
        };
        let evicted = async { Ok(self.evicted.recv().await.is_ok()) };
        let gone = async { Err(self.connection.closed().await) };
        let turn = future::or(turn, future::or(evicted, gone)).await;
        self.idle.borrow_mut().0[DELAYED_ERROR].remove(&key);
        self.is_ending |= turn?;
        Ok(())
    }

    /// What follows can't be told apart any more: one error, and the end.
    async fn fail_protocol(&mut self, why: &str) -> Result<(), ConnectionEnd> {
        debug!(self.shared.log, #"request.misread", "a command that can't be read"; "why" => why);
        self.wait_for_error_permit().await?;
        self.reply_directly(call::error(&format!("bad syntax: {why}")), None);
        self.is_ending = true;
        let count = self.connection.buffer.filled().len();
        self.connection.buffer.consume(count);
        Ok(())
    }

    /// Writes the answers that are next in order.
    async fn write_replies(&mut self) -> Result<(), ConnectionEnd> {
        while self.pending.front().is_some_and(|reply| reply.answer.is_some()) {
            let Some(PendingReply { answer: Some((answer, places)), result, .. }) = self.pending.pop_front()
            else {
                break;
            };
            let written = match answer {
                Response::Complete(bytes) => self.write_bytes(&bytes).await,
                Response::Streamed(flow) => self.write_stream(flow).await,
            };
            if let Some((class, result)) = result {
                self.shared
                    .metrics
                    .request_answered(class, if written.is_ok() { result } else { ResponseResult::Failed });
            }
            written?;
            drop::<Option<[Reservation; 2]>>(places);
        }
        Ok(())
    }

    async fn write_bytes(&mut self, bytes: &[u8]) -> Result<(), ConnectionEnd> {
        let until = Instant::now() + WRITE_TIMEOUT;
        within(until, ConnectionEnd::Silent, self.connection.write_unless_closed(bytes)).await
    }

    /// Writes a long value as its pieces come. Where it breaks off, so does the connection, and the client can tell.
    async fn write_stream(&mut self, flow: ResponseStream) -> Result<(), ConnectionEnd> {
        self.write_bytes(format!("${}\r\n", flow.length).as_bytes()).await?;
        loop {
            let piece = async { flow.pieces.recv().await.map_err(|_| ConnectionEnd::Broken) };
            let gone = async { Err(self.connection.closed().await) };
            match future::or(piece, gone).await? {
                Piece::Bytes(bytes) => self.write_bytes(&bytes).await?,
                Piece::End => return self.write_bytes(b"\r\n").await,
            }
        }
    }

    /// Leaves its place to another, and is read on in one of those who are turned away, so that a request that crosses
    /// the end meets no reset: the client sees a clean end with no answer, and nothing was done. Whoever has been read on
    /// for longest goes for it. Where those places are taken by others it ends at once.
    async fn yield_slot(&mut self) {
        let place = loop {
            if let Some(place) = self.shared.limits.turned_away.reserve(1) {
                break place;
            }
            let longest = self.idle.borrow_mut().longest_lingering();
            let Some(longest) = longest else { return };
            let _ = longest.try_send(());
            longest.closed().await;
        };
        self.connection.move_reservation(place);
        // Whoever waits for the place waits for this.
        let (leave, cut) = async_channel::bounded(1);
        self.evicted = cut.clone();
        let key = (Instant::now(), self.number);
        let idle = self.idle.clone();
        idle.borrow_mut().0[LINGERING].insert(key, leave);
        let cut = async {
            let _ = cut.recv().await;
        };
        future::or(self.linger(), cut).await;
        idle.borrow_mut().0[LINGERING].remove(&key);
    }

    /// Bytes that are never read would take the error from the client, as the connection is then reset.
    async fn linger(&mut self) {
        let (until, mut taken, mut pause) = (Instant::now() + LINGER, 0, LINGER_PAUSE);
        self.connection.finish();
        while taken < MAX_LINGER_BYTES
            && within(until, ConnectionEnd::Silent, self.connection.read()).await.is_ok()
        {
            let count = self.connection.buffer.filled().len();
            self.connection.buffer.consume(count);
            taken += count;
            Timer::after(pause).await;
            pause *= 2;
        }
    }
}
