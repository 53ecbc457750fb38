//! A gateway that breaks one rule on purpose, so that the ledger is seen to catch it. It takes the platform's
//! configuration, admits everything, and sends it to a box drawn at random; nobody should learn from it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value as Json;

use super::listener::Listener;
use super::stream::Stream;
use super::{sleep, World};
use crate::wire::{self, Call, Value};
use crate::{Micros, MILLISECOND, SECOND};

/// What it does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Break {
    /// One transaction in twenty gets no answer.
    Lose,
    /// One in twenty is answered with what no box made.
    Invent,
    /// Each transaction goes to a second box as well.
    Twice,
    /// Each attempt is followed by a second one while its connection is open.
    Overlap,
    /// One in twenty that has run is nacked.
    NackRun,
    /// The list is never asked for again.
    Drains,
    /// All goes to the box that started last.
    Cold,
    /// Nothing but a ceiling's rule: everything is admitted, as by all the others.
    Ceilings,
    /// Every transaction is answered twice.
    Answer2,
    /// One watch is waited on for as long as it may say something.
    Watch,
    /// Each transaction is sent on half a second after it came, whoever still waits for it.
    Left,
    /// For a while after the process has stood still all is rejected, as though servers had been slow.
    Standstill,
}

/// Every so many transactions one is treated ill.
const ONE_IN: u64 = 20;

const REJECTION: &[u8] = b"-BUSY 10\r\n";

/// How often it looks whether its process has stood still, and what the time between two looks says so.
const LOOK: Micros = 20 * MILLISECOND;
const STOOD: Micros = 80 * MILLISECOND;
/// For how long all is rejected after a standstill.
const REJECTS: Duration = Duration::from_millis(300);

struct Rogue {
    breaks: Break,
    boxes: RefCell<Vec<(String, SocketAddr, u64)>>,
    chance: RefCell<ChaCha8Rng>,
    count: Cell<u64>,
    rejects_until: Cell<Option<Instant>>,
}

/// Runs it by the configuration that the environment names.
pub fn run(breaks: Break) -> Result<(), String> {
    let file =
        std::env::var("BALANCER_CONFIG").map_err(|_| "BALANCER_CONFIG names no configuration".to_string())?;
    let text = std::fs::read_to_string(&file).map_err(|error| format!("'{file}' can't be read: {error}"))?;
    let config: Json = serde_json::from_str(&text).map_err(|error| format!("'{file}': {error}"))?;
    let address = |name: &str| {
        let text = config.get(name).and_then(Json::as_str).unwrap_or_default();
        text.parse::<SocketAddr>().map_err(|_| format!("'{file}': '{name}' is no address"))
    };
    let (listen, discovery) = (address("listen")?, address("discovery")?);
    let executor = Rc::new(LocalExecutor::new());
    let world = World::blind(executor.clone());
    let rogue = Rc::new(Rogue {
        breaks,
        boxes: RefCell::default(),
        chance: RefCell::new(ChaCha8Rng::seed_from_u64(1)),
        count: Cell::new(0),
        rejects_until: Cell::new(None),
    });
    if breaks == Break::Standstill {
        executor.spawn(rogue.clone().notice_standstills()).detach();
    }
    async_io::block_on(executor.run(async {
        let own = rogue.clone();
        let serve = move |stream| own.clone().client(stream);
        let _door = Listener::open(&world, listen, usize::MAX, serve).map_err(|error| error.to_string())?;
        rogue.follow(discovery).await;
        Ok(())
    }))
}

impl Rogue {
    async fn notice_standstills(self: Rc<Self>) {
        loop {
            let before = Instant::now();
            sleep(LOOK).await;
            let now = Instant::now();
            if now - before > Duration::from_micros(STOOD) {
                self.rejects_until.set(Some(now + REJECTS));
            }
        }
    }

    fn rejects(&self) -> bool {
        self.rejects_until.get().is_some_and(|until| Instant::now() < until)
    }

    async fn follow(&self, discovery: SocketAddr) {
        loop {
            if let Ok(list) = whole_list(discovery).await {
                let entries = list.get("endpoints").and_then(Json::as_array).cloned().unwrap_or_default();
                let server = |entry: &Json| {
                    let name = entry.get("name")?.as_str()?.to_string();
                    let address = entry.get("address")?.as_str()?.parse().ok()?;
                    let serves = entry.get("status")?.as_str()? == "in_service";
                    serves.then(|| (name, address, entry.get("since_ms").and_then(Json::as_u64).unwrap_or(0)))
                };
                *self.boxes.borrow_mut() = entries.iter().filter_map(server).collect();
                if self.breaks == Break::Watch {
                    let index = list.get("index").and_then(Json::as_u64).unwrap_or(0);
                    let query = format!("?since={index}&timeout_ms=60000");
                    let _ = list_of(discovery, &query).await;
                    continue;
                }
                if self.breaks == Break::Drains {
                    // It will never hear of a drain: but it was told, as the next lists are written to its agent.
                    while whole_list(discovery).await.is_ok() {
                        sleep(100 * MILLISECOND).await;
                    }
                }
            }
            sleep(50 * MILLISECOND).await;
        }
    }

    fn pick(&self) -> Option<SocketAddr> {
        let boxes = self.boxes.borrow();
        if boxes.is_empty() {
            return None;
        }
        if self.breaks == Break::Cold {
            return boxes.iter().max_by_key(|(_, _, since)| *since).map(|(_, address, _)| *address);
        }
        let at = self.chance.borrow_mut().gen_range(0..boxes.len());
        Some(boxes[at].1)
    }

    async fn client(self: Rc<Self>, mut stream: Stream) {
        while let Ok(words) = stream.next(wire::command).await {
            let Some(call) = Call::read(&words) else {
                let ready = !self.boxes.borrow().is_empty();
                let said: &[u8] = if ready { b"+PONG\r\n" } else { b"-ERR not yet\r\n" };
                if stream.write(said).await.is_err() {
                    return;
                }
                continue;
            };
            let count = self.count.get() + 1;
            self.count.set(count);
            let ill = count.is_multiple_of(ONE_IN);
            let wait = (call.wait_ms * MILLISECOND as f64) as Micros;
            if self.rejects() {
                if stream.write(REJECTION).await.is_err() {
                    return;
                }
                continue;
            }
            if self.breaks == Break::Left {
                sleep(SECOND / 2).await;
            }
            let open = if self.breaks == Break::Overlap { self.begin_attempt(&words).await } else { None };
            let mut answer = self.trip(&words, wait).await;
            drop(open);
            if self.breaks == Break::Twice {
                answer = self.trip(&words, wait).await.or(answer);
            }
            let bytes = match (self.breaks, answer) {
                (Break::Lose, _) if ill => return,
                (Break::Invent, _) if ill => b"$8\r\ninvented\r\n".to_vec(),
                (Break::NackRun, _) if ill => REJECTION.to_vec(),
                (_, Some(value)) => {
                    let mut bytes = Vec::new();
                    wire::bulk(&mut bytes, &value);
                    bytes
                }
                (_, None) => b"-ERR abandoned\r\n".to_vec(),
            };
            if stream.write(&bytes).await.is_err() {
                return;
            }
            if self.breaks == Break::Answer2 && stream.write(&bytes).await.is_err() {
                return;
            }
        }
    }

    /// Sends an attempt to some server, on a connection of its own.
    async fn begin_attempt(&self, words: &[Vec<u8>]) -> Option<Stream> {
        let stream = Stream::dial(self.pick()?, SECOND).await.ok()?;
        let words: Vec<&[u8]> = words.iter().map(|word| &**word).collect();
        stream.write(&wire::write_command(&words)).await.ok()?;
        Some(stream)
    }

    async fn trip(&self, words: &[Vec<u8>], wait: Micros) -> Option<Vec<u8>> {
        let work = async {
            let mut stream = self.begin_attempt(words).await?;
            match stream.next(wire::value).await.ok()? {
                Value::Array(Some(items)) => match items.into_iter().next() {
                    Some(Value::Bulk(value)) => value,
                    _ => None,
                },
                _ => None,
            }
        };
        let late = async {
            sleep(wait).await;
            None
        };
        futures_lite::future::or(work, late).await
    }
}

async fn whole_list(discovery: SocketAddr) -> std::io::Result<Json> {
    list_of(discovery, "").await
}

async fn list_of(discovery: SocketAddr, query: &str) -> std::io::Result<Json> {
    let mut stream = Stream::dial(discovery, SECOND).await?;
    let call = format!("GET /catalog/members{query} HTTP/1.1\r\nHost: lab\r\n\r\n");
    stream.write(call.as_bytes()).await?;
    let scan = |bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { return Ok(None) };
        let length =
            head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse::<usize>().ok());
        let length = length.ok_or("no length")?;
        Ok((body.len() >= length).then(|| (body[..length].to_string(), bytes.len())))
    };
    let body = stream.next(scan).await?;
    serde_json::from_str(&body).map_err(std::io::Error::other)
}
