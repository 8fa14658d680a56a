//! Quorums of the core: majorities of its members, and joint ones while members are exchanged.

use protocol::message::{CoreMembership, Member};

/// The smallest number of voters that is more than half of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Is this address a member of the core?
pub fn is_member(core: &CoreMembership, address: &str) -> bool {
    core.members.iter().any(|member| member.ip == address)
}

/// May votes of this address have counted in the core or, until that is settled, in the one before?
pub fn is_old_or_new_member(core: &CoreMembership, address: &str) -> bool {
    is_member(core, address) || (!core.stable && core.previous_members.iter().any(|member| member.ip == address))
}

/// The addresses of the members.
pub fn addresses(core: &CoreMembership) -> Vec<String> {
    core.members.iter().map(|member| member.ip.clone()).collect()
}

/// Do these voters form a quorum of the core?
///
/// Usually that is a majority of its members: majorities before and after one member more or less always
/// share a voter. While members are exchanged a majority of those before the change is needed too (a joint
/// quorum), since a majority of the old ones and one of the new ones may have no voter in common.
pub fn is_quorum(core: &CoreMembership, voters: &[String]) -> bool {
    has_majority(&core.members, voters) && (!is_exchange(core) || has_majority(&core.previous_members, voters))
}

/// Is the core changing so that neither the old nor the new members include the others?
pub fn is_exchange(core: &CoreMembership) -> bool {
    let missing =
        |of: &[Member], from: &[Member]| of.iter().any(|member| !from.iter().any(|other| other.ip == member.ip));
    !core.stable && missing(&core.previous_members, &core.members) && missing(&core.members, &core.previous_members)
}

/// Do these voters include more than half of the members of one list?
pub fn has_majority(members: &[Member], voters: &[String]) -> bool {
    let count = members.iter().filter(|member| voters.contains(&member.ip)).count();
    count >= majority(members.len())
}

/// The members and, until the core is settled, those before the change. One that is only among the latter
/// no longer votes, but is told of the change and asked what it holds.
pub fn old_and_new_members(core: &CoreMembership) -> Vec<String> {
    let mut list = addresses(core);
    if core.stable {
        return list;
    }
    for member in &core.previous_members {
        if !list.contains(&member.ip) {
            list.push(member.ip.clone());
        }
    }
    list
}

#[cfg(test)]
#[path = "testing/unit/quorum_tests.rs"]
mod tests;
