//! The trait through which the decision module acts; implementations do the I/O and decide nothing.

use crate::event::{Id, Micros};
use crate::rejection::RejectReason;

/// What the decision module can do, on behalf of one gateway. Its calls take effect in the order in which they are made.
pub trait Host {
    /// The time by the clock that all gateways share.
    fn now(&self) -> Micros;
    /// Forwards a request to a server. Attempts count from 0; the time limit is cut to the client's deadline.
    fn forward(&mut self, request: &Id, server: &Id, time_limit: Micros);
    /// Cancels an attempt in flight.
    fn cancel(&mut self, request: &Id, attempt: usize);
    /// Final answer: rejected without any effect; it may be sent again, best after `retry_after`.
    fn reject(&mut self, request: &Id, retry_after: Micros, reason: RejectReason);
    /// Final answer: failed, and whether it had an effect is not known.
    fn fail(&mut self, request: &Id, reason: RejectReason);
    /// Has the timer of this token fire, not before `delay` has passed.
    fn set_timer(&mut self, delay: Micros, token: &str);
    /// Sends a health check to a server.
    fn check_health(&mut self, server: &Id);
    /// Closes the idle connections to a server.
    fn close_idle_connections(&mut self, server: &Id);
    /// Adds to a counter that all gateways share; the reply tells the total. A new counter is kept for `lifetime`.
    fn update_counter(&mut self, key: &str, amount: f64, lifetime: Micros);
    /// Opens the watch on the endpoint list, or ends it.
    fn watch_endpoints(&mut self, on: bool);
    /// Polls the endpoint list once.
    fn poll_endpoints(&mut self);
    /// Sends some bytes to one other gateway, or to all of them.
    fn send_message(&mut self, gateway: Option<u32>, data: &[u8]);
    /// Writes a line to the host's log.
    fn log(&mut self, text: &str);
}
