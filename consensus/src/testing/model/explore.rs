//! Breadth-first search over the states of a system. Each state is visited once; a violation comes with the
//! shortest sequence of actions that leads to it.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::{fmt, mem};

/// One way on from a state: an action, and the next state or the violation that the action is.
pub struct Step<S: System + ?Sized> {
    pub action: S::Action,
    pub outcome: Result<S::State, S::Violation>,
}

/// What is explored.
pub trait System {
    type State: Clone + Hash;
    type Action: Clone + fmt::Debug;
    type Violation: Clone + fmt::Debug;

    fn initial(&self) -> Self::State;

    fn successors(&self, state: &Self::State) -> Vec<Step<Self>>;

    /// What must hold in every state.
    fn check(&self, state: &Self::State) -> Result<(), Self::Violation>;
}

/// A violation and the actions that lead to it from the initial state.
pub struct Counterexample<S: System> {
    pub violation: S::Violation,
    pub trace: Vec<S::Action>,
}

/// The result of an exploration.
pub struct Report<S: System> {
    /// Distinct states that were checked.
    pub states: usize,
    /// Actions that were tried.
    pub transitions: usize,
    /// Actions from the initial state to the deepest state checked.
    pub depth: usize,
    /// Every reachable state was checked, rather than only the first ones up to the bound.
    pub complete: bool,
    pub counterexample: Option<Counterexample<S>>,
}

/// States are told apart by 64 bits of hash: at 100 million states the chance that any two coincide, and
/// one of them goes unseen, is one in 3,700.
type Fingerprint = u64;

/// Returns the fingerprint of a value.
pub fn fingerprint(value: &impl Hash) -> Fingerprint {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

struct Search<'a, S: System> {
    system: &'a S,
    /// Each state seen, and the one that it was first reached from.
    parents: HashMap<Fingerprint, Fingerprint>,
    frontier: Vec<S::State>,
    transitions: usize,
}

/// Checks every state that is reached before more than `bound` states are known.
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
    /// Goes one action further from every state of the frontier, which becomes the next one.
    fn expand_level(&mut self, bound: usize) -> Option<Counterexample<S>> {
        let mut next = Vec::new();
        let mut level = mem::take(&mut self.frontier).into_iter();
        while self.parents.len() < bound {
            let Some(state) = level.next() else { break };
            if let Err(counterexample) = self.expand(&state, &mut next) {
                return Some(counterexample);
            }
        }
        // What the bound left out keeps the exploration from being called complete.
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

    /// The actions that lead to a state. Only fingerprints were kept, so they are found by going the way again.
    fn trace(&self, to: Fingerprint) -> Vec<S::Action> {
        let mut path = vec![to];
        while let Some(parent) = self.parents.get(path.last().expect("a path")).filter(|parent| !path.contains(parent))
        {
            path.push(*parent);
        }
        let mut state = self.system.initial();
        let mut trace = Vec::new();
        for wanted in path.iter().rev().skip(1) {
            let steps = self.system.successors(&state);
            let reached = |step: &Step<S>| step.outcome.as_ref().is_ok_and(|next| fingerprint(next) == *wanted);
            let step = steps.into_iter().find(reached).expect("the path was gone before");
            trace.push(step.action);
            state = step.outcome.expect("a state");
        }
        trace
    }
}

#[cfg(test)]
#[path = "explore_tests.rs"]
mod tests;
