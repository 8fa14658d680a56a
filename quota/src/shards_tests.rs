//! One controller's shards across leases, their ends, and changes of the eligible controllers.

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
fn a_shard_issues_its_share_of_the_limit_after_the_reacquire_delay() {
    let mut controller = Controller::start(&["a", "b", "c"]);
    controller.run(100, true);
    assert_eq!(controller.shards.try_acquire("t", QUOTA, controller.now, None), TokenDecision::NotOwner);
    controller.run(REACQUIRE_DELAY_MS + 500, true);
    assert_eq!(controller.acquire_all(), 5, "half a second at a third of the rate");
    controller.run(10_000, true);
    assert_eq!(controller.acquire_all(), 10, "a third of the burst");
}

#[test]
fn an_empty_shard_denies_with_the_time_until_its_next_token() {
    let mut controller = Controller::start(&["a", "b", "c"]);
    controller.run(REACQUIRE_DELAY_MS + 100, true);
    assert_eq!(controller.acquire_all(), 0);
    assert_eq!(
        controller.shards.try_acquire("t", QUOTA, controller.now, None),
        TokenDecision::Denied { retry_after_ms: 100 }
    );
}

#[test]
fn tokens_are_granted_only_for_owned_shards() {
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
fn without_a_quorum_existing_tokens_are_granted_until_the_lease_ends_and_none_are_issued() {
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
    // The process was frozen and resumes with all its tokens.
    controller.now += 20_000;
    assert_eq!(controller.shards.try_acquire("t", QUOTA, controller.now, None), TokenDecision::NotOwner);
    controller.run(REACQUIRE_DELAY_MS + 200, true);
    assert!(controller.acquire_all() <= 2);
}

#[test]
fn a_shard_that_is_taken_over_starts_empty_without_earlier_requests() {
    let names = ["a", "b", "c", "d"];
    let mut controller = Controller::start(&names);
    controller.run(20_000, true);
    let is_owner = |tenant: &str, eligible: &[EligibleOwner]| {
        crate::shard_owners(tenant, eligible).iter().any(|owner| owner.ip == "a")
    };
    let remaining = eligible(&["a", "c", "d"]);
    let tenant = (0..200).map(|number| format!("t{number}")).find(|tenant| !is_owner(tenant, &controller.eligible));
    let tenant = tenant.expect("a tenant whose shards other controllers own");
    assert!(is_owner(&tenant, &remaining));
    controller.eligible = remaining;
    controller.run(100, true);
    assert!(matches!(
        controller.shards.try_acquire(&tenant, QUOTA, controller.now, None),
        TokenDecision::Denied { .. }
    ));
}

#[test]
fn a_larger_share_after_lost_owners_does_not_apply_to_the_time_before() {
    let mut controller = Controller::start(&["a", "b", "c"]);
    controller.run(REACQUIRE_DELAY_MS + 100, true);
    assert_eq!(controller.acquire_all(), 0);
    controller.run(300, true);
    controller.eligible = eligible(&["a"]);
    controller.run(100, true);
    assert_eq!(controller.acquire_all(), 4, "0.4 s at a third of the rate, and nothing at the full rate yet");
}

#[test]
fn counters_count_granted_and_denied_requests() {
    let mut controller = Controller::start(&["a", "b", "c"]);
    controller.run(10_000, true);
    assert_eq!(controller.acquire_all(), 10);
    let counters = controller.shards.counters();
    assert_eq!((counters[0].tenant.as_str(), counters[0].granted, counters[0].denied), ("t", 10, 1));
}
