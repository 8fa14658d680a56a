//! Balances prefill and decode engines: the single owner of the role orders engines to change their phase.

pub mod usage_reports;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use kernel::{clock, startup};
use load_balancing::{
    plan_phase_change_among, EngineObservation, PhaseChange, PhaseKey, PhaseLoad, ServiceLoad, TotalUsage, UsageSample,
};
use protocol::headers::TARGET_INSTANCE;
use protocol::message::Engine;
use reqwest::Client;
use tokio::time;

use crate::controller::Controller;
use crate::event::PHASE_ORDER;
use crate::http_client;
use crate::roles::{self, BALANCE};

/// Interval at which the load is evaluated, in ms.
const TICK_MS: u64 = 400;
/// How many consecutive evaluations must plan the same change towards decode before it is made.
const DECODE_CONFIRMATIONS: u32 = 2;
/// How many consecutive evaluations must plan the same change towards prefill before it is made. Cold caches load the
/// prefill engines only briefly, so a decode engine is reassigned only for a load that persists.
const PREFILL_CONFIRMATIONS: u32 = 6;
/// Drain time: how long routers have to stop using an engine before it gets its order, in ms.
const DRAIN_MS: u64 = 900;
/// Extra time, after an engine has changed its phase, until the endpoint list shows the change, in ms.
const LIST_DELAY_MS: u64 = 1500;
/// Connect timeout for engines, in ms.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Timeout of an order, including its response, in ms.
const CALL_TIMEOUT_MS: u64 = 900;
/// How long sent bytes of an order may stay unacknowledged, in ms. Together with `CONNECT_TIMEOUT_MS` it must be
/// shorter than the time for which an owner may act on its last confirmation: the next owner waits twice that time
/// before it acts.
const UNACKNOWLEDGED_TIMEOUT_MS: u64 = 500;

/// The last change planned for a service, and how many times in a row it was planned.
struct PlannedChange {
    prefill: bool,
    count: u32,
}

#[derive(Default)]
struct LoadHistory {
    /// Smoothed number of requests in flight at each sampled engine, by engine id.
    in_flight: HashMap<String, f64>,
    /// Smoothed number of requests in flight, by service and phase.
    totals: HashMap<PhaseKey, f64>,
    /// The planned change of each service.
    planned_changes: HashMap<String, PlannedChange>,
    /// End of the cooldown of each service, in ms; no change is made before it.
    cooldown_until: HashMap<String, u64>,
}

/// A sampled engine that may be ordered to change its phase, and its load.
struct Candidate {
    engine: Engine,
    observation: EngineObservation,
}

/// The observed load of a service: the totals over all its engines, and each sampled engine.
#[derive(Default)]
struct ServiceObservation {
    load: ServiceLoad,
    engine_count: usize,
    candidates: Vec<Candidate>,
}

/// An order that tells one engine to change its phase.
struct PhaseOrder {
    engine: Engine,
    prefill: bool,
    switch_ms: u64,
}

/// Starts the task that balances prefill and decode engines while this controller owns the role.
pub fn start(controller: &Arc<Controller>) {
    let millis = Duration::from_millis;
    let client = http_client::at_most_once(
        controller.settings.source_ip(),
        millis(CONNECT_TIMEOUT_MS),
        millis(UNACKNOWLEDGED_TIMEOUT_MS),
    )
    .timeout(millis(CALL_TIMEOUT_MS));
    let Ok(client) = client.build() else { return };
    let controller = controller.clone();
    tokio::spawn(async move {
        let mut ticks = startup::interval(TICK_MS);
        let mut history = LoadHistory::default();
        loop {
            ticks.tick().await;
            rebalance(&controller, &client, &mut history).await;
        }
    });
}

async fn rebalance(controller: &Arc<Controller>, client: &Client, history: &mut LoadHistory) {
    let now = clock::now();
    controller.peers.update(|view| view.reassigning.retain(|(_, until)| *until > now));
    let Some(epoch) = roles::acting_epoch(controller, BALANCE, now) else {
        *history = LoadHistory::default();
        return;
    };
    if !roles::declare_predecessor_expired(controller, BALANCE, epoch).await {
        return;
    }
    for (service, observed) in observe_services(controller, history, now) {
        let Some(change) = history.decide(&service, &observed, now) else { continue };
        let switch_ms = switch_ms(controller, &service);
        history.cooldown_until.insert(service, now + DRAIN_MS + switch_ms + LIST_DELAY_MS);
        for index in change.engines {
            let order =
                PhaseOrder { engine: observed.candidates[index].engine.clone(), prefill: change.prefill, switch_ms };
            tokio::spawn(execute(controller.clone(), client.clone(), order));
        }
        return;
    }
}

/// Returns the observed load of each service that has engines with a phase.
fn observe_services(
    controller: &Controller,
    history: &mut LoadHistory,
    now: u64,
) -> BTreeMap<String, ServiceObservation> {
    let usage = usage_reports::total_usage(controller, now);
    let evacuations = controller.committed.evacuations();
    let mut services: BTreeMap<String, ServiceObservation> = BTreeMap::new();
    controller.engines.read(|lists| {
        let engines = usage_reports::engines_with_phase(&evacuations, lists.iter());
        let sample = UsageSample::of(engines.iter().map(|(engine, _)| *engine));
        for (engine, eligible) in engines {
            let observed = services.entry(engine.service.clone()).or_default();
            observed.add(engine, eligible);
            if sample.contains(engine) {
                let observation = history.observe(engine, usage.sampled(&engine.id), eligible);
                observed.candidates.push(Candidate { engine: engine.clone(), observation });
            }
        }
    });
    for (service, observed) in &mut services {
        history.add_totals(service, observed, &usage);
    }
    services
}

impl ServiceObservation {
    /// Adds an engine to the totals.
    fn add(&mut self, engine: &Engine, eligible: bool) {
        self.engine_count += 1;
        if eligible {
            let phase = self.phase_mut(engine.phase == "prefill");
            phase.count += 1.0;
            phase.slots += f64::from(engine.slots);
        }
    }

    fn phase_mut(&mut self, prefill: bool) -> &mut PhaseLoad {
        match prefill {
            true => &mut self.load.prefill,
            false => &mut self.load.decode,
        }
    }
}

impl LoadHistory {
    /// Updates the smoothed load of an engine and returns its observation.
    fn observe(&mut self, engine: &Engine, reported: u32, eligible: bool) -> EngineObservation {
        let reported = f64::from(reported);
        let mean = self.in_flight.entry(engine.id.clone()).or_insert(reported);
        *mean += (reported - *mean) * 0.5;
        EngineObservation {
            id: engine.id.clone(),
            prefill: engine.phase == "prefill",
            slots: engine.slots,
            in_flight: mean.round() as u32,
            eligible,
        }
    }

    /// Updates the smoothed load of both phases of a service and stores it in `observed`.
    fn add_totals(&mut self, service: &str, observed: &mut ServiceObservation, usage: &TotalUsage) {
        for prefill in [true, false] {
            let key = PhaseKey { service: service.into(), prefill };
            let reported = f64::from(usage.total(&key));
            let mean = self.totals.entry(key).or_insert(reported);
            *mean += (reported - *mean) * 0.5;
            observed.phase_mut(prefill).in_flight = *mean;
        }
    }

    /// Returns the phase change to make, once it was planned often enough in a row and the service is not in cooldown.
    fn decide(&mut self, service: &str, observed: &ServiceObservation, now: u64) -> Option<PhaseChange> {
        let observations: Vec<EngineObservation> =
            observed.candidates.iter().map(|candidate| candidate.observation.clone()).collect();
        let Some(change) = plan_phase_change_among(&observations, observed.load, observed.engine_count) else {
            self.planned_changes.remove(service);
            return None;
        };
        let prefill = change.prefill;
        let planned = self.planned_changes.entry(service.into()).or_insert(PlannedChange { prefill, count: 0 });
        planned.count = if planned.prefill == prefill { planned.count + 1 } else { 1 };
        planned.prefill = prefill;
        let required = if prefill { PREFILL_CONFIRMATIONS } else { DECODE_CONFIRMATIONS };
        let is_cooling_down = self.cooldown_until.get(service).is_some_and(|until| now < *until);
        (planned.count >= required && !is_cooling_down).then_some(change)
    }
}

fn switch_ms(controller: &Controller, service: &str) -> u64 {
    let config = controller.committed.current_config();
    let services = config.as_ref().map(|config| config.config().service_table.as_slice());
    let spec = services.unwrap_or_default().iter().find(|item| item.name == service);
    let switch_s = spec.and_then(|spec| spec.engine.as_ref()).map(|engine| engine.role_switch_s);
    // 0 means that the time is not configured.
    switch_s.filter(|seconds| *seconds > 0.0).map_or(2000, |seconds| (seconds * 1000.0) as u64)
}

/// Drains an engine and sends it an order. An order without a response may have been executed, so it is not sent again;
/// the endpoint list will show the outcome.
async fn execute(controller: Arc<Controller>, client: Client, order: PhaseOrder) {
    let engine = &order.engine;
    let started_at = clock::now();
    let until = started_at + DRAIN_MS + order.switch_ms + 1200;
    controller.peers.update(|view| view.reassigning.push((engine.id.clone(), until)));
    time::sleep(Duration::from_millis(DRAIN_MS)).await;
    let now = clock::now();
    // The sleep took much longer than requested, so the plan is out of date.
    if now >= started_at + 2 * DRAIN_MS {
        return;
    }
    // This controller no longer owns the role.
    let Some(epoch) = roles::acting_epoch(&controller, BALANCE, now) else { return };
    let phase = if order.prefill { "prefill" } else { "decode" };
    let body = serde_json::json!({
        "opcode": "phase", "phase": phase, "owner": controller.settings.node_name, "fence_token": epoch
    });
    let call = client
        .post(format!("http://{}/order", engine.addr))
        .header(TARGET_INSTANCE, &engine.id)
        .header("content-type", "application/json")
        .body(body.to_string());
    let status = http_calls::send(call).await.map_or(0, |reply| reply.status().as_u16());
    kernel::log_event!(PHASE_ORDER, "engine" => engine.id.clone(), "phase" => phase, "epoch" => epoch, "status" => status);
}

#[cfg(test)]
#[path = "balancing_tests.rs"]
mod tests;
