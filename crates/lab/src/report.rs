//! The report of a run: figures, rules and claims, as JSON and as a table.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use hdrhistogram::Histogram;
use serde_json::{json, Value};

use crate::history::Recorder;
use crate::request_ledger::{RequestLedger, RequestOutcome};
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

/// Counts of requests by their outcome.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: u64,
    completed: u64,
    rejected: u64,
    failed: u64,
    lost: u64,
    lost_by_faults: u64,
    unsent: u64,
    left: u64,
    late: u64,
}

impl Counts {
    fn add(&mut self, outcome: RequestOutcome, late: bool) {
        self.sent += u64::from(outcome != RequestOutcome::Unsent);
        let count = match outcome {
            RequestOutcome::Unsent => &mut self.unsent,
            RequestOutcome::Completed => &mut self.completed,
            RequestOutcome::Rejected => &mut self.rejected,
            RequestOutcome::Failed => &mut self.failed,
            RequestOutcome::Excused => &mut self.lost_by_faults,
            RequestOutcome::Disconnected => &mut self.left,
            RequestOutcome::Open | RequestOutcome::Lost => &mut self.lost,
        };
        *count += 1;
        self.late += u64::from(late);
    }

    fn value(&self) -> Value {
        json!({
            "sent": self.sent, "settled": self.completed, "nacked": self.rejected, "abandoned": self.failed,
            "lost": self.lost, "lost_by_faults": self.lost_by_faults, "unsent": self.unsent, "left": self.left,
            "late": self.late,
            "share_settled": share(self.completed, self.sent),
        })
    }
}

/// Counts of original requests; a retry of the client belongs to its original request.
#[derive(Clone, Copy, Debug, Default)]
struct OriginalRequests {
    within_quota: u64,
    within_quota_completed: u64,
    within_quota_rejected: u64,
    beyond_quota: u64,
    beyond_quota_completed: u64,
    units_within_quota: f64,
    units_completed: f64,
}

impl OriginalRequests {
    fn add(&mut self, within_quota: bool, completed: bool, rejected: bool, units: f64) {
        if within_quota {
            self.within_quota += 1;
            self.within_quota_completed += u64::from(completed);
            self.within_quota_rejected += u64::from(rejected);
            self.units_within_quota += units;
        } else {
            self.beyond_quota += 1;
            self.beyond_quota_completed += u64::from(completed);
        }
        self.units_completed += if completed { units } else { 0.0 };
    }

    fn value(&self) -> Value {
        json!({
            "inside": self.within_quota, "inside_settled": self.within_quota_completed, "inside_nacked": self.within_quota_rejected,
            "beyond": self.beyond_quota, "beyond_settled": self.beyond_quota_completed,
            "share_inside_settled": share(self.within_quota_completed, self.within_quota),
            "share_inside_nacked": if self.within_quota == 0 { 0.0 } else { share(self.within_quota_rejected, self.within_quota) },
            "units_inside": self.units_within_quota, "units_settled": self.units_completed,
            "use": if self.units_within_quota == 0.0 { 0.0 } else { self.units_completed / self.units_within_quota },
        })
    }
}

/// The figures of all requests that were sent from `from` on.
pub fn transactions(
    ledger: &RequestLedger,
    scenario: &Scenario,
    late: &dyn Fn(u64) -> bool,
    from: Micros,
) -> Value {
    let mut counts = Counts::default();
    let (mut retries, mut origins) = (0u64, BTreeMap::new());
    for (request, within_quota, outcome, _) in ledger.outcomes() {
        if request.at < from {
            continue;
        }
        counts.add(outcome, outcome == RequestOutcome::Completed && late(request.id));
        retries += u64::from(request.attempt > 0);
        let origin = origins.entry(request.origin).or_insert((
            request.group,
            request.tenant,
            within_quota,
            request.units,
            Vec::new(),
        ));
        origin.4.push(outcome);
    }
    // Any request of a tenant that exceeded its quota may be rejected; requests of other tenants should not be.
    let beyond_quota: BTreeSet<u64> = ledger
        .outcomes()
        .filter(|(_, within_quota, ..)| !within_quota)
        .map(|(request, ..)| request.tenant)
        .collect();
    let mut within = OriginalRequests::default();
    let mut all = OriginalRequests::default();
    let mut groups = vec![OriginalRequests::default(); scenario.customers.len()];
    for (group, tenant, within_quota, units, fates) in origins.values() {
        // A client that disconnected got no answer, which is nobody's fault.
        let waited = |outcome: &RequestOutcome| {
            !matches!(outcome, RequestOutcome::Unsent | RequestOutcome::Disconnected)
        };
        if !fates.iter().any(waited) {
            continue;
        }
        let completed = fates.contains(&RequestOutcome::Completed);
        let rejected = !completed && fates.contains(&RequestOutcome::Rejected);
        let always = !beyond_quota.contains(tenant);
        for counts in [&mut groups[*group], &mut all].into_iter().chain(always.then_some(&mut within)) {
            counts.add(*within_quota, completed, rejected, f64::from(*units));
        }
    }
    let mut windows = worst_windows(ledger, scenario, from);
    let named = scenario.customers.iter().zip(&groups).map(|(tenants, counts)| {
        let mut value = counts.value();
        value["worst_window"] = json!(windows.remove(&tenants.name).unwrap_or(0.0));
        (tenants.name.clone(), value)
    });
    let mut value = counts.value();
    value["tries_again"] = json!(retries);
    json!({ "transactions": value, "quota": all.value(), "within": within.value(), "groups": Value::Object(named.collect()) })
}

/// The window over which completed units are compared with the quota.
const WINDOW: Micros = 10 * SECOND;

/// For each group, the maximum of any tenant's completed units in any window, as a multiple of what its plan allows in that
/// time: the rate and one burst.
fn worst_windows(ledger: &RequestLedger, scenario: &Scenario, from: Micros) -> BTreeMap<String, f64> {
    let mut completed: BTreeMap<(usize, u64), Vec<(Micros, f64)>> = BTreeMap::new();
    for (request, _, outcome, _) in ledger.outcomes() {
        if outcome == RequestOutcome::Completed && request.at >= from {
            completed
                .entry((request.group, request.tenant))
                .or_default()
                .push((request.at, f64::from(request.units)));
        }
    }
    let mut worst: BTreeMap<String, f64> = BTreeMap::new();
    for ((group, _), mut units) in completed {
        let tenants = &scenario.customers[group];
        let Some(plan) = scenario.plans.iter().find(|plan| plan.name == tenants.plan) else { continue };
        let allowance = plan.rate * WINDOW as f64 / SECOND as f64 + plan.burst;
        // Sort by time: the clients' retries come later than their ids suggest.
        units.sort_by_key(|(at, _)| *at);
        let (mut first, mut sum) = (0, 0.0);
        for (at, request_units) in &units {
            sum += request_units;
            while units[first].0 + WINDOW <= *at {
                sum -= units[first].1;
                first += 1;
            }
            let max_share = worst.entry(tenants.name.clone()).or_default();
            *max_share = max_share.max(sum / allowance);
        }
    }
    worst
}

pub fn rules(recorder: &Recorder) -> Value {
    let mut value = json!({ "broken": recorder.violation_count() });
    for (name, broken) in recorder.rules() {
        value[name] = json!({ "broken": broken.count, "instances": broken.instances });
    }
    value
}

/// The figure at a path, as in `transactions.lost`; names that contain dots can't be looked up.
pub fn figure(report: &Value, path: &str) -> Option<f64> {
    let mut at = report;
    for name in path.split('.') {
        at = match name.parse::<usize>() {
            Ok(number) if at.is_array() => at.get(number)?,
            _ => at.get(name)?,
        };
    }
    at.as_f64()
}

/// Checks the claims. A claim whose figure is not in the report does not hold, so that a misspelt path fails the run.
pub fn claims(report: &Value, claims: &[Claim]) -> Value {
    let checked = claims.iter().map(|claim| {
        let value = figure(report, &claim.figure);
        let within_min = claim.least.is_none_or(|min| value.is_some_and(|value| value >= min));
        let within_max = claim.most.is_none_or(|max| value.is_some_and(|value| value <= max));
        let bound = match (claim.least, claim.most) {
            (Some(min), Some(max)) => json!({ "least": min, "most": max }),
            (Some(min), None) => json!({ "least": min }),
            (_, max) => json!({ "most": max }),
        };
        json!({ "name": claim.name, "held": within_min && within_max, "figure": claim.figure, "value": value, "bound": bound })
    });
    checked.collect::<Vec<_>>().into()
}

/// One line for each failure: the first violation of each broken rule, and the claims that did not hold.
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

/// Whether all rules and claims of a run hold, and all awaited events came.
pub fn holds(report: &Value) -> bool {
    let claims = report["claims"].as_array().into_iter().flatten();
    let all_triggered = report["faults"]["never_came"].as_u64().unwrap_or(0) == 0;
    all_triggered
        && report["rules"]["broken"] == json!(0)
        && claims.into_iter().all(|claim| claim["held"] == json!(true))
}

/// The report as a table for people to read.
pub fn table(report: &Value) -> String {
    let mut output = String::new();
    let number = |path: &str| figure(report, path).unwrap_or(0.0);
    let line = |output: &mut String, name: &str, text: String| {
        let _ = writeln!(output, "  {name:<14} {text}");
    };
    let head = format!(
        "{}: {}",
        report["scenario"].as_str().unwrap_or_default(),
        report["about"].as_str().unwrap_or_default()
    );
    let _ = writeln!(output, "{head}");
    let t = |name: &str| number(&format!("transactions.{name}"));
    line(&mut output, "transactions", format!(
        "{} sent, {} settled ({} late), {} nacked, {} abandoned, {} lost, {} lost by faults, {} unsent, {} tries again",
        t("sent"), t("settled"), t("late"), t("nacked"), t("abandoned"), t("lost"), t("lost_by_faults"), t("unsent"),
        t("tries_again"),
    ));
    let groups = report["groups"].as_object().into_iter().flatten().map(|(name, figures)| (&**name, figures));
    for (name, figures) in groups.chain([("all within", &report["within"])]) {
        let window = figures["worst_window"]
            .as_f64()
            .map_or(String::new(), |worst| format!(", worst window {worst:.2}"));
        let value = |field: &str| figures[field].as_f64().unwrap_or(0.0);
        line(
            &mut output,
            name,
            format!(
                "inside {}: {:.2} in 100 settled, {:.2} nacked; beyond {}: {} settled; use {:.3}{window}",
                value("inside"),
                100.0 * value("share_inside_settled"),
                100.0 * value("share_inside_nacked"),
                value("beyond"),
                value("beyond_settled"),
                value("use"),
            ),
        );
    }
    for (name, figures) in report["latency"].as_object().into_iter().flatten() {
        let value = |field: &str| figures[field].as_f64().unwrap_or(0.0);
        line(
            &mut output,
            name,
            format!(
                "p50 {:.1}, p90 {:.1}, p99 {:.1}, p99.9 {:.1}, longest {:.1} ms",
                value("p50_ms"),
                value("p90_ms"),
                value("p99_ms"),
                value("p999_ms"),
                value("max_ms"),
            ),
        );
    }
    line(
        &mut output,
        "gateways",
        format!(
            "{:.0} us a transaction, at most {:.1} MB, {} starts, {} crashes",
            number("gateways.cpu_us_a_transaction"),
            number("gateways.peak_mb"),
            number("gateways.starts"),
            number("gateways.crashes"),
        ),
    );
    line(
        &mut output,
        "boxes",
        format!(
            "{} trips, {} fell, at most {} connections at once",
            number("boxes.trips"),
            number("boxes.fell"),
            number("boxes.most_connections"),
        ),
    );
    if report["counter"].is_object() {
        line(
            &mut output,
            "counter",
            format!("{} calls, {} turned away", number("counter.calls"), number("counter.turned_away"),),
        );
    }
    if number("hostile.sent") > 0.0 {
        line(
            &mut output,
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
        &mut output,
        "lab",
        format!(
            "load behind by {:.1} ms at p99, its own loop late by {:.1} ms at p99, {:.2} of a core",
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
            &mut output,
            &format!("rule {name}"),
            if broken == 0 { "kept".into() } else { format!("BROKEN {broken} times") },
        );
        for instance in rule["instances"].as_array().into_iter().flatten().take(5) {
            line(&mut output, "", instance.as_str().unwrap_or_default().to_string());
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
        line(&mut output, "claim", format!("{}: {text}", claim["name"].as_str().unwrap_or_default()));
    }
    if report["between"].is_object() {
        line(
            &mut output,
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
            format!("{unfelt} without an effect on any gateway, {never} whose awaited event never came");
        line(&mut output, "faults", text);
    }
    if let Some(why) = report["void"].as_str() {
        line(&mut output, "VOID", why.to_string());
    }
    let _ = write!(output, "  played in {:.1} s", number("played_us") / SECOND as f64);
    output
}
