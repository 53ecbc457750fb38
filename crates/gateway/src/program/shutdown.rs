//! The graceful shutdown: hands leases and servers to the others, leaves the membership, and waits until all requests
//! and client connections have ended, within a bound. It never ends a request itself.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::{Async, Timer};
use fernscale_policy::Micros;
use slog::info;

use super::listener::has_pending_connection;
use crate::downstream::SHUTDOWN_ACCEPT_PERIOD;
use crate::shared::Shared;
use crate::transport::clock::micros;

/// How long after leaving the membership its last exchanges may take.
const MEMBERSHIP_LEAVE_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between two looks at whether everything has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Shuts down, within the longest time that a client waits. Connections that wait at `listener` are still served, unless a
/// successor of this process accepts from it as well.
pub(super) async fn shut_down(shared: &Shared, stop_accepting: Sender<()>, listener: Rc<Async<TcpListener>>) {
    let began_at = Instant::now();
    let open = shared.limits.open.used();
    info!(shared.log, #"gateway.ends", "ends"; "open" => open, "clients" => shared.limits.clients.used());
    shared.shutting_down_since.set(Some(began_at));
    hand_over(shared);
    stop_accepting.close();
    let mut is_member = true;
    let max_wait = SHUTDOWN_ACCEPT_PERIOD + Duration::from_micros(shared.platform.max_client_wait);
    loop {
        Timer::after(POLL_INTERVAL).await;
        let elapsed = began_at.elapsed();
        let has_clients = has_clients(shared);
        if elapsed >= SHUTDOWN_ACCEPT_PERIOD && is_member {
            is_member = false;
            if let Some(membership) = shared.membership.get() {
                membership.leave();
            }
        }
        let has_left = shared.membership.get().is_none_or(|membership| membership.has_completed_exchanges())
            || elapsed >= SHUTDOWN_ACCEPT_PERIOD + MEMBERSHIP_LEAVE_TIMEOUT;
        // Danger: a wait between this look at the listener and the end of the process would drop a connection that
        // arrives meanwhile.
        let is_quiet = !has_clients && (shared.has_successor() || !has_pending_connection(&listener));
        if elapsed >= max_wait || elapsed >= SHUTDOWN_ACCEPT_PERIOD && is_quiet && has_left {
            let open = shared.limits.open.used();
            shared.metrics.unserved.write(&shared.log);
            info!(shared.log, #"gateway.ended", "has ended"; "open" => open, "took_ms" => micros(elapsed) / (1000 as Micros));
            return;
        }
    }
}

/// Lets the other processes of this gateway and the other gateways know that this process ends. Its servers go to other
/// gateways only where no other process continues this one.
fn hand_over(shared: &Shared) {
    if let Some(link) = shared.hot_restart.get() {
        link.begin_shutdown();
    }
    if let Some(leases) = shared.leases.get() {
        leases.shut_down();
    }
    if let Some(subsetting) = shared.subsetting.get().filter(|_| shared.hot_restart.get().is_none()) {
        subsetting.shut_down();
    }
}

/// Whether a request or a client connection is open.
fn has_clients(shared: &Shared) -> bool {
    let limits = &shared.limits;
    limits.open.used() + limits.clients.used() + limits.rejected.used() != 0
}
