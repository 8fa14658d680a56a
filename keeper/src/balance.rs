//! The balance of readers and makers: orders to engines, from the one holder of the duty.

/// How often pressure is looked at, and how often in a row a judgement must stand.
const LOOK_MS: u64 = 400;
const STANDS: u32 = 2;
/// Readers are pressed for a moment whenever caches are cold: a maker is only taken for what lasts.
const LASTS: u32 = 6;
/// Routers get this long to turn away from an engine before it gets its order.
const SPREAD_MS: u64 = 900;

#[derive(Default)]
struct Balance {
    /// Smoothed requests under way, by engine.
    busy: std::collections::HashMap<String, f64>,
    stands: std::collections::HashMap<String, (usize, u32)>,
    calm_until: std::collections::HashMap<String, u64>,
}

pub fn start(hall: &std::sync::Arc<crate::hall::Hall>) {
    let wait = std::time::Duration::from_millis;
    let client = reqwest::Client::builder().connect_timeout(wait(400)).timeout(wait(900)).no_proxy().build();
    let Ok(client) = client else { return };
    let hall = hall.clone();
    tokio::spawn(async move {
        let mut beat = kernel::entry::beat(LOOK_MS);
        let mut balance = Balance::default();
        loop {
            beat.tick().await;
            look(&hall, &client, &mut balance).await;
        }
    });
}

async fn look(hall: &std::sync::Arc<crate::hall::Hall>, client: &reqwest::Client, balance: &mut Balance) {
    let now = kernel::clock::now();
    hall.roster.lock().expect("roster").resting.retain(|(_, until)| *until > now);
    let Some(epoch) = crate::duty::leave(hall, crate::duty::BALANCE, now) else {
        *balance = Balance::default();
        return;
    };
    if !crate::duty::clear(hall, crate::duty::BALANCE, epoch).await {
        return;
    }
    let busy = hall.roster.lock().expect("roster").pressure(now);
    let mut services: std::collections::BTreeMap<String, Vec<(wire::msg::Engine, engines::balance::Seen)>> =
        Default::default();
    let closed = hall.board.lock().expect("board").closed.clone();
    for sheet in hall.sheets.lock().expect("sheets").all() {
        let open = !closed.get(&sheet.area).is_some_and(|(_, on)| *on);
        for engine in sheet.list.iter().filter(|engine| !engine.phase.is_empty()) {
            let told = f64::from(busy.get(&engine.id).copied().unwrap_or(0));
            let mean = balance.busy.entry(engine.id.clone()).or_insert(told);
            *mean += (told - *mean) * 0.5;
            let seen = engines::balance::Seen {
                id: engine.id.clone(),
                prefill: engine.phase == "prefill",
                slots: engine.slots,
                busy: mean.round() as u32,
                fit: engine.up && open,
            };
            services.entry(engine.service.clone()).or_default().push((engine.clone(), seen));
        }
    }
    for (service, list) in services {
        let seen: Vec<engines::balance::Seen> = list.iter().map(|(_, seen)| seen.clone()).collect();
        let Some((at, prefill)) = engines::balance::judge(&seen) else {
            balance.stands.remove(&service);
            continue;
        };
        let stand = balance.stands.entry(service.clone()).or_insert((usize::from(prefill), 0));
        *stand = (usize::from(prefill), if stand.0 == usize::from(prefill) { stand.1 + 1 } else { 1 });
        let need = if prefill { LASTS } else { STANDS };
        if stand.1 < need || balance.calm_until.get(&service).is_some_and(|until| now < *until) {
            continue;
        }
        let wait = switch_ms(hall, &service);
        balance.calm_until.insert(service, now + SPREAD_MS + wait + 1500);
        tokio::spawn(order(hall.clone(), client.clone(), list[at].0.clone(), prefill, wait));
        return;
    }
}

fn switch_ms(hall: &crate::hall::Hall, service: &str) -> u64 {
    let board = hall.board.lock().expect("board");
    let text = board.config.as_ref().map_or(&b""[..], |config| &config.1);
    let value: serde_json::Value = serde_json::from_slice(text).unwrap_or_default();
    let list = value["service_table"].as_array().cloned().unwrap_or_default();
    let spec = list.iter().find(|item| item["name"] == service);
    spec.and_then(|spec| spec["engine"]["role_switch_s"].as_f64()).map_or(2000, |wait| (wait * 1000.0) as u64)
}

/// First routers leave the engine alone, then it gets its order. One without an answer may have been
/// taken: the list will show it.
async fn order(
    hall: std::sync::Arc<crate::hall::Hall>,
    client: reqwest::Client,
    engine: wire::msg::Engine,
    prefill: bool,
    wait_ms: u64,
) {
    let begun = kernel::clock::now();
    let until = begun + SPREAD_MS + wait_ms + 1200;
    hall.roster.lock().expect("roster").resting.push((engine.id.clone(), until));
    tokio::time::sleep(std::time::Duration::from_millis(SPREAD_MS)).await;
    let now = kernel::clock::now();
    // Asleep for longer than meant, or no longer the holder: no order.
    let Some(epoch) = crate::duty::leave(&hall, crate::duty::BALANCE, now).filter(|_| now < begun + 2 * SPREAD_MS)
    else {
        return;
    };
    let phase = if prefill { "prefill" } else { "decode" };
    let body = serde_json::json!({
        "opcode": "phase", "phase": phase, "owner": hall.env.node_name, "fence_token": epoch
    });
    let call = client
        .post(format!("http://{}/order", engine.addr))
        .header(wire::word::TARGET, &engine.id)
        .header("content-type", "application/json")
        .body(body.to_string());
    let status = call.send().await.map_or(0, |reply| reply.status().as_u16());
    kernel::say!(crate::event::ORDER, "engine" => engine.id, "phase" => phase, "epoch" => epoch, "status" => status);
}
