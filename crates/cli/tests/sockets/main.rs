//! Runs the gateway as a process with test servers, an endpoint list and a shared counter. Each test guards against one
//! failure.

mod clocks;
mod crossings;
mod duplicates;
mod end_to_end;
mod key_windows;
mod large;
mod late_listener;
mod memory;
mod new_processes;
mod operator;
mod pools;
mod process;
mod records;
mod repeated_ids;
mod shutdown;
mod signals;
mod slow_commands;
mod slow_lists;
mod slow_replies;
mod upgrade;
mod wrong_lengths;
