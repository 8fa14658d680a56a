//! Streams a response to the client as it arrives, and resumes it at another engine where that is allowed.

use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Response};
use http_body_util::BodyExt;
use ingress::Purpose;
use kernel::clock;
use protocol::response_framing::BodyFraming;
use tokio::time;

use crate::frontend::error_response::Body;
use crate::frontend::request;
use crate::proxy::engine_response::{self, EngineResponse};
use crate::proxy::event_stream::EventSplitter;
use crate::proxy::exchange::Exchange;
use crate::proxy::forward::is_sealed;
use crate::proxy::plan;
use crate::proxy::response_body::{self, BodySender};
use crate::proxy::send::{SendOptions, SendOutcome};
use crate::rollout::VersionOutcome;
use crate::upstream::suspicion::{self, LIVENESS_TIMEOUT_MS};

/// Maximum number of engines that are asked to resume one broken stream.
const MAX_RESUMPTION_SENDS: usize = 3;

/// How the body of a response ended.
enum BodyEnd {
    /// At the end given by its framing.
    Complete,
    /// The engine closed the connection in order, which is the only end that its body can have.
    Unmarked,
    /// The connection or the engine failed, or the body has another length than stated.
    Broken,
    /// The client disconnected.
    ClientDisconnected,
}

/// Returns a response with the engine's head, and spawns a task that streams its body.
pub fn stream_response(mut exchange: Exchange, engine_index: usize, response: EngineResponse) -> Response<Body> {
    let mut client_response = Response::new(());
    *client_response.status_mut() = response.head.status;
    *client_response.headers_mut() = response.head.headers.clone();
    let length = response.framing.content_length().filter(|_| !exchange.is_resumable());
    request::remove_hop_by_hop_headers(client_response.headers_mut());
    if exchange.state.is_shutting_down() {
        client_response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let (sender, body) = response_body::channel(length, exchange.state.memory.reservation(Purpose::Responses));
    tokio::spawn(async move {
        stream_bodies(&mut exchange, engine_index, response, &sender).await;
    });
    client_response.map(|()| Body::new(body))
}

/// Streams the body of a response to the client, and those of the responses that resume it.
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
            BodyEnd::ClientDisconnected => return,
            BodyEnd::Complete => {
                sender.finish().await;
                if is_success {
                    exchange.record_version_outcome(VersionOutcome::Complete {
                        event_interval_us: splitter.mean_interval_us(),
                    });
                    exchange.record_stream_duration();
                }
                let endpoint = exchange.endpoint(engine_index);
                let EngineResponse { head, connection, .. } = response;
                engine_response::return_connection(&exchange.state, &endpoint, &head.headers, connection).await;
                return;
            }
            BodyEnd::Unmarked | BodyEnd::Broken => exchange.record_version_outcome(VersionOutcome::Lost),
        }
        let is_truncated = splitter.discard_partial_event();
        let Some((next, next_response)) = exchange.resume(engine_index, &splitter).await else {
            if matches!(end, BodyEnd::Unmarked) && !is_truncated {
                sender.finish_unmarked().await;
            }
            return;
        };
        (engine_index, response) = (next, next_response);
    }
}

/// Forwards the body of one response until it ends, breaks, or the client disconnects.
async fn forward_body(
    exchange: &Exchange,
    engine_index: usize,
    response: &mut EngineResponse,
    splitter: &mut EventSplitter,
    sender: &BodySender,
) -> BodyEnd {
    let interval = Duration::from_millis(LIVENESS_TIMEOUT_MS);
    let is_streaming = exchange.is_streaming();
    let may_reroute = exchange.is_resumable() && exchange.may_retry();
    let mut last_data_at = clock::now();
    let mut received_bytes = 0;
    loop {
        let frame = tokio::select! {
            frame = time::timeout(interval, response.body.frame()) => frame,
            () = sender.client_disconnected() => return BodyEnd::ClientDisconnected,
        };
        let data = match frame {
            Err(_)
                if exchange.remaining_ms() == 0
                    || (exchange.check_unresponsive(engine_index, last_data_at) && may_reroute) =>
            {
                return BodyEnd::Broken
            }
            Err(_) => continue,
            Ok(None) if response.framing == BodyFraming::UntilClose => return BodyEnd::Unmarked,
            Ok(None) if !response.framing.is_complete_after(received_bytes) => return BodyEnd::Broken,
            Ok(None) => return send_rest(splitter, sender).await,
            Ok(Some(Err(_))) => return BodyEnd::Broken,
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        };
        last_data_at = clock::now();
        received_bytes += data.len() as u64;
        let complete = if is_streaming { splitter.feed(&data) } else { data };
        if !sender.send_data(complete).await {
            return BodyEnd::ClientDisconnected;
        }
    }
}

/// Sends the remaining bytes of a complete body.
async fn send_rest(splitter: &mut EventSplitter, sender: &BodySender) -> BodyEnd {
    match sender.send_data(splitter.take_partial_event()).await {
        true => BodyEnd::Complete,
        false => BodyEnd::ClientDisconnected,
    }
}

impl Exchange {
    /// Resumes a broken stream at another engine, after the last event that was forwarded. Returns the engine and its
    /// response.
    async fn resume(&mut self, engine_index: usize, splitter: &EventSplitter) -> Option<(usize, EngineResponse)> {
        self.may_have_run = true;
        suspicion::raise(&self.state, engine_index);
        self.attempted_engines.push(engine_index);
        if !self.is_resumable() || !splitter.is_resumable() {
            return None;
        }
        let (tokens, placement_hash) = (self.request.prompt_tokens(), plan::placement_hash(&self.request));
        for _ in 0..MAX_RESUMPTION_SENDS {
            self.update_version();
            let owners = self.prefix_owners.clone();
            let next =
                self.with_selection(|selection| selection.select_combined(tokens, &owners, placement_hash))?.engine;
            if self.remaining_ms() == 0 || !self.grant_send() {
                return None;
            }
            let last_event_id = self.resumption_point(splitter);
            let options = SendOptions { last_event_id, urgency: self.urgency(), ..Default::default() };
            self.sends += 1;
            let may_reroute = self.may_retry();
            match self.send(next, options, tokens, may_reroute).await {
                SendOutcome::Response(response) if is_sealed(&response) => return Some((next, *response)),
                SendOutcome::Response(_) => self.end_send(next),
                SendOutcome::Unsent(_) => self.sends -= 1,
                _ => {}
            }
            self.attempted_engines.push(next);
        }
        None
    }

    /// Returns the id of the event after which the stream resumes: the last one forwarded, or else the one after which
    /// the client asked to resume.
    fn resumption_point(&self, splitter: &EventSplitter) -> Option<HeaderValue> {
        match &splitter.last_event_id {
            Some(last_event_id) => HeaderValue::from_str(last_event_id).ok(),
            None => self.request.last_event_id.clone(),
        }
    }
}
