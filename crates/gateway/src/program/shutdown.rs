//! The graceful shutdown: hands over leases and servers to other gateways, leaves the membership, and waits for all
//! requests and client connections to end, up to a maximum time, and beyond that for the replies that are being written. It never
//! aborts a request itself.

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

/// Time allowed for the last membership exchanges after leaving.
const MEMBERSHIP_LEAVE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a client may pause in reading a reply and still be waited for, once every request has its final answer.
const MAX_CLIENT_PAUSE: Duration = Duration::from_secs(2);
/// Interval at which the shutdown checks whether everything has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Shuts down within the longest time that a client waits, or later if a reply that began within that time still makes progress:
/// a value that is being streamed has no deadline. Connections that wait to be accepted from `listener` are still served, unless
/// a successor of this process also accepts from it.
pub(super) async fn shut_down(shared: &Shared, stop_accepting: Sender<()>, listener: Rc<Async<TcpListener>>) {
    let started_at = Instant::now();
    let open = shared.limits.open.used();
    info!(shared.log, #"gateway.ends", "gateway is shutting down"; "open" => open,
        "clients" => shared.limits.clients.used());
    shared.shutting_down_since.set(Some(started_at));
    hand_over(shared);
    stop_accepting.close();
    let mut is_member = true;
    let max_wait = SHUTDOWN_ACCEPT_PERIOD + Duration::from_micros(shared.platform.max_client_wait);
    loop {
        Timer::after(POLL_INTERVAL).await;
        let elapsed = started_at.elapsed();
        let has_clients = has_clients(shared);
        if elapsed >= SHUTDOWN_ACCEPT_PERIOD && is_member {
            is_member = false;
            if let Some(membership) = shared.membership.get() {
                membership.leave();
            }
        }
        let has_left = shared.membership.get().is_none_or(|membership| membership.has_completed_exchanges())
            || elapsed >= SHUTDOWN_ACCEPT_PERIOD + MEMBERSHIP_LEAVE_TIMEOUT;
        // Danger: any wait between this check of the listener and the end of the process would drop a connection that
        // arrives in between.
        let is_quiet = !has_clients && (shared.has_successor() || !has_pending_connection(&listener));
        let is_overdue = elapsed >= max_wait && !shared.unwritten_replies.are_progressing(MAX_CLIENT_PAUSE);
        if is_overdue || elapsed >= SHUTDOWN_ACCEPT_PERIOD && is_quiet && has_left {
            let open = shared.limits.open.used();
            shared.metrics.unserved.write(&shared.log);
            info!(shared.log, #"gateway.ended", "gateway has shut down"; "open" => open,
                "took_ms" => micros(elapsed) / (1000 as Micros));
            return;
        }
    }
}

/// Announces the shutdown to the other processes of this gateway and to the other gateways. The servers of this gateway go
/// to other gateways only if no other process of this gateway continues its work.
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
