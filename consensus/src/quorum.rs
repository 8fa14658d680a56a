//! Quorums of the membership: majorities of its members, and joint ones while members are exchanged.

use protocol::message::{CoreMembership, Member};

/// The smallest number of acceptors that is more than half of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Is this address a member of the membership?
pub fn is_member(membership: &CoreMembership, address: &str) -> bool {
    membership.members.iter().any(|member| member.ip == address)
}

/// May responses of this address have counted in the membership or, until that is stable, in the one before?
pub fn is_old_or_new_member(membership: &CoreMembership, address: &str) -> bool {
    is_member(membership, address)
        || (!membership.stable && membership.previous_members.iter().any(|member| member.ip == address))
}

/// The addresses of the members.
pub fn addresses(membership: &CoreMembership) -> Vec<String> {
    membership.members.iter().map(|member| member.ip.clone()).collect()
}

/// Do these acceptors form a quorum of the membership?
///
/// Usually that is a majority of its members: majorities before and after one member more or less always
/// share an acceptor. While members are exchanged a majority of those before the change is needed too (a joint
/// quorum), since a majority of the old ones and one of the new ones may have no acceptor in common.
pub fn is_quorum(membership: &CoreMembership, acceptors: &[String]) -> bool {
    has_majority(&membership.members, acceptors)
        && (!is_exchange(membership) || has_majority(&membership.previous_members, acceptors))
}

/// Is the membership changing so that neither the old nor the new members include the others?
pub fn is_exchange(membership: &CoreMembership) -> bool {
    let missing =
        |of: &[Member], from: &[Member]| of.iter().any(|member| !from.iter().any(|other| other.ip == member.ip));
    !membership.stable
        && missing(&membership.previous_members, &membership.members)
        && missing(&membership.members, &membership.previous_members)
}

/// Do these acceptors include more than half of the members of one list?
pub fn has_majority(members: &[Member], acceptors: &[String]) -> bool {
    let count = members.iter().filter(|member| acceptors.contains(&member.ip)).count();
    count >= majority(members.len())
}

/// The members and, until the membership is stable, those before the change. One that is only among the latter
/// no longer votes, but is notified of the change and asked what it holds.
pub fn old_and_new_members(membership: &CoreMembership) -> Vec<String> {
    let mut list = addresses(membership);
    if membership.stable {
        return list;
    }
    for member in &membership.previous_members {
        if !list.contains(&member.ip) {
            list.push(member.ip.clone());
        }
    }
    list
}

#[cfg(test)]
#[path = "testing/unit/quorum_tests.rs"]
mod tests;
