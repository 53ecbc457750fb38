//! Seeded random schedules in which processes start, shut down and are killed, and operators cordon servers at any process.

use std::collections::BTreeMap;

use fernscale_hot_restart::state::{
    Change, Generation, HotRestart, OtherProcess, ProcessRecord, ProcessShare,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DESCRIPTORS: usize = 400;
const SERVERS: [&str; 3] = ["s0", "s1", "s2"];

struct Process {
    core: HotRestart,
    share: ProcessShare,
    held_descriptors: usize,
    /// The cordons that were passed to the process's dispatcher.
    cordoned: BTreeMap<String, bool>,
}

/// All processes, and the directory that they share, with the last record of each process, live or ended.
#[derive(Default)]
struct World {
    live: BTreeMap<Generation, Process>,
    files: BTreeMap<Generation, Option<ProcessRecord>>,
    next: Generation,
    now: u64,
}

impl World {
    fn start_process(&mut self) -> Generation {
        self.next += 1;
        let core = HotRestart::new(self.next, DESCRIPTORS);
        self.files.insert(self.next, Some(core.record()));
        let share = ProcessShare { fraction: 0.0, processes: 1, descriptors: 0 };
        self.live.insert(self.next, Process { core, share, held_descriptors: 0, cordoned: BTreeMap::new() });
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

    fn update(&mut self, generation: Generation) {
        self.now += 20_000;
        let others = self.others();
        let process = self.live.get_mut(&generation).expect("live");
        for change in process.core.update(&others, process.held_descriptors, self.now) {
            match change {
                Change::Cordoned(server) => drop(process.cordoned.insert(server, true)),
                Change::Uncordoned(server, _) => drop(process.cordoned.insert(server, false)),
                Change::Share(share) => process.share = share,
            }
        }
        // The process opens half of the descriptors that it may hold.
        process.held_descriptors = process
            .held_descriptors
            .max(process.share.descriptors / 2)
            .min(process.share.descriptors.max(process.held_descriptors));
        self.files.insert(generation, Some(process.core.record()));
    }

    fn set_cordon(&mut self, generation: Generation, server: &str, cordoned: bool) {
        let process = self.live.get_mut(&generation).expect("live");
        process.core.set_cordon(server, cordoned, self.now);
        process.cordoned.insert(server.into(), cordoned);
        self.files.insert(generation, Some(process.core.record()));
    }

    fn settle(&mut self) {
        for _ in 0..4 {
            for generation in self.live.keys().copied().collect::<Vec<_>>() {
                self.update(generation);
            }
        }
    }

    fn fraction_sum(&self) -> f64 {
        self.live.values().map(|process| process.share.fraction).sum()
    }

    fn sees_cordon(&self, generation: Generation, server: &str) -> bool {
        self.live[&generation].cordoned.get(server).copied().unwrap_or(false)
    }
}

#[test]
fn shares_never_exceed_one_gateway_and_the_last_cordon_holds_in_every_process() {
    for seed in 0..400 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::default();
        let mut last_cordons: BTreeMap<&str, bool> = BTreeMap::new();
        world.start_process();
        for _ in 0..200 {
            let live_generations: Vec<Generation> = world.live.keys().copied().collect();
            let process = live_generations.get(rng.gen_range(0..live_generations.len().max(1))).copied();
            match (rng.gen_range(0..20), process) {
                (0, _) | (_, None) if world.live.len() < 4 => drop(world.start_process()),
                (1, Some(process)) => drop(world.live.remove(&process)),
                (2, Some(process)) => world.live.get_mut(&process).expect("live").core.begin_shutdown(),
                (3, Some(process)) if rng.gen() => drop(world.files.insert(process, None)),
                (3..=5, Some(process)) => {
                    // Operators call any process, and only after all processes have acknowledged their previous call.
                    world.settle();
                    let (server, cordoned) = (SERVERS[rng.gen_range(0..3)], rng.gen());
                    world.set_cordon(process, server, cordoned);
                    last_cordons.insert(server, cordoned);
                    if rng.gen() {
                        world.settle();
                        let core = &world.live[&process].core;
                        assert!(
                            core.is_acknowledged(core.version()),
                            "seed {seed}: a cordon is not acknowledged"
                        );
                    }
                }
                (_, Some(process)) => world.update(process),
                _ => {}
            }
            assert!(
                world.fraction_sum() <= 1.0 + 1e-9,
                "seed {seed}: the fractions add up to {}",
                world.fraction_sum()
            );
        }
        if world.live.is_empty() {
            continue;
        }
        world.settle();
        assert!(
            (world.fraction_sum() - 1.0).abs() < 1e-9,
            "seed {seed}: the fractions add up to {}",
            world.fraction_sum()
        );
        let live_generations: Vec<Generation> = world.live.keys().copied().collect();
        for server in SERVERS {
            let seen: Vec<bool> =
                live_generations.iter().map(|generation| world.sees_cordon(*generation, server)).collect();
            assert!(
                seen.iter().all(|cordoned| *cordoned == seen[0]),
                "seed {seed}: processes differ in the cordon of {server}: {seen:?}"
            );
        }
    }
}

#[test]
fn a_cordon_outlives_the_process_that_received_it() {
    let mut world = World::default();
    let old = world.start_process();
    world.update(old);
    world.set_cordon(old, "s0", true);
    world.set_cordon(old, "s1", true);
    world.set_cordon(old, "s1", false);
    world.live.remove(&old);
    let new = world.start_process();
    world.update(new);
    assert!(world.sees_cordon(new, "s0"));
    // The server was just uncordoned: the new process must put it in slow start.
    assert_eq!(world.live[&new].cordoned.get("s1"), Some(&false));
    world.set_cordon(new, "s0", false);
    let third = world.start_process();
    world.settle();
    assert!(!world.sees_cordon(third, "s0"));
}

#[test]
fn a_new_process_has_no_share_until_all_others_have_acknowledged_it() {
    let mut world = World::default();
    let old = world.start_process();
    world.update(old);
    let new = world.start_process();
    world.update(new);
    assert_eq!((world.live[&old].share.fraction, world.live[&new].share.fraction), (1.0, 0.0));
    assert!(!world.live[&new].core.is_settled());
    world.update(old);
    assert_eq!((world.live[&old].share.fraction, world.live[&new].share.fraction), (0.5, 0.0));
    world.update(new);
    assert_eq!((world.live[&new].share.fraction, world.live[&new].share.descriptors), (0.5, DESCRIPTORS / 2));
    // The old process shuts down. The new process gets the descriptors that the old one does not hold, and all of them after the
    // old one has ended.
    world.live.get_mut(&old).expect("live").held_descriptors = 30;
    world.live.get_mut(&old).expect("live").core.begin_shutdown();
    world.update(old);
    world.update(new);
    let [ending, starting] = [old, new].map(|generation| world.live[&generation].share.descriptors);
    assert!(ending + starting <= DESCRIPTORS && starting > DESCRIPTORS * 3 / 4, "{ending} and {starting}");
    world.live.remove(&old);
    world.update(new);
    let share = world.live[&new].share;
    assert_eq!((share.fraction, share.processes, share.descriptors), (1.0, 1, DESCRIPTORS));
}

#[test]
fn a_live_process_with_an_unreadable_record_counts_and_a_dead_one_does_not() {
    let mut world = World::default();
    let old = world.start_process();
    world.files.insert(old, None);
    let new = world.start_process();
    world.update(new);
    assert_eq!(world.live[&new].share.fraction, 0.0);
    world.live.remove(&old);
    world.update(new);
    assert_eq!(world.live[&new].share.fraction, 1.0);
}
