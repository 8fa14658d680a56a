//! Decides which member to add, remove or replace, and tracks the transition to the new membership. Pure: performs no
//! I/O.
//!
//! A membership change takes two steps, each a committed entry of the register [`MEMBERSHIP_KEY`]. The first makes the
//! membership joint: both old and new members count. Before the second makes it stable, majorities of both must know
//! the joint membership, and every key that any of them holds must be committed again under it. Only then may the old
//! members be forgotten.

use std::collections::BTreeSet;

use protocol::message::{ConsensusResponse, CoreMembership, Member};

use crate::{quorum, MEMBERSHIP_KEY};

/// The time without a heartbeat after which a member counts as gone, in milliseconds.
pub const MEMBER_TIMEOUT_MS: u64 = 2500;

/// The health of a member as seen by this controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Time since its last heartbeat, in milliseconds.
    pub since_last_seen_ms: u64,
    /// Whether its last heartbeat is recent.
    pub live: bool,
    /// Whether it announced that it is shutting down.
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

/// The input of the decision on the next membership.
pub struct ClusterView<'a> {
    /// Returns the health of the member at an address.
    pub health: &'a dyn Fn(&str) -> Health,
    /// Live controllers that may become members and are not members yet.
    pub candidates: Vec<Member>,
    /// Whether every live controller supports joint quorums, so that a member may be replaced in one change.
    pub joint_quorums: bool,
}

/// Returns the next membership, if a change is due: a member that is gone is replaced by a candidate or, if the number
/// of members is even, removed; else a candidate is added.
///
/// Invariant: the members that stay are a quorum of the next membership.
pub fn next_membership(membership: &CoreMembership, view: &ClusterView) -> Option<CoreMembership> {
    let gone = membership.members.iter().find(|member| (view.health)(&member.ip).is_gone());
    let candidate = match gone {
        Some(gone) => view.candidates.iter().find(|candidate| candidate.zone == gone.zone).or(view.candidates.first()),
        None => view.candidates.first(),
    };
    let members = match (gone, candidate) {
        (Some(gone), Some(candidate)) if view.joint_quorums => with_replacement(membership, gone, candidate),
        (Some(gone), _) if membership.members.len().is_multiple_of(2) => without_member(membership, gone),
        (_, Some(candidate)) => with_member(membership, candidate),
        _ => return None,
    };
    let next = CoreMembership {
        version: membership.version + 1,
        members,
        previous_members: membership.members.clone(),
        stable: false,
    };
    can_complete(&next, view).then_some(next)
}

/// Returns whether the transition to this membership can complete: the members that stay must be a quorum of it, and
/// the live previous members, including those that are shutting down, must be able to commit it.
fn can_complete(next: &CoreMembership, view: &ClusterView) -> bool {
    let is_candidate = |address: &str| view.candidates.iter().any(|candidate| candidate.ip == address);
    let mut staying = Vec::new();
    let mut live = Vec::new();
    for address in quorum::old_and_new_members(next) {
        let health = (view.health)(&address);
        if health.is_staying() || is_candidate(&address) {
            staying.push(address.clone());
        }
        if health.live {
            live.push(address);
        }
    }
    quorum::is_quorum(next, &staying) && quorum::has_majority(&next.previous_members, &live)
}

fn without_member(membership: &CoreMembership, gone: &Member) -> Vec<Member> {
    membership.members.iter().filter(|member| *member != gone).cloned().collect()
}

fn with_member(membership: &CoreMembership, candidate: &Member) -> Vec<Member> {
    membership.members.iter().chain([candidate]).cloned().collect()
}

fn with_replacement(membership: &CoreMembership, gone: &Member, candidate: &Member) -> Vec<Member> {
    let mut members = without_member(membership, gone);
    members.push(candidate.clone());
    members
}

/// The transition from a joint membership to the stable one.
///
/// Invariant: once it is done, majorities of the old and the new members know the new membership, and every key that
/// any of them holds has been committed again under it.
pub struct MembershipTransition {
    membership: CoreMembership,
    informed: Vec<String>,
    keys: BTreeSet<String>,
    recommitted: BTreeSet<String>,
}

impl MembershipTransition {
    /// Starts the transition of a joint membership.
    pub fn new(membership: &CoreMembership) -> MembershipTransition {
        MembershipTransition {
            membership: membership.clone(),
            informed: Vec::new(),
            keys: [MEMBERSHIP_KEY.to_string()].into(),
            recommitted: BTreeSet::new(),
        }
    }

    /// Returns the joint membership.
    pub fn membership(&self) -> &CoreMembership {
        &self.membership
    }

    /// Records a response to a request that carried the joint membership.
    ///
    /// An acceptor that does not report its keys does not count: keys that only it and unreachable acceptors hold would
    /// not be committed again.
    pub fn record_response(&mut self, from: &str, response: &ConsensusResponse) {
        if let ConsensusResponse::Positions { positions } = response {
            self.record_keys(from, positions.iter().map(|position| position.key.clone()));
        }
    }

    /// Records that an acceptor knows the joint membership and holds these keys.
    fn record_keys(&mut self, from: &str, keys: impl IntoIterator<Item = String>) {
        self.keys.extend(keys);
        if !self.informed.iter().any(|informed| informed == from) {
            self.informed.push(from.into());
        }
    }

    /// Returns whether majorities of the old and the new members know the joint membership.
    pub fn is_known(&self) -> bool {
        let is_known_to = |members: &[Member]| quorum::has_majority(members, &self.informed);
        is_known_to(&self.membership.members) && is_known_to(&self.membership.previous_members)
    }

    /// Returns the keys that must still be committed again, in ascending order. Empty until the membership is known.
    pub fn remaining_keys(&self) -> Vec<String> {
        if !self.is_known() {
            return Vec::new();
        }
        self.keys.difference(&self.recommitted).cloned().collect()
    }

    /// Records that a key was committed again under the joint membership.
    pub fn mark_recommitted(&mut self, key: &str) {
        self.recommitted.insert(key.into());
    }

    /// Returns whether the membership may become stable.
    pub fn is_done(&self) -> bool {
        self.is_known() && self.remaining_keys().is_empty()
    }
}

/// Returns the stable membership that is committed once the transition is done.
pub fn stabilized(membership: &CoreMembership) -> CoreMembership {
    CoreMembership { stable: true, previous_members: Vec::new(), ..membership.clone() }
}

#[cfg(test)]
#[path = "testing/unit/reconfiguration_tests.rs"]
mod tests;
