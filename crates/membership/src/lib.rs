//! Gateways that know each other: who is there, and what each has added to the counts that all share.
//!
//! `node` is the protocol, a state machine: packets and time in, packets and events out. It has no socket and no clock, and
//! its chance comes from a seed, so that every run can be played again. `seal` is what makes a packet believed: whoever
//! has no key of the ring learns nothing from a node and changes nothing in it. Sockets are the caller's.
//!
//! Membership follows SWIM (Das, Gupta, Motivala, 2002): each period one member is probed, by others where it does not
//! answer, and suspected before it is taken for gone; what is learned rides on the packets. Two things differ. An instance,
//! one run of a process, is what is a member: a gateway that starts again is another one, and its earlier counts stay. And
//! a member taken for gone is asked now and then, and may say that it is not, as partitions heal.

pub mod node;
pub mod packet;
pub mod payload;
pub mod peer;
mod recent;
pub mod seal;
