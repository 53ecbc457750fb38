//! Judges how the fleet's work comes to the boxes, by windows of some seconds in which a box was there and warm from the
//! first moment to the last.
//!
//! `cover`: no such box is left without any work while the others have some. And it measures how even the sum is, and by how many
//! gateways a box is met, which are claims of the scenario.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use super::Violations;
use crate::history::{Checker, Event};
use crate::model::discovery::Status;
use crate::{Micros, SECOND};

/// Long enough that what is drawn evens out, short enough to show what a change does.
const WINDOW: Micros = 5 * SECOND;
/// With fewer trips for each box in the mean, none at one proves nothing.
const TELLS: f64 = 30.0;

/// What the judge must know.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SubsettingBounds {
    /// How long after the first transaction windows count.
    pub settle_in: Micros,
}

/// A box that takes work: warm from then on.
struct Open {
    warm: Micros,
    trips: u64,
    by: BTreeSet<u32>,
}

#[derive(Default)]
struct Means {
    windows: u64,
    busiest: f64,
    worst: f64,
    off: f64,
    users: f64,
    most_users: usize,
}

pub struct SubsettingChecker {
    size: SubsettingBounds,
    open: BTreeMap<String, Open>,
    began: Option<Micros>,
    /// When the window that runs began.
    window: Micros,
    means: Means,
    broken: Violations,
}

impl SubsettingChecker {
    pub fn new(size: SubsettingBounds) -> Self {
        SubsettingChecker {
            size,
            open: BTreeMap::new(),
            began: None,
            window: 0,
            means: Means::default(),
            broken: Violations::default(),
        }
    }

    fn turn(&mut self, at: Micros) {
        let Some(began) = self.began else { return };
        if at < self.window + WINDOW {
            return;
        }
        let counts = self.window >= began + self.size.settle_in;
        let warm = self.open.iter().filter(|(_, own)| own.warm <= self.window);
        let all: Vec<(&String, &Open)> = warm.collect();
        let mean = all.iter().map(|(_, own)| own.trips).sum::<u64>() as f64 / all.len().max(1) as f64;
        if counts && mean >= TELLS {
            for (name, _) in all.iter().filter(|(_, own)| own.trips == 0) {
                self.broken.add(at, format!("{name} had no trip in 5 s, the others {mean:.0} each"));
            }
            let beside: Vec<f64> = all.iter().map(|(_, own)| own.trips as f64 / mean).collect();
            let busiest = beside.iter().copied().fold(0.0, f64::max);
            let means = &mut self.means;
            means.windows += 1;
            means.busiest += busiest;
            means.worst = means.worst.max(busiest);
            means.off += beside.iter().map(|one| (one - 1.0).abs()).sum::<f64>() / beside.len() as f64;
            means.users += all.iter().map(|(_, own)| own.by.len() as f64).sum::<f64>() / all.len() as f64;
            let most = all.iter().map(|(_, own)| own.by.len()).max().unwrap_or(0);
            means.most_users = means.most_users.max(most);
        }
        self.window = at;
        for own in self.open.values_mut() {
            (own.trips, own.by) = (0, BTreeSet::new());
        }
    }
}

impl Checker for SubsettingChecker {
    fn observe(&mut self, at: Micros, event: &Event) {
        self.turn(at);
        match event {
            Event::RequestCreated { .. } if self.began.is_none() => {
                (self.began, self.window) = (Some(at), at);
            }
            Event::ServerStarted { name, started, cold, .. } => {
                let warm = started.map_or(0, |started| started + cold.warm_up);
                self.open.insert(name.clone(), Open { warm, trips: 0, by: BTreeSet::new() });
            }
            // Whoever is to drain takes no part from the moment that the first gateway knows.
            Event::EndpointNotified { name, status, .. } if *status != Status::InService => {
                self.open.remove(name);
            }
            Event::ServerCollapsed { name } => drop(self.open.remove(name)),
            Event::AttemptArrived { arrival } => {
                if let Some(own) = self.open.get_mut(&arrival.server) {
                    own.trips += 1;
                    own.by.insert(arrival.gateway);
                }
            }
            _ => {}
        }
    }

    fn finish(&mut self, at: Micros) {
        self.turn(at);
    }

    fn rules(&self) -> Vec<(&'static str, &Violations)> {
        vec![("cover", &self.broken)]
    }

    fn figures(&self) -> Option<(&'static str, Value)> {
        let Means { windows, busiest, worst, off, users, most_users } = self.means;
        let mean = |sum: f64| if windows == 0 { 0.0 } else { sum / windows as f64 };
        let shown = json!({ "windows": windows, "busiest": mean(busiest), "worst": worst, "off": mean(off),
            "users": mean(users), "most_users": most_users });
        Some(("spread", shown))
    }
}
