//! The worst paths of a change, added up from the shares.

use super::ConvergenceBudget;
use crate::settings::Bounds;

/// The values to try; deployments have 2000 to 3000.
const CONVERGE_MS: [u64; 5] = [1500, 2000, 2500, 3000, 4000];

/// The waits on the way of a change, in milliseconds: those of `ConvergenceBudget`, or others to be checked by the same sums.
struct Waits {
    /// The greatest age of a controller's confirmation.
    confirmation_age: u64,
    /// A controller's fetch of what it was not pushed.
    fetch: u64,
    renewal: u64,
    response: u64,
    /// From the last proof to the first call to others.
    hedge_age: u64,
    /// How many are called then.
    hedge_count: u64,
    /// From there to the next call.
    hedge_gap: u64,
}

impl Waits {
    fn of(budget: &ConvergenceBudget) -> Waits {
        Waits {
            confirmation_age: budget.confirmation_age_ms(),
            fetch: budget.confirmation_fetch_ms(),
            renewal: budget.renewal_interval_ms(),
            response: budget.response_ms(),
            hedge_age: budget.hedge_age_ms(),
            hedge_count: 2,
            hedge_gap: budget.hedge_gap_ms(),
        }
    }

    /// A router with one home: silent after a heartbeat and two calls of 700 ms; the next home's first response
    /// has 1,500 ms. Controllers are confirmed for 1,100 ms.
    fn single_home() -> Waits {
        Waits {
            confirmation_age: 1100,
            fetch: 600,
            renewal: 400,
            response: 200,
            hedge_age: 1100 + 1200,
            hedge_count: 1,
            hedge_gap: 1500,
        }
    }

    /// From the acknowledgement until in force, if the home and the first `failing` of the others give no proof.
    fn failing_controllers(&self, failing: u64) -> u64 {
        let further = (failing + 1).saturating_sub(self.hedge_count);
        self.hedge_age + further * self.hedge_gap + self.response
    }

    /// The push to the router is lost: the next renewal brings the change.
    fn lost_push_to_router(&self) -> u64 {
        self.confirmation_age + self.renewal + self.response
    }

    /// The frame with the change is dropped at the router: the response shows it, and it calls again at once.
    fn dropped_at_router(&self) -> u64 {
        self.lost_push_to_router() + self.response
    }

    /// The push to the controller is lost: its next confirmation finds the change and fetches it.
    fn lost_push_to_controller(&self) -> u64 {
        self.fetch + self.lost_push_to_router()
    }

    /// Every path that must be below `converge_ms`, by name.
    fn paths(&self) -> [(&'static str, u64); 6] {
        [
            ("a failing home", self.failing_controllers(0)),
            ("two in a row", self.failing_controllers(1)),
            ("a failing home and three failing candidates, one of them in the core", self.failing_controllers(3)),
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
fn every_path_of_a_change_ends_a_tenth_below_the_bound() {
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
fn whoever_is_called_first_knows_what_the_failing_home_did_not_prove() {
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
        // While one of two is failing, refusals go on.
        assert!(Waits::of(&budget).failing_controllers(1) < budget.refusal_age_ms(), "{converge_ms}");
    }
}

#[test]
fn two_controllers_are_called_before_contact_ms_is_over() {
    for contact_ms in [2000, 3000, 5000] {
        let bounds = Bounds { contact_ms, ..Default::default() };
        let budget = ConvergenceBudget::new(&bounds);
        let two_calls = 2 * budget.max_hedge_gap_ms() + budget.response_ms();
        assert!(two_calls * 10 <= contact_ms * 9, "{contact_ms}: {two_calls}");
    }
}
