//! Whether the parts of a scenario fit each other.

use super::{BetweenFault, BetweenIll, Error, Fault, FleetFault, LoadFault, Owners, Scenario};

/// As many of each as loopback and one thread of the lab can hold.
const MOST_GATEWAYS: u32 = 128;
const MOST_BOXES: u32 = 200;

impl Scenario {
    /// Whether its parts fit each other.
    pub fn check(&self, path: &str, text: &str) -> Result<(), Error> {
        match self.wrong() {
            None => Ok(()),
            Some((place, why)) => Err(Error::Wrong { path: path.into(), place: with_line(place, text), why }),
        }
    }

    fn wrong(&self) -> Option<(String, String)> {
        let fleet = &self.fleet;
        if !(1..=MOST_GATEWAYS).contains(&fleet.gateways) || !(1..=MOST_BOXES).contains(&fleet.boxes) {
            let why = format!("from 1 to {MOST_GATEWAYS} gateways and {MOST_BOXES} boxes can be played");
            return Some(("fleet".into(), why));
        }
        if fleet.zones == 0 || fleet.cells == 0 || fleet.cores == 0 || fleet.speed <= 0.0 {
            return Some(("fleet".into(), "zones, cells, cores and speed are above 0".into()));
        }
        for customers in &self.customers {
            let place = format!("customers '{}'", customers.name);
            if !self.plans.iter().any(|plan| plan.name == customers.plan) {
                return Some((place, format!("there is no plan '{}'", customers.plan)));
            }
            if let Some(lane) =
                customers.lanes.keys().find(|name| !self.lanes.iter().any(|lane| lane.name == **name))
            {
                return Some((place, format!("there is no lane '{lane}'")));
            }
            if customers.units.0 == 0 || customers.units.0 > customers.units.1 || customers.count == 0 {
                return Some((place, "units are [least, most] from 1, and the count is above 0".into()));
            }
        }
        let all = |gateways: &[u32]| gateways.iter().find(|gateway| **gateway >= fleet.gateways).copied();
        if let Some(which) = all(&fleet.absent).or(all(&fleet.same_name)) {
            return Some(("fleet".into(), no_gateway(which)));
        }
        if let Some(why) = fleet.owners.as_ref().and_then(|owners| self.owners_wrong(owners)) {
            return Some(("fleet.owners".into(), why));
        }
        if fleet.signals && !fleet.mesh {
            let why = "the gateways do not speak with each other: set 'mesh = true' in [fleet]";
            return Some(("fleet.signals".into(), why.into()));
        }
        if fleet.subsets.as_ref().is_some_and(|subsets| subsets.least < 3) {
            let why = "'least' is 3 at the least: a gateway must be able to lose two of its boxes";
            return Some(("fleet.subsets".into(), why.into()));
        }
        if fleet.paces.iter().any(|pace| !(0.5..=2.0).contains(pace)) {
            return Some((
                "fleet.paces".into(),
                "a clock runs from 0.5 to 2 times as fast as it should".into(),
            ));
        }
        for (at, fault) in self.faults.iter().enumerate() {
            if let Some(why) = self.fault_wrong(fault) {
                return Some((format!("faults[{at}]"), why));
            }
        }
        if let Some(why) = self.storm.as_ref().and_then(|menu| menu.wrong(self)) {
            return Some(("storm".into(), why));
        }
        for claim in &self.claims {
            if claim.least.is_none() && claim.most.is_none() {
                return Some((format!("claim '{}'", claim.name), "neither 'least' nor 'most'".into()));
            }
        }
        (self.lasts <= self.settle_in).then(|| ("lasts".into(), "it ends before anything counts".into()))
    }

    fn fault_wrong(&self, fault: &Fault) -> Option<String> {
        let fleet = &self.fleet;
        let kinds = [
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
        if kinds.iter().filter(|there| **there).count() != 1 {
            return Some("one thing to break, no more and no less".into());
        }
        if fault.counter.is_some() && self.counter.is_none() {
            return Some("there is no counter".into());
        }
        if fault.folder.is_some() && fleet.owners.is_none() {
            return Some("no gateway keeps anything in a folder: give the fleet 'owners'".into());
        }
        if (fault.between.is_some() || fault.fleet.is_some()) && !fleet.mesh {
            return Some("the gateways do not speak with each other: set 'mesh = true' in [fleet]".into());
        }
        let none: &[u32] = &[];
        let named = [
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
        if let Some(which) = named.iter().copied().flatten().chain(groups).find(|own| **own >= fleet.gateways)
        {
            return Some(no_gateway(*which));
        }
        if let Some(which) =
            fault.boxes.iter().flat_map(|fault| &fault.which).find(|which| **which >= fleet.boxes)
        {
            return Some(format!("there is no box {which}; they count from 0"));
        }
        let unknown = |load: &&LoadFault| {
            load.customers != "all"
                && !self.customers.iter().any(|customers| customers.name == load.customers)
        };
        if let Some(load) = fault.load.as_ref().filter(unknown) {
            return Some(format!("there are no customers '{}'", load.customers));
        }
        let share = |fault: &&BetweenFault| {
            use BetweenIll::{Corrupt, Double, Lose, Overtake};
            matches!(fault.how, Lose | Double | Overtake | Corrupt) && !(0.0..=1.0).contains(&fault.amount)
        };
        if fault.between.as_ref().as_ref().is_some_and(share) {
            return Some("'amount' is a share here, from 0 to 1".into());
        }
        if fault.between.as_ref().is_some_and(|fault| fault.how == BetweenIll::Throttle && fault.amount < 1.0)
        {
            return Some("'amount' is bytes a second here, one at the least".into());
        }
        if let Some(clock) = fault.clock.as_ref().filter(|clock| clock.ahead.0 > 0 && clock.behind.0 > 0) {
            return Some(format!("the clock of {:?} is ahead or behind, not both", clock.which));
        }
        fault.fleet.as_ref().and_then(|fault| self.groups_wrong(fault))
    }

    fn owners_wrong(&self, owners: &Owners) -> Option<String> {
        if !self.fleet.mesh {
            return Some("the gateways do not speak with each other: set 'mesh = true' in [fleet]".into());
        }
        if let Some(which) = owners.voters.iter().find(|voter| **voter >= self.fleet.gateways) {
            return Some(no_gateway(*which));
        }
        let twice = |own: &&u32| owners.voters.iter().filter(|voter| voter == own).count() > 1;
        if let Some(which) = owners.voters.iter().find(twice) {
            return Some(format!("gateway {which} votes twice"));
        }
        owners.voters.len().is_multiple_of(2).then(|| "an odd number of voters: 1, 3, 5 or 7".into())
    }

    fn groups_wrong(&self, fault: &FleetFault) -> Option<String> {
        for gateway in 0..self.fleet.gateways {
            let groups = fault.groups.iter().filter(|group| group.contains(&gateway)).count();
            let twice =
                fault.groups.iter().any(|group| group.iter().filter(|own| **own == gateway).count() > 1);
            if groups == 0 {
                return Some(format!(
                    "gateway {gateway} is in no group: name it in one, alone if it is to be alone"
                ));
            }
            if twice || groups > 1 && !fault.bridges.contains(&gateway) {
                let why = "is named twice: if it is meant to see several groups, name it in 'bridges'";
                return Some(format!("gateway {gateway} {why}"));
            }
        }
        let known = |groups: &Option<Vec<usize>>| {
            groups.iter().flatten().find(|at| **at >= fault.groups.len()).copied()
        };
        let unknown = known(&fault.counter).or(known(&fault.discovery))?;
        Some(format!("there is no group {unknown}; they count from 0"))
    }
}

fn no_gateway(which: u32) -> String {
    format!("there is no gateway {which}; they count from 0")
}

/// With the line where the fault of this number begins.
fn with_line(place: String, text: &str) -> String {
    let number = place.strip_prefix("faults[").and_then(|rest| rest.strip_suffix(']')?.parse::<usize>().ok());
    let mut heads = text.lines().enumerate().filter(|(_, line)| line.trim_start().starts_with("[[faults]]"));
    match number.and_then(|number| heads.nth(number)) {
        Some((line, _)) => format!("line {}, {place}", line + 1),
        None => place,
    }
}
