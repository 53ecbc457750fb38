//! What operators ask gateways about jobs, and are told.

use serde::{Deserialize, Serialize};

use crate::{Fence, Name};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// How do all jobs stand?
    Jobs,
    /// Give this job back, if you own it.
    Release(Name),
    /// Own nothing from now on where another can, as the operators are about to work on this gateway; or do as before.
    Cordon(bool),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    Jobs(View),
    /// Whether it was owned, and is given back.
    Released(bool),
    Cordoned(bool),
}

/// How jobs stand, as one gateway knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub gateway: Name,
    /// None where this gateway is no voter.
    pub votes: Option<Votes>,
    /// Its operators want it to own nothing where another can.
    pub cordoned: bool,
    /// What it can do itself.
    pub jobs: Vec<Job>,
    /// What is held, as far as it knows as a voter.
    pub held: Vec<Held>,
    /// Live gateways and their runs, so that the runs above can be named.
    pub runs: Vec<(Name, u64)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Votes {
    Yes,
    /// It has just started, or waits to be let in anew, as its folder lacks promises.
    Waits,
    /// It can't make promises durable, or there is another gateway of its name.
    Not,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    pub job: Name,
    /// This gateway's place in the job's order, from 0.
    pub place: u32,
    /// By which fence, for how long it has had it and still has, in milliseconds, where this gateway owns it.
    pub owns: Option<(Fence, u64, u64)>,
    /// Refusals of claims and of effects so far, and why the last.
    pub refusals: u64,
    pub last: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    pub job: Name,
    pub by: Fence,
    pub left_ms: u64,
}
