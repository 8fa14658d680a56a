//! Where callers are sent.

use super::{ReplicaDirectory, EXPIRY_MS};

#[test]
fn a_replica_in_the_zone_goes_first_and_silent_ones_are_left_out() {
    let directory = ReplicaDirectory::default();
    assert_eq!(directory.nearest(|_| true, 0), None);
    directory.observe("10.0.0.1", 0);
    directory.observe("10.0.0.2", 100);
    assert_eq!(directory.nearest(|ip| ip == "10.0.0.2", 200).as_deref(), Some("10.0.0.2"));
    assert_eq!(directory.nearest(|_| false, 200).as_deref(), Some("10.0.0.1"));
    assert_eq!(directory.nearest(|_| false, EXPIRY_MS).as_deref(), Some("10.0.0.2"));
    assert_eq!(directory.nearest(|_| false, EXPIRY_MS + 100), None);
}
