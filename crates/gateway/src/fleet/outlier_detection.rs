//! Outlier detection by all gateways together. This module passes the results of attempts to the detector, exchanges reports
//! with the other gateways, and passes changes of the ejected servers to the dispatcher. The package `outlier-detection`
//! decides which reports count, how many servers may be ejected and which gateway may send a trial request.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use fernscale_membership::payload::{Channel, ReceivedPayload};
use fernscale_outlier_detection::detector::{
    AttemptResult, EjectionChange, LocalGateway, OutlierDetector, Server,
};
use fernscale_outlier_detection::status::OutlierView;
use fernscale_outlier_detection::Message;
use fernscale_policy::{Endpoint, EndpointState, Id, Micros};
use futures_lite::StreamExt;
use slog::{info, warn};

use super::host::{FleetEvent, HostHandle};
use super::membership::Membership;
use super::subsetting::Subsetting;
use crate::transport::clock::{boottime, real_duration};

/// Shortest sleep between two updates, in microseconds.
const MIN_SLEEP: Micros = 20_000;

/// The section `[signals]` of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Name of this gateway's zone. If it is not set, zones have no effect.
    pub zone: Option<String>,
}

/// The outlier detector of this gateway, and the tasks that drive it.
pub struct OutlierDetection {
    host: HostHandle,
    membership: Rc<Membership>,
    subsetting: Option<Rc<Subsetting>>,
    detector: RefCell<OutlierDetector>,
}

impl OutlierDetection {
    /// Starts the tasks, which run until this gateway leaves the membership. `subsetting` gives the number of gateways that
    /// observe a server; without subsetting, all live gateways do. `events` is the channel to the dispatcher, which receives
    /// `OutlierDetectionDue`.
    pub fn start<E: From<FleetEvent> + 'static>(
        host: &HostHandle,
        membership: &Rc<Membership>,
        subsetting: Option<Rc<Subsetting>>,
        settings: Settings,
        events: Sender<E>,
    ) -> Rc<OutlierDetection> {
        let peer = membership.local();
        let zone = settings.zone.unwrap_or_default();
        info!(host.log(), #"signals.starts", "shares outlier detection with the other gateways"; "zone" => &zone);
        let local = LocalGateway { name: peer.name, instance: peer.instance.0, zone };
        let detector = RefCell::new(OutlierDetector::new(local, rand::random(), boottime()));
        let detection = Rc::new(OutlierDetection {
            host: host.clone(),
            membership: membership.clone(),
            subsetting,
            detector,
        });
        let responder = detection.clone();
        let respond = move |_: &[u8]| postcard::to_stdvec(&responder.view()).ok();
        membership.set_responder(Channel::OutlierDetection, Box::new(respond));
        membership.spawn_until_left(
            detection.clone().receive_messages(membership.subscribe(Channel::OutlierDetection)),
        );
        membership.spawn_until_left(detection.clone().run_timer(events));
        detection
    }

    /// Records the result of an attempt at a server. `class` is the number of the request class.
    pub fn attempt_completed(&self, server: &str, class: usize, result: AttemptResult) {
        self.detector.borrow_mut().attempt_completed(boottime(), server, class, result);
    }

    /// Records that an attempt is forwarded to a server. If the server is ejected and this gateway has a trial permit for it,
    /// the attempt uses up the permit and the function returns true: no further attempt may follow.
    pub fn use_trial_permit(&self, server: &str) -> bool {
        self.detector.borrow_mut().use_trial_permit(self.host.clock().now(), server)
    }

    /// Updates the detector with the endpoint list and the received reports. Returns the servers that are newly ejected and
    /// those that are no longer ejected.
    pub fn update<'l>(&self, endpoints: impl Iterator<Item = &'l Endpoint>) -> Vec<EjectionChange> {
        let zone_name = |zone: u32| self.host.zones().get(zone as usize).cloned().unwrap_or_default();
        let server = |endpoint: &Endpoint| Server {
            name: endpoint.server.to_string(),
            weight: endpoint.weight,
            zone: zone_name(endpoint.zone),
            started: endpoint.listed_start.unwrap_or(0),
        };
        let servers =
            endpoints.filter(|endpoint| endpoint.state == EndpointState::Ready).map(server).collect();
        let now = boottime();
        let shared_now = self.host.clock().now();
        let changes = self.detector.borrow_mut().handle_timeout(
            now,
            shared_now,
            &self.membership.live_instances(),
            servers,
        );
        self.drain_messages();
        changes
    }

    /// Requests updates from the dispatcher, and logs changes of the ejected servers.
    async fn run_timer<E: From<FleetEvent>>(self: Rc<Self>, events: Sender<E>) {
        let mut ejected_before = BTreeSet::new();
        while events.send(FleetEvent::OutlierDetectionDue.into()).await.is_ok() {
            let ejected: BTreeSet<String> = self.detector.borrow().ejected().map(String::from).collect();
            // Restored servers are logged first, so that the log never shows more servers as ejected than actually are.
            let restored = ejected_before.difference(&ejected).map(|server| (server, false));
            for (server, is_ejected) in
                restored.chain(ejected.difference(&ejected_before).map(|server| (server, true)))
            {
                info!(self.host.log(), #"signals.server", "the gateways ejected a server or ended its ejection";
                    "server" => server, "out" => is_ejected);
            }
            ejected_before = ejected;
            let deadline = self.detector.borrow().next_deadline();
            Timer::after(real_duration(deadline.saturating_sub(boottime()).max(MIN_SLEEP))).await;
        }
    }

    /// Handles reports of other gateways.
    async fn receive_messages(self: Rc<Self>, payloads: Receiver<ReceivedPayload>) {
        let mut payloads = std::pin::pin!(payloads);
        while let Some(ReceivedPayload { sender, body, .. }) = payloads.next().await {
            match postcard::from_bytes::<Message>(&body) {
                Ok(message) => {
                    let gateway_count = self.membership.live_peers().len() as f64 + 1.0;
                    let observers = self
                        .subsetting
                        .as_ref()
                        .map_or(gateway_count, |subsetting| subsetting.gateways_per_server());
                    self.detector.borrow_mut().handle_message(boottime(), &sender.name, message, observers);
                }
                Err(_) => {
                    let reason = "cannot decode a message about outlier detection";
                    warn!(self.host.log(), #"signals.unread", "{}", reason; "peer" => sender.name);
                }
            }
            self.drain_messages();
        }
    }

    /// Sends the detector's pending messages.
    fn drain_messages(&self) {
        loop {
            let message = self.detector.borrow_mut().poll_message();
            let Some((to, message)) = message else { return };
            // A message that cannot be sent is dropped, like one lost on the network.
            let _ = self.membership.send_to(
                &to,
                Channel::OutlierDetection,
                postcard::to_stdvec(&message).unwrap_or_default(),
            );
        }
    }

    /// The reply to an operator's query about the observed servers.
    fn view(&self) -> OutlierView {
        self.detector.borrow().status(boottime(), self.host.clock().now())
    }
}

/// The id of the server that an ejection change concerns.
pub fn server_id(change: &EjectionChange) -> Id {
    Id::from(&*change.server)
}
