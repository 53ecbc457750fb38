//! Discovery on sockets: an agent for each gateway, which answers over HTTP/1.1 with the list as that gateway sees it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_lite::future;
use serde_json::json;

use super::listener::Listener;
use super::stream::Stream;
use super::{sleep, World};
use crate::history::Event;
use crate::model::discovery::{EndpointList, Entry, Status};
use crate::request_ledger::Link;
use crate::scenario::OnRequest;
use crate::{Micros, MILLISECOND, SECOND};

/// How often a watch looks for something newer.
const LOOK: Micros = 2 * MILLISECOND;
/// A watch waits so long at most, in milliseconds.
const LONGEST: u64 = 60_000;
const MOST_HEAD: usize = 16 * 1024;
/// What a watch that has fallen silent misses counts as told so much later, whether it arrived or not.
const COUNTS: Micros = 6 * SECOND;

pub struct Host {
    world: Rc<World>,
    pub list: RefCell<EndpointList>,
    /// Where each gateway finds each box.
    pub addresses: RefCell<HashMap<(u32, String), SocketAddr>>,
    silent: Vec<Cell<bool>>,
    /// How often each gateway's open watches have fallen silent.
    hushed: Vec<Cell<u32>>,
    /// How long each gateway's agent waits with what it has.
    late: Vec<Cell<Micros>>,
    /// It only answers when it is asked.
    asked: RefCell<Option<OnRequest>>,
    calls: Cell<u64>,
    turned_away: Cell<u64>,
    room: Cell<(f64, Micros)>,
    doors: RefCell<Vec<Rc<Listener>>>,
}

impl Host {
    /// One agent for each gateway, each at an address of its own.
    pub fn start(world: &Rc<World>, gateways: u32, asked: Option<OnRequest>) -> io::Result<Rc<Host>> {
        let doors: Vec<_> = (0..gateways).map(|_| SocketAddr::new(world.host(), 0)).collect();
        let host = Host::start_at(world, &doors)?;
        if let Some(asked) = asked {
            world.spawn(host.clone().deems(asked.within.0));
            host.asked.replace(Some(asked));
        }
        Ok(host)
    }

    /// Takes all gateways for told of each change, some time after it. One that serves again they may hear of at once.
    async fn deems(self: Rc<Self>, within: Micros) {
        let mut seen = self.list.borrow().index();
        loop {
            sleep(LOOK).await;
            let now = self.world.now();
            let changes: Vec<_> = {
                let list = self.list.borrow();
                let newer = list.since(seen).into_iter();
                newer.map(|(name, entry)| (name.to_string(), entry.status, entry.started)).collect()
            };
            seen = self.list.borrow().index();
            for (name, status, started) in changes {
                let at = if status == Status::InService { now } else { now + within };
                let own = self.clone();
                self.world.spawn(async move {
                    own.world.until(at).await;
                    for gateway in 0..own.silent.len() as u32 {
                        let name = name.clone();
                        own.world.happens(Event::EndpointNotified { gateway, name, status, started });
                    }
                });
            }
        }
    }

    /// Whether a call is borne now: so many a second, a second's worth at once.
    fn bears(&self) -> bool {
        self.calls.set(self.calls.get() + 1);
        let Some(capacity) = self.asked.borrow().as_ref().map(|asked| asked.capacity) else { return true };
        let (room, at) = self.room.get();
        let now = self.world.now();
        let room = (room + (now - at) as f64 / SECOND as f64 * capacity).min(capacity);
        let bears = room >= 1.0;
        self.room.set((if bears { room - 1.0 } else { room }, now));
        self.turned_away.set(self.turned_away.get() + u64::from(!bears));
        bears
    }

    /// For the report.
    pub fn shown(&self, played: Micros) -> serde_json::Value {
        json!({ "calls": self.calls.get(), "turned_away": self.turned_away.get(),
            "calls_a_second": self.calls.get() as f64 * SECOND as f64 / played as f64 })
    }

    pub fn start_at(world: &Rc<World>, doors: &[SocketAddr]) -> io::Result<Rc<Host>> {
        let host = Rc::new(Host {
            world: world.clone(),
            list: RefCell::default(),
            addresses: RefCell::default(),
            silent: doors.iter().map(|_| Cell::new(false)).collect(),
            hushed: doors.iter().map(|_| Cell::new(0)).collect(),
            late: doors.iter().map(|_| Cell::new(0)).collect(),
            asked: RefCell::default(),
            calls: Cell::new(0),
            turned_away: Cell::new(0),
            room: Cell::new((1.0, 0)),
            doors: RefCell::default(),
        });
        for (gateway, address) in doors.iter().enumerate() {
            let own = host.clone();
            let serve = move |stream| own.clone().serve(gateway as u32, stream);
            let door = Listener::open(world, *address, usize::MAX, serve)?;
            host.doors.borrow_mut().push(door);
        }
        Ok(host)
    }

    pub fn address(&self, gateway: u32) -> SocketAddr {
        self.doors.borrow()[gateway as usize].address()
    }

    /// At its return an agent has all at once, and the gateway counts as told of it.
    pub fn silence(&self, gateway: u32, silent: bool) {
        if self.silent[gateway as usize].replace(silent) && !silent {
            self.counts_as_told(gateway);
        }
    }

    /// The watches that a gateway has open now say nothing any more.
    pub fn silence_watches(self: &Rc<Self>, gateway: u32) {
        self.hushed[gateway as usize].set(self.hushed[gateway as usize].get() + 1);
        let host = self.clone();
        self.world.spawn(async move {
            sleep(COUNTS).await;
            host.counts_as_told(gateway);
        });
    }

    fn counts_as_told(&self, gateway: u32) {
        let list = self.list.borrow();
        let all = list.since(0).into_iter().filter(|(_, entry)| entry.status != Status::InService);
        let all: Vec<_> = all.map(|(name, entry)| (name.to_string(), entry.status, entry.started)).collect();
        drop(list);
        for (name, status, started) in all {
            self.world.happens(Event::EndpointNotified { gateway, name, status, started });
        }
    }

    pub fn delay(&self, gateway: u32, by: Micros) {
        self.late[gateway as usize].set(by);
    }

    async fn serve(self: Rc<Self>, gateway: u32, mut stream: Stream) {
        while let Ok(path) = stream.next(request).await {
            if !path.starts_with("/catalog/members") {
                let _ = stream.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await;
                continue;
            }
            let query = path.split_once('?').map_or("", |(_, query)| query);
            let number = |name: &str| {
                let mut parts = query.split('&').filter_map(|part| part.split_once('='));
                parts.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
            };
            let since = number("since");
            if !self.bears() {
                let _ = stream.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
                continue;
            }
            // One that is only asked has nobody wait.
            let asked = self.asked.borrow().is_some();
            let wait = if asked { Some(0) } else { number("timeout_ms") };
            let wait = wait.unwrap_or(0).min(LONGEST) * MILLISECOND;
            let until = self.world.now() + wait;
            // What comes to an agent that is silent is never answered, also when it speaks again.
            let unheard = !asked && self.silent[gateway as usize].get();
            let (hushed, watches) = (self.hushed[gateway as usize].get(), since.is_some() && wait > 0);
            let news = async {
                while since.is_some_and(|since| self.list.borrow().index() <= since)
                    && self.world.now() < until
                    || self.silent[gateway as usize].get()
                    || unheard
                    || watches && self.hushed[gateway as usize].get() != hushed
                {
                    sleep(LOOK).await;
                }
                let late = self.late[gateway as usize].get();
                if late > 0 {
                    sleep(late).await;
                }
                true
            };
            let mut other = stream.other();
            let left = async {
                // A client that closes its watch is not waited for.
                while other.more().await.is_ok() {}
                false
            };
            if !future::or(news, left).await || self.tell(gateway, since, &stream).await.is_err() {
                return;
            }
        }
    }

    async fn tell(&self, gateway: u32, since: Option<u64>, stream: &Stream) -> io::Result<()> {
        let (body, told) = {
            let list = self.list.borrow();
            let entries = since.map_or_else(|| list.complete(), |since| list.since(since));
            let shown: Vec<_> =
                entries.iter().map(|(name, entry)| self.entry(gateway, name, entry)).collect();
            let told: Vec<_> =
                entries.iter().map(|(name, entry)| (name.to_string(), entry.status, entry.started)).collect();
            (json!({ "index": list.index(), "snapshot": since.is_none(), "endpoints": shown }), told)
        };
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write((head + &body).as_bytes()).await?;
        let now = self.world.now();
        // What a broken link may have kept back is not held against the gateway.
        if !self.world.ledger().is_faulty(&Link::List(gateway), now) {
            for (name, status, started) in told {
                self.world.happened(now, Event::EndpointNotified { gateway, name, status, started });
            }
        }
        Ok(())
    }

    fn entry(&self, gateway: u32, name: &str, entry: &Entry) -> serde_json::Value {
        let address = self.addresses.borrow().get(&(gateway, name.to_string())).copied();
        let since = entry.started.map_or(0, |at| (self.world.start_unix + at) / MILLISECOND);
        json!({
            "name": name,
            "address": address.map(|address| address.to_string()),
            "zone": entry.zone,
            "type": entry.kind,
            "group": entry.cell,
            "status": entry.status.as_str(),
            "weight": entry.weight,
            "since_ms": since,
        })
    }

    /// The list as a gateway would be given it at its start.
    pub fn known(&self, gateway: u32) -> serde_json::Value {
        let list = self.list.borrow();
        let entries: Vec<_> =
            list.complete().iter().map(|(name, entry)| self.entry(gateway, name, entry)).collect();
        json!({ "index": list.index(), "snapshot": true, "endpoints": entries })
    }
}

/// The path of a request without a body.
fn request(bytes: &[u8]) -> crate::wire::Scanned<String> {
    let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
        return if bytes.len() > MOST_HEAD { Err("a head without an end") } else { Ok(None) };
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut words = head.lines().next().unwrap_or_default().split(' ');
    match (words.next(), words.next()) {
        (Some("GET"), Some(path)) => Ok(Some((path.to_string(), end + 4))),
        _ => Err("no request that is known here"),
    }
}
