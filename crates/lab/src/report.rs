//! What a run comes to: figures, rules, claims; as JSON, and as a table.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use hdrhistogram::Histogram;
use serde_json::{json, Value};

use crate::history::Recorder;
use crate::request_ledger::{Fate, RequestLedger};
use crate::scenario::{Claim, Scenario};
use crate::{Micros, MILLISECOND, SECOND};

/// Quantiles of a histogram of microseconds, in milliseconds.
pub fn quantiles(of: &Histogram<u64>) -> Value {
    let ms = |value: u64| value as f64 / MILLISECOND as f64;
    json!({
        "count": of.len(),
        "p50_ms": ms(of.value_at_quantile(0.5)),
        "p90_ms": ms(of.value_at_quantile(0.9)),
        "p99_ms": ms(of.value_at_quantile(0.99)),
        "p999_ms": ms(of.value_at_quantile(0.999)),
        "max_ms": ms(of.max()),
    })
}

fn share(part: u64, all: u64) -> f64 {
    if all == 0 {
        1.0
    } else {
        part as f64 / all as f64
    }
}

/// Counts of transactions, by their fates.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: u64,
    settled: u64,
    nacked: u64,
    abandoned: u64,
    lost: u64,
    excused: u64,
    unsent: u64,
    left: u64,
    late: u64,
}

impl Counts {
    fn add(&mut self, fate: Fate, late: bool) {
        self.sent += u64::from(fate != Fate::Unsent);
        let of = match fate {
            Fate::Unsent => &mut self.unsent,
            Fate::Completed => &mut self.settled,
            Fate::Rejected => &mut self.nacked,
            Fate::Failed => &mut self.abandoned,
            Fate::Excused => &mut self.excused,
            Fate::Disconnected => &mut self.left,
            Fate::Open | Fate::Lost => &mut self.lost,
        };
        *of += 1;
        self.late += u64::from(late);
    }

    fn shown(&self) -> Value {
        json!({
            "sent": self.sent, "settled": self.settled, "nacked": self.nacked, "abandoned": self.abandoned,
            "lost": self.lost, "lost_by_faults": self.excused, "unsent": self.unsent, "left": self.left,
            "late": self.late,
            "share_settled": share(self.settled, self.sent),
        })
    }
}

/// First tries, with all that came of them.
#[derive(Clone, Copy, Debug, Default)]
struct Firsts {
    inside: u64,
    inside_settled: u64,
    inside_nacked: u64,
    beyond: u64,
    beyond_settled: u64,
    units_inside: f64,
    units_settled: f64,
}

impl Firsts {
    fn add(&mut self, inside: bool, settled: bool, nacked: bool, units: f64) {
        if inside {
            self.inside += 1;
            self.inside_settled += u64::from(settled);
            self.inside_nacked += u64::from(nacked);
            self.units_inside += units;
        } else {
            self.beyond += 1;
            self.beyond_settled += u64::from(settled);
        }
        self.units_settled += if settled { units } else { 0.0 };
    }

    fn shown(&self) -> Value {
        json!({
            "inside": self.inside, "inside_settled": self.inside_settled, "inside_nacked": self.inside_nacked,
            "beyond": self.beyond, "beyond_settled": self.beyond_settled,
            "share_inside_settled": share(self.inside_settled, self.inside),
            "share_inside_nacked": if self.inside == 0 { 0.0 } else { share(self.inside_nacked, self.inside) },
            "units_inside": self.units_inside, "units_settled": self.units_settled,
            "use": if self.units_inside == 0.0 { 0.0 } else { self.units_settled / self.units_inside },
        })
    }
}

/// The figures of all transactions that were asked from `from` on.
pub fn transactions(
    ledger: &RequestLedger,
    scenario: &Scenario,
    late: &dyn Fn(u64) -> bool,
    from: Micros,
) -> Value {
    let mut counts = Counts::default();
    let (mut tries, mut origins) = (0u64, BTreeMap::new());
    for (ask, inside, fate, _) in ledger.fates() {
        if ask.at < from {
            continue;
        }
        counts.add(fate, fate == Fate::Completed && late(ask.id));
        tries += u64::from(ask.attempt > 0);
        let origin =
            origins.entry(ask.origin).or_insert((ask.group, ask.tenant, inside, ask.units, Vec::new()));
        origin.4.push(fate);
    }
    // Of customers that went beyond their quota any transaction may be nacked; of the others none should be.
    let beyond: BTreeSet<u64> =
        ledger.fates().filter(|(_, inside, ..)| !inside).map(|(ask, ..)| ask.tenant).collect();
    let mut within = Firsts::default();
    let mut all = Firsts::default();
    let mut groups = vec![Firsts::default(); scenario.customers.len()];
    for (group, customer, inside, units, fates) in origins.values() {
        // Who left has had nothing, and nobody is to blame for it.
        let waited = |fate: &Fate| !matches!(fate, Fate::Unsent | Fate::Disconnected);
        if !fates.iter().any(waited) {
            continue;
        }
        let settled = fates.contains(&Fate::Completed);
        let nacked = !settled && fates.contains(&Fate::Rejected);
        let always = !beyond.contains(customer);
        for own in [&mut groups[*group], &mut all].into_iter().chain(always.then_some(&mut within)) {
            own.add(*inside, settled, nacked, f64::from(*units));
        }
    }
    let mut windows = worst_windows(ledger, scenario, from);
    let named = scenario.customers.iter().zip(&groups).map(|(customers, own)| {
        let mut shown = own.shown();
        shown["worst_window"] = json!(windows.remove(&customers.name).unwrap_or(0.0));
        (customers.name.clone(), shown)
    });
    let mut shown = counts.shown();
    shown["tries_again"] = json!(tries);
    json!({ "transactions": shown, "quota": all.shown(), "within": within.shown(), "groups": Value::Object(named.collect()) })
}

/// The window over which quotas are looked at.
const WINDOW: Micros = 10 * SECOND;

/// For each group, the most that any customer had settled in any window, beside what its plan gives in that time: what
/// the rate gives and one burst.
fn worst_windows(ledger: &RequestLedger, scenario: &Scenario, from: Micros) -> BTreeMap<String, f64> {
    let mut settled: BTreeMap<(usize, u64), Vec<(Micros, f64)>> = BTreeMap::new();
    for (ask, _, fate, _) in ledger.fates() {
        if fate == Fate::Completed && ask.at >= from {
            settled.entry((ask.group, ask.tenant)).or_default().push((ask.at, f64::from(ask.units)));
        }
    }
    let mut worst: BTreeMap<String, f64> = BTreeMap::new();
    for ((group, _), mut units) in settled {
        let customers = &scenario.customers[group];
        let Some(plan) = scenario.plans.iter().find(|plan| plan.name == customers.plan) else { continue };
        let given = plan.rate * WINDOW as f64 / SECOND as f64 + plan.burst;
        // In the order of their times: tries again come later than their ids.
        units.sort_by_key(|(at, _)| *at);
        let (mut first, mut sum) = (0, 0.0);
        for (at, own) in &units {
            sum += own;
            while units[first].0 + WINDOW <= *at {
                sum -= units[first].1;
                first += 1;
            }
            let most = worst.entry(customers.name.clone()).or_default();
            *most = most.max(sum / given);
        }
    }
    worst
}

pub fn rules(court: &Recorder) -> Value {
    let mut shown = json!({ "broken": court.violation_count() });
    for (name, broken) in court.rules() {
        shown[name] = json!({ "broken": broken.count, "instances": broken.instances });
    }
    shown
}

/// A figure by its place, as in `transactions.lost`; names that hold dots can't be asked for.
pub fn figure(report: &Value, place: &str) -> Option<f64> {
    let mut at = report;
    for name in place.split('.') {
        at = match name.parse::<usize>() {
            Ok(number) if at.is_array() => at.get(number)?,
            _ => at.get(name)?,
        };
    }
    at.as_f64()
}

/// Judges the claims. One whose figure is not in the report does not hold: a slip must not pass for a success.
pub fn claims(report: &Value, claims: &[Claim]) -> Value {
    let judged = claims.iter().map(|claim| {
        let value = figure(report, &claim.figure);
        let least = claim.least.is_none_or(|least| value.is_some_and(|value| value >= least));
        let most = claim.most.is_none_or(|most| value.is_some_and(|value| value <= most));
        let bound = match (claim.least, claim.most) {
            (Some(least), Some(most)) => json!({ "least": least, "most": most }),
            (Some(least), None) => json!({ "least": least }),
            (_, most) => json!({ "most": most }),
        };
        json!({ "name": claim.name, "held": least && most, "figure": claim.figure, "value": value, "bound": bound })
    });
    judged.collect::<Vec<_>>().into()
}

/// What broke, a line each: the first instance of each rule, and the claims that did not hold.
pub fn broken(report: &Value) -> Vec<String> {
    let rules = report["rules"].as_object().into_iter().flatten();
    let rules = rules.filter_map(|(name, rule)| {
        let count = rule["broken"].as_u64().filter(|count| *count > 0)?;
        let first = rule["instances"].get(0).and_then(Value::as_str).unwrap_or_default();
        Some(format!("{name}, {count} times: {first}"))
    });
    let claims = report["claims"].as_array().into_iter().flatten();
    let claims = claims.filter(|claim| claim["held"] != json!(true));
    rules.chain(claims.map(|claim| format!("claim: {} = {}", claim["name"], claim["value"]))).collect()
}

/// Whether a run kept the rules and its claims.
pub fn holds(report: &Value) -> bool {
    let claims = report["claims"].as_array().into_iter().flatten();
    let came = report["faults"]["never_came"].as_u64().unwrap_or(0) == 0;
    came && report["rules"]["broken"] == json!(0)
        && claims.into_iter().all(|claim| claim["held"] == json!(true))
}

/// For people to read.
pub fn table(report: &Value) -> String {
    let mut to = String::new();
    let number = |place: &str| figure(report, place).unwrap_or(0.0);
    let line = |to: &mut String, name: &str, text: String| {
        let _ = writeln!(to, "  {name:<14} {text}");
    };
    let head = format!(
        "{}: {}",
        report["scenario"].as_str().unwrap_or_default(),
        report["about"].as_str().unwrap_or_default()
    );
    let _ = writeln!(to, "{head}");
    let t = |name: &str| number(&format!("transactions.{name}"));
    line(&mut to, "transactions", format!(
        "{} sent, {} settled ({} late), {} nacked, {} abandoned, {} lost, {} lost by faults, {} unsent, {} tries again",
        t("sent"), t("settled"), t("late"), t("nacked"), t("abandoned"), t("lost"), t("lost_by_faults"), t("unsent"),
        t("tries_again"),
    ));
    let groups = report["groups"].as_object().into_iter().flatten().map(|(name, own)| (&**name, own));
    for (name, own) in groups.chain([("all within", &report["within"])]) {
        let window =
            own["worst_window"].as_f64().map_or(String::new(), |worst| format!(", worst window {worst:.2}"));
        let own = |field: &str| own[field].as_f64().unwrap_or(0.0);
        line(
            &mut to,
            name,
            format!(
                "inside {}: {:.2} in 100 settled, {:.2} nacked; beyond {}: {} settled; use {:.3}{window}",
                own("inside"),
                100.0 * own("share_inside_settled"),
                100.0 * own("share_inside_nacked"),
                own("beyond"),
                own("beyond_settled"),
                own("use"),
            ),
        );
    }
    for (name, own) in report["latency"].as_object().into_iter().flatten() {
        let own = |field: &str| own[field].as_f64().unwrap_or(0.0);
        line(
            &mut to,
            name,
            format!(
                "p50 {:.1}, p90 {:.1}, p99 {:.1}, p99.9 {:.1}, longest {:.1} ms",
                own("p50_ms"),
                own("p90_ms"),
                own("p99_ms"),
                own("p999_ms"),
                own("max_ms"),
            ),
        );
    }
    line(
        &mut to,
        "gateways",
        format!(
            "{:.0} us a transaction, {:.1} MB at the most, {} starts, {} crashes",
            number("gateways.cpu_us_a_transaction"),
            number("gateways.peak_mb"),
            number("gateways.starts"),
            number("gateways.crashes"),
        ),
    );
    line(
        &mut to,
        "boxes",
        format!(
            "{} trips, {} fell, {} connections at once at the most",
            number("boxes.trips"),
            number("boxes.fell"),
            number("boxes.most_connections"),
        ),
    );
    if report["counter"].is_object() {
        line(
            &mut to,
            "counter",
            format!("{} calls, {} turned away", number("counter.calls"), number("counter.turned_away"),),
        );
    }
    if number("hostile.sent") > 0.0 {
        line(
            &mut to,
            "hostile",
            format!(
                "{} sent, {} told, {} ignored, {} served",
                number("hostile.sent"),
                number("hostile.told"),
                number("hostile.ignored"),
                number("hostile.served"),
            ),
        );
    }
    line(
        &mut to,
        "lab",
        format!(
            "load behind by {:.1} ms at p99, its own turns late by {:.1} ms at p99, {:.2} of a core",
            number("lab.behind.p99_ms"),
            number("lab.turns.p99_ms"),
            number("lab.cpu_share"),
        ),
    );
    for (name, rule) in
        report["rules"].as_object().into_iter().flatten().filter(|(name, _)| *name != "broken")
    {
        let broken = rule["broken"].as_u64().unwrap_or(0);
        line(
            &mut to,
            &format!("rule {name}"),
            if broken == 0 { "kept".into() } else { format!("BROKEN {broken} times") },
        );
        for instance in rule["instances"].as_array().into_iter().flatten().take(5) {
            line(&mut to, "", instance.as_str().unwrap_or_default().to_string());
        }
    }
    for claim in report["claims"].as_array().into_iter().flatten() {
        let held = if claim["held"] == json!(true) { "held" } else { "NOT HELD" };
        let value =
            claim["value"].as_f64().map_or("no such figure".to_string(), |value| format!("{value:.4}"));
        let text = format!(
            "{held}: {} = {value}, bound {}",
            claim["figure"].as_str().unwrap_or_default(),
            claim["bound"]
        );
        line(&mut to, "claim", format!("{}: {text}", claim["name"].as_str().unwrap_or_default()));
    }
    if report["between"].is_object() {
        line(
            &mut to,
            "between",
            format!(
                "{:.0} datagrams a second, {:.0} bytes, passed on {:.2} ms late at p99",
                number("between.datagrams_a_second"),
                number("between.bytes_a_second"),
                number("between.late.p99_ms"),
            ),
        );
    }
    let (unfelt, never) = (number("faults.unfelt"), number("faults.never_came"));
    if unfelt + never > 0.0 {
        let text =
            format!("{unfelt} that nobody was there to feel, {never} that waited for what was never said");
        line(&mut to, "faults", text);
    }
    if let Some(why) = report["void"].as_str() {
        line(&mut to, "VOID", why.to_string());
    }
    let _ = write!(to, "  played in {:.1} s", number("played_us") / SECOND as f64);
    to
}
