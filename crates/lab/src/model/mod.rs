//! How each party behaves, as state machines: told what happened and when, they say what follows. They have no sockets,
//! clocks or threads, and their chance comes from a seed.

pub mod clients;
pub mod counter;
pub mod discovery;
pub mod server;
