//! Which of a record and a rollout names the version in force.

use super::{version_in_force, StableVersion};
use crate::version_rollout::{RolloutState, VersionRollout};

fn rollout(order: u64, number: u64, target: &str, state: RolloutState, stable: Option<&str>) -> VersionRollout {
    let first = VersionRollout::first("s", target, 12_000);
    VersionRollout { order, number, state, stable: stable.map(str::to_string), ..first }
}

fn record(version: &str, rollout: Option<&VersionRollout>) -> StableVersion {
    StableVersion::following(None, "s", version, rollout)
}

#[test]
fn a_completed_rollout_supersedes_the_record_of_before() {
    let before = record("v1", None);
    for (state, expected) in
        [(RolloutState::Active, "v1"), (RolloutState::Reverted, "v1"), (RolloutState::Complete, "v2")]
    {
        for stable in [None, Some("v1")] {
            let rollout = rollout(1, 4, "v2", state, stable);
            assert_eq!(version_in_force(Some(&before), Some(&rollout)), Some(expected), "{state:?}, {stable:?}");
        }
    }
    let next = rollout(2, 5, "v3", RolloutState::Active, Some("v2"));
    assert_eq!(version_in_force(Some(&before), Some(&next)), Some("v2"), "completed by the rollout before");
}

#[test]
fn a_record_supersedes_the_rollout_that_its_writer_knew() {
    let complete = rollout(1, 4, "v2", RolloutState::Complete, None);
    assert_eq!(version_in_force(Some(&record("v3", Some(&complete))), Some(&complete)), Some("v3"));
    let active = rollout(1, 2, "v2", RolloutState::Active, Some("v1"));
    let beside = record("v3", Some(&active));
    assert_eq!(version_in_force(Some(&beside), Some(&active)), Some("v3"));
    assert_eq!(version_in_force(Some(&beside), Some(&complete)), Some("v2"), "completed after the record");
}

#[test]
fn without_a_record_only_a_rollout_tells() {
    assert_eq!(version_in_force(None, None), None);
    assert_eq!(version_in_force(None, Some(&rollout(1, 1, "v2", RolloutState::Reverted, None))), None);
    assert_eq!(version_in_force(None, Some(&rollout(2, 3, "v2", RolloutState::Active, Some("v1")))), Some("v1"));
    assert_eq!(version_in_force(None, Some(&rollout(1, 3, "v2", RolloutState::Complete, None))), Some("v2"));
}

/// The bytes are stored on the disks of controllers.
#[test]
fn the_stored_bytes_are_unchanged() {
    let stored = StableVersion { number: 3, rollout_order: 2, rollout_number: 9, ..record("version-1", None) };
    let bytes = include_bytes!("../fixtures/stable-version-9.bin");
    assert_eq!(stored.to_bytes(), bytes);
    assert_eq!(StableVersion::from_bytes(bytes), Some(stored));
    assert_eq!(StableVersion::key("chat"), "stable/chat");
}

#[test]
#[ignore = "writes the fixture of version 9"]
fn write_fixture() {
    let stored = StableVersion { number: 3, rollout_order: 2, rollout_number: 9, ..record("version-1", None) };
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/fixtures/stable-version-9.bin");
    std::fs::write(path, stored.to_bytes()).expect("written");
}
