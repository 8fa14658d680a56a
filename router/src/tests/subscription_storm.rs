//! A total power loss: all routers start at once without state, and each configuration snapshot has to come over a link
//! that can transfer only a few snapshots per second.

use std::collections::BTreeMap;
use std::mem;

use crate::subscription::response::RenewalResponse;
use crate::subscription::scheduler::{Call, SubscriptionScheduler};
use crate::testing::subscription_world::{budget, numbered_names, Behaviour, Policy, World};

const ROUTERS: u64 = 300;
const CONTROLLERS: usize = 18;
/// How long a controller's link takes to transfer a configuration snapshot with the endpoint lists, in milliseconds.
const SNAPSHOT_MS: u64 = 100;
/// The step of the simulation, in milliseconds.
const STEP_MS: u64 = 20;

/// Calls all controllers at once, as hedged calls without pacing would.
struct CallAll {
    controllers: Vec<String>,
    current_as_of: Option<i64>,
}

impl Policy for CallAll {
    fn due_calls(&mut self, _: u64) -> Vec<Call> {
        let call = |controller| Call { controller, timeout_ms: 100_000 };
        mem::take(&mut self.controllers).into_iter().map(call).collect()
    }

    fn wake_at(&self, now: u64) -> u64 {
        now + 1000
    }

    fn on_response(&mut self, now: u64, _: &str, _: &RenewalResponse) {
        self.current_as_of = Some(now as i64);
    }

    fn on_failure(&mut self, _: u64, _: &str) {}

    fn current_as_of(&self) -> Option<i64> {
        self.current_as_of
    }
}

/// Returns how long it takes until the last router has a proof, in milliseconds, and how many snapshots were requested.
fn simulate_start<P: Policy>(new_policy: impl Fn(&str, &[String]) -> P) -> (u64, u64) {
    let controllers = numbered_names("k", CONTROLLERS);
    let router = |number: u64| {
        let mut world = World::with(new_policy(&format!("edge-{number}"), &controllers), controllers.clone());
        world.applied_revision = 0;
        world
    };
    let mut routers: Vec<World<P>> = (0..ROUTERS).map(router).collect();
    let mut link_free_at = BTreeMap::<String, u64>::new();
    let (start, mut snapshots) = (routers[0].now, 0);
    let mut now = start;
    while routers.iter().any(|router| router.proof_age().is_none()) {
        now += STEP_MS;
        assert!(now < start + 120_000, "some routers have no proof after 120 s");
        for router in &mut routers {
            router.run_by_revision(now, |controller, sent_at, revision| {
                if revision > 0 {
                    return Behaviour::Healthy { response_ms: 5, age_ms: 100 };
                }
                snapshots += 1;
                let free_at = link_free_at.entry(controller.into()).or_default();
                *free_at = sent_at.max(*free_at) + SNAPSHOT_MS;
                Behaviour::Healthy { response_ms: *free_at - sent_at, age_ms: 100 }
            });
        }
    }
    (now - start, snapshots)
}

#[test]
fn after_a_total_power_loss_routers_do_not_call_all_controllers() {
    let lower_bound_ms = ROUTERS * SNAPSHOT_MS / CONTROLLERS as u64;
    let hedging =
        |router_name: &str, seeds: &[String]| SubscriptionScheduler::new(budget(3000), router_name, "none", seeds);
    let (elapsed_ms, snapshots) = simulate_start(hedging);
    assert!(
        elapsed_ms <= 2 * lower_bound_ms,
        "{elapsed_ms} ms; the links need {lower_bound_ms} ms for one snapshot per router"
    );
    assert!(snapshots <= ROUTERS * 3 / 2, "{snapshots}");
    let call_all = |_: &str, seeds: &[String]| CallAll { controllers: seeds.to_vec(), current_as_of: None };
    let (elapsed_ms, snapshots) = simulate_start(call_all);
    assert!(
        elapsed_ms > 10 * lower_bound_ms && snapshots == ROUTERS * CONTROLLERS as u64,
        "without pacing: {elapsed_ms} ms, {snapshots} snapshots"
    );
}

#[test]
fn over_a_slow_link_the_first_call_is_not_abandoned_and_soft_timeouts_double() {
    let controllers = numbered_names("k", 3);
    let mut world = World::with(SubscriptionScheduler::new(budget(2000), "edge-1", "k0", &controllers), controllers);
    world.applied_revision = 0;
    let start = world.now;
    world.run(start + 5600, |controller, _| match controller {
        "k0" => Behaviour::Healthy { response_ms: 5500, age_ms: 100 },
        _ => Behaviour::Frozen,
    });
    assert!(world.proof_age().is_some(), "the response in flight was not waited for");
    let times: Vec<u64> = world.started_calls.iter().map(|call| call.at - start).collect();
    assert_eq!(times[..3], [0, 1500, 4500], "each soft timeout is twice the one before");
}
