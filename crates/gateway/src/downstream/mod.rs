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

use crate::operator::metrics::Result as Figure;
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
const DEPTH: usize = 32;
/// A client that takes no byte for so long is given up: its answers would be held for ever.
const UNREAD: Duration = Duration::from_secs(10);
/// How long a client may take to read the error that ends its connection.
const LINGER: Duration = Duration::from_secs(1);
/// Pause while there is no place for another connection.
const FULL: Duration = Duration::from_millis(5);
/// Part of the clients' places, as its divisor, that those may have who asked once and fell idle, once two thirds of
/// all places are taken. Danger: clients that come for one request and keep their connection. Whoever brings them in has so
/// many connections as well, and once all of those stand idle nobody comes. Who asks again is not of that kind; nor can
/// a pool be told from such a crowd before its second round, so that with room to spare nobody goes.
const ONCE: usize = 8;
/// How long a client's first command may be on its way once it has connected: whoever is pushed out before that comes
/// back, and pushes out another.
const FIRST: Duration = Duration::from_millis(250);
/// After SIGTERM new connections keep coming for some tenths of a second; all that come until then are heard.
pub const STILL_COMING: Duration = Duration::from_millis(700);

/// How long a client may take from connecting, or from the first byte of a command, to that command's end: one that
/// says nothing, or half of it, is told so. Many of them must not keep others out; some that mean well take two seconds.
const SAYS_NOTHING: Duration = Duration::from_millis(2_600);
/// Commands of one connection that make no sense, beyond which it ends: each costs as much as one that does.
const MOST_WRONG: u32 = 16;
/// Bytes that are still taken from a client that was told of an error, and the first pause between two reads of them,
/// which doubles: what such a client writes at full speed must cost little.
const MOST_LINGER: usize = 64 * 1024;
const LINGER_PAUSE: Duration = Duration::from_millis(1);
/// Time between two errors about commands, for all clients together, or two who make room for others; and how long one
/// may wait for its turn: some come back with the same as soon as they are told, and would have all of a core.
const BETWEEN_WRONG: Duration = Duration::from_millis(2);
const MOST_TURN: Duration = Duration::from_secs(1);

/// Connections with nothing open: those that wait to hear what was wrong, those on which no command has come yet, those
/// with one, and those with more; in each, the longest idle first. The fewer have come, the less likely is another. Last
/// those that have left their place to another and are only read on, so that what crosses their end meets no reset.
#[derive(Default)]
struct Idle([BTreeMap<(Instant, u64), Sender<()>>; 5]);

const WRONG: usize = 0;
const SILENT: usize = 1;
const ONE: usize = 2;
const MORE: usize = 3;
const LEAVING: usize = 4;

impl Idle {
    /// Who is to make room for another: whoever asked wrongly, or has said nothing for longer than a first command
    /// takes; else one that asked once, else who says nothing, else the longest idle. And whether it asked wrongly.
    fn leaver(&mut self) -> Option<(Sender<()>, bool)> {
        let [wrong, silent, once, more, _] = &self.0;
        let asked_wrongly = !wrong.is_empty();
        let old = silent.first_key_value().is_some_and(|((since, _), _)| since.elapsed() >= FIRST);
        let rank = match () {
            _ if asked_wrongly => WRONG,
            _ if old || once.is_empty() && !silent.is_empty() => SILENT,
            _ if !once.is_empty() => return self.asked_once(0).map(|leave| (leave, false)),
            _ if !more.is_empty() => MORE,
            _ => return None,
        };
        self.0[rank].pop_first().map(|(_, leave)| (leave, asked_wrongly))
    }

    /// One that asked once, where there are more of that kind than `most`, by a draw. Danger: pools that ask by turns. The
    /// longest idle is the next to ask there, so that with the longest idle gone none ever comes to ask again.
    fn asked_once(&mut self, most: usize) -> Option<Sender<()>> {
        let once = &mut self.0[ONE];
        if once.len() <= most {
            return None;
        }
        let key = *once.keys().nth(rand::random::<usize>() % once.len())?;
        once.remove(&key)
    }

    /// Who has been read on for longest.
    fn gone_longest(&mut self) -> Option<Sender<()>> {
        self.0[LEAVING].pop_first().map(|(_, leave)| leave)
    }
}

pub struct Door {
    shared: Rc<Shared>,
    events: Sender<Event>,
    idle: Rc<RefCell<Idle>>,
    /// Closed when this gateway ends.
    leave: Receiver<()>,
    let_in: u64,
}

impl Door {
    pub fn new(shared: &Rc<Shared>, events: &Sender<Event>, leave: Receiver<()>) -> Self {
        Door { shared: shared.clone(), events: events.clone(), idle: Rc::default(), leave, let_in: 0 }
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
                self.make_room();
                continue;
            };
            match stream {
                Ok(stream) => self.let_in(stream).await,
                Err(error) => {
                    warn!(self.shared.log, #"client.not-accepted", "a client could not be accepted"; "why" => error.to_string());
                    Timer::after(AcceptFailure::classify(&error).backoff()).await;
                }
            }
        }
    }

    /// Another process of this gateway has a part of the places from now on, and can't have them until they are free.
    fn make_room(&self) {
        let over = self.shared.limits.clients.used().saturating_sub(self.shared.limits.clients.capacity());
        for _ in 0..over {
            let Some((leave, _)) = self.idle.borrow_mut().leaver() else { return };
            let _ = leave.try_send(());
        }
    }

    async fn let_in(&mut self, stream: Async<std::net::TcpStream>) {
        let (place, served) = loop {
            if let Some(place) = self.shared.limits.clients.reserve(1) {
                break (place, true);
            }
            let leaver = self.idle.borrow_mut().leaver();
            if let Some((leave, asked_wrongly)) = leaver {
                // It ends at its next turn, unless something has come on it meanwhile.
                let _ = leave.try_send(());
                let late = async {
                    Timer::after(FULL).await;
                };
                future::or(leave.closed(), late).await;
                if asked_wrongly {
                    // It may be back with the same at once, and push out another.
                    Timer::after(BETWEEN_WRONG).await;
                }
                continue;
            }
            if let Some(place) = self.shared.limits.turned_away.reserve(1) {
                break (place, false);
            }
            let longest = self.idle.borrow_mut().gone_longest();
            if let Some(leave) = longest {
                let _ = leave.try_send(());
            }
            Timer::after(FULL).await;
        };
        let (answered, answers) = async_channel::bounded(DEPTH);
        let (evict, evicted) = async_channel::bounded(1);
        self.let_in += 1;
        let buffer = Buffer::new(resp::MOST_MESSAGE, Some(self.shared.limits.from_clients.clone()));
        let client = Client {
            connection: Connection::new(stream, buffer, Some(place)),
            shared: self.shared.clone(),
            events: self.events.clone(),
            idle: self.idle.clone(),
            evict,
            evicted,
            leave: self.leave.clone(),
            answered,
            answers,
            waiting: VecDeque::new(),
            next: 0,
            served,
            last: false,
            came: Instant::now(),
            number: self.let_in,
            wrong: 0,
        };
        self.shared.executor.spawn(client.run()).detach();
        // Many may come in a row, and an idle one is known as such only once its task has run.
        future::yield_now().await;
    }
}

/// An answer in the form in which it is written.
enum Written {
    Whole(Vec<u8>),
    Flow(ResponseStream),
}

/// A command that has come and is not answered yet; answers go out in the order of the commands.
struct Waiting {
    number: u64,
    /// The transaction, its ticket and the word that its client has gone, as long as it has no answer.
    open: Option<(Id, u64, Rc<Cell<bool>>)>,
    answer: Option<(Written, Option<Reservations>)>,
    /// The lane, and under what its answer is counted once it is written.
    figure: Option<(usize, Figure)>,
}

struct Client {
    connection: Connection,
    shared: Rc<Shared>,
    events: Sender<Event>,
    idle: Rc<RefCell<Idle>>,
    evict: Sender<()>,
    evicted: Receiver<()>,
    leave: Receiver<()>,
    answered: Sender<(u64, FinalReply, Reservations)>,
    answers: Receiver<(u64, FinalReply, Reservations)>,
    waiting: VecDeque<Waiting>,
    next: u64,
    /// False where there is only room to turn it away.
    served: bool,
    /// No more commands are read: the connection ends when all are answered.
    last: bool,
    came: Instant,
    number: u64,
    wrong: u32,
}

enum Step {
    Answer(u64, FinalReply, Reservations),
    Read(Result<(), ConnectionEnd>),
    Leave(ConnectionEnd),
}

impl Client {
    async fn run(mut self) {
        let how = self.serve().await;
        debug!(self.shared.log, #"client.ended", "a client's connection ended"; "how" => ?how);
        // Whoever has gone is owed nothing, and nothing is begun for it from this moment on; the module hears of it in its turn.
        let open: Vec<_> = self.waiting.drain(..).filter_map(|waiting| waiting.open).collect();
        open.iter().for_each(|(_, _, gone)| gone.set(true));
        for (id, ticket, _) in open {
            drop(self.events.send(Event::ClientDisconnected(id, ticket)).await);
        }
        match how {
            ConnectionEnd::Garbled | ConnectionEnd::Stopping => self.linger().await,
            // Who has said nothing may yet ask: what crosses the end meets no reset.
            ConnectionEnd::Idle | ConnectionEnd::Silent => self.make_room().await,
            _ => {}
        }
    }

    async fn serve(&mut self) -> ConnectionEnd {
        loop {
            if let Err(how) = self.commands().await {
                return how;
            }
            let (had, full) = (self.connection.buffer.filled().len(), self.waiting.len() >= DEPTH);
            if let Err(how) = self.write().await {
                return how;
            }
            // More was read while its end was looked for, or there is room again for what had come already. Danger: that may be a
            // whole command, and nothing more may ever come.
            let room = full && self.waiting.len() < DEPTH;
            if room || self.connection.buffer.filled().len() > had {
                continue;
            }
            if self.waiting.is_empty() {
                if self.last {
                    return ConnectionEnd::Garbled;
                }
                // Who has just come has asked for something, though it may still be on its way.
                let leaves =
                    (self.shared.shutting_down_since.get().is_some() || !self.served) && self.next > 0;
                // What has come meanwhile is answered first, and a command that has begun to come has its time.
                if leaves && self.connection.has_no_input() {
                    return ConnectionEnd::Stopping;
                }
            }
            let step = match self.step().await {
                Step::Leave(how) if self.connection.is_open_and_idle() => return how,
                // Something has come, and goes first. To look again at once would never let it in.
                Step::Leave(_) => Step::Read(self.connection.read().await),
                step => step,
            };
            match step {
                Step::Answer(number, answer, places) => {
                    if let Some(waiting) = self.waiting.iter_mut().find(|waiting| waiting.number == number) {
                        waiting.open = None;
                        let (written, result) = match answer {
                            FinalReply::Complete(answer) => {
                                (Written::Whole(answer.write()), Figure::of(&answer))
                            }
                            FinalReply::Streamed(flow) => (Written::Flow(flow), Figure::Settled),
                        };
                        waiting.figure = waiting.figure.map(|(lane, _)| (lane, result));
                        waiting.answer = Some((written, Some(places)));
                    }
                }
                Step::Read(Ok(())) => {}
                Step::Read(Err(ConnectionEnd::Garbled)) => {
                    if let Err(how) = self.misread("the command is too long").await {
                        return how;
                    }
                }
                Step::Read(Err(ConnectionEnd::NoMemory)) => {
                    // Nothing has been done with it, and it may well come again.
                    EarlyRejection::NoMemory.record(&self.shared.log, None);
                    let wait = self.shared.platform.max_retry_after;
                    self.say(FinalAnswer::Rejected(wait).write(), None);
                    self.last = true;
                }
                // Who has said nothing may yet ask, and would take an error for the answer.
                Step::Read(Err(ConnectionEnd::Silent)) if !self.connection.buffer.is_empty() => {
                    if let Err(how) = self.misread("no whole command has come in time").await {
                        return how;
                    }
                }
                Step::Read(Err(how)) => return how,
                Step::Leave(how) => return how,
            }
        }
    }

    async fn step(&mut self) -> Step {
        let (idle, reads) = (self.waiting.is_empty(), self.waiting.len() < DEPTH && !self.last);
        let answer = async {
            match self.answers.recv().await {
                Ok((number, answer, places)) => Step::Answer(number, answer, places),
                Err(_) => Step::Leave(ConnectionEnd::Stopping),
            }
        };
        let (begun, connection) = (!self.connection.buffer.is_empty(), &mut self.connection);
        let since = connection.buffer.since().or((self.next == 0).then_some(self.came));
        let read = async {
            match (reads, since) {
                // Danger: a client that has written more than is under way at once, or wrongly, and leaves: nothing of what it
                // asked may be begun any more, and behind what is not read its end can't be seen.
                (false, _) => Step::Read(Err(connection.closed().await)),
                (true, None) => Step::Read(connection.read().await),
                (true, Some(since)) => {
                    Step::Read(within(since + SAYS_NOTHING, ConnectionEnd::Silent, connection.read()).await)
                }
            }
        };
        if !idle {
            return future::or(answer, read).await;
        }
        let fresh = self.next == 0;
        let leave = async {
            if begun || self.leave.recv().await.is_ok() {
                future::pending::<()>().await;
            }
            if fresh {
                // Who has just come has asked for something, though it may still be on its way.
                Timer::after(STILL_COMING).await;
            }
            Step::Leave(ConnectionEnd::Stopping)
        };
        let evicted = async {
            let _ = self.evicted.recv().await;
            Step::Leave(ConnectionEnd::Idle)
        };
        let rank = [SILENT, ONE, MORE][self.next.min(2) as usize];
        let key = (Instant::now(), self.number);
        let clients = &self.shared.limits.clients;
        // Who has said nothing yet is not of that kind, and pushes out nobody by it. Who falls idle stands aside in its own
        // draw: of all it is the likeliest to ask again, and may have begun to.
        if rank == ONE && !clients.has_spare() {
            let others = (clients.capacity() / ONCE).saturating_sub(1);
            if let Some(leave) = self.idle.borrow_mut().asked_once(others) {
                let _ = leave.try_send(());
            }
        }
        self.idle.borrow_mut().0[rank].insert(key, self.evict.clone());
        let step = future::or(read, future::or(evicted, leave)).await;
        self.idle.borrow_mut().0[rank].remove(&key);
        step
    }

    /// Takes the commands that have come whole, as many as may be under way.
    async fn commands(&mut self) -> Result<(), ConnectionEnd> {
        while self.waiting.len() < DEPTH && !self.last {
            let command = match resp::command(self.connection.buffer.filled()) {
                Ok(None) => return Ok(()),
                Ok(Some((words, length))) => Ok((call::command(&words, &self.shared.platform), length)),
                Err(why) => Err(why),
            };
            match command {
                Ok((request, length)) => {
                    self.connection.buffer.consume(length);
                    self.request(request).await?;
                }
                Err(why) => self.misread(why).await?,
            }
        }
        Ok(())
    }

    async fn request(&mut self, request: Result<Command, String>) -> Result<(), ConnectionEnd> {
        let answer = match request {
            Ok(Command::Call(call)) => {
                let limits = &self.shared.limits;
                let places = limits.open.reserve(1).zip(limits.bytes.reserve(call.weight()));
                let stays =
                    self.shared.shutting_down_since.get().is_none_or(|since| since.elapsed() < STILL_COMING);
                let place = match (self.served, stays, places) {
                    (false, ..) => Err(EarlyRejection::NoConnectionSlot),
                    (true, false, _) => Err(EarlyRejection::ShuttingDown),
                    (true, true, places) => places.ok_or(EarlyRejection::NoRequestSlot),
                };
                let Ok((open, bytes)) = place.inspect_err(|why| {
                    why.record(&self.shared.log, Some(&call.request.id));
                }) else {
                    // No room to take it, or no time: nothing has been done, and it may well come again. Danger: who writes
                    // on a busy connection without end would hold a gateway that ends until it is killed.
                    let figure = Some((call.request.class, Figure::Nacked));
                    self.say(FinalAnswer::Rejected(self.shared.platform.max_retry_after).write(), figure);
                    return Ok(());
                };
                let number = self.next;
                self.next += 1;
                let ticket = self.shared.next_ticket.get();
                self.shared.next_ticket.set(ticket + 1);
                let open_as = Some((call.request.id.clone(), ticket, call.client_gone.clone()));
                let figure = Some((call.request.class, Figure::Failed));
                self.waiting.push_back(Waiting { number, open: open_as, answer: None, figure });
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
                self.wrong += 1;
                if self.wrong > MOST_WRONG {
                    return self.misread("too many commands make no sense").await;
                }
                debug!(self.shared.log, #"request.misread", "a command that makes no sense"; "why" => &why);
                self.turn().await?;
                call::error(&why)
            }
        };
        self.say(answer, None);
        Ok(())
    }

    /// An answer that needs nobody else.
    fn say(&mut self, answer: Vec<u8>, figure: Option<(usize, Figure)>) {
        let number = self.next;
        self.next += 1;
        self.waiting.push_back(Waiting {
            number,
            open: None,
            answer: Some((Written::Whole(answer), None)),
            figure,
        });
    }

    /// Waits until it is this client's turn to hear that it asked wrongly. It makes room for others, if need be.
    async fn turn(&mut self) -> Result<(), ConnectionEnd> {
        let now = Instant::now();
        let at = self.shared.next_protocol_error.get().max(now);
        self.shared.next_protocol_error.set((at + BETWEEN_WRONG).min(now + MOST_TURN));
        if at == now {
            return Ok(());
        }
        let key = (now, self.number);
        self.idle.borrow_mut().0[WRONG].insert(key, self.evict.clone());
        let turn = async {
            Timer::at(at).await;
            Ok(false)
        };
        let evicted = async { Ok(self.evicted.recv().await.is_ok()) };
        let gone = async { Err(self.connection.closed().await) };
        let turn = future::or(turn, future::or(evicted, gone)).await;
        self.idle.borrow_mut().0[WRONG].remove(&key);
        self.last |= turn?;
        Ok(())
    }

    /// What follows can't be told apart any more: one error, and the end.
    async fn misread(&mut self, why: &str) -> Result<(), ConnectionEnd> {
        debug!(self.shared.log, #"request.misread", "a command that can't be read"; "why" => why);
        self.turn().await?;
        self.say(call::error(&format!("bad syntax: {why}")), None);
        self.last = true;
        let count = self.connection.buffer.filled().len();
        self.connection.buffer.consume(count);
        Ok(())
    }

    /// Writes the answers that are next in order.
    async fn write(&mut self) -> Result<(), ConnectionEnd> {
        while self.waiting.front().is_some_and(|waiting| waiting.answer.is_some()) {
            let Some(Waiting { answer: Some((answer, places)), figure, .. }) = self.waiting.pop_front()
            else {
                break;
            };
            let written = match answer {
                Written::Whole(bytes) => self.put(&bytes).await,
                Written::Flow(flow) => self.pass_on(flow).await,
            };
            if let Some((lane, result)) = figure {
                self.shared.metrics.answered(lane, if written.is_ok() { result } else { Figure::Failed });
            }
            written?;
            drop::<Option<[Reservation; 2]>>(places);
        }
        Ok(())
    }

    async fn put(&mut self, bytes: &[u8]) -> Result<(), ConnectionEnd> {
        let until = Instant::now() + UNREAD;
        within(until, ConnectionEnd::Silent, self.connection.write_unless_closed(bytes)).await
    }

    /// Writes a long value as its pieces come. Where it breaks off, so does the connection, and the client can tell.
    async fn pass_on(&mut self, flow: ResponseStream) -> Result<(), ConnectionEnd> {
        self.put(format!("${}\r\n", flow.length).as_bytes()).await?;
        loop {
            let piece = async { flow.pieces.recv().await.map_err(|_| ConnectionEnd::Broken) };
            let gone = async { Err(self.connection.closed().await) };
            match future::or(piece, gone).await? {
                Piece::Bytes(bytes) => self.put(&bytes).await?,
                Piece::End => return self.put(b"\r\n").await,
            }
        }
    }

    /// Leaves its place to another, and is read on in one of those who are turned away, so that a request that crosses
    /// the end meets no reset: the client sees a clean end with no answer, and nothing was done. Whoever has been read on
    /// for longest goes for it. Where those places are taken by others it ends at once.
    async fn make_room(&mut self) {
        let place = loop {
            if let Some(place) = self.shared.limits.turned_away.reserve(1) {
                break place;
            }
            let longest = self.idle.borrow_mut().gone_longest();
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
        idle.borrow_mut().0[LEAVING].insert(key, leave);
        let cut = async {
            let _ = cut.recv().await;
        };
        future::or(self.linger(), cut).await;
        idle.borrow_mut().0[LEAVING].remove(&key);
    }

    /// Bytes that are never read would take the error from the client, as the connection is then reset.
    async fn linger(&mut self) {
        let (until, mut taken, mut pause) = (Instant::now() + LINGER, 0, LINGER_PAUSE);
        self.connection.finish();
        while taken < MOST_LINGER
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
