//! Starts the parts of a gateway, and ends them.

use std::cell::{Cell, OnceCell, RefCell};
use std::fmt::Display;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{BorrowedFd, FromRawFd, OwnedFd, RawFd};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use fernscale_policy::Micros;
use futures_lite::StreamExt;
use rustix::event::{self, PollFd, PollFlags, Timespec};
use serde_json::Value;
use slog::{info, warn, Logger};

use super::config::{Config, Source, PASSED};
use super::fleet::Fleet;
use crate::counter::Counter;
use crate::discovery::{self, List};
use crate::dispatcher::Module;
use crate::downstream::{Door, STILL_COMING};
use crate::fleet::endpoint_list as fleet_list;
use crate::fleet::host::HostHandle;
use crate::fleet::membership::Membership;
use crate::fleet::subsetting;
use crate::hot_restart::Link;
use crate::operator::metrics::Metrics;
use crate::operator::{self, Desk};
use crate::shared::{Event, Shared, MAX_QUEUED_EVENTS, MAX_QUEUED_ORDERS};
use crate::transport::clock::{micros, Clock, ClockFault};
use crate::transport::limits::{Limits, OPERATORS};

/// Connections that may wait to be accepted. Beyond it the system drops what a client sends to connect, which it
/// repeats a second later: where hundreds come at once the others among them would lose that time.
const AWAITING: i32 = 1_024;
/// Descriptors for the way to other gateways: a socket, a listener, exchanges both ways.
const MESH: usize = 16;
/// And for the fleet's jobs: the store's files, letters too long for a datagram.
const OWNERS: usize = 24;
/// How long the other process may take to say that it knows of this one; without its word, what needs one is refused.
const SETTLED: Duration = Duration::from_secs(3);
/// How long the others are given, in the end, to hear what this gateway knows.
const HEARD: Duration = Duration::from_millis(300);
/// Pause between two looks at whether all is answered.
const LOOK: Duration = Duration::from_millis(10);

/// Runs until SIGTERM, and then until all that was taken is answered. SIGHUP: reads the configuration anew.
pub fn run(source: Source, config: Config, log: Logger) -> Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    let main = executor.clone();
    async_io::block_on(main.run(gateway(source, config, log, executor)))
}

async fn gateway(
    source: Source,
    config: Config,
    log: Logger,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<(), String> {
    config.wrong.install();
    if config.wrong != ClockFault::default() {
        warn!(log, #"trial.clock", "this process's clocks are wrong on purpose"; "ahead_us" => config.wrong.ahead,
            "pace_millionths" => config.wrong.pace);
    }
    let mut signals =
        Signals::new([Signal::Term, Signal::Hup]).map_err(|error| format!("no signals: {error}"))?;
    let listener = match config.passed {
        Some(number) => passed(number)?,
        None => listen(config.listen)?,
    };
    let operators = config.operator.map(listen).transpose()?;
    info!(log, #"gateway.starts", "starts"; "listen" => config.listen.to_string(), "sockets" => config.sockets,
        "memory_mb" => config.memory_mb,
        "known" => config.known.as_ref().map_or(0, |known| known.servers.len()));

    let fleet = config.mesh.as_ref().map_or(0, |_| MESH) + config.owner.as_ref().map_or(0, |_| OWNERS);
    let shared = Rc::new(Shared {
        executor: executor.clone(),
        log: log.clone(),
        clock: Clock::start(),
        limits: Limits::new(
            config.sockets.saturating_sub(fleet),
            config.memory_mb,
            operators.as_ref().map_or(0, |_| OPERATORS + 1),
        ),
        metrics: Metrics::new(&config.outside.class_names),
        cordoned: RefCell::default(),
        start_times: RefCell::default(),
        draining: RefCell::default(),
        platform: config.outside,
        limits_lowered: Default::default(),
        endpoints_fresh_until: Cell::new(Micros::MAX),
        ready: Cell::new(false),
        listening: Cell::new(false),
        shutting_down_since: Cell::new(None),
        next_protocol_error: Cell::new(Instant::now()),
        next_ticket: Cell::new(0),
        hot_restart: OnceCell::new(),
        joins_membership: config.mesh.is_some(),
        undelivered_updates: RefCell::default(),
        membership: OnceCell::new(),
        leases: OnceCell::new(),
        subsetting: OnceCell::new(),
        outlier_detection: OnceCell::new(),
    });
    let (events, mailbox) = async_channel::bounded(MAX_QUEUED_EVENTS);
    let (list, orders) = async_channel::bounded(MAX_QUEUED_ORDERS);
    let index = config.known.as_ref().filter(|known| !known.servers.is_empty()).map(|known| known.index);
    let fleet = Fleet {
        leases: config.owner,
        trial_leases: config.trial,
        outlier_detection: config.signals,
        subsetting: config.subsets.map(|settings| {
            let (number, gateways) = (config.settings.gateway_index, config.settings.gateway_count);
            let me = subsetting::LocalGateway {
                name: config.name.clone(),
                number,
                gateways,
                slow_start_duration: config.settings.slow_start_duration,
            };
            (settings, me)
        }),
        events: events.clone(),
        endpoint_list: fleet_list::EndpointListConfig {
            poll_interval: config.settings.list_poll_interval.unwrap_or(0),
            known_index: index,
            orders: list.clone(),
            events: events.clone(),
        },
    };
    if config.mesh.is_none() {
        fleet.start_without_membership(&shared);
    } else if let Some(settings) = &config.mesh {
        match Membership::start(
            &(shared.clone() as HostHandle),
            &config.name,
            config.settings.gateway_count,
            settings,
        ) {
            Ok(mesh) => fleet.start(&shared, mesh),
            // The other process of this gateway speaks for it until it ends.
            Err(error) if error.kind() == ErrorKind::AddrInUse && config.passed.is_some() => {
                info!(log, #"mesh.waits", "another process of this gateway speaks with the others";
                    "listen" => settings.listen.to_string());
                let later = fleet.start_when_address_is_free(
                    shared.clone(),
                    config.name.clone(),
                    config.settings.gateway_count,
                    settings.clone(),
                );
                executor.spawn(later).detach();
            }
            Err(error) => return Err(format!("can't speak with gateways on {}: {error}", settings.listen)),
        }
    }
    let counter = config.counter.map(|address| Counter::start(&shared, &events, address));
    executor.spawn(List::new(&shared, &events, config.discovery, index).run(orders)).detach();
    if config.settings.list_poll_interval.is_none() {
        let _ = list.try_send(discovery::Order::Follow(true));
    }
    let module = Module::new(&shared, config.settings, &events, counter, list.clone());
    let (order, ordered) = async_channel::bounded(operator::MOST_ORDERS);
    executor.spawn(module.run(config.known, mailbox, ordered)).detach();
    if let Some(listener) = operators {
        executor.spawn(Desk::new(&shared, order.clone()).run(listener)).detach();
    }
    let (stay, leave) = async_channel::bounded(1);
    let door = Door::new(&shared, &events, leave);
    let shares = config.passed.is_some();
    if shares {
        let joins = Link::join(shared.clone(), std::env::temp_dir(), config.sockets, order.clone());
        executor.spawn(joins).detach();
    }
    let (waits, listener) = (shared.clone(), Rc::new(listener));
    let accepts = listener.clone();
    let opens = async move {
        // Whoever else listens there serves clients meanwhile.
        let began = Instant::now();
        let settled =
            || waits.hot_restart.get().is_some_and(|link| link.settled()) || began.elapsed() > SETTLED;
        while shares && !(waits.ready.get() && settled()) {
            Timer::after(LOOK).await;
        }
        waits.listening.set(true);
        door.run(&accepts, shares).await;
    };
    executor.spawn(opens).detach();

    let mut others = Others { discovery: config.discovery, counter: config.counter, fixed: config.fixed };
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => match source.read_in_slices().await {
                Ok(config) => others.turn_to(config, &shared, &events, &list).await,
                Err(why) => {
                    let why = why.join("; ");
                    warn!(log, #"config.refused", "the new configuration is not used"; "why" => why);
                }
            },
            Ok(_) => break,
            Err(error) => warn!(log, #"signal.lost", "a signal was lost"; "why" => error.to_string()),
        }
    }
    end(&shared, stay, Some(listener).filter(|_| !shares)).await;
    Ok(())
}

fn listen(address: SocketAddr) -> Result<Async<TcpListener>, String> {
    let failed = |error: &dyn Display| format!("can't listen on {address}: {error}");
    let listener = Async::<TcpListener>::bind(address).map_err(|error| failed(&error))?;
    rustix::net::listen(&listener, AWAITING).map_err(|error| failed(&error))?;
    Ok(listener)
}

/// The listening socket that this process was started with.
fn passed(number: RawFd) -> Result<Async<TcpListener>, String> {
    let failed = |why: &dyn Display| {
        format!("{PASSED} names descriptor {number}, which is no listening socket: {why}")
    };
    // SAFETY: it is only asked about, and may be any descriptor or none.
    let asked = unsafe { BorrowedFd::borrow_raw(number) };
    let listens = rustix::net::sockopt::socket_acceptconn(asked).map_err(|error| failed(&error))?;
    if !listens {
        return Err(failed(&"it does not listen"));
    }
    // SAFETY: it is open and listens; this process has opened no listener yet, so that nothing else here owns it, and it
    // is taken once.
    let socket = unsafe { OwnedFd::from_raw_fd(number) };
    Async::new(TcpListener::from(socket)).map_err(|error| failed(&error))
}

/// Whether somebody has connected and is not accepted yet.
fn comes(listener: &Async<TcpListener>) -> bool {
    let mut looked = [PollFd::new(listener, PollFlags::IN)];
    event::poll(&mut looked, Some(&Timespec::default())).is_ok() && !looked[0].revents().is_empty()
}

/// What a new configuration may name anew while the gateway runs, and what it may not.
struct Others {
    discovery: SocketAddr,
    counter: Option<SocketAddr>,
    fixed: Value,
}

impl Others {
    /// Turns to the discovery and the counter of a new configuration. Calls out at the old counter are waited for.
    async fn turn_to(
        &mut self,
        new: Config,
        shared: &Rc<Shared>,
        events: &Sender<Event>,
        list: &Sender<discovery::Order>,
    ) {
        new.wrong.step();
        if let Some((mesh, settings)) = shared.membership.get().zip(new.mesh.as_ref()) {
            mesh.set_keys(&settings.keys);
        }
        if let Some(owners) = shared.leases.get() {
            owners.set_store_faults(new.folder_trial);
        }
        if new.counter != self.counter {
            self.counter = new.counter;
            let counter = new.counter.map(|address| Counter::start(shared, events, address));
            drop(events.send(Event::CounterReplaced(counter)).await);
        }
        if new.discovery != self.discovery {
            self.discovery = new.discovery;
            drop(list.send(discovery::Order::Move(new.discovery)).await);
        }
        info!(shared.log, #"config.used", "the new configuration is used"; "discovery" => new.discovery.to_string(),
            "counter" => new.counter.map(|counter| counter.to_string()),
            "waits_for_restart" => new.fixed != self.fixed);
    }
}

/// Answers what has been taken and still comes, within the time that the longest client waits: until nobody waits to be accepted at
/// this listener, no transaction is open, and each client's connection has ended, quiet after the last word on it.
async fn end(shared: &Shared, stay: Sender<()>, listener: Option<Rc<Async<TcpListener>>>) {
    let began = Instant::now();
    let open = shared.limits.open.used();
    info!(shared.log, #"gateway.ends", "ends"; "open" => open, "clients" => shared.limits.clients.used());
    shared.shutting_down_since.set(Some(began));
    if let Some(link) = shared.hot_restart.get() {
        link.ends();
    }
    if let Some(owners) = shared.leases.get() {
        owners.shut_down();
    }
    // Where another process has this gateway from now on, it has its servers as well.
    if let Some(subsets) = shared.subsetting.get().filter(|_| shared.hot_restart.get().is_none()) {
        subsets.shut_down();
    }
    stay.close();
    let mut stays_in_mesh = true;
    let most = STILL_COMING + Duration::from_micros(shared.platform.max_client_wait);
    loop {
        Timer::after(LOOK).await;
        let over = began.elapsed();
        let limits = &shared.limits;
        let quiet = limits.open.used() + limits.clients.used() + limits.turned_away.used() == 0;
        if over >= STILL_COMING && stays_in_mesh {
            stays_in_mesh = false;
            if let Some(mesh) = shared.membership.get() {
                mesh.leave();
            }
        }
        let said =
            shared.membership.get().is_none_or(|mesh| mesh.is_fully_told()) || over >= STILL_COMING + HEARD;
        // Nothing is waited for between this look at who comes and the end of the process.
        let quiet = quiet && !listener.as_ref().is_some_and(|listener| comes(listener));
        if over >= most || over >= STILL_COMING && quiet && said {
            let open = shared.limits.open.used();
            info!(shared.log, #"gateway.ended", "has ended"; "open" => open, "took_ms" => micros(over) / (1000 as Micros));
            return;
        }
    }
}
