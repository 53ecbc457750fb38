//! Starts the parts of a gateway, and ends them.

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use fernscale::interface::Micros;
use futures_lite::StreamExt;
use slog::{info, warn, Logger};

use super::config::Config;
use crate::routing::client::Door;
use crate::routing::counter::Counter;
use crate::routing::list::{self, List};
use crate::routing::module::Module;
use crate::routing::{Shared, MOST_EVENTS, MOST_ORDERS};
use crate::transport::clock::{micros, Clock};
use crate::transport::limits::Limits;

/// After SIGTERM new connections keep coming for some tenths of a second; all that come until then are heard.
const STILL_COMING: Duration = Duration::from_millis(700);
/// Pause between two looks at whether all is answered.
const LOOK: Duration = Duration::from_millis(10);

/// Runs until SIGTERM, and then until all that was taken is answered.
pub fn run(config: Config, log: Logger) -> Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    let main = executor.clone();
    async_io::block_on(main.run(gateway(config, log, executor)))
}

async fn gateway(config: Config, log: Logger, executor: Rc<LocalExecutor<'static>>) -> Result<(), String> {
    let mut signals = Signals::new([Signal::Term]).map_err(|error| format!("no signals: {error}"))?;
    let listener = Async::<TcpListener>::bind(config.listen);
    let listener = listener.map_err(|error| format!("can't listen on {}: {error}", config.listen))?;
    info!(log, "starts"; "listen" => config.listen.to_string(), "sockets" => config.sockets,
        "known" => config.known.as_ref().map_or(0, |known| known.servers.len()));

    let shared = Rc::new(Shared {
        executor: executor.clone(),
        log: log.clone(),
        clock: Clock::start(),
        limits: Limits::new(config.sockets),
        outside: config.outside,
        discovery: config.discovery,
        ready: Cell::new(false),
        stopping: Cell::new(false),
    });
    let (events, mailbox) = async_channel::bounded(MOST_EVENTS);
    let counter = config.counter.map(|address| {
        let (calls, mailbox) = async_channel::bounded(MOST_EVENTS);
        executor.spawn(Counter::new(&shared, &events, address).run(mailbox)).detach();
        calls
    });
    let (list, orders) = async_channel::bounded(MOST_ORDERS);
    executor.spawn(List::new(&shared, &events).run(orders)).detach();
    if config.settings.list_on_request.is_none() {
        let _ = list.try_send(list::Order::Follow(true));
    }
    let module = Module::new(&shared, config.settings, &events, counter, list);
    executor.spawn(module.run(config.known, mailbox)).detach();
    let (stay, leave) = async_channel::bounded(1);
    executor.spawn(Door::new(&shared, &events, leave).run(Rc::new(listener))).detach();

    while let Some(signal) = signals.next().await {
        match signal {
            Ok(_) => break,
            Err(error) => warn!(log, "a signal was lost"; "why" => error.to_string()),
        }
    }
    end(&shared, stay).await;
    Ok(())
}

/// Answers what has been taken and still comes, within the time that the longest client waits.
async fn end(shared: &Shared, stay: Sender<()>) {
    let began = Instant::now();
    let open = shared.limits.open.taken();
    info!(shared.log, "ends"; "open" => open, "clients" => shared.limits.clients.taken());
    shared.stopping.set(true);
    stay.close();
    let most = STILL_COMING + Duration::from_micros(shared.outside.longest);
    loop {
        Timer::after(LOOK).await;
        let over = began.elapsed();
        let quiet = shared.limits.open.taken() == 0;
        if over >= most || over >= STILL_COMING && quiet {
            let open = shared.limits.open.taken();
            info!(shared.log, "has ended"; "open" => open, "took" => micros(over) / (1000 as Micros));
            return;
        }
    }
}
