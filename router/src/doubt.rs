//! Doubt about an engine that gives no sign of life: settled by asking it, never by a client's
//! request. `GET /report` takes no slot; a slow engine answers it, a dark one does not.

/// How long a request may go without a sign of life from its engine before that is asked.
pub const SIGN_MS: u64 = 150;
/// How long the answer to a probe may take, and the pause to the next one where few ask.
const WAIT_MS: u64 = 250;
const PAUSE_MS: u64 = 300;
/// Of many routers that doubt an engine only about so many ask in each pause: the rest are told when it
/// answers one of them, and ask once more for themselves.
const ASKERS: u64 = 8;
const PAUSE_MOST_MS: u64 = 3000;
/// How the name of an engine that answered again is told, beside the names of those in doubt. Peers of the
/// first version know no engine of such a name.
const CALM: &str = "\0calm/";

/// The pause to the next probe; the second comes soon, so that a false alarm is short.
pub fn pause(strikes: u32, seats: u32, roll: u64) -> u64 {
    if strikes < 2 {
        return PAUSE_MS;
    }
    let mean = (PAUSE_MS * u64::from(seats) / ASKERS).clamp(PAUSE_MS, PAUSE_MOST_MS);
    mean * 3 / 4 + roll % (mean / 2)
}

/// Word of an engine from a keeper: in doubt, or answering again.
pub fn hear(state: &std::sync::Arc<crate::state::State>, name: &str) {
    let calm = name.strip_prefix(CALM);
    let at = {
        let mut park = state.park.lock().expect("park");
        let at = park.find(calm.unwrap_or(name));
        if let (Some(at), true) = (at, calm.is_some()) {
            park.list[at].calm = true;
        }
        at
    };
    match (at, calm) {
        (Some(at), None) => raise(state, at, false),
        (Some(_), Some(_)) => state.calm.notify_waiters(),
        _ => {}
    }
}

/// Until the next probe is due (false), or another router got an answer (true).
async fn rest(state: &crate::state::State, at: usize, wait_ms: u64) -> bool {
    let end = tokio::time::Instant::now() + std::time::Duration::from_millis(wait_ms);
    loop {
        let woken = state.calm.notified();
        if std::mem::take(&mut state.park.lock().expect("park").list[at].calm) {
            return true;
        }
        if tokio::time::timeout_at(end, woken).await.is_err() {
            return false;
        }
    }
}

fn tell(state: &crate::state::State, name: String) {
    let home = state.home.lock().expect("home").clone();
    if let Some(home) = home {
        home.cast(wire::msg::Msg::Doubt(Box::new((name, false))));
    }
}
/// An engine that gave no answer for so long was not only slow.
const DARK_MS: u64 = 1000;
/// While in doubt an engine is left alone; a probe that is answered ends it.
const SHY_MS: u64 = 20_000;

/// Asks an engine until it answers or is gone. One asker an engine at a time.
pub fn raise(state: &std::sync::Arc<crate::state::State>, at: usize, tell: bool) {
    {
        let mut park = state.park.lock().expect("park");
        let Some(engine) = park.list.get_mut(at).filter(|engine| engine.here && !engine.asked) else { return };
        engine.asked = true;
    }
    tokio::spawn(ask(state.clone(), at, tell));
}

async fn ask(state: std::sync::Arc<crate::state::State>, at: usize, mut first: bool) {
    let begun = kernel::clock::now();
    let (mut asked, mut told) = (0u32, false);
    loop {
        let (addr, id) = {
            let park = state.park.lock().expect("park");
            (park.list[at].addr.clone(), park.list[at].id.clone())
        };
        let answer = probe(&addr).await;
        let now = kernel::clock::now();
        {
            let mut park = state.park.lock().expect("park");
            let engine = &mut park.list[at];
            match answer {
                Some(name) if name.as_ref().is_none_or(|name| *name == id) => {
                    engine.good(now);
                    if now > begun + DARK_MS {
                        // It may have been started anew meanwhile.
                        engine.presume_cold(now + crate::evacuation::presumed_cold_ms(&state));
                    }
                }
                Some(_) => engine.over(),
                None => engine.strike(now, SHY_MS),
            }
            if answer_ends(engine, now) {
                engine.asked = false;
                // Whoever was told need not tell.
                let back = engine.here && asked > 0 && !told;
                drop(park);
                if back {
                    tell(&state, format!("{CALM}{id}"));
                }
                return;
            }
            engine.calm = false;
            kernel::say!(crate::event::STRIKE, "engine" => id.clone(), "strikes" => engine.strikes);
        }
        state.pools.forget(&addr);
        if std::mem::take(&mut first) {
            tell(&state, id.clone());
        }
        asked += 1;
        let roll = state.dice.lock().expect("dice").roll();
        told = rest(&state, at, pause(asked, state.router_count(), roll)).await;
    }
}

fn answer_ends(engine: &engines::park::Stall, now: u64) -> bool {
    !engine.here || engine.shy_until <= now
}

/// Some: it answered, with its id where it gave one.
async fn probe(addr: &str) -> Option<Option<String>> {
    let wait = std::time::Duration::from_millis(WAIT_MS);
    tokio::time::timeout(wait, report(addr)).await.ok()?
}

async fn report(addr: &str) -> Option<Option<String>> {
    let stream = wire::sock::dial(addr, WAIT_MS, wire::sock::SILENCE_MS).await.ok()?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (mut link, conn) = hyper::client::conn::http1::handshake(io).await.ok()?;
    tokio::spawn(async move {
        let _ = conn.await;
    });
    let mut request = http::Request::new(http_body_util::Empty::<bytes::Bytes>::new());
    *request.uri_mut() = http::Uri::from_static("/report");
    request.headers_mut().insert(http::header::HOST, http::HeaderValue::from_str(addr).ok()?);
    request.headers_mut().insert(http::header::CONNECTION, http::HeaderValue::from_static("close"));
    let reply = link.send_request(request).await.ok()?;
    let name = reply.headers().get(wire::word::INSTANCE).and_then(|value| value.to_str().ok());
    Some(name.map(str::to_string))
}

#[cfg(test)]
#[path = "doubt_tests.rs"]
mod tests;
