//! Messages of acceptor and candidate.

use std::collections::VecDeque;
use std::rc::Rc;

use async_channel::Receiver;
use fernscale_lease::acceptor::{Acceptor, Output as AcceptorOutput};
use fernscale_lease::candidate::Output as CandidateOutput;
use fernscale_lease::message::{AcceptorReply, Message};
use fernscale_lease::{Name, ProcessId};
use fernscale_membership::payload::{Channel, ReceivedPayload};
use fernscale_shared_counter::pn_counter::Instance;
use futures_lite::StreamExt;
use slog::warn;

use super::Leases;
use crate::transport::clock::boottime;

impl Leases {
    pub(super) async fn receive_messages(self: Rc<Self>, payloads: Receiver<ReceivedPayload>) {
        let mut payloads = std::pin::pin!(payloads);
        while let Some(ReceivedPayload { sender, body, .. }) = payloads.next().await {
            let Ok(message) = postcard::from_bytes::<Message>(&body) else {
                let reason = "a letter about jobs that can't be read";
                warn!(self.host.log(), #"owner.unread", "{}", reason; "peer" => &sender.name);
                continue;
            };
            let (now, name, process) = (boottime(), Name::from(sender.name), ProcessId(sender.instance.0));
            let core = &mut *self.core.borrow_mut();
            match message {
                Message::Request(request) => {
                    if let Some(acceptor) = core.acceptor.as_mut().filter(|_| !core.name_is_taken) {
                        acceptor.handle_request(now, process, request);
                    }
                }
                Message::Reply(reply @ AcceptorReply::Recovery(_)) => {
                    if let Some(acceptor) = &mut core.acceptor {
                        acceptor.handle_peer_reply(&name, reply);
                    }
                }
                Message::Reply(reply) => core.candidate.handle_reply(now, &name, reply),
                Message::Released { lease, token } => core.candidate.lease_released(now, &lease, token),
                Message::Offer { lease } => {
                    core.candidacy.offer_received(now, &lease, &name, &mut core.candidate)
                }
            }
            self.wake.notify(1);
        }
    }

    /// A letter that can't be sent now is as good as lost on the way.
    fn send(&self, to: &Name, message: &Message) {
        let _ = self.membership.send_to(to, Channel::Lease, postcard::to_stdvec(message).unwrap_or_default());
    }

    /// Carries out what voter and claimer want.
    pub(super) fn drain_outputs(&self) {
        let now = boottime();
        let mut events = VecDeque::new();
        loop {
            let core = &mut *self.core.borrow_mut();
            if let Some(output) = core.acceptor.as_mut().and_then(Acceptor::poll_output) {
                match output {
                    AcceptorOutput::Persist { number, change } => self.persist(number, &change),
                    AcceptorOutput::Reply { to, reply } if to == core.candidate.process() => {
                        core.candidate.handle_reply(now, &self.name, reply)
                    }
                    AcceptorOutput::Reply { to, reply } => {
                        let body = postcard::to_stdvec(&Message::Reply(reply)).unwrap_or_default();
                        let _ = self.membership.send_to_instance(Instance(to.0), Channel::Lease, body);
                    }
                    AcceptorOutput::Request { to, request } => self.send(&to, &Message::Request(request)),
                    AcceptorOutput::PeerReply { to, reply } => self.send(&to, &Message::Reply(reply)),
                    AcceptorOutput::Event(event) => self.log_acceptor_event(&event),
                }
            } else if let Some(output) = core.candidate.poll_output() {
                match output {
                    CandidateOutput::Request { to, request } if to == self.name => {
                        let process = core.candidate.process();
                        if let Some(acceptor) = core.acceptor.as_mut().filter(|_| !core.name_is_taken) {
                            acceptor.handle_request(now, process, request);
                        }
                    }
                    CandidateOutput::Request { to, request } => self.send(&to, &Message::Request(request)),
                    CandidateOutput::Released { to, lease, token } => {
                        self.send(&to, &Message::Released { lease, token })
                    }
                    CandidateOutput::Offer { to, lease } => {
                        let body = postcard::to_stdvec(&Message::Offer { lease }).unwrap_or_default();
                        let _ = self.membership.send_to_instance(Instance(to.0), Channel::Lease, body);
                    }
                    CandidateOutput::Event(event) => events.push_back(event),
                }
            } else {
                break;
            }
        }
        events.iter().for_each(|event| self.log_candidate_event(event));
    }
}
