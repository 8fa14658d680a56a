//! Request admission: reads a request, authorizes it, and hands it to the proxy.
//!
//! The checks run in this order: framing (a request with ambiguous framing must not be interpreted further),
//! configuration and authorization (so that a ready router buffers no body of an unauthorized request), the body, which
//! is charged to the memory budget as it arrives. Every request gets a response, and a `RequestGuard` counts it from its head to the end of that
//! response.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::Bytes;
use http::header::HOST;
use http::request::Parts;
use http::Response;
use hyper::body::Incoming;
use kernel::clock;
use protocol::headers::TIME_BUDGET;

use crate::config::freshness::{self, LookupMiss};
use crate::config::routing_table::{self, RoutingTable};
use crate::config::tenants::KeyDigest;
use crate::event::FIRST_REQUEST;
use crate::frontend::authorization::{self, Authorization, UnknownKey};
use crate::frontend::client_body::{self, reject, reject_unread, ClientBody, Rejection};
use crate::frontend::drain::DrainPhase;
use crate::frontend::error_response::{self, Body, Failure};
use crate::frontend::framing_check::FramingMonitor;
use crate::frontend::request;
use crate::frontend::request_guard::RequestGuard;
use crate::frontend::request_target::{self, MalformedTarget};
use crate::metrics::{Connection, Outcome, Stage};
use crate::proxy::exchange::Exchange;
use crate::proxy::forward;
use crate::state::State;

/// Reads, admits and forwards one request. Returns the engine's response, or an error response if a step fails.
pub async fn serve(
    state: Arc<State>,
    incoming: http::Request<Incoming>,
    framing: &FramingMonitor,
    connection: Connection,
) -> Response<Body> {
    let mut guard = RequestGuard::start(&state, connection);
    let shutting_down = state.is_shutting_down();
    let fail = |failure: Failure, close_connection| (error_response::build(failure, close_connection), failure.into());
    if framing.is_next_malformed() {
        let (response, outcome) = fail(Failure::Malformed, shutting_down);
        return guard.track_response(response, outcome);
    }
    let admitted = match guard.phase() {
        DrainPhase::Serving | DrainPhase::Draining => read_and_admit(&state, incoming).await,
        // The head arrived while the router was closing: rejected now rather than aborted when the grace period ends.
        DrainPhase::Closing => Err(reject_unread(incoming).await),
    };
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

/// Returns the outcome to record once the engine's response has been forwarded completely.
fn forwarded_outcome(response: &Response<Body>) -> Outcome {
    match response.status().is_success() {
        true => Outcome::Success,
        false => Outcome::EngineFailure,
    }
}

/// Maximum wait for the first configuration, idle timeout of bodies until then, and default time budget of requests, in
/// milliseconds.
pub const STARTUP_WAIT_MS: u64 = 1000;
/// `Retry-After` if the router is closing, or its configuration is missing or may be stale, in milliseconds.
pub const RETRY_AFTER_MS: u64 = 300;
/// The authorization of a request, with the routing table that it is based on.
struct Admitted {
    table: Arc<RoutingTable>,
    authorization: Authorization,
}

/// Authorizes a request against a routing table. The route is looked up first, since it says whether a key is required.
fn authorize_against(table: &RoutingTable, parts: &Parts, key: Option<KeyDigest>) -> Result<Authorization, Failure> {
    let host = parts.headers.get(HOST).and_then(|value| value.to_str().ok()).unwrap_or("");
    let route = table.find(host, parts.uri.path()).ok_or(Failure::RouteNotFound)?;
    let authorization = Authorization::grant(table, route, key);
    authorization.map_err(|UnknownKey| Failure::Unauthorized)
}

/// Authorizes a request against the routing table in force. If it rejects the request, waits for a newer table.
///
/// # Errors
/// `RouteNotFound` or `Unauthorized` if the table is proved to be current; `Unavailable` if it may be stale.
async fn authorize(state: &State, parts: &Parts) -> Result<Admitted, Failure> {
    let time_budget_ms = request::parse_number(&parts.headers, TIME_BUDGET).unwrap_or(STARTUP_WAIT_MS);
    let key = authorization::api_key_digest(&parts.headers);
    let accepts = |table: &RoutingTable| authorize_against(table, parts, key).is_ok();
    let table = match freshness::wait_for_table(state, time_budget_ms, accepts).await {
        Ok(table) => table,
        Err(LookupMiss::Unproved) => return Err(Failure::Unavailable(RETRY_AFTER_MS)),
        // The proof covers this table too: it is the same one or a newer one.
        Err(LookupMiss::Certain) => state.table(),
    };
    let authorization = authorize_against(&table, parts, key)?;
    Ok(Admitted { table, authorization })
}

/// Checks that a configuration is in force, and logs the first request served under it.
fn check_configured(state: &State) -> Result<(), Failure> {
    let table = state.table();
    if table.revision == 0 {
        return Err(Failure::Unavailable(RETRY_AFTER_MS));
    }
    if !table.has_served.swap(true, Ordering::Relaxed) {
        kernel::log_event!(FIRST_REQUEST, "revision" => table.revision);
    }
    Ok(())
}

/// Reads and authorizes a request, and returns the exchange that forwards it.
async fn read_and_admit(state: &Arc<State>, incoming: http::Request<Incoming>) -> Result<Exchange, Rejection> {
    let received_at_ms = clock::now();
    let (mut parts, incoming_body) = incoming.into_parts();
    if !request::has_unambiguous_framing(&parts.headers) || request::hides_end_to_end_header(&parts.headers) {
        return Err(Failure::Malformed.into());
    }
    parts.uri = request_target::origin_form(&parts).map_err(|MalformedTarget| Failure::Malformed)?;
    let body = match state.ready.load(Ordering::Relaxed) {
        true => ClientBody::Unread(incoming_body),
        false => {
            ClientBody::Read(client_body::read_during_startup(state, &parts, incoming_body, received_at_ms).await?)
        }
    };
    check_configured(state)?;
    let mut admitted = match authorize(state, &parts).await {
        Ok(admitted) => admitted,
        Err(failure) => return Err(reject(failure, &parts, body).await),
    };
    let authorized_at_ms = clock::now();
    let limits = client_body::body_limits(&admitted.table, admitted.authorization.route(), &parts, received_at_ms);
    let body = client_body::read_within_limits(state, body, &limits).await?;
    if clock::now() > authorized_at_ms + state.freshness.budget().lookup_age_ms() {
        // The body was slow to arrive, and a newer configuration may route the request differently.
        admitted = authorize(state, &parts).await?;
    }
    Ok(start_exchange(state, admitted, parts, body, received_at_ms))
}

/// Returns the exchange for an admitted request, and records the request in the retry budget.
fn start_exchange(state: &Arc<State>, admitted: Admitted, parts: Parts, body: Bytes, received_at_ms: u64) -> Exchange {
    let Admitted { authorization, .. } = admitted;
    let route = authorization.route().clone();
    let service = {
        let mut rng = state.rng();
        routing_table::pick_weighted(&route.targets, rng.next_u64())
    };
    let request = request::Request::new(parts, body, authorization, u64::from(service), received_at_ms);
    state.retry_budget().record_request(service, received_at_ms);
    Exchange {
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
        prefix_owners: Vec::new(),
        sends: 0,
        reached_engine: false,
        may_have_run: false,
        attempted_engines: Vec::new(),
        in_flight: Vec::new(),
        kv_handle: None,
        variant: Default::default(),
        served_by: Default::default(),
        responded_at_ms: None,
        is_metered: false,
    }
}

#[cfg(test)]
#[path = "admission_tests.rs"]
mod tests;
