//! The ordinary path of the design: look up, have the prompt read, register, flush, and only then
//! send to the engine that makes the tokens.

use kernel::clock;
use protocol::headers::RESPONSE_SEAL;
use protocol::message::Record;
use serde_json::Value;

use crate::frontend::error_response::Failure;
use crate::kv::handle::Handle;
use crate::proxy::exchange::Exchange;
use crate::proxy::forward;
use crate::proxy::plan::{self, Plan};
use crate::proxy::send::{self, EngineResponse, SendOptions, SendOutcome};

/// Time kept between the end of a handle's life and its last use.
const MARGIN_MS: u64 = 400;
/// How long the engine that came up short is not named for this key again.
const HUSH_MS: u64 = 2000;

/// What a read came to.
enum Reading {
    /// Its memory is held for this request.
    Held,
    /// The engine answered the request itself.
    Answer(usize, EngineResponse),
}

/// A read takes up none of the counted sends unless it is turned away, or a read went before it.
async fn read(exchange: &mut Exchange) -> Result<Reading, ()> {
    let held = exchange.prefix_owners.clone();
    for _ in 0..3 {
        let plan = exchange.view(|view| plan::read(view, &exchange.request, &held));
        let Plan::Read { at, reads } = plan else { return Err(()) };
        exchange.state.engines().record_prefill(exchange.service, reads);
        let extra = SendOptions { stage: true, urgency: Some(rush(exchange, reads)), ..Default::default() };
        match exchange.send(at, extra, reads, true).await {
            SendOutcome::Response(answer) => return taken(exchange, at, *answer).await,
            SendOutcome::Unsent(_) => exchange.attempted_engines.push(at),
            SendOutcome::NotExecuted | SendOutcome::OtherEngine | SendOutcome::OtherVersion(_) => {
                exchange.attempted_engines.push(at);
                exchange.sends += 1;
                // The last counted send is kept for the half that makes the tokens.
                if exchange.sends + 1 >= exchange.max_sends || !exchange.grant_send() {
                    return Err(());
                }
            }
            SendOutcome::Lost => return Err(()),
        }
    }
    Err(())
}

async fn taken(exchange: &mut Exchange, at: usize, answer: EngineResponse) -> Result<Reading, ()> {
    if answer.head.headers.contains_key(RESPONSE_SEAL) {
        // An engine that knows no halves has run it: this is the answer, and nothing more is sent.
        (exchange.sends, exchange.reached_engine, exchange.may_have_run) = (exchange.sends + 1, true, true);
        return Ok(Reading::Answer(at, answer));
    }
    let reader = exchange.endpoint(at);
    let good = answer.head.status == 200;
    let wait = exchange.remaining_ms().min(1000);
    let got = clock::now();
    let text = send::read_body(&exchange.state, &reader, answer, 16 * 1024, wait).await;
    exchange.end_send(at);
    let value: Value = text.and_then(|text| serde_json::from_slice(&text).ok()).unwrap_or_default();
    let id = value["kv_handle"].as_str().filter(|_| good).unwrap_or("").to_string();
    let sound = !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if !sound {
        // It may have been turned away: counted.
        exchange.reached_engine = true;
        return Err(());
    }
    if exchange.version_bounds().is_some() {
        // Reader and maker of bound work agree: what was read with other weights is of no use to it.
        let version = value["revision"].as_u64();
        exchange.record_version(at, version);
        exchange.pinned_version = version.or(exchange.pinned_version);
    }
    let until = got + exchange.service_config.hold_ms.saturating_sub(MARGIN_MS);
    exchange.hold_handle(Handle { at, reader, id, until });
    Ok(Reading::Held)
}

/// How urgent a read is: a short one goes before long ones, which it hardly delays, while behind them
/// it would miss its aim; among alike the operator's rank decides.
fn rush(exchange: &Exchange, reads: u32) -> u32 {
    if exchange.request.spare.is_some() {
        return 9;
    }
    let size = match reads {
        0..1024 => 0,
        1024..4096 => 2,
        _ => 4,
    };
    (1 + size + exchange.priority.min(1)).min(8)
}

/// Notes an owner here and tells the catalog; gives the number of registrations sent.
fn register(exchange: &Exchange, at: usize) -> u32 {
    let now = clock::now();
    let (id, told) = {
        let engine_table = exchange.state.engines();
        (engine_table.engines[at].id.clone(), engine_table.engines[at].fresh_load(now))
    };
    let mut list = Vec::with_capacity(exchange.request.keys.len());
    {
        let mut record = exchange.state.owner_cache();
        for key in &exchange.request.keys {
            record.record(*key, &id, now);
            list.push(Record { key: *key, engine: id.clone() });
        }
    }
    let count = list.len() as u32;
    exchange.state.prefix_catalog.register(list, told.into_iter().collect());
    count
}

/// Reads the prompt and hands it over; gives the engine that answers and its answer.
pub async fn carry(exchange: &mut Exchange) -> Result<(usize, EngineResponse), Failure> {
    exchange.prefix_owners = plan::owners(&exchange.state, &exchange.request, exchange.service).await;
    let mut reader = None;
    let reading = read(exchange).await;
    if let Ok(Reading::Answer(at, answer)) = reading {
        return Ok((at, answer));
    }
    if reading.is_ok() {
        reader = exchange.handle_engine();
        if let Some(at) = reader {
            let sent = register(exchange, at);
            let drops = exchange.state.prefix_catalog.flush(sent).await;
            // A drop only means that others will not find this memory: the hand-over goes on.
            exchange.state.owner_cache().counts.dropped += u64::from(drops);
        }
    }
    make(exchange, reader).await
}

/// The engine that is to make the tokens, and the memory that it goes on with.
fn choose_maker(exchange: &mut Exchange, reader: Option<usize>) -> Option<(usize, Option<Handle>)> {
    let (tokens, rank) = (exchange.request.tokens(), plan::rank(&exchange.request));
    let owners = exchange.prefix_owners.clone();
    loop {
        exchange.drop_stale_handle();
        let Some(handle) = exchange.take_handle() else {
            let selected = exchange.view(|view| view.select_combined(tokens, &owners, rank))?;
            return Some((selected.engine, None));
        };
        if let Some(at) = exchange.view(|view| view.select_decode(tokens, &owners, reader, rank)) {
            return Some((at, Some(handle)));
        }
        exchange.hold_handle(handle);
        exchange.version_bounds()?;
        // No maker has the version that read it: one inside the limit reads it itself.
        exchange.release_handle();
    }
}

/// Sends to the engine that makes the tokens, with the memory where there is one.
async fn make(exchange: &mut Exchange, reader: Option<usize>) -> Result<(usize, EngineResponse), Failure> {
    loop {
        let Some((at, handle)) = choose_maker(exchange, reader) else {
            return Err(forward::failure_of(exchange));
        };
        if !exchange.grant_send() {
            handle.into_iter().for_each(|handle| exchange.hold_handle(handle));
            return Err(forward::failure_of(exchange));
        }
        let reads = if handle.is_some() { 0 } else { exchange.request.tokens() };
        let source = handle.as_ref().map(|handle| format!("{}/{}", handle.reader.addr, handle.id));
        let extra = SendOptions { source, urgency: exchange.urgency(), ..Default::default() };
        exchange.sends += 1;
        let again = exchange.may_retry();
        let outcome = exchange.send(at, extra, reads, again).await;
        if let SendOutcome::Response(answer) = outcome {
            exchange.prompt_read(at);
            if answer.head.status.is_success() {
                register(exchange, at);
            }
            return Ok((at, *answer));
        }
        exchange.attempted_engines.push(at);
        let held = handle.is_some();
        handle.into_iter().for_each(|handle| exchange.hold_handle(handle));
        match outcome {
            SendOutcome::Unsent(_) => exchange.sends -= 1,
            SendOutcome::Lost => {
                exchange.may_have_run = true;
                // Where it was not taken nobody else may name it: this maker may yet come for it.
                exchange.release_handle();
                if !exchange.is_repeatable {
                    return Err(forward::failure_of(exchange));
                }
            }
            _ if held && !is_full(exchange, at) => give_up_handle(exchange),
            _ => {}
        }
    }
}

fn is_full(exchange: &Exchange, at: usize) -> bool {
    let engine_table = exchange.state.engines();
    engine_table.estimated_load(at, clock::now()) >= f64::from(engine_table.engines[at].slots)
}

/// The memory can't be had: its engine is suppressed for these keys, not for the request.
fn give_up_handle(exchange: &mut Exchange) {
    if let Some(reader) = exchange.handle_engine() {
        let now = clock::now();
        let id = exchange.endpoint(reader).engine;
        let mut record = exchange.state.owner_cache();
        record.counts.transfer_error += 1;
        for key in &exchange.request.keys {
            record.suppress(&id, *key, now + HUSH_MS);
        }
    }
    exchange.release_handle();
}
