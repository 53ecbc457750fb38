//! Performs the actions that the engine has queued.

use std::time::{Duration, Instant};

use fernscale_policy::{AttemptLimits, Host, Id, RejectReason};
use slog::{debug, warn};

use super::action_queue::Action;
use super::requests::send_answer;
use super::Dispatcher;
use crate::outcome::AttemptFailure;
use crate::protocol::call::FinalAnswer;
use crate::shared::{CompletedAttempt, Event};
use crate::transport::ending::ConnectionEnd;
use crate::upstream::{self, AttemptBounds, AttemptOrder};

impl Dispatcher {
    /// Performs the queued actions and handles their follow-up events, until none of either is left.
    pub(super) async fn perform_actions(&mut self) {
        loop {
            if let Some(action) = self.actions.pop() {
                self.perform(action).await;
            } else if let Some(event) = self.follow_ups.pop_front() {
                self.handle_event(event);
            } else {
                return;
            }
        }
    }

    async fn perform(&mut self, action: Action) {
        match action {
            Action::Forward { request, server, limits } => self.forward(request, server, limits).await,
            Action::Cancel { request, attempt } => {
                if let Some(mailbox) = self.requests.mailbox(&request, attempt) {
                    drop(mailbox.send(upstream::Order::Cancel { request, attempt }).await);
                }
            }
            Action::Answer { request, answer, reason } => self.answer(&request, answer, reason),
            Action::SetTimer { at, token } => self.timers.set(at, token),
            Action::Upstream { server, order } => self.order_upstream(&server, order).await,
            Action::UpdateCounter(update) => {
                self.follow_ups.extend(self.counter.update(self.actions.now(), update));
            }
            Action::Discovery(order) => {
                if self.discovery.try_send(order).is_err() {
                    self.follow_ups.push_back(Event::EndpointsUnavailable);
                }
            }
        }
    }

    fn answer(&mut self, id: &Id, answer: FinalAnswer, reason: RejectReason) {
        if let Some(reply) = self.requests.take_reply(id) {
            debug!(self.shared.log, #"request.answered", "request answered without a server's reply";
                "id" => &**id, "as" => ?answer,
                "why" => reason.name());
            self.shared.metrics.unserved.count(reason.name());
            send_answer(reply, answer);
        }
        self.requests.remove_if_completed(id);
    }

    /// Sends an order to a server's upstream actor. Only a health check starts the actor; without an actor there are no idle
    /// connections to close.
    async fn order_upstream(&mut self, server: &Id, order: upstream::Order) {
        if !self.servers.is_started(server) && !matches!(order, upstream::Order::CheckHealth) {
            return;
        }
        if let Some(mailbox) = self.servers.mailbox(server) {
            drop(mailbox.send(order).await);
        }
    }

    async fn forward(&mut self, id: Id, server: Id, limits: AttemptLimits) {
        let now = self.shared.clock.now();
        let mailbox = self.servers.mailbox(&server);
        let Some(request) = self.requests.get_mut(&id) else {
            return warn!(self.shared.log, #"trip.not-open", "attempt for a request that is not in flight"; "id" => &*id);
        };
        if let Some(subsetting) = self.shared.subsetting.get() {
            subsetting.attempt_forwarded();
        }
        if self.shared.outlier_detection.get().is_some_and(|detection| detection.use_trial_permit(&server)) {
            self.engine.set_ejected(&server, true);
        }
        let attempt = request.begin_attempt(mailbox.clone());
        let time_left = request.deadline.saturating_sub(now);
        let limit = if limits.time_limit == 0 { time_left } else { limits.time_limit.min(time_left) };
        let created_at = Instant::now();
        let after = |limit| created_at + Duration::from_micros(limit);
        let bounds = AttemptBounds {
            deadline: after(limit),
            first_byte_by: limits.first_byte_limit.map(after),
            stalled_from: limits.stall_limit.map(after),
            send_before: limits.send_before.map(|at| self.shared.clock.instant(at)),
        };
        debug!(self.shared.log, #"attempt.begun", "attempt begun"; "id" => &*id, "attempt" => attempt,
            "server" => &*server, "limit_us" => limit);
        if let Some(mailbox) = mailbox.filter(|_| time_left > 0) {
            let call = request.call.clone();
            let listed_start = self.shared.start_times.borrow().listed(&server);
            let attempt = AttemptOrder { call, attempt, bounds, listed_start };
            if mailbox.send(upstream::Order::Attempt(attempt)).await.is_ok() {
                return;
            }
        }
        let end = Err(AttemptFailure::unsent(ConnectionEnd::NoDescriptor));
        self.follow_ups.push_back(Event::AttemptCompleted(CompletedAttempt {
            request: id,
            attempt,
            server,
            end,
            elapsed: 0,
            read_delay: 0,
        }));
    }
}
