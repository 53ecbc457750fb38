//! One gateway on sockets, by layers: protocol, transport, routing round the decision module, program.

pub mod counter;
pub mod discovery;
pub mod dispatcher;
pub mod downstream;
pub mod fleet;
pub mod hot_restart;
pub mod operator;
pub mod outcome;
pub mod program;
pub mod protocol;
mod rejection;
pub mod shared;
pub mod transport;
pub mod upstream;
