//! What gateways tell each other of servers: what this one meets, what others say, and which servers are left out of use by it.
//! Whom to believe, how much may be out and whose turn it is to try, the package `signals` decides.

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

/// The shortest sleep between two looks.
const MIN_SLEEP: Micros = 20_000;

/// What an installation says of its signals.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Where this gateway stands, by a name of the list's zones; nothing, zones make no difference to it.
    pub zone: Option<String>,
}

pub struct OutlierDetection {
    host: HostHandle,
    membership: Rc<Membership>,
    subsetting: Option<Rc<Subsetting>>,
    core: RefCell<OutlierDetector>,
}

impl OutlierDetection {
    /// Takes part from now on. `events`: the module's, who is told which servers to leave.
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

    /// A trip has ended there.
    pub fn attempt_completed(&self, server: &str, class: usize, result: AttemptResult) {
        self.core.borrow_mut().attempt_completed(boottime(), server, class, result);
    }

    /// A trip goes there. True: that was this gateway's turn to try it, and no other may follow.
    pub fn may_forward(&self, server: &str) -> bool {
        self.core.borrow_mut().may_forward(self.host.clock().now(), server)
    }

    /// Looks at the list and at what was said: which servers are to be left from now on, and which are not any more.
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
        let (now, shared_now) = (boottime(), self.host.clock().now());
        let changes = self.core.borrow_mut().handle_timeout(
            now,
            shared_now,
            &self.membership.live_instances(),
            servers,
        );
        self.drain_messages();
        changes
    }

    async fn run_timer<E: From<FleetEvent>>(self: Rc<Self>, events: Sender<E>) {
        let mut ejected_before = BTreeSet::new();
        while events.send(FleetEvent::OutlierDetectionDue.into()).await.is_ok() {
            let now: BTreeSet<String> = self.core.borrow().ejected().map(String::from).collect();
            // Those that are used again first: at no moment does the log have more of them out than there are.
            let restored = ejected_before.difference(&now).map(|server| (server, false));
            for (server, left) in restored.chain(now.difference(&ejected_before).map(|server| (server, true)))
            {
                info!(self.host.log(), #"signals.server", "a server is left out of use, or used again, by the gateways' word";
                    "server" => server, "out" => left);
            }
            ejected_before = now;
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
                        .map_or(gateway_count, |subsets| subsets.gateways_per_server());
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
            // A note that can't be sent now is as good as lost on the way.
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

/// The id of a server that a change is about.
pub fn server_id(change: &EjectionChange) -> Id {
    Id::from(&*change.server)
}
