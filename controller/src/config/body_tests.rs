//! The forms of a configuration's body, and what it remembers of changes.

use std::fs;
use std::path::Path;

use protocol::operator_request::ConfigChange;

use super::{change_digest, legacy_change_digest, BodyFormat, ChangeStatus, StoredConfig, MAX_REMEMBERED_CHANGES};

fn stored(count: usize) -> StoredConfig {
    let text: String = (0..count).map(|at| format!("{{\"name\":\"r-{at}\",\"path_prefix\":\"/p{at}/\"}}")).collect();
    StoredConfig { revision: 9, text, legacy_changes: vec![1, 2, 3], ..StoredConfig::default() }
}

#[test]
fn all_forms_are_read_and_the_long_one_is_short_when_packed() {
    for count in [0, 1, 40, 4000] {
        let stored = stored(count);
        let (plain, packed) = (stored.encode(BodyFormat::Plain), stored.encode(BodyFormat::Compressed));
        assert_eq!(StoredConfig::decode(&plain).as_ref(), Some(&stored));
        assert_eq!(StoredConfig::decode(&packed).as_ref(), Some(&stored));
        assert_eq!(StoredConfig::decode(&stored.encode(BodyFormat::Digested)).as_ref(), Some(&stored));
        assert!(count < 4000 || packed.len() * 3 < plain.len(), "{} of {}", packed.len(), plain.len());
    }
}

#[test]
fn truncated_and_oversized_bodies_are_rejected_and_never_read_as_empty() {
    for format in [BodyFormat::Compressed, BodyFormat::Digested] {
        let packed = stored(4000).encode(format);
        for cut in (1..packed.len()).step_by(97) {
            assert!(StoredConfig::decode(&packed[..cut]).is_none(), "cut at {cut}");
        }
        let mut lying = packed.clone();
        lying[8..12].copy_from_slice(&u32::MAX.to_le_bytes());
        assert!(StoredConfig::decode(&lying).is_none(), "a size over the bound makes no room");
    }
    assert_eq!(StoredConfig::decode(&[]), Some(StoredConfig::default()));
    assert!(StoredConfig::decode(b"neither form").is_none(), "never taken for an empty one");
}

#[test]
fn the_format_of_a_body_is_recognized_by_its_first_bytes() {
    let text = format!("{{\"revision\":9,\"x\":\"{}\"}}", "abc".repeat(10_000));
    let stored = StoredConfig { revision: 9, text, ..StoredConfig::default() };
    for format in [BodyFormat::Plain, BodyFormat::Compressed, BodyFormat::Digested] {
        assert_eq!(BodyFormat::of(&stored.encode(format)), format);
    }
    assert_eq!(BodyFormat::of(&[]), BodyFormat::Plain);
    assert!(BodyFormat::Plain < BodyFormat::Compressed && BodyFormat::Compressed < BodyFormat::Digested);
}

fn fixture(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("fixtures").join(name);
    fs::read(path).expect("the fixture")
}

fn text(revision: u64, routes: usize) -> String {
    let route = |number: usize| {
        serde_json::json!({"name": format!("r{number}"), "hostname": format!("h{number}"), "path_prefix": "/",
            "route_type": "idempotent", "timeout_ms": 5, "service": "s"})
    };
    let routes: Vec<_> = (0..routes).map(route).collect();
    serde_json::json!({"revision": revision, "service_table": [{"name": "s"}], "route_table": routes}).to_string()
}

/// Bodies as the version before wrote them after a full configuration and a patch of it.
#[test]
fn bodies_of_the_first_version_are_read_and_the_changes_in_them_known() {
    for (name, routes, format) in
        [("config-body-1-plain.bin", 1, BodyFormat::Plain), ("config-body-1-packed.bin", 200, BodyFormat::Compressed)]
    {
        let body = fixture(name);
        assert_eq!(BodyFormat::of(&body), format);
        let stored = StoredConfig::decode(&body).expect("read");
        assert_eq!((stored.revision, stored.changes.len(), stored.legacy_changes.len()), (8, 0, 2));
        assert_eq!(stored.encode(format), body, "and written as they were");
        let first = ConfigChange { base: 0, text: text(5, routes), partial: false };
        let route = serde_json::json!({"name": "new", "hostname": "n", "path_prefix": "/", "route_type": "idempotent",
            "timeout_ms": 9, "service": "s"});
        let items = serde_json::json!({"revision": 8, "upsert": {"route_table": [route]}}).to_string();
        let second = ConfigChange { base: 5, text: items, partial: true };
        for change in [&first, &second] {
            assert_eq!(stored.status_of(change), ChangeStatus::Committed);
        }
        assert_eq!(stored.status_of(&ConfigChange { base: 5, ..first.clone() }), ChangeStatus::NotCommitted);
        // The next change is written in the second format, in which the earlier ones are known still.
        let mut next = stored.clone();
        next.remember(&ConfigChange { base: 8, text: text(9, 1), partial: false }, BodyFormat::Digested);
        let next = StoredConfig::decode(&next.encode(BodyFormat::Digested)).expect("read");
        assert_eq!(
            (next.status_of(&first), next.status_of(&second)),
            (ChangeStatus::Committed, ChangeStatus::Committed)
        );
    }
}

fn change(base: u64) -> ConfigChange {
    ConfigChange { base, text: format!("text on {base}"), partial: false }
}

#[test]
fn remembered_changes_are_bounded_and_forgotten_differs_from_never_committed() {
    let mut stored = StoredConfig { legacy_changes: vec![1, 2, 3], ..StoredConfig::default() };
    let changes = 3 * MAX_REMEMBERED_CHANGES as u64;
    for number in 0..changes {
        stored.remember(&change(10 * number), BodyFormat::Digested);
        assert!(stored.changes.len() + stored.legacy_changes.len() <= MAX_REMEMBERED_CHANGES);
    }
    let oldest = changes - MAX_REMEMBERED_CHANGES as u64;
    assert!((oldest..changes).all(|number| stored.status_of(&change(10 * number)) == ChangeStatus::Committed));
    assert_eq!(stored.status_of(&change(10 * oldest - 10)), ChangeStatus::Forgotten, "it may have been taken");
    assert_eq!(
        stored.status_of(&change(10 * changes - 5)),
        ChangeStatus::NotCommitted,
        "nothing was ever built on this version"
    );
    let other = ConfigChange { text: "another".into(), ..change(10 * changes - 10) };
    assert_eq!(stored.status_of(&other), ChangeStatus::NotCommitted, "another change won");
    let size = stored.encode(BodyFormat::Digested).len();
    assert!(size <= 25 * 1024, "{size} bytes for {MAX_REMEMBERED_CHANGES} changes");
}

#[test]
fn a_digest_tells_apart_whatever_differs() {
    let one = ConfigChange { base: 5, text: "{}".into(), partial: false };
    let others = [
        ConfigChange { base: 6, ..one.clone() },
        ConfigChange { text: "{} ".into(), ..one.clone() },
        ConfigChange { partial: true, ..one.clone() },
        // Sums that overflow must neither panic nor fall together.
        ConfigChange { base: u64::MAX, ..one.clone() },
        ConfigChange { base: u64::MAX / 2 + 1 + 5, ..one.clone() },
    ];
    assert_eq!(change_digest(&one), change_digest(&one.clone()));
    for other in &others {
        assert_ne!(change_digest(&one), change_digest(other));
        legacy_change_digest(other);
    }
}

/// The first bytes of SHA-256 of the same input, worked out by another program: a digest that changes makes every change
/// committed before unknown.
#[test]
fn the_digest_stays_what_it_is() {
    let hex: String = change_digest(&ConfigChange { base: 5, text: "{}".into(), partial: true })
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    assert_eq!(hex, "a3c01963046362cce9bf29402581a4f7");
}

#[test]
fn every_controller_must_read_a_form_before_it_is_written() {
    let forms = [0, 1, 2, 3, 4, 9].map(BodyFormat::read_by_all);
    use BodyFormat::{Compressed, Digested, Plain};
    assert_eq!(forms, [Plain, Plain, Compressed, Compressed, Digested, Digested]);
}

#[test]
fn a_reader_that_was_never_heard_does_not_make_a_long_body_longer() {
    let format = |versions: &[u64]| BodyFormat::for_readers(versions.iter().copied());
    assert_eq!(format(&[4, 0, 4]), BodyFormat::Compressed, "not heard yet: it may not read the newest format");
    assert_eq!(format(&[0, 0]), BodyFormat::Compressed);
    assert_eq!(format(&[4, 0, 1]), BodyFormat::Plain, "one of version 1 said so");
    assert_eq!((format(&[4, 4]), format(&[])), (BodyFormat::Digested, BodyFormat::Digested));
}
