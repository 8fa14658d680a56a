//! Rollouts of versions at this router: which version a request goes to, and what is seen of each.
//!
//! A new version gets its share only while a controller that was confirmed renewed this router's lease a moment ago. A router that is
//! cut off, or wakes late, sends to the version in place.

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

/// How long samples are gathered before they are sent.
const SAMPLING_INTERVAL: Duration = Duration::from_millis(200);
/// The most paces that one message holds for a route and version: more say no more.
const MAX_INTERVALS_PER_SAMPLE: usize = 64;

/// The newest rollouts, by the dense index of their service, and samples of those that are active.
#[derive(Default)]
pub struct Rollouts {
    by_service: HashMap<u32, VersionRollout>,
    samples: BTreeMap<(String, u64), BTreeMap<(String, bool), RouteSamples>>,
}

/// What a request showed of the version that served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOutcome {
    /// It ended as it should; the mean time between its events, where it had several.
    Success { event_interval_us: Option<u64> },
    /// Its engine failed it.
    Failed,
}

impl Rollouts {
    /// Takes a record that is newer than the one held.
    fn insert_if_newer(&mut self, service: u32, rollout: VersionRollout) -> bool {
        let is_new = self.by_service.get(&service).is_none_or(|known| known.number < rollout.number);
        if is_new {
            self.by_service.insert(service, rollout);
        }
        is_new
    }

    /// Which engines a request goes to. `holds_lease`: what is known here was confirmed a moment ago.
    pub fn arm(&self, service: u32, random: u64, holds_lease: bool) -> Arm {
        let Some(rollout) = self.by_service.get(&service) else { return Arm::Stable };
        match rollout.state {
            RolloutState::Active if holds_lease && random % 1000 < u64::from(rollout.share) => {
                Arm::Candidate(rollout.share)
            }
            // Until the lists follow, its engines still stand among those that are brought in.
            RolloutState::Complete => Arm::Candidate(FULL_SHARE),
            RolloutState::Active | RolloutState::Reverted => Arm::Stable,
        }
    }

    /// Notes what a request showed, while its service has an active rollout.
    fn record(&mut self, service: u32, route: &str, arm: Arm, outcome: VersionOutcome) -> bool {
        let Some(rollout) = self.by_service.get(&service).filter(|rollout| rollout.state == RolloutState::Active)
        else {
            return false;
        };
        let routes = self.samples.entry((rollout.service.clone(), rollout.order)).or_default();
        let is_candidate = arm.is_candidate();
        let empty = || RouteSamples { route: route.into(), is_candidate, good: 0, failed: 0, paces: Vec::new() };
        let samples = routes.entry((route.into(), is_candidate)).or_insert_with(empty);
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

    fn drain_samples(&mut self) -> Vec<Samples> {
        let to_samples = |((service, order), routes): (_, BTreeMap<_, RouteSamples>)| Samples {
            service,
            order,
            list: routes.into_values().collect(),
            is_relayed: false,
        };
        mem::take(&mut self.samples).into_iter().map(to_samples).collect()
    }
}

/// A record from a controller.
pub fn apply(state: &State, rollout: VersionRollout) {
    let service = state.engines().service_index(&rollout.service);
    let (name, target, share, state_name) =
        (rollout.service.clone(), rollout.target.clone(), rollout.share, rollout.state.as_str());
    if state.rollouts().insert_if_newer(service, rollout) {
        kernel::log_event!(VERSION_ROLLOUT_ACTIVATED, "service" => name, "version" => target, "state" => state_name, "share" => share);
    }
}

/// The records held, as told to controllers.
pub fn applied_revisions(state: &State) -> Vec<(String, u64)> {
    let rollouts = state.rollouts();
    let entry =
        |rollout: &VersionRollout| (HiddenKey::Register(&VersionRollout::key(&rollout.service)).into(), rollout.number);
    rollouts.by_service.values().map(entry).collect()
}

/// Sends samples to the home controller as they come, for as long as the process runs.
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
    /// Chooses the version that serves this request. One whose engines can't be sent to now is not tried.
    pub fn choose_version(&mut self) {
        let random = self.state.rng().next_u64();
        let now = clock::now();
        let holds_lease = self.state.staleness_bounds().is_confirmed(now);
        self.variant = self.state.rollouts().arm(self.service, random, holds_lease);
        if self.variant.is_candidate() && !self.with_selection(|selection| selection.is_usable()) {
            self.variant = Arm::Stable;
        }
    }

    /// Notes what this request showed of the version that served it.
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
