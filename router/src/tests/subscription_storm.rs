//! A total power loss: all routers start at once with nothing, and the configuration snapshot comes over
//! links that carry a few of them a second.

use std::collections::BTreeMap;
use std::mem;

use crate::subscription::response::RenewalResponse;
use crate::subscription::scheduler::{Call, SubscriptionScheduler};
use crate::testing::subscription_world::{budget, names, Behaviour, Policy, World};

const ROUTERS: u64 = 300;
const CONTROLLERS: usize = 18;
/// How long a controller's link takes to transfer a configuration snapshot with the endpoint lists.
const SNAPSHOT_MS: u64 = 100;
const STEP_MS: u64 = 20;

/// Calls all controllers at once, as hedged calls without a delay would.
struct AskEverybody {
    controllers: Vec<String>,
    current_as_of: Option<i64>,
}

impl Policy for AskEverybody {
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

/// Returns when the last router has a proof, and how many snapshots were requested.
fn storm<P: Policy>(make: impl Fn(&str, &[String]) -> P) -> (u64, u64) {
    let controllers = names("k", CONTROLLERS);
    let router = |number: u64| {
        let mut world = World::with(make(&format!("edge-{number}"), &controllers), controllers.clone());
        world.held = 0;
        world
    };
    let mut routers: Vec<World<P>> = (0..ROUTERS).map(router).collect();
    let mut link_free_at = BTreeMap::<String, u64>::new();
    let (start, mut snapshots) = (routers[0].now, 0);
    let mut now = start;
    while routers.iter().any(|router| router.proof_age().is_none()) {
        now += STEP_MS;
        assert!(now < start + 120_000, "it ends");
        for router in &mut routers {
            router.run_by_held(now, |controller, sent, held| {
                if held > 0 {
                    return Behaviour::Healthy { answer_ms: 5, age_ms: 100 };
                }
                snapshots += 1;
                let free_at = link_free_at.entry(controller.into()).or_default();
                *free_at = sent.max(*free_at) + SNAPSHOT_MS;
                Behaviour::Healthy { answer_ms: *free_at - sent, age_ms: 100 }
            });
        }
    }
    (now - start, snapshots)
}

#[test]
fn after_a_total_power_loss_routers_do_not_call_all_controllers() {
    let lower_bound_ms = ROUTERS * SNAPSHOT_MS / CONTROLLERS as u64;
    let following = |node: &str, seeds: &[String]| SubscriptionScheduler::new(budget(3000), node, "none", seeds);
    let (elapsed_ms, snapshots) = storm(following);
    assert!(
        elapsed_ms <= 2 * lower_bound_ms,
        "{elapsed_ms} ms, where the links need {lower_bound_ms} if none is asked twice"
    );
    assert!(snapshots <= ROUTERS * 3 / 2, "{snapshots}");
    let ask_everybody = |_: &str, seeds: &[String]| AskEverybody { controllers: seeds.to_vec(), current_as_of: None };
    let (elapsed_ms, snapshots) = storm(ask_everybody);
    assert!(
        elapsed_ms > 10 * lower_bound_ms && snapshots == ROUTERS * CONTROLLERS as u64,
        "the variant without patience: {elapsed_ms}, {snapshots}"
    );
}

#[test]
fn a_link_that_carries_slowly_gets_its_time() {
    let controllers = names("k", 3);
    let mut world = World::with(SubscriptionScheduler::new(budget(2000), "edge-1", "k0", &controllers), controllers);
    world.held = 0;
    let start = world.now;
    world.run(start + 5600, |controller, _| match controller {
        "k0" => Behaviour::Healthy { answer_ms: 5500, age_ms: 100 },
        _ => Behaviour::Frozen,
    });
    assert!(world.proof_age().is_some(), "the answer that was under way was waited for");
    let times: Vec<u64> = world.begun.iter().map(|begun| begun.at - start).collect();
    assert_eq!(times[..3], [0, 1500, 4500], "each time with more patience");
}
