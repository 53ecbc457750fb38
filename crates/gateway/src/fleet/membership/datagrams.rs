//! Datagrams from other gateways: they are opened and handed to the node, at a bounded rate. What can't be opened is
//! logged and dropped.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use fernscale_membership::packet::{Packet, MAX_DATAGRAM_BYTES};

use super::Membership;
use crate::transport::clock::unix;

/// Datagrams handled before a pause. Danger: without it a flood of datagrams takes the core from client requests.
const MAX_DATAGRAMS_IN_A_ROW: usize = 64;
/// That pause.
const FLOOD_PAUSE: Duration = Duration::from_millis(1);

impl Membership {
    /// Receives until the socket is dropped with the task.
    pub(super) async fn receive_datagrams(self: Rc<Self>) {
        let mut bytes = [0; 2 * MAX_DATAGRAM_BYTES];
        let Some(socket) = self.socket.borrow().clone() else { return };
        loop {
            for _ in 0..MAX_DATAGRAMS_IN_A_ROW {
                let Ok((length, sender)) = socket.recv_from(&mut bytes).await else { break };
                let opened = self.sealer.borrow_mut().open::<Packet>(unix(), &bytes[..length]);
                match opened {
                    Ok((sealed_by, packet)) if sealed_by == packet.sender.instance => {
                        let now = self.host.clock().now();
                        self.node.borrow_mut().handle_packet(now, sender, packet);
                        self.drain_outputs();
                        self.wake.notify(1);
                    }
                    Ok(_) => self.log_rejected(sender, "it speaks in another's name"),
                    Err(error) => self.log_rejected(sender, &error.to_string()),
                }
            }
            Timer::after(FLOOD_PAUSE).await;
        }
    }
}
