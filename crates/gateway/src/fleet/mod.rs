//! What this gateway does together with the others of the fleet: thin shells around the packages `membership`, `lease`,
//! `subsetting` and `outlier-detection`. They carry messages, keep the time and write to the disk; what is sent and believed, and
//! who does what, the packages decide.
//!
//! Messages of all subsystems go over `membership`, each on its channel. Whatever must survive a restart is in the one
//! `durable_store`. What the subsystems need of the gateway is in `host`; they import nothing else of its state.

pub mod durable_store;
pub mod endpoint_list;
pub mod host;
pub mod leases;
pub mod membership;
pub mod outlier_detection;
pub mod subsetting;
pub mod trial_leases;
