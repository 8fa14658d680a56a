//! What operators were told, and whether it holds together.

use std::collections::{BTreeMap, BTreeSet};

use protocol::config;

use super::bodies;
use super::operator::{Answer, Attempt, OperatorAction};
use crate::config::body::{self, StoredConfig};

/// A change that an operator knows to be taken.
#[derive(Clone, Copy, Debug)]
struct Acknowledged {
    at: u64,
    base: u64,
    revision: u64,
    digest: [u8; 16],
}

/// Everything that is checked, as it happened. Broken promises are listed in `violations`.
#[derive(Default)]
pub struct History {
    orders: BTreeMap<Attempt, OperatorAction>,
    /// The newest revision known to be taken when a read was first sent.
    read_floor: BTreeMap<Attempt, u64>,
    refused: Vec<Attempt>,
    /// Changes that must never be taken.
    invalid: BTreeSet<Attempt>,
    acknowledged: Vec<Acknowledged>,
    /// The evacuation that was acknowledged last, and when; None while another is under way.
    evacuation: Option<(u64, bool)>,
    pub reads: usize,
    pub violations: Vec<String>,
}

fn is_taken(held: &StoredConfig, digest: &[u8; 16]) -> bool {
    held.changes.iter().any(|taken| taken.digest == *digest)
}

fn revision(order: &OperatorAction) -> u64 {
    let OperatorAction::Change(change) = order else { return 0 };
    bodies::revision(change)
}

impl History {
    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    fn newest(&self) -> u64 {
        self.acknowledged.iter().map(|one| one.revision).max().unwrap_or(0)
    }

    pub fn begun(&mut self, attempt: Attempt, order: OperatorAction) {
        if matches!(order, OperatorAction::Evacuate(_)) {
            self.evacuation = None;
        }
        self.read_floor.insert(attempt, self.newest());
        self.orders.insert(attempt, order);
    }

    /// An order is sent that must never be taken.
    pub fn invalid(&mut self, attempt: Attempt) {
        self.invalid.insert(attempt);
    }

    /// A controller answered, whether or not the answer arrives.
    pub fn answered(&mut self, attempt: Attempt, answer: &Answer) {
        if *answer == Answer::Refused {
            self.refused.push(attempt);
        }
        if *answer == Answer::Good && self.invalid.contains(&attempt) {
            self.violations.push(format!("{attempt:?}: an invalid change was acknowledged"));
        }
    }

    /// The operator got this answer.
    pub fn heard(&mut self, attempt: Attempt, answer: &Answer, now: u64) {
        let Some(order) = self.orders.get(&attempt) else { return };
        match (order, answer) {
            (OperatorAction::Change(change), Answer::Good) => {
                let (base, digest) = (change.base, body::change_digest(change));
                let same_base = self.acknowledged.iter().find(|one| one.base == base && one.digest != digest);
                if same_base.is_some() {
                    self.violations.push(format!("{now}: two changes of version {base} were acknowledged"));
                }
                let revision = revision(order);
                self.acknowledged.push(Acknowledged { at: now, base, revision, digest });
            }
            (OperatorAction::Evacuate(on), Answer::Good) => self.evacuation = Some((now, *on)),
            (OperatorAction::Read, Answer::Found { revision, .. }) => {
                self.reads += 1;
                let floor = self.read_floor[&attempt];
                if *revision < floor {
                    self.violations.push(format!("{now}: a read found version {revision}, {floor} was acknowledged"));
                }
            }
            _ => {}
        }
    }

    /// A controller says that what it knows was confirmed at `confirmed`: nothing acknowledged by then is missing.
    pub fn check_confirmed(&mut self, at: usize, confirmed: u64, config: &StoredConfig, evacuated: bool) {
        let before = self.acknowledged.iter().filter(|one| one.at <= confirmed);
        let newest = before.map(|one| one.revision).max().unwrap_or(0);
        if config.revision < newest {
            let words = format!("{confirmed}: controller {at} confirms version {}, {newest} is known", config.revision);
            self.violations.push(words);
        }
        if let Some((_, on)) = self.evacuation.filter(|(time, on)| *time <= confirmed && *on != evacuated) {
            self.violations
                .push(format!("{confirmed}: controller {at} confirms evacuation {evacuated}, {on} is known"));
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
        for attempt in &self.invalid {
            let Some(OperatorAction::Change(change)) = self.orders.get(attempt) else { continue };
            if is_taken(last, &body::change_digest(change)) {
                self.violations.push(format!("{attempt:?}: an invalid change is in force"));
            }
        }
        for one in &self.acknowledged {
            if one.revision > last.revision || !is_taken(last, &one.digest) {
                self.violations
                    .push(format!("version {} was acknowledged and is not in {}", one.revision, last.revision));
            }
        }
        for attempt in &self.refused {
            let Some(OperatorAction::Change(change)) = self.orders.get(attempt) else { continue };
            if is_taken(last, &body::change_digest(change)) {
                self.violations.push(format!("a change of version {} was taken and refused", change.base));
            }
        }
    }
}
