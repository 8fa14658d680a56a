//! When an entry may be acknowledged, and when a started replica may answer reads.

use protocol::tally::{Origin, OriginVersion};

use super::{Redundancy, ReplicaSet, REACH_MS};
use crate::log::Dot;
use crate::version_vector::VersionVector;

const DOT: Dot = Dot { origin: Origin(1), sequence: 4 };
const REDUNDANCY: Redundancy = Redundancy { replicas: 3, zones: 2 };

fn having(length: u64) -> VersionVector {
    [OriginVersion { origin: Origin(1), length }].into_iter().collect()
}

/// A replica in zone `a` with its mates: two in each of the zones `a`, `b` and `c`, itself among them.
fn replicas() -> ReplicaSet {
    let mut set = ReplicaSet::new("a", REDUNDANCY, having(5));
    for (ip, zone) in [("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c"), ("c2", "c")] {
        set.discover(ip, zone, 0);
        set.record_answer(ip, having(4), true, 100);
    }
    set
}

#[test]
fn outside_a_partition_three_disks_in_two_zones_are_needed() {
    let mut set = replicas();
    assert!(!set.is_durable(DOT, 100));
    set.record_answer("a2", having(5), true, 110);
    assert!(!set.is_durable(DOT, 110), "one zone");
    set.record_answer("b1", having(5), true, 120);
    assert!(set.is_durable(DOT, 120));
}

#[test]
fn the_own_disk_is_always_needed() {
    let mut set = ReplicaSet::new("a", REDUNDANCY, having(4));
    for (ip, zone) in [("b1", "b"), ("b2", "b"), ("c1", "c")] {
        set.discover(ip, zone, 0);
        set.record_answer(ip, having(9), true, 10);
    }
    assert!(!set.is_durable(DOT, 10));
    set.record_own(&having(5));
    assert!(set.is_durable(DOT, 10));
}

#[test]
fn in_a_partition_all_in_reach_are_needed_once_the_others_were_silent_for_a_while() {
    let mut set = replicas();
    set.record_answer("a2", having(5), true, 900);
    assert!(!set.is_durable(DOT, 900), "the others may only be slow");
    let later = 100 + REACH_MS;
    set.record_answer("a2", having(4), true, later);
    assert!(!set.is_durable(DOT, later), "one in reach lacks it");
    set.record_answer("a2", having(5), true, later);
    assert!(set.is_durable(DOT, later));
}

// A process that was frozen for two seconds took all others for out of reach, and acknowledged by itself what came first
// after it: the loss of its disk right then would have lost an acknowledged add. Found by reading, while the reach was made shorter.
#[test]
fn after_standing_still_it_gives_the_others_as_long_again() {
    let mut set = replicas();
    set.observe_time(100);
    set.observe_time(450);
    let thawed = 450 + 2 * REACH_MS;
    assert!(set.is_durable(DOT, thawed), "nobody was heard for long");
    set.observe_time(thawed);
    assert!(!set.is_durable(DOT, thawed), "nobody could be heard");
    set.observe_time(thawed + 350);
    set.observe_time(thawed + 700);
    assert!(set.is_durable(DOT, thawed + REACH_MS), "they are silent since");
}

// The first thing that a thawed process sees may be an answer. Its time was moved on by the pause as well, so that a replica which
// fell silent right after it counted as in reach for seconds, and adds got 504 meanwhile. Found by reading.
#[test]
fn an_answer_that_comes_before_the_pause_is_noticed_is_not_taken_for_a_later_one() {
    let mut set = replicas();
    set.observe_time(100);
    let thawed = 100 + 5 * REACH_MS;
    for ip in ["a2", "b1", "b2", "c1", "c2"] {
        set.record_answer(ip, having(4), true, thawed);
    }
    set.observe_time(thawed);
    set.observe_time(thawed + 400);
    assert!(!set.is_durable(DOT, thawed + REACH_MS - 1), "they answered a moment ago");
    set.observe_time(thawed + REACH_MS);
    assert!(set.is_durable(DOT, thawed + REACH_MS), "they are silent since");
}

#[test]
fn a_replica_that_was_just_discovered_is_waited_for() {
    let mut set = ReplicaSet::new("a", REDUNDANCY, having(5));
    set.discover("b1", "b", 500);
    assert!(!set.is_durable(DOT, 500));
    assert!(set.is_durable(DOT, 500 + REACH_MS));
}

#[test]
fn a_controller_that_keeps_no_tallies_is_not_waited_for() {
    let mut set = ReplicaSet::new("a", REDUNDANCY, having(5));
    set.discover("b1", "b", 500);
    assert!(!set.is_durable(DOT, 500) && !set.has_caught_up(false, 500));
    set.forget("b1");
    set.set_zone("b1", "b");
    assert!(set.is_durable(DOT, 500) && set.has_caught_up(false, 500));
    assert_eq!(set.counts(500), (0, 0));
}

#[test]
fn a_replica_that_lost_its_disk_no_longer_counts() {
    let mut set = replicas();
    set.record_answer("b1", having(5), true, 110);
    set.record_answer("c1", having(5), true, 110);
    assert!(set.is_durable(DOT, 110));
    set.record_answer("c1", VersionVector::default(), false, 120);
    assert!(!set.is_durable(DOT, 120));
}

#[test]
fn a_started_replica_answers_once_it_has_what_those_in_reach_have() {
    let mut set = ReplicaSet::new("a", REDUNDANCY, VersionVector::default());
    set.discover("b1", "b", 0);
    set.discover("c1", "c", 0);
    assert!(!set.has_caught_up(true, 10));
    set.record_answer("b1", having(3), true, 10);
    assert!(!set.has_caught_up(true, 10), "another one has not answered, and this one has more");
    set.record_own(&having(3));
    assert!(!set.has_caught_up(true, 10));
    set.record_answer("c1", VersionVector::default(), false, 20);
    assert!(set.has_caught_up(true, 20));
}

#[test]
fn an_empty_disk_is_not_enough_by_itself_nor_with_another_empty_one() {
    let mut set = ReplicaSet::new("a", REDUNDANCY, VersionVector::default());
    set.discover("b1", "b", 0);
    assert!(!set.has_caught_up(true, 5000), "nobody in reach knows anything");
    set.record_answer("b1", VersionVector::default(), false, 5000);
    assert!(!set.has_caught_up(true, 5000));
    assert!(set.has_caught_up(false, 5000), "one with a disk of its own goes on alone");
}
