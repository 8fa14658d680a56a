//! Which members the core is to have next, and the steps that settle a change: pure.

use std::collections::BTreeSet;

use protocol::message::{ConsensusResponse, CoreMembership, Member};

use crate::{quorum, MEMBERSHIP_KEY};

/// How long a member must be silent before it may be taken for gone.
pub const MEMBER_TIMEOUT_MS: u64 = 2500;

/// How a member of the core is heard here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    pub since_last_seen_ms: u64,
    /// Heard a moment ago.
    pub live: bool,
    /// It said that its process is about to end.
    pub shutting_down: bool,
}

impl Health {
    fn is_gone(self) -> bool {
        self.shutting_down || self.since_last_seen_ms > MEMBER_TIMEOUT_MS
    }

    fn is_staying(self) -> bool {
        self.live && !self.shutting_down
    }
}

/// What the next change of the core is decided on.
pub struct ClusterView<'a> {
    pub health: &'a dyn Fn(&str) -> Health,
    /// Live controllers that may be made members and aren't yet.
    pub candidates: Vec<Member>,
    /// Every live controller counts joint quorums, so that members may be exchanged in one change.
    pub joint_quorums: bool,
}

/// The next core, if any: a member that is gone exchanged for a candidate, one too many removed, or a
/// candidate added. Invariant: the members that stay are a quorum of the next core.
pub fn next_membership(core: &CoreMembership, view: &ClusterView) -> Option<CoreMembership> {
    let is_gone = core.members.iter().find(|member| (view.health)(&member.ip).is_gone());
    let candidate = match is_gone {
        Some(is_gone) => view.candidates.iter().find(|one| one.zone == is_gone.zone).or(view.candidates.first()),
        None => view.candidates.first(),
    };
    let list = match (is_gone, candidate) {
        (Some(is_gone), Some(candidate)) if view.joint_quorums => exchanged(core, is_gone, candidate),
        (Some(is_gone), _) if core.members.len().is_multiple_of(2) => without(core, is_gone),
        (_, Some(candidate)) => with(core, candidate),
        _ => return None,
    };
    let next_membership = CoreMembership {
        version: core.version + 1,
        members: list,
        previous_members: core.members.clone(),
        stable: false,
    };
    can_settle(&next_membership, view).then_some(next_membership)
}

/// Those that stay must be a quorum of the next core. Those before it must be able to commit it, and to hear
/// of it: one that is leaving still can.
fn can_settle(next_membership: &CoreMembership, view: &ClusterView) -> bool {
    let is_candidate = |address: &str| view.candidates.iter().any(|one| one.ip == address);
    let members = quorum::old_and_new_members(next_membership);
    let (mut staying, mut live) = (Vec::new(), Vec::new());
    for address in members {
        let health = (view.health)(&address);
        if health.is_staying() || is_candidate(&address) {
            staying.push(address.clone());
        }
        if health.live {
            live.push(address);
        }
    }
    quorum::is_quorum(next_membership, &staying) && quorum::has_majority(&next_membership.previous_members, &live)
}

fn without(core: &CoreMembership, is_gone: &Member) -> Vec<Member> {
    core.members.iter().filter(|member| *member != is_gone).cloned().collect()
}

fn with(core: &CoreMembership, candidate: &Member) -> Vec<Member> {
    core.members.iter().chain([candidate]).cloned().collect()
}

fn exchanged(core: &CoreMembership, is_gone: &Member, candidate: &Member) -> Vec<Member> {
    let mut list = without(core, is_gone);
    list.push(candidate.clone());
    list
}

/// The settling of a changed core. Invariant: before it is done, quorums of the old and the new members
/// know the new core, and every key that any of them held was committed again under it.
pub struct MembershipTransition {
    core: CoreMembership,
    knows: Vec<String>,
    keys: BTreeSet<String>,
    mark_recommitted: BTreeSet<String>,
}

impl MembershipTransition {
    pub fn new(core: &CoreMembership) -> MembershipTransition {
        let keys = [MEMBERSHIP_KEY.to_string()].into();
        MembershipTransition { core: core.clone(), knows: Vec::new(), keys, mark_recommitted: Default::default() }
    }

    pub fn membership(&self) -> &CoreMembership {
        &self.core
    }

    /// A voter answered a poll that carried the new core. One that did not say which keys it holds does not
    /// count: what only it and others out of touch hold would not be committed again.
    pub fn record_response(&mut self, from: &str, vote: &ConsensusResponse) {
        if let ConsensusResponse::Positions { positions: list } = vote {
            self.hear(from, list.iter().map(|held| held.key.clone()));
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
    pub fn remaining_keys(&self) -> Vec<String> {
        if !self.is_known() {
            return Vec::new();
        }
        self.keys.difference(&self.mark_recommitted).cloned().collect()
    }

    pub fn mark_recommitted(&mut self, key: &str) {
        self.mark_recommitted.insert(key.into());
    }

    pub fn is_done(&self) -> bool {
        self.is_known() && self.remaining_keys().is_empty()
    }
}

/// The core as it is committed once a settlement is done.
pub fn stabilized(core: &CoreMembership) -> CoreMembership {
    CoreMembership { stable: true, previous_members: Vec::new(), ..core.clone() }
}

#[cfg(test)]
#[path = "testing/unit/reconfiguration_tests.rs"]
mod tests;
