//! Which members the core is to have next, and the steps that settle a change: pure.

use std::collections::BTreeSet;

use protocol::message::{ConsensusResponse, CoreMembership, Member};

use crate::{quorum, CORE};

/// How long a member must be silent before it may be taken for gone.
pub const GONE_MS: u64 = 2500;

/// How a member of the core is heard here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    pub silent_ms: u64,
    /// Heard a moment ago.
    pub live: bool,
    /// It said that its process is about to end.
    pub leaving: bool,
}

impl Health {
    fn gone(self) -> bool {
        self.leaving || self.silent_ms > GONE_MS
    }

    fn stays(self) -> bool {
        self.live && !self.leaving
    }
}

/// What the next change of the core is decided on.
pub struct View<'a> {
    pub health: &'a dyn Fn(&str) -> Health,
    /// Live controllers that may be made members and aren't yet.
    pub candidates: Vec<Member>,
    /// Every live controller counts joint quorums, so that members may be exchanged in one change.
    pub joint: bool,
}

/// The next core, if any: a member that is gone exchanged for a candidate, one too many removed, or a
/// candidate added. Invariant: the members that stay are a quorum of the next core.
pub fn next(core: &CoreMembership, view: &View) -> Option<CoreMembership> {
    let gone = core.members.iter().find(|member| (view.health)(&member.ip).gone());
    let candidate = match gone {
        Some(gone) => view.candidates.iter().find(|one| one.zone == gone.zone).or(view.candidates.first()),
        None => view.candidates.first(),
    };
    let list = match (gone, candidate) {
        (Some(gone), Some(candidate)) if view.joint => exchanged(core, gone, candidate),
        (Some(gone), _) if core.members.len().is_multiple_of(2) => without(core, gone),
        (_, Some(candidate)) => with(core, candidate),
        _ => return None,
    };
    let next = CoreMembership {
        version: core.version + 1,
        members: list,
        previous_members: core.members.clone(),
        stable: false,
    };
    can_settle(&next, view).then_some(next)
}

/// Those that stay must be a quorum of the next core. Those before it must be able to commit it, and to hear
/// of it: one that is leaving still can.
fn can_settle(next: &CoreMembership, view: &View) -> bool {
    let is_candidate = |address: &str| view.candidates.iter().any(|one| one.ip == address);
    let members = quorum::old_and_new_members(next);
    let (mut staying, mut live) = (Vec::new(), Vec::new());
    for address in members {
        let health = (view.health)(&address);
        if health.stays() || is_candidate(&address) {
            staying.push(address.clone());
        }
        if health.live {
            live.push(address);
        }
    }
    quorum::is_quorum(next, &staying) && quorum::has_majority(&next.previous_members, &live)
}

fn without(core: &CoreMembership, gone: &Member) -> Vec<Member> {
    core.members.iter().filter(|member| *member != gone).cloned().collect()
}

fn with(core: &CoreMembership, candidate: &Member) -> Vec<Member> {
    core.members.iter().chain([candidate]).cloned().collect()
}

fn exchanged(core: &CoreMembership, gone: &Member, candidate: &Member) -> Vec<Member> {
    let mut list = without(core, gone);
    list.push(candidate.clone());
    list
}

/// The settling of a changed core. Invariant: before it is done, quorums of the old and the new members
/// know the new core, and every key that any of them held was committed again under it.
pub struct Settlement {
    core: CoreMembership,
    knows: Vec<String>,
    keys: BTreeSet<String>,
    renewed: BTreeSet<String>,
}

impl Settlement {
    pub fn new(core: &CoreMembership) -> Settlement {
        let keys = [CORE.to_string()].into();
        Settlement { core: core.clone(), knows: Vec::new(), keys, renewed: Default::default() }
    }

    pub fn core(&self) -> &CoreMembership {
        &self.core
    }

    /// A voter answered a poll that carried the new core. One that did not say which keys it holds does not
    /// count: what only it and others out of touch hold would not be committed again.
    pub fn hear_vote(&mut self, from: &str, vote: &ConsensusResponse) {
        if let ConsensusResponse::Positions { list } = vote {
            self.hear(from, list.iter().map(|(key, _, _)| key.clone()));
        }
    }

    /// A voter knows the new core, and told its keys.
    fn hear(&mut self, from: &str, keys: impl IntoIterator<Item = String>) {
        self.keys.extend(keys);
        if !self.knows.iter().any(|known| known == from) {
            self.knows.push(from.into());
        }
    }

    /// Do quorums of the old and the new members know the core?
    pub fn is_known(&self) -> bool {
        let known_to = |members: &[Member]| quorum::has_majority(members, &self.knows);
        known_to(&self.core.members) && known_to(&self.core.previous_members)
    }

    /// What must still be committed under the new core. Empty until the core is known.
    pub fn left(&self) -> Vec<String> {
        if !self.is_known() {
            return Vec::new();
        }
        self.keys.difference(&self.renewed).cloned().collect()
    }

    pub fn renewed(&mut self, key: &str) {
        self.renewed.insert(key.into());
    }

    pub fn is_done(&self) -> bool {
        self.is_known() && self.left().is_empty()
    }
}

/// The core as it is committed once a settlement is done.
pub fn settled(core: &CoreMembership) -> CoreMembership {
    CoreMembership { stable: true, previous_members: Vec::new(), ..core.clone() }
}

#[cfg(test)]
#[path = "membership_tests.rs"]
mod tests;
