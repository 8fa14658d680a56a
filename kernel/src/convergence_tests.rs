//! Adds up the shares of the budget along the slowest paths of a change.

use super::ConvergenceBudget;
use crate::settings::Bounds;

/// Values of `converge_ms` to test; deployments use 2000 to 3000.
const CONVERGE_MS: [u64; 5] = [1500, 2000, 2500, 3000, 4000];

/// The waits along the path of a change, in milliseconds: those of `ConvergenceBudget`, or of another design to
/// compare.
struct Waits {
    /// The maximum age of a controller's confirmation.
    confirmation_age: u64,
    /// The time in which a controller fetches changes that were not pushed to it.
    fetch: u64,
    renewal: u64,
    response: u64,
    /// The time from the last proof to the first hedged call.
    hedge_age: u64,
    /// The number of controllers in the first round of hedged calls.
    hedge_count: u64,
    /// The interval between later hedged calls.
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

    /// A design without hedging: the router drops its home after a heartbeat and two unanswered calls of 700 ms, and
    /// the next home has 1,500 ms for its first response. A confirmation is valid for 1,100 ms.
    fn without_hedging() -> Waits {
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

    /// The time from acknowledgement until the change is in force if the home and the first `failing_others` of the
    /// other controllers give no proof.
    fn failing_controllers(&self, failing_others: u64) -> u64 {
        let further_calls = (failing_others + 1).saturating_sub(self.hedge_count);
        self.hedge_age + further_calls * self.hedge_gap + self.response
    }

    /// The push to the router is lost: the next renewal brings the change.
    fn lost_push_to_router(&self) -> u64 {
        self.confirmation_age + self.renewal + self.response
    }

    /// The router drops the frame with the change, learns of it from the response and calls again at once.
    fn dropped_at_router(&self) -> u64 {
        self.lost_push_to_router() + self.response
    }

    /// The push to the controller is lost: its next confirmation finds that the change is missing and fetches it.
    fn lost_push_to_controller(&self) -> u64 {
        self.fetch + self.lost_push_to_router()
    }

    /// Every path that must take less than `converge_ms`, by name.
    fn paths(&self) -> [(&'static str, u64); 6] {
        [
            ("failing home", self.failing_controllers(0)),
            ("failing home and one failing candidate", self.failing_controllers(1)),
            ("failing home and three failing candidates, one of them in the core", self.failing_controllers(3)),
            ("lost push to the router", self.lost_push_to_router()),
            ("frame dropped at the router", self.dropped_at_router()),
            ("lost push to the controller", self.lost_push_to_controller()),
        ]
    }
}

fn budget(converge_ms: u64) -> ConvergenceBudget {
    ConvergenceBudget::new(&Bounds { converge_ms, ..Default::default() })
}

#[test]
fn every_path_of_a_change_takes_at_most_nine_tenths_of_converge_ms() {
    for converge_ms in CONVERGE_MS {
        for (path, sum) in Waits::of(&budget(converge_ms)).paths() {
            assert!(sum * 10 <= converge_ms * 9, "{path}: takes {sum} of {converge_ms} ms");
        }
    }
}

#[test]
fn at_least_two_paths_exceed_that_limit_without_hedging() {
    for converge_ms in CONVERGE_MS {
        let paths = Waits::without_hedging().paths();
        let late = paths.iter().filter(|(_, sum)| sum * 10 > converge_ms * 9).count();
        assert!(late >= 2, "converge_ms {converge_ms}: {late} late paths in {paths:?}");
    }
}

#[test]
fn hedging_starts_after_the_confirmation_age_of_a_healthy_controller() {
    for converge_ms in CONVERGE_MS {
        let budget = budget(converge_ms);
        assert!(budget.hedge_age_ms() > budget.confirmation_age_ms(), "converge_ms {converge_ms}");
    }
}

#[test]
fn a_healthy_home_does_not_trigger_hedging() {
    for converge_ms in CONVERGE_MS {
        let budget = budget(converge_ms);
        // A read usually takes a small part of its timeout, so it is left out.
        let usual = budget.confirmation_interval_ms() + budget.renewal_interval_ms() + budget.response_ms() / 2;
        assert!(usual < budget.hedge_age_ms(), "converge_ms {converge_ms}: usual age {usual} ms");
    }
}

#[test]
fn a_refusal_needs_a_proof_within_converge_ms_and_continues_while_two_controllers_fail() {
    for converge_ms in CONVERGE_MS {
        let budget = budget(converge_ms);
        assert!(budget.refusal_age_ms() + budget.refusal_wait_ms() <= converge_ms, "converge_ms {converge_ms}");
        // Requests can still be refused while the home and one other controller fail.
        assert!(Waits::of(&budget).failing_controllers(1) < budget.refusal_age_ms(), "converge_ms {converge_ms}");
    }
}

#[test]
fn two_hedged_calls_at_the_maximum_gap_fit_within_contact_ms() {
    for contact_ms in [2000, 3000, 5000] {
        let bounds = Bounds { contact_ms, ..Default::default() };
        let budget = ConvergenceBudget::new(&bounds);
        let two_calls = 2 * budget.max_hedge_gap_ms() + budget.response_ms();
        assert!(two_calls * 10 <= contact_ms * 9, "contact_ms {contact_ms}: two calls take {two_calls} ms");
    }
}
