//! Tests that quorums before, during and after a membership change always share an acceptor.
use super::{is_old_or_new_member, is_quorum, old_and_new_members};
use protocol::message::{CoreMembership, Member};

fn members(mask: u32) -> Vec<Member> {
    let numbers = (0..8).filter(|bit| mask & (1 << bit) != 0);
    numbers.map(|bit| Member { ip: format!("10.0.0.{bit}"), zone: String::new() }).collect()
}

fn addresses(mask: u32) -> Vec<String> {
    members(mask).into_iter().map(|member| member.ip).collect()
}

fn stable(mask: u32) -> CoreMembership {
    CoreMembership { version: 1, members: members(mask), previous_members: Vec::new(), stable: true }
}

fn joint(old: u32, new: u32) -> CoreMembership {
    CoreMembership { version: 2, members: members(new), previous_members: members(old), stable: false }
}

fn quorums(membership: &CoreMembership) -> Vec<u32> {
    (0..64u32).filter(|mask| is_quorum(membership, &addresses(*mask))).collect()
}

/// Returns all pairs of old and new members in which one member is added, removed or replaced.
fn membership_changes() -> Vec<(u32, u32)> {
    let mut changes = Vec::new();
    for old in 1..64u32 {
        for new in 1..64u32 {
            let removed = (old & !new).count_ones();
            let added = (new & !old).count_ones();
            if removed <= 1 && added <= 1 && old != new && old.count_ones() >= 2 && new.count_ones() >= 2 {
                changes.push((old, new));
            }
        }
    }
    changes
}

#[test]
fn quorums_before_and_during_a_membership_change_share_an_acceptor() {
    for (old, new) in membership_changes() {
        let during = quorums(&joint(old, new));
        for before in quorums(&stable(old)) {
            assert!(during.iter().all(|quorum| quorum & before != 0), "{old:b} -> {new:b}: {before:b}");
        }
    }
}

#[test]
fn quorums_during_and_after_a_membership_change_share_an_acceptor() {
    for (old, new) in membership_changes() {
        let during = quorums(&joint(old, new));
        for after in quorums(&stable(new)) {
            assert!(during.iter().all(|quorum| quorum & after != 0), "{old:b} -> {new:b}: {after:b}");
        }
    }
}

#[test]
fn quorums_before_and_after_a_replacement_may_be_disjoint_without_joint_quorums() {
    let (old, new) = (stable(0b0111), stable(0b1011));
    let is_disjoint = |quorum: &u32| quorums(&new).iter().any(|other| quorum & other == 0);
    assert!(quorums(&old).iter().any(is_disjoint));
}

#[test]
fn previous_members_are_notified_until_the_membership_is_stable() {
    let mut membership = joint(0b0111, 0b1011);
    assert_eq!(old_and_new_members(&membership).len(), 4);
    membership.stable = true;
    assert_eq!(old_and_new_members(&membership).len(), 3);
}

#[test]
fn is_old_or_new_member_returns_true_exactly_for_notified_members() {
    for mut membership in [joint(0b0111, 0b1011), joint(0b0011, 0b0111), joint(0b1111, 0b0111)] {
        for stable in [false, true] {
            membership.stable = stable;
            let recipients = old_and_new_members(&membership);
            for member in addresses(0b1_1111) {
                assert_eq!(
                    is_old_or_new_member(&membership, &member),
                    recipients.contains(&member),
                    "{membership:?} {member}"
                );
            }
        }
    }
}
