//! Measures what ill boxes cost, and what gateways that tell each other of them do about it: trips that come to a box while it is
//! ill, at first and later on; how much is left out of use at any moment; and whether a link that is bad for some moves others.
//!
//! `out`: no gateway says that it leaves more of the boxes out of use than it may.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use super::Violations;
use crate::history::{Checker, Event};
use crate::{Micros, SECOND};

/// In which all may find out.
const FINDS: Micros = 2 * SECOND;
/// How long after its end a fault may still be felt.
const FELT: Micros = SECOND;
/// The share of the boxes that may be out; one of three or more may always be.
const MOST_OUT: f64 = 0.25;

/// What the judge must know.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OutlierBounds {
    #[serde(rename = "boxes")]
    pub servers: u32,
    /// Faults that make boxes ill, by their numbers, and these.
    #[serde(rename = "ill")]
    pub faulty: BTreeMap<usize, Vec<String>>,
    /// Faults on links of some gateways alone.
    pub links: BTreeMap<usize, Vec<u32>>,
}

#[derive(Default)]
struct Ill {
    began: Option<Micros>,
    ended: Option<Micros>,
    first: u64,
    later: u64,
}

pub struct OutlierChecker {
    size: OutlierBounds,
    ill: BTreeMap<usize, Ill>,
    /// Link faults that stand, and until when those that have ended are felt.
    links: BTreeMap<usize, Option<Micros>>,
    /// Boxes that each gateway says it leaves out.
    out: BTreeMap<u32, BTreeSet<String>>,
    most_out: usize,
    outs: u64,
    moved: u64,
    broken: Violations,
}

impl OutlierChecker {
    pub fn new(size: OutlierBounds) -> Self {
        OutlierChecker {
            size,
            ill: BTreeMap::new(),
            links: BTreeMap::new(),
            out: BTreeMap::new(),
            most_out: 0,
            outs: 0,
            moved: 0,
            broken: Violations::default(),
        }
    }

    fn left(&mut self, at: Micros, gateway: u32, server: &str, out: bool) {
        let own = self.out.entry(gateway).or_default();
        if !out {
            own.remove(server);
            return;
        }
        own.insert(server.into());
        self.outs += 1;
        let count = own.len();
        self.most_out = self.most_out.max(count);
        let most =
            (MOST_OUT * f64::from(self.size.servers)).max(if self.size.servers >= 3 { 1.0 } else { 0.0 });
        if count as f64 > most + 1e-9 {
            self.broken
                .add(at, format!("gateway {gateway} leaves {count} boxes out of use, {most:.1} it may"));
        }
        let others = |number: &usize| !self.size.links[number].contains(&gateway);
        let stands = self.links.iter().filter(|(_, until)| until.is_none_or(|until| at < until));
        self.moved += u64::from(stands.map(|(number, _)| number).any(others));
    }
}

impl Checker for OutlierChecker {
    fn observe(&mut self, at: Micros, event: &Event) {
        match event {
            Event::FaultBegan { number } if self.size.faulty.contains_key(number) => {
                self.ill.entry(*number).or_default().began = Some(at);
            }
            Event::FaultBegan { number } if self.size.links.contains_key(number) => {
                self.links.insert(*number, None);
            }
            Event::FaultEnded { number } => {
                if let Some(ill) = self.ill.get_mut(number) {
                    ill.ended = Some(at);
                }
                if let Some(until) = self.links.get_mut(number) {
                    *until = Some(at + FELT);
                }
            }
            Event::AttemptArrived { arrival } => {
                for (number, ill) in &mut self.ill {
                    let stands = ill.ended.is_none() && self.size.faulty[number].contains(&arrival.server);
                    match ill.began.filter(|_| stands) {
                        Some(began) if at < began + FINDS => ill.first += 1,
                        Some(_) => ill.later += 1,
                        None => {}
                    }
                }
            }
            // A process that starts anew leaves nothing out.
            Event::Started { gateway } => drop(self.out.remove(gateway)),
            Event::Record { gateway, event, fields, .. } if event == "signals.server" => {
                let server = fields.get("server").and_then(Value::as_str).unwrap_or_default().to_string();
                let out = fields.get("out").and_then(Value::as_bool).unwrap_or(false);
                self.left(at, *gateway, &server, out);
            }
            _ => {}
        }
    }

    fn finish(&mut self, at: Micros) {
        for ill in self.ill.values_mut() {
            ill.ended.get_or_insert(at);
        }
    }

    fn rules(&self) -> Vec<(&'static str, &Violations)> {
        vec![("out", &self.broken)]
    }

    fn figures(&self) -> Option<(&'static str, Value)> {
        let (mut all, mut later, mut long) = (0, 0, 0.0);
        let each = self.ill.iter().map(|(number, ill)| {
            let lasted = ill.ended.zip(ill.began).map_or(0, |(ended, began)| ended - began);
            let late = lasted.saturating_sub(FINDS) as f64 / SECOND as f64;
            (all, later, long) = (all + ill.first + ill.later, later + ill.later, long + late);
            json!({ "fault": number, "first_2_s": ill.first, "later": ill.later,
                "later_a_second": if late > 0.0 { ill.later as f64 / late } else { 0.0 } })
        });
        let each: Vec<Value> = each.collect();
        let shown = json!({ "each": each, "trips_to_ill": all,
            "later_a_second": if long > 0.0 { later as f64 / long } else { 0.0 },
            "most_out": self.most_out, "outs": self.outs, "moved_by_links": self.moved });
        Some(("signals", shown))
    }
}
