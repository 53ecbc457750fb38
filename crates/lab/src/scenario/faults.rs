//! The faults that a scenario can contain.

use serde::{Deserialize, Serialize};

use super::{one_f64, Time};
use crate::history::LinkTraffic;

/// A fault; exactly one of the kinds is set.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fault {
    pub at: Time,
    /// How long the fault lasts; if absent, until the end of the scenario. Faults without an end ignore it.
    #[serde(rename = "for")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub for_: Option<Time>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub when: Option<FaultTrigger>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gateway: Option<GatewayFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub boxes: Option<ServerFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub counter: Option<CounterFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<DiscoveryFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub link: Option<LinkFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub between: Option<GatewayLinkFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fleet: Option<PartitionFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub clock: Option<ClockFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub folder: Option<FolderFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load: Option<LoadFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hostile: Option<MisbehavingClientsFault>,
}

impl Fault {
    /// The key of the fault's kind.
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

/// Delays a fault until a gateway has logged an event; the fault's time is the earliest start.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultTrigger {
    /// Name of the log event.
    pub event: String,
    /// The gateway that logs the event; any gateway if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gateway: Option<u32>,
    /// How long to wait for the event; if it does not come, the run reports that and fails.
    pub within: Time,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayFault {
    pub which: Vec<u32>,
    pub how: GatewayFaultKind,
    /// State of the gateway's folder when it restarts.
    #[serde(default)]
    pub folder: RestartFolder,
    /// Time between one gateway and the next.
    #[serde(default)]
    pub each: Time,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum GatewayFaultKind {
    /// SIGKILL; the gateway starts again when the fault ends.
    Kill,
    /// SIGTERM; the gateway starts again when its process has ended.
    Restart,
    /// SIGSTOP, and SIGCONT when the fault ends.
    Pause,
    /// Starts a gateway that is not running.
    Start,
    /// SIGTERM; the gateway does not start again.
    Leave,
    /// Repeated SIGHUP, then SIGTERM together with more of both signals; the gateway starts again when its process has ended.
    Series,
    /// A hot restart: a new process starts on the same addresses, and the old process gets SIGTERM when the new one serves.
    Upgrade,
    /// Copies the gateway's folder for a later `folder = "earlier"`.
    Keep,
}

/// State of a gateway's folder when it restarts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RestartFolder {
    #[default]
    Kept,
    /// Empty, as after the loss of a disk.
    Lost,
    /// The state at the last copy, or empty without one, as after restoring a backup.
    Earlier,
}

/// A fault between gateways; it acts on each ordered pair independently.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayLinkFault {
    pub from: Vec<u32>,
    /// All other gateways if empty.
    #[serde(default)]
    pub to: Vec<u32>,
    /// Whether the fault also affects the opposite direction.
    #[serde(default)]
    pub both: bool,
    pub how: GatewayLinkFaultKind,
    /// A share, milliseconds of delay, or bytes a second.
    #[serde(default = "one_f64")]
    pub amount: f64,
    /// Range of the delays in milliseconds, or how long overtaken datagrams are held.
    #[serde(default)]
    pub spread: f64,
    /// Restricts the fault to datagrams or to streams.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub goods: Option<LinkTraffic>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum GatewayLinkFaultKind {
    /// Datagrams are lost; streams are reset and refused.
    Cut,
    /// Datagrams are lost; bytes written to streams are held until the fault ends.
    Blackhole,
    /// Each stream is reset once, in the middle of the next bytes that pass.
    Reset,
    /// This share of the datagrams is lost.
    Lose,
    Delay,
    /// This share of the datagrams is duplicated.
    Double,
    /// This share of the datagrams is held, so that later datagrams overtake them.
    Overtake,
    /// This share of the datagrams, or of the reads from streams, has one byte changed.
    Corrupt,
    Throttle,
}

/// A network partition of the fleet. The gateways of a group reach each other and no others.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PartitionFault {
    pub groups: Vec<Vec<u32>>,
    /// Gateways that may be in several groups, so that they reach both sides.
    #[serde(default)]
    pub bridges: Vec<u32>,
    /// Indices of the groups that reach the counter, and of those that reach discovery; all groups if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub counter: Option<Vec<usize>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<Vec<usize>>,
}

impl PartitionFault {
    /// Whether a group contains both gateways.
    pub fn connects(&self, first: u32, second: u32) -> bool {
        self.groups.iter().any(|group| group.contains(&first) && group.contains(&second))
    }

    /// Whether the partition separates a gateway from the counter, or from discovery.
    pub fn is_cut_off(&self, gateway: u32, end: LinkEnd) -> bool {
        let groups = match end {
            LinkEnd::Counter => &self.counter,
            LinkEnd::Discovery => &self.discovery,
            LinkEnd::Clients | LinkEnd::Servers => &None,
        };
        let is_connected = |groups: &Vec<usize>| {
            groups.iter().filter_map(|at| self.groups.get(*at)).any(|group| group.contains(&gateway))
        };
        groups.as_ref().is_some_and(|groups| !is_connected(groups))
    }
}

/// The wall clock of these gateways is wrong until the fault ends.
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
    pub fn offset_us(&self) -> i64 {
        self.ahead.0 as i64 - self.behind.0 as i64
    }
}

/// The store's folder is faulty at these gateways until the fault ends.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FolderFault {
    pub which: Vec<u32>,
    pub how: FolderFaultKind,
    /// Milliseconds by which each sync is delayed.
    #[serde(default = "one_f64")]
    pub amount: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FolderFaultKind {
    /// No file can grow.
    Full,
    /// Each sync takes longer by `amount`.
    Slow,
    /// Every sync fails.
    Fail,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerFault {
    pub which: Vec<u32>,
    pub how: ServerFaultKind,
    #[serde(default)]
    pub each: Time,
    /// Factor of slowness, or the share of affected attempts or answers.
    #[serde(default = "one_f64")]
    pub amount: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ServerFaultKind {
    /// Discovery reports the server as terminating, and as in service again when the fault ends.
    Drain,
    /// The server drains, and a server in slow start with another name replaces it immediately.
    Replace,
    /// The server is killed without notice; it returns in slow start when the fault ends.
    Kill,
    Slow,
    Fail,
    Busy,
    Silent,
    Garble,
    /// Operators cordon the server at every gateway, and uncordon it when the fault ends.
    Cordon,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CounterFault {
    pub how: CounterFaultKind,
    #[serde(default = "one_f64")]
    pub amount: f64,
    /// For a split: the gateways that reach the copy.
    #[serde(default)]
    pub which: Vec<u32>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum CounterFaultKind {
    /// Connections are reset and new ones refused; totals are kept.
    Refuse,
    /// As `Refuse`, and the totals are lost.
    Kill,
    Busy,
    Silent,
    Deaf,
    Slow,
    Old,
    Garble,
    /// All totals are lost immediately, without notice.
    Empty,
    /// Some gateways reach an independent copy; when the fault ends, they reach the original again.
    Split,
    /// An empty counter replaces the present one; connections are reset.
    Swap,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryFault {
    pub which: Vec<u32>,
    #[serde(default)]
    pub how: DiscoveryFaultKind,
    /// Milliseconds by which discovery's answers are late.
    #[serde(default = "one_f64")]
    pub amount: f64,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryFaultKind {
    /// These gateways get no answers.
    #[default]
    Silent,
    /// These gateways get all answers later by `amount`.
    Late,
    /// The watches that are open now get no more events; new watches do. The missed events count as notified some seconds later.
    Watches,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFault {
    pub which: Vec<u32>,
    pub to: LinkEnd,
    pub how: LinkFaultKind,
    /// Milliseconds of delay, bytes a second, or the share of corrupted reads.
    #[serde(default = "one_f64")]
    pub amount: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum LinkEnd {
    Clients,
    #[serde(rename = "boxes")]
    Servers,
    Counter,
    Discovery,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum LinkFaultKind {
    /// Connections are reset and new ones refused.
    Cut,
    /// Connections stay open and new ones are accepted, but no bytes pass.
    Blackhole,
    /// Each connection is reset once, in the middle of the next bytes that pass.
    Reset,
    Delay,
    Throttle,
    Corrupt,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFault {
    /// Name of a tenant group, or "all".
    pub customers: String,
    #[serde(default = "one_f64")]
    pub times: f64,
    /// Shifts the group's traffic by this number of gateways; the shift does not end with the fault.
    #[serde(default)]
    pub shift: u32,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct MisbehavingClientsFault {
    /// Misbehaving clients a second at each gateway.
    pub a_second: f64,
    /// Silent connections open to each gateway at the same time.
    #[serde(default)]
    pub silent: u32,
}
