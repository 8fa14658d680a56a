//! Trials of new versions: routers' samples are pooled at every controller, and the first that is confirmed judges. It needs no
//! epoch: each step is a change on top of the very record that it was judged on.

use std::collections::BTreeMap;
use std::mem;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use kernel::{clock, startup};
use parking_lot::Mutex;
use protocol::message::{HiddenKey, Message};
use protocol::version_rollout::{RolloutState, RouteSamples, Samples, VersionRollout};
use versions::{Arm, Batch, Finding, Judge, Schedule, Step};

use crate::controller::Controller;
use crate::delivery::subscribers::Follower;
use crate::event::VERSION_STEP;
use crate::replication::committed_state::CommittedState;
use crate::replication::registers::Decision;

/// How often samples are passed on and judged.
const BEAT_MS: u64 = 200;
/// How long one step may take.
const CHANGE_MS: u64 = 900;

/// What is known here of one rollout.
struct Trial {
    order: u64,
    judge: Judge,
    /// The newest record, and when it became known.
    number: u64,
    since: u64,
}

/// All trials, and samples that other controllers have not heard yet.
#[derive(Default)]
pub struct Trials(Mutex<TrialTable>);

#[derive(Default)]
struct TrialTable {
    trials: BTreeMap<String, Trial>,
    untold: Vec<Samples>,
}

impl TrialTable {
    fn trial(&mut self, rollout: &VersionRollout, now: u64) -> &mut Trial {
        let fresh = || Trial { order: rollout.order, judge: Judge::new(now), number: rollout.number, since: now };
        let trial = self.trials.entry(rollout.service.clone()).or_insert_with(fresh);
        if trial.order != rollout.order {
            *trial = fresh();
        }
        if trial.number != rollout.number {
            (trial.number, trial.since) = (rollout.number, now);
        }
        trial
    }
}

/// Sends a follower the rollouts that it lacks.
pub fn send(committed_state: &CommittedState, follower: &mut Follower) {
    for rollout in committed_state.rollouts.values() {
        let key = VersionRollout::key(&rollout.service);
        let has = follower.closed.entry(HiddenKey::Register(&key).into()).or_default();
        if rollout.number <= *has {
            continue;
        }
        match follower.mouth.notify(&Message::VersionRollout(Box::new(rollout.clone()))) {
            true => *has = rollout.number,
            false => follower.behind = true,
        }
    }
}

/// Takes samples from a router or from another controller.
pub fn take_samples(controller: &Controller, samples: Samples) {
    let rollout = controller.committed.version_rollout(&samples.service);
    let Some(rollout) = rollout.filter(|rollout| rollout.order == samples.order) else { return };
    let now = clock::now();
    let mut trials = controller.trials.0.lock();
    let trial = trials.trial(&rollout, now);
    for one in &samples.list {
        let arm = if one.is_candidate { Arm::Candidate } else { Arm::Stable };
        trial.judge.note(&one.route, arm, &batch(one), now);
    }
    if !samples.is_relayed {
        trials.untold.push(Samples { is_relayed: true, ..samples });
    }
}

fn batch(samples: &RouteSamples) -> Batch {
    Batch { good: samples.good, failed: samples.failed, paces: samples.paces.clone() }
}

/// Passes samples on and judges, for as long as the process runs.
pub fn start(controller: &Arc<Controller>) {
    let controller = controller.clone();
    tokio::spawn(async move {
        let mut beat = startup::interval(BEAT_MS);
        loop {
            beat.tick().await;
            tell(&controller);
            for rollout in active(&controller) {
                look(&controller, &rollout).await;
            }
        }
    });
}

fn active(controller: &Controller) -> Vec<VersionRollout> {
    let rollouts = controller.committed.version_rollouts().into_values();
    rollouts.filter(|rollout| rollout.state == RolloutState::Active).collect()
}

/// Tells the other controllers what this one's routers saw.
fn tell(controller: &Controller) {
    let untold = mem::take(&mut controller.trials.0.lock().untold);
    if untold.is_empty() {
        return;
    }
    let merged = merge(untold);
    for samples in merged {
        controller.notify_peers(&Message::Samples(Box::new(samples)));
    }
}

/// One message for each rollout.
fn merge(list: Vec<Samples>) -> Vec<Samples> {
    let mut merged: BTreeMap<(String, u64), BTreeMap<(String, bool), RouteSamples>> = BTreeMap::new();
    for samples in list {
        let routes = merged.entry((samples.service, samples.order)).or_default();
        for one in samples.list {
            match routes.get_mut(&(one.route.clone(), one.is_candidate)) {
                Some(held) => {
                    held.good += one.good;
                    held.failed += one.failed;
                    held.paces.extend(one.paces);
                }
                None => drop(routes.insert((one.route.clone(), one.is_candidate), one)),
            }
        }
    }
    let whole = |((service, order), routes): ((String, u64), BTreeMap<_, RouteSamples>)| Samples {
        service,
        order,
        list: routes.into_values().collect(),
        is_relayed: true,
    };
    merged.into_iter().map(whole).collect()
}

/// Looks at one rollout, and takes the step that is due if this controller is the one to do so.
async fn look(controller: &Arc<Controller>, rollout: &VersionRollout) {
    let now = clock::now();
    let (finding, since) = {
        let mut trials = controller.trials.0.lock();
        let trial = trials.trial(rollout, now);
        (trial.judge.finding(), trial.since)
    };
    if !judges(controller, &rollout.service, now) {
        return;
    }
    let for_ms = now - since;
    let elapsed_ms = rollout.elapsed_ms + for_ms;
    let schedule = Schedule { duration_ms: rollout.duration_ms };
    let step = schedule.step(rollout.share, for_ms, elapsed_ms, finding);
    let Some(next) = after(rollout, step, elapsed_ms, finding) else { return };
    if commit(controller, rollout, &next).await {
        kernel::log_event!(VERSION_STEP, "service" => next.service.clone(), "version" => next.target.clone(),
            "state" => next.state.as_str(), "share" => next.share, "elapsed_ms" => elapsed_ms, "reason" => next.reason.clone());
    }
}

/// Is this controller the one that judges a service's rollout?
fn judges(controller: &Controller, service: &str, now: u64) -> bool {
    if !controller.committed.is_confirmed(now) || controller.leaving.load(Ordering::Relaxed) {
        return false;
    }
    controller.peers.is_first_confirmed(&VersionRollout::key(service), now)
}

/// The record after a step. None: nothing changes.
fn after(rollout: &VersionRollout, step: Step, elapsed_ms: u64, finding: Finding) -> Option<VersionRollout> {
    let next = VersionRollout { number: rollout.number + 1, elapsed_ms, ..rollout.clone() };
    match step {
        Step::Stay => None,
        Step::Share(share) => Some(VersionRollout { share, ..next }),
        Step::Complete => Some(VersionRollout { state: RolloutState::Complete, ..next }),
        Step::Revert => {
            let mut reverted = next.reverted.clone();
            reverted.push(next.target.clone());
            let reason = match finding {
                Finding::Fails => "it fails more often than the version in place",
                Finding::Slow => "it is slower than the version in place",
                Finding::Good | Finding::Unsure => "not enough was seen of it in time",
            };
            Some(VersionRollout { state: RolloutState::Reverted, share: 0, reverted, reason: reason.into(), ..next })
        }
    }
}

async fn commit(controller: &Arc<Controller>, rollout: &VersionRollout, next: &VersionRollout) -> bool {
    let judge = |body: &[u8]| match VersionRollout::from_bytes(body) {
        Some(held) if held.number == rollout.number => Decision::Write(next.to_bytes(), true),
        _ => Decision::Answer(false),
    };
    controller.change(&VersionRollout::key(&rollout.service), CHANGE_MS, judge).await.unwrap_or(false)
}

#[cfg(test)]
#[path = "version_rollouts_tests.rs"]
mod tests;
