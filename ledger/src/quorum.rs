//! Quorums of the core: simple majorities while it is settled, joint majorities while it changes.

/// The smallest number of voters that is more than half of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Is this address a member of the core?
pub fn is_member(core: &wire::msg::Core, address: &str) -> bool {
    core.list.iter().any(|member| member.ip == address)
}

/// Do these voters form a quorum of the core?
///
/// A settled core needs a majority of its members. One that is changing needs a majority of the members
/// before the change too (a joint quorum), so that a quorum of the old core and one of the new always
/// share a voter, whatever members were exchanged.
pub fn is_quorum(core: &wire::msg::Core, voters: &[String]) -> bool {
    has_majority(&core.list, voters) && (core.settled || has_majority(&core.prev, voters))
}

/// Do these voters include more than half of the members of one list?
pub fn has_majority(members: &[wire::msg::Member], voters: &[String]) -> bool {
    let count = members.iter().filter(|member| voters.contains(&member.ip)).count();
    count >= majority(members.len())
}

/// The members and, until the core is settled, those before the change. One that is only among the latter
/// no longer votes, but is told of the change and asked what it holds.
pub fn old_and_new_members(core: &wire::msg::Core) -> Vec<String> {
    let mut list: Vec<String> = core.list.iter().map(|member| member.ip.clone()).collect();
    if core.settled {
        return list;
    }
    for member in &core.prev {
        if !list.contains(&member.ip) {
            list.push(member.ip.clone());
        }
    }
    list
}

#[cfg(test)]
#[path = "quorum_tests.rs"]
mod tests;
