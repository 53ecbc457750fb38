//! What a scenario can break, and how.

use serde::{Deserialize, Serialize};

use super::{whole, Time};
use crate::history::LinkTraffic;

/// Something that is broken on purpose; one of the kinds each.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fault {
    pub at: Time,
    /// Until it is mended; without it to the end, where it can be mended at all.
    #[serde(rename = "for")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub for_: Option<Time>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub when: Option<When>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gateway: Option<GatewayFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub boxes: Option<BoxesFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub counter: Option<CounterFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<DiscoveryFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub link: Option<LinkFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub between: Option<BetweenFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub clock: Option<ClockFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub folder: Option<FolderFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load: Option<LoadFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hostile: Option<HostileFault>,
}

impl Fault {
    /// What it breaks, in a word.
    pub fn kind(&self) -> &'static str {
        match self {
            Fault { gateway: Some(_), .. } => "gateway",
            Fault { boxes: Some(_), .. } => "boxes",
            Fault { counter: Some(_), .. } => "counter",
            Fault { discovery: Some(_), .. } => "discovery",
            Fault { link: Some(_), .. } => "link",
            Fault { between: Some(_), .. } => "between",
            Fault { fleet: Some(_), .. } => "fleet",
            Fault { clock: Some(_), .. } => "clock",
            Fault { folder: Some(_), .. } => "folder",
            Fault { load: Some(_), .. } => "load",
            _ => "hostile",
        }
    }
}

/// It begins when a gateway has said something, and at its time at the earliest.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct When {
    /// The event of the record.
    pub event: String,
    /// Who says it; anybody, without.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gateway: Option<u32>,
    /// For how long it is waited for; if it has not come by then, the run says so and is no success.
    pub within: Time,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayFault {
    pub which: Vec<u32>,
    pub how: Stop,
    /// What it finds in its folder when it starts again.
    #[serde(default)]
    pub folder: Folder,
    /// Time between one and the next.
    #[serde(default)]
    pub each: Time,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Stop {
    /// At once; it starts again when the fault is over.
    Kill,
    /// SIGTERM, and a start when it has ended.
    Restart,
    /// SIGSTOP, and SIGCONT when the fault is over.
    Pause,
    /// One that is away comes.
    Start,
    /// SIGTERM, and it is away from then on.
    Leave,
    /// SIGHUP again and again, then SIGTERM among more of both, and a start when it has ended.
    Series,
    /// Another process beside it, on the same addresses; SIGTERM to the old one once the new one serves.
    Upgrade,
    /// Its folder is kept by, as it is now, for `folder = "earlier"`.
    Keep,
}

/// A gateway's folder, when it starts again.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Folder {
    #[default]
    Kept,
    /// Empty: its disk is lost.
    Lost,
    /// As it was when it was last kept by, or empty: a restored disk.
    Earlier,
}

/// Something between gateways. Each ordered pair has its own fate.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BetweenFault {
    pub from: Vec<u32>,
    /// All others, if none is named.
    #[serde(default)]
    pub to: Vec<u32>,
    /// The way back, too.
    #[serde(default)]
    pub both: bool,
    pub how: BetweenIll,
    /// A share, milliseconds of delay, or bytes a second.
    #[serde(default = "whole")]
    pub amount: f64,
    /// Milliseconds by which delays differ, or by which what is overtaken is held.
    #[serde(default)]
    pub spread: f64,
    /// Datagrams or streams only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub goods: Option<LinkTraffic>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum BetweenIll {
    /// Datagrams are lost, streams reset and refused.
    Cut,
    /// Datagrams are lost; what is written on streams is held until the fault is over.
    Blackhole,
    /// Each stream is reset once, in the middle of what next passes.
    Reset,
    /// This share of the datagrams is lost.
    Lose,
    Delay,
    /// This share of the datagrams comes twice.
    Double,
    /// This share of the datagrams is held for a while, so that later ones come before.
    Overtake,
    /// This share of the datagrams, or of what is read of streams at once, has one byte changed.
    Corrupt,
    Throttle,
}

/// The fleet falls into groups. Those in one group reach each other, and nobody else.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFault {
    pub groups: Vec<Vec<u32>>,
    /// Gateways that may stand in several groups: they see both sides.
    #[serde(default)]
    pub bridges: Vec<u32>,
    /// The groups, counted from 0, that reach the counter, and those that reach discovery; all, without.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub counter: Option<Vec<usize>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<Vec<usize>>,
}

impl FleetFault {
    /// Whether some group has both.
    pub fn joins(&self, one: u32, other: u32) -> bool {
        self.groups.iter().any(|group| group.contains(&one) && group.contains(&other))
    }

    /// Whether a gateway stands on the other side than the counter, or discovery.
    pub fn out_of_reach(&self, gateway: u32, of: LinkEnd) -> bool {
        let groups = match of {
            LinkEnd::Counter => &self.counter,
            LinkEnd::Discovery => &self.discovery,
            LinkEnd::Clients | LinkEnd::Boxes => &None,
        };
        let near = |groups: &Vec<usize>| {
            groups.iter().filter_map(|at| self.groups.get(*at)).any(|group| group.contains(&gateway))
        };
        groups.as_ref().is_some_and(|groups| !near(groups))
    }
}

/// The clock that all share is off at these gateways; it is set right when the fault is over.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClockFault {
    pub which: Vec<u32>,
    #[serde(default)]
    pub ahead: Time,
    #[serde(default)]
    pub behind: Time,
}

impl ClockFault {
    pub fn off(&self) -> i64 {
        self.ahead.0 as i64 - self.behind.0 as i64
    }
}

/// The folder of the store is ill at these gateways, and well again when the fault is over.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FolderFault {
    pub which: Vec<u32>,
    pub how: FolderIll,
    /// Milliseconds by which each sync is slow.
    #[serde(default = "whole")]
    pub amount: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FolderIll {
    /// No file grows any more.
    Full,
    /// Each sync takes so much longer.
    Slow,
    /// No sync succeeds.
    Fail,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BoxesFault {
    pub which: Vec<u32>,
    pub how: BoxIll,
    #[serde(default)]
    pub each: Time,
    /// How slow, or the share of trips or answers it meets.
    #[serde(default = "whole")]
    pub amount: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum BoxIll {
    /// Told as terminating; in service again when the fault is over.
    Drain,
    /// Drains, and a cold one of another name takes its place at once.
    Replace,
    /// Gone without a word; comes back cold when the fault is over.
    Kill,
    Slow,
    Fail,
    Busy,
    Silent,
    Garble,
    /// The operators take it out of use at every gateway, and call it back when the fault is over.
    Cordon,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CounterFault {
    pub how: CounterIll,
    #[serde(default = "whole")]
    pub amount: f64,
    /// For a split: the gateways that see the other one.
    #[serde(default)]
    pub which: Vec<u32>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum CounterIll {
    /// Connections are reset and new ones refused; totals are kept.
    Refuse,
    /// As refused, and it comes back empty.
    Kill,
    Busy,
    Silent,
    Deaf,
    Slow,
    Old,
    Garble,
    /// All totals are gone, at once and without a word.
    Empty,
    /// Some gateways see a copy that goes on by itself; healed, they see the first again.
    Split,
    /// Another, empty one answers from now on; connections are reset.
    Swap,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryFault {
    pub which: Vec<u32>,
    #[serde(default)]
    pub how: DiscoveryIll,
    /// Milliseconds by which it is late.
    #[serde(default = "whole")]
    pub amount: f64,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryIll {
    /// These gateways hear nothing.
    #[default]
    Silent,
    /// They hear of everything so much later.
    Late,
    /// The watches that are open now fall silent; new ones do not. What they miss counts as told some seconds later.
    Watches,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFault {
    pub which: Vec<u32>,
    pub to: LinkEnd,
    pub how: LinkIll,
    /// Milliseconds of delay, bytes a second, or the share of reads spoilt.
    #[serde(default = "whole")]
    pub amount: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum LinkEnd {
    Clients,
    Boxes,
    Counter,
    Discovery,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum LinkIll {
    /// Connections are reset and new ones refused.
    Cut,
    /// Connections stay open and new ones come up, but nothing passes.
    Blackhole,
    /// Each connection is reset once, in the middle of what next passes.
    Reset,
    Delay,
    Throttle,
    Corrupt,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFault {
    /// A group of customers, or "all".
    pub customers: String,
    #[serde(default = "whole")]
    pub times: f64,
    /// Their traffic comes by gateways so many further on, for good.
    #[serde(default)]
    pub shift: u32,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct HostileFault {
    /// Clients that mean harm, to each gateway a second.
    pub a_second: f64,
    /// Connections that say nothing, to each gateway at once.
    #[serde(default)]
    pub silent: u32,
}
