//! Bodies of clients' requests: reading them within their limits, before and after the first configuration, and
//! rejecting requests whose body is not read.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::header::EXPECT;
use http::request::Parts;
use hyper::body::Incoming;
use ingress::{read_body, BodyError, BodyLimits, Purpose};
use kernel::clock;
use protocol::headers::TIME_BUDGET;
use tokio::time;

use crate::config::routing_table::{Route, RoutingTable};
use crate::frontend::admission::{RETRY_AFTER_MS, STARTUP_WAIT_MS};
use crate::frontend::error_response::Failure;
use crate::frontend::request;
use crate::state::State;

/// Body size limit that applies until the first configuration arrives with the configured limit.
const STARTUP_MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Timeout for a complete body until then, in milliseconds, if the time budget of its request is not shorter.
const STARTUP_BODY_TIMEOUT_MS: u64 = 8000;
/// A request waits for the first configuration for at most its time budget divided by this.
const STARTUP_WAIT_DIVISOR: u64 = 3;
/// Polling interval while waiting for the router to become ready, in milliseconds.
const READY_POLL_MS: u64 = 15;
/// `Retry-After` if buffered request bodies occupy too much memory, in milliseconds.
const MEMORY_RETRY_AFTER_MS: u64 = 250;

/// Why a request was not admitted.
pub struct Rejection {
    /// The failure to report to the client.
    pub failure: Failure,
    /// The body was not read to its end, so the start of the next request on the connection is unknown.
    pub close_connection: bool,
}

impl From<Failure> for Rejection {
    fn from(failure: Failure) -> Rejection {
        Rejection { failure, close_connection: false }
    }
}

impl From<BodyError> for Rejection {
    fn from(error: BodyError) -> Rejection {
        let failure = match error {
            BodyError::TooLarge => Failure::BodyTooLarge,
            BodyError::TimedOut => Failure::BodyTimeout,
            BodyError::OutOfMemory(_) => Failure::Unavailable(MEMORY_RETRY_AFTER_MS),
            BodyError::Malformed => Failure::Malformed,
        };
        Rejection { failure, close_connection: true }
    }
}

/// The body of a request during admission.
pub enum ClientBody {
    /// Not read from the connection yet.
    Unread(Incoming),
    /// Buffered in memory, because it was read during startup.
    Read(Bytes),
}

/// Rejects a request whose body is not needed. The rest of the body is read and discarded, so that the connection can
/// be reused.
pub async fn reject(failure: Failure, parts: &Parts, body: ClientBody) -> Rejection {
    // A client that sent `Expect` waits for `100 Continue`, and reading the body would send that.
    let awaits_continue = parts.headers.contains_key(EXPECT);
    let was_read = match body {
        ClientBody::Unread(body) => !awaits_continue && request::discard_body(body).await,
        ClientBody::Read(_) => true,
    };
    Rejection { failure, close_connection: !was_read }
}

/// Rejects a request after reading only its head.
pub async fn reject_unread(incoming: http::Request<Incoming>) -> Rejection {
    let (parts, body) = incoming.into_parts();
    reject(Failure::Unavailable(RETRY_AFTER_MS), &parts, ClientBody::Unread(body)).await
}

/// Waits until the router is ready or `deadline_ms` has passed.
async fn wait_until_ready(state: &State, deadline_ms: u64) {
    let ordering = Ordering::Relaxed;
    while !state.ready.load(ordering) && clock::now() < deadline_ms {
        time::sleep(Duration::from_millis(READY_POLL_MS)).await;
    }
}

/// Reads the body of a request that arrived before the first configuration, then waits for the configuration.
pub async fn read_during_startup(
    state: &State,
    parts: &Parts,
    body: Incoming,
    received_at_ms: u64,
) -> Result<Bytes, Rejection> {
    let limits = BodyLimits {
        max_bytes: STARTUP_MAX_BODY_BYTES,
        idle_ms: STARTUP_WAIT_MS,
        deadline_ms: request::deadline_ms(&parts.headers, received_at_ms, STARTUP_BODY_TIMEOUT_MS),
    };
    let body = read_body(body, &limits, state.memory.reservation(Purpose::RequestBodies)).await?;
    let time_budget_ms = request::parse_number(&parts.headers, TIME_BUDGET).unwrap_or(STARTUP_WAIT_MS);
    let wait_ms = (time_budget_ms / STARTUP_WAIT_DIVISOR).min(STARTUP_WAIT_MS);
    wait_until_ready(state, received_at_ms + wait_ms).await;
    Ok(body)
}

/// Returns the limits of a body. It must arrive before the deadline of its request, since nothing could be done with it
/// later.
pub fn body_limits(table: &RoutingTable, route: &Route, parts: &Parts, received_at_ms: u64) -> BodyLimits {
    BodyLimits {
        max_bytes: table.body_bytes,
        idle_ms: table.idle_ms,
        deadline_ms: request::deadline_ms(&parts.headers, received_at_ms, route.timeout_ms),
    }
}

/// Returns the complete body, subject to the limits of the routing table that authorized the request.
pub async fn read_within_limits(state: &State, body: ClientBody, limits: &BodyLimits) -> Result<Bytes, Rejection> {
    match body {
        ClientBody::Unread(body) => {
            Ok(read_body(body, limits, state.memory.reservation(Purpose::RequestBodies)).await?)
        }
        ClientBody::Read(body) if body.len() <= limits.max_bytes => Ok(body),
        ClientBody::Read(_) => Err(Failure::BodyTooLarge.into()),
    }
}
