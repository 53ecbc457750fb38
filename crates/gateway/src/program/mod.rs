//! The gateway program: its configuration, startup, shutdown and log.

pub mod config;
mod config_error;
pub mod file;
mod fleet;
mod listener;
pub mod log;
mod problem;
pub mod reader;
mod reload;
pub mod run;
mod shutdown;
mod signals;
mod start_error;
