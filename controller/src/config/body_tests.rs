//! Byte formats of a stored configuration, and its record of committed changes.

use std::fs;
use std::path::Path;

use protocol::operator_request::ConfigChange;

use super::{change_digest, legacy_change_digest, BodyFormat, ChangeStatus, StoredConfig, MAX_REMEMBERED_CHANGES};

fn stored_config(route_count: usize) -> StoredConfig {
    let text: String =
        (0..route_count).map(|index| format!("{{\"name\":\"r-{index}\",\"path_prefix\":\"/p{index}/\"}}")).collect();
    StoredConfig { revision: 9, text, legacy_changes: vec![1, 2, 3], ..StoredConfig::default() }
}

#[test]
fn decode_reads_every_format_and_compression_shrinks_a_long_value() {
    for route_count in [0, 1, 40, 4000] {
        let stored = stored_config(route_count);
        let (plain, compressed) = (stored.encode(BodyFormat::Plain), stored.encode(BodyFormat::Compressed));
        assert_eq!(StoredConfig::decode(&plain).as_ref(), Some(&stored));
        assert_eq!(StoredConfig::decode(&compressed).as_ref(), Some(&stored));
        assert_eq!(StoredConfig::decode(&stored.encode(BodyFormat::Digested)).as_ref(), Some(&stored));
        assert!(
            route_count < 4000 || compressed.len() * 3 < plain.len(),
            "{} of {} bytes",
            compressed.len(),
            plain.len()
        );
    }
}

#[test]
fn decode_rejects_truncated_and_oversized_values_and_never_reads_them_as_empty() {
    for format in [BodyFormat::Compressed, BodyFormat::Digested] {
        let compressed = stored_config(4000).encode(format);
        for length in (1..compressed.len()).step_by(97) {
            assert!(StoredConfig::decode(&compressed[..length]).is_none(), "truncated to {length} bytes");
        }
        let mut oversized = compressed.clone();
        oversized[8..12].copy_from_slice(&u32::MAX.to_le_bytes());
        assert!(StoredConfig::decode(&oversized).is_none(), "a stated size above the limit is rejected");
    }
    assert_eq!(StoredConfig::decode(&[]), Some(StoredConfig::default()));
    assert!(StoredConfig::decode(b"neither form").is_none(), "an unknown format is not read as empty");
}

#[test]
fn format_is_recognized_by_the_first_bytes_of_a_value() {
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
    fs::read(path).expect("the fixture is readable")
}

fn config_text(revision: u64, routes: usize) -> String {
    let route = |number: usize| {
        serde_json::json!({"name": format!("r{number}"), "hostname": format!("h{number}"), "path_prefix": "/",
            "route_type": "idempotent", "timeout_ms": 5, "service": "s"})
    };
    let routes: Vec<_> = (0..routes).map(route).collect();
    serde_json::json!({"revision": revision, "service_table": [{"name": "s"}], "route_table": routes}).to_string()
}

/// The fixtures hold values that an earlier version wrote after a full configuration and a patch of it.
#[test]
fn decode_reads_values_of_the_first_version_and_recognizes_their_changes() {
    for (name, routes, format) in
        [("config-body-1-plain.bin", 1, BodyFormat::Plain), ("config-body-1-packed.bin", 200, BodyFormat::Compressed)]
    {
        let body = fixture(name);
        assert_eq!(BodyFormat::of(&body), format);
        let stored = StoredConfig::decode(&body).expect("the fixture is decoded");
        assert_eq!((stored.revision, stored.changes.len(), stored.legacy_changes.len()), (8, 0, 2));
        assert_eq!(stored.encode(format), body, "encoding gives the original bytes");
        let first = ConfigChange { base: 0, text: config_text(5, routes), partial: false };
        let route = serde_json::json!({"name": "new", "hostname": "n", "path_prefix": "/", "route_type": "idempotent",
            "timeout_ms": 9, "service": "s"});
        let patch = serde_json::json!({"revision": 8, "upsert": {"route_table": [route]}}).to_string();
        let second = ConfigChange { base: 5, text: patch, partial: true };
        for change in [&first, &second] {
            assert_eq!(stored.status_of(change), ChangeStatus::Committed);
        }
        assert_eq!(stored.status_of(&ConfigChange { base: 5, ..first.clone() }), ChangeStatus::NotCommitted);
        // The next change is written in the current layout, which still recognizes the earlier changes.
        let mut next = stored.clone();
        next.remember(&ConfigChange { base: 8, text: config_text(9, 1), partial: false }, BodyFormat::Digested);
        let next = StoredConfig::decode(&next.encode(BodyFormat::Digested)).expect("the next value is decoded");
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
fn remembered_changes_are_bounded_and_forgotten_ones_are_distinct_from_uncommitted_ones() {
    let mut stored = StoredConfig { legacy_changes: vec![1, 2, 3], ..StoredConfig::default() };
    let changes = 3 * MAX_REMEMBERED_CHANGES as u64;
    for number in 0..changes {
        stored.remember(&change(10 * number), BodyFormat::Digested);
        assert!(stored.changes.len() + stored.legacy_changes.len() <= MAX_REMEMBERED_CHANGES);
    }
    let oldest = changes - MAX_REMEMBERED_CHANGES as u64;
    assert!((oldest..changes).all(|number| stored.status_of(&change(10 * number)) == ChangeStatus::Committed));
    assert_eq!(stored.status_of(&change(10 * oldest - 10)), ChangeStatus::Forgotten, "it may have been committed");
    assert_eq!(
        stored.status_of(&change(10 * changes - 5)),
        ChangeStatus::NotCommitted,
        "no change was committed on this revision"
    );
    let other = ConfigChange { text: "another".into(), ..change(10 * changes - 10) };
    assert_eq!(stored.status_of(&other), ChangeStatus::NotCommitted, "another change was committed on this revision");
    let size = stored.encode(BodyFormat::Digested).len();
    assert!(size <= 25 * 1024, "{size} bytes for {MAX_REMEMBERED_CHANGES} changes");
}

#[test]
fn change_digest_depends_on_every_field() {
    let change = ConfigChange { base: 5, text: "{}".into(), partial: false };
    let others = [
        ConfigChange { base: 6, ..change.clone() },
        ConfigChange { text: "{} ".into(), ..change.clone() },
        ConfigChange { partial: true, ..change.clone() },
        // Arithmetic that overflows must neither panic nor cause a collision.
        ConfigChange { base: u64::MAX, ..change.clone() },
        ConfigChange { base: u64::MAX / 2 + 1 + 5, ..change.clone() },
    ];
    assert_eq!(change_digest(&change), change_digest(&change.clone()));
    for other in &others {
        assert_ne!(change_digest(&change), change_digest(other));
        legacy_change_digest(other);
    }
}

/// The expected value is a SHA-256 prefix computed by an independent program. If the digest changed, no change that is
/// already committed would be recognized.
#[test]
fn change_digest_matches_an_independent_implementation() {
    let hex: String = change_digest(&ConfigChange { base: 5, text: "{}".into(), partial: true })
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    assert_eq!(hex, "a3c01963046362cce9bf29402581a4f7");
}

#[test]
fn read_by_all_returns_the_newest_format_that_every_reader_knows() {
    let formats = [0, 1, 2, 3, 4, 9].map(BodyFormat::read_by_all);
    use BodyFormat::{Compressed, Digested, Plain};
    assert_eq!(formats, [Plain, Plain, Compressed, Compressed, Digested, Digested]);
}

#[test]
fn a_reader_of_unknown_version_does_not_disable_compression() {
    let format = |versions: &[u64]| BodyFormat::for_readers(versions.iter().copied());
    assert_eq!(
        format(&[4, 0, 4]),
        BodyFormat::Compressed,
        "a reader of unknown version may not read the newest format"
    );
    assert_eq!(format(&[0, 0]), BodyFormat::Compressed);
    assert_eq!(format(&[4, 0, 1]), BodyFormat::Plain, "a reader of version 1 only reads uncompressed values");
    assert_eq!((format(&[4, 4]), format(&[])), (BodyFormat::Digested, BodyFormat::Digested));
}
