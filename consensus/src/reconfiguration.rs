//! Which members the membership is to have next, and the steps that settle a change: pure.

use std::collections::BTreeSet;

use protocol::message::{ConsensusResponse, CoreMembership, Member};

use crate::{quorum, MEMBERSHIP_KEY};

/// How long a member must be silent before it may be taken for gone.
pub const MEMBER_TIMEOUT_MS: u64 = 2500;

/// How a member of the membership is heard here.
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

/// What the next change of the membership is decided on.
pub struct ClusterView<'a> {
    pub health: &'a dyn Fn(&str) -> Health,
    /// Live controllers that may be made members and aren't yet.
    pub candidates: Vec<Member>,
    /// Every live controller counts joint quorums, so that members may be exchanged in one change.
    pub joint_quorums: bool,
}

/// The next membership, if any: a member that is gone exchanged for a candidate, one too many removed, or a
/// candidate added. Invariant: the members that stay are a quorum of the next membership.
pub fn next_membership(membership: &CoreMembership, view: &ClusterView) -> Option<CoreMembership> {
    let is_gone = membership.members.iter().find(|member| (view.health)(&member.ip).is_gone());
    let candidate = match is_gone {
        Some(is_gone) => view.candidates.iter().find(|one| one.zone == is_gone.zone).or(view.candidates.first()),
        None => view.candidates.first(),
    };
    let list = match (is_gone, candidate) {
        (Some(is_gone), Some(candidate)) if view.joint_quorums => exchanged(membership, is_gone, candidate),
        (Some(is_gone), _) if membership.members.len().is_multiple_of(2) => without(membership, is_gone),
        (_, Some(candidate)) => with(membership, candidate),
        _ => return None,
    };
    let next_membership = CoreMembership {
        version: membership.version + 1,
        members: list,
        previous_members: membership.members.clone(),
        stable: false,
    };
    can_settle(&next_membership, view).then_some(next_membership)
}

/// Those that stay must be a quorum of the next membership. Those before it must be able to commit it, and to hear
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

fn without(membership: &CoreMembership, is_gone: &Member) -> Vec<Member> {
    membership.members.iter().filter(|member| *member != is_gone).cloned().collect()
}

fn with(membership: &CoreMembership, candidate: &Member) -> Vec<Member> {
    membership.members.iter().chain([candidate]).cloned().collect()
}

fn exchanged(membership: &CoreMembership, is_gone: &Member, candidate: &Member) -> Vec<Member> {
    let mut list = without(membership, is_gone);
    list.push(candidate.clone());
    list
}

/// The settling of a changed membership. Invariant: before it is done, quorums of the old and the new members
/// know the new membership, and every key that any of them held was committed again under it.
pub struct MembershipTransition {
    membership: CoreMembership,
    informed: Vec<String>,
    keys: BTreeSet<String>,
    mark_recommitted: BTreeSet<String>,
}

impl MembershipTransition {
    pub fn new(membership: &CoreMembership) -> MembershipTransition {
        let keys = [MEMBERSHIP_KEY.to_string()].into();
        MembershipTransition {
            membership: membership.clone(),
            informed: Vec::new(),
            keys,
            mark_recommitted: Default::default(),
        }
    }

    pub fn membership(&self) -> &CoreMembership {
        &self.membership
    }

    /// An acceptor answered a request that carried the new membership. One that did not say which keys it holds does not
    /// count: what only it and others out of touch hold would not be committed again.
    pub fn record_response(&mut self, from: &str, response: &ConsensusResponse) {
        if let ConsensusResponse::Positions { positions: list } = response {
            self.record_keys(from, list.iter().map(|held| held.key.clone()));
        }
    }

    /// An acceptor knows the new membership, and told its keys.
    fn record_keys(&mut self, from: &str, keys: impl IntoIterator<Item = String>) {
        self.keys.extend(keys);
        if !self.informed.iter().any(|known| known == from) {
            self.informed.push(from.into());
        }
    }

    /// Do quorums of the old and the new members know the membership?
    pub fn is_known(&self) -> bool {
        let known_to = |members: &[Member]| quorum::has_majority(members, &self.informed);
        known_to(&self.membership.members) && known_to(&self.membership.previous_members)
    }

    /// What must still be committed under the new membership. Empty until the membership is known.
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

/// The membership as it is committed once a transition is done.
pub fn stabilized(membership: &CoreMembership) -> CoreMembership {
    CoreMembership { stable: true, previous_members: Vec::new(), ..membership.clone() }
}

#[cfg(test)]
#[path = "testing/unit/reconfiguration_tests.rs"]
mod tests;
