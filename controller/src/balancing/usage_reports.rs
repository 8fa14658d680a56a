//! Reports of the requests in flight at engines, sent by all controllers to the one that balances phases.

use std::collections::{BTreeMap, HashMap};

use load_balancing::{summarize_usage, TotalUsage, UsageSample};
use parking_lot::Mutex;
use protocol::message::{self, EndpointList, Engine, EngineUsage};

use crate::controller::{Controller, LIVENESS_TIMEOUT_MS};
use crate::replication::committed_state::EvacuationRecord;

/// The latest usage report of each other controller. A report expires after the liveness timeout of its sender.
#[derive(Default)]
pub struct UsageReports(Mutex<HashMap<String, TimedReport>>);

struct TimedReport {
    usage: EngineUsage,
    received_at: u64,
}

impl UsageReports {
    /// Stores a report in place of the sender's previous one and removes expired reports.
    pub fn record(&self, usage: EngineUsage, now: u64) {
        let mut reports = self.0.lock();
        reports.retain(|_, report| now < report.received_at + LIVENESS_TIMEOUT_MS);
        reports.insert(usage.ip.clone(), TimedReport { usage, received_at: now });
    }

    fn add_current(&self, total: &mut TotalUsage, now: u64) {
        let reports = self.0.lock();
        let current = reports.values().filter(|report| now < report.received_at + LIVENESS_TIMEOUT_MS);
        current.for_each(|report| total.add(&report.usage));
    }
}

/// Returns the engines that have a phase, each with whether it may get new requests: it must be up and in a zone that
/// is not evacuated.
pub fn engines_with_phase<'a>(
    evacuations: &BTreeMap<String, EvacuationRecord>,
    lists: impl Iterator<Item = &'a EndpointList>,
) -> Vec<(&'a Engine, bool)> {
    let is_open = |zone: &str| !evacuations.get(zone).is_some_and(|evacuation| evacuation.evacuated);
    let mut engines = Vec::new();
    for list in lists.filter(|list| !message::is_hidden_key(&list.zone)) {
        let zone_is_open = is_open(&list.zone);
        let with_phase = list.engines.iter().filter(|engine| !engine.phase.is_empty());
        engines.extend(with_phase.map(|engine| (engine, engine.up && zone_is_open)));
    }
    engines
}

/// Summarizes requests in flight, given by engine id, as a usage report of this controller.
pub fn own_usage(controller: &Controller, in_flight: &[(String, u32)]) -> EngineUsage {
    let in_flight: HashMap<&str, u32> = in_flight.iter().map(|(id, count)| (id.as_str(), *count)).collect();
    let evacuations = controller.committed.evacuations();
    controller.engines.read(|lists| {
        let engines = engines_with_phase(&evacuations, lists.iter());
        let sample = UsageSample::of(engines.iter().map(|(engine, _)| *engine));
        let eligible: Vec<&Engine> =
            engines.iter().filter(|(_, eligible)| *eligible).map(|(engine, _)| *engine).collect();
        summarize_usage(controller.own_ip(), &eligible, &sample, &in_flight)
    })
}

/// Returns the requests in flight from the routers of all live controllers. Controllers of earlier versions report them
/// per engine in their heartbeats.
pub fn total_usage(controller: &Controller, now: u64) -> TotalUsage {
    let by_engine: Vec<(String, u32)> = controller.peers.read(|view| view.total_in_flight(now)).into_iter().collect();
    let mut total = TotalUsage::default();
    total.add(&own_usage(controller, &by_engine));
    controller.usage_reports.add_current(&mut total, now);
    total
}

#[cfg(test)]
#[path = "usage_reports_tests.rs"]
mod tests;
