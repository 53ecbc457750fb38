//! The lifecycle of a gateway process: binds the listeners, starts the actors in order, handles signals and shuts down.
//! The behaviour of the actors is defined in their own modules.

use std::cell::{Cell, OnceCell, RefCell};
use std::io::ErrorKind;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use fernscale_policy::Micros;
use slog::{info, warn, Logger};

use super::config::{Config, Source};
use super::fleet::Fleet;
use super::listener::Listeners;
use super::reload::ReloadableAddresses;
use super::shutdown::shut_down;
use super::signals::{Signal, Signals};
use crate::counter::Counter;
use crate::discovery::{self, DiscoveryActor};
use crate::dispatcher::Dispatcher;
use crate::downstream::{Listener, UnwrittenReplies};
use crate::fleet::endpoint_list::EndpointListConfig;
use crate::fleet::host::HostHandle;
use crate::fleet::membership::Membership;
use crate::fleet::subsetting::LocalGateway;
use crate::hot_restart::Link;
use crate::operator::metrics::Metrics;
use crate::operator::{self, OperatorListener};
use crate::shared::{Event, Shared, MAX_QUEUED_EVENTS, MAX_QUEUED_ORDERS};
use crate::transport::clock::{Clock, ClockFault};
use crate::transport::limits::{Limits, MAX_OPERATOR_CONNECTIONS};

pub use super::start_error::StartError;

/// Descriptors reserved for membership: its datagram socket, its listener, and incoming and outgoing exchanges.
const MEMBERSHIP_DESCRIPTORS: usize = 16;
/// Descriptors reserved for leases: the store's files, and connections for messages that exceed a datagram.
const LEASE_DESCRIPTORS: usize = 24;
/// How long this process waits for the other processes of this gateway to acknowledge it before it accepts clients. Until
/// they do, requests that need a share of the gateway's limits are shed.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which the process checks whether it can accept clients.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs a gateway until SIGTERM, then shuts it down gracefully. SIGHUP reloads the configuration.
///
/// # Errors
/// The gateway can't start: for example, an address can't be bound, or the inherited descriptor is not a listening socket.
pub fn run(source: Source, config: Config, log: Logger) -> Result<(), StartError> {
    let executor = Rc::new(LocalExecutor::new());
    let driver = executor.clone();
    async_io::block_on(driver.run(gateway(source, config, log, executor)))
}

async fn gateway(
    source: Source,
    config: Config,
    log: Logger,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<(), StartError> {
    install_clock_fault(config.clock_fault, &log);
    let mut signals = Signals::install().map_err(StartError::Signals)?;
    let listeners = Listeners::bind(&config)?;
    info!(log, #"gateway.starts", "gateway is starting"; "listen" => config.listen.to_string(),
        "sockets" => config.max_descriptors, "memory_mb" => config.memory_mb,
        "known" => config.known_endpoints.as_ref().map_or(0, |known| known.servers.len()));
    let shared = Rc::new(new_shared(&config, executor, log, listeners.operators.is_some()));
    let mut addresses = ReloadableAddresses::of(&config);
    let clients = Rc::new(listeners.clients);
    let mailboxes = start_actors(&shared, config, &clients, listeners.operators)?;
    loop {
        let signal = signals.next().await;
        info!(shared.log, #"signal.taken", "signal received"; "signal" => signal.name());
        if signal == Signal::Terminate {
            break;
        }
        match source.read_in_slices().await {
            Ok(config) => addresses.apply(config, &shared, &mailboxes).await,
            Err(problems) => {
                let problems = problems.join("; ");
                warn!(shared.log, #"config.refused", "the new configuration is invalid and was not applied";
                    "why" => problems);
            }
        }
    }
    shut_down(&shared, mailboxes.stop_accepting, clients).await;
    Ok(())
}

fn install_clock_fault(fault: ClockFault, log: &Logger) {
    fault.install();
    if fault != ClockFault::default() {
        warn!(log, #"trial.clock", "a clock fault is injected into this process"; "ahead_us" => fault.ahead,
            "pace_millionths" => fault.pace);
    }
}

/// The shared state before any actor runs.
fn new_shared(
    config: &Config,
    executor: Rc<LocalExecutor<'static>>,
    log: Logger,
    has_operators: bool,
) -> Shared {
    let membership_descriptors = config.membership.as_ref().map_or(0, |_| MEMBERSHIP_DESCRIPTORS);
    let lease_descriptors = config.leases.as_ref().map_or(0, |_| LEASE_DESCRIPTORS);
    let fleet_descriptors = membership_descriptors + lease_descriptors;
    Shared {
        executor,
        log,
        clock: Clock::start(),
        limits: Limits::new(
            config.max_descriptors.saturating_sub(fleet_descriptors),
            config.memory_mb,
            if has_operators { MAX_OPERATOR_CONNECTIONS + 1 } else { 0 },
        ),
        metrics: Metrics::new(&config.platform_settings.class_names),
        cordoned: RefCell::default(),
        start_times: RefCell::default(),
        draining: RefCell::default(),
        platform: config.platform_settings.clone(),
        limits_lowered: Default::default(),
        endpoints_fresh_until: Cell::new(Micros::MAX),
        ready: Cell::new(false),
        listening: Cell::new(false),
        unwritten_replies: UnwrittenReplies::default(),
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
    }
}

/// The mailboxes through which the signal loop reaches the running actors.
pub(super) struct Mailboxes {
    /// Mailbox of the dispatcher.
    pub events: Sender<Event>,
    /// Mailbox of the discovery actor.
    pub discovery: Sender<discovery::Order>,
    /// Closing this channel stops accepting clients from a shared listener.
    pub stop_accepting: Sender<()>,
}

/// Starts all actors. Their tasks run in the order in which they are started.
fn start_actors(
    shared: &Rc<Shared>,
    config: Config,
    clients: &Rc<Async<TcpListener>>,
    operators: Option<Async<TcpListener>>,
) -> Result<Mailboxes, StartError> {
    let executor = &shared.executor;
    let (events, event_mailbox) = async_channel::bounded(MAX_QUEUED_EVENTS);
    let (discovery_orders, discovery_mailbox) = async_channel::bounded(MAX_QUEUED_ORDERS);
    let known_endpoints = config.known_endpoints.as_ref().filter(|known| !known.servers.is_empty());
    let known_index = known_endpoints.map(|known| known.index);
    let endpoint_list = EndpointListConfig {
        poll_interval: config.settings.list_poll_interval.unwrap_or(0),
        known_index,
        orders: discovery_orders.clone(),
        events: events.clone(),
    };
    start_fleet(shared, &config, endpoint_list)?;
    let counter = config.counter.map(|address| Counter::start(shared, &events, address));
    let discovery = DiscoveryActor::new(shared, &events, config.discovery, known_index);
    executor.spawn(discovery.run(discovery_mailbox)).detach();
    if config.settings.list_poll_interval.is_none() {
        let _ = discovery_orders.try_send(discovery::Order::Watch(true));
    }
    let dispatcher = Dispatcher::new(shared, config.settings, &events, counter, discovery_orders.clone());
    let (operator_orders, operator_mailbox) = async_channel::bounded(operator::MAX_QUEUED_ORDERS);
    executor.spawn(dispatcher.run(config.known_endpoints, event_mailbox, operator_mailbox)).detach();
    if let Some(listener) = operators {
        executor.spawn(OperatorListener::new(shared, operator_orders.clone()).run(listener)).detach();
    }
    let (stop_accepting, stop_requested) = async_channel::bounded(1);
    let client_listener = Listener::new(shared, &events, stop_requested);
    let shares_listener = config.inherited_socket.is_some();
    if shares_listener {
        let join = Link::join(shared.clone(), std::env::temp_dir(), config.max_descriptors, operator_orders);
        executor.spawn(join).detach();
    }
    executor
        .spawn(accept_clients(shared.clone(), client_listener, clients.clone(), shares_listener))
        .detach();
    Ok(Mailboxes { events, discovery: discovery_orders, stop_accepting })
}

/// Starts the fleet subsystems. If another process of this gateway still holds the membership address, they start when that
/// process has released it.
fn start_fleet(
    shared: &Rc<Shared>,
    config: &Config,
    endpoint_list: EndpointListConfig<Event, discovery::Order>,
) -> Result<(), StartError> {
    let gateway_count = config.settings.gateway_count;
    let local_gateway = || LocalGateway {
        name: config.name.clone(),
        number: config.settings.gateway_index,
        gateways: gateway_count,
        slow_start_duration: config.settings.slow_start_duration,
    };
    let fleet = Fleet {
        leases: config.leases.clone(),
        trial_leases: config.trial_leases.clone(),
        outlier_detection: config.outlier_detection.clone(),
        subsetting: config.subsetting.clone().map(|settings| (settings, local_gateway())),
        events: endpoint_list.events.clone(),
        endpoint_list,
    };
    let Some(settings) = &config.membership else {
        fleet.start_without_membership(shared);
        return Ok(());
    };
    let host: HostHandle = shared.clone();
    match Membership::start(&host, &config.name, gateway_count, settings) {
        Ok(membership) => fleet.start(shared, membership),
        Err(error) if error.kind() == ErrorKind::AddrInUse && config.inherited_socket.is_some() => {
            info!(shared.log, #"mesh.waits", "waiting until the other process releases the membership address";
                "listen" => settings.listen.to_string());
            let start = fleet.start_when_address_is_free(
                shared.clone(),
                config.name.clone(),
                gateway_count,
                settings.clone(),
            );
            shared.executor.spawn(start).detach();
        }
        Err(error) => return Err(StartError::Membership { address: settings.listen, error }),
    }
    Ok(())
}

/// Accepts clients. On a shared listener this process first waits until it has endpoints and its share of the gateway's
/// limits is settled; meanwhile the other process serves the clients.
async fn accept_clients(
    shared: Rc<Shared>,
    client_listener: Listener,
    socket: Rc<Async<TcpListener>>,
    shares_listener: bool,
) {
    let started_at = Instant::now();
    let is_settled = || {
        shared.hot_restart.get().is_some_and(|link| link.is_settled())
            || started_at.elapsed() > SETTLE_TIMEOUT
    };
    while shares_listener && !(shared.ready.get() && is_settled()) {
        Timer::after(POLL_INTERVAL).await;
    }
    shared.listening.set(true);
    client_listener.run(&socket).await;
}
