//! Entries of the own origin are sent at once, those of other origins after a delay.

use protocol::tally::{Origin, OriginVersion};

use super::{LagTracker, FORWARDING_DELAY_MS};
use crate::version_vector::VersionVector;

fn versions(lengths: &[(u64, u64)]) -> VersionVector {
    lengths.iter().map(|(origin, length)| OriginVersion { origin: Origin(*origin), length: *length }).collect()
}

#[test]
fn entries_of_another_origin_are_sent_only_after_the_forwarding_delay() {
    let (mut tracker, own) = (LagTracker::default(), Some(Origin(1)));
    let local = versions(&[(1, 5), (2, 7)]);
    tracker.observe(&versions(&[(1, 4), (2, 6)]), &local, 100);
    assert!(tracker.is_wanted(Origin(1), own, 100));
    assert!(!tracker.is_wanted(Origin(2), own, 100));
    tracker.observe(&versions(&[(2, 6)]), &local, 500);
    assert!(tracker.is_wanted(Origin(2), own, 100 + FORWARDING_DELAY_MS));
    tracker.observe(&versions(&[(2, 7)]), &local, 900);
    assert!(!tracker.is_wanted(Origin(2), own, 900), "the replica no longer lacks them");
}
