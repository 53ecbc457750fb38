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

use super::config::{Config, Source, INHERITED_SOCKET_VARIABLE};
use super::fleet::Fleet;
use crate::counter::Counter;
use crate::discovery::{self, List};
use crate::dispatcher::Module;
use crate::downstream::{Door, STILL_COMING};
use crate::fleet::endpoint_list;
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
const ACCEPT_BACKLOG: i32 = 1_024;
/// Descriptors for the way to other gateways: a socket, a listener, exchanges both ways.
const MEMBERSHIP_DESCRIPTORS: usize = 16;
/// And for the fleet's jobs: the store's files, letters too long for a datagram.
const LEASE_DESCRIPTORS: usize = 24;
/// How long the other process may take to say that it knows of this one; without its word, what needs one is refused.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the others are given, in the end, to hear what this gateway knows.
const MEMBERSHIP_LEAVE_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between two looks at whether all is answered.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

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
    config.clock_fault.install();
    if config.clock_fault != ClockFault::default() {
        warn!(log, #"trial.clock", "this process's clocks are wrong on purpose"; "ahead_us" => config.clock_fault.ahead,
            "pace_millionths" => config.clock_fault.pace);
    }
    let mut signals =
        Signals::new([Signal::Term, Signal::Hup]).map_err(|error| format!("no signals: {error}"))?;
    let listener = match config.inherited_socket {
        Some(number) => inherited_listener(number)?,
        None => listen(config.listen)?,
    };
    let operator_listener = config.operator.map(listen).transpose()?;
    info!(log, #"gateway.starts", "starts"; "listen" => config.listen.to_string(), "sockets" => config.max_descriptors,
        "memory_mb" => config.memory_mb,
        "known" => config.known.as_ref().map_or(0, |known| known.servers.len()));

    let fleet = config.membership.as_ref().map_or(0, |_| MEMBERSHIP_DESCRIPTORS)
        + config.leases.as_ref().map_or(0, |_| LEASE_DESCRIPTORS);
    let shared = Rc::new(Shared {
        executor: executor.clone(),
        log: log.clone(),
        clock: Clock::start(),
        limits: Limits::new(
            config.max_descriptors.saturating_sub(fleet),
            config.memory_mb,
            operator_listener.as_ref().map_or(0, |_| OPERATORS + 1),
        ),
        metrics: Metrics::new(&config.platform_settings.class_names),
        cordoned: RefCell::default(),
        start_times: RefCell::default(),
        draining: RefCell::default(),
        platform: config.platform_settings,
        limits_lowered: Default::default(),
        endpoints_fresh_until: Cell::new(Micros::MAX),
        ready: Cell::new(false),
        listening: Cell::new(false),
        shutting_down_since: Cell::new(None),
        next_protocol_error: Cell::new(Instant::now()),
        next_ticket: Cell::new(0),
        hot_restart: OnceCell::new(),
        joins_membership: config.membership.is_some(),
        undelivered_updates: RefCell::default(),
        membership: OnceCell::new(),
        leases: OnceCell::new(),
        subsetting: OnceCell::new(),
        outlier_detection: OnceCell::new(),
    });
    let (events, mailbox) = async_channel::bounded(MAX_QUEUED_EVENTS);
    let (discovery_orders, orders) = async_channel::bounded(MAX_QUEUED_ORDERS);
    let known_index =
        config.known.as_ref().filter(|known| !known.servers.is_empty()).map(|known| known.index);
    let fleet = Fleet {
        leases: config.leases,
        trial_leases: config.trial_leases,
        outlier_detection: config.outlier_detection,
        subsetting: config.subsetting.map(|settings| {
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
        endpoint_list: endpoint_list::EndpointListConfig {
            poll_interval: config.settings.list_poll_interval.unwrap_or(0),
            known_index,
            orders: discovery_orders.clone(),
            events: events.clone(),
        },
    };
    if config.membership.is_none() {
        fleet.start_without_membership(&shared);
    } else if let Some(settings) = &config.membership {
        match Membership::start(
            &(shared.clone() as HostHandle),
            &config.name,
            config.settings.gateway_count,
            settings,
        ) {
            Ok(membership) => fleet.start(&shared, membership),
            // The other process of this gateway speaks for it until it ends.
            Err(error) if error.kind() == ErrorKind::AddrInUse && config.inherited_socket.is_some() => {
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
    executor.spawn(List::new(&shared, &events, config.discovery, known_index).run(orders)).detach();
    if config.settings.list_poll_interval.is_none() {
        let _ = discovery_orders.try_send(discovery::Order::Follow(true));
    }
    let module = Module::new(&shared, config.settings, &events, counter, discovery_orders.clone());
    let (operator_orders, operator_mailbox) = async_channel::bounded(operator::MOST_ORDERS);
    executor.spawn(module.run(config.known, mailbox, operator_mailbox)).detach();
    if let Some(listener) = operator_listener {
        executor.spawn(Desk::new(&shared, operator_orders.clone()).run(listener)).detach();
    }
    let (stop_accepting, stopped) = async_channel::bounded(1);
    let door = Door::new(&shared, &events, stopped);
    let shares_listener = config.inherited_socket.is_some();
    if shares_listener {
        let joins =
            Link::join(shared.clone(), std::env::temp_dir(), config.max_descriptors, operator_orders.clone());
        executor.spawn(joins).detach();
    }
    let (gateway_state, listener) = (shared.clone(), Rc::new(listener));
    let accepting_listener = listener.clone();
    let accept_clients = async move {
        // Whoever else listens there serves clients meanwhile.
        let began_at = Instant::now();
        let is_settled = || {
            gateway_state.hot_restart.get().is_some_and(|link| link.settled())
                || began_at.elapsed() > SETTLE_TIMEOUT
        };
        while shares_listener && !(gateway_state.ready.get() && is_settled()) {
            Timer::after(POLL_INTERVAL).await;
        }
        gateway_state.listening.set(true);
        door.run(&accepting_listener, shares_listener).await;
    };
    executor.spawn(accept_clients).detach();

    let mut addresses =
        ReloadableAddresses { discovery: config.discovery, counter: config.counter, fixed: config.fixed };
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => match source.read_in_slices().await {
                Ok(config) => addresses.apply(config, &shared, &events, &discovery_orders).await,
                Err(reason) => {
                    let reason = reason.join("; ");
                    warn!(log, #"config.refused", "the new configuration is not used"; "why" => reason);
                }
            },
            Ok(_) => break,
            Err(error) => warn!(log, #"signal.lost", "a signal was lost"; "why" => error.to_string()),
        }
    }
    end(&shared, stop_accepting, Some(listener).filter(|_| !shares_listener)).await;
    Ok(())
}

fn listen(address: SocketAddr) -> Result<Async<TcpListener>, String> {
    let failed = |error: &dyn Display| format!("can't listen on {address}: {error}");
    let listener = Async::<TcpListener>::bind(address).map_err(|error| failed(&error))?;
    rustix::net::listen(&listener, ACCEPT_BACKLOG).map_err(|error| failed(&error))?;
    Ok(listener)
}

/// The listening socket that this process was started with.
fn inherited_listener(number: RawFd) -> Result<Async<TcpListener>, String> {
    let failed = |reason: &dyn Display| {
        format!(
            "{INHERITED_SOCKET_VARIABLE} names descriptor {number}, which is no listening socket: {reason}"
        )
    };
    // SAFETY: it is only asked about, and may be any descriptor or none.
    let descriptor = unsafe { BorrowedFd::borrow_raw(number) };
    let is_listening = rustix::net::sockopt::socket_acceptconn(descriptor).map_err(|error| failed(&error))?;
    if !is_listening {
        return Err(failed(&"it does not listen"));
    }
    // SAFETY: it is open and listens; this process has opened no listener yet, so that nothing else here owns it, and it
    // is taken once.
    let socket = unsafe { OwnedFd::from_raw_fd(number) };
    Async::new(TcpListener::from(socket)).map_err(|error| failed(&error))
}

/// Whether somebody has connected and is not accepted yet.
fn has_pending_connection(listener: &Async<TcpListener>) -> bool {
    let mut poll_fds = [PollFd::new(listener, PollFlags::IN)];
    event::poll(&mut poll_fds, Some(&Timespec::default())).is_ok() && !poll_fds[0].revents().is_empty()
}

/// What a new configuration may name anew while the gateway runs, and what it may not.
struct ReloadableAddresses {
    discovery: SocketAddr,
    counter: Option<SocketAddr>,
    fixed: Value,
}

impl ReloadableAddresses {
    /// Turns to the discovery and the counter of a new configuration. Calls out at the old counter are waited for.
    async fn apply(
        &mut self,
        new: Config,
        shared: &Rc<Shared>,
        events: &Sender<Event>,
        discovery_orders: &Sender<discovery::Order>,
    ) {
        new.clock_fault.step();
        if let Some((membership, settings)) = shared.membership.get().zip(new.membership.as_ref()) {
            membership.set_keys(&settings.keys);
        }
        if let Some(leases) = shared.leases.get() {
            leases.set_store_faults(new.store_faults);
        }
        if new.counter != self.counter {
            self.counter = new.counter;
            let counter = new.counter.map(|address| Counter::start(shared, events, address));
            drop(events.send(Event::CounterReplaced(counter)).await);
        }
        if new.discovery != self.discovery {
            self.discovery = new.discovery;
            drop(discovery_orders.send(discovery::Order::Move(new.discovery)).await);
        }
        info!(shared.log, #"config.used", "the new configuration is used"; "discovery" => new.discovery.to_string(),
            "counter" => new.counter.map(|counter| counter.to_string()),
            "waits_for_restart" => new.fixed != self.fixed);
    }
}

/// Answers what has been taken and still comes, within the time that the longest client waits: until nobody waits to be accepted at
/// this listener, no transaction is open, and each client's connection has ended, quiet after the last word on it.
async fn end(shared: &Shared, stop_accepting: Sender<()>, listener: Option<Rc<Async<TcpListener>>>) {
    let began_at = Instant::now();
    let open = shared.limits.open.used();
    info!(shared.log, #"gateway.ends", "ends"; "open" => open, "clients" => shared.limits.clients.used());
    shared.shutting_down_since.set(Some(began_at));
    if let Some(link) = shared.hot_restart.get() {
        link.ends();
    }
    if let Some(leases) = shared.leases.get() {
        leases.shut_down();
    }
    // Where another process has this gateway from now on, it has its servers as well.
    if let Some(subsetting) = shared.subsetting.get().filter(|_| shared.hot_restart.get().is_none()) {
        subsetting.shut_down();
    }
    stop_accepting.close();
    let mut is_member = true;
    let max_wait = STILL_COMING + Duration::from_micros(shared.platform.max_client_wait);
    loop {
        Timer::after(POLL_INTERVAL).await;
        let elapsed = began_at.elapsed();
        let limits = &shared.limits;
        let is_quiet = limits.open.used() + limits.clients.used() + limits.turned_away.used() == 0;
        if elapsed >= STILL_COMING && is_member {
            is_member = false;
            if let Some(membership) = shared.membership.get() {
                membership.leave();
            }
        }
        let membership_is_done = shared.membership.get().is_none_or(|membership| membership.is_fully_told())
            || elapsed >= STILL_COMING + MEMBERSHIP_LEAVE_TIMEOUT;
        // Nothing is waited for between this look at who comes and the end of the process.
        let is_quiet =
            is_quiet && !listener.as_ref().is_some_and(|listener| has_pending_connection(listener));
        if elapsed >= max_wait || elapsed >= STILL_COMING && is_quiet && membership_is_done {
            let open = shared.limits.open.used();
            info!(shared.log, #"gateway.ended", "has ended"; "open" => open, "took_ms" => micros(elapsed) / (1000 as Micros));
            return;
        }
    }
}
