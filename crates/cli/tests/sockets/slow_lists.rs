//! Endpoint lists that discovery writes slowly.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::process::*;

/// Pieces of a response that is written slowly, and the pause between two of them: 1.4 s in all.
const PIECES: usize = 15;
const PIECE_PAUSE: Duration = Duration::from_millis(100);
/// Within this time a change of the list counts as known to the gateway, and the grace in which it must stop using a server that
/// drains.
const MAX_USE_AFTER_DRAIN: Duration = Duration::from_millis(6_000 + 2_000);

/// A discovery service with a list that can be changed, and that can be told to write slowly.
struct PacedDiscovery {
    list: Mutex<String>,
    is_slow: AtomicBool,
}

impl PacedDiscovery {
    fn start(list: String) -> (SocketAddr, Arc<Self>) {
        let (listener, address) = bind_listener();
        let discovery = Arc::new(PacedDiscovery { list: Mutex::new(list), is_slow: AtomicBool::new(false) });
        let service = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                thread::spawn(move || service.serve(&stream));
            }
        });
        (address, discovery)
    }

    fn current(&self) -> String {
        self.list.lock().expect("the list").clone()
    }

    fn serve(&self, stream: &TcpStream) {
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        while let Some(request_line) = lines.next() {
            lines.by_ref().take_while(|line| !line.is_empty()).for_each(drop);
            let known = self.current();
            let is_watch = request_line.contains("since=") && !request_line.contains("timeout_ms=0");
            while is_watch && self.current() == known {
                thread::sleep(Duration::from_millis(1));
            }
            if self.write(stream, &self.current()).is_err() {
                return;
            }
        }
    }

    fn write(&self, mut stream: &TcpStream, list: &str) -> std::io::Result<()> {
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        if !self.is_slow.load(Ordering::SeqCst) {
            return stream.write_all(response.as_bytes());
        }
        for piece in response.as_bytes().chunks(response.len().div_ceil(PIECES)) {
            stream.write_all(piece)?;
            thread::sleep(PIECE_PAUSE);
        }
        Ok(())
    }
}

/// Guards against a server that is used on after it drains, because no list that takes over a second to come is taken in.
#[test]
fn a_list_that_comes_slowly_is_taken_in() {
    for how in ["pushed", "on_request"] {
        let servers = [Server::start(Behavior::Serve), Server::start(Behavior::Serve)];
        let list = |index: u64, status: &str| {
            let entry = |name: &str, server: &Server, status: &str| {
                let address = server.address;
                format!(r#"{{"name":"{name}","address":"{address}","status":"{status}","since_ms":0}}"#)
            };
            let entries = [entry("s0", &servers[0], status), entry("s1", &servers[1], "in_service")];
            format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
        };
        let (address, discovery) = PacedDiscovery::start(list(4, "in_service"));
        let with_discovery = |config: String| config.replace("\"pushed\"", &format!("\"{how}\""));
        let gateway =
            Gateway::start_unready_with(address, NO_SERVERS, 1024, with_discovery).wait_until_ready();
        let mut client = gateway.client();
        discovery.is_slow.store(true, Ordering::SeqCst);
        *discovery.list.lock().expect("the list") = list(5, "terminating");
        let (drained_at, mut last_use) = (Instant::now(), Duration::ZERO);
        for index in 0.. {
            let (calls, sent_at) = (servers[0].calls(), drained_at.elapsed());
            let id = format!("t{index}");
            assert_eq!(client.request(&request_command(&id, "read", 1_000)), id);
            if servers[0].calls() > calls {
                last_use = sent_at;
            }
            if sent_at > MAX_USE_AFTER_DRAIN + Duration::from_secs(1)
                || sent_at > last_use + Duration::from_secs(6)
            {
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
        assert!(
            last_use < MAX_USE_AFTER_DRAIN,
            "{how}: the server that drains was used {last_use:?} after that"
        );
    }
}
