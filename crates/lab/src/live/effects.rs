//! Where effects of the fleet's jobs are taken in: lines of JSON with a job, a term, a run and a number. It keeps the highest
//! term and run of each job and refuses less, saying so; without its fence it takes everything, which a judge must notice.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use serde::Deserialize;
use serde_json::json;

use super::listener::Listener;
use super::stream::Stream;
use super::World;
use crate::history::Event;
use crate::wire::Scanned;

const LONGEST: usize = 4_096;

#[derive(Deserialize)]
struct Line {
    job: String,
    term: u64,
    run: u64,
    number: u64,
}

pub struct Host {
    world: Rc<World>,
    fenced: bool,
    highest: RefCell<BTreeMap<String, (u64, u64)>>,
    pub taken: Cell<u64>,
    pub refused: Cell<u64>,
    door: RefCell<Option<Rc<Listener>>>,
}

impl Host {
    pub fn start(world: &Rc<World>, fenced: bool) -> io::Result<Rc<Host>> {
        let host = Rc::new(Host {
            world: world.clone(),
            fenced,
            highest: RefCell::default(),
            taken: Cell::new(0),
            refused: Cell::new(0),
            door: RefCell::default(),
        });
        let own = host.clone();
        let serve = move |stream| own.clone().serve(stream);
        let door = Listener::open(world, SocketAddr::new(world.host(), 0), usize::MAX, serve)?;
        host.door.replace(Some(door));
        Ok(host)
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.door.borrow().as_ref().map(|door| door.address())
    }

    async fn serve(self: Rc<Self>, mut stream: Stream) {
        while let Ok(Line { job, term, run, number }) = stream.next(line).await {
            let highest = self.highest.borrow().get(&job).copied().unwrap_or_default();
            let taken = !self.fenced || (term, run) >= highest;
            let answer = if taken {
                self.highest.borrow_mut().insert(job.clone(), highest.max((term, run)));
                self.taken.set(self.taken.get() + 1);
                json!({ "taken": number })
            } else {
                self.refused.set(self.refused.get() + 1);
                json!({ "term": highest.0, "run": highest.1 })
            };
            self.world.happens(Event::Effect { job, term, run, number, taken });
            if stream.write(format!("{answer}\n").as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

fn line(bytes: &[u8]) -> Scanned<Line> {
    match bytes.iter().position(|byte| *byte == b'\n') {
        Some(end) => match serde_json::from_slice(&bytes[..end]) {
            Ok(line) => Ok(Some((line, end + 1))),
            Err(_) => Err("no effect that is known here"),
        },
        None if bytes.len() > LONGEST => Err("a line without an end"),
        None => Ok(None),
    }
}
