//! Own entries go out at once, others after a while.

use protocol::tally::{Origin, OriginVersion};

use super::{LagTracker, FOREIGN_LAG_MS};
use crate::version_vector::VersionVector;

fn versions(lengths: &[(u64, u64)]) -> VersionVector {
    lengths.iter().map(|(origin, length)| OriginVersion { origin: Origin(*origin), length: *length }).collect()
}

#[test]
fn entries_of_others_are_sent_once_they_have_lacked_for_long() {
    let (mut lag, own) = (LagTracker::default(), Some(Origin(1)));
    let here = versions(&[(1, 5), (2, 7)]);
    lag.observe(&versions(&[(1, 4), (2, 6)]), &here, 100);
    assert!(lag.is_wanted(Origin(1), own, 100));
    assert!(!lag.is_wanted(Origin(2), own, 100));
    lag.observe(&versions(&[(2, 6)]), &here, 500);
    assert!(lag.is_wanted(Origin(2), own, 100 + FOREIGN_LAG_MS));
    lag.observe(&versions(&[(2, 7)]), &here, 900);
    assert!(!lag.is_wanted(Origin(2), own, 900), "it has them now");
}
