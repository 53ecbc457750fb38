//! Measures the cost of faulty servers, and how gateways that share load reports react to them: attempts that reach a server
//! during its fault, in the first seconds and later; how many servers a gateway ejects at a time; and whether a link fault of
//! some gateways makes other gateways eject servers.
//!
//! `out`: no gateway's log says that it ejects a larger share of the servers than allowed.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use super::Violations;
use crate::history::{Checker, Event};
use crate::{Micros, SECOND};

/// Time that the gateways have to detect a faulty server.
const DETECTION_TIME: Micros = 2 * SECOND;
/// How long a link fault may still have effects after its end.
const AFTER_EFFECT: Micros = SECOND;
/// The share of the servers that a gateway may eject; one of three or more may always be ejected.
const MAX_EJECTED_SHARE: f64 = 0.25;

/// The servers and the faults of the scenario that the checker measures.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OutlierBounds {
    #[serde(rename = "boxes")]
    pub servers: u32,
    /// The numbers of faults on servers, with the names of the affected servers.
    #[serde(rename = "ill")]
    pub faulty: BTreeMap<usize, Vec<String>>,
    /// The numbers of faults on links of some gateways only, with these gateways.
    pub links: BTreeMap<usize, Vec<u32>>,
}

#[derive(Default)]
struct FaultyServers {
    began: Option<Micros>,
    ended: Option<Micros>,
    early_attempts: u64,
    later_attempts: u64,
}

pub struct OutlierChecker {
    bounds: OutlierBounds,
    faulty: BTreeMap<usize, FaultyServers>,
    /// Link faults; for those that have ended, the time at which their effects end.
    links: BTreeMap<usize, Option<Micros>>,
    /// Servers that each gateway ejects, by its log.
    ejected: BTreeMap<u32, BTreeSet<String>>,
    max_ejected: usize,
    ejections: u64,
    moved_by_links: u64,
    violations: Violations,
}

impl OutlierChecker {
    pub fn new(bounds: OutlierBounds) -> Self {
        OutlierChecker {
            bounds,
            faulty: BTreeMap::new(),
            links: BTreeMap::new(),
            ejected: BTreeMap::new(),
            max_ejected: 0,
            ejections: 0,
            moved_by_links: 0,
            violations: Violations::default(),
        }
    }

    fn set_ejected(&mut self, at: Micros, gateway: u32, server: &str, out: bool) {
        let ejected = self.ejected.entry(gateway).or_default();
        if !out {
            ejected.remove(server);
            return;
        }
        ejected.insert(server.into());
        self.ejections += 1;
        let count = ejected.len();
        self.max_ejected = self.max_ejected.max(count);
        let limit = (MAX_EJECTED_SHARE * f64::from(self.bounds.servers)).max(if self.bounds.servers >= 3 {
            1.0
        } else {
            0.0
        });
        if count as f64 > limit + 1e-9 {
            self.violations
                .add(at, format!("gateway {gateway} ejects {count} servers, the limit is {limit:.1}"));
        }
        let affects_others = |number: &usize| !self.bounds.links[number].contains(&gateway);
        let active =
            self.links.iter().filter(|(_, effect_end)| effect_end.is_none_or(|effect_end| at < effect_end));
        self.moved_by_links += u64::from(active.map(|(number, _)| number).any(affects_others));
    }
}

impl Checker for OutlierChecker {
    fn observe(&mut self, at: Micros, event: &Event) {
        match event {
            Event::FaultBegan { number } if self.bounds.faulty.contains_key(number) => {
                self.faulty.entry(*number).or_default().began = Some(at);
            }
            Event::FaultBegan { number } if self.bounds.links.contains_key(number) => {
                self.links.insert(*number, None);
            }
            Event::FaultEnded { number } => {
                if let Some(faulty) = self.faulty.get_mut(number) {
                    faulty.ended = Some(at);
                }
                if let Some(effect_end) = self.links.get_mut(number) {
                    *effect_end = Some(at + AFTER_EFFECT);
                }
            }
            Event::AttemptArrived { arrival } => {
                for (number, faulty) in &mut self.faulty {
                    let is_active =
                        faulty.ended.is_none() && self.bounds.faulty[number].contains(&arrival.server);
                    match faulty.began.filter(|_| is_active) {
                        Some(began) if at < began + DETECTION_TIME => faulty.early_attempts += 1,
                        Some(_) => faulty.later_attempts += 1,
                        None => {}
                    }
                }
            }
            // A process that has just started ejects no servers.
            Event::Started { gateway } => drop(self.ejected.remove(gateway)),
            Event::Record { gateway, event, fields, .. } if event == "signals.server" => {
                let server = fields.get("server").and_then(Value::as_str).unwrap_or_default().to_string();
                let out = fields.get("out").and_then(Value::as_bool).unwrap_or(false);
                self.set_ejected(at, *gateway, &server, out);
            }
            _ => {}
        }
    }

    fn finish(&mut self, at: Micros) {
        for faulty in self.faulty.values_mut() {
            faulty.ended.get_or_insert(at);
        }
    }

    fn rules(&self) -> Vec<(&'static str, &Violations)> {
        vec![("out", &self.violations)]
    }

    fn figures(&self) -> Option<(&'static str, Value)> {
        let (mut all_attempts, mut later_attempts, mut later_seconds) = (0, 0, 0.0);
        let each = self.faulty.iter().map(|(number, faulty)| {
            let lasted = faulty.ended.zip(faulty.began).map_or(0, |(ended, began)| ended - began);
            let late = lasted.saturating_sub(DETECTION_TIME) as f64 / SECOND as f64;
            (all_attempts, later_attempts, later_seconds) = (
                all_attempts + faulty.early_attempts + faulty.later_attempts,
                later_attempts + faulty.later_attempts,
                later_seconds + late,
            );
            json!({ "fault": number, "first_2_s": faulty.early_attempts, "later": faulty.later_attempts,
                "later_a_second": if late > 0.0 { faulty.later_attempts as f64 / late } else { 0.0 } })
        });
        let each: Vec<Value> = each.collect();
        let shown = json!({ "each": each, "trips_to_ill": all_attempts,
            "later_a_second": if later_seconds > 0.0 { later_attempts as f64 / later_seconds } else { 0.0 },
            "most_out": self.max_ejected, "outs": self.ejections, "moved_by_links": self.moved_by_links });
        Some(("signals", shown))
    }
}
