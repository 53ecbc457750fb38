//! Two clocks on one time line, and discovery that is late: what is told of both is placed where it was.

use std::io::Write;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use async_executor::LocalExecutor;
use fernscale_lab::history::{Checker, Event, Recorder};
use fernscale_lab::live::records::Log;
use fernscale_lab::live::stream::Stream;
use fernscale_lab::live::{discovery, sleep, World};
use fernscale_lab::model::discovery::{Entry, Status};
use fernscale_lab::request_ledger::{RequestLedger, Violations};
use fernscale_lab::{Micros, MILLISECOND, SECOND};

fn with_world<F: std::future::Future<Output = ()>>(court: Recorder, test: impl FnOnce(Rc<World>) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    let main = executor.clone();
    async_io::block_on(main.run(async { test(World::new(executor, court)).await }));
}

fn line(time: SystemTime, event: &str) -> String {
    let time = humantime::format_rfc3339_micros(time);
    format!("{{\"time\":\"{time}\",\"event\":\"{event}\",\"gateway\":\"g\"}}\n")
}

#[test]
fn a_record_is_placed_by_its_own_time_where_that_can_be_and_by_when_it_was_read_otherwise() {
    with_world(Recorder::with_ledger(RequestLedger::recording_nothing()), |world| async move {
        let mut file = tempfile::NamedTempFile::new().expect("a file");
        let mut log = Log::open(file.path(), world.now()).expect("opened");
        let written = world.now();
        file.write_all(line(SystemTime::now(), "right").as_bytes()).expect("written");
        sleep(50 * MILLISECOND).await;
        // A clock that is off, a line that is no record, and half of one.
        let off = SystemTime::now() + Duration::from_secs(8);
        file.write_all(line(off, "off").as_bytes()).expect("written");
        file.write_all(b"a line of some other program's\n{\"event\":\"ha").expect("written");
        let found = log.more(&world);
        let names: Vec<&str> = found.iter().map(|record| &*record.event).collect();
        assert_eq!(names, ["right", "off"]);
        let (right, wrong) = (&found[0], &found[1]);
        assert!(right.at >= written && right.at < written + 20 * MILLISECOND, "{} us", right.at - written);
        assert!(right.within <= 2 * MILLISECOND);
        // Of the other it is known that it was written between the two looks.
        assert!(wrong.at <= world.now() && wrong.within >= 50 * MILLISECOND, "{} us", wrong.within);
        file.write_all(b"lf\"}\n").expect("written");
        let rest = log.more(&world);
        assert_eq!(rest.iter().map(|record| &*record.event).collect::<Vec<_>>(), ["half"]);
    });
}

/// Keeps when each gateway was told of a drain.
#[derive(Default)]
struct Drains(Rc<std::cell::RefCell<Vec<(u32, Micros)>>>);

impl Checker for Drains {
    fn observe(&mut self, at: Micros, event: &Event) {
        if let Event::EndpointNotified { gateway, status: Status::Terminating, .. } = event {
            self.0.borrow_mut().push((*gateway, at));
        }
    }

    fn finish(&mut self, _at: Micros) {}

    fn rules(&self) -> Vec<(&'static str, &Violations)> {
        Vec::new()
    }
}

#[test]
fn a_gateway_whose_discovery_is_late_is_told_so_much_later_and_held_to_nothing_before() {
    let drains = Drains::default();
    let told = drains.0.clone();
    let mut court = Recorder::with_ledger(RequestLedger::recording_nothing());
    court.add_checker(Box::new(drains));
    with_world(court, |world| async move {
        let host = discovery::Host::start(&world, 2, None).expect("agents");
        let entry = |status| Entry {
            zone: "z".into(),
            kind: "k".into(),
            cell: 0,
            status,
            weight: 1.0,
            started: None,
        };
        host.list.borrow_mut().put("box", entry(Status::InService));
        let since = host.list.borrow().index();
        const LATE: Micros = 300 * MILLISECOND;
        host.delay(1, LATE);
        let mut watches = Vec::new();
        for gateway in 0..2 {
            let stream = Stream::dial(host.address(gateway), SECOND).await.expect("connected");
            let ask = format!("GET /catalog/members?since={since}&timeout_ms=5000 HTTP/1.1\r\n\r\n");
            stream.write(ask.as_bytes()).await.expect("asked");
            watches.push(stream);
        }
        sleep(20 * MILLISECOND).await;
        let at = world.now();
        host.list.borrow_mut().set_status("box", Status::Terminating);
        for watch in &mut watches {
            watch.more().await.expect("an answer");
        }
        let told = told.borrow();
        let of = |gateway: u32| told.iter().find(|(own, _)| *own == gateway).expect("it was told").1;
        assert!(of(0) < at + LATE / 2, "the other waits for it: {} us", of(0) - at);
        assert!(of(1) >= at + LATE, "{} us", of(1) - at);
    });
}
