//! Rollouts of versions at this router: which version serves a request, and samples of how each version did.
//!
//! A new version gets its share only while a confirmed controller has renewed this router's lease a moment ago. A router
//! that is partitioned, or was suspended, sends to the stable version.

use std::collections::{BTreeMap, HashMap};
use std::mem;
use std::sync::Arc;
use std::time::Duration;

use kernel::clock;
use load_balancing::Arm;
use protocol::message::{HiddenKey, Message};
use protocol::version_rollout::{RolloutState, RouteSamples, Samples, VersionRollout};
use tokio::time;
use versions::FULL_SHARE;

use crate::event::VERSION_ROLLOUT_ACTIVATED;
use crate::proxy::exchange::Exchange;
use crate::state::State;

/// How long samples are collected before they are sent.
const SAMPLING_INTERVAL: Duration = Duration::from_millis(200);
/// Most event intervals that one message has for a route and version; more would not change the estimate.
const MAX_INTERVALS_PER_SAMPLE: usize = 64;

/// Thousandths of the requests that make a whole.
const SHARE_SCALE: u64 = 1000;

/// The rollout that samples belong to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RolloutKey {
    service: String,
    order: u64,
}

/// The requests that samples belong to: those of one route to one version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RouteKey {
    route: String,
    is_candidate: bool,
}

/// The newest rollouts, by the dense index of their service, and samples of those that are active.
#[derive(Default)]
pub struct Rollouts {
    by_service: HashMap<u32, VersionRollout>,
    samples: BTreeMap<RolloutKey, BTreeMap<RouteKey, RouteSamples>>,
}

/// How the version that served a request did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOutcome {
    /// The request ended as it should.
    Success {
        /// The mean time between the events of its stream in microseconds, if it had several.
        event_interval_us: Option<u64>,
    },
    /// Its engine failed.
    Failed,
}

impl Rollouts {
    /// Inserts a rollout if it is newer than the known one of its service, and returns whether it was.
    fn insert_if_newer(&mut self, service: u32, rollout: VersionRollout) -> bool {
        let is_new = self.by_service.get(&service).is_none_or(|known| known.number < rollout.number);
        if is_new {
            self.by_service.insert(service, rollout);
        }
        is_new
    }

    /// Returns the version that serves a request. `holds_lease`: the known rollouts were confirmed a moment ago.
    pub fn select_variant(&self, service: u32, random: u64, holds_lease: bool) -> Arm {
        let Some(rollout) = self.by_service.get(&service) else { return Arm::Stable };
        match rollout.state {
            RolloutState::Active if holds_lease && random % SHARE_SCALE < u64::from(rollout.share) => {
                Arm::Candidate(rollout.share)
            }
            // Its engines are listed as candidates until discovery has moved them to the stable ones.
            RolloutState::Complete => Arm::Candidate(FULL_SHARE),
            RolloutState::Active | RolloutState::Reverted => Arm::Stable,
        }
    }

    /// Records the outcome of a request while its service has an active rollout, and returns whether it has one.
    fn record(&mut self, service: u32, route: &str, arm: Arm, outcome: VersionOutcome) -> bool {
        let Some(rollout) = self.by_service.get(&service).filter(|rollout| rollout.state == RolloutState::Active)
        else {
            return false;
        };
        let routes =
            self.samples.entry(RolloutKey { service: rollout.service.clone(), order: rollout.order }).or_default();
        let is_candidate = arm.is_candidate();
        let empty = || RouteSamples { route: route.into(), is_candidate, good: 0, failed: 0, paces: Vec::new() };
        let samples = routes.entry(RouteKey { route: route.into(), is_candidate }).or_insert_with(empty);
        match outcome {
            VersionOutcome::Success { event_interval_us } => {
                samples.good += 1;
                if samples.paces.len() < MAX_INTERVALS_PER_SAMPLE {
                    samples.paces.extend(event_interval_us.map(|event_interval_us| (event_interval_us, 1)));
                }
            }
            VersionOutcome::Failed => samples.failed += 1,
        }
        true
    }

    /// Removes and returns all samples, one message for each rollout.
    fn drain_samples(&mut self) -> Vec<Samples> {
        let to_message = |(RolloutKey { service, order }, routes): (RolloutKey, BTreeMap<_, RouteSamples>)| Samples {
            service,
            order,
            list: routes.into_values().collect(),
            is_relayed: false,
        };
        mem::take(&mut self.samples).into_iter().map(to_message).collect()
    }
}

/// Puts a rollout from a controller in force, unless a newer one is known.
pub fn apply(state: &State, rollout: VersionRollout) {
    let service = state.engines().service_index(&rollout.service);
    if state.rollouts().insert_if_newer(service, rollout.clone()) {
        kernel::log_event!(VERSION_ROLLOUT_ACTIVATED, "service" => rollout.service, "version" => rollout.target,
            "state" => rollout.state.as_str(), "share" => rollout.share);
    }
}

/// Returns the number of the known rollout of each service, by its register's key, as it is sent with each renewal.
pub fn applied_revisions(state: &State) -> Vec<(String, u64)> {
    let rollouts = state.rollouts();
    let entry =
        |rollout: &VersionRollout| (HiddenKey::Register(&VersionRollout::key(&rollout.service)).into(), rollout.number);
    rollouts.by_service.values().map(entry).collect()
}

/// Sends samples to the home controller, as long as the process runs.
pub async fn send_samples(state: Arc<State>) {
    loop {
        state.samples_wanted.notified().await;
        time::sleep(SAMPLING_INTERVAL).await;
        let list = state.rollouts().drain_samples();
        let controller = state.home_controller().clone();
        let Some(controller) = controller else { continue };
        for samples in list {
            controller.notify(Message::Samples(Box::new(samples)));
        }
    }
}

impl Exchange {
    /// Chooses the version that serves this request: a new one only if its engines can be sent to now.
    pub fn choose_version(&mut self) {
        let random = self.state.rng().next_u64();
        let now = clock::now();
        let holds_lease = self.state.staleness_bounds().is_confirmed(now);
        self.variant = self.state.rollouts().select_variant(self.service, random, holds_lease);
        if self.variant.is_candidate() && !self.with_selection(|selection| selection.is_usable()) {
            self.variant = Arm::Stable;
        }
    }

    /// Records how the version that served this request did.
    pub fn record_version_outcome(&self, outcome: VersionOutcome) {
        let recorded = self.state.rollouts().record(self.service, &self.route, self.variant, outcome);
        if recorded {
            self.state.samples_wanted.notify_one();
        }
    }
}

#[cfg(test)]
#[path = "rollout_tests.rs"]
mod tests;
