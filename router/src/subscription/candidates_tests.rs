use std::collections::BTreeMap;

use super::{BackoffReason, CandidateList, Candidates};

fn to_strings(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

fn three_candidates() -> Candidates {
    let mut candidates = Candidates::new("edge-1", "own", &[]);
    candidates.update(&to_strings(&["a", "b", "c"]), &[]);
    candidates
}

fn pick(candidates: &Candidates, now: u64) -> Option<String> {
    candidates.pick(CandidateList::RouterOrder, now, |_| Some(0))
}

#[test]
fn a_controller_in_backoff_is_avoided_unless_all_are_in_backoff() {
    let mut candidates = three_candidates();
    assert_eq!(pick(&candidates, 10).as_deref(), Some("a"));
    candidates.back_off("a", BackoffReason::Unresponsive, 0);
    candidates.back_off("b", BackoffReason::Unproved, 0);
    assert_eq!(pick(&candidates, 10).as_deref(), Some("c"), "a controller in backoff is not called");
    candidates.back_off("c", BackoffReason::Unresponsive, 1000);
    assert_eq!(pick(&candidates, 1010).as_deref(), Some("b"), "all are in backoff: the one whose backoff ends first");
    assert_eq!(pick(&candidates, 5000).as_deref(), Some("a"), "the first in order again, once its backoff has ended");
    assert_eq!(pick(&Candidates::new("edge-1", "own", &[]), 0), None);
}

#[test]
fn backoff_doubles_with_each_repeated_failure_and_a_proof_ends_it() {
    let mut candidates = three_candidates();
    let (mut now, mut backoffs_s) = (0, Vec::new());
    for _ in 0..6 {
        candidates.back_off("a", BackoffReason::Unresponsive, now);
        // A further failure during the backoff does not count.
        candidates.back_off("a", BackoffReason::Unresponsive, now + 1);
        let started_at = now;
        while candidates.is_backed_off("a", now) {
            now += 1;
        }
        backoffs_s.push((now - started_at) / 1000);
    }
    assert_eq!(backoffs_s, [5, 10, 20, 40, 40, 40]);
    candidates.back_off("a", BackoffReason::Unresponsive, now);
    candidates.end_backoff("a", now + 1);
    assert_eq!(pick(&candidates, now + 1).as_deref(), Some("a"));
}

#[test]
fn candidates_with_fewer_attempts_are_picked_first_and_those_in_backoff_last() {
    let mut candidates = three_candidates();
    let attempts = |controller: &str| Some(u32::from(controller == "a"));
    assert_eq!(candidates.pick(CandidateList::RouterOrder, 0, attempts).as_deref(), Some("b"));
    candidates.back_off("b", BackoffReason::Unresponsive, 0);
    candidates.back_off("c", BackoffReason::Unresponsive, 0);
    assert_eq!(candidates.pick(CandidateList::RouterOrder, 0, attempts).as_deref(), Some("a"));
    assert_eq!(
        candidates.pick(CandidateList::RouterOrder, 0, |controller| (controller != "a").then_some(0)).as_deref(),
        Some("b")
    );
}

#[test]
fn routers_spread_over_seeds_and_members_and_prefer_a_seed_on_their_own_machine() {
    let names = to_strings(&["a", "b", "c"]);
    let mut first_seeds = BTreeMap::<String, u32>::new();
    let mut first_members = BTreeMap::<String, u32>::new();
    for router in 0..300 {
        let mut candidates = Candidates::new(&format!("edge-{router}"), "own", &names);
        *first_seeds.entry(pick(&candidates, 0).expect("a seed is known")).or_default() += 1;
        candidates.update(&[], &names);
        let member = candidates.pick(CandidateList::Core, 0, |_| Some(0)).expect("a member is known");
        *first_members.entry(member).or_default() += 1;
    }
    for counts in [first_seeds, first_members] {
        assert_eq!(counts.len(), 3);
        assert!(counts.values().all(|count| (70..=130).contains(count)), "{counts:?}");
    }
    let own = Candidates::new("edge-1", "b", &names);
    assert_eq!(pick(&own, 0).as_deref(), Some("b"));
}
