//! The forms of a configuration's body, and what it remembers of changes.

use std::fs;
use std::path::Path;

use protocol::operator_request::ConfigChange;

use super::{digest, first_digest, BodyForm, Held, Memory, TAKEN};

fn held(count: usize) -> Held {
    let text: String = (0..count).map(|at| format!("{{\"name\":\"r-{at}\",\"path_prefix\":\"/p{at}/\"}}")).collect();
    Held { revision: 9, text, earlier: vec![1, 2, 3], ..Held::default() }
}

#[test]
fn all_forms_are_read_and_the_long_one_is_short_when_packed() {
    for count in [0, 1, 40, 4000] {
        let held = held(count);
        let (plain, packed) = (held.seal(BodyForm::Plain), held.seal(BodyForm::Packed));
        assert_eq!(Held::open(&plain).as_ref(), Some(&held));
        assert_eq!(Held::open(&packed).as_ref(), Some(&held));
        assert_eq!(Held::open(&held.seal(BodyForm::Digested)).as_ref(), Some(&held));
        assert!(count < 4000 || packed.len() * 3 < plain.len(), "{} of {}", packed.len(), plain.len());
    }
}

#[test]
fn a_torn_or_lying_one_is_told_and_never_read_as_empty() {
    for form in [BodyForm::Packed, BodyForm::Digested] {
        let packed = held(4000).seal(form);
        for cut in (1..packed.len()).step_by(97) {
            assert!(Held::open(&packed[..cut]).is_none(), "cut at {cut}");
        }
        let mut lying = packed.clone();
        lying[8..12].copy_from_slice(&u32::MAX.to_le_bytes());
        assert!(Held::open(&lying).is_none(), "a size over the bound makes no room");
    }
    assert_eq!(Held::open(&[]), Some(Held::default()));
    assert!(Held::open(b"neither form").is_none(), "never taken for an empty one");
}

#[test]
fn the_form_of_a_body_is_told_by_its_begin() {
    let text = format!("{{\"revision\":9,\"x\":\"{}\"}}", "abc".repeat(10_000));
    let held = Held { revision: 9, text, ..Held::default() };
    for form in [BodyForm::Plain, BodyForm::Packed, BodyForm::Digested] {
        assert_eq!(BodyForm::of(&held.seal(form)), form);
    }
    assert_eq!(BodyForm::of(&[]), BodyForm::Plain);
    assert!(BodyForm::Plain < BodyForm::Packed && BodyForm::Packed < BodyForm::Digested);
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

/// Bodies as the version before wrote them after a whole configuration and a change of it.
#[test]
fn bodies_of_the_first_version_are_read_and_the_changes_in_them_known() {
    for (name, routes, form) in
        [("config-body-1-plain.bin", 1, BodyForm::Plain), ("config-body-1-packed.bin", 200, BodyForm::Packed)]
    {
        let body = fixture(name);
        assert_eq!(BodyForm::of(&body), form);
        let held = Held::open(&body).expect("read");
        assert_eq!((held.revision, held.taken.len(), held.earlier.len()), (8, 0, 2));
        assert_eq!(held.seal(form), body, "and written as they were");
        let first = ConfigChange { base: 0, text: text(5, routes), partial: false };
        let route = serde_json::json!({"name": "new", "hostname": "n", "path_prefix": "/", "route_type": "idempotent",
            "timeout_ms": 9, "service": "s"});
        let items = serde_json::json!({"revision": 8, "upsert": {"route_table": [route]}}).to_string();
        let second = ConfigChange { base: 5, text: items, partial: true };
        for change in [&first, &second] {
            assert_eq!(held.recall(change), Memory::Taken);
        }
        assert_eq!(held.recall(&ConfigChange { base: 5, ..first.clone() }), Memory::NotTaken);
        // The next change is written in the second form, in which the earlier ones are known still.
        let mut next = held.clone();
        next.remember(&ConfigChange { base: 8, text: text(9, 1), partial: false }, BodyForm::Digested);
        let next = Held::open(&next.seal(BodyForm::Digested)).expect("read");
        assert_eq!((next.recall(&first), next.recall(&second)), (Memory::Taken, Memory::Taken));
    }
}

fn change(base: u64) -> ConfigChange {
    ConfigChange { base, text: format!("text on {base}"), partial: false }
}

#[test]
fn what_is_remembered_is_bounded_and_what_was_forgotten_is_told_from_what_never_was() {
    let mut held = Held { earlier: vec![1, 2, 3], ..Held::default() };
    let changes = 3 * TAKEN as u64;
    for number in 0..changes {
        held.remember(&change(10 * number), BodyForm::Digested);
        assert!(held.taken.len() + held.earlier.len() <= TAKEN);
    }
    let oldest = changes - TAKEN as u64;
    assert!((oldest..changes).all(|number| held.recall(&change(10 * number)) == Memory::Taken));
    assert_eq!(held.recall(&change(10 * oldest - 10)), Memory::Forgotten, "it may have been taken");
    assert_eq!(held.recall(&change(10 * changes - 5)), Memory::NotTaken, "nothing was ever built on this version");
    let other = ConfigChange { text: "another".into(), ..change(10 * changes - 10) };
    assert_eq!(held.recall(&other), Memory::NotTaken, "another change won");
    let size = held.seal(BodyForm::Digested).len();
    assert!(size <= 25 * 1024, "{size} bytes for {TAKEN} changes");
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
    assert_eq!(digest(&one), digest(&one.clone()));
    for other in &others {
        assert_ne!(digest(&one), digest(other));
        first_digest(other);
    }
}

/// The first bytes of SHA-256 of the same input, worked out by another program: a digest that changes makes every change
/// taken before unknown.
#[test]
fn the_digest_stays_what_it_is() {
    let hex: String = digest(&ConfigChange { base: 5, text: "{}".into(), partial: true })
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    assert_eq!(hex, "a3c01963046362cce9bf29402581a4f7");
}

#[test]
fn every_controller_must_read_a_form_before_it_is_written() {
    let forms = [0, 1, 2, 3, 4, 9].map(BodyForm::read_by_all);
    use BodyForm::{Digested, Packed, Plain};
    assert_eq!(forms, [Plain, Plain, Packed, Packed, Digested, Digested]);
}

#[test]
fn a_reader_that_was_never_heard_does_not_make_a_long_body_longer() {
    let form = |versions: &[u64]| BodyForm::for_readers(versions.iter().copied());
    assert_eq!(form(&[4, 0, 4]), BodyForm::Packed, "not heard yet: it may not read the newest form");
    assert_eq!(form(&[0, 0]), BodyForm::Packed);
    assert_eq!(form(&[4, 0, 1]), BodyForm::Plain, "one of version 1 said so");
    assert_eq!((form(&[4, 4]), form(&[])), (BodyForm::Digested, BodyForm::Digested));
}
