//! The replica that callers are redirected to.

use super::{ReplicaDirectory, EXPIRY_MS};

#[test]
fn nearest_prefers_near_replicas_and_skips_expired_ones() {
    let directory = ReplicaDirectory::default();
    assert_eq!(directory.nearest(|_| true, 0), None);
    directory.observe("10.0.0.1", 0);
    directory.observe("10.0.0.2", 100);
    assert_eq!(directory.nearest(|ip| ip == "10.0.0.2", 200).as_deref(), Some("10.0.0.2"));
    assert_eq!(directory.nearest(|_| false, 200).as_deref(), Some("10.0.0.1"));
    assert_eq!(directory.nearest(|_| false, EXPIRY_MS).as_deref(), Some("10.0.0.2"));
    assert_eq!(directory.nearest(|_| false, EXPIRY_MS + 100), None);
}
