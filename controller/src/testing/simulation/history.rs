//! Records the answers that operators got, and checks that they are consistent.

use std::collections::{BTreeMap, BTreeSet};

use protocol::config;

use super::bodies;
use super::operator::{ActionId, Answer, OperatorAction};
use crate::config::body::{self, StoredConfig};

/// A change whose commit an operator knows of.
#[derive(Clone, Copy, Debug)]
struct Acknowledged {
    time: u64,
    base: u64,
    revision: u64,
    digest: [u8; 16],
}

/// The recorded history. Violated guarantees are listed in `violations`.
#[derive(Default)]
pub struct History {
    actions: BTreeMap<ActionId, OperatorAction>,
    /// The newest acknowledged revision at the time when an action was first sent.
    read_floor: BTreeMap<ActionId, u64>,
    rejected: Vec<ActionId>,
    /// Changes that must never be committed.
    invalid: BTreeSet<ActionId>,
    acknowledged: Vec<Acknowledged>,
    /// The evacuation that was acknowledged last, and when. `None` while another one is in progress.
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

    /// Records that an action contains a change that must never be committed.
    pub fn record_invalid(&mut self, action_id: ActionId) {
        self.invalid.insert(action_id);
    }

    /// Records an answer that a controller gave, whether or not it reaches the operator.
    pub fn record_answer(&mut self, action_id: ActionId, answer: &Answer) {
        if *answer == Answer::Rejected {
            self.rejected.push(action_id);
        }
        if *answer == Answer::Done && self.invalid.contains(&action_id) {
            self.violations.push(format!("{action_id:?}: an invalid change was acknowledged"));
        }
    }

    /// Records an answer that reached the operator, and checks it.
    pub fn record_received_answer(&mut self, action_id: ActionId, answer: &Answer, now: u64) {
        let Some(action) = self.actions.get(&action_id) else { return };
        match (action, answer) {
            (OperatorAction::Change(change), Answer::Done) => {
                let (base, digest) = (change.base, body::change_digest(change));
                let same_base = self.acknowledged.iter().find(|change| change.base == base && change.digest != digest);
                if same_base.is_some() {
                    self.violations.push(format!("{now}: two changes on top of revision {base} were acknowledged"));
                }
                let revision = revision(action);
                self.acknowledged.push(Acknowledged { time: now, base, revision, digest });
            }
            (OperatorAction::Evacuate(on), Answer::Done) => self.evacuation = Some((now, *on)),
            (OperatorAction::Read, Answer::Found { revision, .. }) => {
                self.reads += 1;
                let floor = self.read_floor[&action_id];
                if *revision < floor {
                    self.violations
                        .push(format!("{now}: a read returned revision {revision} after {floor} was acknowledged"));
                }
            }
            _ => {}
        }
    }

    /// Checks that a controller whose state was confirmed at `confirmed` knows every change acknowledged by then.
    pub fn check_confirmed(&mut self, index: usize, confirmed: u64, config: &StoredConfig, evacuated: bool) {
        let before = self.acknowledged.iter().filter(|change| change.time <= confirmed);
        let newest = before.map(|change| change.revision).max().unwrap_or(0);
        if config.revision < newest {
            let violation = format!(
                "{confirmed}: controller {index} confirms revision {}, but {newest} was acknowledged",
                config.revision
            );
            self.violations.push(violation);
        }
        if let Some((_, on)) = self.evacuation.filter(|(time, on)| *time <= confirmed && *on != evacuated) {
            self.violations.push(format!(
                "{confirmed}: controller {index} confirms evacuation {evacuated}, but {on} was acknowledged"
            ));
        }
    }

    /// Checks that the final configuration contains all acknowledged changes and no rejected or invalid one.
    pub fn check_end(&mut self, last: &StoredConfig) {
        if last.revision > 0 {
            match config::read(&last.text) {
                Ok(config) if config.revision == last.revision => {}
                other => self.violations.push(format!("revision {} is parsed as {other:?}", last.revision)),
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
                self.violations.push(format!(
                    "revision {} was acknowledged but is missing in revision {}",
                    change.revision, last.revision
                ));
            }
        }
        for action_id in &self.rejected {
            let Some(OperatorAction::Change(change)) = self.actions.get(action_id) else { continue };
            if contains_change(last, &body::change_digest(change)) {
                self.violations.push(format!("a change on top of revision {} was committed and rejected", change.base));
            }
        }
    }
}
