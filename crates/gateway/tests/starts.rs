//! When servers started, while the wall clock is set to other times.

use fernscale_gateway::discovery::start_times::StartTimes;
use fernscale_gateway::protocol::catalog::EndpointUpdate;
use fernscale_gateway::transport::wall_clock::WallClock;
use fernscale_policy::{Endpoint, EndpointState, Id, Micros};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SECOND: Micros = 1_000_000;
const HOUR: i64 = 3_600_000_000;
/// The wall clock at the start.
const WALL: i64 = 1_790_000_000_000_000;

fn list(servers: &[(&str, Micros)]) -> EndpointUpdate {
    let listed = |(server, told): &(&str, Micros)| {
        let (server, start) = (Id::from(*server), Some(*told));
        let listed = Endpoint {
            server,
            zone: 0,
            hardware_type: 0,
            cell: 0,
            state: EndpointState::Ready,
            weight: 1.0,
            started_at: start,
            listed_start: start,
        };
        (listed, ([127, 0, 0, 1], 1).into())
    };
    EndpointUpdate { index: 1, full: true, moved: false, servers: servers.iter().map(listed).collect() }
}

/// The start of the first server of a list that comes now.
fn read(starts: &mut StartTimes, now: Micros, age: Micros, servers: &[(&str, Micros)]) -> Option<Micros> {
    let mut members = list(servers);
    starts.apply_new(now, |_| age, &mut members);
    members.servers[0].0.started_at
}

#[test]
fn nobody_is_taken_for_older_than_it_is_whatever_the_clocks_are_set_to() {
    let mut chance = StdRng::seed_from_u64(1);
    for play in 0..2_000 {
        let mut even = 0;
        let mut settings = vec![WALL];
        let mut wall = WallClock::new(even, WALL);
        for _ in 0..chance.gen_range(0..6) {
            even += chance.gen_range(1..100 * SECOND);
            let step = [SECOND as i64, 7 * SECOND as i64, HOUR][chance.gen_range(0..3)];
            let stands = settings[settings.len() - 1] + if chance.gen() { step } else { -step };
            settings.push(stands);
            wall.observe(even, stands + even as i64);
        }
        even += chance.gen_range(1..100 * SECOND);
        // Told by any setting that there was, as other machines' clocks may have been set or not.
        let (age, told_by) = (chance.gen_range(0..even), settings[chance.gen_range(0..settings.len())]);
        let unix = (told_by + even as i64) as Micros - age;
        assert!(wall.min_age(even, unix) <= age, "play {play}");
        if settings.len() == 1 {
            assert_eq!(wall.min_age(even, unix), age, "play {play}");
        }
    }
}

#[test]
fn what_is_a_little_in_the_future_is_now_and_not_an_hour_ago() {
    let mut wall = WallClock::new(0, WALL);
    wall.observe(SECOND, WALL + SECOND as i64 - HOUR);
    let just_now = (WALL - HOUR) as Micros + 2 * SECOND + 300_000;
    assert_eq!(wall.min_age(2 * SECOND, just_now), 0);
}

#[test]
fn a_start_is_turned_once_and_stays_though_the_clock_is_set() {
    let mut starts = StartTimes::default();
    let now = 100 * SECOND;
    assert_eq!(read(&mut starts, now, 3 * SECOND, &[("s", 5)]), Some(now - 3 * SECOND));
    assert_eq!(read(&mut starts, now + 9 * SECOND, HOUR as Micros, &[("s", 5)]), Some(now - 3 * SECOND));
}

#[test]
fn a_newer_start_is_believed_to_be_an_hour_old_only_in_the_first_list() {
    let mut starts = StartTimes::default();
    let (now, old) = (HOUR as Micros * 2, HOUR as Micros);
    assert_eq!(read(&mut starts, now, old, &[("s", 5)]), Some(now - old));
    assert_eq!(read(&mut starts, now, old, &[("new", 6)]), Some(now));
    assert_eq!(read(&mut starts, now, old, &[("s", 7)]), Some(now));
    // What is late by a minute is as old as that, and an older word on a known server is no new start.
    assert_eq!(read(&mut starts, now, 60 * SECOND, &[("late", 8)]), Some(now - 60 * SECOND));
    assert_eq!(read(&mut starts, now, old, &[("late", 7)]), Some(now - old));
}

#[test]
fn the_list_from_before_the_start_does_not_make_the_first_of_discovery_news() {
    let mut starts = StartTimes::default();
    let (now, old) = (HOUR as Micros * 2, HOUR as Micros);
    starts.apply(now, |_| old, &mut list(&[("s", 5)]));
    assert_eq!(read(&mut starts, now, old, &[("other", 6)]), Some(now - old));
}
