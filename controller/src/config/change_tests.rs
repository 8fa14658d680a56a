//! Operators' changes of the configuration: races, orders sent again, invalid ones.
use super::{apply, Outcome, Refusal};
use crate::config::body::{Held, TAKEN};
use protocol::operator_request::ConfigChange;

fn text(revision: u64) -> String {
    serde_json::json!({"revision": revision, "service_table": [{"name": "s"}], "route_table": [{"name": "r",
        "hostname": "h", "path_prefix": "/", "route_type": "idempotent", "timeout_ms": 5, "service": "s"}]})
    .to_string()
}

fn held(revision: u64) -> Held {
    Held { revision, text: text(revision), earlier: vec![77], ..Held::default() }
}

fn whole(base: u64, text: String) -> ConfigChange {
    ConfigChange { base, text, partial: false }
}

fn next(change: &ConfigChange, held: &Held) -> Held {
    let Ok(Outcome::Next(next)) = apply(change, held) else { panic!("a change to be committed") };
    assert_eq!((next.held.revision, next.held.text.as_str()), (next.checked.revision(), next.checked.text()));
    next.held
}

fn refused(change: &ConfigChange, held: &Held) -> Refusal {
    let Err(refusal) = apply(change, held) else { panic!("refused") };
    refusal
}

#[test]
fn of_two_on_the_same_version_one_wins() {
    let first = next(&whole(5, text(7)), &held(5));
    assert_eq!(first.revision, 7);
    let refusal = refused(&whole(5, text(8)), &first);
    assert_eq!(refusal, Refusal::Conflict { base: 5, current: 7 });
    assert_eq!(refusal.status(), 412);
    assert_eq!(refusal.to_string(), "If-Match: found 5, version 7 is current");
}

#[test]
fn of_two_under_the_same_number_one_wins() {
    let first = next(&whole(5, text(7)), &held(5));
    let other = text(7).replace("\"timeout_ms\":5", "\"timeout_ms\":6");
    assert_ne!(other, text(7));
    assert_eq!(refused(&whole(5, other), &first), Refusal::Conflict { base: 5, current: 7 });
}

#[test]
fn what_was_taken_is_taken_however_often_it_comes() {
    let change = whole(5, text(7));
    let first = next(&change, &held(5));
    assert!(matches!(apply(&change, &first), Ok(Outcome::TakenBefore)));
    let later = next(&whole(7, text(9)), &first);
    assert!(matches!(apply(&change, &later), Ok(Outcome::TakenBefore)), "also behind a newer one");
}

#[test]
fn a_change_is_recognised_after_hundreds_of_others() {
    let change = whole(5, text(6));
    let mut current = next(&change, &held(5));
    for revision in 7..7 + TAKEN as u64 - 1 {
        current = next(&whole(revision - 1, text(revision)), &current);
    }
    assert_eq!(current.taken.len() + current.earlier.len(), TAKEN, "what is kept is bounded");
    assert!(matches!(apply(&change, &current), Ok(Outcome::TakenBefore)));
}

#[test]
fn invalid_ones_are_a_4xx_and_change_nothing() {
    for (body, partial) in
        [(text(5), false), (text(4), false), ("{".into(), false), ("{".into(), true), ("[]".into(), true)]
    {
        let refusal = refused(&ConfigChange { base: 5, text: body, partial }, &held(5));
        assert_eq!(refusal.status(), 400);
        assert!(!refusal.to_string().is_empty());
    }
    let drop = serde_json::json!({"revision": 9, "withdraw": {"service_table": ["s"]}}).to_string();
    let refusal = refused(&ConfigChange { base: 5, text: drop, partial: true }, &held(5));
    assert!(refusal.status() == 400 && refusal.to_string().contains("unknown service `s`"));
}
