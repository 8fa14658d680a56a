//! A request's entry: read, checked, and sent on its way.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{EXPECT, HOST};
use http::request::Parts;
use http::Response;
use hyper::body::Incoming;
use kernel::clock;
use protocol::headers::TIME_BUDGET;
use tokio::time;

use crate::config::freshness::{self, LookupMiss};
use crate::config::routing_table::{self, RoutingTable};
use crate::config::tenants::KeyDigest;
use crate::event::FIRST_REQUEST;
use crate::frontend::authorization::{self, Authorization, UnknownKey};
use crate::frontend::drain::DrainPhase;
use crate::frontend::error_response::{self, Body, Failure};
use crate::frontend::framing_check::FramingMonitor;
use crate::frontend::request;
use crate::frontend::request_guard::RequestGuard;
use crate::metrics::{Connection, Outcome, Stage};
use crate::proxy::exchange::Exchange;
use crate::proxy::{forward, plan};
use crate::state::State;

/// Reads, checks and carries one request; always gives an answer.
pub async fn serve(
    state: Arc<State>,
    incoming: http::Request<Incoming>,
    framing: &FramingMonitor,
    connection: Connection,
) -> Response<Body> {
    let mut guard = RequestGuard::start(&state, connection);
    let shutting_down = state.is_shutting_down();
    let fail = |failure: Failure, last| (error_response::build(failure, last), failure.into());
    if framing.has_conflicting_framings() {
        let (response, outcome) = fail(Failure::Malformed, shutting_down);
        return guard.track_response(response, outcome);
    }
    let admitted = match guard.phase() {
        DrainPhase::Serving | DrainPhase::Draining => read_and_admit(&state, incoming).await,
        // Its head came as the router closed: refused early rather than given up late.
        DrainPhase::Closing => Err(reject_unread(incoming).await),
    };
    framing.expect_head();
    let (response, outcome) = match admitted {
        Ok(exchange) => {
            guard.advance_to(Stage::Forwarding);
            match forward::forward(exchange).await {
                Ok(response) => {
                    let outcome = forwarded_outcome(&response);
                    (response, outcome)
                }
                Err(failure) => fail(failure, state.is_shutting_down()),
            }
        }
        Err(rejection) => fail(rejection.failure, shutting_down || rejection.close_connection),
    };
    guard.track_response(response, outcome)
}

/// What an engine's answer comes to once it is passed on whole.
fn forwarded_outcome(response: &Response<Body>) -> Outcome {
    match response.status().is_success() {
        true => Outcome::Success,
        false => Outcome::EngineFailure,
    }
}

/// Bounds for a request that comes before the first configuration is known.
const STARTUP_MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
const STARTUP_WAIT_MS: u64 = 1000;
/// When to come back where the configuration is not known well enough.
const RETRY_AFTER_MS: u64 = 300;

/// Until this daemon is ready, or `end`.
async fn wait_until_ready(state: &State, deadline_ms: u64) {
    let ordering = Ordering::Relaxed;
    while !state.ready.load(ordering) && clock::now() < deadline_ms {
        time::sleep(Duration::from_millis(15)).await;
    }
}

/// A request that is not let in.
struct Rejection {
    failure: Failure,
    /// Its body was not read to the end: the connection can't go on.
    close_connection: bool,
}

impl From<Failure> for Rejection {
    fn from(failure: Failure) -> Rejection {
        Rejection { failure, close_connection: false }
    }
}

/// Rejects a request whose body is not needed. What of it has not been read yet is read and thrown away, so that the
/// next request on the connection is found where it begins.
async fn reject(failure: Failure, parts: &Parts, body: Option<Incoming>) -> Rejection {
    // A client that asks before it sends its body is not told to send it.
    let awaits_continue = parts.headers.contains_key(EXPECT);
    let read = match body {
        Some(body) => !awaits_continue && request::discard_body(body).await,
        None => true,
    };
    Rejection { failure, close_connection: !read }
}

/// Refuses a request of which only the head was looked at.
async fn reject_unread(incoming: http::Request<Incoming>) -> Rejection {
    let (parts, body) = incoming.into_parts();
    reject(Failure::Unavailable(RETRY_AFTER_MS), &parts, Some(body)).await
}

/// What lets a request in: the table of that moment, and the route and tenant that it has for the request.
struct Admitted {
    table: Arc<RoutingTable>,
    authorization: Authorization,
}

/// Judges a request by one table: the route first, since it says whether a key is needed.
fn authorize_by(table: &RoutingTable, parts: &Parts, key: Option<KeyDigest>) -> Result<Authorization, Failure> {
    let host = parts.headers.get(HOST).and_then(|value| value.to_str().ok()).unwrap_or("");
    let route = table.find(host, parts.uri.path()).ok_or(Failure::RouteNotFound)?;
    let granted = Authorization::grant(table, route, key);
    granted.map_err(|UnknownKey| Failure::Unauthorized)
}

/// Judges a request by the table in force. That there is no such route or no such key is said only by a table that is
/// proved to be current.
async fn authorize(state: &State, parts: &Parts) -> Result<Admitted, Failure> {
    let time_budget_ms = request::parse_number(&parts.headers, TIME_BUDGET).unwrap_or(STARTUP_WAIT_MS);
    let key = authorization::api_key_digest(&parts.headers);
    let accepts = |table: &RoutingTable| authorize_by(table, parts, key).is_ok();
    let table = match freshness::wait_for_table(state, time_budget_ms, accepts).await {
        Ok(table) => table,
        Err(LookupMiss::Unproved) => return Err(Failure::Unavailable(RETRY_AFTER_MS)),
        // The proof holds for this table as well: it is the same or a newer one.
        Err(LookupMiss::Certain) => state.table(),
    };
    let authorization = authorize_by(&table, parts, key)?;
    Ok(Admitted { table, authorization })
}

async fn read_and_admit(state: &Arc<State>, incoming: http::Request<Incoming>) -> Result<Exchange, Rejection> {
    let received_at_ms = clock::now();
    let (parts, body) = incoming.into_parts();
    if !request::has_unambiguous_framing(&parts.headers) {
        return Err(Failure::Malformed.into());
    }
    let mut body = Some(body);
    let mut early_body = None;
    if !state.ready.load(Ordering::Relaxed) {
        // Just started: what is needed comes within moments. The body is read meanwhile.
        let unread = body.take().ok_or(Failure::Malformed)?;
        early_body = Some(request::read_body(unread, STARTUP_MAX_BODY_BYTES, STARTUP_WAIT_MS).await?);
        let wait = request::parse_number(&parts.headers, TIME_BUDGET).unwrap_or(STARTUP_WAIT_MS) / 3;
        wait_until_ready(state, received_at_ms + wait.min(STARTUP_WAIT_MS)).await;
    }
    let table = state.table();
    if table.revision == 0 {
        return Err(Failure::Unavailable(RETRY_AFTER_MS).into());
    }
    if !table.has_served.swap(true, Ordering::Relaxed) {
        kernel::log_event!(FIRST_REQUEST, "revision" => table.revision);
    }
    let mut admitted = match authorize(state, &parts).await {
        Ok(admitted) => admitted,
        Err(failure) => return Err(reject(failure, &parts, body).await),
    };
    let authorized_at_ms = clock::now();
    let max_held_bytes = (state.settings.limits.memory_mb as usize) << 18;
    if state.held_body_bytes.load(Ordering::Relaxed) > max_held_bytes {
        return Err(Failure::Unavailable(250).into());
    }
    let max_body_bytes = admitted.table.body_bytes;
    let body = match (early_body, body) {
        (Some(early_body), _) if early_body.len() <= max_body_bytes => early_body,
        (None, Some(body)) => request::read_body(body, max_body_bytes, admitted.table.idle_ms).await?,
        _ => return Err(Failure::BodyTooLarge.into()),
    };
    if clock::now() > authorized_at_ms + state.freshness.budget().lookup_age_ms() {
        // The body came slowly: a newer configuration may send it elsewhere.
        admitted = authorize(state, &parts).await?;
    }
    Ok(start_exchange(state, admitted, parts, body, received_at_ms))
}

/// The exchange of a request that was let in and read.
fn start_exchange(state: &Arc<State>, admitted: Admitted, parts: Parts, body: Bytes, received_at_ms: u64) -> Exchange {
    let Admitted { table, authorization } = admitted;
    let route = authorization.route().clone();
    let service = {
        let mut rng = state.rng();
        routing_table::pick_weighted(&route.targets, rng.next_u64())
    };
    let request = request::Request::new(parts, body, authorization, u64::from(service), received_at_ms);
    state.held_body_bytes.fetch_add(request.body.len(), Ordering::Relaxed);
    state.retry_budget().record_request(service, received_at_ms);
    Exchange {
        excluded_zones: plan::excluded_zones(state, request.authorization.allowed_regions()),
        priority: request.authorization.priority(),
        route: route.name.clone(),
        pinned_version: None,
        state: state.clone(),
        request,
        route_type: route.route_type,
        is_repeatable: route.repeatable(),
        max_sends: route.max_attempts,
        target_ms: route.target_ms.max(1),
        service,
        service_config: table.services.get(&service).cloned().unwrap_or_default(),
        prefix_owners: Vec::new(),
        sends: 0,
        reached_engine: false,
        may_have_run: false,
        attempted_engines: Vec::new(),
        in_flight: Vec::new(),
        kv_handle: None,
        variant: Default::default(),
    }
}

#[cfg(test)]
#[path = "admission_tests.rs"]
mod tests;
