//! An exhaustive, bounded model check of agreement.
//!
//! The explorer visits every state that a small cluster can reach: each request reaches each acceptor at any time, in
//! any order, more than once or never; responses are counted late or never; proposers and acceptors restart, disks
//! are lost and members change. What responds, counts responses and decides is the production code: `Acceptor`,
//! `Proposal` with `Round`, `quorum` and `reconfiguration`. Only what carries them (network, disk, clock, clients)
//! is modelled here. `docs/consensus.md` says what is checked, what was left out and why that loses nothing.

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

/// A scenario together with what is computed once for all its states.
pub struct Model {
    scenario: Scenario,
    addresses: Vec<String>,
    memberships: check::MembershipCache,
    answers: voting::AnswerCache,
    /// Contents of disks from which progress was shown.
    progressed: RefCell<HashSet<u64>>,
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
            progressed: Default::default(),
        }
    }

    fn has(&self, defect: scenario::Defect) -> bool {
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
        let mut list = Vec::new();
        self.propose(state, &mut list);
        self.deliver_requests(state, &mut list);
        self.recover(state, &mut list);
        self.change_membership(state, &mut list);
        for successor in &mut list {
            if let Ok(next) = &mut successor.outcome {
                self.normalize(next);
            }
        }
        list
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
