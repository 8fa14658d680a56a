//! Executes a request in two phases: prefill on one engine, decode on another.
//!
//! The steps are: look up the owners of its prefixes, prefill, register the new owner in the catalog, flush, decode.
//! The flush precedes decoding so that the catalog knows the owner before the KV cache is transferred.

use kernel::clock;
use protocol::headers::RESPONSE_SEAL;
use protocol::message::Record;
use serde_json::Value;

use crate::frontend::error_response::Failure;
use crate::kv::kv_handle::KvHandle;
use crate::proxy::engine_response::{self, EngineResponse};
use crate::proxy::exchange::{Exchange, DEFERRABLE_URGENCY, MAX_INTERACTIVE_URGENCY};
use crate::proxy::forward;
use crate::proxy::plan::{self, Plan};
use crate::proxy::send::{SendOptions, SendOutcome};

/// Margin between a KV handle's last use and its expiry, in milliseconds.
const HANDLE_EXPIRY_MARGIN_MS: u64 = 400;
/// How long an engine whose KV cache could not be fetched is not recorded as an owner of these keys, in milliseconds.
const SUPPRESSION_MS: u64 = 2000;

/// Maximum number of engines that are asked to prefill one prompt.
const MAX_PREFILL_SENDS: usize = 3;
/// Maximum size of the body of a prefill response, in bytes.
const MAX_PREFILL_RESPONSE_BYTES: usize = 16 * 1024;
/// Timeout for reading the body of a prefill response, in milliseconds.
const PREFILL_RESPONSE_TIMEOUT_MS: u64 = 1000;
/// Prompt tokens below which a prefill is short.
const SHORT_PREFILL_TOKENS: u32 = 1024;
/// Prompt tokens below which a prefill is of medium length.
const MEDIUM_PREFILL_TOKENS: u32 = 4096;

/// Outcome of the prefill phase.
enum PrefillOutcome {
    /// An engine holds the KV cache for this request.
    HandleHeld,
    /// The engine does not support phases and responded to the whole request.
    Response(usize, Box<EngineResponse>),
}

/// Prefills the prompt. The first send does not count against `max_sends`; each further one, after a rejection, does.
/// Returns `None` if no engine has prefilled the prompt, so that the decode engine has to.
async fn prefill(exchange: &mut Exchange) -> Option<PrefillOutcome> {
    let owners = exchange.prefix_owners.clone();
    for _ in 0..MAX_PREFILL_SENDS {
        exchange.update_version();
        let plan = exchange.with_selection(|selection| plan::plan_prefill(selection, &exchange.request, &owners));
        let Plan::Prefill { engine_index, tokens } = plan else { return None };
        exchange.state.engines().record_prefill(exchange.service, tokens);
        let options =
            SendOptions { is_prefill: true, urgency: Some(prefill_urgency(exchange, tokens)), ..Default::default() };
        match exchange.send(engine_index, options, tokens, true).await {
            SendOutcome::Response(response) => return accept_prefill_response(exchange, engine_index, response).await,
            SendOutcome::Unsent(_) => exchange.attempted_engines.push(engine_index),
            SendOutcome::NotExecuted | SendOutcome::OtherEngine | SendOutcome::OtherVersion(_) => {
                exchange.attempted_engines.push(engine_index);
                exchange.sends += 1;
                // The last counted send is reserved for the decode phase.
                if exchange.sends + 1 >= exchange.max_sends || !exchange.grant_send() {
                    return None;
                }
            }
            SendOutcome::Lost => return None,
        }
    }
    None
}

/// Takes the KV handle from a prefill response. Returns `None` if it has no usable one.
async fn accept_prefill_response(
    exchange: &mut Exchange,
    engine_index: usize,
    response: Box<EngineResponse>,
) -> Option<PrefillOutcome> {
    if response.head.headers.contains_key(RESPONSE_SEAL) {
        // An engine without support for phases has executed the whole request: this is its response.
        exchange.sends += 1;
        exchange.reached_engine = true;
        exchange.may_have_run = true;
        return Some(PrefillOutcome::Response(engine_index, response));
    }
    let endpoint = exchange.endpoint(engine_index);
    let is_success = response.head.status == 200;
    let timeout_ms = exchange.remaining_ms().min(PREFILL_RESPONSE_TIMEOUT_MS);
    let received_at = clock::now();
    let body =
        engine_response::read_body(&exchange.state, &endpoint, *response, MAX_PREFILL_RESPONSE_BYTES, timeout_ms).await;
    exchange.end_send(engine_index);
    let value: Value = body.and_then(|body| serde_json::from_slice(&body).ok()).unwrap_or_default();
    let id = value["kv_handle"].as_str().filter(|_| is_success).unwrap_or("").to_string();
    if !is_valid_handle_id(&id) {
        // The prefill may have been rejected, so further sends have to draw on the retry budget.
        exchange.reached_engine = true;
        return None;
    }
    if exchange.version_bounds().is_some() {
        // With a staleness limit, both phases must use the same weights: a KV cache of other weights is unusable.
        let version = value["revision"].as_u64();
        exchange.record_version(engine_index, version);
        exchange.pinned_version = version.or(exchange.pinned_version);
    }
    let expires_at_ms = received_at + exchange.service_config().hold_ms.saturating_sub(HANDLE_EXPIRY_MARGIN_MS);
    exchange.hold_kv_handle(KvHandle { engine_index, endpoint, id, expires_at_ms });
    Some(PrefillOutcome::HandleHeld)
}

/// Returns whether an id is safe to use in a path and in a header.
fn is_valid_handle_id(id: &str) -> bool {
    !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}

/// Returns the urgency class of a prefill. A short prefill goes before long ones: it hardly delays them, and would miss
/// its latency target behind them. Among prefills of similar length the operator's priority decides.
fn prefill_urgency(exchange: &Exchange, prefill_tokens: u32) -> u32 {
    if exchange.request.deferrable_share.is_some() {
        return DEFERRABLE_URGENCY;
    }
    let length_class = match prefill_tokens {
        0..SHORT_PREFILL_TOKENS => 0,
        SHORT_PREFILL_TOKENS..MEDIUM_PREFILL_TOKENS => 2,
        _ => 4,
    };
    (1 + length_class + exchange.priority.min(1)).min(MAX_INTERACTIVE_URGENCY)
}

/// Records an engine as the owner of the prompt's prefixes, here and in the catalog. Returns the number of
/// registrations.
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

/// Executes both phases. Returns the index of the responding engine, and its response.
///
/// # Errors
///
/// Returns the failure to report to the client if no engine responds.
pub async fn execute(exchange: &mut Exchange) -> Result<(usize, EngineResponse), Failure> {
    exchange.prefix_owners = plan::look_up_owners(&exchange.state, &exchange.request, exchange.service).await;
    let prefill_engine = match prefill(exchange).await {
        Some(PrefillOutcome::Response(engine_index, response)) => return Ok((engine_index, *response)),
        Some(PrefillOutcome::HandleHeld) => exchange.kv_handle_engine(),
        None => None,
    };
    if let Some(engine_index) = prefill_engine {
        let registration_count = register(exchange, engine_index);
        let dropped_count = exchange.state.prefix_catalog.flush(registration_count).await;
        // A dropped registration only keeps other requests from finding this KV cache, so this request continues.
        exchange.state.owner_cache().counts.dropped += u64::from(dropped_count);
    }
    decode(exchange, prefill_engine).await
}

/// Selects the engine that decodes, and takes the KV handle from which it fetches the KV cache, if there is one.
fn select_decode_engine(exchange: &mut Exchange, prefill_engine: Option<usize>) -> Option<(usize, Option<KvHandle>)> {
    let (tokens, placement_hash) = (exchange.request.prompt_tokens(), plan::placement_hash(&exchange.request));
    let owners = exchange.prefix_owners.clone();
    loop {
        exchange.update_version();
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
        // No decode engine has the weights of the prefill: one within the staleness limit prefills the prompt itself.
        exchange.release_kv_handle();
    }
}

/// Sends the request to decode engines, with the KV handle if there is one, until one of them responds.
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
        let may_reroute = exchange.may_retry();
        let outcome = exchange.send(engine_index, options, prefill_tokens, may_reroute).await;
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
                // The handle must not be sent to another engine, since this one may still fetch the KV cache.
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

/// Returns whether all slots of an engine are estimated to be in use.
fn is_full(exchange: &Exchange, engine_index: usize) -> bool {
    let engine_table = exchange.state.engines();
    engine_table.estimated_load(engine_index, clock::now()) >= f64::from(engine_table.engines[engine_index].slots)
}

/// Releases a KV handle whose KV cache could not be fetched. Its engine is suppressed as an owner of these keys, but
/// may still serve the request.
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
