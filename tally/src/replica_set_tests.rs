//! When an entry may be acknowledged, and when a replica that just started may answer reads.

use protocol::tally::{Origin, OriginVersion};

use super::{Redundancy, ReplicaSet, REACH_MS};
use crate::log::Dot;
use crate::version_vector::VersionVector;

const DOT: Dot = Dot { origin: Origin(1), sequence: 4 };
const REDUNDANCY: Redundancy = Redundancy { replicas: 3, zones: 2 };

fn durable_up_to(length: u64) -> VersionVector {
    [OriginVersion { origin: Origin(1), length }].into_iter().collect()
}

/// The set of a replica in zone `a`, with two replicas in each of the zones `a`, `b` and `c`, itself included.
fn replicas() -> ReplicaSet {
    let mut set = ReplicaSet::new("a", REDUNDANCY, durable_up_to(5));
    for (ip, zone) in [("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c"), ("c2", "c")] {
        set.discover(ip, zone, 0);
        set.record_answer(ip, durable_up_to(4), true, 100);
    }
    set
}

#[test]
fn outside_a_partition_an_entry_needs_three_disks_in_two_zones() {
    let mut set = replicas();
    assert!(!set.is_durable(DOT, 100));
    set.record_answer("a2", durable_up_to(5), true, 110);
    assert!(!set.is_durable(DOT, 110), "both disks are in one zone");
    set.record_answer("b1", durable_up_to(5), true, 120);
    assert!(set.is_durable(DOT, 120));
}

#[test]
fn an_entry_must_always_be_on_the_own_disk() {
    let mut set = ReplicaSet::new("a", REDUNDANCY, durable_up_to(4));
    for (ip, zone) in [("b1", "b"), ("b2", "b"), ("c1", "c")] {
        set.discover(ip, zone, 0);
        set.record_answer(ip, durable_up_to(9), true, 10);
    }
    assert!(!set.is_durable(DOT, 10));
    set.record_own(&durable_up_to(5));
    assert!(set.is_durable(DOT, 10));
}

#[test]
fn in_a_partition_all_in_reach_are_needed_once_the_others_were_silent_for_a_while() {
    let mut set = replicas();
    set.record_answer("a2", durable_up_to(5), true, 900);
    assert!(!set.is_durable(DOT, 900), "the other replicas are still in reach");
    let after_timeout = 100 + REACH_MS;
    set.record_answer("a2", durable_up_to(4), true, after_timeout);
    assert!(!set.is_durable(DOT, after_timeout), "a replica in reach lacks the entry");
    set.record_answer("a2", durable_up_to(5), true, after_timeout);
    assert!(set.is_durable(DOT, after_timeout));
}

// Guards against acknowledgement by a single replica after a pause: a process frozen for two seconds took all others
// for out of reach and acknowledged the next add alone. The loss of its disk at that moment would have lost an
// acknowledged add.
#[test]
fn a_pause_of_this_process_extends_the_reach_of_the_others() {
    let mut set = replicas();
    set.observe_time(100);
    set.observe_time(450);
    let resumed = 450 + 2 * REACH_MS;
    assert!(set.is_durable(DOT, resumed), "no replica answered within the reach timeout");
    set.observe_time(resumed);
    assert!(!set.is_durable(DOT, resumed), "answers could not arrive during the pause");
    set.observe_time(resumed + 350);
    set.observe_time(resumed + 700);
    assert!(set.is_durable(DOT, resumed + REACH_MS), "no replica answered since the pause");
}

// A resumed process may record an answer before it detects the pause. The time of that answer was moved forward by the
// pause too, so that a replica that fell silent right after it counted as in reach for seconds, and adds got 504
// meanwhile.
#[test]
fn an_answer_recorded_before_the_pause_is_detected_is_not_moved_into_the_future() {
    let mut set = replicas();
    set.observe_time(100);
    let resumed = 100 + 5 * REACH_MS;
    for ip in ["a2", "b1", "b2", "c1", "c2"] {
        set.record_answer(ip, durable_up_to(4), true, resumed);
    }
    set.observe_time(resumed);
    set.observe_time(resumed + 400);
    assert!(!set.is_durable(DOT, resumed + REACH_MS - 1), "all replicas answered less than the reach timeout ago");
    set.observe_time(resumed + REACH_MS);
    assert!(set.is_durable(DOT, resumed + REACH_MS), "no replica answered since the pause");
}

#[test]
fn a_newly_discovered_replica_counts_as_in_reach() {
    let mut set = ReplicaSet::new("a", REDUNDANCY, durable_up_to(5));
    set.discover("b1", "b", 500);
    assert!(!set.is_durable(DOT, 500));
    assert!(set.is_durable(DOT, 500 + REACH_MS));
}

#[test]
fn a_controller_without_tallies_is_forgotten() {
    let mut set = ReplicaSet::new("a", REDUNDANCY, durable_up_to(5));
    set.discover("b1", "b", 500);
    assert!(!set.is_durable(DOT, 500) && !set.has_caught_up(false, 500));
    set.forget("b1");
    set.set_zone("b1", "b");
    assert!(set.is_durable(DOT, 500) && set.has_caught_up(false, 500));
    assert_eq!(set.counts(500), (0, 0));
}

#[test]
fn a_replica_that_lost_its_disk_no_longer_counts_as_a_holder() {
    let mut set = replicas();
    set.record_answer("b1", durable_up_to(5), true, 110);
    set.record_answer("c1", durable_up_to(5), true, 110);
    assert!(set.is_durable(DOT, 110));
    set.record_answer("c1", VersionVector::default(), false, 120);
    assert!(!set.is_durable(DOT, 120));
}

#[test]
fn a_started_replica_has_caught_up_once_it_has_all_entries_of_those_in_reach() {
    let mut set = ReplicaSet::new("a", REDUNDANCY, VersionVector::default());
    set.discover("b1", "b", 0);
    set.discover("c1", "c", 0);
    assert!(!set.has_caught_up(true, 10));
    set.record_answer("b1", durable_up_to(3), true, 10);
    assert!(!set.has_caught_up(true, 10), "c1 has not answered, and b1 has more entries");
    set.record_own(&durable_up_to(3));
    assert!(!set.has_caught_up(true, 10));
    set.record_answer("c1", VersionVector::default(), false, 20);
    assert!(set.has_caught_up(true, 20));
}

#[test]
fn a_replica_with_an_empty_disk_needs_a_peer_that_has_caught_up() {
    let mut set = ReplicaSet::new("a", REDUNDANCY, VersionVector::default());
    set.discover("b1", "b", 0);
    assert!(!set.has_caught_up(true, 5000), "no replica in reach has caught up");
    set.record_answer("b1", VersionVector::default(), false, 5000);
    assert!(!set.has_caught_up(true, 5000));
    assert!(set.has_caught_up(false, 5000), "a replica that has caught up before needs no peer that has");
}
