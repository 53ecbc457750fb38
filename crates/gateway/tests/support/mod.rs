//! The shared state of a gateway, for tests that run a single actor.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use async_executor::LocalExecutor;
use fernscale_gateway::operator::metrics::Metrics;
use fernscale_gateway::shared::Shared;
use fernscale_gateway::transport::clock::Clock;
use fernscale_gateway::transport::limits::Limits;
use fernscale_policy::settings::PlatformSettings;

/// The state of a gateway that is ready, is not part of a fleet and discards its log.
pub fn shared(platform: PlatformSettings) -> Shared {
    Shared {
        executor: Rc::new(LocalExecutor::new()),
        log: slog::Logger::root(slog::Discard, slog::o!()),
        clock: Clock::start(),
        limits: Limits::new(1024, 192, 0),
        metrics: Metrics::new(&platform.class_names),
        platform,
        cordoned: RefCell::default(),
        start_times: RefCell::default(),
        draining: RefCell::default(),
        limits_lowered: Default::default(),
        endpoints_fresh_until: Cell::new(u64::MAX),
        ready: Cell::new(true),
        listening: Cell::new(true),
        unwritten_replies: Default::default(),
        shutting_down_since: Cell::new(None),
        next_protocol_error: Cell::new(Instant::now()),
        next_ticket: Cell::new(0),
        hot_restart: Default::default(),
        joins_membership: false,
        undelivered_updates: Default::default(),
        membership: Default::default(),
        leases: Default::default(),
        subsetting: Default::default(),
        outlier_detection: Default::default(),
    }
}
