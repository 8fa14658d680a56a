//! One controller's shards through leases, their ends and changes of the eligible controllers.

use super::{Shards, TokenDecision};
use crate::{EligibleOwner, Quota, REACQUIRE_DELAY_MS};

const QUOTA: Quota = Quota { rate_per_s: 30.0, burst: 30.0 };

fn eligible(names: &[&str]) -> Vec<EligibleOwner> {
    names.iter().map(|name| EligibleOwner { ip: (*name).into(), zone: (*name).into() }).collect()
}

struct Controller {
    shards: Shards,
    now: u64,
    eligible: Vec<EligibleOwner>,
}

impl Controller {
    fn start(names: &[&str]) -> Controller {
        Controller { shards: Shards::new("a"), now: 0, eligible: eligible(names) }
    }

    fn run(&mut self, time_ms: u64, is_confirmed: bool) {
        let end = self.now + time_ms;
        while self.now < end {
            self.now += 100;
            self.shards.refresh(self.now, is_confirmed.then_some(self.now), self.eligible.clone());
        }
    }

    fn acquire_all(&mut self) -> usize {
        let granted = |_: &usize| self.shards.try_acquire("t", QUOTA, self.now, None) == TokenDecision::Granted;
        (0..1000).take_while(granted).count()
    }
}

#[test]
fn a_shard_issues_its_share_once_the_reacquire_delay_is_over() {
    let mut controller = Controller::start(&["a", "b", "c"]);
    controller.run(100, true);
    assert_eq!(controller.shards.try_acquire("t", QUOTA, controller.now, None), TokenDecision::NotOwner);
    controller.run(REACQUIRE_DELAY_MS + 500, true);
    assert_eq!(controller.acquire_all(), 5, "half a second of a third");
    controller.run(10_000, true);
    assert_eq!(controller.acquire_all(), 10, "a third of the burst");
}

#[test]
fn an_empty_shard_returns_when_its_next_token_comes() {
    let mut controller = Controller::start(&["a", "b", "c"]);
    controller.run(REACQUIRE_DELAY_MS + 100, true);
    assert_eq!(controller.acquire_all(), 0);
    assert_eq!(
        controller.shards.try_acquire("t", QUOTA, controller.now, None),
        TokenDecision::Denied { retry_after_ms: 100 }
    );
}

#[test]
fn tokens_of_shards_owned_by_others_are_not_granted() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut controller = Controller::start(&names);
    controller.run(3000, true);
    let is_owner = |tenant: &str| crate::shard_owners(tenant, &controller.eligible).iter().any(|owner| owner.ip == "a");
    let (own, other): (Vec<String>, Vec<String>) =
        (0..50).map(|number| format!("t{number}")).partition(|tenant| is_owner(tenant));
    assert!(!own.is_empty() && !other.is_empty());
    assert!(own
        .iter()
        .all(|tenant| controller.shards.try_acquire(tenant, QUOTA, controller.now, None) == TokenDecision::Granted));
    assert!(other
        .iter()
        .all(|tenant| controller.shards.try_acquire(tenant, QUOTA, controller.now, None) == TokenDecision::NotOwner));
}

#[test]
fn without_a_quorum_it_grants_its_tokens_until_its_lease_ends_and_issues_none() {
    let mut controller = Controller::start(&["a", "b", "c"]);
    controller.run(10_000, true);
    controller.run(1500, false);
    assert_eq!(controller.acquire_all(), 10);
    controller.run(300, false);
    assert_eq!(controller.shards.try_acquire("t", QUOTA, controller.now, None), TokenDecision::NotOwner);
}

#[test]
fn tokens_from_before_the_lease_ended_are_void() {
    let mut controller = Controller::start(&["a", "b", "c"]);
    controller.run(10_000, true);
    assert_eq!(controller.shards.try_acquire("t", QUOTA, controller.now, None), TokenDecision::Granted);
    // The process was frozen and wakes with all its tokens.
    controller.now += 20_000;
    assert_eq!(controller.shards.try_acquire("t", QUOTA, controller.now, None), TokenDecision::NotOwner);
    controller.run(REACQUIRE_DELAY_MS + 200, true);
    assert!(controller.acquire_all() <= 2);
}

#[test]
fn a_shard_that_is_taken_over_starts_empty_even_if_nobody_asked_before() {
    let names = ["a", "b", "c", "d"];
    let mut controller = Controller::start(&names);
    controller.run(20_000, true);
    let is_owner = |tenant: &str, eligible: &[EligibleOwner]| {
        crate::shard_owners(tenant, eligible).iter().any(|owner| owner.ip == "a")
    };
    let less = eligible(&["a", "c", "d"]);
    let tenant = (0..200).map(|number| format!("t{number}")).find(|tenant| !is_owner(tenant, &controller.eligible));
    let tenant = tenant.expect("one that others hold");
    assert!(is_owner(&tenant, &less));
    controller.eligible = less;
    controller.run(100, true);
    assert!(matches!(
        controller.shards.try_acquire(&tenant, QUOTA, controller.now, None),
        TokenDecision::Denied { .. }
    ));
}

#[test]
fn a_share_that_grows_when_owners_are_lost_issues_no_more_for_the_time_before() {
    let mut controller = Controller::start(&["a", "b", "c"]);
    controller.run(REACQUIRE_DELAY_MS + 100, true);
    assert_eq!(controller.acquire_all(), 0);
    controller.run(300, true);
    controller.eligible = eligible(&["a"]);
    controller.run(100, true);
    assert_eq!(controller.acquire_all(), 4, "0.4 s at a third, and nothing at the whole rate yet");
}

#[test]
fn counters_show_what_was_granted_and_denied() {
    let mut controller = Controller::start(&["a", "b", "c"]);
    controller.run(10_000, true);
    assert_eq!(controller.acquire_all(), 10);
    let usage = controller.shards.counters();
    assert_eq!((usage[0].tenant.as_str(), usage[0].granted, usage[0].denied), ("t", 10, 1));
}
