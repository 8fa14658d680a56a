//! Forwards one request: admits it, executes it on engines, and streams the response to the client, resuming it at
//! another engine where that is allowed.

use std::mem;

use http::Response;
use kernel::hashing;
use load_balancing::Phase;
use protocol::headers::RESPONSE_SEAL;

use crate::frontend::error_response::{Body, Failure};
use crate::proxy::engine_response::EngineResponse;
use crate::proxy::exchange::Exchange;
use crate::proxy::send::{SendOptions, SendOutcome};
use crate::proxy::stream::stream_response;
use crate::proxy::{phases, response_head};
use crate::rollout::VersionOutcome;

/// Saturation threshold by priority: a request is refused at once if the load of every decode engine, as a multiple of
/// its slots, reaches it.
const SATURATION_LIMITS: [f64; 3] = [2.0, 1.5, 1.25];
/// Retry delay of deferrable requests while interactive requests need the slots, in milliseconds.
const DEFERRED_RETRY_MS: u64 = 500;
/// Minimum and maximum retry delay of a refused request in milliseconds, if its deadline allows.
const MIN_RETRY_AFTER_MS: u64 = 50;
const MAX_RETRY_AFTER_MS: u64 = 1000;
/// Minimum retry delay close to the deadline, in milliseconds.
const NEAR_DEADLINE_RETRY_AFTER_MS: u64 = 20;

/// Returns the delay after which a refused request may be retried, in milliseconds: a quarter of the latency target,
/// but at most a third of the time until the deadline.
fn retry_after_ms(exchange: &Exchange) -> u64 {
    let third_of_remaining = exchange.remaining_ms() / 3;
    let quarter_of_target = exchange.target_ms / 4;
    quarter_of_target
        .clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
        .min(third_of_remaining.max(NEAR_DEADLINE_RETRY_AFTER_MS))
}

/// Returns the failure to report to the client. A request that may have been executed is never reported as refused.
pub fn failure_for(exchange: &Exchange) -> Failure {
    if !exchange.may_have_run {
        return Failure::Unavailable(retry_after_ms(exchange));
    }
    if exchange.remaining_ms() == 0 {
        return Failure::DeadlineExceeded;
    }
    Failure::ResponseLost
}

/// Executes a request and returns the response, whose body is streamed as it arrives.
///
/// # Errors
///
/// Returns the failure to report to the client if no engine's response may be forwarded.
pub async fn forward(mut exchange: Exchange) -> Result<Response<Body>, Failure> {
    admit(&mut exchange)?;
    exchange.acquire_quota_token().await?;
    let (engine_index, response) = execute(&mut exchange).await?;
    if response.head.status.is_success() {
        verify_success(&mut exchange, &response)?;
        exchange.record_version_outcome(VersionOutcome::Answered);
    } else if response.head.status.is_server_error() {
        exchange.record_version_outcome(VersionOutcome::Failed);
    }
    Ok(stream_response(exchange, engine_index, response))
}

/// Chooses the rollout variant that serves the request, and checks whether engines can take the request now.
fn admit(exchange: &mut Exchange) -> Result<(), Failure> {
    if is_deferred(exchange) {
        return Err(Failure::Unavailable(DEFERRED_RETRY_MS));
    }
    exchange.choose_version();
    if !exchange.fits_before_shutdown() {
        // Refused now rather than aborted when the process exits.
        return Err(failure_for(exchange));
    }
    if exchange.version_bounds().is_some()
        && exchange.with_selection(|selection| selection.candidates(Phase::Decode).is_empty())
    {
        exchange.report_no_replica();
        return Err(failure_for(exchange));
    }
    let limit = SATURATION_LIMITS[(exchange.priority as usize).min(SATURATION_LIMITS.len() - 1)];
    if exchange.with_selection(|selection| selection.is_saturated(limit)) {
        return Err(failure_for(exchange));
    }
    Ok(())
}

/// Returns whether the request is deferrable and interactive requests need the slots.
fn is_deferred(exchange: &Exchange) -> bool {
    let Some(share) = exchange.request.deferrable_share else { return false };
    !exchange.with_selection(|selection| selection.has_spare_capacity(share))
}

/// Returns whether the request can be executed in two phases: it has a prompt with prefix keys, and its service has
/// prefill and decode engines.
fn has_phases(exchange: &Exchange) -> bool {
    exchange.is_streaming()
        && !exchange.request.prefix_keys.is_empty()
        && exchange
            .with_selection(|selection| selection.has_phase(Phase::Prefill) && selection.has_phase(Phase::Decode))
}

/// Executes the request in two phases or on one engine. Returns the responding engine and its response.
async fn execute(exchange: &mut Exchange) -> Result<(usize, EngineResponse), Failure> {
    let executed = match has_phases(exchange) {
        true => phases::execute(exchange).await,
        false => execute_combined(exchange).await,
    };
    if executed.is_err() && exchange.may_have_run {
        exchange.record_version_outcome(VersionOutcome::Lost);
    }
    executed
}

/// Checks that a successful response comes from an engine, and pins the weight version of a request with a staleness
/// limit.
fn verify_success(exchange: &mut Exchange, response: &EngineResponse) -> Result<(), Failure> {
    if exchange.version_bounds().is_some() {
        exchange.pinned_version = response_head::weight_version(&response.head.headers).or(exchange.pinned_version);
    }
    if !is_sealed(response) {
        // A success without the seal does not come from an engine.
        exchange.may_have_run = true;
        return Err(failure_for(exchange));
    }
    Ok(())
}

/// Returns whether the response is a success with the seal of an engine.
pub fn is_sealed(response: &EngineResponse) -> bool {
    response.head.status.is_success() && response.head.headers.contains_key(RESPONSE_SEAL)
}

/// Executes both phases of a request on one engine, and retries it on another where that is allowed.
async fn execute_combined(exchange: &mut Exchange) -> Result<(usize, EngineResponse), Failure> {
    // A failed response is dropped only after the next send was granted.
    let mut granted = false;
    loop {
        let placement_hash = hashing::combine(exchange.request.received_at_ms, exchange.request.body.len() as u64);
        exchange.update_version();
        let selected = exchange.with_selection(|selection| selection.select_decode(0, &[], None, placement_hash));
        let Some(engine_index) = selected else { return Err(failure_for(exchange)) };
        if !mem::take(&mut granted) && !exchange.grant_send() {
            return Err(failure_for(exchange));
        }
        exchange.sends += 1;
        let options = SendOptions { urgency: exchange.urgency(), ..Default::default() };
        let may_reroute = exchange.may_retry();
        match exchange.send(engine_index, options, 0, may_reroute).await {
            SendOutcome::Response(response) => {
                granted = exchange.is_repeatable && response.head.status.is_server_error() && exchange.grant_send();
                if !granted {
                    return Ok((engine_index, *response));
                }
                exchange.may_have_run = true;
                exchange.end_send(engine_index);
            }
            SendOutcome::Unsent(_) => exchange.sends -= 1,
            SendOutcome::NotExecuted | SendOutcome::OtherEngine | SendOutcome::OtherVersion(_) => {}
            SendOutcome::Lost => {
                exchange.may_have_run = true;
                if !exchange.is_repeatable {
                    return Err(failure_for(exchange));
                }
            }
        }
        exchange.attempted_engines.push(engine_index);
    }
}
