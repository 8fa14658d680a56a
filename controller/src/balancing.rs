//! The balance of prefill and decode engines: orders to engines, from the one holder of the duty.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use kernel::{clock, startup};
use load_balancing::{plan_phase_change, EngineObservation, PhaseChange};
use protocol::headers::TARGET_INSTANCE;
use protocol::message::{self, Engine};
use reqwest::Client;
use tokio::time;

use crate::controller::Controller;
use crate::event::PHASE_ORDER;
use crate::http_client;
use crate::roles::{self, BALANCE};

/// How often load is looked at, and how often in a row a judgement must stand.
const LOOK_MS: u64 = 400;
const STANDS: u32 = 2;
/// Prefill engines are loaded for a moment whenever caches are cold: a decode engine is only taken for
/// what lasts.
const LASTS: u32 = 6;
/// Routers get this long to turn away from an engine before it gets its order.
const SPREAD_MS: u64 = 900;
/// Beyond the time that an engine takes to change its part: until the list of engines shows it.
const LIST_MS: u64 = 1500;
const CONNECT_MS: u64 = 300;
const CALL_MS: u64 = 900;
/// How long an order's bytes may be on their way. With `CONNECT_MS` it must stay inside the time for
/// which a holder may act on its last confirmation, which the next holder waits out twice.
const UNACKNOWLEDGED_MS: u64 = 500;

/// What was last judged for a service, and how often in a row.
struct Judgement {
    prefill: bool,
    count: u32,
}

#[derive(Default)]
struct Balance {
    /// Smoothed requests under way, by engine.
    busy: HashMap<String, f64>,
    /// By service.
    judgements: HashMap<String, Judgement>,
    calm_until: HashMap<String, u64>,
}

/// An engine and its load.
struct Candidate {
    engine: Engine,
    seen: EngineObservation,
}

/// An order to one engine to change its part.
struct PhaseOrder {
    engine: Engine,
    prefill: bool,
    switch_ms: u64,
}

pub fn start(controller: &Arc<Controller>) {
    let wait = Duration::from_millis;
    let client = http_client::at_most_once(wait(CONNECT_MS), wait(UNACKNOWLEDGED_MS)).timeout(wait(CALL_MS));
    let Ok(client) = client.build() else { return };
    let controller = controller.clone();
    tokio::spawn(async move {
        let mut beat = startup::interval(LOOK_MS);
        let mut balance = Balance::default();
        loop {
            beat.tick().await;
            look(&controller, &client, &mut balance).await;
        }
    });
}

async fn look(controller: &Arc<Controller>, client: &Client, balance: &mut Balance) {
    let now = clock::now();
    controller.peers.update(|view| view.reassigning.retain(|(_, until)| *until > now));
    let Some(epoch) = roles::acting_epoch(controller, BALANCE, now) else {
        *balance = Balance::default();
        return;
    };
    if !roles::declare_predecessor_expired(controller, BALANCE, epoch).await {
        return;
    }
    for (service, list) in candidates(controller, balance, now) {
        let Some(change) = balance.decide(&service, &list, now) else { continue };
        let switch_ms = switch_ms(controller, &service);
        balance.calm_until.insert(service, now + SPREAD_MS + switch_ms + LIST_MS);
        for at in change.engines {
            let order = PhaseOrder { engine: list[at].engine.clone(), prefill: change.prefill, switch_ms };
            tokio::spawn(carry_out(controller.clone(), client.clone(), order));
        }
        return;
    }
}

/// All engines with a part, by service.
fn candidates(controller: &Controller, balance: &mut Balance, now: u64) -> BTreeMap<String, Vec<Candidate>> {
    let busy = controller.peers.read(|view| view.total_in_flight(now));
    let closed = controller.committed.evacuations();
    let mut services: BTreeMap<String, Vec<Candidate>> = BTreeMap::new();
    controller.engines.read(|sheets| {
        for sheet in sheets.iter().filter(|sheet| !message::is_hidden_key(&sheet.zone)) {
            let open = !closed.get(&sheet.zone).is_some_and(|evacuation| evacuation.evacuated);
            for engine in sheet.engines.iter().filter(|engine| !engine.phase.is_empty()) {
                let told = f64::from(busy.get(&engine.id).copied().unwrap_or(0));
                let candidate = Candidate { engine: engine.clone(), seen: balance.see(engine, told, open) };
                services.entry(engine.service.clone()).or_default().push(candidate);
            }
        }
    });
    services
}

impl Balance {
    /// Smooths the load of an engine and says how it stands.
    fn see(&mut self, engine: &Engine, told: f64, open: bool) -> EngineObservation {
        let mean = self.busy.entry(engine.id.clone()).or_insert(told);
        *mean += (told - *mean) * 0.5;
        EngineObservation {
            id: engine.id.clone(),
            prefill: engine.phase == "prefill",
            slots: engine.slots,
            in_flight: mean.round() as u32,
            eligible: engine.up && open,
        }
    }

    /// The engines to order and their new part, once the judgement has stood for long enough.
    fn decide(&mut self, service: &str, list: &[Candidate], now: u64) -> Option<PhaseChange> {
        let seen: Vec<EngineObservation> = list.iter().map(|candidate| candidate.seen.clone()).collect();
        let Some(change) = plan_phase_change(&seen) else {
            self.judgements.remove(service);
            return None;
        };
        let prefill = change.prefill;
        let judgement = self.judgements.entry(service.into()).or_insert(Judgement { prefill, count: 0 });
        judgement.count = if judgement.prefill == prefill { judgement.count + 1 } else { 1 };
        judgement.prefill = prefill;
        let need = if prefill { LASTS } else { STANDS };
        let calm = self.calm_until.get(service).is_some_and(|until| now < *until);
        (judgement.count >= need && !calm).then_some(change)
    }
}

fn switch_ms(controller: &Controller, service: &str) -> u64 {
    let config = controller.committed.current_config();
    let services = config.as_ref().map(|config| config.config().service_table.as_slice());
    let spec = services.unwrap_or_default().iter().find(|item| item.name == service);
    let wait = spec.and_then(|spec| spec.engine.as_ref()).map(|engine| engine.role_switch_s);
    // 0: not told.
    wait.filter(|wait| *wait > 0.0).map_or(2000, |wait| (wait * 1000.0) as u64)
}

/// First routers leave the engine alone, then it gets its order. One without an answer may have been
/// taken, so it is not sent again: the list will show it.
async fn carry_out(controller: Arc<Controller>, client: Client, order: PhaseOrder) {
    let engine = &order.engine;
    let begun = clock::now();
    let until = begun + SPREAD_MS + order.switch_ms + 1200;
    controller.peers.update(|view| view.reassigning.push((engine.id.clone(), until)));
    time::sleep(Duration::from_millis(SPREAD_MS)).await;
    let now = clock::now();
    // Asleep for longer than meant: what was judged is out of date.
    if now >= begun + 2 * SPREAD_MS {
        return;
    }
    // No longer the holder: no order.
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
    let status = call.send().await.map_or(0, |reply| reply.status().as_u16());
    kernel::log_event!(PHASE_ORDER, "engine" => engine.id.clone(), "phase" => phase, "epoch" => epoch, "status" => status);
}

#[cfg(test)]
#[path = "balancing_tests.rs"]
mod tests;
