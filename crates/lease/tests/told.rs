//! The list that one asks for and all are told, under loss, doubling and delays, with owners that change, stop and come late.

use std::collections::BTreeMap;

use fernscale_lease::replicated_list::{
    Entry, Fragment, ListMessage, Output, ReplicatedList, SourceReply, Version,
};
use fernscale_lease::{FencingToken, Micros, Name, ProcessId, MILLISECOND, SECOND};

const WITHIN: Micros = 3 * SECOND;

struct Chance(u64);

impl Chance {
    fn below(&mut self, most: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % most.max(1)
    }
}

fn entry(name: u64, text: u64) -> Entry {
    Entry { name: format!("box-{name}"), removed: text == u64::MAX, body: format!("{text}") }
}

/// The source: changes in order, each with its version.
#[derive(Default)]
struct Source {
    changes: Vec<(u64, Entry)>,
    calls: u64,
    down: bool,
}

impl Source {
    fn index(&self) -> u64 {
        self.changes.last().map_or(0, |(index, _)| *index)
    }

    fn changes(&mut self, entry: Entry) {
        let next = self.index() + 1;
        self.changes.retain(|(_, own)| own.name != entry.name);
        self.changes.push((next, entry));
    }

    fn answer(&mut self, since: Option<u64>) -> Option<SourceReply> {
        self.calls += 1;
        let newer = self.changes.iter().filter(|(index, own)| match since {
            Some(since) => *index > since,
            None => !own.removed,
        });
        let entries = newer.map(|(_, own)| own.clone()).collect();
        (!self.down).then(|| SourceReply { index: self.index(), is_complete: since.is_none(), entries })
    }
}

struct World {
    now: Micros,
    chance: Chance,
    source: Source,
    gateways: Vec<(ReplicatedList, BTreeMap<String, String>)>,
    owner: Option<usize>,
    term: u64,
    paused: Vec<usize>,
    parted: Vec<usize>,
    loss: u64,
    longest: Micros,
    order: u64,
    due: BTreeMap<(Micros, u64), (usize, usize, ListMessage)>,
    versions: Vec<Option<Version>>,
}

impl World {
    fn new(count: usize, seed: u64) -> World {
        let told = |_| (ReplicatedList::new(&"list".into(), WITHIN, None, SECOND, 0.5), BTreeMap::new());
        let mut source = Source::default();
        (0..10).for_each(|name| source.changes(entry(name, 0)));
        World {
            now: SECOND,
            chance: Chance(seed * 0x9e37_79b9 + 1),
            source,
            gateways: (0..count).map(told).collect(),
            owner: Some(0),
            term: 1,
            paused: Vec::new(),
            parted: Vec::new(),
            loss: 0,
            longest: 2 * MILLISECOND,
            order: 0,
            due: BTreeMap::new(),
            versions: vec![None; count],
        }
    }

    fn fence(&self, at: usize) -> Option<FencingToken> {
        (self.owner == Some(at)).then_some(FencingToken { term: self.term, process: ProcessId(at as u64) })
    }

    fn send(&mut self, from: usize, to: usize, note: ListMessage) {
        let side = |at: usize| self.parted.contains(&at);
        if from == to || side(from) != side(to) || self.chance.below(100) < self.loss {
            return;
        }
        for _ in 0..1 + u64::from(self.chance.below(10) == 0) {
            self.order += 1;
            let at = self.now + 1 + self.chance.below(self.longest);
            self.due.insert((at, self.order), (from, to, note.clone()));
        }
    }

    fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while self.now < until {
            self.now += 5 * MILLISECOND;
            while let Some(first) = self.due.first_entry().filter(|first| first.key().0 <= self.now) {
                let (from, to, note) = first.remove();
                if !self.paused.contains(&to) {
                    let name = Name::from(format!("{from}"));
                    self.gateways[to].0.handle_message(self.now, &name, note);
                    self.carry(to);
                }
            }
            for at in 0..self.gateways.len() {
                if !self.paused.contains(&at) {
                    let owns = self.owner == Some(at);
                    self.gateways[at].0.handle_timeout(self.now, owns, at);
                    self.carry(at);
                }
            }
        }
    }

    fn carry(&mut self, at: usize) {
        while let Some(output) = self.gateways[at].0.poll_output() {
            let signed = |world: &World, piece: Fragment| ListMessage::Fragment(world.fence(at), piece);
            match output {
                Output::Poll { since } => {
                    let answer = self.source.answer(since);
                    let term = self.fence(at).map(|fence| fence.term);
                    self.gateways[at].0.poll_completed(self.now, answer, term);
                }
                Output::Broadcast(piece) => {
                    let note = signed(self, piece);
                    (0..self.gateways.len()).for_each(|to| self.send(at, to, note.clone()));
                }
                Output::SendFragment(to, piece) => {
                    let note = signed(self, piece);
                    self.send(at, to.parse().expect("a number"), note);
                }
                Output::SendMessage(to, note) => self.send(at, to.parse().expect("a number"), note),
                Output::Updated(SourceReply { is_complete: full, entries, .. }) => {
                    let known = &mut self.gateways[at].1;
                    if full {
                        known.clear();
                    }
                    for entry in entries {
                        if entry.removed {
                            known.remove(&entry.name);
                        } else {
                            known.insert(entry.name, entry.body);
                        }
                    }
                }
                Output::HandOver => self.owner = self.owner.map(|own| (own + 1) % self.gateways.len()),
                Output::Rejected(_) => {}
            }
            let version = self.gateways[at].0.version();
            assert!(version >= self.versions[at], "the list of {at} goes back");
            self.versions[at] = version;
        }
    }

    /// All that run know what the source has.
    fn all_know(&self) -> bool {
        let there = self.source.changes.iter().filter(|(_, own)| !own.removed);
        let whole: BTreeMap<_, _> = there.map(|(_, own)| (own.name.clone(), own.body.clone())).collect();
        let runs = |at: &usize| !self.paused.contains(at);
        (0..self.gateways.len()).filter(runs).all(|at| self.gateways[at].1 == whole)
    }
}

#[test]
fn all_know_what_is_new_within_a_third_and_one_asks() {
    let mut world = World::new(30, 3);
    world.run(2 * SECOND);
    assert!(world.all_know());
    let calls = world.source.calls;
    for change in 1..8 {
        world.source.changes(entry(change, change));
        world.run(SECOND);
        assert!(world.all_know());
    }
    // Two a second by the owner, and nobody else.
    assert!(world.source.calls - calls <= 16, "{} calls", world.source.calls - calls);
}

#[test]
fn whatever_happens_nobodys_list_goes_back_and_in_the_end_all_know() {
    for seed in 1..60 {
        let mut world = World::new(8, seed);
        world.run(SECOND);
        (world.loss, world.longest) = (20, 400 * MILLISECOND);
        for step in 0..40 {
            let at = world.chance.below(8) as usize;
            match world.chance.below(9) {
                0 => (world.owner, world.term) = (Some(at), world.term + 1),
                1 => world.owner = None,
                2 => world.paused = vec![at],
                3 => world.paused.clear(),
                4 => world.parted = (0..at).collect(),
                5 => world.parted.clear(),
                6 => world.source.down = !world.source.down,
                _ => {
                    let (name, gone) = (world.chance.below(14), world.chance.below(4) == 0);
                    world.source.changes(entry(name, if gone { u64::MAX } else { step }));
                }
            }
            let time = world.chance.below(700) * MILLISECOND;
            world.run(time);
        }
        world.paused.clear();
        world.parted.clear();
        world.source.down = false;
        (world.loss, world.longest, world.owner) = (0, 2 * MILLISECOND, None);
        world.run(2 * WITHIN);
        assert!(world.all_know(), "seed {seed}: without an owner");
        (world.owner, world.term) = (Some(3), world.term + 1);
        world.source.changes(entry(1, 77));
        world.run(WITHIN / 2);
        assert!(world.all_know(), "seed {seed}: with one");
    }
}

#[test]
fn without_an_owner_those_who_ask_take_turns() {
    let mut world = World::new(30, 5);
    world.run(2 * SECOND);
    world.owner = None;
    let calls = world.source.calls;
    for change in 1..11 {
        world.source.changes(entry(2, change));
        world.run(SECOND);
    }
    // About one a second in all, where each would ask once a second.
    assert!(world.source.calls - calls < 25, "{} calls", world.source.calls - calls);
    world.run(WITHIN / 2);
    assert!(world.all_know());
}

/// Danger: a fleet that starts together, before its gateways know each other, asks all at once.
#[test]
fn those_who_start_together_with_a_list_ask_by_a_draw_and_those_without_one_at_once() {
    let due = |known, drawn| {
        ReplicatedList::new(&"list".into(), WITHIN, known, SECOND, drawn).next_deadline(false, 0)
    };
    assert_eq!((due(None, 0.9), due(Some(4), 0.0)), (SECOND, SECOND));
    assert_eq!(due(Some(4), 0.5), SECOND + WITHIN / 6);
    assert_eq!(due(Some(4), 7.0), SECOND + WITHIN / 3);
}

#[test]
fn an_owner_of_an_earlier_term_is_refused_and_told_so() {
    let piece = |index: u64, text: u64| Fragment {
        version: Version { epoch: 0, index },
        since: None,
        age_ms: 0,
        number: 0,
        count: 1,
        entries: vec![entry(1, text)],
    };
    let fence = |term: u64| FencingToken { term, process: ProcessId(term) };
    let mut told = ReplicatedList::new(&"list".into(), WITHIN, None, SECOND, 0.5);
    told.handle_message(SECOND, &"b".into(), ListMessage::Fragment(Some(fence(5)), piece(3, 5)));
    told.handle_message(SECOND, &"a".into(), ListMessage::Fragment(Some(fence(4)), piece(9, 4)));
    let mut out = Vec::new();
    while let Some(output) = told.poll_output() {
        out.push(output);
    }
    let learned = SourceReply { index: 3, is_complete: true, entries: vec![entry(1, 5)] };
    assert_eq!(
        out,
        [Output::Updated(learned), Output::SendMessage("a".into(), ListMessage::Rejected(fence(5)))]
    );
}

#[test]
fn a_list_that_is_too_old_is_stale_until_the_source_has_answered_or_could_not() {
    let mut told = ReplicatedList::new(&"list".into(), WITHIN, Some(4), SECOND, 0.0);
    assert!(!told.is_stale(SECOND));
    // Stopped for long, and awake again.
    let late = 60 * SECOND;
    assert!(told.is_stale(late));
    told.handle_timeout(late, false, 0);
    assert_eq!(told.poll_output(), Some(Output::Poll { since: None }));
    told.poll_completed(late, None, None);
    assert!(!told.is_stale(late), "nobody can say anything newer");
}

#[test]
fn a_source_that_counts_anew_is_another_numbering_which_only_an_owner_begins() {
    let mut told = ReplicatedList::new(&"list".into(), WITHIN, None, SECOND, 0.5);
    let answer = |index| Some(SourceReply { index, is_complete: true, entries: vec![entry(1, index)] });
    told.handle_timeout(2 * SECOND, false, 0);
    told.poll_completed(2 * SECOND, answer(50), None);
    told.handle_timeout(4 * SECOND, false, 0);
    told.poll_completed(4 * SECOND, answer(7), None);
    assert_eq!(told.version(), Some(Version { epoch: 0, index: 50 }));
    told.handle_timeout(8 * SECOND, true, 0);
    told.poll_completed(8 * SECOND, answer(7), Some(6));
    assert_eq!(told.version(), Some(Version { epoch: 6, index: 7 }));
}
