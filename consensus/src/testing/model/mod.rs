//! An exhaustive, bounded model check of agreement.
//!
//! The explorer visits every state that a small cluster can reach: each request reaches each acceptor at any time, in
//! any order, more than once or never; responses are counted late or never; proposers and acceptors restart, disks
//! are lost and members change. The protocol logic is the production code: `Acceptor`, `Proposal` with `Round`,
//! `quorum` and `reconfiguration`. Only its environment (network, disk, clock, clients) is modelled here.
//! `docs/consensus.md` describes what is checked, what is left out and why that hides no violation.

use std::cell::RefCell;
use std::collections::HashSet;

use action::{Action, Successor};
use scenario::Scenario;
use state::State;
use violation::Violation;

mod action;
mod changing_membership;
mod check;
mod ending;
mod explore;
mod machines;
mod progress;
mod proposing;
mod recovering;
mod scenario;
mod shared;
mod state;
mod symmetry;
mod violation;
mod voting;

/// The key whose history is checked.
const KEY: &str = "k";

/// A scenario, with caches of what is computed once for all its states.
pub struct Model {
    scenario: Scenario,
    addresses: Vec<String>,
    memberships: check::MembershipCache,
    answers: voting::AnswerCache,
    /// Hashes of the disk contents for which progress was checked.
    checked_progress: RefCell<HashSet<u64>>,
}

impl Model {
    /// Prepares the exploration of a scenario.
    pub fn new(scenario: Scenario) -> Model {
        let addresses = (0..scenario.machines).map(machines::address).collect();
        Model {
            scenario,
            addresses,
            memberships: Default::default(),
            answers: Default::default(),
            checked_progress: Default::default(),
        }
    }

    fn has_defect(&self, defect: scenario::Defect) -> bool {
        self.scenario.defect == Some(defect)
    }
}

impl explore::System for Model {
    type State = State;
    type Action = Action;
    type Violation = Violation;

    fn initial(&self) -> State {
        let mut state = self.initial_state();
        self.normalize(&mut state);
        state
    }

    fn successors(&self, state: &State) -> Vec<Successor> {
        let mut successors = Vec::new();
        self.propose(state, &mut successors);
        self.deliver_requests(state, &mut successors);
        self.recover(state, &mut successors);
        self.change_membership(state, &mut successors);
        for successor in &mut successors {
            if let Ok(next) = &mut successor.outcome {
                self.normalize(next);
            }
        }
        successors
    }

    fn check(&self, state: &State) -> Result<(), Violation> {
        self.check_positions(state)?;
        self.check_owners(state)?;
        self.check_quorum_reads(state)?;
        self.check_progress(state)
    }
}

#[cfg(test)]
mod runs;

#[cfg(test)]
#[path = "register_tests.rs"]
mod register_tests;

#[cfg(test)]
#[path = "membership_tests.rs"]
mod membership_tests;

#[cfg(test)]
#[path = "defect_tests.rs"]
mod defect_tests;
