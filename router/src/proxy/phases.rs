//! The ordinary path of the design: look up, have the prompt read, register, flush, and only then
//! send to the engine that makes the tokens.

use kernel::clock;
use protocol::headers::RESPONSE_SEAL;
use protocol::message::Record;
use serde_json::Value;

use crate::frontend::error_response::Failure;
use crate::kv::kv_handle::KvHandle;
use crate::proxy::exchange::Exchange;
use crate::proxy::forward;
use crate::proxy::plan::{self, Plan};
use crate::proxy::send::{self, EngineResponse, SendOptions, SendOutcome};

/// Time kept between the end of a handle's life and its last use.
const HANDLE_EXPIRY_MARGIN_MS: u64 = 400;
/// How long the engine that came up short is not named for this key again.
const SUPPRESSION_MS: u64 = 2000;

/// What a read came to.
enum PrefillOutcome {
    /// Its memory is held for this request.
    HandleHeld,
    /// The engine answered the request itself.
    Response(usize, EngineResponse),
}

/// A read takes up none of the counted sends unless it is turned away, or a read went before it.
async fn prefill(exchange: &mut Exchange) -> Result<PrefillOutcome, ()> {
    let owners = exchange.prefix_owners.clone();
    for _ in 0..3 {
        let plan = exchange.with_selection(|selection| plan::plan_prefill(selection, &exchange.request, &owners));
        let Plan::Prefill { engine_index, tokens } = plan else { return Err(()) };
        exchange.state.engines().record_prefill(exchange.service, tokens);
        let options =
            SendOptions { is_prefill: true, urgency: Some(prefill_urgency(exchange, tokens)), ..Default::default() };
        match exchange.send(engine_index, options, tokens, true).await {
            SendOutcome::Response(response) => return accept_prefill_response(exchange, engine_index, *response).await,
            SendOutcome::Unsent(_) => exchange.attempted_engines.push(engine_index),
            SendOutcome::NotExecuted | SendOutcome::OtherEngine | SendOutcome::OtherVersion(_) => {
                exchange.attempted_engines.push(engine_index);
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

async fn accept_prefill_response(
    exchange: &mut Exchange,
    engine_index: usize,
    response: EngineResponse,
) -> Result<PrefillOutcome, ()> {
    if response.head.headers.contains_key(RESPONSE_SEAL) {
        // An engine that knows no halves has run it: this is the answer, and nothing more is sent.
        (exchange.sends, exchange.reached_engine, exchange.may_have_run) = (exchange.sends + 1, true, true);
        return Ok(PrefillOutcome::Response(engine_index, response));
    }
    let endpoint = exchange.endpoint(engine_index);
    let is_success = response.head.status == 200;
    let timeout_ms = exchange.remaining_ms().min(1000);
    let received_at = clock::now();
    let body = send::read_body(&exchange.state, &endpoint, response, 16 * 1024, timeout_ms).await;
    exchange.end_send(engine_index);
    let value: Value = body.and_then(|body| serde_json::from_slice(&body).ok()).unwrap_or_default();
    let id = value["kv_handle"].as_str().filter(|_| is_success).unwrap_or("").to_string();
    let is_valid = !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if !is_valid {
        // It may have been turned away: counted.
        exchange.reached_engine = true;
        return Err(());
    }
    if exchange.version_bounds().is_some() {
        // Reader and maker of bound work agree: what was read with other weights is of no use to it.
        let version = value["revision"].as_u64();
        exchange.record_version(engine_index, version);
        exchange.pinned_version = version.or(exchange.pinned_version);
    }
    let until = received_at + exchange.service_config.hold_ms.saturating_sub(HANDLE_EXPIRY_MARGIN_MS);
    exchange.hold_kv_handle(KvHandle { engine_index, endpoint, id, expires_at_ms: until });
    Ok(PrefillOutcome::HandleHeld)
}

/// How urgent a read is: a short one goes before long ones, which it hardly delays, while behind them
/// it would miss its aim; among alike the operator's rank decides.
fn prefill_urgency(exchange: &Exchange, prefill_tokens: u32) -> u32 {
    if exchange.request.deferrable_share.is_some() {
        return 9;
    }
    let size = match prefill_tokens {
        0..1024 => 0,
        1024..4096 => 2,
        _ => 4,
    };
    (1 + size + exchange.priority.min(1)).min(8)
}

/// Notes an owner here and tells the catalog; gives the number of registrations sent.
fn register(exchange: &Exchange, engine_index: usize) -> u32 {
    let now = clock::now();
    let (id, load) = {
        let engine_table = exchange.state.engines();
        (engine_table.engines[engine_index].id.clone(), engine_table.engines[engine_index].fresh_load(now))
    };
    let mut records = Vec::with_capacity(exchange.request.prefix_keys.len());
    {
        let mut owner_cache = exchange.state.owner_cache();
        for key in &exchange.request.prefix_keys {
            owner_cache.record(*key, &id, now);
            records.push(Record { key: *key, engine: id.clone() });
        }
    }
    let count = records.len() as u32;
    exchange.state.prefix_catalog.register(records, load.into_iter().collect());
    count
}

/// Reads the prompt and hands it over; gives the engine that answers and its answer.
pub async fn execute(exchange: &mut Exchange) -> Result<(usize, EngineResponse), Failure> {
    exchange.prefix_owners = plan::look_up_owners(&exchange.state, &exchange.request, exchange.service).await;
    let mut prefill_engine = None;
    let outcome = prefill(exchange).await;
    if let Ok(PrefillOutcome::Response(engine_index, response)) = outcome {
        return Ok((engine_index, response));
    }
    if outcome.is_ok() {
        prefill_engine = exchange.kv_handle_engine();
        if let Some(engine_index) = prefill_engine {
            let registration_count = register(exchange, engine_index);
            let dropped_count = exchange.state.prefix_catalog.flush(registration_count).await;
            // A drop only means that others will not find this memory: the hand-over goes on.
            exchange.state.owner_cache().counts.dropped += u64::from(dropped_count);
        }
    }
    decode(exchange, prefill_engine).await
}

/// The engine that is to make the tokens, and the memory that it goes on with.
fn select_decode_engine(exchange: &mut Exchange, prefill_engine: Option<usize>) -> Option<(usize, Option<KvHandle>)> {
    let (tokens, placement_hash) = (exchange.request.prompt_tokens(), plan::placement_hash(&exchange.request));
    let owners = exchange.prefix_owners.clone();
    loop {
        exchange.drop_stale_handle();
        let Some(handle) = exchange.take_kv_handle() else {
            let selected =
                exchange.with_selection(|selection| selection.select_combined(tokens, &owners, placement_hash))?;
            return Some((selected.engine, None));
        };
        if let Some(engine_index) = exchange
            .with_selection(|selection| selection.select_decode(tokens, &owners, prefill_engine, placement_hash))
        {
            return Some((engine_index, Some(handle)));
        }
        exchange.hold_kv_handle(handle);
        exchange.version_bounds()?;
        // No maker has the version that read it: one inside the limit reads it itself.
        exchange.release_kv_handle();
    }
}

/// Sends to the engine that makes the tokens, with the memory where there is one.
async fn decode(exchange: &mut Exchange, prefill_engine: Option<usize>) -> Result<(usize, EngineResponse), Failure> {
    loop {
        let Some((engine_index, handle)) = select_decode_engine(exchange, prefill_engine) else {
            return Err(forward::failure_for(exchange));
        };
        if !exchange.grant_send() {
            handle.into_iter().for_each(|handle| exchange.hold_kv_handle(handle));
            return Err(forward::failure_for(exchange));
        }
        let prefill_tokens = if handle.is_some() { 0 } else { exchange.request.prompt_tokens() };
        let kv_source = handle.as_ref().map(|handle| format!("{}/{}", handle.endpoint.addr, handle.id));
        let options = SendOptions { kv_source, urgency: exchange.urgency(), ..Default::default() };
        exchange.sends += 1;
        let may_move = exchange.may_retry();
        let outcome = exchange.send(engine_index, options, prefill_tokens, may_move).await;
        if let SendOutcome::Response(response) = outcome {
            exchange.complete_prefill(engine_index);
            if response.head.status.is_success() {
                register(exchange, engine_index);
            }
            return Ok((engine_index, *response));
        }
        exchange.attempted_engines.push(engine_index);
        let has_handle = handle.is_some();
        handle.into_iter().for_each(|handle| exchange.hold_kv_handle(handle));
        match outcome {
            SendOutcome::Unsent(_) => exchange.sends -= 1,
            SendOutcome::Lost => {
                exchange.may_have_run = true;
                // Where it was not taken nobody else may name it: this maker may yet come for it.
                exchange.release_kv_handle();
                if !exchange.is_repeatable {
                    return Err(forward::failure_for(exchange));
                }
            }
            _ if has_handle && !is_full(exchange, engine_index) => abandon_handle(exchange),
            _ => {}
        }
    }
}

fn is_full(exchange: &Exchange, engine_index: usize) -> bool {
    let engine_table = exchange.state.engines();
    engine_table.estimated_load(engine_index, clock::now()) >= f64::from(engine_table.engines[engine_index].slots)
}

/// The memory can't be had: its engine is suppressed for these keys, not for the request.
fn abandon_handle(exchange: &mut Exchange) {
    if let Some(prefill_engine) = exchange.kv_handle_engine() {
        let now = clock::now();
        let id = exchange.endpoint(prefill_engine).engine;
        let mut owner_cache = exchange.state.owner_cache();
        owner_cache.counts.transfer_error += 1;
        for key in &exchange.request.prefix_keys {
            owner_cache.suppress(&id, *key, now + SUPPRESSION_MS);
        }
    }
    exchange.release_kv_handle();
}
