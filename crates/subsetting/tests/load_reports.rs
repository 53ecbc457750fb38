//! Tests of the load reports of a fleet, with gossip over a network that loses and duplicates messages.

use fernscale_subsetting::load_reports::{LivePeer, LoadReport, LoadReports, Message};
use fernscale_subsetting::Micros;

const SECOND: Micros = 1_000_000;
const STEP: Micros = 50_000;

/// Gateways that exchange load reports over a network that loses one in five messages and duplicates another one in
/// five.
struct GossipRun {
    now: Micros,
    gateways: Vec<(LivePeer, LoadReports)>,
    sent: usize,
    bytes: usize,
}

impl GossipRun {
    fn new(count: usize) -> GossipRun {
        let live =
            |index: usize| LivePeer { name: format!("gateway-{index}"), instance: 1_000 + index as u64 };
        let gateways =
            (0..count).map(|index| (live(index), LoadReports::new(live(index), "a", index as u64, SECOND)));
        GossipRun { now: SECOND, gateways: gateways.collect(), sent: 0, bytes: 0 }
    }

    fn others(&self, excluded: usize) -> Vec<LivePeer> {
        let others = self.gateways.iter().enumerate().filter(|(index, _)| *index != excluded);
        others.map(|(_, (live, _))| live.clone()).collect()
    }

    fn advance(&mut self, duration: Micros, attempts: impl Fn(usize) -> u64) {
        let end = self.now + duration;
        let others: Vec<_> = (0..self.gateways.len()).map(|index| self.others(index)).collect();
        while self.now < end {
            self.now += STEP;
            let mut messages = Vec::new();
            for (index, (live, loads)) in self.gateways.iter_mut().enumerate() {
                loads.record_attempts(self.now, attempts(index));
                loads.handle_timeout(self.now, &others[index]);
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
                    self.gateways[to].1.handle_message(self.now, &from, message.clone());
                }
            }
        }
    }
}

#[test]
fn all_gateways_learn_all_loads_despite_loss_and_duplication() {
    let mut gossip_run = GossipRun::new(100);
    gossip_run.advance(20 * SECOND, |index| [1, 2, 4, 8][index % 4]);
    let known = gossip_run.gateways[0].1.gateway_loads(&gossip_run.others(0));
    for index in 1..100 {
        assert_eq!(
            gossip_run.gateways[index].1.gateway_loads(&gossip_run.others(index)),
            known,
            "gateway {index} has other loads"
        );
    }
    let load = |index: usize| {
        let name = format!("gateway-{index}");
        known.iter().find(|known| known.name == name).and_then(|known| known.load).expect("a reported load")
    };
    // Attempts are recorded 20 times per second, and reported loads have steps of a quarter.
    for index in 0..4 {
        let carried = [20.0, 40.0, 80.0, 160.0][index];
        assert!((0.75..1.34).contains(&(load(index) / carried)), "{} for {carried}", load(index));
    }
    // Unchanged loads cause few messages.
    let (sent, from) = (gossip_run.sent, gossip_run.now);
    gossip_run.advance(10 * SECOND, |index| [1, 2, 4, 8][index % 4]);
    let per_second = (gossip_run.sent - sent) as f64 / ((gossip_run.now - from) / SECOND) as f64 / 100.0;
    assert!(per_second < 4.0, "each gateway sends {per_second} messages per second");
}

#[test]
fn false_and_implausible_reports_are_ignored() {
    let mut gossip_run = GossipRun::new(3);
    gossip_run.advance(10 * SECOND, |_| 1);
    let others = gossip_run.others(0);
    let before = gossip_run.gateways[0].1.gateway_loads(&others);
    let report = |name: &str, instance, step| LoadReport {
        name: name.into(),
        instance,
        version: 9_000,
        step,
        zone: String::new(),
        is_leaving: false,
    };
    let now = gossip_run.now;
    let false_reports = vec![
        // About the receiving gateway itself.
        report("gateway-0", 1_000, 90),
        // A step that is too high, an unknown process, and an empty name.
        report("gateway-1", 1_001, 255),
        report("gateway-1", 77, 90),
        report("", 1_002, 90),
    ];
    gossip_run.gateways[0].1.handle_message(now, "gateway-2", Message::Reports(false_reports));
    assert_eq!(gossip_run.gateways[0].1.gateway_loads(&others), before);
}

#[test]
fn two_processes_of_one_name_are_one_gateway_and_leaving_is_reported_at_once() {
    let mut gossip_run = GossipRun::new(3);
    gossip_run.gateways[1].0.name = "gateway-0".into();
    let live = gossip_run.gateways[1].0.clone();
    gossip_run.gateways[1].1 = LoadReports::new(live, "a", 9, gossip_run.now);
    gossip_run.advance(15 * SECOND, |_| 2);
    let known = gossip_run.gateways[2].1.gateway_loads(&gossip_run.others(2));
    assert_eq!(known.len(), 2);
    let load_of = |name: &str| known.iter().find(|known| known.name == name).and_then(|known| known.load);
    let (both, one) =
        (load_of("gateway-0").expect("a reported load"), load_of("gateway-2").expect("a reported load"));
    assert!((1.5..2.7).contains(&(both / one)), "{both} and {one}");
    let (now, others) = (gossip_run.now, gossip_run.others(2));
    gossip_run.gateways[2].1.leave(now, &others);
    let leaving_messages = std::iter::from_fn(|| gossip_run.gateways[2].1.poll_message()).filter(|(_, message)| {
        matches!(message, Message::Reports(reports) if reports.iter().any(|report| report.instance == 1_002 && report.is_leaving))
    });
    assert!(leaving_messages.count() >= 2, "no gateway was notified");
}
