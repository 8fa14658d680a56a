//! The response of an engine: reading or draining its body, and returning its connection to the pool.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::TRANSFER_ENCODING;
use http::response::Parts;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
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
    /// The body as it arrives.
    pub body: Incoming,
    /// The connection that it arrives on.
    pub connection: Connection,
}

impl EngineResponse {
    /// Returns whether the body's framing shows where it ends. Without framing, a broken connection looks like the end
    /// of the body.
    pub fn is_framed(&self) -> bool {
        self.body.is_end_stream()
            || self.body.size_hint().exact().is_some()
            || self.head.headers.contains_key(TRANSFER_ENCODING)
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
