//! Handles events: updates the dispatcher's own state and notifies the engine.

use std::time::Instant;

use fernscale_policy::{AttemptCompleted, Host, Id, LoadReport, Micros, Request};
use slog::debug;

use super::action_queue::Action;
use super::requests::{send_answer, send_final_reply, RequestInFlight};
use super::Dispatcher;
use crate::fleet::outlier_detection;
use crate::fleet::subsetting::SubsetChange;
use crate::outcome;
use crate::protocol::call::FinalAnswer;
use crate::protocol::catalog::EndpointUpdate;
use crate::protocol::reply::ServerReply;
use crate::rejection::EarlyRejection;
use crate::shared::{CompletedAttempt, Event, FinalReply, ReceivedRequest, ResponseStream};
use crate::upstream;

impl Dispatcher {
    pub(super) fn handle_event(&mut self, event: Event) {
        self.update_clock();
        match event {
            Event::RequestReceived(received) => self.request_received(received),
            Event::ClientDisconnected(id, ticket) => self.client_disconnected(&id, ticket),
            Event::ResponseStarted { request, attempt, response } => {
                self.response_started(&request, attempt, response);
            }
            Event::AttemptCompleted(completed) => self.attempt_completed(completed),
            Event::HealthCheckCompleted { server, end } => {
                let outcome = outcome::health_check_outcome(&end);
                self.engine.health_check_completed(&server, outcome, end.unwrap_or_default());
            }
            Event::CounterReplied { key, end, elapsed } => {
                let end = outcome::counter_call_end(&end);
                let end = self.counter.completed(self.actions.now(), &key, end, elapsed);
                self.engine.counter_replied(&key, end.outcome, end.total, elapsed);
            }
            Event::GossipTotalKnown { key, end } => {
                let end = outcome::counter_call_end(&end);
                self.engine.counter_replied(&key, end.outcome, end.total, 0);
            }
            Event::CounterReplaced(counter) => self.counter.replace(counter),
            Event::EndpointsUpdated(update) => {
                self.apply_update(update);
                self.update_readiness();
            }
            Event::EndpointsDraining(servers) => self.mark_draining(&servers),
            Event::SubsettingDue => self.update_subset(),
            Event::OutlierDetectionDue => self.update_ejections(),
            Event::EndpointsLate => self.update_readiness(),
            Event::EndpointsUnavailable => {
                self.update_readiness();
                self.engine.endpoints_unavailable();
            }
        }
    }

    fn request_received(&mut self, received: ReceivedRequest) {
        let ReceivedRequest { call, reply, received_at } = received;
        if self.requests.contains(&call.request.id) {
            let unserved = &self.shared.metrics.unserved;
            EarlyRejection::IdInUse.record(&self.shared.log, unserved, Some(&call.request.id));
            return send_answer(reply, FinalAnswer::Malformed("this id is in use"));
        }
        let mut request = call.request.clone();
        let waited = elapsed_since(received_at);
        request.time_left = request.time_left.saturating_sub(waited);
        let deadline = self.actions.now() + request.time_left;
        debug!(self.shared.log, #"request.accepted", "request accepted"; "id" => &*request.id,
            "tenant" => &*request.tenant, "class" => request.class, "left_us" => request.time_left);
        self.requests.insert(request.id.clone(), RequestInFlight::new(call, reply, deadline));
        self.exchange_seen_requests(&request);
        self.engine.request_received(request);
    }

    /// Tells the other processes of this gateway of a request that must not run twice, and the engine of theirs.
    fn exchange_seen_requests(&mut self, request: &Request) {
        let Some(link) = self.shared.hot_restart.get() else { return };
        let Some(fingerprint) = self.engine.fingerprint_to_share(request) else { return };
        for request in link.announce_request(fingerprint) {
            self.engine.request_seen_elsewhere(request);
        }
    }

    fn client_disconnected(&mut self, id: &Id, ticket: u64) {
        if self.requests.take_reply_with_ticket(id, ticket).is_none() {
            return;
        }
        debug!(self.shared.log, #"request.cancelled", "client disconnected before the answer"; "id" => &**id);
        self.engine.client_disconnected(id);
        self.requests.remove_if_completed(id);
    }

    fn response_started(&mut self, id: &Id, attempt: usize, stream: ResponseStream) {
        let Some(reply) = self.requests.take_reply(id) else { return };
        debug!(self.shared.log, #"request.answered", "request served, value streamed"; "id" => &**id, "as" => "served");
        send_final_reply(reply, FinalReply::Streamed(stream));
        self.engine.response_started(id, attempt);
    }

    fn attempt_completed(&mut self, completed: CompletedAttempt) {
        let CompletedAttempt { request: id, attempt, server, end, elapsed, read_delay } = completed;
        let outcome = outcome::attempt_outcome(&end);
        debug!(self.shared.log, #"attempt.ended", "attempt ended"; "id" => &*id, "attempt" => attempt,
            "server" => &*server, "outcome" => ?outcome, "how" => ?end.as_ref().err(), "took_us" => elapsed,
            "read_late_us" => read_delay);
        self.shared.metrics.unserved.observe_read_delay(read_delay);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.end_attempt();
        let class = request.call.request.class;
        let observed = outcome::observed_result(elapsed, read_delay, &end);
        let (units, load) = match end {
            Ok((reply, load)) => (self.deliver(&id, reply), load),
            Err(_) => (None, LoadReport::default()),
        };
        if let (Some(detection), Some(observed)) = (self.shared.outlier_detection.get(), observed) {
            detection.attempt_completed(&server, class, observed);
        }
        let is_final = self.requests.is_answered(&id);
        self.engine.attempt_completed(AttemptCompleted {
            request: id.clone(),
            attempt,
            server,
            outcome,
            elapsed,
            read_delay,
            is_final,
            units,
            load,
        });
        self.requests.remove_if_completed(&id);
    }

    /// Answers a request with a server's reply unless the request has been answered. Returns the units that the server
    /// reported.
    fn deliver(&mut self, id: &Id, reply: ServerReply) -> Option<f64> {
        match reply {
            ServerReply::Completed { value, units } => {
                if let Some(handle) = self.requests.take_reply(id) {
                    debug!(self.shared.log, #"request.answered", "request served"; "id" => &**id, "as" => "served");
                    send_answer(handle, FinalAnswer::Completed(value));
                }
                units
            }
            ServerReply::Streamed { units } => units,
            ServerReply::Failed | ServerReply::Overloaded => None,
        }
    }

    pub(super) fn apply_update(&mut self, update: EndpointUpdate) {
        self.servers.apply(update, &self.actions);
        self.report_changes();
    }

    /// Notifies the engine of the next pending changes of the endpoint list.
    pub(super) fn report_changes(&mut self) {
        let changes = self.servers.take_changes();
        self.engine.endpoints_updated(false, &changes);
    }

    /// Marks servers as draining that a rejected discovery response names as draining. They get no new attempts until a newer
    /// list has them in service.
    fn mark_draining(&mut self, servers: &[Id]) {
        let index = self.shared.draining.borrow().index();
        // If all of them drain already, the engine is not notified, so that its backoff before the next poll keeps growing.
        if let Some(update) = self.servers.draining_update(servers, index) {
            self.apply_update(update);
        }
    }

    /// Passes this gateway's new subset of the servers to the engine, if subsetting is configured.
    fn update_subset(&mut self) {
        let Some(subsetting) = self.shared.subsetting.get() else { return };
        let candidates = self.servers.iter().map(|(id, endpoint)| (endpoint, self.engine.is_avoided(id)));
        let SubsetChange { subset, servers_to_connect, removed_servers } = subsetting.update(candidates);
        if subset.is_some() {
            self.engine.set_subset(subset);
        }
        for server in servers_to_connect {
            self.actions.push(Action::Upstream { server, order: upstream::Order::CheckHealth });
        }
        for server in removed_servers {
            self.actions.push(Action::Upstream { server, order: upstream::Order::CloseIdle });
        }
    }

    /// Passes the ejections that the gateways have agreed on to the engine, if outlier detection is configured.
    fn update_ejections(&mut self) {
        let Some(detection) = self.shared.outlier_detection.get() else { return };
        for change in detection.update(self.servers.iter().map(|(_, endpoint)| endpoint)) {
            self.engine.set_ejected(&outlier_detection::server_id(&change), change.ejected);
        }
    }

    /// Called when discovery has answered, has failed or is late. From the first such event on the gateway is ready if a server
    /// is ready, also one that is known from the configuration only.
    fn update_readiness(&self) {
        self.shared.ready.set(self.servers.has_ready());
    }
}

fn elapsed_since(start: Instant) -> Micros {
    start.elapsed().as_micros() as Micros
}
