//! The trait through which the decision module acts. Its implementations do the I/O and decide nothing.

use crate::event::{Id, Micros};
use crate::rejection::RejectReason;

/// The time bounds of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// How long the attempt may take. The host cuts it to the client's deadline.
    pub time_limit: Micros,
    /// Within what time the server must have begun its reply, if that is less than `time_limit`.
    pub first_byte_limit: Option<Micros>,
    /// After what time a server that pauses in the middle of its reply is given up, so that another attempt can still be
    /// made. `None` if none would be made.
    pub stall_limit: Option<Micros>,
    /// The time by which the whole request must have been sent, however long the host waits for a connection. Later the
    /// attempt must not reach the server. `None` if only `time_limit` bounds it.
    pub send_before: Option<Micros>,
}

impl AttemptLimits {
    /// The time for which the server can count on this gateway's waiting.
    pub fn announced(&self) -> Micros {
        self.first_byte_limit.map_or(self.time_limit, |limit| limit.min(self.time_limit))
    }
}

/// The actions that the decision module can take on behalf of one gateway. They take effect in the order in
/// which they are called.
pub trait Host {
    /// The current time, by the clock that all gateways share.
    fn now(&self) -> Micros;
    /// Forwards a request to a server. A request's attempts are numbered from 0.
    fn forward(&mut self, request: &Id, server: &Id, limits: AttemptLimits);
    /// Cancels an attempt in flight.
    fn cancel(&mut self, request: &Id, attempt: usize);
    /// Gives the final answer "rejected": the request had no effect and may be sent again, preferably after
    /// `retry_after`.
    fn reject(&mut self, request: &Id, retry_after: Micros, reason: RejectReason);
    /// Gives the final answer "failed": whether the request had an effect is unknown.
    fn fail(&mut self, request: &Id, reason: RejectReason);
    /// Sets a timer that fires with this token when `delay` has passed.
    fn set_timer(&mut self, delay: Micros, token: &str);
    /// Sends a health check to a server.
    fn check_health(&mut self, server: &Id);
    /// Closes the idle connections to a server.
    fn close_idle_connections(&mut self, server: &Id);
    /// Adds to a counter that all gateways share; the reply carries the total. A new key is kept for
    /// `lifetime`.
    fn update_counter(&mut self, key: &str, amount: f64, lifetime: Micros);
    /// Opens or ends the watch on the endpoint list.
    fn watch_endpoints(&mut self, on: bool);
    /// Polls the endpoint list once.
    fn poll_endpoints(&mut self);
    /// Sends a message to one other gateway, or to all others.
    fn send_message(&mut self, gateway: Option<u32>, data: &[u8]);
    /// Writes a line to the host's log.
    fn log(&mut self, text: &str);
}
