//! The worst paths of a change, added up from the shares.

use super::ConvergenceBudget;
use crate::settings::Bounds;

/// The bounds to try; deployments have 2000 to 3000.
const CONVERGE_MS: [u64; 5] = [1500, 2000, 2500, 3000, 4000];

/// The waits on the way of a change. Those of `ConvergenceBudget`, or others to be judged by the same sums.
struct Waits {
    /// A controller's confirmation is at most so old.
    confirmation_age: u64,
    /// What a controller needs to fetch what it was not pushed.
    fetch: u64,
    renewal: u64,
    answer: u64,
    /// From the last proof to the first asking of others.
    first_ask: u64,
    /// How many are asked then.
    at_once: u64,
    /// From there to the next one asked.
    next_ask: u64,
}

impl Waits {
    fn of(budget: &ConvergenceBudget) -> Waits {
        Waits {
            confirmation_age: budget.confirmation_age_ms(),
            fetch: budget.confirmation_fetch_ms(),
            renewal: budget.renewal_interval_ms(),
            answer: budget.response_ms(),
            first_ask: budget.hedge_age_ms(),
            at_once: 2,
            next_ask: budget.hedge_gap_ms(),
        }
    }

    /// A router with one home: silent after a beat and two calls of 700 ms; the next home's first answer has
    /// 1,500 ms. Controllers are sure for 1,100 ms.
    fn single_home() -> Waits {
        Waits {
            confirmation_age: 1100,
            fetch: 600,
            renewal: 400,
            answer: 200,
            first_ask: 1100 + 1200,
            at_once: 1,
            next_ask: 1500,
        }
    }

    /// From the acknowledgement until in force, if the home and the first `sick` of the others give no proof.
    fn sick(&self, sick: u64) -> u64 {
        let further = (sick + 1).saturating_sub(self.at_once);
        self.first_ask + further * self.next_ask + self.answer
    }

    /// The push to the router is lost: the next renewal brings the change.
    fn lost_push_to_router(&self) -> u64 {
        self.confirmation_age + self.renewal + self.answer
    }

    /// The frame with the change is dropped at the router: the answer shows it, and it calls again at once.
    fn dropped_at_router(&self) -> u64 {
        self.lost_push_to_router() + self.answer
    }

    /// The push to the controller is lost: its next confirmation finds the change and fetches it.
    fn lost_push_to_controller(&self) -> u64 {
        self.fetch + self.lost_push_to_router()
    }

    /// Every path that must be below the bound, by name.
    fn paths(&self) -> [(&'static str, u64); 6] {
        [
            ("a sick home", self.sick(0)),
            ("two in a row", self.sick(1)),
            ("a sick home and three sick candidates, one of them in the core", self.sick(3)),
            ("a push to the router lost", self.lost_push_to_router()),
            ("a frame dropped at the router", self.dropped_at_router()),
            ("a push to the controller lost", self.lost_push_to_controller()),
        ]
    }
}

fn budget(converge_ms: u64) -> ConvergenceBudget {
    ConvergenceBudget::new(&Bounds { converge_ms, ..Default::default() })
}

#[test]
fn every_path_of_a_change_ends_below_the_bound_with_a_tenth_to_spare() {
    for converge_ms in CONVERGE_MS {
        for (path, sum) in Waits::of(&budget(converge_ms)).paths() {
            assert!(sum * 10 <= converge_ms * 9, "{path}: {sum} of {converge_ms} ms");
        }
    }
}

#[test]
fn the_waits_of_a_router_with_a_single_home_do_not() {
    for converge_ms in CONVERGE_MS {
        let paths = Waits::single_home().paths();
        let late = paths.iter().filter(|(_, sum)| sum * 10 > converge_ms * 9).count();
        assert!(late >= 2, "{converge_ms}: {paths:?}");
    }
}

#[test]
fn whoever_is_asked_first_knows_what_the_sick_home_did_not_prove() {
    for converge_ms in CONVERGE_MS {
        let budget = budget(converge_ms);
        assert!(budget.hedge_age_ms() > budget.confirmation_age_ms(), "{converge_ms}");
    }
}

#[test]
fn a_healthy_home_is_not_hedged() {
    for converge_ms in CONVERGE_MS {
        let budget = budget(converge_ms);
        // A read takes a small part of what it may take.
        let usual = budget.confirmation_interval_ms() + budget.renewal_interval_ms() + budget.response_ms() / 2;
        assert!(usual < budget.hedge_age_ms(), "{converge_ms}: {usual}");
    }
}

#[test]
fn a_refusal_rests_on_a_proof_well_within_the_bound() {
    for converge_ms in CONVERGE_MS {
        let budget = budget(converge_ms);
        assert!(budget.refusal_age_ms() + budget.refusal_wait_ms() <= converge_ms, "{converge_ms}");
        // While one of two is sick, refusals go on.
        assert!(Waits::of(&budget).sick(1) < budget.refusal_age_ms(), "{converge_ms}");
    }
}

#[test]
fn contact_that_is_back_is_used_before_it_counts() {
    for contact_ms in [2000, 3000, 5000] {
        let bounds = Bounds { contact_ms, ..Default::default() };
        let budget = ConvergenceBudget::new(&bounds);
        let two_asked = 2 * budget.max_hedge_gap_ms() + budget.response_ms();
        assert!(two_asked * 10 <= contact_ms * 9, "{contact_ms}: {two_asked}");
    }
}
