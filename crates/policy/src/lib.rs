//! fernscale meters many tenants' use of one shared service through several gateways.

mod interface;
mod policy;
mod rejection;
pub mod settings;
mod state;

pub use interface::*;
pub use policy::Engine;
pub use rejection::RejectReason;
