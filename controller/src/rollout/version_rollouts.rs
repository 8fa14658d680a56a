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
use protocol::message::{HiddenKey, Message};
use protocol::version_rollout::{RolloutState, RouteSamples, Samples, VersionRollout};
use versions::{CanaryAnalysis, RolloutSchedule, RolloutStep, SampleBatch, Variant, Verdict};

use crate::controller::Controller;
use crate::delivery::subscribers::Subscriber;
use crate::event::VERSION_STEP;
use crate::replication::committed_state::CommittedState;
use crate::replication::registers::Decision;

/// How often samples are passed on and rollouts looked at.
const POLL_INTERVAL_MS: u64 = 200;
/// How long one step may take.
const STEP_TIMEOUT_MS: u64 = 900;

/// What is known here of one rollout.
struct RolloutAnalysis {
    order: u64,
    canary: CanaryAnalysis,
    /// The number of the newest record.
    record_number: u64,
    /// When the newest record became known.
    record_since: u64,
}

/// The analyses of all rollouts, and samples that were not yet passed on to the other controllers.
#[derive(Default)]
pub struct RolloutAnalyses(Mutex<AnalysisTable>);

#[derive(Default)]
struct AnalysisTable {
    by_service: BTreeMap<String, RolloutAnalysis>,
    unsent: Vec<Samples>,
}

impl AnalysisTable {
    /// Returns the analysis of a rollout; a new one where there is none of this order.
    fn of(&mut self, rollout: &VersionRollout, now: u64) -> &mut RolloutAnalysis {
        let new = || RolloutAnalysis {
            order: rollout.order,
            canary: CanaryAnalysis::new(now),
            record_number: rollout.number,
            record_since: now,
        };
        let analysis = self.by_service.entry(rollout.service.clone()).or_insert_with(new);
        if analysis.order != rollout.order {
            *analysis = new();
        }
        if analysis.record_number != rollout.number {
            (analysis.record_number, analysis.record_since) = (rollout.number, now);
        }
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

/// Records samples from a router or from another controller. Those from a router are passed on later.
pub fn record_samples(controller: &Controller, samples: Samples) {
    let rollout = controller.committed.version_rollout(&samples.service);
    let Some(rollout) = rollout.filter(|rollout| rollout.order == samples.order) else { return };
    let now = clock::now();
    let mut analyses = controller.rollout_analyses.0.lock();
    let analysis = analyses.of(&rollout, now);
    for route in &samples.list {
        let variant = if route.is_candidate { Variant::Candidate } else { Variant::Stable };
        analysis.canary.record(&route.route, variant, &sample_batch(route), now);
    }
    if !samples.is_relayed {
        analyses.unsent.push(Samples { is_relayed: true, ..samples });
    }
}

fn sample_batch(samples: &RouteSamples) -> SampleBatch {
    SampleBatch { succeeded: samples.good, failed: samples.failed, event_intervals: samples.paces.clone() }
}

/// Passes samples on and takes the steps of rollouts, for as long as the process runs.
pub fn start(controller: &Arc<Controller>) {
    let controller = controller.clone();
    tokio::spawn(async move {
        let mut interval = startup::interval(POLL_INTERVAL_MS);
        loop {
            interval.tick().await;
            send_samples(&controller);
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
    let unsent = mem::take(&mut controller.rollout_analyses.0.lock().unsent);
    for samples in merge(unsent) {
        controller.notify_peers(&Message::Samples(Box::new(samples)));
    }
}

/// Merges samples into one message for each rollout.
fn merge(list: Vec<Samples>) -> Vec<Samples> {
    let mut merged: BTreeMap<(String, u64), BTreeMap<(String, bool), RouteSamples>> = BTreeMap::new();
    for samples in list {
        let routes = merged.entry((samples.service, samples.order)).or_default();
        for route in samples.list {
            add_route(routes, route);
        }
    }
    let message = |((service, order), routes): ((String, u64), BTreeMap<_, RouteSamples>)| Samples {
        service,
        order,
        list: routes.into_values().collect(),
        is_relayed: true,
    };
    merged.into_iter().map(message).collect()
}

fn add_route(routes: &mut BTreeMap<(String, bool), RouteSamples>, samples: RouteSamples) {
    match routes.get_mut(&(samples.route.clone(), samples.is_candidate)) {
        Some(sum) => {
            sum.good += samples.good;
            sum.failed += samples.failed;
            sum.paces.extend(samples.paces);
        }
        None => drop(routes.insert((samples.route.clone(), samples.is_candidate), samples)),
    }
}

/// Looks at one rollout, and takes the step that is due if this controller is the one to do so.
async fn advance(controller: &Arc<Controller>, rollout: &VersionRollout) {
    let now = clock::now();
    let (verdict, record_since) = {
        let mut analyses = controller.rollout_analyses.0.lock();
        let analysis = analyses.of(rollout, now);
        (analysis.canary.verdict(), analysis.record_since)
    };
    if !is_responsible(controller, &rollout.service, now) {
        return;
    }
    let share_for_ms = now - record_since;
    let elapsed_ms = rollout.elapsed_ms + share_for_ms;
    let schedule = RolloutSchedule { duration_ms: rollout.duration_ms };
    let step = schedule.next_step(rollout.share, share_for_ms, elapsed_ms, verdict);
    let Some(next) = after_step(rollout, step, elapsed_ms, verdict) else { return };
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
    verdict: Verdict,
) -> Option<VersionRollout> {
    let next = VersionRollout { number: rollout.number + 1, elapsed_ms, ..rollout.clone() };
    match step {
        RolloutStep::Hold => None,
        RolloutStep::SetShare(share) => Some(VersionRollout { share, ..next }),
        RolloutStep::Complete => Some(VersionRollout { state: RolloutState::Complete, ..next }),
        RolloutStep::RollBack => {
            let mut reverted = next.reverted.clone();
            reverted.push(next.target.clone());
            let reason = rollback_reason(verdict).into();
            Some(VersionRollout { state: RolloutState::Reverted, share: 0, reverted, reason, ..next })
        }
    }
}

fn rollback_reason(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Failing => "it fails more often than the version in place",
        Verdict::Slow => "it is slower than the version in place",
        Verdict::Healthy | Verdict::Inconclusive => "not enough was seen of it in time",
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
