//! A change told to other controllers gives them the very body that was committed, or nothing.

use consensus::Decision;
use protocol::config::{self, ConfigDocument};
use protocol::message::{Entry, ProposalNumber};
use protocol::operator_request::{CommittedDelta, ConfigChange, OperatorResponse};

use super::{advance_of, can_make, judge, next_body, Judgement, Step};
use crate::config::body::{body_digest, BodyForm, Held};
use crate::config::change::Proposed;
use crate::replication::committed_state::{CommittedState, CONFIG};

fn text(revision: u64, routes: usize) -> String {
    let route = |number: usize| {
        serde_json::json!({"name": format!("r{number}"), "hostname": format!("h{number}"), "path_prefix": "/",
            "route_type": "idempotent", "timeout_ms": 5, "service": "s"})
    };
    let routes: Vec<_> = (0..routes).map(route).collect();
    serde_json::json!({"revision": revision, "service_table": [{"name": "s"}], "route_table": routes}).to_string()
}

/// What is held, the change, and the body that its committer made of both.
fn committed(routes: usize, form: BodyForm) -> (Vec<u8>, CommittedDelta, Vec<u8>) {
    let held = Held { revision: 5, text: text(5, routes), earlier: vec![7], ..Held::default() };
    let body = held.seal(form);
    let route = serde_json::json!({"name": "new", "hostname": "n", "path_prefix": "/", "route_type": "idempotent",
        "timeout_ms": 9, "service": "s"});
    let text = serde_json::json!({"revision": 8, "upsert": {"route_table": [route]}}).to_string();
    let change = ConfigChange { base: 5, text, partial: true };
    let (after, step) = step_on(&body, &change, form);
    let entry = Entry { proposal_number: ProposalNumber { term: 2, replica_id: 1 }, index: 1, body: after.clone() };
    let advance = advance_of(&entry, &change, &step);
    assert_eq!((advance.before, advance.after, advance.revision), (body_digest(&body), body_digest(&after), 8));
    (body, advance, after)
}

const FORMS: [BodyForm; 3] = [BodyForm::Plain, BodyForm::Packed, BodyForm::Digested];

/// The body that a controller makes.
fn made(body: &[u8], advance: &CommittedDelta) -> Option<Vec<u8>> {
    next_body(body, None, advance).map(|(body, _)| body)
}

#[test]
fn a_controller_that_holds_the_body_before_gets_the_committed_one() {
    for (routes, form) in [1, 200].iter().flat_map(|routes| FORMS.map(|form| (*routes, form))) {
        let (body, advance, after) = committed(routes, form);
        assert_eq!(made(&body, &advance), Some(after));
        // Also with the configuration before read already, or with another one at hand.
        let known = ConfigDocument::parse(&text(5, routes)).expect("good");
        let other = ConfigDocument::parse(&text(5, routes + 1)).expect("good");
        for known in [known, other] {
            let (body, checked) = next_body(&body, Some(&known), &advance).expect("made");
            let held = Held::open(&body).expect("read");
            assert_eq!(checked.expect("changed").text(), held.text);
        }
    }
}

#[test]
fn one_that_holds_another_body_gets_nothing() {
    for form in FORMS {
        let (_, advance, _) = committed(1, form);
        let other = Held { revision: 5, text: text(5, 2), earlier: vec![7], ..Held::default() };
        assert_eq!(made(&other.seal(form), &advance), None);
        assert_eq!(made(&[], &advance), None);
    }
}

#[test]
fn a_change_that_comes_out_otherwise_than_committed_is_not_taken() {
    for form in FORMS {
        let (body, advance, _) = committed(1, form);
        assert_eq!(made(&body, &CommittedDelta { after: advance.after ^ 1, ..advance.clone() }), None);
        assert_eq!(made(&body, &CommittedDelta { revision: advance.revision + 1, ..advance }), None);
    }
}

#[test]
fn the_same_body_committed_again_stays() {
    for form in FORMS {
        let (body, advance, _) = committed(1, form);
        let again = CommittedDelta { change: None, after: advance.before, ..advance };
        assert_eq!(made(&body, &again), Some(body));
    }
}

/// Judges a change on a body, as the controller does that is home to the configuration.
fn step_on(body: &[u8], change: &ConfigChange, form: BodyForm) -> (Vec<u8>, Step) {
    match judge(&Proposed::read(change), body, None, form) {
        Decision::Write(next, Judgement::Step(step)) => (next, step),
        _ => panic!("a change to be written"),
    }
}

#[test]
fn a_body_never_goes_back_to_an_older_form_though_a_member_was_never_heard() {
    let held = Held { revision: 5, text: text(5, 200), ..Held::default() };
    let change = ConfigChange { base: 5, text: text(6, 200), partial: false };
    for before in [BodyForm::Plain, BodyForm::Packed, BodyForm::Digested] {
        for read_by_all in [BodyForm::Plain, BodyForm::Packed, BodyForm::Digested] {
            let (next, _) = step_on(&held.seal(before), &change, read_by_all);
            assert_eq!(BodyForm::of(&next), before.max(read_by_all));
        }
    }
}

/// A change is told with its own revision and bodies, whatever was learned between its commit and the telling: the controller's
/// revision was taken for it once.
#[test]
fn what_is_told_of_a_change_is_its_own_though_a_later_one_is_known_by_then() {
    let held = Held { revision: 5, text: text(5, 2), ..Held::default() };
    let body = held.seal(BodyForm::Digested);
    let first = ConfigChange { base: 5, text: text(7, 2), partial: false };
    let second = ConfigChange { base: 7, text: text(9, 2), partial: false };
    let (after_first, step) = step_on(&body, &first, BodyForm::Digested);
    let (after_second, later) = step_on(&after_first, &second, BodyForm::Digested);
    let mut committed = CommittedState::default();
    let entry = |place, body: &[u8]| Entry {
        proposal_number: ProposalNumber { term: place, replica_id: 1 },
        index: 1,
        body: body.to_vec(),
    };
    committed.learn(CONFIG, &entry(2, &after_second), Some(later.checked.clone()));
    committed.learn(CONFIG, &entry(1, &after_first), Some(step.checked.clone()));
    assert_eq!(committed.history.revision(), 9, "the later one stays");
    let advance = advance_of(&entry(1, &after_first), &first, &step);
    assert_eq!(advance.revision, 7);
    let (made, checked) = next_body(&body, None, &advance).expect("a peer that holds the body before can make it");
    assert_eq!((made, checked.expect("another configuration").revision()), (after_first, 7));
}

#[test]
fn a_controller_that_would_make_another_body_gets_the_whole() {
    let held = Held { revision: 5, text: text(5, 2), ..Held::default() };
    let whole = ConfigChange { base: 5, text: text(6, 2), partial: false };
    let items = ConfigChange { base: 5, text: "{\"revision\":6}".into(), partial: true };
    let step = |before, change, form| step_on(&held.seal(before), change, form).1;
    let same = step(BodyForm::Plain, &whole, BodyForm::Plain);
    assert!(can_make(3, &whole, &same) && can_make(4, &whole, &same));
    let same = step(BodyForm::Plain, &items, BodyForm::Packed);
    assert!(!can_make(3, &items, &same), "it writes the text otherwise");
    assert!(can_make(4, &items, &same));
    let other = step(BodyForm::Packed, &whole, BodyForm::Digested);
    assert!(!can_make(4, &whole, &other), "a new layout is told whole, once");
}

#[test]
fn a_body_that_cannot_be_read_is_neither_changed_nor_refused() {
    let change = ConfigChange { base: 0, text: text(6, 2), partial: false };
    for body in [&b"of another form"[..], b"\0tdcfg2\0torn", b"\0tdplz4\0torn"] {
        let verdict = judge(&Proposed::read(&change), body, None, BodyForm::Digested);
        assert!(matches!(verdict, Decision::Answer(Judgement::Answer(OperatorResponse::OutcomeUnknown))));
    }
}

/// A version before kept a text with bytes behind its end; changes of it were refused for ever.
#[test]
fn a_text_that_an_earlier_version_took_can_be_changed_and_replaced() {
    let held = Held { revision: 5, text: format!("{} x", text(5, 2)), ..Held::default() };
    let items = ConfigChange { base: 5, text: "{\"revision\":6}".into(), partial: true };
    let whole = ConfigChange { base: 5, text: text(6, 2), partial: false };
    for change in [&items, &whole] {
        let (_, step) = step_on(&held.seal(BodyForm::Plain), change, BodyForm::Digested);
        assert_eq!((step.checked.revision(), step.checked.config().route_table.len()), (6, 2));
        assert!(config::read(step.checked.text()).is_ok());
    }
    // One that reads as nothing is left alone by changes of items, and can be replaced.
    let torn = Held { text: "{\"revision\":5".into(), ..held };
    let judged = |change| judge(&Proposed::read(change), &torn.seal(BodyForm::Plain), None, BodyForm::Digested);
    assert!(matches!(judged(&items), Decision::Answer(Judgement::Answer(OperatorResponse::OutcomeUnknown))));
    assert!(matches!(judged(&whole), Decision::Write(..)));
}
