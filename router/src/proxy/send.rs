//! One send to one engine: what came of it is a value that says whether it may have run.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{HOST, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::Full;
use hyper::body::Incoming;
use kernel::clock;
use load_balancing::StalenessBound;
use protocol::headers::{
    EXPECTED_VERSION, KV_SOURCE, LAST_EVENT_ID, SERVING_PHASE, TARGET_INSTANCE, TIME_BUDGET, URGENCY_CLASS,
};
use tokio::time::{self, Instant};

use crate::event::RESPONSE_MISMATCHED;
use crate::frontend::request;
use crate::kv::kv_handle::KvHandle;
use crate::proxy::response_head::{self, Classification, Expectation};
use crate::state::State;
use crate::upstream::connection_pool::{self, Connection, Endpoint, SendError};

pub struct EngineResponse {
    pub head: Parts,
    pub body: Incoming,
    pub connection: Connection,
}

pub enum SendOutcome {
    Response(Box<EngineResponse>),
    /// Nothing of it reached the engine.
    Unsent(SendError),
    /// The engine says that it has not run.
    NotExecuted,
    /// It has not run, and the address is another engine's.
    OtherEngine,
    /// It has not run, since its weights have another version: this one, where it said so.
    OtherVersion(Option<u64>),
    /// It may have run.
    Lost,
}

/// What is set on a send besides the client's own headers.
#[derive(Default)]
pub struct SendOptions {
    pub time_budget_ms: u64,
    pub is_prefill: bool,
    pub kv_source: Option<String>,
    pub last_event_id: Option<HeaderValue>,
    pub urgency: Option<u32>,
    /// The version that its weights must have.
    pub expected_version: Option<u64>,
    /// The route, where a limit on stale weights binds it.
    pub bounded_route: Option<String>,
}

impl EngineResponse {
    /// Does the end of its body show whether it is whole? Where nothing frames it, a break looks like the end.
    pub fn is_framed(&self) -> bool {
        use hyper::body::Body;
        self.body.is_end_stream()
            || self.body.size_hint().exact().is_some()
            || self.head.headers.contains_key(TRANSFER_ENCODING)
    }
}

/// Immediately before a send: does what is expected of the engine still satisfy the limit?
fn satisfies_bound(state: &State, service: u32, model: &str, options: &SendOptions) -> bool {
    let Some(route) = &options.bounded_route else { return true };
    let bound = state.staleness_bounds().bound_for(service, model, route, clock::now());
    match bound {
        StalenessBound::Unbounded => true,
        StalenessBound::AtLeast(floor) => options.expected_version.is_some_and(|version| version >= floor),
        StalenessBound::LeaseExpired => false,
    }
}

fn build_request(request: &request::Request, engine: &str, options: &SendOptions) -> http::Request<Full<Bytes>> {
    let mut outgoing = http::Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.path.clone();
    let head = outgoing.headers_mut();
    *head = request.headers.clone();
    let mut set = |name: &'static str, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            head.insert(name, value);
        }
    };
    set(TARGET_INSTANCE, engine);
    set(TIME_BUDGET, &options.time_budget_ms.to_string());
    if options.is_prefill {
        set(SERVING_PHASE, "prefill");
    }
    if let Some(kv_source) = &options.kv_source {
        set(KV_SOURCE, kv_source);
    }
    if let Some(urgency) = options.urgency {
        set(URGENCY_CLASS, &urgency.to_string());
    }
    if let Some(version) = options.expected_version {
        set(EXPECTED_VERSION, &version.to_string());
    }
    if let Some(last_event_id) = &options.last_event_id {
        head.insert(LAST_EVENT_ID, last_event_id.clone());
    }
    outgoing
}

/// `silence_ms`: how long the head of the answer may take.
pub async fn send(
    state: &State,
    request: &request::Request,
    service: u32,
    endpoint: &Endpoint,
    max_connections: usize,
    options: &SendOptions,
    timeout_ms: u64,
) -> SendOutcome {
    let mut outgoing = build_request(request, &endpoint.engine, options);
    let deadline = Instant::now() + Duration::from_millis(timeout_ms);
    loop {
        let (mut connection, is_new) = match state.connection_pools.take_idle(endpoint) {
            Some(connection) => (connection, false),
            None => match state.connection_pools.dial(endpoint, max_connections).await {
                Ok(connection) => {
                    state.metrics.engine_connections.inc();
                    (connection, true)
                }
                Err(error) => return SendOutcome::Unsent(error),
            },
        };
        if !satisfies_bound(state, service, &request.model, options) {
            return SendOutcome::Unsent(SendError::TooStale);
        }
        if !request.authorization.is_still_valid(&state.table()) {
            return SendOutcome::Unsent(SendError::Unauthorized);
        }
        let response = match time::timeout_at(deadline, connection.try_send_request(outgoing)).await {
            Err(_) => return SendOutcome::Lost,
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => match error.take_message() {
                // Never written: the connection had ended before.
                Some(unwritten) if !is_new => {
                    outgoing = unwritten;
                    continue;
                }
                Some(_) => return SendOutcome::Unsent(SendError::Unreachable),
                None => return SendOutcome::Lost,
            },
        };
        let (head, body) = response.into_parts();
        return classify_response(state, request, endpoint, options, EngineResponse { head, body, connection }).await;
    }
}

/// What an answer comes to. One that is not passed on is read to its end, so that its connection is of use again.
async fn classify_response(
    state: &State,
    request: &request::Request,
    endpoint: &Endpoint,
    options: &SendOptions,
    response: EngineResponse,
) -> SendOutcome {
    let expected = Expectation {
        attempt: request.attempt_id.as_ref(),
        target: &endpoint.engine,
        version: options.expected_version,
    };
    let outcome = match response_head::classify(&response.head, &expected) {
        Classification::Executed => return SendOutcome::Response(Box::new(response)),
        Classification::Mismatched => {
            let status = response.head.status.as_u16();
            kernel::log_event!(RESPONSE_MISMATCHED, "engine" => endpoint.engine.clone(), "status" => status);
            return SendOutcome::Lost;
        }
        Classification::Unconfirmed => SendOutcome::Lost,
        Classification::NotExecuted => SendOutcome::NotExecuted,
        Classification::OtherEngine => SendOutcome::OtherEngine,
        Classification::OtherVersion(version) => SendOutcome::OtherVersion(version),
    };
    drain_body(state, endpoint, response).await;
    outcome
}

/// Reads the rest of an answer that nobody needs and takes the connection back.
pub async fn drain_body(state: &State, endpoint: &Endpoint, response: EngineResponse) {
    let _ = read_body(state, endpoint, response, 64 * 1024, 200).await;
}

/// Reads a small answer whole.
pub async fn read_body(
    state: &State,
    endpoint: &Endpoint,
    response: EngineResponse,
    max_bytes: usize,
    timeout_ms: u64,
) -> Option<Bytes> {
    use http_body_util::BodyExt;
    let is_framed = response.is_framed();
    let EngineResponse { head, mut body, connection } = response;
    let deadline = Instant::now() + Duration::from_millis(timeout_ms);
    let mut buffer = BytesMut::new();
    while let Some(frame) = time::timeout_at(deadline, body.frame()).await.ok()? {
        if let Ok(data) = frame.ok()?.into_data() {
            buffer.extend_from_slice(&data);
        }
        if buffer.len() > max_bytes {
            return None;
        }
    }
    return_connection(state, endpoint, &head.headers, connection).await;
    is_framed.then(|| buffer.freeze())
}

/// A connection whose answer was read to its end.
pub async fn return_connection(state: &State, endpoint: &Endpoint, head: &HeaderMap, mut connection: Connection) {
    if connection_pool::requests_close(head) {
        return;
    }
    let ready = time::timeout(Duration::from_millis(20), connection.ready()).await;
    if matches!(ready, Ok(Ok(()))) {
        state.connection_pools.release(endpoint, connection, connection_pool::keep_alive_seconds(head));
    }
}

/// Gives the memory of a handle free; tried once, since it lapses by itself.
pub async fn free_kv_handle(state: &State, handle: &KvHandle, max_connections: usize) {
    let mut outgoing = http::Request::new(Full::new(Bytes::new()));
    *outgoing.method_mut() = Method::DELETE;
    let Ok(path) = format!("/kv-handle/{}", handle.id).parse() else { return };
    *outgoing.uri_mut() = path;
    if let Ok(host) = HeaderValue::from_str(&handle.endpoint.addr) {
        outgoing.headers_mut().insert(HOST, host);
    }
    let mut connection = match state.connection_pools.take_idle(&handle.endpoint) {
        Some(connection) => connection,
        None => match state.connection_pools.dial(&handle.endpoint, max_connections).await {
            Ok(connection) => connection,
            Err(_) => return,
        },
    };
    let wait = Duration::from_millis(500);
    let Ok(Ok(response)) = time::timeout(wait, connection.send_request(outgoing)).await else { return };
    let (head, body) = response.into_parts();
    if !response_head::matches_attempt(&head.headers, None) {
        // Another outgoing's: the answer to this one would be the next that comes.
        return;
    }
    drain_body(state, &handle.endpoint, EngineResponse { head, body, connection }).await;
}
