//! Analysis of versions that are being rolled out.
//!
//! Samples of all routers are pooled at every controller, and the first controller that is confirmed takes the steps. That
//! needs no epoch: each step is a change on top of the very record that the decision was made on.

use std::collections::BTreeMap;
use std::mem;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use kernel::{clock, startup};
use parking_lot::Mutex;
use protocol::message::{HiddenKey, Message, ENGINE_SAMPLES};
use protocol::version_rollout::{RolloutState, VersionRollout};
use protocol::version_samples::{EngineSamples, SampleCounts, SampleKey, SampleRequest, SampledInterval};
use tokio::sync::Notify;
use versions::{
    CanaryAnalysis, EventInterval, LoadClass, RolloutSchedule, RolloutStep, SampleBatch, SampleOrigin, Variant, Verdict,
};

use crate::controller::Controller;
use crate::delivery::subscribers::Subscriber;
use crate::event::VERSION_STEP;
use crate::replication::committed_state::CommittedState;
use crate::replication::registers::Decision;

/// How often samples are passed on and rollouts looked at.
const POLL_INTERVAL_MS: u64 = 100;
/// Most event intervals of one origin that are passed on together.
const MAX_INTERVALS_PER_SAMPLE: usize = 64;
/// How long one step may take.
const STEP_TIMEOUT_MS: u64 = 900;

/// What is known here of one rollout.
struct RolloutAnalysis {
    order: u64,
    canary: CanaryAnalysis,
    /// The steady time at which the rollout began, as far as can be told here: a record says how long before it was written.
    /// Negative where that was before this process began.
    started_at: i64,
    /// The number of the newest record.
    record_number: u64,
    /// When the newest record became known.
    record_since: u64,
}

impl RolloutAnalysis {
    fn new(rollout: &VersionRollout, now: u64) -> RolloutAnalysis {
        RolloutAnalysis {
            order: rollout.order,
            canary: CanaryAnalysis::new(),
            started_at: start_time(now, rollout.elapsed_ms),
            record_number: rollout.number,
            record_since: now,
        }
    }

    /// Takes note of the newest record. Each record took some time to get here, so the earliest start that one of them tells is
    /// the nearest to the truth.
    fn note_record(&mut self, rollout: &VersionRollout, now: u64) {
        if self.record_number == rollout.number {
            return;
        }
        (self.record_number, self.record_since) = (rollout.number, now);
        self.note_elapsed(rollout.elapsed_ms, now);
    }

    /// Takes note of how long the rollout has been under way, as someone told it now.
    fn note_elapsed(&mut self, elapsed_ms: u64, now: u64) {
        self.started_at = self.started_at.min(start_time(now, elapsed_ms));
    }

    /// Returns how long the rollout has been under way.
    fn elapsed_ms(&self, now: u64) -> u64 {
        u64::try_from(now as i64 - self.started_at).unwrap_or(0)
    }
}

/// Returns the steady time `elapsed_ms` before `now`.
fn start_time(now: u64, elapsed_ms: u64) -> i64 {
    now as i64 - i64::try_from(elapsed_ms).unwrap_or(i64::MAX)
}

/// The analyses of all rollouts, and samples that were not yet passed on to the other controllers.
#[derive(Default)]
pub struct RolloutAnalyses {
    table: Mutex<AnalysisTable>,
    /// Woken when samples show that a version is bad.
    found_bad: Notify,
}

#[derive(Default)]
struct AnalysisTable {
    by_service: BTreeMap<String, RolloutAnalysis>,
    unsent: Vec<EngineSamples>,
}

impl AnalysisTable {
    /// Returns the analysis of a rollout; a new one where there is none of this order.
    fn of(&mut self, rollout: &VersionRollout, now: u64) -> &mut RolloutAnalysis {
        let new = || RolloutAnalysis::new(rollout, now);
        let analysis = self.by_service.entry(rollout.service.clone()).or_insert_with(new);
        if analysis.order != rollout.order {
            *analysis = new();
        }
        analysis.note_record(rollout, now);
        analysis
    }
}

/// Sends a subscriber the rollouts that it lacks.
pub fn send_missing_rollouts(state: &CommittedState, subscriber: &mut Subscriber) {
    for rollout in state.version_rollouts.values() {
        let key = VersionRollout::key(&rollout.service);
        let has = subscriber.evacuation_versions.entry(HiddenKey::Register(&key).into()).or_default();
        if rollout.number <= *has {
            continue;
        }
        match subscriber.responder.notify(&Message::VersionRollout(Box::new(rollout.clone()))) {
            true => *has = rollout.number,
            false => subscriber.is_behind = true,
        }
    }
}

/// Asks a subscriber for samples by engine and load while a rollout is active.
pub fn request_samples(controller: &Controller, subscriber: &Subscriber) {
    if subscriber.protocol_version < ENGINE_SAMPLES || active(controller).is_empty() {
        return;
    }
    let request = SampleRequest { controller: controller.settings.ip.clone() };
    subscriber.responder.notify(&Message::SampleRequest(Box::new(request)));
}

/// Records samples from a router or from another controller. Those from a router are passed on later.
pub fn record_samples(controller: &Controller, samples: EngineSamples) {
    let rollout = controller.committed.version_rollout(&samples.service);
    let Some(rollout) = rollout.filter(|rollout| rollout.order == samples.order) else { return };
    let now = clock::now();
    let mut table = controller.rollout_analyses.table.lock();
    let analysis = table.of(&rollout, now);
    analysis.note_elapsed(samples.elapsed_ms, now);
    let canary = &mut analysis.canary;
    // The stable version first: the candidate is compared with it.
    for (key, counts) in samples.list.iter().filter(|(key, _)| !key.is_candidate) {
        canary.record(&origin_of(key), &batch_of(counts), now);
    }
    for (key, counts) in samples.list.iter().filter(|(key, _)| key.is_candidate) {
        canary.record(&origin_of(key), &batch_of(counts), now);
    }
    if canary.verdict().is_bad() {
        controller.rollout_analyses.found_bad.notify_one();
    }
    if !samples.is_relayed {
        table.unsent.push(EngineSamples { is_relayed: true, ..samples });
    }
}

fn origin_of(key: &SampleKey) -> SampleOrigin<'_> {
    SampleOrigin {
        route: &key.route,
        variant: if key.is_candidate { Variant::Candidate } else { Variant::Stable },
        engine: key.engine_hash,
        zone: &key.zone,
        load: if key.is_loaded { LoadClass::Loaded } else { LoadClass::Calm },
    }
}

fn batch_of(counts: &SampleCounts) -> SampleBatch {
    SampleBatch {
        succeeded: counts.succeeded.into(),
        failed: counts.failed.into(),
        lost: counts.lost.into(),
        event_intervals: counts.intervals.iter().map(event_interval).collect(),
    }
}

fn event_interval(sampled: &SampledInterval) -> EventInterval {
    EventInterval { running: sampled.running, interval_us: sampled.interval_us.into(), is_cold: sampled.is_cold }
}

/// Passes samples on and takes the steps of rollouts, for as long as the process runs.
pub fn start(controller: &Arc<Controller>) {
    let controller = controller.clone();
    tokio::spawn(async move {
        let mut interval = startup::interval(POLL_INTERVAL_MS);
        loop {
            tokio::select! {
                _ = interval.tick() => send_samples(&controller),
                () = controller.rollout_analyses.found_bad.notified() => {}
            }
            for rollout in active(&controller) {
                advance(&controller, &rollout).await;
            }
        }
    });
}

fn active(controller: &Controller) -> Vec<VersionRollout> {
    let rollouts = controller.committed.version_rollouts().into_values();
    rollouts.filter(|rollout| rollout.state == RolloutState::Active).collect()
}

/// Sends the other controllers what this one's routers reported.
fn send_samples(controller: &Controller) {
    let unsent = mem::take(&mut controller.rollout_analyses.table.lock().unsent);
    for samples in merge(unsent) {
        let legacy = Message::Samples(Box::new(samples.to_legacy()));
        let current = Message::EngineSamples(Box::new(samples));
        controller.notify_peers_since(ENGINE_SAMPLES, &current, &legacy);
    }
}

/// The samples of one rollout that several routers reported.
#[derive(Default)]
struct MergedSamples {
    elapsed_ms: u64,
    origins: BTreeMap<SampleKey, SampleCounts>,
}

/// Merges samples into one message for each rollout.
fn merge(list: Vec<EngineSamples>) -> Vec<EngineSamples> {
    let mut merged: BTreeMap<(String, u64), MergedSamples> = BTreeMap::new();
    for samples in list {
        let sum = merged.entry((samples.service, samples.order)).or_default();
        sum.elapsed_ms = sum.elapsed_ms.max(samples.elapsed_ms);
        for (key, counts) in samples.list {
            sum.origins.entry(key).or_default().add(counts, MAX_INTERVALS_PER_SAMPLE);
        }
    }
    let message = |((service, order), sum): ((String, u64), MergedSamples)| EngineSamples {
        service,
        order,
        elapsed_ms: sum.elapsed_ms,
        list: sum.origins.into_iter().collect(),
        is_relayed: true,
    };
    merged.into_iter().map(message).collect()
}

/// Looks at one rollout, and takes the step that is due if this controller is the one to do so.
async fn advance(controller: &Arc<Controller>, rollout: &VersionRollout) {
    let now = clock::now();
    let (verdict, worst_route, elapsed_ms, share_for_ms) = {
        let mut table = controller.rollout_analyses.table.lock();
        let analysis = table.of(rollout, now);
        let worst_route = analysis.canary.worst_route().unwrap_or_default().to_string();
        (analysis.canary.verdict(), worst_route, analysis.elapsed_ms(now), now - analysis.record_since)
    };
    if !is_responsible(controller, &rollout.service, now) {
        return;
    }
    let exposure_share = controller.settings.bounds.exposure_share;
    let schedule = RolloutSchedule { duration_ms: rollout.duration_ms, exposure_share };
    let step = schedule.next_step(rollout.share, share_for_ms, elapsed_ms, verdict);
    let Some(next) = after_step(rollout, step, elapsed_ms, &rollback_reason(verdict, &worst_route)) else { return };
    if commit(controller, rollout, &next).await {
        kernel::log_event!(VERSION_STEP, "service" => next.service.clone(), "version" => next.target.clone(),
            "state" => next.state.as_str(), "share" => next.share, "elapsed_ms" => elapsed_ms, "reason" => next.reason.clone());
    }
}

/// Returns whether this controller takes the steps of a service's rollout.
fn is_responsible(controller: &Controller, service: &str, now: u64) -> bool {
    if !controller.committed.is_confirmed(now) || controller.shutting_down.load(Ordering::Relaxed) {
        return false;
    }
    controller.peers.is_first_confirmed(&VersionRollout::key(service), now)
}

/// Returns the record after a step. `None`: nothing changes.
fn after_step(
    rollout: &VersionRollout,
    step: RolloutStep,
    elapsed_ms: u64,
    rollback_reason: &str,
) -> Option<VersionRollout> {
    let next = VersionRollout { number: rollout.number + 1, elapsed_ms, ..rollout.clone() };
    match step {
        RolloutStep::Hold => None,
        RolloutStep::SetShare(share) => Some(VersionRollout { share, ..next }),
        RolloutStep::Complete => Some(VersionRollout { state: RolloutState::Complete, ..next }),
        RolloutStep::RollBack => {
            let mut reverted = next.reverted.clone();
            reverted.push(next.target.clone());
            let reason = rollback_reason.into();
            Some(VersionRollout { state: RolloutState::Reverted, share: 0, reverted, reason, ..next })
        }
    }
}

fn rollback_reason(verdict: Verdict, worst_route: &str) -> String {
    match verdict {
        Verdict::Failing => format!("it fails more often than the version in place on route {worst_route}"),
        Verdict::FailingUnderLoad => {
            format!("it fails more often than the version in place on route {worst_route} at engines under load")
        }
        Verdict::Slow => format!("it is slower than the version in place on route {worst_route}"),
        Verdict::Healthy | Verdict::Inconclusive => "not enough was seen of it in time".into(),
    }
}

/// Commits a record if the one that it follows is still the newest. Returns whether it was committed.
async fn commit(controller: &Arc<Controller>, rollout: &VersionRollout, next: &VersionRollout) -> bool {
    let decide = |body: &[u8]| match VersionRollout::from_bytes(body) {
        Some(stored) if stored.number == rollout.number => Decision::Write(next.to_bytes(), true),
        _ => Decision::Answer(false),
    };
    controller.change(&VersionRollout::key(&rollout.service), STEP_TIMEOUT_MS, decide).await.unwrap_or(false)
}

#[cfg(test)]
#[path = "version_rollouts_tests.rs"]
mod tests;
