//! The response of an engine: reading or draining its body, and returning its connection to the pool.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::response::Parts;
use http::{HeaderMap, Method, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use protocol::response_framing::{BodyFraming, InvalidResponseHead};
use tokio::time::{self, Instant};

use crate::state::State;
use crate::upstream::connection_pool::{self, Connection, Endpoint};

/// Maximum size of an unneeded body that is drained so that its connection can be reused, in bytes.
const MAX_DRAINED_BYTES: usize = 64 * 1024;
/// Timeout for draining an unneeded body, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 200;
/// Timeout for a connection to become ready for its next request.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// A response of an engine whose body has not been read yet.
pub struct EngineResponse {
    /// Status and headers.
    pub head: Parts,
    /// How the body is delimited.
    pub framing: BodyFraming,
    /// The body as it arrives.
    pub body: Incoming,
    /// The connection that it arrives on.
    pub connection: Connection,
}

impl EngineResponse {
    /// Returns the response to a request with `method` that arrived on `connection`.
    ///
    /// # Errors
    ///
    /// If its head is invalid: neither the response nor the connection may be used.
    pub fn new(
        method: &Method,
        response: Response<Incoming>,
        connection: Connection,
    ) -> Result<EngineResponse, InvalidResponseHead> {
        let (head, body) = response.into_parts();
        let framing = BodyFraming::of(method, head.status, head.version, &head.headers)?;
        Ok(EngineResponse { head, framing, body, connection })
    }
}

/// Drains the body of an unneeded response, and returns its connection to the pool.
pub async fn drain_body(state: &State, endpoint: &Endpoint, response: EngineResponse) {
    let _ = read_body(state, endpoint, response, MAX_DRAINED_BYTES, DRAIN_TIMEOUT_MS).await;
}

/// Reads the body of a small response, and returns its connection to the pool. Returns `None` if the body is longer
/// than `max_bytes`, takes longer than `timeout_ms`, or may be incomplete.
pub async fn read_body(
    state: &State,
    endpoint: &Endpoint,
    response: EngineResponse,
    max_bytes: usize,
    timeout_ms: u64,
) -> Option<Bytes> {
    let EngineResponse { head, framing, mut body, connection } = response;
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
    framing.is_complete_after(buffer.len() as u64).then(|| buffer.freeze())
}

/// Returns a connection to the pool after the response on it was read completely.
pub async fn return_connection(state: &State, endpoint: &Endpoint, head: &HeaderMap, mut connection: Connection) {
    if connection_pool::requests_close(head) {
        return;
    }
    let ready = time::timeout(READY_TIMEOUT, connection.ready()).await;
    if matches!(ready, Ok(Ok(()))) {
        state.connection_pools.release(endpoint, connection, connection_pool::keep_alive_seconds(head));
    }
}
