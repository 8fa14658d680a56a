//! A delta sent to other controllers gives them the very body that was committed, or nothing.

use consensus::Decision;
use protocol::config::{self, ConfigDocument};
use protocol::message::{Entry, ProposalNumber};
use protocol::operator_request::{CommittedDelta, ConfigChange, OperatorResponse};

use super::{can_apply, decide, delta_of, next_body, ChangeResult, Transition};
use crate::config::body::{body_digest, BodyFormat, StoredConfig};
use crate::config::change::ParsedChange;
use crate::replication::committed_state::{CommittedState, CONFIG_KEY};

fn text(revision: u64, routes: usize) -> String {
    let route = |number: usize| {
        serde_json::json!({"name": format!("r{number}"), "hostname": format!("h{number}"), "path_prefix": "/",
            "route_type": "idempotent", "timeout_ms": 5, "service": "s"})
    };
    let routes: Vec<_> = (0..routes).map(route).collect();
    serde_json::json!({"revision": revision, "service_table": [{"name": "s"}], "route_table": routes}).to_string()
}

/// What is stored, the change, and the body that its committer made of both.
fn committed(routes: usize, format: BodyFormat) -> (Vec<u8>, CommittedDelta, Vec<u8>) {
    let stored =
        StoredConfig { revision: 5, text: text(5, routes), legacy_changes: vec![7], ..StoredConfig::default() };
    let body = stored.encode(format);
    let route = serde_json::json!({"name": "new", "hostname": "n", "path_prefix": "/", "route_type": "idempotent",
        "timeout_ms": 9, "service": "s"});
    let text = serde_json::json!({"revision": 8, "upsert": {"route_table": [route]}}).to_string();
    let change = ConfigChange { base: 5, text, partial: true };
    let (after, transition) = step_on(&body, &change, format);
    let entry = Entry { proposal_number: ProposalNumber { term: 2, replica_id: 1 }, index: 1, body: after.clone() };
    let delta = delta_of(&entry, &change, &transition);
    assert_eq!((delta.before, delta.after, delta.revision), (body_digest(&body), body_digest(&after), 8));
    (body, delta, after)
}

const FORMS: [BodyFormat; 3] = [BodyFormat::Plain, BodyFormat::Compressed, BodyFormat::Digested];

/// The body that a controller makes.
fn made(body: &[u8], delta: &CommittedDelta) -> Option<Vec<u8>> {
    next_body(body, None, delta).map(|(body, _)| body)
}

#[test]
fn a_controller_that_holds_the_body_before_gets_the_committed_one() {
    for (routes, format) in [1, 200].iter().flat_map(|routes| FORMS.map(|format| (*routes, format))) {
        let (body, delta, after) = committed(routes, format);
        assert_eq!(made(&body, &delta), Some(after));
        // Also with the configuration before read already, or with another one at hand.
        let known = ConfigDocument::parse(&text(5, routes)).expect("good");
        let other = ConfigDocument::parse(&text(5, routes + 1)).expect("good");
        for known in [known, other] {
            let (body, checked) = next_body(&body, Some(&known), &delta).expect("made");
            let stored = StoredConfig::decode(&body).expect("read");
            assert_eq!(checked.expect("changed").text(), stored.text);
        }
    }
}

#[test]
fn one_that_holds_another_body_gets_nothing() {
    for format in FORMS {
        let (_, delta, _) = committed(1, format);
        let other = StoredConfig { revision: 5, text: text(5, 2), legacy_changes: vec![7], ..StoredConfig::default() };
        assert_eq!(made(&other.encode(format), &delta), None);
        assert_eq!(made(&[], &delta), None);
    }
}

#[test]
fn a_delta_that_does_not_lead_to_the_committed_body_is_not_applied() {
    for format in FORMS {
        let (body, delta, _) = committed(1, format);
        assert_eq!(made(&body, &CommittedDelta { after: delta.after ^ 1, ..delta.clone() }), None);
        assert_eq!(made(&body, &CommittedDelta { revision: delta.revision + 1, ..delta }), None);
    }
}

#[test]
fn the_same_body_committed_again_stays() {
    for format in FORMS {
        let (body, delta, _) = committed(1, format);
        let again = CommittedDelta { change: None, after: delta.before, ..delta };
        assert_eq!(made(&body, &again), Some(body));
    }
}

/// Judges a change on a body, as the controller does that is home to the configuration.
fn step_on(body: &[u8], change: &ConfigChange, format: BodyFormat) -> (Vec<u8>, Transition) {
    match decide(&ParsedChange::parse(change), body, None, format) {
        Decision::Write(next, ChangeResult::Transition(transition)) => (next, transition),
        _ => panic!("a change to be written"),
    }
}

#[test]
fn a_body_never_goes_back_to_an_older_form_though_a_member_was_never_heard() {
    let stored = StoredConfig { revision: 5, text: text(5, 200), ..StoredConfig::default() };
    let change = ConfigChange { base: 5, text: text(6, 200), partial: false };
    for before in [BodyFormat::Plain, BodyFormat::Compressed, BodyFormat::Digested] {
        for read_by_all in [BodyFormat::Plain, BodyFormat::Compressed, BodyFormat::Digested] {
            let (next, _) = step_on(&stored.encode(before), &change, read_by_all);
            assert_eq!(BodyFormat::of(&next), before.max(read_by_all));
        }
    }
}

/// A delta has its own revision and bodies, whatever was learned between its commit and its publication: the controller's
/// current revision was sent in its place once.
#[test]
fn a_delta_describes_its_own_change_though_a_later_one_is_known_by_then() {
    let stored = StoredConfig { revision: 5, text: text(5, 2), ..StoredConfig::default() };
    let body = stored.encode(BodyFormat::Digested);
    let first = ConfigChange { base: 5, text: text(7, 2), partial: false };
    let second = ConfigChange { base: 7, text: text(9, 2), partial: false };
    let (after_first, transition) = step_on(&body, &first, BodyFormat::Digested);
    let (after_second, later) = step_on(&after_first, &second, BodyFormat::Digested);
    let mut committed = CommittedState::default();
    let entry = |place, body: &[u8]| Entry {
        proposal_number: ProposalNumber { term: place, replica_id: 1 },
        index: 1,
        body: body.to_vec(),
    };
    committed.learn(CONFIG_KEY, &entry(2, &after_second), Some(later.config.clone()));
    committed.learn(CONFIG_KEY, &entry(1, &after_first), Some(transition.config.clone()));
    assert_eq!(committed.history.revision(), 9, "the later one stays");
    let delta = delta_of(&entry(1, &after_first), &first, &transition);
    assert_eq!(delta.revision, 7);
    let (made, checked) = next_body(&body, None, &delta).expect("a peer that holds the body before can make it");
    assert_eq!((made, checked.expect("another configuration").revision()), (after_first, 7));
}

#[test]
fn a_controller_that_would_make_another_body_gets_the_full_entry() {
    let stored = StoredConfig { revision: 5, text: text(5, 2), ..StoredConfig::default() };
    let full = ConfigChange { base: 5, text: text(6, 2), partial: false };
    let patch = ConfigChange { base: 5, text: "{\"revision\":6}".into(), partial: true };
    let transition = |before, change, format| step_on(&stored.encode(before), change, format).1;
    let same = transition(BodyFormat::Plain, &full, BodyFormat::Plain);
    assert!(can_apply(3, &full, &same) && can_apply(4, &full, &same));
    let same = transition(BodyFormat::Plain, &patch, BodyFormat::Compressed);
    assert!(!can_apply(3, &patch, &same), "it writes the text otherwise");
    assert!(can_apply(4, &patch, &same));
    let other = transition(BodyFormat::Compressed, &full, BodyFormat::Digested);
    assert!(!can_apply(4, &full, &other), "a new layout is sent in full, once");
}

#[test]
fn a_body_that_cannot_be_read_is_neither_changed_nor_refused() {
    let change = ConfigChange { base: 0, text: text(6, 2), partial: false };
    for body in [&b"of another form"[..], b"\0tdcfg2\0torn", b"\0tdplz4\0torn"] {
        let decision = decide(&ParsedChange::parse(&change), body, None, BodyFormat::Digested);
        assert!(matches!(decision, Decision::Answer(ChangeResult::Response(OperatorResponse::OutcomeUnknown))));
    }
}

/// A version before kept a text with bytes behind its end; changes of it were refused for ever.
#[test]
fn a_text_that_an_earlier_version_took_can_be_changed_and_replaced() {
    let stored = StoredConfig { revision: 5, text: format!("{} x", text(5, 2)), ..StoredConfig::default() };
    let patch = ConfigChange { base: 5, text: "{\"revision\":6}".into(), partial: true };
    let full = ConfigChange { base: 5, text: text(6, 2), partial: false };
    for change in [&patch, &full] {
        let (_, transition) = step_on(&stored.encode(BodyFormat::Plain), change, BodyFormat::Digested);
        assert_eq!((transition.config.revision(), transition.config.config().route_table.len()), (6, 2));
        assert!(config::read(transition.config.text()).is_ok());
    }
    // One that reads as nothing is left alone by patches, and can be replaced.
    let torn = StoredConfig { text: "{\"revision\":5".into(), ..stored };
    let judged =
        |change| decide(&ParsedChange::parse(change), &torn.encode(BodyFormat::Plain), None, BodyFormat::Digested);
    assert!(matches!(judged(&patch), Decision::Answer(ChangeResult::Response(OperatorResponse::OutcomeUnknown))));
    assert!(matches!(judged(&full), Decision::Write(..)));
}
