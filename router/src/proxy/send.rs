//! Sends a request to one engine over a pooled connection.
//!
//! The outcome says whether the engine may have executed the request, since that decides about retries.

use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Method};
use http_body_util::Full;
use kernel::clock;
use load_balancing::StalenessBound;
use protocol::headers::{
    EXPECTED_VERSION, KV_SOURCE, LAST_EVENT_ID, SERVING_PHASE, TARGET_INSTANCE, TIME_BUDGET, URGENCY_CLASS,
};
use tokio::time::{self, Instant};

use crate::event::{RESPONSE_INVALID, RESPONSE_MISMATCHED};
use crate::frontend::request;
use crate::kv::kv_handle::KvHandle;
use crate::proxy::engine_response::{self, EngineResponse};
use crate::proxy::plan;
use crate::proxy::response_head::{self, Classification, Expectation};
use crate::state::State;
use crate::upstream::connection_pool::{Connection, Endpoint, SendError};

/// Timeout for freeing a KV cache.
const FREE_HANDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Outcome of one send.
pub enum SendOutcome {
    /// The engine executed the request and responded.
    Response(Box<EngineResponse>),
    /// Nothing of the request reached the engine.
    Unsent(SendError),
    /// The engine confirms that it has not executed the request.
    NotExecuted,
    /// Not executed: the address belongs to another engine.
    OtherEngine,
    /// Not executed: the engine's weights have another version, included if the engine reported it.
    OtherVersion(Option<u64>),
    /// The request may have been executed, and there is no response to forward.
    Lost,
}

/// Options of one send, which add headers to the client's own.
#[derive(Default)]
pub struct SendOptions {
    /// Time budget of the engine, in milliseconds.
    pub time_budget_ms: u64,
    /// Whether the engine only prefills the prompt.
    pub is_prefill: bool,
    /// Address and KV handle from which the engine fetches the KV cache.
    pub kv_source: Option<String>,
    /// Id of the event after which a stream is resumed.
    pub last_event_id: Option<HeaderValue>,
    /// Urgency class; smaller ones go first.
    pub urgency: Option<u32>,
    /// The version that the engine's weights must have.
    pub expected_version: Option<u64>,
    /// Name of the route, if it has a staleness limit.
    pub bounded_route: Option<String>,
    /// The zone of the engine, by dense index.
    pub zone: Option<u32>,
}

/// Returns whether the expected weight version still satisfies the staleness limit, which may have changed since the
/// engine was selected.
fn satisfies_bound(state: &State, service: u32, model: &str, options: &SendOptions) -> bool {
    let Some(route) = &options.bounded_route else { return true };
    let bound = state.staleness_bounds().bound_for(service, model, route, clock::now());
    match bound {
        StalenessBound::Unbounded => true,
        StalenessBound::AtLeast(floor) => options.expected_version.is_some_and(|version| version >= floor),
        StalenessBound::LeaseExpired => false,
    }
}

/// Builds the request that is sent to an engine.
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

/// A connection for one send.
struct PooledConnection {
    connection: Connection,
    /// Whether it was opened for this send.
    is_new: bool,
}

/// Takes an idle connection from the pool, or opens one.
async fn connect(state: &State, endpoint: &Endpoint, max_connections: usize) -> Result<PooledConnection, SendError> {
    if let Some(connection) = state.connection_pools.take_idle(endpoint) {
        return Ok(PooledConnection { connection, is_new: false });
    }
    let connection = state.connection_pools.dial(state.dialer(), endpoint, max_connections).await?;
    state.metrics.engine_connections.inc();
    Ok(PooledConnection { connection, is_new: true })
}

/// Sends the request to one engine, and waits up to `timeout_ms` for the head of the response. If a reused connection
/// turns out to have been closed before anything was written, the next one is tried.
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
        let PooledConnection { mut connection, is_new } = match connect(state, endpoint, max_connections).await {
            Ok(pooled) => pooled,
            Err(error) => return SendOutcome::Unsent(error),
        };
        if !satisfies_bound(state, service, &request.model, options) {
            return SendOutcome::Unsent(SendError::TooStale);
        }
        if !request.authorization.is_still_valid(&state.table()) {
            return SendOutcome::Unsent(SendError::Unauthorized);
        }
        if options.zone.is_some_and(|zone| plan::zones_excluded_for(state, request).contains(&zone)) {
            return SendOutcome::Unsent(SendError::ZoneExcluded);
        }
        let response = match time::timeout_at(deadline, connection.try_send_request(outgoing)).await {
            Err(_) => return SendOutcome::Lost,
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => match error.take_message() {
                // Nothing was written: the connection was already closed.
                Some(unwritten) if !is_new => {
                    outgoing = unwritten;
                    continue;
                }
                Some(_) => return SendOutcome::Unsent(SendError::Unreachable),
                None => return SendOutcome::Lost,
            },
        };
        return match EngineResponse::new(&request.method, response, connection) {
            Ok(response) => classify_response(state, request, endpoint, options, response).await,
            Err(error) => {
                kernel::log_event!(RESPONSE_INVALID, "engine" => endpoint.engine.clone(), "reason" => error.to_string());
                SendOutcome::Lost
            }
        };
    }
}

/// Returns the outcome that a response represents. A response that is not forwarded is drained, so that its connection
/// can be reused.
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
    engine_response::drain_body(state, endpoint, response).await;
    outcome
}

/// Frees the KV cache of a handle. Tried only once, since the handle expires by itself.
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
        None => match state.connection_pools.dial(state.dialer(), &handle.endpoint, max_connections).await {
            Ok(connection) => connection,
            Err(_) => return,
        },
    };
    let result = time::timeout(FREE_HANDLE_TIMEOUT, connection.send_request(outgoing)).await;
    let Ok(Ok(response)) = result else { return };
    let Ok(response) = EngineResponse::new(&Method::DELETE, response, connection) else { return };
    if !response_head::matches_attempt(&response.head.headers, None) {
        // This responds to another request, and the response to this one would follow, so the connection is dropped.
        return;
    }
    engine_response::drain_body(state, &handle.endpoint, response).await;
}
