//! Rollouts of versions at this router: which version serves a request, and samples of how each version did.
//!
//! A new version gets its share only while a confirmed controller has renewed this router's lease a moment ago. A router
//! that is partitioned, or was suspended, sends to the stable version.

mod outcome;
mod reporting;

use std::collections::{BTreeMap, HashMap};
use std::mem;
use std::time::Duration;

use kernel::clock;
use load_balancing::{Arm, CandidatePlacement};
use protocol::message::HiddenKey;
use protocol::version_rollout::{RolloutState, VersionRollout};
use protocol::version_samples::{EngineSamples, SampleCounts, SampleKey};
use versions::{LoadClass, RolloutStage};

use crate::event::VERSION_ROLLOUT_ACTIVATED;
use crate::proxy::exchange::Exchange;
use crate::rollout::reporting::SampleReader;
use crate::state::State;

pub use outcome::{ServedBy, VersionOutcome};
pub use reporting::{apply_sample_request, send_samples};

/// How long samples are collected before they are sent while the new version has a small share.
const CANARY_SAMPLING_INTERVAL: Duration = Duration::from_millis(200);
/// How long they are collected while it has a larger one: the sooner it is found bad, the fewer requests it gets.
const SAMPLING_INTERVAL: Duration = Duration::from_millis(100);

/// How long a canary stays at the same engines: a few times as long as a response takes, so that they bear their load for most of
/// it.
const TURN_MS: u64 = 2000;

/// Thousandths of the requests that make a whole.
const SHARE_SCALE: u64 = 1000;

/// The rollout that samples belong to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RolloutKey {
    service: String,
    order: u64,
}

/// The newest rollout of a service.
struct KnownRollout {
    record: VersionRollout,
    /// The steady time at which it began, in milliseconds, as far as its records tell; negative where that was before this
    /// process began.
    started_at: i64,
}

impl KnownRollout {
    /// Returns how long it has been under way.
    fn elapsed_ms(&self, now: u64) -> u64 {
        u64::try_from(now as i64 - self.started_at).unwrap_or(0)
    }
}

/// The newest rollouts, by the dense index of their service, and samples of those that are active.
#[derive(Default)]
pub struct Rollouts {
    by_service: HashMap<u32, KnownRollout>,
    samples: BTreeMap<RolloutKey, BTreeMap<SampleKey, SampleCounts>>,
    sample_reader: Option<SampleReader>,
}

impl Rollouts {
    /// Inserts a rollout if it is newer than the known one of its service, and returns whether it was.
    fn insert_if_newer(&mut self, service: u32, record: VersionRollout, now: u64) -> bool {
        let known = self.by_service.get(&service);
        if known.is_some_and(|known| known.record.number >= record.number) {
            return false;
        }
        let told = now as i64 - i64::try_from(record.elapsed_ms).unwrap_or(i64::MAX);
        let same_order = known.filter(|known| known.record.order == record.order);
        let started_at = same_order.map_or(told, |known| known.started_at.min(told));
        self.by_service.insert(service, KnownRollout { record, started_at });
        true
    }

    /// Returns the active rollout of a service.
    fn active(&self, service: u32) -> Option<&VersionRollout> {
        let known = self.by_service.get(&service)?;
        (known.record.state == RolloutState::Active).then_some(&known.record)
    }

    /// Returns how long the rollout that samples belong to has been under way.
    fn elapsed_ms(&self, key: &RolloutKey, now: u64) -> u64 {
        let is_same = |known: &&KnownRollout| known.record.service == key.service && known.record.order == key.order;
        self.by_service.values().find(is_same).map_or(0, |known| known.elapsed_ms(now))
    }

    /// Returns the version that serves a request. `holds_lease`: the known rollouts were confirmed a moment ago.
    pub fn select_variant(&self, service: u32, random: u64, holds_lease: bool, now: u64) -> Arm {
        let Some(known) = self.by_service.get(&service) else { return Arm::Stable };
        let rollout = &known.record;
        match rollout.state {
            RolloutState::Active if holds_lease && random % SHARE_SCALE < u64::from(rollout.share) => {
                Arm::Candidate(placement(rollout.share, random / SHARE_SCALE, known.elapsed_ms(now)))
            }
            // Its engines are listed as candidates until discovery has moved them to the stable ones.
            RolloutState::Complete => Arm::Candidate(CandidatePlacement::Spread),
            RolloutState::Active | RolloutState::Reverted => Arm::Stable,
        }
    }

    /// Records the outcome of a request while its service has an active rollout, and returns whether it has one.
    fn record(&mut self, service: u32, key: SampleKey, served_by: &ServedBy, outcome: VersionOutcome) -> bool {
        let Some(rollout) = self.active(service) else { return false };
        let rollout = RolloutKey { service: rollout.service.clone(), order: rollout.order };
        let counts = self.samples.entry(rollout).or_default().entry(key).or_default();
        outcome::add(counts, served_by, outcome);
        true
    }

    /// Removes and returns all samples, one message for each rollout.
    fn drain_samples(&mut self, now: u64) -> Vec<EngineSamples> {
        let samples = mem::take(&mut self.samples);
        let to_message = |(key, origins): (RolloutKey, BTreeMap<_, _>)| EngineSamples {
            elapsed_ms: self.elapsed_ms(&key, now),
            service: key.service,
            order: key.order,
            list: origins.into_iter().collect(),
            is_relayed: false,
        };
        samples.into_iter().map(to_message).collect()
    }

    /// Returns how long samples are collected before they are sent.
    fn sampling_interval(&self) -> Duration {
        let is_canary = |rollout: &VersionRollout| RolloutStage::of(rollout.share) == RolloutStage::Canary;
        match self.by_service.keys().filter_map(|service| self.active(*service)).all(is_canary) {
            true => CANARY_SAMPLING_INTERVAL,
            false => SAMPLING_INTERVAL,
        }
    }
}

/// Returns which engines of a new version a request goes to.
fn placement(share: u32, random: u64, elapsed_ms: u64) -> CandidatePlacement {
    let draw = random as u32;
    match RolloutStage::of(share) {
        RolloutStage::Canary => CandidatePlacement::Rotating { share, draw, turn: (elapsed_ms / TURN_MS) as u32 },
        RolloutStage::LoadTest => CandidatePlacement::Packed { share, draw },
        RolloutStage::Full => CandidatePlacement::Spread,
    }
}

/// Puts a rollout from a controller in force, unless a newer one is known.
pub fn apply(state: &State, rollout: VersionRollout) {
    let service = state.engines().service_index(&rollout.service);
    if state.rollouts().insert_if_newer(service, rollout.clone(), clock::now()) {
        kernel::log_event!(VERSION_ROLLOUT_ACTIVATED, "service" => rollout.service, "version" => rollout.target,
            "state" => rollout.state.as_str(), "share" => rollout.share);
    }
}

/// Returns the number of the known rollout of each service, by its register's key, as it is sent with each renewal.
pub fn applied_revisions(state: &State) -> Vec<(String, u64)> {
    let rollouts = state.rollouts();
    let entry =
        |rollout: &VersionRollout| (HiddenKey::Register(&VersionRollout::key(&rollout.service)).into(), rollout.number);
    rollouts.by_service.values().map(|known| entry(&known.record)).collect()
}

impl Exchange {
    /// Chooses the version that serves this request: a new one only if its engines can be sent to now.
    pub fn choose_version(&mut self) {
        let random = self.state.rng().next_u64();
        let now = clock::now();
        let holds_lease = self.state.staleness_bounds().is_confirmed(now);
        self.variant = self.state.rollouts().select_variant(self.service, random, holds_lease, now);
        if self.variant.is_candidate() && !self.with_selection(|selection| selection.is_usable()) {
            self.variant = Arm::Stable;
        }
    }

    /// Notes the engine that responds, as it stands now.
    pub fn note_served_by(&mut self, engine_index: usize) {
        let now = clock::now();
        let is_packed = matches!(self.variant, Arm::Candidate(CandidatePlacement::Packed { .. }));
        let engine_table = self.state.engines();
        let engine = &engine_table.engines[engine_index];
        self.served_by = ServedBy {
            engine_hash: engine.id_hash,
            zone: engine.zone,
            running: engine.reported_load.running,
            slots: engine.slots,
            is_cold: engine.cold_until > now,
            is_packed,
        };
    }

    /// Records how the version that served this request did.
    pub fn record_version_outcome(&self, outcome: VersionOutcome) {
        let served_by = self.served_by;
        let is_candidate = self.variant.is_candidate();
        let key = SampleKey {
            route: self.route.clone(),
            is_candidate,
            engine_hash: if is_candidate { served_by.engine_hash } else { 0 },
            zone: self.state.engines().zone_name(served_by.zone).unwrap_or_default().into(),
            is_loaded: LoadClass::of(served_by.running, served_by.slots) == LoadClass::Loaded,
        };
        let outcome = match outcome {
            VersionOutcome::Success { .. } if served_by.is_packed => {
                VersionOutcome::Success { event_interval_us: None }
            }
            outcome => outcome,
        };
        if self.state.rollouts().record(self.service, key, &served_by, outcome) {
            self.state.samples_wanted.notify_one();
        }
    }
}

#[cfg(test)]
#[path = "rollout_tests.rs"]
mod tests;
