//! Outlier detection shared by the gateways: results of attempts go in, messages to and from other gateways are carried,
//! and changes of ejected servers come out for the dispatcher. Which reports count, how many servers may be ejected and who
//! may send a trial request, the package `outlier-detection` decides.

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
    /// Name of this gateway's zone; without one zones make no difference.
    pub zone: Option<String>,
}

/// The detector of this gateway, with the tasks that serve it.
pub struct OutlierDetection {
    host: HostHandle,
    membership: Rc<Membership>,
    subsetting: Option<Rc<Subsetting>>,
    core: RefCell<OutlierDetector>,
}

impl OutlierDetection {
    /// Starts the tasks, which run until this gateway leaves the membership. `subsetting` says how many gateways observe a
    /// server; without it all live ones do. `events` is the dispatcher's mailbox, which gets `OutlierDetectionDue`.
    pub fn start<E: From<FleetEvent> + 'static>(
        host: &HostHandle,
        membership: &Rc<Membership>,
        subsetting: Option<Rc<Subsetting>>,
        settings: Settings,
        events: Sender<E>,
    ) -> Rc<OutlierDetection> {
        let peer = membership.local();
        let zone = settings.zone.unwrap_or_default();
        info!(host.log(), #"signals.starts", "tells other gateways what servers are like, and goes by what they tell"; "zone" => &zone);
        let local = LocalGateway { name: peer.name, instance: peer.instance.0, zone };
        let core = RefCell::new(OutlierDetector::new(local, rand::random(), boottime()));
        let detection = Rc::new(OutlierDetection {
            host: host.clone(),
            membership: membership.clone(),
            subsetting,
            core,
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

    /// Records the result of an attempt of a request class at a server.
    pub fn attempt_completed(&self, server: &str, class: usize, result: AttemptResult) {
        self.core.borrow_mut().attempt_completed(boottime(), server, class, result);
    }

    /// Records that an attempt goes to a server. True where the attempt has used this gateway's trial permit for an ejected
    /// server, so that no other may follow.
    pub fn use_trial_permit(&self, server: &str) -> bool {
        self.core.borrow_mut().may_forward(self.host.clock().now(), server)
    }

    /// Updates the detector by the endpoint list and the reports received, and gives the servers that are ejected from now
    /// on and those that are not any more.
    pub fn update<'l>(&self, endpoints: impl Iterator<Item = &'l Endpoint>) -> Vec<EjectionChange> {
        let zone = |zone: u32| self.host.zones().get(zone as usize).cloned().unwrap_or_default();
        let server = |endpoint: &Endpoint| Server {
            name: endpoint.server.to_string(),
            weight: endpoint.weight,
            zone: zone(endpoint.zone),
            started: endpoint.listed_start.unwrap_or(0),
        };
        let servers =
            endpoints.filter(|endpoint| endpoint.state == EndpointState::Ready).map(server).collect();
        let now = boottime();
        let shared_now = self.host.clock().now();
        let changes = self.core.borrow_mut().handle_timeout(
            now,
            shared_now,
            &self.membership.live_instances(),
            servers,
        );
        self.drain_messages();
        changes
    }

    /// Logs changes of the ejected servers and asks the dispatcher for the next update.
    async fn run_timer<E: From<FleetEvent>>(self: Rc<Self>, events: Sender<E>) {
        let mut ejected_before = BTreeSet::new();
        while events.send(FleetEvent::OutlierDetectionDue.into()).await.is_ok() {
            let ejected: BTreeSet<String> = self.core.borrow().ejected().map(String::from).collect();
            // Restored servers first, so that the log never shows more servers ejected than there are.
            let restored = ejected_before.difference(&ejected).map(|server| (server, false));
            for (server, is_ejected) in
                restored.chain(ejected.difference(&ejected_before).map(|server| (server, true)))
            {
                info!(self.host.log(), #"signals.server", "a server is left out of use, or used again, by the gateways' word";
                    "server" => server, "out" => is_ejected);
            }
            ejected_before = ejected;
            let due = self.core.borrow().next_deadline();
            Timer::after(real_duration(due.saturating_sub(boottime()).max(MIN_SLEEP))).await;
        }
    }

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
                    self.core.borrow_mut().handle_message(boottime(), &sender.name, message, observers);
                }
                Err(_) => {
                    let reason = "a note about servers that can't be read";
                    warn!(self.host.log(), #"signals.unread", "{}", reason; "peer" => sender.name);
                }
            }
            self.drain_messages();
        }
    }

    fn drain_messages(&self) {
        loop {
            let message = self.core.borrow_mut().poll_message();
            let Some((to, message)) = message else { return };
            // A message that can't be sent is lost, as on the network.
            let _ = self.membership.send_to(
                &to,
                Channel::OutlierDetection,
                postcard::to_stdvec(&message).unwrap_or_default(),
            );
        }
    }

    fn view(&self) -> OutlierView {
        self.core.borrow().status(boottime(), self.host.clock().now())
    }
}

/// The id of the server that a change is about.
pub fn server_id(change: &EjectionChange) -> Id {
    Id::from(&*change.server)
}
