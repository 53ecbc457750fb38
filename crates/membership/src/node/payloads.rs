//! Payloads that other subsystems send over the membership layer. This module chooses the receiver, and a datagram or a
//! stream. It stores no payloads, and neither retransmits nor orders them.

use std::net::SocketAddr;

use fernscale_shared_counter::pn_counter::Instance;
use fernscale_shared_counter::Micros;

use super::{Node, Output};
use crate::packet::PacketBody;
use crate::payload::{Channel, Payload, ReceivedPayload, SendError, MAX_DATAGRAM_PAYLOAD};
use crate::peer::Peer;

impl Node {
    /// Sends a payload to the live gateway with this name. If several gateways have the name, the receiver is the one from which
    /// this node last received a message.
    ///
    /// # Errors
    /// No live gateway has the name, the body is longer than its channel allows, or this node has left.
    pub fn send_to(&mut self, name: &str, channel: Channel, body: Vec<u8>) -> Result<(), SendError> {
        let named = self.members.live().filter(|member| member.peer.name == name);
        let to = named.max_by_key(|member| member.last_heard).map(|member| member.peer.address);
        self.send_payload(to, channel, body)
    }

    /// Sends a payload to one process of a gateway.
    ///
    /// # Errors
    /// The process is not a live member, the body is longer than its channel allows, or this node has left.
    pub fn send_to_instance(
        &mut self,
        instance: Instance,
        channel: Channel,
        body: Vec<u8>,
    ) -> Result<(), SendError> {
        let to = self.members.get_live(instance).map(|member| member.peer.address);
        self.send_payload(to, channel, body)
    }

    fn send_payload(
        &mut self,
        to: Option<SocketAddr>,
        channel: Channel,
        body: Vec<u8>,
    ) -> Result<(), SendError> {
        if self.has_left {
            return Err(SendError::NodeLeft);
        }
        let to = to.ok_or(SendError::UnknownGateway)?;
        if body.len() > channel.max_bytes() {
            return Err(SendError::TooLong);
        }
        let payload = Payload { channel, body };
        if payload.body.len() <= MAX_DATAGRAM_PAYLOAD {
            self.send_packet(to, PacketBody::Payload(payload), Vec::new(), Vec::new());
        } else {
            self.outputs.push_back(Output::SendStream { to, payload });
        }
        Ok(())
    }

    /// Handles a payload that arrived over a stream. The caller has authenticated the sender.
    pub fn handle_payload(&mut self, now: Micros, sender: Peer, payload: Payload) {
        if !self.accepts(&sender) {
            return;
        }
        self.members.heard_from(now, sender.instance);
        self.receive_payload(sender, payload);
    }

    /// Passes a payload to the caller. Drops it if it is longer than its channel allows.
    pub(super) fn receive_payload(&mut self, sender: Peer, payload: Payload) {
        let Payload { channel, body } = payload;
        if body.len() <= channel.max_bytes() {
            self.outputs.push_back(Output::Received(ReceivedPayload { sender, channel, body }));
        }
    }
}
