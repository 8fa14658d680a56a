//! Following a home keeper: own zone first, the next one when it falls silent or is no longer sure.

/// How often the lease is renewed and what is lacking asked for.
const BEAT_MS: u64 = 400;
/// A home that was not sure for so long is left.
const UNSURE_MS: u64 = 1200;

/// How long news of engines that are about to change their part holds.
const REST_MS: u64 = 1500;

/// How long a keeper that fell silent, or was not sure, is passed over while there is another.
const SHUN_LOST_MS: u64 = 5000;
const SHUN_UNSURE_MS: u64 = 2500;

/// How long the first answer of a home may take: the whole configuration comes before it, and after a fall of
/// everything all routers ask for it at once. Who goes to another asks for it again there: each that is left
/// is followed by one that gets more time.
const FIRST_MS: u64 = 1500;
const FIRST_MOST_MS: u64 = 6000;

/// The time for the next home's first answer. Only one that was reached and waited for shows that the link
/// is slow: a dial that failed, or a home that had answered before, does not.
pub fn patience(held: u64, left: Left) -> u64 {
    match left {
        Left::Slow => (held * 2).min(FIRST_MOST_MS),
        Left::Unreached => held,
        Left::Better | Left::Unsure | Left::Silent => FIRST_MS,
    }
}

/// For how long a number of routers that was told counts.
const SEATS_MS: u64 = 10_000;

/// Why a home was left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Left {
    /// Another is nearer.
    Better,
    /// It gave no first answer in the time that it had.
    Slow,
    /// No connection came up, or it broke before the first answer.
    Unreached,
    /// It had answered, and does no longer.
    Silent,
    /// It is not confirmed at a majority.
    Unsure,
}

pub async fn run(state: std::sync::Arc<crate::state::State>) {
    let mut seeds = state.env.seed_ips();
    let mut shunned = std::collections::HashMap::new();
    let mut first_ms = FIRST_MS;
    loop {
        let list = homes(&state, &seeds);
        let Some(home) = pick(&list, &shunned, kernel::clock::now()) else {
            tokio::time::sleep(std::time::Duration::from_millis(BEAT_MS)).await;
            continue;
        };
        let left = stay(&state, &home, &list, first_ms).await;
        first_ms = patience(first_ms, left);
        let now = kernel::clock::now();
        match left {
            Left::Better => {}
            Left::Slow | Left::Unreached | Left::Silent => drop(shunned.insert(home.clone(), now + SHUN_LOST_MS)),
            Left::Unsure => drop(shunned.insert(home.clone(), now + SHUN_UNSURE_MS)),
        }
        if let Ok(env) = kernel::env::load(&kernel::env::path()) {
            seeds = env.seed_ips();
        }
        kernel::say!(crate::event::HOME, "left" => home);
        tokio::time::sleep(std::time::Duration::from_millis(30)).await;
    }
}

/// The first that is not passed over; when all are, the one that was left first.
pub fn pick(list: &[String], shunned: &std::collections::HashMap<String, u64>, now: u64) -> Option<String> {
    let until = |ip: &String| shunned.get(ip).copied().filter(|until| *until > now).unwrap_or(0);
    list.iter().min_by_key(|ip| until(ip)).cloned()
}

/// Keepers in the order in which they are tried.
fn homes(state: &crate::state::State, seeds: &[String]) -> Vec<String> {
    let mut list = state.news.lock().expect("news").keepers.clone();
    if list.is_empty() {
        // The own machine may run one: the cheapest to reach.
        let mut first: Vec<String> = seeds.to_vec();
        first.sort_by_key(|ip| *ip != state.env.ip);
        list = first;
    }
    for seed in seeds {
        if !list.contains(seed) {
            list.push(seed.clone());
        }
    }
    list
}

/// Until this home is to be left.
async fn stay(state: &std::sync::Arc<crate::state::State>, home: &str, list: &[String], first_ms: u64) -> Left {
    let addr = format!("{home}:{}", state.env.peer_port());
    let (send, mut casts) = tokio::sync::mpsc::channel(256);
    let caller = std::sync::Arc::new(wire::link::Caller::start(addr, Some(send)));
    *state.home.lock().expect("home") = Some(caller.clone());
    let mut sure_at = kernel::clock::now();
    let mut misses = 0;
    let mut settled = false;
    loop {
        let sent = kernel::clock::now();
        let msg = wire::msg::Msg::Follow(Box::new(standing(state)));
        let call = caller.call(msg, if settled { 700 } else { first_ms });
        tokio::pin!(call);
        let reply = loop {
            tokio::select! {
                reply = &mut call => break reply,
                Some(cast) = casts.recv() => take(state, cast),
            }
        };
        // What was sent before the answer comes first.
        while let Ok(cast) = casts.try_recv() {
            take(state, cast);
        }
        let now = kernel::clock::now();
        match reply {
            Some(wire::msg::Msg::News(news)) => {
                misses = 0;
                if news.sure {
                    sure_at = now;
                    state.floors.lock().expect("floors").renew(sent);
                }
                let better = news.peers.first().is_some_and(|first| first != home && list.first() != Some(first));
                let sure = news.sure;
                absorb(state, *news);
                ready(state, sure);
                if !settled && better {
                    return Left::Better;
                }
                settled = true;
            }
            _ => misses += 1,
        }
        if misses == 1 && !settled {
            return if now < sent + first_ms { Left::Unreached } else { Left::Slow };
        }
        if misses >= 2 {
            return Left::Silent;
        }
        if now > sure_at + UNSURE_MS {
            return Left::Unsure;
        }
        let ready = state.ready.load(std::sync::atomic::Ordering::Relaxed);
        let beat = if ready { BEAT_MS } else { BEAT_MS / 4 };
        let end = tokio::time::Instant::now() + std::time::Duration::from_millis(beat);
        while let Ok(Some(cast)) = tokio::time::timeout_at(end, casts.recv()).await {
            let rule = matches!(cast, wire::msg::Msg::Rule(_));
            take(state, cast);
            if rule {
                // Confirmed at once: somebody waits for it.
                break;
            }
        }
    }
}

fn take(state: &std::sync::Arc<crate::state::State>, msg: wire::msg::Msg) {
    match msg {
        wire::msg::Msg::News(news) => absorb(state, *news),
        wire::msg::Msg::Change(body) => crate::config::change(state, &body),
        wire::msg::Msg::Rule(rule) => crate::fresh::rule(state, &rule),
        wire::msg::Msg::Versions(list) => crate::fresh::versions(state, &list),
        wire::msg::Msg::Doubt(doubt) => crate::doubt::hear(state, &doubt.0),
        _ => {}
    }
}

fn standing(state: &crate::state::State) -> wire::msg::Follow {
    let (mut sheets, busy): (Vec<_>, Vec<_>) = {
        let park = state.park.lock().expect("park");
        let busy = park.list.iter().filter(|engine| engine.busy > 0).map(|engine| (engine.id.clone(), engine.busy));
        (park.versions(), busy.collect())
    };
    let (rules, weights) = crate::fresh::known_versions(state);
    sheets.extend(weights);
    sheets.push(wire::msg::told());
    let news = state.news.lock().expect("news");
    wire::msg::Follow {
        node: state.env.node_name.clone(),
        zone: state.env.zone.clone(),
        life: state.life,
        config: news.config,
        closed: news.closed.iter().map(|(zone, (version, _))| (zone.clone(), *version)).chain(rules).collect(),
        sheets,
        busy,
        door: state.env.bind_addresses.frontend.clone().filter(|_| !state.leaving()).unwrap_or_default(),
    }
}

/// Ready once configuration and list are confirmed current; from then on until it leaves.
fn ready(state: &crate::state::State, sure: bool) {
    let order = std::sync::atomic::Ordering::Relaxed;
    if state.ready.load(order) || !sure {
        return;
    }
    let known = state.park.lock().expect("park").versions().len();
    if state.news.lock().expect("news").config > 0 && known >= state.env.zones.len() {
        state.ready.store(true, order);
        kernel::say!(crate::event::READY);
    }
}

/// Takes what is newer; versions never go back.
fn absorb(state: &std::sync::Arc<crate::state::State>, news: wire::msg::News) {
    let now = kernel::clock::now();
    if let Some((version, text)) = &news.config {
        crate::config::config(state, *version, text);
    }
    let mut left = Vec::new();
    {
        let mut park = state.park.lock().expect("park");
        for sheet in &news.sheets {
            left.extend(park.take(sheet, now));
        }
        park.rest(&news.resting, now + REST_MS);
    }
    if !left.is_empty() {
        let mut record = state.record.lock().expect("record");
        left.iter().for_each(|engine| record.forget(engine));
    }
    crate::evacuation::absorb(state, &news.closed);
    {
        let mut held = state.news.lock().expect("news");
        if !news.peers.is_empty() {
            held.keepers = news.peers;
        }
        if news.seats > 0 {
            held.seats.retain(|(time, _)| now < time + SEATS_MS);
            held.seats.push((now, news.seats));
        }
    }
    let seats = state.router_count();
    state.park.lock().expect("park").sit(state.mark(), state.zone, seats);
    if state.lookup.hold(news.catalog.0, &news.catalog.1, state.env.peer_port()) {
        kernel::say!(crate::event::CATALOG, "epoch" => news.catalog.0, "holder" => news.catalog.1.clone());
        tokio::spawn(crate::config::again(state.clone()));
    }
}

#[cfg(test)]
#[path = "follow_tests.rs"]
mod tests;
