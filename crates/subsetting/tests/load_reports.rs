//! Load reports of a fleet, by gossip where messages are lost and duplicated.

use fernscale_subsetting::load_reports::{LivePeer, LoadReport, LoadReports, Message};
use fernscale_subsetting::Micros;

const SECOND: Micros = 1_000_000;
const STEP: Micros = 50_000;

/// Gateways that exchange load reports, over a network that loses a fifth of the messages and duplicates some.
struct GossipRun {
    now: Micros,
    all: Vec<(LivePeer, LoadReports)>,
    sent: usize,
    bytes: usize,
}

impl GossipRun {
    fn new(count: usize) -> GossipRun {
        let live = |at: usize| LivePeer { name: format!("gateway-{at}"), instance: 1_000 + at as u64 };
        let all = (0..count).map(|at| (live(at), LoadReports::new(live(at), "a", at as u64, SECOND)));
        GossipRun { now: SECOND, all: all.collect(), sent: 0, bytes: 0 }
    }

    fn others(&self, but: usize) -> Vec<LivePeer> {
        let others = self.all.iter().enumerate().filter(|(at, _)| *at != but);
        others.map(|(_, (live, _))| live.clone()).collect()
    }

    fn advance(&mut self, time: Micros, attempts: impl Fn(usize) -> u64) {
        let until = self.now + time;
        let others: Vec<_> = (0..self.all.len()).map(|at| self.others(at)).collect();
        while self.now < until {
            self.now += STEP;
            let mut messages = Vec::new();
            for (at, (live, loads)) in self.all.iter_mut().enumerate() {
                loads.record_attempts(self.now, attempts(at));
                loads.handle_timeout(self.now, &others[at]);
                while let Some((to, message)) = loads.poll_message() {
                    messages.push((live.name.clone(), to, message));
                }
            }
            for (from, to, message) in messages {
                self.sent += 1;
                if let Message::Reports(reports) = &message {
                    assert!(reports.len() <= 20);
                    self.bytes += reports.len() * 30;
                }
                let copies = [1, 1, 1, 0, 2][self.sent % 5];
                let to: usize = to.trim_start_matches("gateway-").parse().expect("a number");
                for _ in 0..copies {
                    self.all[to].1.handle_message(self.now, &from, message.clone());
                }
            }
        }
    }
}

#[test]
fn all_gateways_learn_all_loads_despite_loss_and_duplication() {
    let mut gossip_run = GossipRun::new(100);
    gossip_run.advance(20 * SECOND, |at| [1, 2, 4, 8][at % 4]);
    let known = gossip_run.all[0].1.gateway_loads(&gossip_run.others(0));
    for at in 1..100 {
        assert_eq!(
            gossip_run.all[at].1.gateway_loads(&gossip_run.others(at)),
            known,
            "gateway {at} has other loads"
        );
    }
    let load = |at: usize| {
        let name = format!("gateway-{at}");
        known.iter().find(|known| known.name == name).and_then(|known| known.load).expect("it was reported")
    };
    // Twenty steps a second, and loads in steps of a quarter.
    for at in 0..4 {
        let carried = [20.0, 40.0, 80.0, 160.0][at];
        assert!((0.75..1.34).contains(&(load(at) / carried)), "{} for {carried}", load(at));
    }
    // Unchanged loads cause few messages.
    let (sent, from) = (gossip_run.sent, gossip_run.now);
    gossip_run.advance(10 * SECOND, |at| [1, 2, 4, 8][at % 4]);
    let per_second = (gossip_run.sent - sent) as f64 / ((gossip_run.now - from) / SECOND) as f64 / 100.0;
    assert!(per_second < 4.0, "{per_second} messages a second from each");
}

#[test]
fn false_and_implausible_reports_are_ignored() {
    let mut gossip_run = GossipRun::new(3);
    gossip_run.advance(10 * SECOND, |_| 1);
    let others = gossip_run.others(0);
    let before = gossip_run.all[0].1.gateway_loads(&others);
    let report = |name: &str, run, step| LoadReport {
        name: name.into(),
        instance: run,
        version: 9_000,
        step,
        zone: String::new(),
        is_leaving: false,
    };
    let now = gossip_run.now;
    let false_reports = vec![
        // About the receiving gateway itself.
        report("gateway-0", 1_000, 90),
        // An impossible step, an unknown process, and an empty name.
        report("gateway-1", 1_001, 255),
        report("gateway-1", 77, 90),
        report("", 1_002, 90),
    ];
    gossip_run.all[0].1.handle_message(now, "gateway-2", Message::Reports(false_reports));
    assert_eq!(gossip_run.all[0].1.gateway_loads(&others), before);
}

#[test]
fn two_processes_of_one_name_are_one_gateway_and_leaving_is_reported_at_once() {
    let mut gossip_run = GossipRun::new(3);
    gossip_run.all[1].0.name = "gateway-0".into();
    let live = gossip_run.all[1].0.clone();
    gossip_run.all[1].1 = LoadReports::new(live, "a", 9, gossip_run.now);
    gossip_run.advance(15 * SECOND, |_| 2);
    let known = gossip_run.all[2].1.gateway_loads(&gossip_run.others(2));
    assert_eq!(known.len(), 2);
    let of = |name: &str| known.iter().find(|known| known.name == name).and_then(|known| known.load);
    let (both, one) = (of("gateway-0").expect("it was reported"), of("gateway-2").expect("it was reported"));
    assert!((1.5..2.7).contains(&(both / one)), "{both} and {one}");
    let (now, others) = (gossip_run.now, gossip_run.others(2));
    gossip_run.all[2].1.leave(now, &others);
    let leaving_messages = std::iter::from_fn(|| gossip_run.all[2].1.poll_message()).filter(|(_, message)| {
        matches!(message, Message::Reports(reports) if reports.iter().any(|report| report.instance == 1_002 && report.is_leaving))
    });
    assert!(leaving_messages.count() >= 2, "no gateway was notified");
}
