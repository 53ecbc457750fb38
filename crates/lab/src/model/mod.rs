//! The behaviour of clients, servers, the counter and discovery as state machines: they take events with their times and return
//! what follows. They have no sockets, clocks or threads, and their random numbers come from a seed.

pub mod clients;
pub mod counter;
pub mod discovery;
pub mod server;
