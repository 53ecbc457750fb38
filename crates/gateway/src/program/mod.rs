//! The program: its configuration, how it starts, how it ends, its log.

pub mod config;
pub mod file;
mod fleet;
pub mod log;
pub mod reader;
pub mod run;
