//! State shared by the processes of one gateway during a hot restart, while a new process replaces an old one: the operators'
//! cordons of servers, and each process's share of the gateway's limits.
//!
//! [`state`] makes all decisions and does no I/O: its input are the records of the other processes, its output the changes for
//! this process. [`directory`] keeps the records in a directory that all processes of the gateway share, and decides nothing.
//! [`request_log`] tells the other processes which requests have been received here and must not run twice.

#![warn(missing_docs)]

pub mod directory;
pub mod request_log;
pub mod state;
