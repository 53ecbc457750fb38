//! The gateway as a process among small servers, a list and a counter: one test for each failure found or feared.

mod clocks;
mod crossings;
mod duplicates;
mod end_to_end;
mod large;
mod operator;
mod pools;
mod process;
mod records;
mod signals;
mod upgrade;
