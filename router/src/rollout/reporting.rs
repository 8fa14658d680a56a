//! Reports samples to the home controller in a format that it supports.

use std::sync::Arc;

use kernel::clock;
use protocol::link::PeerClient;
use protocol::message::Message;
use protocol::version_samples::EngineSamples;
use tokio::time;

use crate::rollout::Rollouts;
use crate::state::State;

/// How long a controller's request for samples by engine and load is valid, in milliseconds. The controller repeats it
/// with each subscription renewal.
const SAMPLE_REQUEST_VALID_MS: u64 = 5000;

/// A controller that requested samples by engine and load.
pub(super) struct SampleReader {
    ip: String,
    requested_at: u64,
}

impl Rollouts {
    /// Returns whether the controller at `ip` has a valid request for samples by engine and load.
    pub(super) fn is_requested_by(&self, ip: &str, now: u64) -> bool {
        let is_valid = |reader: &SampleReader| reader.ip == ip && now < reader.requested_at + SAMPLE_REQUEST_VALID_MS;
        self.sample_reader.as_ref().is_some_and(is_valid)
    }
}

/// Applies a controller's request for samples by engine and load.
pub fn apply_sample_request(state: &State, controller: String) {
    let reader = SampleReader { ip: controller, requested_at: clock::now() };
    state.rollouts().sample_reader = Some(reader);
}

/// Sends samples to the home controller for as long as the process runs.
pub async fn send_samples(state: Arc<State>) {
    loop {
        state.samples_wanted.notified().await;
        let interval = state.rollouts().sampling_interval();
        time::sleep(interval).await;
        let list = state.rollouts().drain_samples(clock::now());
        let controller = state.home_controller().clone();
        let Some(controller) = controller else { continue };
        list.iter().for_each(|samples| report(&state, &controller, samples));
    }
}

/// Reports samples to a controller in a format that it supports.
fn report(state: &State, controller: &PeerClient, samples: &EngineSamples) {
    let ip = controller.addr().rsplit_once(':').map_or(controller.addr(), |(ip, _)| ip);
    let is_requested = state.rollouts().is_requested_by(ip, clock::now());
    controller.notify(match is_requested {
        true => Message::EngineSamples(Box::new(samples.clone())),
        false => Message::Samples(Box::new(samples.to_legacy())),
    });
}
