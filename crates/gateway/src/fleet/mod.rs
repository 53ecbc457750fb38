//! What this gateway does together with the others: thin shells round the packages `mesh`, `owner` and those to come. They
//! carry messages, keep time and write to the disk; what is said and believed, and who does what, the packages decide.
//!
//! All messages go by the one carrier of the mesh, each kind to whoever takes it in; all that must survive goes to the one
//! store of the gateway.

pub mod durable_store;
pub mod endpoint_list;
pub mod host;
pub mod leases;
pub mod membership;
pub mod outlier_detection;
pub mod subsetting;
pub mod trial_leases;
