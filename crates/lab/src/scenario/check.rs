//! Checks that the parts of a scenario are consistent.

use super::{
    Error, Fault, GatewayLinkFault, GatewayLinkFaultKind, LoadFault, Owners, PartitionFault, Scenario,
};

/// The most gateways and servers that loopback addresses and one thread of the lab can support.
const MAX_GATEWAYS: u32 = 128;
const MAX_SERVERS: u32 = 200;

impl Scenario {
    /// Checks that the parts of the scenario are consistent.
    pub fn check(&self, path: &str, text: &str) -> Result<(), Error> {
        match self.first_error() {
            None => Ok(()),
            Some((place, why)) => {
                Err(Error::Invalid { path: path.into(), place: place_with_line(place, text), why })
            }
        }
    }

    fn first_error(&self) -> Option<(String, String)> {
        let fleet = &self.fleet;
        if !(1..=MAX_GATEWAYS).contains(&fleet.gateways) || !(1..=MAX_SERVERS).contains(&fleet.boxes) {
            let why = format!("a scenario has 1 to {MAX_GATEWAYS} gateways and 1 to {MAX_SERVERS} boxes");
            return Some(("fleet".into(), why));
        }
        if fleet.zones == 0 || fleet.cells == 0 || fleet.cores == 0 || fleet.speed <= 0.0 {
            return Some(("fleet".into(), "zones, cells, cores and speed must be above 0".into()));
        }
        for tenants in &self.customers {
            let place = format!("customers '{}'", tenants.name);
            if !self.plans.iter().any(|plan| plan.name == tenants.plan) {
                return Some((place, format!("there is no plan '{}'", tenants.plan)));
            }
            if let Some(lane) =
                tenants.lanes.keys().find(|name| !self.lanes.iter().any(|lane| lane.name == **name))
            {
                return Some((place, format!("there is no lane '{lane}'")));
            }
            if tenants.units.0 == 0 || tenants.units.0 > tenants.units.1 || tenants.count == 0 {
                return Some((place, "'units' must be [minimum, maximum] with a minimum of at least 1, and 'count' must be above 0".into()));
            }
        }
        let unknown_number =
            |gateways: &[u32]| gateways.iter().find(|gateway| **gateway >= fleet.gateways).copied();
        if let Some(number) = unknown_number(&fleet.absent).or(unknown_number(&fleet.same_name)) {
            return Some(("fleet".into(), unknown_gateway(number)));
        }
        if let Some(why) = fleet.owners.as_ref().and_then(|owners| self.lease_error(owners)) {
            return Some(("fleet.owners".into(), why));
        }
        if fleet.signals && !fleet.mesh {
            let why = "the gateways do not communicate with each other: set 'mesh = true' in [fleet]";
            return Some(("fleet.signals".into(), why.into()));
        }
        if fleet.subsets.as_ref().is_some_and(|subsets| subsets.least < 3) {
            let why = "'least' must be at least 3: a gateway must be able to lose two of its boxes";
            return Some(("fleet.subsets".into(), why.into()));
        }
        if fleet.paces.iter().any(|pace| !(0.5..=2.0).contains(pace)) {
            return Some(("fleet.paces".into(), "a clock's pace must be from 0.5 to 2".into()));
        }
        for (at, fault) in self.faults.iter().enumerate() {
            if let Some(why) = self.fault_error(fault) {
                return Some((format!("faults[{at}]"), why));
            }
        }
        if let Some(why) = self.storm.as_ref().and_then(|distribution| distribution.wrong(self)) {
            return Some(("storm".into(), why));
        }
        for claim in &self.claims {
            if claim.least.is_none() && claim.most.is_none() {
                return Some((format!("claim '{}'", claim.name), "neither 'least' nor 'most'".into()));
            }
        }
        (self.lasts <= self.settle_in)
            .then(|| ("lasts".into(), "the scenario ends before 'settle-in' is over".into()))
    }

    fn fault_error(&self, fault: &Fault) -> Option<String> {
        let fleet = &self.fleet;
        let targets = [
            fault.gateway.is_some(),
            fault.boxes.is_some(),
            fault.counter.is_some(),
            fault.discovery.is_some(),
            fault.link.is_some(),
            fault.between.is_some(),
            fault.fleet.is_some(),
            fault.clock.is_some(),
            fault.folder.is_some(),
            fault.load.is_some(),
            fault.hostile.is_some(),
        ];
        if targets.iter().filter(|is_set| **is_set).count() != 1 {
            return Some("a fault must have exactly one thing to break".into());
        }
        if fault.counter.is_some() && self.counter.is_none() {
            return Some("there is no counter".into());
        }
        if fault.folder.is_some() && fleet.owners.is_none() {
            return Some("no gateway stores anything in a folder: set 'owners' in [fleet]".into());
        }
        if (fault.between.is_some() || fault.fleet.is_some()) && !fleet.mesh {
            return Some(
                "the gateways do not communicate with each other: set 'mesh = true' in [fleet]".into(),
            );
        }
        let none: &[u32] = &[];
        let gateway_lists = [
            fault.gateway.as_ref().map_or(none, |fault| &fault.which),
            fault.counter.as_ref().map_or(none, |fault| &fault.which),
            fault.discovery.as_ref().map_or(none, |fault| &fault.which),
            fault.link.as_ref().map_or(none, |fault| &fault.which),
            fault.between.as_ref().map_or(none, |fault| &fault.from),
            fault.between.as_ref().map_or(none, |fault| &fault.to),
            fault.fleet.as_ref().map_or(none, |fault| &fault.bridges),
            fault.clock.as_ref().map_or(none, |fault| &fault.which),
            fault.folder.as_ref().map_or(none, |fault| &fault.which),
            fault.when.as_ref().and_then(|when| when.gateway.as_ref()).map_or(none, std::slice::from_ref),
        ];
        let groups = fault.fleet.iter().flat_map(|fault| &fault.groups).flatten();
        if let Some(number) =
            gateway_lists.iter().copied().flatten().chain(groups).find(|gateway| **gateway >= fleet.gateways)
        {
            return Some(unknown_gateway(*number));
        }
        if let Some(number) =
            fault.boxes.iter().flat_map(|fault| &fault.which).find(|number| **number >= fleet.boxes)
        {
            return Some(format!("there is no box {number}; they count from 0"));
        }
        let unknown = |load: &&LoadFault| {
            load.customers != "all" && !self.customers.iter().any(|tenants| tenants.name == load.customers)
        };
        if let Some(load) = fault.load.as_ref().filter(unknown) {
            return Some(format!("there are no customers '{}'", load.customers));
        }
        let is_invalid_share = |fault: &&GatewayLinkFault| {
            use GatewayLinkFaultKind::{Corrupt, Double, Lose, Overtake};
            matches!(fault.how, Lose | Double | Overtake | Corrupt) && !(0.0..=1.0).contains(&fault.amount)
        };
        if fault.between.as_ref().as_ref().is_some_and(is_invalid_share) {
            return Some("'amount' is a share here, from 0 to 1".into());
        }
        if fault
            .between
            .as_ref()
            .is_some_and(|fault| fault.how == GatewayLinkFaultKind::Throttle && fault.amount < 1.0)
        {
            return Some("'amount' must be bytes a second here, at least 1".into());
        }
        if let Some(clock) = fault.clock.as_ref().filter(|clock| clock.ahead.0 > 0 && clock.behind.0 > 0) {
            return Some(format!("the clock of {:?} can be ahead or behind, not both", clock.which));
        }
        fault.fleet.as_ref().and_then(|fault| self.partition_error(fault))
    }

    fn lease_error(&self, owners: &Owners) -> Option<String> {
        if !self.fleet.mesh {
            return Some(
                "the gateways do not communicate with each other: set 'mesh = true' in [fleet]".into(),
            );
        }
        if let Some(number) = owners.voters.iter().find(|acceptor| **acceptor >= self.fleet.gateways) {
            return Some(unknown_gateway(*number));
        }
        let is_repeated =
            |gateway: &&u32| owners.voters.iter().filter(|acceptor| acceptor == gateway).count() > 1;
        if let Some(number) = owners.voters.iter().find(is_repeated) {
            return Some(format!("gateway {number} is named twice in 'voters'"));
        }
        owners.voters.len().is_multiple_of(2).then(|| "the number of voters must be odd: 1, 3, 5 or 7".into())
    }

    fn partition_error(&self, fault: &PartitionFault) -> Option<String> {
        for gateway in 0..self.fleet.gateways {
            let groups = fault.groups.iter().filter(|group| group.contains(&gateway)).count();
            let is_repeated = fault
                .groups
                .iter()
                .any(|group| group.iter().filter(|member| **member == gateway).count() > 1);
            if groups == 0 {
                return Some(format!(
                    "gateway {gateway} is in no group: add it to a group, or give it a group of its own"
                ));
            }
            if is_repeated || groups > 1 && !fault.bridges.contains(&gateway) {
                let why = "is named twice: if it belongs to several groups, add it to 'bridges'";
                return Some(format!("gateway {gateway} {why}"));
            }
        }
        let find_unknown = |groups: &Option<Vec<usize>>| {
            groups.iter().flatten().find(|at| **at >= fault.groups.len()).copied()
        };
        let unknown = find_unknown(&fault.counter).or(find_unknown(&fault.discovery))?;
        Some(format!("there is no group {unknown}; they count from 0"))
    }
}

fn unknown_gateway(number: u32) -> String {
    format!("there is no gateway {number}; they count from 0")
}

/// Adds the line at which the fault with this number begins.
fn place_with_line(place: String, text: &str) -> String {
    let number = place.strip_prefix("faults[").and_then(|rest| rest.strip_suffix(']')?.parse::<usize>().ok());
    let mut fault_headers =
        text.lines().enumerate().filter(|(_, line)| line.trim_start().starts_with("[[faults]]"));
    match number.and_then(|number| fault_headers.nth(number)) {
        Some((line, _)) => format!("line {}, {place}", line + 1),
        None => place,
    }
}
