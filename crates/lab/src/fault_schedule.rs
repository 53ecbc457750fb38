//! Storms: schedules of overlapping faults, drawn by seed from a menu. Each is an ordinary scenario that can be kept; one that
//! fails is made smaller for as long as it still does.

use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::scenario::*;
use crate::{seed_of, Micros, MILLISECOND, SECOND};

/// What storms are drawn from.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FaultDistribution {
    /// Faults of one storm.
    pub faults: u32,
    /// The longest of them, apart from stalls; the shortest lasts a twentieth of it.
    pub longest: Time,
    /// How often each kind is drawn, beside the others.
    pub shares: BTreeMap<Kind, f64>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The fleet falls into two, now and then with one that sees both sides.
    Part,
    /// One is not heard by some, or does not hear them.
    OneWay,
    /// Datagrams of some are lost, late, doubled, overtaken or spoilt.
    Lose,
    Delay,
    Double,
    Overtake,
    Corrupt,
    /// Streams of some are cut.
    Streams,
    Pause,
    /// Some get no processor for 0.1 to 0.9 s, as on a busy machine.
    Stall,
    Kill,
    Restart,
    /// One is away for a while, by its operators' will.
    Leave,
    Clock,
    /// The counter says nothing.
    Counter,
    /// Discovery says nothing to some.
    Discovery,
    /// A box is replaced by a cold one.
    Replace,
    /// The folders of some are slow, failing or full.
    Folder,
    /// One voter is killed and its disk lost: always the same, as more of them at once are more than voters bear.
    LoseDisk,
    /// A box fails half of what it gets, is slow, or says nothing.
    Ill,
    /// One gateway reaches no box.
    Unreached,
    /// Signals in series at one gateway, which end it.
    Series,
    /// One gateway is replaced beside its running process.
    Upgrade,
    /// A server drains.
    Drain,
    /// Connections of each gateway that say nothing, and clients that send what makes no sense.
    Crowd,
    /// Connections of one gateway to servers are reset in the middle of what passes.
    Reset,
}

impl Kind {
    /// Whether it breaks what gateways say to each other.
    fn is_between_gateways(self) -> bool {
        use Kind::{Corrupt, Delay, Double, Lose, OneWay, Overtake, Part, Streams};
        matches!(self, Part | OneWay | Lose | Delay | Double | Overtake | Corrupt | Streams)
    }
}

/// Connections of a crowd to each gateway that say nothing, and clients a second that send what makes no sense.
const CROWD_SILENT: u32 = 200;
const CROWD_MISBEHAVING: f64 = 2.0;

/// Times are drawn in steps of this, so that a schedule can be read.
const STEP: Micros = 100 * MILLISECOND;

/// The shortest and the longest stall, and the steps that its times are drawn in.
const STALL_SHORTEST: Micros = 100 * MILLISECOND;
const STALL_LONGEST: Micros = 900 * MILLISECOND;
const STALL_STEP: Micros = 10 * MILLISECOND;

impl FaultDistribution {
    pub fn wrong(&self, scenario: &Scenario) -> Option<String> {
        let sum: f64 = self.shares.values().sum();
        if self.faults == 0 || sum <= 0.0 || self.shares.values().any(|share| *share < 0.0) {
            return Some("a storm has a fault at the least, and shares that are not below 0".into());
        }
        if self.longest.0 < STEP || scenario.settle_in.0 + self.longest.0 >= scenario.lasts.0 {
            return Some("the longest fault must end before the run does: make 'lasts' longer".into());
        }
        let stalls = self.shares.contains_key(&Kind::Stall);
        if stalls && scenario.settle_in.0 + STALL_LONGEST >= scenario.lasts.0 {
            return Some(
                "the longest stall, 900 ms, must end before the run does: make 'lasts' longer".into(),
            );
        }
        if self.shares.contains_key(&Kind::Counter) && scenario.counter.is_none() {
            return Some("there is no counter that could be silent".into());
        }
        let disks = [Kind::Folder, Kind::LoseDisk];
        if scenario.fleet.owners.is_none() && disks.iter().any(|kind| self.shares.contains_key(kind)) {
            return Some("no gateway keeps anything in a folder: give the fleet 'owners'".into());
        }
        let breaks_links = self.shares.keys().any(|kind| kind.is_between_gateways());
        (breaks_links && !scenario.fleet.mesh)
            .then(|| "storms break links between gateways: set 'mesh = true'".into())
    }
}

/// The storm of this seed, as a scenario.
pub fn draw(base: &Scenario, menu: &FaultDistribution, seed: u64) -> Scenario {
    let mut chance = ChaCha8Rng::seed_from_u64(seed_of(seed, "storm"));
    let mut scenario = base.clone();
    scenario.name = format!("{}-storm-{seed}", base.name);
    scenario.seed = seed;
    let kinds: Vec<(Kind, f64)> = menu.shares.iter().map(|(kind, share)| (*kind, *share)).collect();
    for _ in 0..menu.faults {
        let Ok((kind, _)) = kinds.choose_weighted(&mut chance, |(_, share)| *share) else { break };
        scenario.faults.push(one(base, menu, *kind, &mut chance));
    }
    scenario.faults.sort_by_key(|fault| fault.at);
    scenario
}

fn steps(chance: &mut ChaCha8Rng, from: Micros, to: Micros) -> Time {
    in_steps_of(STEP, chance, from, to)
}

fn in_steps_of(step: Micros, chance: &mut ChaCha8Rng, from: Micros, to: Micros) -> Time {
    Time(chance.gen_range(from / step..=(to / step).max(from / step)) * step)
}

fn one(base: &Scenario, menu: &FaultDistribution, kind: Kind, chance: &mut ChaCha8Rng) -> Fault {
    let count = base.fleet.gateways;
    let mut all: Vec<u32> = (0..count).collect();
    all.shuffle(chance);
    let some = |chance: &mut ChaCha8Rng, most: u32| -> Vec<u32> {
        let mut those = all[..chance.gen_range(1..=most.clamp(1, count)) as usize].to_vec();
        those.sort_unstable();
        those
    };
    let lasts = steps(chance, menu.longest.0 / 20, menu.longest.0);
    let at = steps(chance, base.settle_in.0, base.lasts.0 - lasts.0);
    let mut fault = Fault { at, for_: Some(lasts), ..Fault::default() };
    let between = |from: Vec<u32>, how: GatewayLinkFaultKind, amount: f64, spread: f64| GatewayLinkFault {
        from,
        to: Vec::new(),
        both: false,
        how,
        amount,
        spread,
        goods: None,
    };
    let stop = |which: Vec<u32>, how: GatewayFaultKind| GatewayFault {
        which,
        how,
        folder: RestartFolder::Kept,
        each: Time::default(),
    };
    let third = count.div_ceil(3);
    match kind {
        Kind::Part => {
            let (one, other) = all.split_at(chance.gen_range(1..count.max(2)) as usize);
            let mut groups = vec![one.to_vec(), other.to_vec()];
            let mut bridges = Vec::new();
            if chance.gen_bool(0.3) && !other.is_empty() {
                bridges.push(other[0]);
                groups[0].push(other[0]);
            }
            groups.iter_mut().for_each(|group| group.sort_unstable());
            groups.retain(|group| !group.is_empty());
            fault.fleet = Some(PartitionFault { groups, bridges, counter: None, discovery: None });
        }
        Kind::OneWay => {
            let (one, others) = (vec![all[0]], all[1..].to_vec());
            let (from, to) = if chance.gen_bool(0.5) { (one, others) } else { (others, one) };
            fault.between =
                Some(GatewayLinkFault { to, ..between(from, GatewayLinkFaultKind::Blackhole, 1.0, 0.0) });
        }
        Kind::Lose => {
            let share = f64::from(chance.gen_range(1..=4u32)) / 10.0;
            fault.between = Some(between(some(chance, count), GatewayLinkFaultKind::Lose, share, 0.0));
        }
        Kind::Delay => {
            let spread = f64::from(chance.gen_range(10..=150u32));
            fault.between = Some(between(some(chance, count), GatewayLinkFaultKind::Delay, 5.0, spread));
        }
        Kind::Double => {
            fault.between = Some(between(some(chance, count), GatewayLinkFaultKind::Double, 0.3, 0.0));
        }
        Kind::Overtake => {
            fault.between = Some(between(some(chance, count), GatewayLinkFaultKind::Overtake, 0.3, 80.0));
        }
        Kind::Corrupt => {
            fault.between = Some(between(some(chance, third), GatewayLinkFaultKind::Corrupt, 0.2, 0.0));
        }
        Kind::Streams => {
            let cut = between(some(chance, count), GatewayLinkFaultKind::Cut, 1.0, 0.0);
            fault.between = Some(GatewayLinkFault {
                goods: Some(crate::history::LinkTraffic::Streams),
                both: true,
                ..cut
            });
        }
        Kind::Pause => fault.gateway = Some(stop(some(chance, third), GatewayFaultKind::Pause)),
        Kind::Stall => {
            let lasts = in_steps_of(STALL_STEP, chance, STALL_SHORTEST, STALL_LONGEST);
            fault.at = in_steps_of(STALL_STEP, chance, base.settle_in.0, base.lasts.0 - lasts.0);
            fault.for_ = Some(lasts);
            fault.gateway = Some(stop(some(chance, count), GatewayFaultKind::Pause));
        }
        Kind::Kill => fault.gateway = Some(stop(some(chance, third), GatewayFaultKind::Kill)),
        Kind::Restart => fault.gateway = Some(stop(some(chance, third), GatewayFaultKind::Restart)),
        Kind::Series => fault.gateway = Some(stop(vec![all[0]], GatewayFaultKind::Series)),
        Kind::Upgrade => fault.gateway = Some(stop(vec![all[0]], GatewayFaultKind::Upgrade)),
        Kind::Leave => fault.gateway = Some(stop(vec![all[0]], GatewayFaultKind::Restart)),
        Kind::Clock => {
            let off = steps(chance, SECOND / 2, 8 * SECOND);
            let (ahead, behind) = if chance.gen_bool(0.5) { (off, Time(0)) } else { (Time(0), off) };
            fault.clock = Some(ClockFault { which: some(chance, third), ahead, behind });
        }
        Kind::Counter => {
            fault.counter =
                Some(CounterFault { how: CounterFaultKind::Silent, amount: 1.0, which: Vec::new() });
        }
        Kind::Discovery => {
            let which = some(chance, count);
            fault.discovery = Some(DiscoveryFault { which, how: DiscoveryFaultKind::Silent, amount: 1.0 });
        }
        Kind::Folder => {
            let ills = [FolderFaultKind::Full, FolderFaultKind::Slow, FolderFaultKind::Fail];
            let how = ills.choose(chance).copied().unwrap_or(FolderFaultKind::Slow);
            let amount = f64::from(chance.gen_range(50..=800u32));
            fault.folder = Some(FolderFault { which: some(chance, third), how, amount });
        }
        Kind::LoseDisk => {
            let voter = base.fleet.owners.iter().flat_map(|owners| &owners.voters).next();
            let lost = stop(voter.into_iter().copied().collect(), GatewayFaultKind::Kill);
            fault.gateway = Some(GatewayFault { folder: RestartFolder::Lost, ..lost });
        }
        Kind::Ill => {
            let which = vec![chance.gen_range(0..base.fleet.boxes)];
            let ills =
                [(ServerFaultKind::Fail, 0.5), (ServerFaultKind::Slow, 8.0), (ServerFaultKind::Silent, 1.0)];
            let (how, amount) = ills.choose(chance).copied().unwrap_or(ills[0]);
            fault.boxes = Some(ServerFault { which, how, each: Time::default(), amount });
        }
        Kind::Unreached => {
            let (which, to) = (vec![all[0]], LinkEnd::Servers);
            fault.link = Some(LinkFault { which, to, how: LinkFaultKind::Cut, amount: 1.0 });
        }
        Kind::Drain => {
            let which = vec![chance.gen_range(0..base.fleet.boxes)];
            fault.boxes =
                Some(ServerFault { which, how: ServerFaultKind::Drain, each: Time::default(), amount: 1.0 });
        }
        Kind::Crowd => {
            fault.hostile =
                Some(MisbehavingClientsFault { a_second: CROWD_MISBEHAVING, silent: CROWD_SILENT });
        }
        Kind::Reset => {
            let (which, to) = (vec![all[0]], LinkEnd::Servers);
            fault.link = Some(LinkFault { which, to, how: LinkFaultKind::Reset, amount: 1.0 });
        }
        Kind::Replace => {
            let which = vec![chance.gen_range(0..base.fleet.boxes)];
            fault.boxes = Some(ServerFault {
                which,
                how: ServerFaultKind::Replace,
                each: Time::default(),
                amount: 1.0,
            });
        }
    }
    fault
}

/// Leaves faults out for as long as what is left still fails, by what `fails` says of it; the latest first, as what came
/// before them may be what they need.
pub fn least(scenario: &Scenario, mut fails: impl FnMut(&Scenario) -> bool) -> Scenario {
    let mut kept = scenario.clone();
    let mut at = kept.faults.len();
    while at > 0 {
        at -= 1;
        let mut fewer = kept.clone();
        fewer.faults.remove(at);
        if fails(&fewer) {
            kept = fewer;
        }
    }
    kept
}

/// What came of a storm, as it is kept beside its file.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Outcome {
    pub seed: u64,
    pub failed: bool,
    /// What broke, a line each.
    pub broken: Vec<String>,
    /// Faults that nobody was there to feel, so that they prove nothing.
    pub unfelt: u64,
    /// Of how many plays how many failed, where one did.
    pub again: Option<(u32, u32)>,
    /// Faults that are left of it.
    pub least: Option<usize>,
    pub void: bool,
}
