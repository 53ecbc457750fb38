//! What two processes of one gateway share while one replaces the other: the operators' cordons of servers, and each
//! process's share of what the gateway may use.
//!
//! [`state`] decides and does no I/O: it is given the records of the other processes and returns what changes in this one.
//! [`directory`] keeps the records in a directory that all processes of the gateway share, and decides nothing.

#![warn(missing_docs)]

pub mod directory;
pub mod state;
