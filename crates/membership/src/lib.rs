//! Gossip membership for a fleet of gateways: which gateways are live, and what each has added to the shared counters.
//!
//! [`node`] implements the protocol as a state machine without I/O: messages and times are its inputs, messages and events its
//! outputs. It has no socket and no clock, and its random choices come from a seed, so every run can be repeated. [`seal`]
//! authenticates messages: a sender without a configured key cannot change a node's state. The caller owns the sockets.
//!
//! The protocol follows SWIM (Das, Gupta, Motivala, 2002). A node probes one member in each period. If the member does not
//! acknowledge, other members probe it as well; it is suspected before it is declared dead. Membership updates are piggybacked
//! on the packets of the failure detector. Two things differ from SWIM:
//!
//! - A member is an instance, that is, one process. A restarted gateway is a new member, and the contributions of its previous
//!   process stay counted.
//! - Dead members are pinged periodically and may refute their death, so that partitions heal.

#![warn(missing_docs)]

pub mod node;
pub mod packet;
pub mod payload;
pub mod peer;
mod recent_changes;
pub mod seal;
