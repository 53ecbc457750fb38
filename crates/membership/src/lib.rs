//! Membership of a fleet of gateways by gossip: which gateways are there, and what each has added to the shared counters.
//!
//! [`node`] is the protocol, a state machine without I/O: messages and time in, messages and events out. It has no socket and
//! no clock, and its random choices come from a seed, so that every run can be repeated. [`seal`] authenticates messages:
//! a sender without a key of the ring changes nothing in a node. Sockets are the caller's.
//!
//! The protocol follows SWIM (Das, Gupta, Motivala, 2002): one member is probed in each period, through other members where
//! it does not acknowledge, and is suspected before it is declared dead; claims about members travel on the packets of the
//! detector. Two things differ. A member is an instance, one process, so that a restarted gateway is a new member and what
//! it added before stays counted. And dead members are pinged now and then and may refute that they are, so that
//! partitions heal.

#![warn(missing_docs)]

pub mod node;
pub mod packet;
pub mod payload;
pub mod peer;
mod recent_changes;
pub mod seal;
