//! What a router tells controllers of itself, and what it takes in from them. All of it is monotone: whichever
//! controller sends what, in whatever order, the newest counts.

/// How long news of engines that are about to change their part holds.
const REST_MS: u64 = 1500;
/// For how long a number of routers that was told counts.
const SEATS_MS: u64 = 10_000;

/// A message that a controller pushed.
pub fn take(state: &std::sync::Arc<crate::state::State>, msg: protocol::msg::Msg) {
    match msg {
        protocol::msg::Msg::News(news) => absorb(state, *news),
        protocol::msg::Msg::Change(body) | protocol::msg::Msg::Update(body) => crate::config::change(state, &body),
        protocol::msg::Msg::Holders(list) => state.quota_gate.set_holders(&list),
        protocol::msg::Msg::VersionRollout(rollout) => crate::version_rollouts::take(state, *rollout),
        protocol::msg::Msg::Rule(rule) => crate::fresh::rule(state, &rule),
        protocol::msg::Msg::Versions(list) => crate::fresh::versions(state, &list),
        protocol::msg::Msg::Doubt(doubt) => crate::doubt::hear(state, &doubt.0),
        _ => {}
    }
}

/// What this router holds. Its requests under way are told to its home alone, where they are added up.
pub fn standing(state: &crate::state::State, at_home: bool) -> protocol::msg::Follow {
    let (mut sheets, busy): (Vec<_>, Vec<_>) = {
        let engine_table = state.engine_table.lock().expect("engine_table");
        let busy = engine_table
            .list
            .iter()
            .filter(|engine| at_home && engine.busy > 0)
            .map(|engine| (engine.id.clone(), engine.busy));
        (engine_table.versions(), busy.collect())
    };
    let (rules, weights) = crate::fresh::known_versions(state);
    sheets.extend(weights);
    let rollouts = crate::version_rollouts::told(state);
    sheets.push(protocol::msg::told());
    sheets.push(protocol::quota::told_holders(state.quota_gate.mark()));
    let news = state.news.lock().expect("news");
    protocol::msg::Follow {
        node: state.env.node_name.clone(),
        zone: state.env.zone.clone(),
        life: state.life,
        config: news.config,
        closed: news
            .closed
            .iter()
            .map(|(zone, (version, _))| (zone.clone(), *version))
            .chain(rules)
            .chain(rollouts)
            .collect(),
        sheets,
        busy,
        door: state.env.bind_addresses.frontend.clone().filter(|_| !state.is_leaving()).unwrap_or_default(),
    }
}

/// Ready once the configuration is proved to be current and the lists are known; from then on until it leaves.
pub fn ready(state: &crate::state::State) -> bool {
    let order = std::sync::atomic::Ordering::Relaxed;
    if state.ready.load(order) {
        return true;
    }
    let known = state.engine_table.lock().expect("engine_table").zones_listed();
    let held = state.news.lock().expect("news").config > 0 && known >= state.env.zones.len();
    if !held || !state.currency.is_proved(kernel::clock::now()) {
        return false;
    }
    state.ready.store(true, order);
    kernel::say!(crate::event::READY);
    true
}

/// Takes what is newer; versions never go back.
pub fn absorb(state: &std::sync::Arc<crate::state::State>, news: protocol::msg::News) {
    let now = kernel::clock::now();
    if let Some((version, text)) = &news.config {
        crate::config::config(state, *version, text);
    }
    let mut left = Vec::new();
    {
        let mut engine_table = state.engine_table.lock().expect("engine_table");
        for sheet in &news.sheets {
            left.extend(engine_table.take(sheet, now));
        }
        engine_table.rest(&news.resting, now + REST_MS);
    }
    if !left.is_empty() {
        let mut record = state.record.lock().expect("record");
        left.iter().for_each(|engine| record.forget(engine));
    }
    crate::evacuation::absorb(state, &news.closed);
    {
        let mut held = state.news.lock().expect("news");
        if !news.peers.is_empty() {
            held.controllers = news.peers;
        }
        if news.seats > 0 {
            held.seats.retain(|(time, _)| now < time + SEATS_MS);
            held.seats.push((now, news.seats));
        }
    }
    let seats = state.router_count();
    state.engine_table.lock().expect("engine_table").sit(state.mark(), state.zone, seats);
    if state.lookup.hold(news.catalog.0, &news.catalog.1, state.env.peer_port()) {
        kernel::say!(crate::event::CATALOG, "epoch" => news.catalog.0, "holder" => news.catalog.1.clone());
        tokio::spawn(crate::config::again(state.clone()));
    }
}
