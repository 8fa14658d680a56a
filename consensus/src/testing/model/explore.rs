//! Breadth-first search over the states of a system. Each state is visited once; a violation is returned with the
//! shortest sequence of actions that leads to it.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::{fmt, mem};

/// An action in a state, and the next state or the violation that results.
pub struct Step<S: System + ?Sized> {
    pub action: S::Action,
    pub outcome: Result<S::State, S::Violation>,
}

/// A system whose states can be explored.
pub trait System {
    type State: Clone + Hash;
    type Action: Clone + fmt::Debug;
    type Violation: Clone + fmt::Debug;

    fn initial(&self) -> Self::State;

    fn successors(&self, state: &Self::State) -> Vec<Step<Self>>;

    /// Checks the invariants of a state.
    fn check(&self, state: &Self::State) -> Result<(), Self::Violation>;
}

/// A violation and the actions that lead to it from the initial state.
pub struct Counterexample<S: System> {
    pub violation: S::Violation,
    pub trace: Vec<S::Action>,
}

/// The result of an exploration.
pub struct Report<S: System> {
    /// The number of distinct states that were checked.
    pub states: usize,
    /// The number of actions that were tried.
    pub transitions: usize,
    /// The number of actions from the initial state to the deepest state that was checked.
    pub depth: usize,
    /// Whether every reachable state was checked, rather than only the first ones up to the bound.
    pub complete: bool,
    pub counterexample: Option<Counterexample<S>>,
}

/// A 64-bit hash that identifies a state. At 100 million states the probability that any two collide, so that one of
/// them is not visited, is 1 in 3,700.
type Fingerprint = u64;

/// Returns the fingerprint of a value.
pub fn fingerprint(value: &impl Hash) -> Fingerprint {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

struct Search<'a, S: System> {
    system: &'a S,
    /// Each visited state, with the state from which it was first reached.
    parents: HashMap<Fingerprint, Fingerprint>,
    frontier: Vec<S::State>,
    transitions: usize,
}

/// Explores a system breadth-first until every state was checked, a violation was found, or `bound` states are known.
pub fn explore<S: System>(system: &S, bound: usize) -> Report<S> {
    let initial = system.initial();
    let first = fingerprint(&initial);
    let parents = HashMap::from([(first, first)]);
    let mut search = Search { system, parents, frontier: Vec::new(), transitions: 0 };
    let mut counterexample = match system.check(&initial) {
        Ok(()) => None,
        Err(violation) => Some(Counterexample { violation, trace: Vec::new() }),
    };
    search.frontier.push(initial);
    let mut depth = 0;
    while counterexample.is_none() && !search.frontier.is_empty() && search.parents.len() < bound {
        counterexample = search.expand_level(bound);
        depth += usize::from(!search.frontier.is_empty());
    }
    let complete = counterexample.is_none() && search.frontier.is_empty();
    Report { states: search.parents.len(), transitions: search.transitions, depth, complete, counterexample }
}

impl<S: System> Search<'_, S> {
    /// Expands every state of the frontier by one action and replaces the frontier by the new states.
    fn expand_level(&mut self, bound: usize) -> Option<Counterexample<S>> {
        let mut next = Vec::new();
        let mut level = mem::take(&mut self.frontier).into_iter();
        while self.parents.len() < bound {
            let Some(state) = level.next() else { break };
            if let Err(counterexample) = self.expand(&state, &mut next) {
                return Some(counterexample);
            }
        }
        // States that were not expanded because of the bound stay in the frontier, so that the exploration counts as
        // incomplete.
        next.extend(level);
        self.frontier = next;
        None
    }

    fn expand(&mut self, state: &S::State, next: &mut Vec<S::State>) -> Result<(), Counterexample<S>> {
        let from = fingerprint(state);
        for Step { action, outcome } in self.system.successors(state) {
            self.transitions += 1;
            let reached = match outcome {
                Ok(reached) => reached,
                Err(violation) => return Err(self.counterexample(from, action, violation)),
            };
            let to = fingerprint(&reached);
            if self.parents.contains_key(&to) {
                continue;
            }
            self.parents.insert(to, from);
            if let Err(violation) = self.system.check(&reached) {
                return Err(self.counterexample(from, action, violation));
            }
            next.push(reached);
        }
        Ok(())
    }

    fn counterexample(&self, from: Fingerprint, last: S::Action, violation: S::Violation) -> Counterexample<S> {
        let mut trace = self.trace(from);
        trace.push(last);
        Counterexample { violation, trace }
    }

    /// Returns the actions that lead to a state. Only fingerprints were kept, so the actions are found by replaying the
    /// path from the initial state.
    fn trace(&self, to: Fingerprint) -> Vec<S::Action> {
        let mut path = vec![to];
        while let Some(parent) =
            self.parents.get(path.last().expect("the path is not empty")).filter(|parent| !path.contains(parent))
        {
            path.push(*parent);
        }
        let mut state = self.system.initial();
        let mut trace = Vec::new();
        for target in path.iter().rev().skip(1) {
            let steps = self.system.successors(&state);
            let reached = |step: &Step<S>| step.outcome.as_ref().is_ok_and(|next| fingerprint(next) == *target);
            let step = steps.into_iter().find(reached).expect("the path was taken before");
            trace.push(step.action);
            state = step.outcome.expect("the step leads to a state");
        }
        trace
    }
}

#[cfg(test)]
#[path = "explore_tests.rs"]
mod tests;
