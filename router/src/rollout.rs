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

use crate::event::VERSION;
use crate::proxy::exchange::Exchange;
use crate::state::State;

/// How long samples are gathered before they are sent.
const GATHER: Duration = Duration::from_millis(200);
/// The most paces that one message holds for a route and version: more say no more.
const MOST_PACES: usize = 64;

/// The newest rollouts, by the dense index of their service, and samples of those that are active.
#[derive(Default)]
pub struct Rollouts {
    list: HashMap<u32, VersionRollout>,
    samples: BTreeMap<(String, u64), BTreeMap<(String, bool), RouteSamples>>,
}

/// What a request showed of the version that served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// It ended as it should; the mean time between its events, where it had several.
    Good { pace_us: Option<u64> },
    /// Its engine failed it.
    Failed,
}

impl Rollouts {
    /// Takes a record that is newer than the one held.
    fn take(&mut self, service: u32, rollout: VersionRollout) -> bool {
        let is_new = self.list.get(&service).is_none_or(|held| held.number < rollout.number);
        if is_new {
            self.list.insert(service, rollout);
        }
        is_new
    }

    /// Which engines a request goes to. `holds_lease`: what is known here was confirmed a moment ago.
    pub fn arm(&self, service: u32, roll: u64, holds_lease: bool) -> Arm {
        let Some(rollout) = self.list.get(&service) else { return Arm::Stable };
        match rollout.state {
            RolloutState::Active if holds_lease && roll % 1000 < u64::from(rollout.share) => {
                Arm::Candidate(rollout.share)
            }
            // Until the lists follow, its engines still stand among those that are brought in.
            RolloutState::Complete => Arm::Candidate(FULL_SHARE),
            RolloutState::Active | RolloutState::Reverted => Arm::Stable,
        }
    }

    /// Notes what a request showed, while its service has an active rollout.
    fn note(&mut self, service: u32, route: &str, arm: Arm, seen: Seen) -> bool {
        let Some(rollout) = self.list.get(&service).filter(|rollout| rollout.state == RolloutState::Active) else {
            return false;
        };
        let routes = self.samples.entry((rollout.service.clone(), rollout.order)).or_default();
        let is_candidate = arm.is_candidate();
        let fresh = || RouteSamples { route: route.into(), is_candidate, good: 0, failed: 0, paces: Vec::new() };
        let samples = routes.entry((route.into(), is_candidate)).or_insert_with(fresh);
        match seen {
            Seen::Good { pace_us } => {
                samples.good += 1;
                if samples.paces.len() < MOST_PACES {
                    samples.paces.extend(pace_us.map(|pace_us| (pace_us, 1)));
                }
            }
            Seen::Failed => samples.failed += 1,
        }
        true
    }

    fn take_samples(&mut self) -> Vec<Samples> {
        let whole = |((service, order), routes): (_, BTreeMap<_, RouteSamples>)| Samples {
            service,
            order,
            list: routes.into_values().collect(),
            is_relayed: false,
        };
        mem::take(&mut self.samples).into_iter().map(whole).collect()
    }
}

/// A record from a controller.
pub fn take(state: &State, rollout: VersionRollout) {
    let service = state.engines().service_index(&rollout.service);
    let (name, target, share, word) =
        (rollout.service.clone(), rollout.target.clone(), rollout.share, rollout.state.as_str());
    if state.rollouts().take(service, rollout) {
        kernel::log_event!(VERSION, "service" => name, "version" => target, "state" => word, "share" => share);
    }
}

/// The records held, as told to controllers.
pub fn told(state: &State) -> Vec<(String, u64)> {
    let rollouts = state.rollouts();
    let told =
        |rollout: &VersionRollout| (HiddenKey::Register(&VersionRollout::key(&rollout.service)).into(), rollout.number);
    rollouts.list.values().map(told).collect()
}

/// Sends samples to the home controller as they come, for as long as the process runs.
pub async fn send_samples(state: Arc<State>) {
    loop {
        state.samples_wanted.notified().await;
        time::sleep(GATHER).await;
        let list = state.rollouts().take_samples();
        let home = state.home_controller().clone();
        let Some(home) = home else { continue };
        for samples in list {
            home.notify(Message::Samples(Box::new(samples)));
        }
    }
}

impl Exchange {
    /// Chooses the version that serves this request. One whose engines can't be sent to now is not tried.
    pub fn choose_version(&mut self) {
        let roll = self.state.rng().next_u64();
        let now = clock::now();
        let holds_lease = self.state.staleness_bounds().is_confirmed(now);
        self.variant = self.state.rollouts().arm(self.service, roll, holds_lease);
        if self.variant.is_candidate() && !self.with_selection(|selection| selection.is_usable()) {
            self.variant = Arm::Stable;
        }
    }

    /// Notes what this request showed of the version that served it.
    pub fn note_seen(&self, seen: Seen) {
        let noted = self.state.rollouts().note(self.service, &self.route, self.variant, seen);
        if noted {
            self.state.samples_wanted.notify_one();
        }
    }
}

#[cfg(test)]
#[path = "rollout_tests.rs"]
mod tests;
