//! Messages of acceptor and candidate.

use std::collections::VecDeque;
use std::rc::Rc;

use async_channel::Receiver;
use fernscale_lease::acceptor::{Acceptor, Output};
use fernscale_lease::candidate::Output as Wants;
use fernscale_lease::message::{AcceptorReply, Message};
use fernscale_lease::{Name, ProcessId};
use fernscale_membership::payload::{Channel, ReceivedPayload};
use fernscale_shared_counter::pn_counter::Instance;
use futures_lite::StreamExt;
use slog::warn;

use super::Leases;
use crate::transport::clock::boottime;

impl Leases {
    pub(super) async fn hear(self: Rc<Self>, came: Receiver<ReceivedPayload>) {
        let mut came = std::pin::pin!(came);
        while let Some(ReceivedPayload { sender: from, body, .. }) = came.next().await {
            let Ok(letter) = postcard::from_bytes::<Message>(&body) else {
                let why = "a letter about jobs that can't be read";
                warn!(self.host.log(), #"owner.unread", "{}", why; "peer" => &from.name);
                continue;
            };
            let (now, name, run) = (boottime(), Name::from(from.name), ProcessId(from.instance.0));
            let core = &mut *self.core.borrow_mut();
            match letter {
                Message::Request(ask) => {
                    if let Some(voter) = core.voter.as_mut().filter(|_| !core.doubled) {
                        voter.handle_request(now, run, ask);
                    }
                }
                Message::Reply(say @ AcceptorReply::Recovery(_)) => {
                    if let Some(voter) = &mut core.voter {
                        voter.handle_peer_reply(&name, say);
                    }
                }
                Message::Reply(say) => core.claimer.handle_reply(now, &name, say),
                Message::Released { lease: job, token: fence } => {
                    core.claimer.lease_released(now, &job, fence)
                }
                Message::Offer { lease: job } => {
                    core.roster.offer_received(now, &job, &name, &mut core.claimer)
                }
            }
            self.wake.notify(1);
        }
    }

    /// A letter that can't be sent now is as good as lost on the way.
    fn send(&self, to: &Name, letter: &Message) {
        let _ = self.mesh.send_to(to, Channel::Lease, postcard::to_stdvec(letter).unwrap_or_default());
    }

    /// Carries out what voter and claimer want.
    pub(super) fn carry(&self) {
        let now = boottime();
        let mut events = VecDeque::new();
        loop {
            let core = &mut *self.core.borrow_mut();
            if let Some(output) = core.voter.as_mut().and_then(Acceptor::poll_output) {
                match output {
                    Output::Persist { number, change } => self.write(number, &change),
                    Output::Reply { to, reply: say } if to == core.claimer.process() => {
                        core.claimer.handle_reply(now, &self.me, say)
                    }
                    Output::Reply { to, reply: say } => {
                        let body = postcard::to_stdvec(&Message::Reply(say)).unwrap_or_default();
                        let _ = self.mesh.send_to_instance(Instance(to.0), Channel::Lease, body);
                    }
                    Output::Request { to, request: ask } => self.send(&to, &Message::Request(ask)),
                    Output::PeerReply { to, reply: say } => self.send(&to, &Message::Reply(say)),
                    Output::Event(event) => self.tell_voted(&event),
                }
            } else if let Some(wanted) = core.claimer.poll_output() {
                match wanted {
                    Wants::Request { to, request: ask } if to == self.me => {
                        let run = core.claimer.process();
                        if let Some(voter) = core.voter.as_mut().filter(|_| !core.doubled) {
                            voter.handle_request(now, run, ask);
                        }
                    }
                    Wants::Request { to, request: ask } => self.send(&to, &Message::Request(ask)),
                    Wants::Released { to, lease: job, token: fence } => {
                        self.send(&to, &Message::Released { lease: job, token: fence })
                    }
                    Wants::Offer { to, lease: job } => {
                        let body = postcard::to_stdvec(&Message::Offer { lease: job }).unwrap_or_default();
                        let _ = self.mesh.send_to_instance(Instance(to.0), Channel::Lease, body);
                    }
                    Wants::Event(event) => events.push_back(event),
                }
            } else {
                break;
            }
        }
        events.iter().for_each(|event| self.tell_owned(event));
    }
}
