//! What operators were told, and whether it holds together.

use std::collections::{BTreeMap, BTreeSet};

use protocol::config;

use super::bodies;
use super::operator::{ActionId, Answer, OperatorAction};
use crate::config::body::{self, StoredConfig};

/// A change that an operator knows to be taken.
#[derive(Clone, Copy, Debug)]
struct Acknowledged {
    time: u64,
    base: u64,
    revision: u64,
    digest: [u8; 16],
}

/// Everything that is checked, as it happened. Broken promises are listed in `violations`.
#[derive(Default)]
pub struct History {
    actions: BTreeMap<ActionId, OperatorAction>,
    /// The newest revision known to be taken when a read was first sent.
    read_floor: BTreeMap<ActionId, u64>,
    rejected: Vec<ActionId>,
    /// Changes that must never be taken.
    invalid: BTreeSet<ActionId>,
    acknowledged: Vec<Acknowledged>,
    /// The evacuation that was acknowledged last, and when; None while another is under way.
    evacuation: Option<(u64, bool)>,
    pub reads: usize,
    pub violations: Vec<String>,
}

fn contains_change(config: &StoredConfig, digest: &[u8; 16]) -> bool {
    config.changes.iter().any(|stored| stored.digest == *digest)
}

fn revision(action: &OperatorAction) -> u64 {
    let OperatorAction::Change(change) = action else { return 0 };
    bodies::revision(change)
}

impl History {
    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    fn newest(&self) -> u64 {
        self.acknowledged.iter().map(|change| change.revision).max().unwrap_or(0)
    }

    pub fn record_start(&mut self, action_id: ActionId, action: OperatorAction) {
        if matches!(action, OperatorAction::Evacuate(_)) {
            self.evacuation = None;
        }
        self.read_floor.insert(action_id, self.newest());
        self.actions.insert(action_id, action);
    }

    /// An order is sent that must never be taken.
    pub fn record_invalid(&mut self, action_id: ActionId) {
        self.invalid.insert(action_id);
    }

    /// A controller answered, whether or not the answer arrives.
    pub fn record_answer(&mut self, action_id: ActionId, answer: &Answer) {
        if *answer == Answer::Rejected {
            self.rejected.push(action_id);
        }
        if *answer == Answer::Done && self.invalid.contains(&action_id) {
            self.violations.push(format!("{action_id:?}: an invalid change was acknowledged"));
        }
    }

    /// The operator got this answer.
    pub fn record_received_answer(&mut self, action_id: ActionId, answer: &Answer, now: u64) {
        let Some(action) = self.actions.get(&action_id) else { return };
        match (action, answer) {
            (OperatorAction::Change(change), Answer::Done) => {
                let (base, digest) = (change.base, body::change_digest(change));
                let same_base = self.acknowledged.iter().find(|change| change.base == base && change.digest != digest);
                if same_base.is_some() {
                    self.violations.push(format!("{now}: two changes of version {base} were acknowledged"));
                }
                let revision = revision(action);
                self.acknowledged.push(Acknowledged { time: now, base, revision, digest });
            }
            (OperatorAction::Evacuate(on), Answer::Done) => self.evacuation = Some((now, *on)),
            (OperatorAction::Read, Answer::Found { revision, .. }) => {
                self.reads += 1;
                let floor = self.read_floor[&action_id];
                if *revision < floor {
                    self.violations.push(format!("{now}: a read found version {revision}, {floor} was acknowledged"));
                }
            }
            _ => {}
        }
    }

    /// A controller says that what it knows was confirmed at `confirmed`: nothing acknowledged by then is missing.
    pub fn check_confirmed(&mut self, index: usize, confirmed: u64, config: &StoredConfig, evacuated: bool) {
        let before = self.acknowledged.iter().filter(|change| change.time <= confirmed);
        let newest = before.map(|change| change.revision).max().unwrap_or(0);
        if config.revision < newest {
            let violation =
                format!("{confirmed}: controller {index} confirms version {}, {newest} is known", config.revision);
            self.violations.push(violation);
        }
        if let Some((_, on)) = self.evacuation.filter(|(time, on)| *time <= confirmed && *on != evacuated) {
            self.violations
                .push(format!("{confirmed}: controller {index} confirms evacuation {evacuated}, {on} is known"));
        }
    }

    /// What was acknowledged is there at the end, and what is there was never refused.
    pub fn check_end(&mut self, last: &StoredConfig) {
        if last.revision > 0 {
            match config::read(&last.text) {
                Ok(config) if config.revision == last.revision => {}
                other => self.violations.push(format!("version {} reads as {other:?}", last.revision)),
            }
        }
        for action_id in &self.invalid {
            let Some(OperatorAction::Change(change)) = self.actions.get(action_id) else { continue };
            if contains_change(last, &body::change_digest(change)) {
                self.violations.push(format!("{action_id:?}: an invalid change is in force"));
            }
        }
        for change in &self.acknowledged {
            if change.revision > last.revision || !contains_change(last, &change.digest) {
                self.violations
                    .push(format!("version {} was acknowledged and is not in {}", change.revision, last.revision));
            }
        }
        for action_id in &self.rejected {
            let Some(OperatorAction::Change(change)) = self.actions.get(action_id) else { continue };
            if contains_change(last, &body::change_digest(change)) {
                self.violations.push(format!("a change of version {} was taken and refused", change.base));
            }
        }
    }
}
