//! Doubt about an engine that gives no sign of life: settled by asking it, never by a client's
//! request. `GET /report` takes no slot; a slow engine answers it, a dark one does not.
//!
//! One engine that goes dark must not be asked by every router: one that doubts it tells, some others are drawn to
//! ask it too, and the rest take their word, both for its silence and for its first answer.

use std::mem;
use std::sync::Arc;
use std::time::Duration;

use kernel::clock;
use load_balancing::EngineState;
use protocol::message::Message;
use tokio::time::{self, Instant};

use crate::config::evacuation;
use crate::event::STRIKE;
use crate::state::State;
use crate::upstream::probe::probe;
use crate::upstream::probe_rate::{is_drawn, pause, told_pause, SHY_MS, SPREAD_MS};
use crate::upstream::suspicion_report::Word;

/// How long a request may go without a sign of life from its engine before that is asked.
pub const LIVENESS_TIMEOUT_MS: u64 = 150;
/// How often a router tells of its own doubt while it gets no answer.
const TELLINGS: u32 = 3;
/// An engine that gave no answer for so long was not only slow.
const DARK_MS: u64 = 1000;

/// Why an engine is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// A request of this router got no sign of life.
    Seen,
    /// Another router's doubt, and this one was drawn to ask.
    Drawn,
    /// It is told to be dark.
    Told,
}

fn roll(state: &State) -> u64 {
    state.rng.lock().next_u64()
}

/// Word of an engine from a controller.
pub fn hear(state: &Arc<State>, name: &str) {
    let word = Word::read(name);
    let Some(at) = state.engine_table.lock().find(word.engine()) else { return };
    match word {
        Word::Answered(_) => {
            state.engine_table.lock().engines[at].answered_elsewhere = true;
            state.suspicion_cleared.notify_waiters();
        }
        Word::Dark(_) => {
            let now = clock::now();
            {
                let mut engine_table = state.engine_table.lock();
                let engine = &mut engine_table.engines[at];
                // Nothing new is sent there; answers under way are no worse for what others saw.
                engine.suspected_until = engine.suspected_until.max(now + SHY_MS);
            }
            start(state, at, Cause::Told);
        }
        Word::Doubted(_) => {
            if is_drawn(state.router_count(), roll(state)) {
                start(state, at, Cause::Drawn);
            }
        }
    }
}

/// Until the next probe is due (false), or another router got an answer (true).
async fn rest(state: &State, at: usize, wait_ms: u64) -> bool {
    let end = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let woken = state.suspicion_cleared.notified();
        if mem::take(&mut state.engine_table.lock().engines[at].answered_elsewhere) {
            return true;
        }
        if time::timeout_at(end, woken).await.is_err() {
            return false;
        }
    }
}

/// As `rest`, until a request of this router gets no sign of life either: then it asks for itself.
async fn rest_on_word(state: &State, at: usize, wait_ms: u64) -> bool {
    let end = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let woken = state.suspicion_cleared.notified();
        {
            let mut engine_table = state.engine_table.lock();
            let engine = &mut engine_table.engines[at];
            if mem::take(&mut engine.answered_elsewhere) {
                return true;
            }
            if mem::take(&mut engine.is_unresponsive) {
                return false;
            }
        }
        if time::timeout_at(end, woken).await.is_err() {
            return false;
        }
    }
}

fn tell(state: &State, word: Word) {
    let home = state.home_controller.lock().clone();
    if let Some(home) = home {
        home.notify(Message::SuspectEngine(Box::new((word.write(), false))));
    }
}

/// A request got no sign of life from an engine: it is asked until it answers or is gone.
pub fn raise(state: &Arc<State>, at: usize) {
    if let Some(engine) = state.engine_table.lock().engines.get_mut(at) {
        engine.is_unresponsive = true;
    }
    state.suspicion_cleared.notify_waiters();
    start(state, at, Cause::Seen);
}

/// One asker an engine at a time.
fn start(state: &Arc<State>, at: usize, cause: Cause) {
    {
        let mut engine_table = state.engine_table.lock();
        let Some(engine) = engine_table.engines.get_mut(at).filter(|engine| engine.listed && !engine.is_probing) else {
            return;
        };
        engine.is_probing = true;
        engine.answered_elsewhere = false;
        engine.is_unresponsive = false;
    }
    tokio::spawn(ask(state.clone(), at, cause));
}

/// What came of one probe.
enum Found {
    /// Nothing more is to be asked.
    Ended,
    /// No answer; whether the engine was known to be dark before.
    Silent { known: bool },
}

async fn ask(state: Arc<State>, at: usize, cause: Cause) {
    let begun = clock::now();
    let roll_of = || roll(&state);
    if cause == Cause::Drawn {
        time::sleep(Duration::from_millis(roll_of() % SPREAD_MS)).await;
    }
    if cause == Cause::Told && rest_on_word(&state, at, told_pause(state.router_count(), roll_of())).await {
        return trust(&state, at, begun);
    }
    let (mut unanswered, mut woken) = (0u32, false);
    loop {
        let (addr, id) = {
            let engine_table = state.engine_table.lock();
            (engine_table.engines[at].address.clone(), engine_table.engines[at].id.clone())
        };
        let answer = probe(&addr).await;
        let known = match judge(&state, at, &id, answer, begun) {
            Found::Ended => {
                // Whoever was told need not tell.
                let is_here = state.engine_table.lock().engines[at].listed;
                if is_here && !woken && (unanswered > 0 || cause == Cause::Told) {
                    tell(&state, Word::Answered(&id));
                }
                return;
            }
            Found::Silent { known } => known,
        };
        state.connection_pools.forget(&addr);
        match cause {
            Cause::Seen if unanswered < TELLINGS => tell(&state, Word::Doubted(&id)),
            Cause::Drawn if unanswered == 0 && !known => tell(&state, Word::Dark(&id)),
            _ => {}
        }
        unanswered += 1;
        woken = rest(&state, at, pause(unanswered, state.router_count(), roll_of())).await;
    }
}

/// Takes the answer of an engine, or its silence, for what it says.
fn judge(state: &State, at: usize, id: &str, answer: Option<Option<String>>, begun: u64) -> Found {
    let now = clock::now();
    let mut engine_table = state.engine_table.lock();
    let engine = &mut engine_table.engines[at];
    let known = engine.suspected_until > now;
    match answer {
        Some(name) if name.as_ref().is_none_or(|name| name == id) => answered(state, engine, now, begun),
        Some(_) => engine.retire(),
        None => engine.record_failure(now, SHY_MS),
    }
    if answer_ends(engine, now) {
        engine.is_probing = false;
        return Found::Ended;
    }
    engine.answered_elsewhere = false;
    kernel::log_event!(STRIKE, "engine" => id, "strikes" => engine.consecutive_failures);
    Found::Silent { known }
}

fn answered(state: &State, engine: &mut EngineState, now: u64, begun: u64) {
    engine.record_response(now);
    if now > begun + DARK_MS {
        // It may have been started anew meanwhile.
        engine.presume_cold(now + evacuation::presumed_cold_ms(state));
    }
}

/// Another router got an answer, and this one has no reason of its own to doubt it.
fn trust(state: &State, at: usize, begun: u64) {
    let mut engine_table = state.engine_table.lock();
    let engine = &mut engine_table.engines[at];
    engine.is_probing = false;
    answered(state, engine, clock::now(), begun);
}

fn answer_ends(engine: &EngineState, now: u64) -> bool {
    !engine.listed || engine.suspected_until <= now
}

#[cfg(test)]
#[path = "suspicion_tests.rs"]
mod tests;
