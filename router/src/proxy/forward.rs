//! Passing an engine's answer on as it comes, and going on at another engine where that is allowed.

use std::mem;
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Response};
use kernel::{clock, hashing};
use load_balancing::Phase;
use protocol::headers::RESPONSE_SEAL;
use tokio::time;

use crate::frontend::error_response::{Body, Failure};
use crate::frontend::request;
use crate::proxy::event_stream::EventSplitter;
use crate::proxy::exchange::Exchange;
use crate::proxy::response_body::{self, BodySender};
use crate::proxy::send::{self, EngineResponse, SendOptions, SendOutcome};
use crate::proxy::{phases, plan, response_head};
use crate::rollout::VersionOutcome;
use crate::upstream::suspicion::{self, LIVENESS_TIMEOUT_MS};

/// When a refused client may come back: soon, and later the more is waiting.
fn retry_after_ms(exchange: &Exchange) -> u64 {
    let third_of_remaining = exchange.remaining_ms() / 3;
    (exchange.target_ms / 4).clamp(50, 1000).min(third_of_remaining.max(20))
}

/// The answer to a request that is given up. Nothing that may have run is ever called refused.
pub fn failure_for(exchange: &Exchange) -> Failure {
    if !exchange.may_have_run {
        return Failure::Unavailable(retry_after_ms(exchange));
    }
    if exchange.remaining_ms() == 0 {
        return Failure::DeadlineExceeded;
    }
    Failure::ResponseLost
}

/// By rank: how far over its slots every maker may be before a request is refused at once.
const SATURATION_LIMITS: [f64; 3] = [2.0, 1.5, 1.25];

/// How long deferrable work stands back when interactive work needs the places.
const DEFERRED_RETRY_MS: u64 = 500;

/// Chooses the path and follows it to an answer.
pub async fn forward(mut exchange: Exchange) -> Result<Response<Body>, Failure> {
    if exchange
        .request
        .deferrable_share
        .is_some_and(|share| !exchange.with_selection(|selection| selection.has_spare_capacity(share)))
    {
        return Err(Failure::Unavailable(DEFERRED_RETRY_MS));
    }
    exchange.choose_version();
    if !exchange.fits_before_shutdown() {
        // Refused early rather than given up late.
        return Err(failure_for(&exchange));
    }
    if exchange.version_bounds().is_some()
        && exchange.with_selection(|selection| selection.candidates(Phase::Decode).is_empty())
    {
        exchange.report_no_replica();
        return Err(failure_for(&exchange));
    }
    let limit = SATURATION_LIMITS[(exchange.priority as usize).min(SATURATION_LIMITS.len() - 1)];
    if exchange.with_selection(|selection| selection.is_saturated(limit)) {
        return Err(failure_for(&exchange));
    }
    exchange.acquire_quota_token().await?;
    let has_phases = exchange.is_streaming()
        && !exchange.request.prefix_keys.is_empty()
        && exchange
            .with_selection(|selection| selection.has_phase(Phase::Prefill) && selection.has_phase(Phase::Decode));
    let executed =
        if has_phases { phases::execute(&mut exchange).await } else { execute_combined(&mut exchange).await };
    let (engine_index, response) = match executed {
        Ok(executed) => executed,
        Err(failure) => {
            if exchange.may_have_run {
                exchange.record_version_outcome(VersionOutcome::Failed);
            }
            return Err(failure);
        }
    };
    if !response.head.status.is_success() {
        if response.head.status.is_server_error() {
            exchange.record_version_outcome(VersionOutcome::Failed);
        }
        return Ok(stream_response(exchange, engine_index, response));
    }
    if exchange.version_bounds().is_some() {
        exchange.pinned_version = response_head::weight_version(&response.head.headers).or(exchange.pinned_version);
    }
    if !is_sealed(&response) {
        // Not an engine's answer, whatever it is.
        exchange.may_have_run = true;
        return Err(failure_for(&exchange));
    }
    Ok(stream_response(exchange, engine_index, response))
}

/// A success as an engine gives it.
fn is_sealed(response: &EngineResponse) -> bool {
    response.head.status.is_success() && response.head.headers.contains_key(RESPONSE_SEAL)
}

/// Services without halves: one engine, and another where that is allowed.
async fn execute_combined(exchange: &mut Exchange) -> Result<(usize, EngineResponse), Failure> {
    // A failed answer is given up only once the next send is granted.
    let mut granted = false;
    loop {
        let placement_hash = hashing::combine(exchange.request.received_at_ms, exchange.request.body.len() as u64);
        let selected = exchange.with_selection(|selection| selection.select_decode(0, &[], None, placement_hash));
        let Some(engine_index) = selected else { return Err(failure_for(exchange)) };
        if !mem::take(&mut granted) && !exchange.grant_send() {
            return Err(failure_for(exchange));
        }
        exchange.sends += 1;
        let (options, may_move) =
            (SendOptions { urgency: exchange.urgency(), ..Default::default() }, exchange.may_retry());
        match exchange.send(engine_index, options, 0, may_move).await {
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

impl Exchange {
    /// Goes on at another engine after a break, behind the last event that was passed on.
    async fn resume(&mut self, engine_index: usize, splitter: &EventSplitter) -> Option<(usize, EngineResponse)> {
        self.may_have_run = true;
        suspicion::raise(&self.state, engine_index);
        self.attempted_engines.push(engine_index);
        if !self.is_resumable() || !splitter.is_resumable() {
            return None;
        }
        let (tokens, placement_hash) = (self.request.prompt_tokens(), plan::placement_hash(&self.request));
        for _ in 0..3 {
            let owners = self.prefix_owners.clone();
            let next =
                self.with_selection(|selection| selection.select_combined(tokens, &owners, placement_hash))?.engine;
            if self.remaining_ms() == 0 || !self.grant_send() {
                return None;
            }
            let last_event_id = match &splitter.last_event_id {
                Some(last_event_id) => HeaderValue::from_str(last_event_id).ok(),
                None => self.request.last_event_id.clone(),
            };
            let options = SendOptions { last_event_id, urgency: self.urgency(), ..Default::default() };
            self.sends += 1;
            let may_move = self.may_retry();
            match self.send(next, options, tokens, may_move).await {
                SendOutcome::Response(response) if is_sealed(&response) => {
                    return Some((next, *response));
                }
                SendOutcome::Response(_) => self.end_send(next),
                SendOutcome::Unsent(_) => self.sends -= 1,
                _ => {}
            }
            self.attempted_engines.push(next);
        }
        None
    }
}

/// How an engine's body ended.
enum BodyEnd {
    Complete,
    Broken,
    /// The client is gone.
    ClientGone,
}

/// Answers with the engine's head; its body follows as it comes.
pub fn stream_response(mut exchange: Exchange, engine_index: usize, response: EngineResponse) -> Response<Body> {
    let mut client_response = Response::new(());
    *client_response.status_mut() = response.head.status;
    *client_response.headers_mut() = response.head.headers.clone();
    let length =
        request::parse_number(client_response.headers(), "content-length").filter(|_| !exchange.is_resumable());
    request::remove_hop_by_hop_headers(client_response.headers_mut());
    if exchange.state.is_shutting_down() {
        client_response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let (sender, body) = response_body::channel(length);
    tokio::spawn(async move {
        stream_bodies(&mut exchange, engine_index, response, &sender).await;
    });
    client_response.map(|()| Body::new(body))
}

async fn stream_bodies(
    exchange: &mut Exchange,
    mut engine_index: usize,
    mut response: EngineResponse,
    sender: &BodySender,
) {
    let mut splitter = EventSplitter::default();
    let is_success = response.head.status.is_success();
    loop {
        let end = forward_body(exchange, engine_index, &mut response, &mut splitter, sender).await;
        exchange.end_send(engine_index);
        match end {
            BodyEnd::ClientGone => return,
            BodyEnd::Complete => {
                sender.finish().await;
                if is_success {
                    exchange.record_version_outcome(VersionOutcome::Success {
                        event_interval_us: splitter.mean_interval_us(),
                    });
                }
                let to = exchange.endpoint(engine_index);
                send::return_connection(&exchange.state, &to, &response.head.headers, response.connection).await;
                return;
            }
            BodyEnd::Broken => exchange.record_version_outcome(VersionOutcome::Failed),
        }
        splitter.discard_partial_event();
        let Some((next, next_response)) = exchange.resume(engine_index, &splitter).await else { return };
        (engine_index, response) = (next, next_response);
    }
}

async fn forward_body(
    exchange: &Exchange,
    engine_index: usize,
    response: &mut EngineResponse,
    splitter: &mut EventSplitter,
    sender: &BodySender,
) -> BodyEnd {
    use http_body_util::BodyExt;
    let interval = Duration::from_millis(LIVENESS_TIMEOUT_MS);
    let (is_streaming, may_move) = (exchange.is_streaming(), exchange.is_resumable() && exchange.may_retry());
    let is_framed = response.is_framed();
    let mut last_seen_at = clock::now();
    loop {
        let frame = tokio::select! {
            frame = time::timeout(interval, response.body.frame()) => frame,
            () = sender.client_gone() => return BodyEnd::ClientGone,
        };
        let data = match frame {
            Err(_)
                if exchange.remaining_ms() == 0
                    || (exchange.check_unresponsive(engine_index, last_seen_at) && may_move) =>
            {
                return BodyEnd::Broken
            }
            Err(_) => continue,
            Ok(None) if !is_framed => return BodyEnd::Broken,
            Ok(None) => {
                return if sender.send_data(splitter.take_partial_event()).await {
                    BodyEnd::Complete
                } else {
                    BodyEnd::ClientGone
                }
            }
            Ok(Some(Err(_))) => return BodyEnd::Broken,
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        };
        last_seen_at = clock::now();
        let complete = if is_streaming { splitter.feed(&data) } else { data };
        if !sender.send_data(complete).await {
            return BodyEnd::ClientGone;
        }
    }
}
