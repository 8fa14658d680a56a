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
use crate::event::FIRST;
use crate::frontend::authorization::{self, Authorization, UnknownKey};
use crate::frontend::drain::Phase;
use crate::frontend::error_response::{self, Body, Failure};
use crate::frontend::framing_check::Look;
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
    look: &Look,
    connection: Connection,
) -> Response<Body> {
    let mut guard = RequestGuard::begin(&state, connection);
    let leaving = state.is_leaving();
    let fail = |failure: Failure, last| (error_response::write(failure, last), failure.into());
    if look.both() {
        let (response, outcome) = fail(Failure::Malformed, leaving);
        return guard.follow(response, outcome);
    }
    let entered = match guard.phase() {
        Phase::Serving | Phase::Draining => enter(&state, incoming).await,
        // Its head came as the router closed: refused early rather than given up late.
        Phase::Closing => Err(refuse_unread(incoming).await),
    };
    look.arm();
    let (response, outcome) = match entered {
        Ok(exchange) => {
            guard.enter(Stage::Forwarding);
            match forward::answer(exchange).await {
                Ok(response) => {
                    let outcome = passed_on(&response);
                    (response, outcome)
                }
                Err(failure) => fail(failure, state.is_leaving()),
            }
        }
        Err(rejection) => fail(rejection.failure, leaving || rejection.ends),
    };
    guard.follow(response, outcome)
}

/// What an engine's answer comes to once it is passed on whole.
fn passed_on(response: &Response<Body>) -> Outcome {
    match response.status().is_success() {
        true => Outcome::Success,
        false => Outcome::EngineFailure,
    }
}

/// Bounds for a request that comes before the first configuration is known.
const EARLY_BYTES: usize = 8 * 1024 * 1024;
const EARLY_MS: u64 = 1000;
/// When to come back where the configuration is not known well enough.
const RETRY_MS: u64 = 300;

/// Until this daemon is ready, or `end`.
async fn starting(state: &State, end: u64) {
    let order = Ordering::Relaxed;
    while !state.ready.load(order) && clock::now() < end {
        time::sleep(Duration::from_millis(15)).await;
    }
}

/// A request that is not let in.
struct Rejection {
    failure: Failure,
    /// Its body was not read to the end: the connection can't go on.
    ends: bool,
}

impl From<Failure> for Rejection {
    fn from(failure: Failure) -> Rejection {
        Rejection { failure, ends: false }
    }
}

/// Rejects a request whose body is not needed. What of it has not been read yet is read and thrown away, so that the
/// next request on the connection is found where it begins.
async fn reject(failure: Failure, parts: &Parts, body: Option<Incoming>) -> Rejection {
    // A client that asks before it sends its body is not told to send it.
    let asks = parts.headers.contains_key(EXPECT);
    let read = match body {
        Some(body) => !asks && request::discard(body).await,
        None => true,
    };
    Rejection { failure, ends: !read }
}

/// Refuses a request of which only the head was looked at.
async fn refuse_unread(incoming: http::Request<Incoming>) -> Rejection {
    let (parts, body) = incoming.into_parts();
    reject(Failure::Refused(RETRY_MS), &parts, Some(body)).await
}

/// What lets a request in: the table of that moment, and the route and tenant that it has for the request.
struct Admitted {
    table: Arc<RoutingTable>,
    authorization: Authorization,
}

/// Judges a request by one table: the route first, since it says whether a key is needed.
fn judge(table: &RoutingTable, parts: &Parts, key: Option<KeyDigest>) -> Result<Authorization, Failure> {
    let host = parts.headers.get(HOST).and_then(|value| value.to_str().ok()).unwrap_or("");
    let route = table.find(host, parts.uri.path()).ok_or(Failure::NoRoute)?;
    let granted = Authorization::grant(table, route, key);
    granted.map_err(|UnknownKey| Failure::Unauthorized)
}

/// Judges a request by the table in force. That there is no such route or no such key is said only by a table that is
/// proved to be current.
async fn admit(state: &State, parts: &Parts) -> Result<Admitted, Failure> {
    let left_ms = request::number(&parts.headers, TIME_BUDGET).unwrap_or(EARLY_MS);
    let key = authorization::key(&parts.headers);
    let accepts = |table: &RoutingTable| judge(table, parts, key).is_ok();
    let table = match freshness::wait_for_table(state, left_ms, accepts).await {
        Ok(table) => table,
        Err(LookupMiss::Unproved) => return Err(Failure::Refused(RETRY_MS)),
        // The proof holds for this table as well: it is the same or a newer one.
        Err(LookupMiss::Certain) => state.table(),
    };
    let authorization = judge(&table, parts, key)?;
    Ok(Admitted { table, authorization })
}

async fn enter(state: &Arc<State>, incoming: http::Request<Incoming>) -> Result<Exchange, Rejection> {
    let born = clock::now();
    let (parts, body) = incoming.into_parts();
    if !request::sound(&parts.headers) {
        return Err(Failure::Malformed.into());
    }
    let mut body = Some(body);
    let mut whole = None;
    if !state.ready.load(Ordering::Relaxed) {
        // Just started: what is needed comes within moments. The body is read meanwhile.
        let early = body.take().ok_or(Failure::Malformed)?;
        whole = Some(request::body(early, EARLY_BYTES, EARLY_MS).await?);
        let wait = request::number(&parts.headers, TIME_BUDGET).unwrap_or(EARLY_MS) / 3;
        starting(state, born + wait.min(EARLY_MS)).await;
    }
    let table = state.table();
    if table.revision == 0 {
        return Err(Failure::Refused(RETRY_MS).into());
    }
    if !table.has_served.swap(true, Ordering::Relaxed) {
        kernel::log_event!(FIRST, "revision" => table.revision);
    }
    let mut admitted = match admit(state, &parts).await {
        Ok(admitted) => admitted,
        Err(failure) => return Err(reject(failure, &parts, body).await),
    };
    let looked_up = clock::now();
    let room = (state.settings.limits.memory_mb as usize) << 18;
    if state.held_body_bytes.load(Ordering::Relaxed) > room {
        return Err(Failure::Refused(250).into());
    }
    let most = admitted.table.body_bytes;
    let body = match (whole, body) {
        (Some(whole), _) if whole.len() <= most => whole,
        (None, Some(body)) => request::body(body, most, admitted.table.idle_ms).await?,
        _ => return Err(Failure::TooLarge.into()),
    };
    if clock::now() > looked_up + state.freshness.budget().lookup_age_ms() {
        // The body came slowly: a newer configuration may send it elsewhere.
        admitted = admit(state, &parts).await?;
    }
    Ok(begin(state, admitted, parts, body, born))
}

/// The exchange of a request that was let in and read.
fn begin(state: &Arc<State>, admitted: Admitted, parts: Parts, body: Bytes, born: u64) -> Exchange {
    let Admitted { table, authorization } = admitted;
    let route = authorization.route().clone();
    let service = {
        let mut dice = state.rng.lock();
        routing_table::pick_weighted(&route.targets, dice.next_u64())
    };
    let request = request::Request::make(parts, body, authorization, u64::from(service), born);
    state.held_body_bytes.fetch_add(request.body.len(), Ordering::Relaxed);
    state.retry_budget.lock().record_request(service, born);
    Exchange {
        closed_zones: plan::closed_zones(state, request.authorization.homes()),
        priority: request.authorization.priority(),
        route: route.name.clone(),
        pinned_version: None,
        state: state.clone(),
        request,
        kind: route.kind,
        repeatable: route.repeatable(),
        max_sends: route.max_attempts,
        target_ms: route.target_ms.max(1),
        service,
        service_config: table.services.get(&service).cloned().unwrap_or_default(),
        prefix_owners: Vec::new(),
        sends: 0,
        arrived: false,
        may_have_run: false,
        tried: Vec::new(),
        in_flight: Vec::new(),
        kv_handle: None,
        arm: Default::default(),
    }
}

#[cfg(test)]
#[path = "admission_tests.rs"]
mod tests;
