use std::collections::BTreeMap;

use super::{BackoffReason, Candidates, List};

fn list(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

fn three() -> Candidates {
    let mut candidates = Candidates::new("edge-1", "own", &[]);
    candidates.update(&list(&["a", "b", "c"]), &[]);
    candidates
}

fn pick(candidates: &Candidates, now: u64) -> Option<String> {
    candidates.pick(List::OwnOrder, now, |_| Some(0))
}

#[test]
fn a_silent_controller_is_passed_over_until_all_are() {
    let mut candidates = three();
    assert_eq!(pick(&candidates, 10).as_deref(), Some("a"));
    candidates.back_off("a", BackoffReason::Unresponsive, 0);
    candidates.back_off("b", BackoffReason::Unproved, 0);
    assert_eq!(pick(&candidates, 10).as_deref(), Some("c"), "no second is spent on one that was just silent");
    candidates.back_off("c", BackoffReason::Unresponsive, 1000);
    assert_eq!(pick(&candidates, 1010).as_deref(), Some("b"), "all were: the one that is free first");
    assert_eq!(pick(&candidates, 5000).as_deref(), Some("a"), "its own zone again, once it may be back");
    assert_eq!(pick(&Candidates::new("edge-1", "own", &[]), 0), None);
}

#[test]
fn one_that_is_gone_for_good_is_tried_ever_more_seldom_and_a_proof_restores_it() {
    let mut candidates = three();
    let (mut now, mut spans) = (0, Vec::new());
    for _ in 0..6 {
        candidates.back_off("a", BackoffReason::Unresponsive, now);
        // That it fails again meanwhile counts for nothing.
        candidates.back_off("a", BackoffReason::Unresponsive, now + 1);
        let begun = now;
        while candidates.is_backed_off("a", now) {
            now += 1;
        }
        spans.push((now - begun) / 1000);
    }
    assert_eq!(spans, [5, 10, 20, 40, 40, 40]);
    candidates.back_off("a", BackoffReason::Unresponsive, now);
    candidates.end_backoff("a", now + 1);
    assert_eq!(pick(&candidates, now + 1).as_deref(), Some("a"));
}

#[test]
fn those_asked_less_often_come_first_and_those_passed_over_last() {
    let mut candidates = three();
    let attempts = |controller: &str| Some(u32::from(controller == "a"));
    assert_eq!(candidates.pick(List::OwnOrder, 0, attempts).as_deref(), Some("b"));
    candidates.back_off("b", BackoffReason::Unresponsive, 0);
    candidates.back_off("c", BackoffReason::Unresponsive, 0);
    assert_eq!(candidates.pick(List::OwnOrder, 0, attempts).as_deref(), Some("a"));
    assert_eq!(candidates.pick(List::OwnOrder, 0, |controller| (controller != "a").then_some(0)).as_deref(), Some("b"));
}

#[test]
fn routers_spread_over_seeds_and_members_and_begin_on_their_own_machine() {
    let names = list(&["a", "b", "c"]);
    let mut first_seeds = BTreeMap::<String, u32>::new();
    let mut first_members = BTreeMap::<String, u32>::new();
    for node in 0..300 {
        let mut candidates = Candidates::new(&format!("edge-{node}"), "own", &names);
        *first_seeds.entry(pick(&candidates, 0).expect("one")).or_default() += 1;
        candidates.update(&[], &names);
        let member = candidates.pick(List::Core, 0, |_| Some(0)).expect("one");
        *first_members.entry(member).or_default() += 1;
    }
    for counts in [first_seeds, first_members] {
        assert_eq!(counts.len(), 3);
        assert!(counts.values().all(|count| (70..=130).contains(count)), "{counts:?}");
    }
    let own = Candidates::new("edge-1", "b", &names);
    assert_eq!(pick(&own, 0).as_deref(), Some("b"));
}
