//! The subsystems that cooperate with the other gateways of the fleet. Each is a thin I/O shell around one of the packages
//! `membership`, `lease`, `subsetting` and `outlier-detection`: the shell carries messages, runs timers and writes to disk,
//! and the package makes all decisions.
//!
//! All subsystems send their messages through `membership`, each on its own channel. State that must survive a restart is
//! in the single `durable_store`. The subsystems reach the gateway only through the traits in `host`.

pub mod durable_store;
pub mod endpoint_list;
pub mod host;
pub mod leases;
pub mod membership;
pub mod outlier_detection;
pub mod subsetting;
pub mod trial_leases;
