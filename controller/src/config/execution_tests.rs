//! A delta yields exactly the committed body at another controller, or it is not applied.

use consensus::Decision;
use protocol::config::{self, ConfigDocument};
use protocol::message::{Entry, ProposalNumber};
use protocol::operator_request::{CommittedDelta, ConfigChange, OperatorResponse};

use super::{can_apply, decide, delta_of, next_body, ChangeResult, Transition};
use crate::config::body::{body_digest, BodyFormat, StoredConfig};
use crate::config::change::ParsedChange;
use crate::replication::committed_state::{CommittedState, CONFIG_KEY};

fn config_text(revision: u64, routes: usize) -> String {
    let route = |number: usize| {
        serde_json::json!({"name": format!("r{number}"), "hostname": format!("h{number}"), "path_prefix": "/",
            "route_type": "idempotent", "timeout_ms": 5, "service": "s"})
    };
    let routes: Vec<_> = (0..routes).map(route).collect();
    serde_json::json!({"revision": revision, "service_table": [{"name": "s"}], "route_table": routes}).to_string()
}

/// Returns a stored body, the delta of a change to it, and the body that was committed.
fn committed_delta(routes: usize, format: BodyFormat) -> (Vec<u8>, CommittedDelta, Vec<u8>) {
    let stored =
        StoredConfig { revision: 5, text: config_text(5, routes), legacy_changes: vec![7], ..StoredConfig::default() };
    let body = stored.encode(format);
    let route = serde_json::json!({"name": "new", "hostname": "n", "path_prefix": "/", "route_type": "idempotent",
        "timeout_ms": 9, "service": "s"});
    let text = serde_json::json!({"revision": 8, "upsert": {"route_table": [route]}}).to_string();
    let change = ConfigChange { base: 5, text, partial: true };
    let (after, transition) = apply_change(&body, &change, format);
    let entry = Entry { proposal_number: ProposalNumber { term: 2, replica_id: 1 }, index: 1, body: after.clone() };
    let delta = delta_of(&entry, &change, &transition);
    assert_eq!((delta.before, delta.after, delta.revision), (body_digest(&body), body_digest(&after), 8));
    (body, delta, after)
}

const FORMATS: [BodyFormat; 3] = [BodyFormat::Plain, BodyFormat::Compressed, BodyFormat::Digested];

/// Returns the body that a controller derives from a delta.
fn derived_body(body: &[u8], delta: &CommittedDelta) -> Option<Vec<u8>> {
    next_body(body, None, delta).map(|(body, _)| body)
}

#[test]
fn a_delta_on_the_previous_body_yields_the_committed_body() {
    for (routes, format) in [1, 200].iter().flat_map(|routes| FORMATS.map(|format| (*routes, format))) {
        let (body, delta, after) = committed_delta(routes, format);
        assert_eq!(derived_body(&body, &delta), Some(after));
        // The result is the same with the previous configuration already parsed, or with an unrelated one.
        let known = ConfigDocument::parse(&config_text(5, routes)).expect("the configuration is valid");
        let other = ConfigDocument::parse(&config_text(5, routes + 1)).expect("the configuration is valid");
        for known in [known, other] {
            let (body, config) = next_body(&body, Some(&known), &delta).expect("the delta is applied");
            let stored = StoredConfig::decode(&body).expect("the body is decoded");
            assert_eq!(config.expect("the configuration changed").text(), stored.text);
        }
    }
}

#[test]
fn a_delta_on_another_body_is_not_applied() {
    for format in FORMATS {
        let (_, delta, _) = committed_delta(1, format);
        let other =
            StoredConfig { revision: 5, text: config_text(5, 2), legacy_changes: vec![7], ..StoredConfig::default() };
        assert_eq!(derived_body(&other.encode(format), &delta), None);
        assert_eq!(derived_body(&[], &delta), None);
    }
}

#[test]
fn a_delta_with_an_unexpected_result_is_not_applied() {
    for format in FORMATS {
        let (body, delta, _) = committed_delta(1, format);
        assert_eq!(derived_body(&body, &CommittedDelta { after: delta.after ^ 1, ..delta.clone() }), None);
        assert_eq!(derived_body(&body, &CommittedDelta { revision: delta.revision + 1, ..delta }), None);
    }
}

#[test]
fn a_delta_without_a_change_keeps_the_body() {
    for format in FORMATS {
        let (body, delta, _) = committed_delta(1, format);
        let recommitted = CommittedDelta { change: None, after: delta.before, ..delta };
        assert_eq!(derived_body(&body, &recommitted), Some(body));
    }
}

/// Applies a change to a body, as the controller that coordinates the configuration does.
fn apply_change(body: &[u8], change: &ConfigChange, format: BodyFormat) -> (Vec<u8>, Transition) {
    match decide(&ParsedChange::parse(change), body, None, format) {
        Decision::Write(next, ChangeResult::Transition(transition)) => (next, transition),
        _ => panic!("the change is not written"),
    }
}

#[test]
fn a_body_is_never_written_in_an_older_format_when_readers_are_unknown() {
    let stored = StoredConfig { revision: 5, text: config_text(5, 200), ..StoredConfig::default() };
    let change = ConfigChange { base: 5, text: config_text(6, 200), partial: false };
    for before in [BodyFormat::Plain, BodyFormat::Compressed, BodyFormat::Digested] {
        for read_by_all in [BodyFormat::Plain, BodyFormat::Compressed, BodyFormat::Digested] {
            let (next, _) = apply_change(&stored.encode(before), &change, read_by_all);
            assert_eq!(BodyFormat::of(&next), before.max(read_by_all));
        }
    }
}

/// A delta describes its own revision and bodies, whatever was learned between its commit and its publication. Guards
/// against a fault in which the controller's current revision was sent instead.
#[test]
fn a_delta_describes_its_own_change_after_a_later_one_is_learned() {
    let stored = StoredConfig { revision: 5, text: config_text(5, 2), ..StoredConfig::default() };
    let body = stored.encode(BodyFormat::Digested);
    let first = ConfigChange { base: 5, text: config_text(7, 2), partial: false };
    let second = ConfigChange { base: 7, text: config_text(9, 2), partial: false };
    let (after_first, transition) = apply_change(&body, &first, BodyFormat::Digested);
    let (after_second, later) = apply_change(&after_first, &second, BodyFormat::Digested);
    let mut committed = CommittedState::default();
    let entry = |number, body: &[u8]| Entry {
        proposal_number: ProposalNumber { term: number, replica_id: 1 },
        index: 1,
        body: body.to_vec(),
    };
    committed.learn(CONFIG_KEY, &entry(2, &after_second), Some(later.config.clone()));
    committed.learn(CONFIG_KEY, &entry(1, &after_first), Some(transition.config.clone()));
    assert_eq!(committed.history.revision(), 9, "the later configuration stays");
    let delta = delta_of(&entry(1, &after_first), &first, &transition);
    assert_eq!(delta.revision, 7);
    let (derived, config) = next_body(&body, None, &delta).expect("a peer with the previous body applies the delta");
    assert_eq!((derived, config.expect("the configuration changed").revision()), (after_first, 7));
}

#[test]
fn can_apply_is_false_where_a_controller_would_derive_another_body() {
    let stored = StoredConfig { revision: 5, text: config_text(5, 2), ..StoredConfig::default() };
    let full = ConfigChange { base: 5, text: config_text(6, 2), partial: false };
    let patch = ConfigChange { base: 5, text: "{\"revision\":6}".into(), partial: true };
    let transition = |before, change, format| apply_change(&stored.encode(before), change, format).1;
    let same = transition(BodyFormat::Plain, &full, BodyFormat::Plain);
    assert!(can_apply(3, &full, &same) && can_apply(4, &full, &same));
    let same = transition(BodyFormat::Plain, &patch, BodyFormat::Compressed);
    assert!(!can_apply(3, &patch, &same), "version 3 formats the text differently");
    assert!(can_apply(4, &patch, &same));
    let other = transition(BodyFormat::Compressed, &full, BodyFormat::Digested);
    assert!(!can_apply(4, &full, &other), "a change of layout is sent in full");
}

#[test]
fn a_change_of_an_undecodable_body_has_an_unknown_outcome() {
    let change = ConfigChange { base: 0, text: config_text(6, 2), partial: false };
    for body in [&b"of another form"[..], b"\0tdcfg2\0torn", b"\0tdplz4\0torn"] {
        let decision = decide(&ParsedChange::parse(&change), body, None, BodyFormat::Digested);
        assert!(matches!(decision, Decision::Answer(ChangeResult::Response(OperatorResponse::OutcomeUnknown))));
    }
}

/// An earlier version accepted a text with trailing bytes; every change of it was then rejected.
#[test]
fn a_text_with_trailing_bytes_can_be_patched_and_replaced() {
    let stored = StoredConfig { revision: 5, text: format!("{} x", config_text(5, 2)), ..StoredConfig::default() };
    let patch = ConfigChange { base: 5, text: "{\"revision\":6}".into(), partial: true };
    let full = ConfigChange { base: 5, text: config_text(6, 2), partial: false };
    for change in [&patch, &full] {
        let (_, transition) = apply_change(&stored.encode(BodyFormat::Plain), change, BodyFormat::Digested);
        assert_eq!((transition.config.revision(), transition.config.config().route_table.len()), (6, 2));
        assert!(config::read(transition.config.text()).is_ok());
    }
    // A patch of a text that cannot be parsed has an unknown outcome; a full configuration replaces the text.
    let truncated = StoredConfig { text: "{\"revision\":5".into(), ..stored };
    let decision =
        |change| decide(&ParsedChange::parse(change), &truncated.encode(BodyFormat::Plain), None, BodyFormat::Digested);
    assert!(matches!(decision(&patch), Decision::Answer(ChangeResult::Response(OperatorResponse::OutcomeUnknown))));
    assert!(matches!(decision(&full), Decision::Write(..)));
}
