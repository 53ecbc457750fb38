//! The start times of servers while the wall clock is being changed.

use fernscale_gateway::discovery::start_times::StartTimes;
use fernscale_gateway::protocol::catalog::EndpointUpdate;
use fernscale_gateway::transport::wall_clock::WallClock;
use fernscale_policy::{Endpoint, EndpointState, Id, Micros};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SECOND: Micros = 1_000_000;
const HOUR: i64 = 3_600_000_000;
/// The wall clock at the start of the process, in microseconds.
const INITIAL_WALL_TIME: i64 = 1_790_000_000_000_000;

fn list(servers: &[(&str, Micros)]) -> EndpointUpdate {
    let entry = |(server, start): &(&str, Micros)| {
        let (server, start) = (Id::from(*server), Some(*start));
        let endpoint = Endpoint {
            server,
            zone: 0,
            hardware_type: 0,
            cell: 0,
            state: EndpointState::Ready,
            weight: 1.0,
            started_at: start,
            listed_start: start,
        };
        (endpoint, ([127, 0, 0, 1], 1).into())
    };
    EndpointUpdate { index: 1, full: true, moved: false, servers: servers.iter().map(entry).collect() }
}

/// Applies a list received at `now`, whose starts are `age` ago; gives the start of its first server.
fn apply_list(
    starts: &mut StartTimes,
    now: Micros,
    age: Micros,
    servers: &[(&str, Micros)],
) -> Option<Micros> {
    let mut update = list(servers);
    starts.apply_new(now, |_| age, &mut update);
    update.servers[0].0.started_at
}

#[test]
fn no_age_is_overestimated_whatever_the_clocks_are_set_to() {
    let mut rng = StdRng::seed_from_u64(1);
    for run in 0..2_000 {
        let mut monotonic = 0;
        // The offsets of the wall clock from the monotonic clock.
        let mut offsets = vec![INITIAL_WALL_TIME];
        let mut wall = WallClock::new(monotonic, INITIAL_WALL_TIME);
        for _ in 0..rng.gen_range(0..6) {
            monotonic += rng.gen_range(1..100 * SECOND);
            let step = [SECOND as i64, 7 * SECOND as i64, HOUR][rng.gen_range(0..3)];
            let offset = offsets[offsets.len() - 1] + if rng.gen() { step } else { -step };
            offsets.push(offset);
            wall.observe(monotonic, offset + monotonic as i64);
        }
        monotonic += rng.gen_range(1..100 * SECOND);
        // The listed time may be by any of the offsets, as the clocks of other machines may have been changed or not.
        let (age, listed_by) = (rng.gen_range(0..monotonic), offsets[rng.gen_range(0..offsets.len())]);
        let unix_time = (listed_by + monotonic as i64) as Micros - age;
        assert!(wall.min_age(monotonic, unix_time) <= age, "run {run}");
        if offsets.len() == 1 {
            assert_eq!(wall.min_age(monotonic, unix_time), age, "run {run}");
        }
    }
}

#[test]
fn a_time_slightly_in_the_future_has_age_zero_and_not_an_hour() {
    let mut wall = WallClock::new(0, INITIAL_WALL_TIME);
    wall.observe(SECOND, INITIAL_WALL_TIME + SECOND as i64 - HOUR);
    let just_now = (INITIAL_WALL_TIME - HOUR) as Micros + 2 * SECOND + 300_000;
    assert_eq!(wall.min_age(2 * SECOND, just_now), 0);
}

#[test]
fn a_start_is_converted_once_and_stays_when_the_clock_is_changed() {
    let mut starts = StartTimes::default();
    let now = 100 * SECOND;
    assert_eq!(apply_list(&mut starts, now, 3 * SECOND, &[("s", 5)]), Some(now - 3 * SECOND));
    assert_eq!(
        apply_list(&mut starts, now + 9 * SECOND, HOUR as Micros, &[("s", 5)]),
        Some(now - 3 * SECOND)
    );
}

#[test]
fn a_new_start_may_be_an_hour_old_only_in_the_first_list() {
    let mut starts = StartTimes::default();
    let (now, old) = (HOUR as Micros * 2, HOUR as Micros);
    assert_eq!(apply_list(&mut starts, now, old, &[("s", 5)]), Some(now - old));
    assert_eq!(apply_list(&mut starts, now, old, &[("new", 6)]), Some(now));
    assert_eq!(apply_list(&mut starts, now, old, &[("s", 7)]), Some(now));
    // A start that is listed a minute late is a minute old. An earlier start of a known server is not a new start.
    assert_eq!(apply_list(&mut starts, now, 60 * SECOND, &[("late", 8)]), Some(now - 60 * SECOND));
    assert_eq!(apply_list(&mut starts, now, old, &[("late", 7)]), Some(now - old));
}

#[test]
fn a_list_from_before_the_process_start_does_not_count_as_the_first_list_of_discovery() {
    let mut starts = StartTimes::default();
    let (now, old) = (HOUR as Micros * 2, HOUR as Micros);
    starts.apply(now, |_| old, &mut list(&[("s", 5)]));
    assert_eq!(apply_list(&mut starts, now, old, &[("other", 6)]), Some(now - old));
}
