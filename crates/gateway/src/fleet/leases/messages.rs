//! Messages of the acceptor and the candidate. This module passes messages from the membership to the acceptor or the
//! candidate, and processes the outputs of both. The lease package decides the contents.

use std::collections::VecDeque;
use std::rc::Rc;

use async_channel::Receiver;
use fernscale_lease::acceptor::{Acceptor, Output as AcceptorOutput};
use fernscale_lease::candidate::{Event as CandidateEvent, Output as CandidateOutput};
use fernscale_lease::message::{AcceptorReply, Message};
use fernscale_lease::{Name, ProcessId};
use fernscale_membership::payload::{Channel, ReceivedPayload};
use fernscale_policy::Micros;
use fernscale_shared_counter::pn_counter::Instance;
use futures_lite::StreamExt;
use slog::warn;

use super::log::{log_acceptor_event, log_candidate_event};
use super::{Core, Leases};
use crate::transport::clock::boottime;

impl Leases {
    /// Passes received messages to the acceptor and the candidate. The timer task processes their outputs.
    pub(super) async fn receive_messages(self: Rc<Self>, payloads: Receiver<ReceivedPayload>) {
        let mut payloads = std::pin::pin!(payloads);
        while let Some(ReceivedPayload { sender, body, .. }) = payloads.next().await {
            let Ok(message) = postcard::from_bytes::<Message>(&body) else {
                let reason = "cannot decode a message about leases";
                warn!(self.host.log(), #"owner.unread", "{}", reason; "peer" => &sender.name);
                continue;
            };
            let process = ProcessId(sender.instance.0);
            self.core.borrow_mut().handle_message(&Name::from(sender.name), process, message);
            self.wake.notify(1);
        }
    }

    /// Sends a message to the gateway of a name. A message that cannot be sent is dropped, like one lost on the network.
    fn send(&self, to: &Name, message: &Message) {
        let body = postcard::to_stdvec(message).unwrap_or_default();
        let _ = self.membership.send_to(to, Channel::Lease, body);
    }

    /// Sends a message to one process of a gateway. A message that cannot be sent is dropped, like one lost on the network.
    fn send_to_process(&self, to: ProcessId, message: &Message) {
        let body = postcard::to_stdvec(message).unwrap_or_default();
        let _ = self.membership.send_to_instance(Instance(to.0), Channel::Lease, body);
    }

    /// Processes the outputs of the acceptor and the candidate until neither has any. Messages between the acceptor and the
    /// candidate of this process are delivered directly. Events of the candidate are logged at the end.
    pub(super) fn drain_outputs(&self) {
        let now = boottime();
        let mut events = VecDeque::new();
        loop {
            let core = &mut *self.core.borrow_mut();
            if let Some(output) = core.acceptor.as_mut().and_then(Acceptor::poll_output) {
                self.handle_acceptor_output(now, core, output);
            } else if let Some(output) = core.candidate.poll_output() {
                self.handle_candidate_output(now, core, output, &mut events);
            } else {
                break;
            }
        }
        events.iter().for_each(|event| log_candidate_event(self.host.log(), event));
    }

    fn handle_acceptor_output(&self, now: Micros, core: &mut Core, output: AcceptorOutput) {
        match output {
            AcceptorOutput::Persist { number, change } => self.persist(number, &change),
            AcceptorOutput::Reply { to, reply } if to == core.candidate.process() => {
                core.candidate.handle_reply(now, &self.name, reply);
            }
            AcceptorOutput::Reply { to, reply } => self.send_to_process(to, &Message::Reply(reply)),
            AcceptorOutput::Request { to, request } => self.send(&to, &Message::Request(request)),
            AcceptorOutput::PeerReply { to, reply } => self.send(&to, &Message::Reply(reply)),
            AcceptorOutput::Event(event) => log_acceptor_event(self.host.log(), &event),
        }
    }

    fn handle_candidate_output(
        &self,
        now: Micros,
        core: &mut Core,
        output: CandidateOutput,
        events: &mut VecDeque<CandidateEvent>,
    ) {
        match output {
            CandidateOutput::Request { to, request } if to == self.name => {
                let process = core.candidate.process();
                if let Some(acceptor) = core.voting_acceptor() {
                    acceptor.handle_request(now, process, request);
                }
            }
            CandidateOutput::Request { to, request } => self.send(&to, &Message::Request(request)),
            CandidateOutput::Released { to, lease, token } => {
                self.send(&to, &Message::Released { lease, token });
            }
            CandidateOutput::Offer { to, lease } => self.send_to_process(to, &Message::Offer { lease }),
            CandidateOutput::Event(event) => events.push_back(event),
        }
    }
}

impl Core {
    /// The acceptor, or `None` if another gateway has the same name: the promises of the two acceptors could not be
    /// distinguished.
    fn voting_acceptor(&mut self) -> Option<&mut Acceptor> {
        if self.has_duplicate_name {
            return None;
        }
        self.acceptor.as_mut()
    }

    /// Passes a received message to the acceptor or the candidate.
    fn handle_message(&mut self, sender: &Name, process: ProcessId, message: Message) {
        let now = boottime();
        match message {
            Message::Request(request) => {
                if let Some(acceptor) = self.voting_acceptor() {
                    acceptor.handle_request(now, process, request);
                }
            }
            Message::Reply(reply @ AcceptorReply::Recovery(_)) => {
                if let Some(acceptor) = &mut self.acceptor {
                    acceptor.handle_peer_reply(sender, reply);
                }
            }
            Message::Reply(reply) => self.candidate.handle_reply(now, sender, reply),
            Message::Released { lease, token } => self.candidate.lease_released(now, &lease, token),
            Message::Offer { lease } => {
                self.candidacy.offer_received(now, &lease, sender, &mut self.candidate);
            }
        }
    }
}
