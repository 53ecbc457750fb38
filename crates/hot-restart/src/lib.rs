//! What two processes of one gateway share while one takes the other's place: the operators' words on servers, and
//! each one's part of what the gateway may use.
//!
//! [`state`] decides and does no I/O: it is told what the records of the others say, and says what changes here.
//! [`directory`] keeps the records in a directory that all processes of the gateway share.

pub mod directory;
pub mod state;
