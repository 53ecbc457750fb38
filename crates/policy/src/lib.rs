//! fernscale meters many customers' use of one shared service through several gateways.

pub mod interface;
pub mod policy;
pub mod refusal;
pub mod settings;
mod state;
