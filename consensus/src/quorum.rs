//! Quorums of the core membership: majorities of its members, and joint quorums while a member is being replaced.

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

/// Returns whether responses from this address may have counted: it is a member or, while the membership is joint, a
/// previous member.
pub fn is_old_or_new_member(membership: &CoreMembership, address: &str) -> bool {
    is_member(membership, address) || (!membership.stable && contains(&membership.previous_members, address))
}

/// Returns the addresses of the members.
pub fn addresses(membership: &CoreMembership) -> Vec<String> {
    membership.members.iter().map(|member| member.ip.clone()).collect()
}

/// Returns whether these acceptors form a quorum.
///
/// Usually a quorum is a majority of the members: when a single member is added or removed, a majority before the
/// change and one after it always share an acceptor. While a member is being replaced, a majority of the previous
/// members is required too (a joint quorum), since a majority of the previous members and one of the new members may be
/// disjoint.
pub fn is_quorum(membership: &CoreMembership, acceptors: &[String]) -> bool {
    has_majority(&membership.members, acceptors)
        && (!is_replacement(membership) || has_majority(&membership.previous_members, acceptors))
}

/// Returns whether the membership is joint and replaces a member: each of its two lists has a member that the other
/// lacks.
pub fn is_replacement(membership: &CoreMembership) -> bool {
    let has_member_outside =
        |members: &[Member], others: &[Member]| members.iter().any(|member| !contains(others, &member.ip));
    !membership.stable
        && has_member_outside(&membership.previous_members, &membership.members)
        && has_member_outside(&membership.members, &membership.previous_members)
}

/// Returns whether these acceptors include more than half of the members of one list.
pub fn has_majority(members: &[Member], acceptors: &[String]) -> bool {
    let count = members.iter().filter(|member| acceptors.contains(&member.ip)).count();
    count >= majority(members.len())
}

/// Returns the addresses of the members and, while the membership is joint, those of the previous members. A member
/// that is being removed no longer votes, but is notified of the change and asked which keys it holds.
pub fn old_and_new_members(membership: &CoreMembership) -> Vec<String> {
    let mut recipients = addresses(membership);
    if membership.stable {
        return recipients;
    }
    for member in &membership.previous_members {
        if !recipients.contains(&member.ip) {
            recipients.push(member.ip.clone());
        }
    }
    recipients
}

#[cfg(test)]
#[path = "testing/unit/quorum_tests.rs"]
mod tests;
