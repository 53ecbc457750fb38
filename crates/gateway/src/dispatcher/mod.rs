//! The actor of the module: tells it what happened, one event after another, and does what it says.

pub mod action_queue;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender, TrySendError};
use fernscale_policy::Engine;
use fernscale_policy::{
    AttemptCompleted, Endpoint, EndpointState, Id, LoadReport, Micros, Outcome, Settings,
};
use futures_lite::{future, StreamExt};
use slog::{debug, info, warn};

use fernscale_shared_counter::monitor::{self, AddStep, CallOutcome, CounterMonitor};

use crate::counter::Add;
use crate::discovery;
use crate::dispatcher::action_queue::{Action, Desk, Hands};
use crate::fleet::outlier_detection;
use crate::fleet::subsetting::SubsetChange;
use crate::operator;
use crate::operator::metrics::PoolGauges;
use crate::outcome::{self, AttemptFailure, CounterTotal};
use crate::protocol::call::{Call, FinalAnswer, ServerReply};
use crate::protocol::catalog::EndpointUpdate;
use crate::rejection::NotTaken;
use crate::shared::{CompletedAttempt, Event, FinalReply, ReceivedRequest, ReplyHandle, Shared};
use crate::transport::clock::{yield_between_slices, DeadlineTimer};
use crate::transport::ending::ConnectionEnd;
use crate::transport::loop_timer::Turn as Timed;
use crate::upstream;

/// Servers of which the module is told in one turn, where a list says something new of many.
const NEWS_A_SLICE: usize = 256;

/// A transaction from its arrival until it is answered and no trip is out.
struct Held {
    call: Rc<Call>,
    reply: Option<ReplyHandle>,
    hard_stop: Micros,
    /// The mailboxes of the servers that its trips went to, and how many trips are out.
    trips: Vec<Option<Sender<upstream::Order>>>,
    out: usize,
}

struct Peer {
    /// Its actor, once there was something for it to do.
    orders: Option<Sender<upstream::Order>>,
    address: SocketAddr,
    listed: Endpoint,
}

/// What the actor turns to next.
enum Turn {
    Operate(operator::Order),
    Event(Event),
    Ring,
}

pub struct Module {
    shared: Rc<Shared>,
    gateway: Engine<Hands>,
    desk: Rc<RefCell<Desk>>,
    events: Sender<Event>,
    counter: Option<Sender<Add>>,
    /// What is known of counts beside the counter's word; only where gateways know each other.
    tally: Option<CounterMonitor>,
    list: Sender<discovery::Order>,
    held: HashMap<Id, Held>,
    peers: BTreeMap<Id, Peer>,
    alarms: BTreeMap<(Micros, u64), Box<str>>,
    alarms_set: u64,
    /// What is to be told to the module before anything else, as it follows from what it did.
    follows: VecDeque<Event>,
    /// What lists have said and the module has not been told yet, in its order.
    news: VecDeque<Endpoint>,
}

impl Module {
    pub fn new(
        shared: &Rc<Shared>,
        settings: Settings,
        events: &Sender<Event>,
        counter: Option<Sender<Add>>,
        list: Sender<discovery::Order>,
    ) -> Self {
        let desk = Desk { now: shared.clock.now(), actions: VecDeque::new(), log: shared.log.clone() };
        let desk = Rc::new(RefCell::new(desk));
        Module {
            gateway: Engine::new(settings, Hands(desk.clone())),
            shared: shared.clone(),
            desk,
            events: events.clone(),
            counter,
            tally: None,
            list,
            held: HashMap::new(),
            peers: BTreeMap::new(),
            alarms: BTreeMap::new(),
            alarms_set: 0,
            follows: VecDeque::new(),
            news: VecDeque::new(),
        }
    }

    /// `operators` is what they want of it, and goes before all else: they are owed an answer under any load.
    pub async fn run(
        mut self,
        known: Option<EndpointUpdate>,
        mailbox: Receiver<Event>,
        operators: Receiver<operator::Order>,
    ) {
        let mut mailbox = std::pin::pin!(mailbox);
        if let Some(mut known) = known {
            self.shared.apply_known_list(&mut known);
            self.learn(known);
        }
        // Nobody waits for anything yet.
        while !self.news.is_empty() {
            self.tell_news();
        }
        self.act().await;
        let mut alarm = DeadlineTimer::new();
        loop {
            if !self.news.is_empty() {
                yield_between_slices().await;
                self.look_at_clock();
                self.tell_news();
                self.act().await;
            }
            let next = self.alarms.first_key_value().map(|((at, _), _)| self.shared.clock.instant(*at));
            if let Ok(order) = operators.try_recv() {
                self.operate(order);
                self.act().await;
                continue;
            }
            let turn = match mailbox.try_recv() {
                Ok(event) => Turn::Event(event),
                Err(_) if !self.news.is_empty() => Turn::Ring,
                Err(_) => {
                    let ring = async {
                        alarm.wait(next).await;
                        Turn::Ring
                    };
                    let operate = async {
                        match operators.recv().await {
                            Ok(order) => Turn::Operate(order),
                            Err(_) => future::pending().await,
                        }
                    };
                    let event = async { mailbox.next().await.map_or(Turn::Ring, Turn::Event) };
                    future::or(operate, future::or(event, ring)).await
                }
            };
            match turn {
                Turn::Operate(order) => self.operate(order),
                Turn::Event(event) => {
                    let timed = Timed::begin(event.name());
                    self.tell(event);
                    timed.end(&self.shared.log);
                }
                Turn::Ring => {}
            }
            self.act().await;
            self.ring().await;
        }
    }

    /// Tells the module of alarms that are due.
    async fn ring(&mut self) {
        let now = self.shared.clock.now();
        while let Some(alarm) = self.alarms.first_entry().filter(|alarm| alarm.key().0 <= now) {
            let token = alarm.remove();
            self.look_at_clock();
            let timed = Timed::begin("alarm");
            self.gateway.timer_fired(&token);
            timed.end(&self.shared.log);
            self.act().await;
        }
    }

    fn operate(&mut self, order: operator::Order) {
        self.look_at_clock();
        match order {
            operator::Order::Pool(told) => {
                let avoided = self.peers.keys().filter(|server| self.gateway.is_avoided(server)).count();
                let pool = PoolGauges { size: self.peers.len(), avoided };
                let _ = told.try_send(pool);
            }
            operator::Order::Cordon { server, on, done } => {
                let out = self.shared.cordoned.borrow().contains(&server);
                let known = out || self.peers.contains_key(&server);
                if known && out != on {
                    let now = self.desk.borrow().now;
                    self.cordon(&server, Some(now).filter(|_| !on));
                }
                let _ = done.try_send(known);
            }
            operator::Order::Heard { server, back } => self.cordon(&server, back),
            operator::Order::Part(part) => self.gateway.set_process_share(part),
        }
    }

    /// No trip begins at a server from the moment that it is taken out.
    fn cordon(&mut self, server: &Id, back: Option<Micros>) {
        let mut cordoned = self.shared.cordoned.borrow_mut();
        match back {
            None => {
                cordoned.insert(server.clone());
                self.gateway.cordon(server);
            }
            Some(at) => {
                cordoned.remove(server);
                self.gateway.uncordon(server, at);
            }
        }
    }

    fn look_at_clock(&self) {
        self.desk.borrow_mut().now = self.shared.clock.now();
    }

    fn tell(&mut self, event: Event) {
        self.look_at_clock();
        match event {
            Event::RequestReceived(asked) => self.asked(asked),
            Event::ClientDisconnected(id, ticket) => {
                // Who used the id of another's must not take that one's answer along.
                let its = |reply: &mut ReplyHandle| reply.ticket == ticket;
                if self.held.get_mut(&id).is_some_and(|held| held.reply.take_if(its).is_some()) {
                    debug!(self.shared.log, #"request.cancelled", "its client has left"; "id" => &*id);
                    self.gateway.client_disconnected(&id);
                    self.forget(&id);
                }
            }
            Event::ResponseStarted { request: transaction, attempt: trip, flow } => {
                if let Some(reply) = self.held.get_mut(&transaction).and_then(|held| held.reply.take()) {
                    debug!(self.shared.log, #"request.answered", "served, as it comes"; "id" => &*transaction, "as" => "served");
                    finish(reply, FinalReply::Streamed(flow));
                    self.gateway.response_started(&transaction, trip);
                }
            }
            Event::AttemptCompleted(end) => self.returned(end),
            Event::HealthCheckCompleted { server, end } => {
                let outcome = outcome::of_probe(&end);
                self.gateway.health_check_completed(&server, outcome, end.unwrap_or_default());
            }
            Event::CounterReplied { key: count, end, elapsed: took } => {
                let (outcome, total) = self.counted(&count, outcome::of_call(&end), took);
                self.gateway.counter_replied(&count, outcome, total, took);
            }
            Event::GossipTotalKnown { key: count, end } => {
                let (outcome, total) = outcome::of_call(&end);
                self.gateway.counter_replied(&count, outcome, total, 0);
            }
            Event::CounterReplaced(counter) => self.counter = counter,
            Event::EndpointsUpdated(members) => {
                self.learn(members);
                self.look_ready();
            }
            Event::EndpointsDraining(servers) => self.leave(&servers),
            Event::SubsettingDue => self.look_at_subset(),
            Event::OutlierDetectionDue => self.look_at_signals(),
            Event::EndpointsLate => self.look_ready(),
            Event::EndpointsUnavailable => {
                self.look_ready();
                self.gateway.endpoints_unavailable();
            }
        }
    }

    fn asked(&mut self, asked: ReceivedRequest) {
        let ReceivedRequest { call, reply, received_at: came } = asked;
        if self.held.contains_key(&call.request.id) {
            NotTaken::IdInUse.record(&self.shared.log, Some(&call.request.id));
            return answer(reply, FinalAnswer::Malformed("this id is in use"));
        }
        let mut transaction = call.request.clone();
        let waited = came.elapsed().as_micros() as Micros;
        transaction.time_left = transaction.time_left.saturating_sub(waited);
        let hard_stop = self.desk.borrow().now + transaction.time_left;
        debug!(self.shared.log, #"request.accepted", "a request"; "id" => &*transaction.id,
            "tenant" => &*transaction.tenant, "class" => transaction.class, "left_us" => transaction.time_left);
        let (call, trips) = (Rc::new(call), Vec::new());
        let held = Held { call, reply: Some(reply), hard_stop, trips, out: 0 };
        self.held.insert(transaction.id.clone(), held);
        self.gateway.request_received(transaction);
    }

    fn returned(&mut self, end: CompletedAttempt) {
        let outcome = outcome::of_trip(&end.end);
        debug!(self.shared.log, #"attempt.ended", "an attempt has ended"; "id" => &*end.request, "attempt" => end.attempt,
            "server" => &*end.server, "outcome" => ?outcome, "how" => ?end.end.as_ref().err(), "took_us" => end.elapsed);
        let Some(held) = self.held.get_mut(&end.request) else { return };
        held.out -= 1;
        let met = outcome::met(end.elapsed, &end.end);
        let (mut units, mut load) = (None, LoadReport::default());
        if let Ok((said, told)) = end.end {
            load = told;
            match said {
                ServerReply::Completed { value, units: settled } => {
                    units = settled;
                    if let Some(reply) = held.reply.take() {
                        debug!(self.shared.log, #"request.answered", "served"; "id" => &*end.request, "as" => "served");
                        answer(reply, FinalAnswer::Completed(value));
                    }
                }
                ServerReply::Streamed { units: settled } => units = settled,
                ServerReply::Failed | ServerReply::Overloaded => {}
            }
        }
        if let (Some(signals), Some(met)) = (self.shared.outlier_detection.get(), met) {
            signals.attempt_completed(&end.server, held.call.request.class, met);
        }
        let finished = held.reply.is_none();
        self.gateway.attempt_completed(AttemptCompleted {
            request: end.request.clone(),
            attempt: end.attempt,
            server: end.server,
            outcome,
            elapsed: end.elapsed,
            is_final: finished,
            units,
            load,
        });
        self.forget(&end.request);
    }

    /// Forgets a transaction that is over.
    fn forget(&mut self, id: &Id) {
        if self.held.get(id).is_some_and(|held| held.reply.is_none() && held.out == 0) {
            self.held.remove(id);
        }
    }

    /// Goes by a list that has come. The decision module is told what is new in it, as most of a whole list is not.
    fn learn(&mut self, members: EndpointUpdate) {
        let mut changed = if members.full { self.drop_unlisted(&members) } else { Vec::new() };
        for (listed, address) in members.servers {
            if listed.state == EndpointState::Removed {
                self.peers.remove(&listed.server);
                changed.push(listed);
            } else if self.note(&listed, address) {
                changed.push(listed);
            }
        }
        // Who leaves comes first: to send there is in vain from now on.
        let (ready, leaving): (Vec<_>, Vec<_>) =
            changed.into_iter().partition(|listed| listed.state == EndpointState::Ready);
        self.news.extend(leaving.into_iter().chain(ready));
        self.tell_news();
    }

    /// Tells the module the next of what lists have said: so much that a turn stays short.
    fn tell_news(&mut self) {
        let count = self.news.len().min(NEWS_A_SLICE);
        let news: Vec<Endpoint> = self.news.drain(..count).collect();
        self.gateway.endpoints_updated(false, &news);
    }

    /// Drops the servers that a whole list does not have, and gives the word on each that it has gone.
    fn drop_unlisted(&mut self, members: &EndpointUpdate) -> Vec<Endpoint> {
        let listed: HashSet<&Id> = members.servers.iter().map(|(server, _)| &server.server).collect();
        let mut gone = Vec::new();
        // Trips that are out know their server's mailbox, and are ended as any other.
        self.peers.retain(|id, peer| {
            let stays = listed.contains(id);
            if !stays {
                gone.push(Endpoint { state: EndpointState::Removed, ..peer.listed.clone() });
            }
            stays
        });
        gone
    }

    /// Notes what the list says of a server that is there; whether that is new.
    fn note(&mut self, listed: &Endpoint, address: SocketAddr) -> bool {
        let Some(peer) = self.peers.get_mut(&listed.server) else {
            let peer = Peer { orders: None, address, listed: listed.clone() };
            self.peers.insert(listed.server.clone(), peer);
            return true;
        };
        if peer.address != address {
            peer.address = address;
            if peer.orders.is_some() {
                let order = Action::Server(listed.server.clone(), upstream::Order::Move(address));
                self.desk.borrow_mut().actions.push_back(order);
            }
        }
        let new = peer.listed != *listed;
        if new {
            peer.listed = listed.clone();
        }
        new
    }

    /// The mailbox of a server's actor, which starts with the first order to it: of thousands that are listed some tens are
    /// used.
    fn orders_to(&mut self, server: &Id) -> Option<Sender<upstream::Order>> {
        let (shared, events) = (&self.shared, &self.events);
        let peer = self.peers.get_mut(server)?;
        let orders = peer.orders.get_or_insert_with(|| upstream::start(shared, events, server, peer.address));
        Some(orders.clone())
    }

    /// By an answer that was refused otherwise: until a newer word these take nothing new, and all else is as it was.
    fn leave(&mut self, servers: &[Id]) {
        let index = self.shared.draining.borrow().index();
        let used = servers.iter().filter_map(|id| self.peers.get(id));
        let used = used.filter(|peer| peer.listed.state == EndpointState::Ready);
        let drains =
            |peer: &Peer| (Endpoint { state: EndpointState::Draining, ..peer.listed.clone() }, peer.address);
        let servers: Vec<_> = used.map(drains).collect();
        // Where all leave already nothing is new, and the pauses before the list is asked anew go on growing.
        if !servers.is_empty() {
            self.learn(EndpointUpdate { index, full: false, moved: false, servers });
        }
    }

    /// Which servers this gateway is to use from now on, where they are dealt out among all.
    fn look_at_subset(&mut self) {
        let Some(subsets) = self.shared.subsetting.get() else { return };
        let places = self.peers.iter().map(|(id, peer)| (&peer.listed, self.gateway.is_avoided(id)));
        let SubsetChange { subset, opens, leaves } = subsets.update(places);
        if subset.is_some() {
            self.gateway.set_subset(subset);
        }
        let opens = opens.into_iter().map(|server| Action::Server(server, upstream::Order::Probe));
        let leaves = leaves.into_iter().map(|server| Action::Server(server, upstream::Order::CloseIdle));
        self.desk.borrow_mut().actions.extend(opens.chain(leaves));
    }

    /// Which servers others have found to be bad, or well again.
    fn look_at_signals(&mut self) {
        let Some(signals) = self.shared.outlier_detection.get() else { return };
        for change in signals.update(self.peers.values().map(|peer| &peer.listed)) {
            self.gateway.set_ejected(&outlier_detection::server_id(&change), change.ejected);
        }
    }

    /// Able to serve once discovery has been asked and a server is known, be it from before the start.
    fn look_ready(&self) {
        self.shared.ready.set(self.peers.values().any(|peer| peer.listed.state == EndpointState::Ready));
    }

    /// Does what the module has said, and tells it what follows at once.
    async fn act(&mut self) {
        loop {
            let action = self.desk.borrow_mut().actions.pop_front();
            match (action, self.follows.is_empty()) {
                (Some(action), _) => self.perform(action).await,
                (None, false) => {
                    if let Some(event) = self.follows.pop_front() {
                        self.tell(event);
                    }
                }
                (None, true) => return,
            }
        }
    }

    async fn perform(&mut self, action: Action) {
        match action {
            Action::Send { transaction, server, limit } => self.send(transaction, server, limit).await,
            Action::Cancel { transaction, trip } => {
                let trips = self.held.get(&transaction).map(|held| &held.trips);
                if let Some(Some(orders)) = trips.and_then(|trips| trips.get(trip)) {
                    drop(orders.clone().send(upstream::Order::Cancel { transaction, trip }).await);
                }
            }
            Action::Refuse { transaction: id, answer: said, why } => {
                if let Some(reply) = self.held.get_mut(&id).and_then(|held| held.reply.take()) {
                    debug!(self.shared.log, #"request.answered", "given up"; "id" => &*id, "as" => ?said,
                        "why" => why.name());
                    answer(reply, said);
                }
                self.forget(&id);
            }
            Action::Alarm(at, token) => {
                self.alarms_set += 1;
                self.alarms.insert((at, self.alarms_set), token);
            }
            Action::Server(server, order) => {
                // Nothing is open at a server that was never used.
                let used = self.peers.get(&server).is_some_and(|peer| peer.orders.is_some());
                if used || matches!(order, upstream::Order::Probe) {
                    if let Some(orders) = self.orders_to(&server) {
                        drop(orders.send(order).await);
                    }
                }
            }
            Action::Add(add) => self.add(add),
            Action::List(order) => {
                if self.list.try_send(order).is_err() {
                    self.follows.push_back(Event::EndpointsUnavailable);
                }
            }
        }
    }

    async fn send(&mut self, transaction: Id, server: Id, limit: Micros) {
        let now = self.shared.clock.now();
        let orders = self.orders_to(&server);
        let Some(held) = self.held.get_mut(&transaction) else {
            return warn!(self.shared.log, #"trip.not-open", "a trip of what is not open"; "id" => &*transaction);
        };
        if let Some(subsets) = self.shared.subsetting.get() {
            subsets.attempt_forwarded();
        }
        if self.shared.outlier_detection.get().is_some_and(|signals| signals.may_forward(&server)) {
            self.gateway.set_ejected(&server, true);
        }
        let trip = held.trips.len();
        held.trips.push(orders.clone());
        held.out += 1;
        let left = held.hard_stop.saturating_sub(now);
        let limit = if limit == 0 { left } else { limit.min(left) };
        debug!(self.shared.log, #"attempt.begun", "an attempt"; "id" => &*transaction, "attempt" => trip,
            "server" => &*server, "limit_us" => limit);
        if let (Some(orders), true) = (orders, left > 0) {
            let order = upstream::Order::Trip { call: held.call.clone(), trip, limit, made: Instant::now() };
            if orders.send(order).await.is_ok() {
                return;
            }
        }
        let end = Err(AttemptFailure::unsent(ConnectionEnd::NoSocket));
        self.follows.push_back(Event::AttemptCompleted(CompletedAttempt {
            request: transaction,
            attempt: trip,
            server,
            end,
            elapsed: 0,
        }));
    }

    /// An amount for a count: the other gateways are told, and the counter if there is any use in it.
    fn add(&mut self, mut add: Add) {
        if self.shared.joins_membership {
            let now = self.desk.borrow().now;
            let known = self.tell_others(now, &add.count, add.amount, add.life);
            let tally = self.tally.get_or_insert_with(|| CounterMonitor::new(now));
            match tally.add(now, &add.count, add.amount, add.life, known) {
                AddStep::Forward(amount) => add.amount = amount,
                AddStep::Reply(total) => {
                    let end = Ok(CounterTotal::Total(total));
                    return self.follows.push_back(Event::GossipTotalKnown { key: add.count, end });
                }
            }
        }
        self.call(add);
    }

    /// Tells the other gateways of an amount, and gives what all know of its count with that. While another process of this
    /// gateway speaks with them the amounts are kept, and told once this one does.
    fn tell_others(
        &self,
        now: Micros,
        count: &str,
        amount: f64,
        life: Micros,
    ) -> Option<monitor::GossipTotal> {
        match self.shared.membership.get() {
            Some(mesh) => mesh.add_to_counter(count, amount, life),
            None => {
                self.shared.undelivered_updates.borrow_mut().add(count, amount, now + life);
                None
            }
        }
    }

    /// What the module is to hear of a call's end.
    fn counted(&mut self, count: &str, (outcome, total): (Outcome, f64), took: Micros) -> (Outcome, f64) {
        let Some(tally) = &mut self.tally else { return (outcome, total) };
        let mesh = self.shared.membership.get();
        let end = match outcome {
            Outcome::Ok => CallOutcome::Total(total),
            outcome if outcome.never_ran() => CallOutcome::NotApplied,
            _ => CallOutcome::Unknown,
        };
        let before = tally.health();
        let now = self.desk.borrow().now;
        let told =
            tally.call_completed(now, count, end, took, mesh.and_then(|mesh| mesh.gossip_total(count)));
        let standing = tally.health();
        if let Some(mesh) = mesh {
            mesh.standing.set(standing);
        }
        if standing != before {
            let (from, to) = (before.name(), standing.name());
            info!(self.shared.log, #"counter.stands", "the counter stands otherwise"; "from" => from, "to" => to);
        }
        match told {
            monitor::CounterReply::Total(total) => (Outcome::Ok, total),
            monitor::CounterReply::NotApplied(amount) => {
                // The module takes it for not added, and adds it again itself: the others must not hear of it twice.
                self.tell_others(now, count, -amount, 0);
                (outcome, 0.0)
            }
            monitor::CounterReply::Unknown => (outcome, 0.0),
        }
    }

    /// The counter's actor waits for this one at times, so this one must not wait for it.
    fn call(&mut self, add: Add) {
        let sent = self.counter.as_ref().map(|counter| counter.try_send(add));
        if let Some(Err(TrySendError::Full(add) | TrySendError::Closed(add))) = sent {
            let counted = Event::CounterReplied { key: add.count, end: Ok(CounterTotal::Full), elapsed: 0 };
            self.follows.push_back(counted);
        }
    }
}

/// A client that has gone by now hears nothing.
fn answer(reply: ReplyHandle, answer: FinalAnswer) {
    finish(reply, FinalReply::Complete(answer));
}

fn finish(reply: ReplyHandle, last: FinalReply) {
    let ReplyHandle { number, to, places, .. } = reply;
    let _ = to.try_send((number, last, places));
}
