//! One gateway on sockets: transport below, then protocol, then routing round the decision module, then the program.

pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
