//! Requests samples from routers, merges them and relays them to the other controllers.

use std::collections::BTreeMap;

use kernel::clock;
use protocol::message::{Message, ENGINE_SAMPLES};
use protocol::version_samples::{EngineSamples, SampleCounts, SampleKey, SampleRequest};

use crate::controller::Controller;
use crate::delivery::subscribers::Subscriber;
use crate::rollout::version_rollouts;

/// The maximum number of event intervals of one origin in a relayed message.
const MAX_INTERVALS_PER_SAMPLE: usize = 64;

/// Asks a subscriber for samples per engine and load class while a rollout is active.
pub fn request_samples(controller: &Controller, subscriber: &Subscriber) {
    if subscriber.protocol_version < ENGINE_SAMPLES || version_rollouts::active(controller).is_empty() {
        return;
    }
    let request = SampleRequest { controller: controller.settings.ip.clone() };
    subscriber.responder.notify(&Message::SampleRequest(Box::new(request)));
}

/// Records samples from a router or another controller, unless they belong to a different rollout than the current one.
pub fn record_samples(controller: &Controller, samples: EngineSamples) {
    let rollout = controller.committed.version_rollout(&samples.service);
    let Some(rollout) = rollout.filter(|rollout| rollout.order == samples.order) else { return };
    controller.rollout_analyses.record(&rollout, samples, clock::now());
}

/// Sends the samples of this controller's routers to the other controllers.
pub fn send_samples(controller: &Controller) {
    for samples in merge(controller.rollout_analyses.take_unsent()) {
        let legacy = Message::Samples(Box::new(samples.to_legacy()));
        let current = Message::EngineSamples(Box::new(samples));
        controller.notify_peers_since(ENGINE_SAMPLES, &current, &legacy);
    }
}

/// The samples of one rollout, merged over several routers.
#[derive(Default)]
struct MergedSamples {
    elapsed_ms: u64,
    origins: BTreeMap<SampleKey, SampleCounts>,
}

/// Merges samples into one message per rollout.
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

#[cfg(test)]
#[path = "sample_relay_tests.rs"]
mod tests;
