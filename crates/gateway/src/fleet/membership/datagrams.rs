//! Datagrams from other gateways: opens them and passes them to the membership node, at a bounded rate. Datagrams that
//! cannot be opened are logged and dropped.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use fernscale_membership::packet::{Packet, MAX_DATAGRAM_BYTES};

use super::Membership;
use crate::transport::clock::unix;

/// Maximum number of datagrams that are handled before a pause. Without pauses, a flood of datagrams would take the CPU core
/// from client requests.
const MAX_DATAGRAMS_PER_BATCH: usize = 64;
/// Pause after a batch of datagrams.
const BATCH_PAUSE: Duration = Duration::from_millis(1);

impl Membership {
    /// Receives datagrams until this task is dropped.
    pub(super) async fn receive_datagrams(self: Rc<Self>) {
        let mut bytes = [0; 2 * MAX_DATAGRAM_BYTES];
        let Some(socket) = self.socket.borrow().clone() else { return };
        loop {
            for _ in 0..MAX_DATAGRAMS_PER_BATCH {
                let Ok((length, sender)) = socket.recv_from(&mut bytes).await else { break };
                let opened = self.sealer.borrow_mut().open::<Packet>(unix(), &bytes[..length]);
                match opened {
                    Ok((sealed_by, packet)) if sealed_by == packet.sender.instance => {
                        let now = self.host.clock().now();
                        self.node.borrow_mut().handle_packet(now, sender, packet);
                        self.drain_outputs();
                        self.wake.notify(1);
                    }
                    Ok(_) => self.log_rejected(sender, "the packet is not sealed by its sender"),
                    Err(error) => self.log_rejected(sender, &error.to_string()),
                }
            }
            Timer::after(BATCH_PAUSE).await;
        }
    }
}
