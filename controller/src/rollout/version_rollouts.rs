//! Drives the rollouts of software versions.
//!
//! Every controller pools the samples of all routers, and the first confirmed controller takes the steps. This needs no
//! epoch: a step is committed only if the record that the decision was based on is still the latest.

use std::sync::Arc;

use kernel::{clock, startup};
use protocol::message::{HiddenKey, Message};
use protocol::version_rollout::{RolloutState, VersionRollout};
use versions::{RolloutSchedule, RolloutStage, RolloutStep, Verdict};

use crate::controller::Controller;
use crate::delivery::subscribers::Subscriber;
use crate::event::VERSION_STEP;
use crate::replication::committed_state::CommittedState;
use crate::replication::registers::Decision;
use crate::rollout::rollout_analyses::Evaluation;
use crate::rollout::sample_relay;

/// Interval at which samples are relayed and rollouts are evaluated, in ms.
const POLL_INTERVAL_MS: u64 = 100;
/// Timeout of committing one step, in ms.
const STEP_TIMEOUT_MS: u64 = 900;

/// Sends a subscriber the rollouts that it lacks.
pub fn send_missing_rollouts(state: &CommittedState, subscriber: &mut Subscriber) {
    for rollout in state.version_rollouts.values() {
        let key = VersionRollout::key(&rollout.service);
        let sent_number = subscriber.evacuation_versions.entry(HiddenKey::Register(&key).into()).or_default();
        if rollout.number <= *sent_number {
            continue;
        }
        match subscriber.responder.notify(&Message::VersionRollout(Box::new(rollout.clone()))) {
            true => *sent_number = rollout.number,
            false => subscriber.is_behind = true,
        }
    }
}

/// Starts the task that relays samples and takes the steps of rollouts.
pub fn start(controller: &Arc<Controller>) {
    let controller = controller.clone();
    tokio::spawn(async move {
        let mut interval = startup::interval(POLL_INTERVAL_MS);
        loop {
            tokio::select! {
                _ = interval.tick() => sample_relay::send_samples(&controller),
                () = controller.rollout_analyses.alarm() => {}
            }
            for rollout in active(&controller) {
                advance(&controller, &rollout).await;
            }
        }
    });
}

/// Returns the active rollouts.
pub fn active(controller: &Controller) -> Vec<VersionRollout> {
    let rollouts = controller.committed.version_rollouts().into_values();
    rollouts.filter(|rollout| rollout.state == RolloutState::Active).collect()
}

/// Returns whether the known rollout of a service is about to be completed or rolled back because its duration ends.
pub fn ends_soon(controller: &Controller, service: &str, now: u64) -> bool {
    let Some(rollout) = controller.committed.version_rollout(service) else { return false };
    if rollout.state != RolloutState::Active || RolloutStage::of(rollout.share) != RolloutStage::Full {
        return false;
    }
    let elapsed_ms = controller.rollout_analyses.elapsed_ms(&rollout, now);
    schedule_of(controller, &rollout).ends_soon(elapsed_ms)
}

fn schedule_of(controller: &Controller, rollout: &VersionRollout) -> RolloutSchedule {
    let exposure_share = controller.settings.bounds.exposure_share;
    RolloutSchedule { duration_ms: rollout.duration_ms, exposure_share }
}

/// Evaluates one rollout and takes the step that is due, if this controller is responsible for it.
async fn advance(controller: &Arc<Controller>, rollout: &VersionRollout) {
    let now = clock::now();
    let Evaluation { verdict, worst_route, elapsed_ms, share_for_ms } =
        controller.rollout_analyses.evaluate(rollout, now);
    if !is_responsible(controller, &rollout.service, now) {
        return;
    }
    let schedule = schedule_of(controller, rollout);
    let is_in_force = controller.committed.version_in_force(&rollout.service).as_ref() == Some(&rollout.target);
    let step = match is_in_force {
        // The engines of the version before are gone, and no other was left to replace them.
        true => RolloutStep::Complete,
        false => schedule.next_step(rollout.share, share_for_ms, elapsed_ms, verdict),
    };
    let Some(next) = after_step(rollout, step, elapsed_ms, &rollback_reason(verdict, &worst_route)) else { return };
    if commit(controller, rollout, &next).await {
        kernel::log_event!(VERSION_STEP, "service" => next.service.clone(), "version" => next.target.clone(),
            "state" => next.state.as_str(), "share" => next.share, "elapsed_ms" => elapsed_ms, "reason" => next.reason.clone());
    }
}

/// Returns whether this controller is responsible for the rollout of a service.
fn is_responsible(controller: &Controller, service: &str, now: u64) -> bool {
    if !controller.committed.is_confirmed(now) || controller.is_shutting_down() {
        return false;
    }
    controller.peers.is_first_confirmed(&VersionRollout::key(service), now)
}

/// Returns the record after a step, or `None` if nothing changes.
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
        Verdict::Unprovable => {
            "nothing speaks against it, but too many engines of the version in place fail or are slow by themselves"
                .into()
        }
        Verdict::HealthyUnderLoad | Verdict::Healthy | Verdict::Inconclusive => {
            "not enough was seen of it in time".into()
        }
    }
}

/// Commits the record `next` if `rollout` is still the latest one. Returns whether it was committed.
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
