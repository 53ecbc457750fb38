//! Tests of the replicated list under message loss, duplication and delays, with holders that change, pause and act
//! late.

use std::collections::BTreeMap;

use fernscale_lease::replicated_list::{
    Entry, Fragment, ListMessage, Output, ReplicatedList, SourceReply, Version,
};
use fernscale_lease::{FencingToken, Micros, Name, ProcessId, MILLISECOND, SECOND};

const MAX_AGE: Micros = 3 * SECOND;

struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound.max(1)
    }
}

fn entry(name: u64, text: u64) -> Entry {
    Entry { name: format!("server-{name}"), removed: text == u64::MAX, body: format!("{text}") }
}

/// The source: the latest change of each entry with its index, sorted by index.
#[derive(Default)]
struct Source {
    changes: Vec<(u64, Entry)>,
    polls: u64,
    is_down: bool,
}

impl Source {
    fn index(&self) -> u64 {
        self.changes.last().map_or(0, |(index, _)| *index)
    }

    fn change(&mut self, entry: Entry) {
        let next = self.index() + 1;
        self.changes.retain(|(_, own)| own.name != entry.name);
        self.changes.push((next, entry));
    }

    fn reply(&mut self, since: Option<u64>) -> Option<SourceReply> {
        self.polls += 1;
        let newer = self.changes.iter().filter(|(index, own)| match since {
            Some(since) => *index > since,
            None => !own.removed,
        });
        let entries = newer.map(|(_, own)| own.clone()).collect();
        (!self.is_down).then(|| SourceReply { index: self.index(), is_complete: since.is_none(), entries })
    }
}

struct Simulation {
    now: Micros,
    random: Random,
    source: Source,
    gateways: Vec<(ReplicatedList, BTreeMap<String, String>)>,
    holder: Option<usize>,
    term: u64,
    paused: Vec<usize>,
    partitioned: Vec<usize>,
    loss_percent: u64,
    max_delay: Micros,
    sequence: u64,
    in_transit: BTreeMap<(Micros, u64), (usize, usize, ListMessage)>,
    versions: Vec<Option<Version>>,
}

impl Simulation {
    fn new(count: usize, seed: u64) -> Simulation {
        let gateway = |_| (ReplicatedList::new(&"list".into(), MAX_AGE, None, SECOND, 0.5), BTreeMap::new());
        let mut source = Source::default();
        (0..10).for_each(|name| source.change(entry(name, 0)));
        Simulation {
            now: SECOND,
            random: Random(seed * 0x9e37_79b9 + 1),
            source,
            gateways: (0..count).map(gateway).collect(),
            holder: Some(0),
            term: 1,
            paused: Vec::new(),
            partitioned: Vec::new(),
            loss_percent: 0,
            max_delay: 2 * MILLISECOND,
            sequence: 0,
            in_transit: BTreeMap::new(),
            versions: vec![None; count],
        }
    }

    fn token(&self, gateway_index: usize) -> Option<FencingToken> {
        (self.holder == Some(gateway_index))
            .then_some(FencingToken { term: self.term, process: ProcessId(gateway_index as u64) })
    }

    fn elect(&mut self, gateway: usize) {
        self.holder = Some(gateway);
        self.term += 1;
    }

    fn send(&mut self, from: usize, to: usize, message: ListMessage) {
        let side = |gateway_index: usize| self.partitioned.contains(&gateway_index);
        if from == to || side(from) != side(to) || self.random.below(100) < self.loss_percent {
            return;
        }
        for _ in 0..=u64::from(self.random.below(10) == 0) {
            self.sequence += 1;
            let arrival = self.now + 1 + self.random.below(self.max_delay);
            self.in_transit.insert((arrival, self.sequence), (from, to, message.clone()));
        }
    }

    fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 5 * MILLISECOND;
            while let Some(first) = self.in_transit.first_entry().filter(|first| first.key().0 <= self.now) {
                let (from, to, message) = first.remove();
                if !self.paused.contains(&to) {
                    let name = Name::from(format!("{from}"));
                    self.gateways[to].0.handle_message(self.now, &name, message);
                    self.drain_outputs(to);
                }
            }
            for gateway_index in 0..self.gateways.len() {
                if !self.paused.contains(&gateway_index) {
                    let is_holder = self.holder == Some(gateway_index);
                    self.gateways[gateway_index].0.handle_timeout(self.now, is_holder, gateway_index);
                    self.drain_outputs(gateway_index);
                }
            }
        }
    }

    fn drain_outputs(&mut self, gateway_index: usize) {
        while let Some(output) = self.gateways[gateway_index].0.poll_output() {
            let with_token = |simulation: &Simulation, fragment: Fragment| {
                ListMessage::Fragment(simulation.token(gateway_index), fragment)
            };
            match output {
                Output::Poll { since } => {
                    let reply = self.source.reply(since);
                    let term = self.token(gateway_index).map(|token| token.term);
                    self.gateways[gateway_index].0.poll_completed(self.now, reply, term);
                }
                Output::Broadcast(fragment) => {
                    let message = with_token(self, fragment);
                    (0..self.gateways.len()).for_each(|to| self.send(gateway_index, to, message.clone()));
                }
                Output::SendFragment(to, fragment) => {
                    let message = with_token(self, fragment);
                    self.send(gateway_index, to.parse().expect("a number"), message);
                }
                Output::SendMessage(to, message) => {
                    self.send(gateway_index, to.parse().expect("a number"), message);
                }
                Output::Updated(SourceReply { is_complete, entries, .. }) => {
                    let copy = &mut self.gateways[gateway_index].1;
                    if is_complete {
                        copy.clear();
                    }
                    for entry in entries {
                        if entry.removed {
                            copy.remove(&entry.name);
                        } else {
                            copy.insert(entry.name, entry.body);
                        }
                    }
                }
                Output::HandOver => self.holder = self.holder.map(|own| (own + 1) % self.gateways.len()),
                Output::Rejected(_) => {}
            }
            let version = self.gateways[gateway_index].0.version();
            assert!(
                version >= self.versions[gateway_index],
                "the list of gateway {gateway_index} returns to an earlier version"
            );
            self.versions[gateway_index] = version;
        }
    }

    /// Whether all running gateways have the list of the source.
    fn have_converged(&self) -> bool {
        let present = self.source.changes.iter().filter(|(_, own)| !own.removed);
        let expected: BTreeMap<_, _> = present.map(|(_, own)| (own.name.clone(), own.body.clone())).collect();
        let is_running = |gateway_index: &usize| !self.paused.contains(gateway_index);
        (0..self.gateways.len())
            .filter(is_running)
            .all(|gateway_index| self.gateways[gateway_index].1 == expected)
    }
}

#[test]
fn changes_reach_all_gateways_within_a_third_of_the_maximum_age_and_only_the_holder_polls() {
    let mut simulation = Simulation::new(30, 3);
    simulation.run(2 * SECOND);
    assert!(simulation.have_converged());
    let polls = simulation.source.polls;
    for change in 1..8 {
        simulation.source.change(entry(change, change));
        simulation.run(SECOND);
        assert!(simulation.have_converged());
    }
    // The holder polls twice per second. The other gateways do not poll.
    assert!(simulation.source.polls - polls <= 16, "{} polls", simulation.source.polls - polls);
}

#[test]
fn no_copy_returns_to_an_earlier_version_under_random_faults_and_all_converge_afterwards() {
    for seed in 1..60 {
        let mut simulation = Simulation::new(8, seed);
        simulation.run(SECOND);
        simulation.loss_percent = 20;
        simulation.max_delay = 400 * MILLISECOND;
        for step in 0..40 {
            let gateway_index = simulation.random.below(8) as usize;
            match simulation.random.below(9) {
                0 => simulation.elect(gateway_index),
                1 => simulation.holder = None,
                2 => simulation.paused = vec![gateway_index],
                3 => simulation.paused.clear(),
                4 => simulation.partitioned = (0..gateway_index).collect(),
                5 => simulation.partitioned.clear(),
                6 => simulation.source.is_down = !simulation.source.is_down,
                _ => {
                    let name = simulation.random.below(14);
                    let removed = simulation.random.below(4) == 0;
                    simulation.source.change(entry(name, if removed { u64::MAX } else { step }));
                }
            }
            let time = simulation.random.below(700) * MILLISECOND;
            simulation.run(time);
        }
        simulation.paused.clear();
        simulation.partitioned.clear();
        simulation.source.is_down = false;
        simulation.loss_percent = 0;
        simulation.max_delay = 2 * MILLISECOND;
        simulation.holder = None;
        simulation.run(2 * MAX_AGE);
        assert!(simulation.have_converged(), "seed {seed}: without a holder");
        simulation.elect(3);
        simulation.source.change(entry(1, 77));
        simulation.run(MAX_AGE / 2);
        assert!(simulation.have_converged(), "seed {seed}: with a holder");
    }
}

#[test]
fn without_a_holder_gateways_poll_in_turns() {
    let mut simulation = Simulation::new(30, 5);
    simulation.run(2 * SECOND);
    simulation.holder = None;
    let polls = simulation.source.polls;
    for change in 1..11 {
        simulation.source.change(entry(2, change));
        simulation.run(SECOND);
    }
    // The whole fleet polls about once per second. Without turns each gateway would poll once per second.
    assert!(simulation.source.polls - polls < 25, "{} polls", simulation.source.polls - polls);
    simulation.run(MAX_AGE / 2);
    assert!(simulation.have_converged());
}

/// When a fleet starts, the gateways do not know each other yet and could all poll at the same time.
#[test]
fn gateways_that_start_together_poll_at_random_times_with_a_list_and_at_once_without() {
    let first_deadline = |known_index, jitter| {
        ReplicatedList::new(&"list".into(), MAX_AGE, known_index, SECOND, jitter).next_deadline(false, 0)
    };
    assert_eq!((first_deadline(None, 0.9), first_deadline(Some(4), 0.0)), (SECOND, SECOND));
    assert_eq!(first_deadline(Some(4), 0.5), SECOND + MAX_AGE / 6);
    assert_eq!(first_deadline(Some(4), 7.0), SECOND + MAX_AGE / 3);
}

#[test]
fn a_broadcast_with_a_stale_token_is_rejected_with_the_highest() {
    let fragment = |index: u64, text: u64| Fragment {
        version: Version { epoch: 0, index },
        since: None,
        age_ms: 0,
        number: 0,
        count: 1,
        entries: vec![entry(1, text)],
    };
    let token = |term: u64| FencingToken { term, process: ProcessId(term) };
    let mut list = ReplicatedList::new(&"list".into(), MAX_AGE, None, SECOND, 0.5);
    list.handle_message(SECOND, &"b".into(), ListMessage::Fragment(Some(token(5)), fragment(3, 5)));
    list.handle_message(SECOND, &"a".into(), ListMessage::Fragment(Some(token(4)), fragment(9, 4)));
    let mut outputs = Vec::new();
    while let Some(output) = list.poll_output() {
        outputs.push(output);
    }
    let update = SourceReply { index: 3, is_complete: true, entries: vec![entry(1, 5)] };
    assert_eq!(
        outputs,
        [Output::Updated(update), Output::SendMessage("a".into(), ListMessage::Rejected(token(5)))]
    );
}

#[test]
fn an_old_list_is_stale_until_a_poll_has_succeeded_or_failed() {
    let mut list = ReplicatedList::new(&"list".into(), MAX_AGE, Some(4), SECOND, 0.0);
    assert!(!list.is_stale(SECOND));
    // The process was suspended for a long time.
    let late = 60 * SECOND;
    assert!(list.is_stale(late));
    list.handle_timeout(late, false, 0);
    assert_eq!(list.poll_output(), Some(Output::Poll { since: None }));
    list.poll_completed(late, None, None);
    assert!(!list.is_stale(late), "after a failed poll the old list may be used");
}

#[test]
fn only_a_holder_starts_an_epoch_for_a_source_with_a_lower_index() {
    let mut list = ReplicatedList::new(&"list".into(), MAX_AGE, None, SECOND, 0.5);
    let reply = |index| Some(SourceReply { index, is_complete: true, entries: vec![entry(1, index)] });
    list.handle_timeout(2 * SECOND, false, 0);
    list.poll_completed(2 * SECOND, reply(50), None);
    list.handle_timeout(4 * SECOND, false, 0);
    list.poll_completed(4 * SECOND, reply(7), None);
    assert_eq!(list.version(), Some(Version { epoch: 0, index: 50 }));
    list.handle_timeout(8 * SECOND, true, 0);
    list.poll_completed(8 * SECOND, reply(7), Some(6));
    assert_eq!(list.version(), Some(Version { epoch: 6, index: 7 }));
}
