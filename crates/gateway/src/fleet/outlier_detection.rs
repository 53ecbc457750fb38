//! What gateways tell each other of servers: what this one meets, what others say, and which servers are left out of use by it.
//! Whom to believe, how much may be out and whose turn it is to try, the package `signals` decides.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use fernscale_membership::payload::{Channel, ReceivedPayload};
use fernscale_outlier_detection::detector::{
    AttemptResult, EjectionChange, LocalGateway, OutlierDetector as Core, Server,
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
const LEAST: Micros = 20_000;

/// What an installation says of its signals.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Where this gateway stands, by a name of the list's zones; nothing, zones make no difference to it.
    pub zone: Option<String>,
}

pub struct OutlierDetection {
    host: HostHandle,
    mesh: Rc<Membership>,
    subsetting: Option<Rc<Subsetting>>,
    core: RefCell<Core>,
}

impl OutlierDetection {
    /// Takes part from now on. `events`: the module's, who is told which servers to leave.
    pub fn start<E: From<FleetEvent> + 'static>(
        host: &HostHandle,
        mesh: &Rc<Membership>,
        subsetting: Option<Rc<Subsetting>>,
        settings: Settings,
        events: Sender<E>,
    ) -> Rc<OutlierDetection> {
        let peer = mesh.local();
        let zone = settings.zone.unwrap_or_default();
        info!(host.log(), #"signals.starts", "tells other gateways what servers are like, and goes by what they tell"; "zone" => &zone);
        let me = LocalGateway { name: peer.name, instance: peer.instance.0, zone };
        let core = RefCell::new(Core::new(me, rand::random(), boottime()));
        let signals = Rc::new(OutlierDetection { host: host.clone(), mesh: mesh.clone(), subsetting, core });
        let answers = signals.clone();
        let answer = move |_: &[u8]| postcard::to_stdvec(&answers.shown()).ok();
        mesh.set_responder(Channel::OutlierDetection, Box::new(answer));
        mesh.spawn_until_left(signals.clone().hear(mesh.subscribe(Channel::OutlierDetection)));
        mesh.spawn_until_left(signals.clone().keep_time(events));
        signals
    }

    /// A trip has ended there.
    pub fn attempt_completed(&self, server: &str, lane: usize, met: AttemptResult) {
        self.core.borrow_mut().attempt_completed(boottime(), server, lane, met);
    }

    /// A trip goes there. True: that was this gateway's turn to try it, and no other may follow.
    pub fn may_forward(&self, server: &str) -> bool {
        self.core.borrow_mut().may_forward(self.host.clock().now(), server)
    }

    /// Looks at the list and at what was said: which servers are to be left from now on, and which are not any more.
    pub fn update<'l>(&self, listed: impl Iterator<Item = &'l Endpoint>) -> Vec<EjectionChange> {
        let zone = |zone: u32| self.host.zones().get(zone as usize).cloned().unwrap_or_default();
        let server = |listed: &Endpoint| Server {
            name: listed.server.to_string(),
            weight: listed.weight,
            zone: zone(listed.zone),
            started: listed.listed_start.unwrap_or(0),
        };
        let servers = listed.filter(|listed| listed.state == EndpointState::Ready).map(server).collect();
        let (now, shared) = (boottime(), self.host.clock().now());
        let changes =
            self.core.borrow_mut().handle_timeout(now, shared, &self.mesh.live_instances(), servers);
        self.carry();
        changes
    }

    async fn keep_time<E: From<FleetEvent>>(self: Rc<Self>, events: Sender<E>) {
        let mut out = BTreeSet::new();
        while events.send(FleetEvent::OutlierDetectionDue.into()).await.is_ok() {
            let now: BTreeSet<String> = self.core.borrow().ejected().map(String::from).collect();
            // Those that are used again first: at no moment does the log have more of them out than there are.
            let back = out.difference(&now).map(|server| (server, false));
            for (server, left) in back.chain(now.difference(&out).map(|server| (server, true))) {
                info!(self.host.log(), #"signals.server", "a server is left out of use, or used again, by the gateways' word";
                    "server" => server, "out" => left);
            }
            out = now;
            let due = self.core.borrow().next_deadline();
            Timer::after(real_duration(due.saturating_sub(boottime()).max(LEAST))).await;
        }
    }

    async fn hear(self: Rc<Self>, came: Receiver<ReceivedPayload>) {
        let mut came = std::pin::pin!(came);
        while let Some(ReceivedPayload { sender: from, body, .. }) = came.next().await {
            match postcard::from_bytes::<Message>(&body) {
                Ok(note) => {
                    let all = self.mesh.live_peers().len() as f64 + 1.0;
                    let observers =
                        self.subsetting.as_ref().map_or(all, |subsets| subsets.gateways_per_server());
                    self.core.borrow_mut().handle_message(boottime(), &from.name, note, observers);
                }
                Err(_) => {
                    let why = "a note about servers that can't be read";
                    warn!(self.host.log(), #"signals.unread", "{}", why; "peer" => from.name);
                }
            }
            self.carry();
        }
    }

    fn carry(&self) {
        loop {
            let note = self.core.borrow_mut().poll_message();
            let Some((to, note)) = note else { return };
            // A note that can't be sent now is as good as lost on the way.
            let _ = self.mesh.send_to(
                &to,
                Channel::OutlierDetection,
                postcard::to_stdvec(&note).unwrap_or_default(),
            );
        }
    }

    fn shown(&self) -> OutlierView {
        self.core.borrow().status(boottime(), self.host.clock().now())
    }
}

/// The id of a server that a change is about.
pub fn server_id(change: &EjectionChange) -> Id {
    Id::from(&*change.server)
}
