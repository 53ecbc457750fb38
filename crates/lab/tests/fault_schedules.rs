//! Storms and the faults of a fleet: what is drawn can be read, what fails is made smaller, what makes no sense is refused.

use fernscale_lab::fault_schedule::{draw, least};
use fernscale_lab::scenario::{parse, GatewayFaultKind, Scenario, Time};
use fernscale_lab::virtual_time;
use fernscale_lab::{MILLISECOND, SECOND};

const BASE: &str = r#"
name = "base"
about = "a fleet"
lasts = "30s"
settle-in = "2s"
[fleet]
gateways = 6
boxes = 3
mesh = true
[counter]
capacity = 1000
[[lanes]]
name = "get"
repeat = "redoable"
agreed = "300ms"
hard-stop = "900ms"
work = "1ms"
[[plans]]
name = "open"
rate = 10
burst = 10
[[customers]]
name = "usual"
plan = "open"
count = 4
load = 0.5
"#;

const MENU: &str = r#"
[storm]
faults = 12
longest = "8s"
[storm.shares]
part = 1
one-way = 1
lose = 1
delay = 1
double = 1
overtake = 1
corrupt = 1
streams = 1
pause = 1
kill = 1
restart = 1
leave = 1
clock = 1
counter = 1
discovery = 1
replace = 1
"#;

fn scenario(more: &str) -> Scenario {
    parse("here", &format!("{BASE}{more}")).expect("a scenario")
}

fn refused(more: &str) -> String {
    parse("here", &format!("{BASE}{more}")).expect_err("it makes no sense").to_string()
}

#[test]
fn every_storm_is_an_ordinary_scenario_and_one_seed_gives_one_storm() {
    let base = scenario(MENU);
    let menu = base.storm.clone().expect("a menu");
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..200 {
        let storm = draw(&base, &menu, seed);
        let text = toml::to_string(&storm).expect("written");
        let read = parse("storm", &text).expect("it can be played");
        assert_eq!(toml::to_string(&read).expect("written"), text, "seed {seed}");
        assert_eq!(toml::to_string(&draw(&base, &menu, seed)).expect("written"), text, "seed {seed}");
        assert_eq!(storm.faults.len(), 12);
        kinds.extend(storm.faults.iter().map(fernscale_lab::scenario::Fault::kind));
        for fault in &storm.faults {
            let ends = fault.at.0 + fault.for_.map_or(0, |time| time.0);
            assert!(fault.at >= Time(2 * SECOND) && ends <= 30 * SECOND, "seed {seed}: {fault:?}");
        }
    }
    assert_eq!(kinds.len(), 7, "{kinds:?}");
}

/// Guards against stalls of other lengths than a busy machine's, and against ones that always begin with other faults.
#[test]
fn stalls_are_drawn_within_their_bounds_in_steps_of_their_own() {
    let base = scenario("[storm]\nfaults = 12\nlongest = \"8s\"\n[storm.shares]\nstall = 1\n");
    let menu = base.storm.clone().expect("a menu");
    let (mut lengths, mut between_other_times) = (std::collections::BTreeSet::new(), 0);
    for seed in 0..200 {
        let storm = draw(&base, &menu, seed);
        let text = toml::to_string(&storm).expect("written");
        let read = parse("storm", &text).expect("it can be played");
        assert_eq!(toml::to_string(&read).expect("written"), text, "seed {seed}");
        assert_eq!(toml::to_string(&draw(&base, &menu, seed)).expect("written"), text, "seed {seed}");
        for fault in &storm.faults {
            let (gateway, lasts) = (fault.gateway.as_ref().expect("gateways"), fault.for_.expect("an end").0);
            assert!(
                gateway.how == GatewayFaultKind::Pause && !gateway.which.is_empty(),
                "seed {seed}: {fault:?}"
            );
            assert!((100 * MILLISECOND..=900 * MILLISECOND).contains(&lasts), "seed {seed}: {fault:?}");
            assert!(
                fault.at >= Time(2 * SECOND) && fault.at.0 + lasts <= 30 * SECOND,
                "seed {seed}: {fault:?}"
            );
            lengths.insert(lasts);
            between_other_times += u32::from(!fault.at.0.is_multiple_of(100 * MILLISECOND));
        }
    }
    let (first, last) = (lengths.first().copied(), lengths.last().copied());
    assert_eq!((first, last), (Some(100 * MILLISECOND), Some(900 * MILLISECOND)));
    assert_eq!(lengths.len(), 81, "{lengths:?}");
    assert!(between_other_times > 2000, "{between_other_times} of 2400");
    let short = BASE.replace("30s", "2500ms");
    let text = format!("{short}[storm]\nfaults = 1\nlongest = \"100ms\"\n[storm.shares]\nstall = 1\n");
    assert!(parse("here", &text).expect_err("too short").to_string().contains("the longest stall"));
}

#[test]
fn what_fails_is_made_smaller_while_it_still_does() {
    let base = scenario(MENU);
    let storm = draw(&base, base.storm.as_ref().expect("a menu"), 3);
    let needed = [storm.faults[2].at, storm.faults[9].at];
    let mut plays = 0;
    let small = least(&storm, |fewer| {
        plays += 1;
        needed.iter().all(|at| fewer.faults.iter().any(|fault| fault.at == *at))
    });
    assert!(small.faults.iter().all(|fault| needed.contains(&fault.at)), "{:?}", small.faults);
    assert_eq!(plays, 12);
}

#[test]
fn faults_that_make_no_sense_are_named_with_their_line() {
    let fault = |text: &str| refused(&format!("[[faults]]\nat = \"1s\"\n[[faults]]\nat = \"1s\"\n{text}\n"));
    // The first of the two is empty; only the second is looked at.
    let second = |text: &str| {
        let first = "[[faults]]\nat = \"1s\"\ngateway = { which = [1], how = \"kill\" }\n";
        refused(&format!("{first}[[faults]]\nat = \"1s\"\n{text}\n"))
    };
    assert!(fault("").contains("one thing to break"));
    for (text, why) in [
        ("fleet = { groups = [[0, 1, 2], [3, 4, 6]] }", "there is no gateway 6"),
        ("fleet = { groups = [[0, 1, 2], [3, 4]] }", "gateway 5 is in no group"),
        ("fleet = { groups = [[0, 1, 2, 3], [3, 4, 5]] }", "gateway 3 is named twice"),
        ("fleet = { groups = [[0, 1, 2, 2], [3, 4, 5]] }", "gateway 2 is named twice"),
        ("fleet = { groups = [[0, 1, 2], [3, 4, 5]], counter = [2] }", "there is no group 2"),
        ("between = { from = [9], how = \"cut\" }", "there is no gateway 9"),
        ("between = { from = [0], how = \"lose\", amount = 2 }", "a share here"),
        ("between = { from = [0], how = \"throttle\", amount = 0 }", "bytes a second"),
        ("clock = { which = [0], ahead = \"1s\", behind = \"1s\" }", "not both"),
        ("gateway = { which = [0], how = \"kill\" }\nwhen = { gateway = 8, event = \"x\", within = \"1s\" }", "no gateway 8"),
    ] {
        let told = second(text);
        assert!(told.contains(why) && told.contains("line 30, faults[1]"), "{text}: {told}");
    }
    let off = BASE.replace("mesh = true", "");
    let text = format!("{off}[[faults]]\nat = \"1s\"\nbetween = {{ from = [0], how = \"cut\" }}\n");
    assert!(parse("here", &text).expect_err("no mesh").to_string().contains("'mesh = true'"));
    assert!(refused(&MENU.replace("8s", "29s")).contains("make 'lasts' longer"));
    assert!(refused(&MENU.replace("faults = 12", "faults = 0")).contains("a fault at the least"));
}

/// In virtual time a schedule that leaves the fleet its time is kept, and one that does not is not.
#[test]
fn a_schedule_in_virtual_time_is_judged_as_one_of_processes_is() {
    let faults = r#"
[[faults]]
at = "3s"
for = "6s"
fleet = { groups = [[0, 1], [2, 3, 4, 5]] }
[[faults]]
at = "5s"
for = "9s"
gateway = { which = [4], how = "pause" }
[[faults]]
at = "11s"
for = "2s"
gateway = { which = [0, 3], how = "kill" }
[[faults]]
at = "12s"
for = "5s"
between = { from = [0, 1, 2, 3, 4, 5], how = "lose", amount = 0.2 }
"#;
    let (rules, left_out) = virtual_time::play(&scenario(faults));
    assert!(rules.iter().all(|(_, broken, _)| *broken == 0) && left_out == 0, "{rules:?}");
    let hasty = BASE.replace("mesh = true", "mesh = true\nagree-within = \"100ms\"");
    let (rules, _) = virtual_time::play(&parse("here", &format!("{hasty}{faults}")).expect("a scenario"));
    assert!(rules[0].0 == "members" && rules[0].1 > 0, "{rules:?}");
}
