//! Quorums of the core membership: majorities of its members, and joint ones while members are exchanged.

use protocol::message::{CoreMembership, Member};

/// Returns the smallest number of acceptors that is more than half of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Returns whether the list has a member at this address.
fn contains(members: &[Member], address: &str) -> bool {
    members.iter().any(|member| member.ip == address)
}

/// Returns whether this address is a member.
pub fn is_member(membership: &CoreMembership, address: &str) -> bool {
    contains(&membership.members, address)
}

/// Returns whether responses of this address may have counted: it is a member or, while the membership is joint, a
/// previous one.
pub fn is_old_or_new_member(membership: &CoreMembership, address: &str) -> bool {
    is_member(membership, address) || (!membership.stable && contains(&membership.previous_members, address))
}

/// Returns the addresses of the members.
pub fn addresses(membership: &CoreMembership) -> Vec<String> {
    membership.members.iter().map(|member| member.ip.clone()).collect()
}

/// Returns whether these acceptors form a quorum.
///
/// Usually that is a majority of the members: majorities before and after one member more or less always share an
/// acceptor. While members are exchanged a majority of the previous members is needed too (a joint quorum), since a
/// majority of the previous ones and one of the new ones may have no acceptor in common.
pub fn is_quorum(membership: &CoreMembership, acceptors: &[String]) -> bool {
    has_majority(&membership.members, acceptors)
        && (!is_exchange(membership) || has_majority(&membership.previous_members, acceptors))
}

/// Returns whether the membership is joint, and neither the previous nor the new members include the others.
pub fn is_exchange(membership: &CoreMembership) -> bool {
    let is_missing = |members: &[Member], others: &[Member]| members.iter().any(|member| !contains(others, &member.ip));
    !membership.stable
        && is_missing(&membership.previous_members, &membership.members)
        && is_missing(&membership.members, &membership.previous_members)
}

/// Returns whether these acceptors include more than half of the members of one list.
pub fn has_majority(members: &[Member], acceptors: &[String]) -> bool {
    let count = members.iter().filter(|member| acceptors.contains(&member.ip)).count();
    count >= majority(members.len())
}

/// Returns the addresses of the members and, while the membership is joint, those of the previous members. One that
/// is only among the latter no longer votes, but is notified of the change and asked what it holds.
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
