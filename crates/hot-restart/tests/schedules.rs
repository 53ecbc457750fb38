//! Processes that come, end and are killed, and operators who speak to any of them, on schedules by seed.

use std::collections::BTreeMap;

use fernscale_hot_restart::state::{
    Change, Generation, HotRestart, OtherProcess, ProcessRecord, ProcessShare,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SOCKETS: usize = 400;
const SERVERS: [&str; 3] = ["s0", "s1", "s2"];

struct Process {
    core: HotRestart,
    part: ProcessShare,
    held: usize,
    /// What its module has been told.
    out: BTreeMap<String, bool>,
}

/// All processes, and the directory that they share: the last record of each, dead or alive.
#[derive(Default)]
struct World {
    live: BTreeMap<Generation, Process>,
    files: BTreeMap<Generation, Option<ProcessRecord>>,
    next: Generation,
    now: u64,
}

impl World {
    fn come(&mut self) -> Generation {
        self.next += 1;
        let core = HotRestart::new(self.next, SOCKETS);
        self.files.insert(self.next, Some(core.record()));
        let part = ProcessShare { fraction: 0.0, processes: 1, descriptors: 0 };
        self.live.insert(self.next, Process { core, part, held: 0, out: BTreeMap::new() });
        self.next
    }

    fn others(&self) -> Vec<OtherProcess> {
        let other = |(generation, record): (&Generation, &Option<ProcessRecord>)| OtherProcess {
            generation: *generation,
            is_alive: self.live.contains_key(generation),
            record: record.clone(),
        };
        self.files.iter().map(other).collect()
    }

    fn look(&mut self, who: Generation) {
        self.now += 20_000;
        let others = self.others();
        let process = self.live.get_mut(&who).expect("it lives");
        for change in process.core.update(&others, process.held, self.now) {
            match change {
                Change::Cordoned(server) => drop(process.out.insert(server, true)),
                Change::Uncordoned(server, _) => drop(process.out.insert(server, false)),
                Change::Share(part) => process.part = part,
            }
        }
        // It takes what it may.
        process.held =
            process.held.max(process.part.descriptors / 2).min(process.part.descriptors.max(process.held));
        self.files.insert(who, Some(process.core.record()));
    }

    fn word(&mut self, who: Generation, server: &str, out: bool) {
        let process = self.live.get_mut(&who).expect("it lives");
        process.core.set_cordon(server, out, self.now);
        process.out.insert(server.into(), out);
        self.files.insert(who, Some(process.core.record()));
    }

    fn settle(&mut self) {
        for _ in 0..4 {
            for who in self.live.keys().copied().collect::<Vec<_>>() {
                self.look(who);
            }
        }
    }

    fn parts(&self) -> f64 {
        self.live.values().map(|process| process.part.fraction).sum()
    }

    fn sees(&self, who: Generation, server: &str) -> bool {
        self.live[&who].out.get(server).copied().unwrap_or(false)
    }
}

#[test]
fn parts_are_never_more_than_one_gateways_and_the_last_word_holds_everywhere() {
    for seed in 0..400 {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::default();
        let mut said: BTreeMap<&str, bool> = BTreeMap::new();
        world.come();
        for _ in 0..200 {
            let all: Vec<Generation> = world.live.keys().copied().collect();
            let one = all.get(chance.gen_range(0..all.len().max(1))).copied();
            match (chance.gen_range(0..20), one) {
                (0, _) | (_, None) if world.live.len() < 4 => drop(world.come()),
                (1, Some(one)) => drop(world.live.remove(&one)),
                (2, Some(one)) => world.live.get_mut(&one).expect("it lives").core.begin_shutdown(),
                (3, Some(one)) if chance.gen() => drop(world.files.insert(one, None)),
                (3..=5, Some(one)) => {
                    // As operators do: the next word once the last has been heard, at any process.
                    world.settle();
                    let (server, out) = (SERVERS[chance.gen_range(0..3)], chance.gen());
                    world.word(one, server, out);
                    said.insert(server, out);
                    if chance.gen() {
                        world.settle();
                        let core = &world.live[&one].core;
                        assert!(
                            core.is_acknowledged(core.version()),
                            "seed {seed}: a word that is not heard"
                        );
                    }
                }
                (_, Some(one)) => world.look(one),
                _ => {}
            }
            assert!(world.parts() <= 1.0 + 1e-9, "seed {seed}: {} gateways", world.parts());
        }
        if world.live.is_empty() {
            continue;
        }
        world.settle();
        assert!((world.parts() - 1.0).abs() < 1e-9, "seed {seed}: {} of one gateway", world.parts());
        let all: Vec<Generation> = world.live.keys().copied().collect();
        for server in SERVERS {
            let told: Vec<bool> = all.iter().map(|who| world.sees(*who, server)).collect();
            assert!(told.iter().all(|out| *out == told[0]), "seed {seed}: {server} is {told:?}");
        }
    }
}

#[test]
fn a_word_outlives_the_process_that_heard_it() {
    let mut world = World::default();
    let old = world.come();
    world.look(old);
    world.word(old, "s0", true);
    world.word(old, "s1", true);
    world.word(old, "s1", false);
    world.live.remove(&old);
    let new = world.come();
    world.look(new);
    assert!(world.sees(new, "s0"));
    // Called back a moment ago: the new process has to take it for cold.
    assert_eq!(world.live[&new].out.get("s1"), Some(&false));
    world.word(new, "s0", false);
    let third = world.come();
    world.settle();
    assert!(!world.sees(third, "s0"));
}

#[test]
fn a_newcomer_has_nothing_until_all_have_said_that_they_know_of_it() {
    let mut world = World::default();
    let old = world.come();
    world.look(old);
    let new = world.come();
    world.look(new);
    assert_eq!((world.live[&old].part.fraction, world.live[&new].part.fraction), (1.0, 0.0));
    assert!(!world.live[&new].core.is_settled());
    world.look(old);
    assert_eq!((world.live[&old].part.fraction, world.live[&new].part.fraction), (0.5, 0.0));
    world.look(new);
    assert_eq!((world.live[&new].part.fraction, world.live[&new].part.descriptors), (0.5, SOCKETS / 2));
    // The old one ends: what it does not hold any more is the new one's, and all of it once it is gone.
    world.live.get_mut(&old).expect("it lives").held = 30;
    world.live.get_mut(&old).expect("it lives").core.begin_shutdown();
    world.look(old);
    world.look(new);
    let [ends, comes] = [old, new].map(|who| world.live[&who].part.descriptors);
    assert!(ends + comes <= SOCKETS && comes > SOCKETS * 3 / 4, "{ends} and {comes}");
    world.live.remove(&old);
    world.look(new);
    let part = world.live[&new].part;
    assert_eq!((part.fraction, part.processes, part.descriptors), (1.0, 1, SOCKETS));
}

#[test]
fn one_whose_record_can_not_be_read_counts_and_a_dead_one_does_not() {
    let mut world = World::default();
    let old = world.come();
    world.files.insert(old, None);
    let new = world.come();
    world.look(new);
    assert_eq!(world.live[&new].part.fraction, 0.0);
    world.live.remove(&old);
    world.look(new);
    assert_eq!(world.live[&new].part.fraction, 1.0);
}
