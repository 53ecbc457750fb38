//! Explores every interleaving of a small system, within stated bounds: each state that can be reached is looked at once. What
//! is found comes with the steps that lead there.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Instant;

/// A system of parties that exchange messages; chance and time are steps like any other.
pub trait System: Clone + Hash {
    type Step: Clone + std::fmt::Debug;

    /// All that may happen next.
    fn steps(&self) -> Vec<Self::Step>;

    fn take(&mut self, step: &Self::Step);

    /// What must never be so, if it is.
    fn wrong(&self) -> Option<String>;
}

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Steps of one run, and states in all.
    pub depth: usize,
    pub states: usize,
}

#[derive(Debug)]
pub struct Found<S> {
    pub states: usize,
    pub seconds: f64,
    /// Every run within the bound of steps was looked at.
    pub whole: bool,
    /// What went wrong, and how it came to that.
    pub wrong: Option<(String, Vec<S>)>,
}

/// Looks at all states that can be reached, deepest first, until something is wrong.
pub fn explore<S: System>(start: S, bounds: Bounds) -> Found<S::Step> {
    let began = Instant::now();
    let (mut seen, mut whole) = (HashSet::new(), true);
    // Where each state on the way was come from, by the step.
    let mut trace: Vec<(usize, S::Step)> = Vec::new();
    const START: usize = usize::MAX;
    let mut open: Vec<(S, usize, usize)> = vec![(start, START, 0)];
    let way = |trace: &[(usize, S::Step)], mut at: usize| {
        let mut steps = Vec::new();
        while at != START {
            let (from, step) = &trace[at];
            steps.push(step.clone());
            at = *from;
        }
        steps.reverse();
        steps
    };
    while let Some((state, at, depth)) = open.pop() {
        if let Some(wrong) = state.wrong() {
            let (states, seconds) = (seen.len(), began.elapsed().as_secs_f64());
            return Found { states, seconds, whole: false, wrong: Some((wrong, way(&trace, at))) };
        }
        if depth >= bounds.depth || seen.len() >= bounds.states {
            whole = false;
            continue;
        }
        for step in state.steps() {
            let mut next = state.clone();
            next.take(&step);
            let mut hasher = DefaultHasher::new();
            next.hash(&mut hasher);
            if seen.insert(hasher.finish()) {
                trace.push((at, step));
                open.push((next, trace.len() - 1, depth + 1));
            }
        }
    }
    Found { states: seen.len(), seconds: began.elapsed().as_secs_f64(), whole, wrong: None }
}
