//! A request's entry: read, checked, and sent on its way.

use crate::drain::Phase;

/// Reads, checks and carries one request; always gives an answer.
pub async fn serve(
    state: std::sync::Arc<crate::state::State>,
    incoming: http::Request<hyper::body::Incoming>,
    look: &crate::frames::Look,
    connection: crate::metrics::Connection,
) -> http::Response<crate::failure::Body> {
    let mut guard = crate::request_guard::RequestGuard::begin(&state, connection);
    let leaving = state.is_leaving();
    let fail = |failure: crate::failure::Failure, last| (crate::failure::write(failure, last), failure.into());
    if look.both() {
        let (response, outcome) = fail(crate::failure::Failure::Malformed, leaving);
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
            guard.enter(crate::metrics::Stage::Forwarding);
            match crate::relay::answer(exchange).await {
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
fn passed_on(response: &http::Response<crate::failure::Body>) -> crate::metrics::Outcome {
    match response.status().is_success() {
        true => crate::metrics::Outcome::Success,
        false => crate::metrics::Outcome::EngineFailure,
    }
}

/// Bounds for a request that comes before the first configuration is known.
const EARLY_BYTES: usize = 8 * 1024 * 1024;
const EARLY_MS: u64 = 1000;
/// When to come back where the configuration is not known well enough.
const RETRY_MS: u64 = 300;

/// Until this daemon is ready, or `end`.
async fn starting(state: &crate::state::State, end: u64) {
    let order = std::sync::atomic::Ordering::Relaxed;
    while !state.ready.load(order) && kernel::clock::now() < end {
        tokio::time::sleep(std::time::Duration::from_millis(15)).await;
    }
}

/// A request that is not let in.
struct Rejection {
    failure: crate::failure::Failure,
    /// Its body was not read to the end: the connection can't go on.
    ends: bool,
}

impl From<crate::failure::Failure> for Rejection {
    fn from(failure: crate::failure::Failure) -> Rejection {
        Rejection { failure, ends: false }
    }
}

/// Rejects a request whose body is not needed. What of it has not been read yet is read and thrown away, so that the
/// next request on the connection is found where it begins.
async fn reject(
    failure: crate::failure::Failure,
    parts: &http::request::Parts,
    body: Option<hyper::body::Incoming>,
) -> Rejection {
    // A client that asks before it sends its body is not told to send it.
    let asks = parts.headers.contains_key(http::header::EXPECT);
    let read = match body {
        Some(body) => !asks && crate::request::discard(body).await,
        None => true,
    };
    Rejection { failure, ends: !read }
}

/// Refuses a request of which only the head was looked at.
async fn refuse_unread(incoming: http::Request<hyper::body::Incoming>) -> Rejection {
    let (parts, body) = incoming.into_parts();
    reject(crate::failure::Failure::Refused(RETRY_MS), &parts, Some(body)).await
}

/// What lets a request in: the table of that moment, and the route and tenant that it has for the request.
struct Admitted {
    table: std::sync::Arc<crate::table::Table>,
    authorization: crate::authorization::Authorization,
}

/// Judges a request by one table: the route first, since it says whether a key is needed.
fn judge(
    table: &crate::table::Table,
    parts: &http::request::Parts,
    key: Option<crate::tenants::KeyDigest>,
) -> Result<crate::authorization::Authorization, crate::failure::Failure> {
    let host = parts.headers.get(http::header::HOST).and_then(|value| value.to_str().ok()).unwrap_or("");
    let route = table.find(host, parts.uri.path()).ok_or(crate::failure::Failure::NoRoute)?;
    let granted = crate::authorization::Authorization::grant(table, route, key);
    granted.map_err(|crate::authorization::UnknownKey| crate::failure::Failure::Unauthorized)
}

/// Judges a request by the table in force. That there is no such route or no such key is said only by a table that is
/// proved to be current.
async fn admit(state: &crate::state::State, parts: &http::request::Parts) -> Result<Admitted, crate::failure::Failure> {
    let left_ms = crate::request::number(&parts.headers, protocol::word::BUDGET).unwrap_or(EARLY_MS);
    let key = crate::authorization::key(&parts.headers);
    let accepts = |table: &crate::table::Table| judge(table, parts, key).is_ok();
    let table = match crate::currency::table_with(state, left_ms, accepts).await {
        Ok(table) => table,
        Err(crate::currency::Miss::Unproved) => return Err(crate::failure::Failure::Refused(RETRY_MS)),
        // The proof holds for this table as well: it is the same or a newer one.
        Err(crate::currency::Miss::Certain) => state.table(),
    };
    let authorization = judge(&table, parts, key)?;
    Ok(Admitted { table, authorization })
}

async fn enter(
    state: &std::sync::Arc<crate::state::State>,
    incoming: http::Request<hyper::body::Incoming>,
) -> Result<crate::exchange::Exchange, Rejection> {
    let born = kernel::clock::now();
    let (parts, body) = incoming.into_parts();
    if !crate::request::sound(&parts.headers) {
        return Err(crate::failure::Failure::Malformed.into());
    }
    let mut body = Some(body);
    let mut whole = None;
    if !state.ready.load(std::sync::atomic::Ordering::Relaxed) {
        // Just started: what is needed comes within moments. The body is read meanwhile.
        let early = body.take().ok_or(crate::failure::Failure::Malformed)?;
        whole = Some(crate::request::body(early, EARLY_BYTES, EARLY_MS).await?);
        let wait = crate::request::number(&parts.headers, protocol::word::BUDGET).unwrap_or(EARLY_MS) / 3;
        starting(state, born + wait.min(EARLY_MS)).await;
    }
    let table = state.table();
    if table.revision == 0 {
        return Err(crate::failure::Failure::Refused(RETRY_MS).into());
    }
    if !table.seen.swap(true, std::sync::atomic::Ordering::Relaxed) {
        kernel::say!(crate::event::FIRST, "revision" => table.revision);
    }
    let mut admitted = match admit(state, &parts).await {
        Ok(admitted) => admitted,
        Err(failure) => return Err(reject(failure, &parts, body).await),
    };
    let looked_up = kernel::clock::now();
    let room = (state.env.limits.memory_mb as usize) << 18;
    if state.held.load(std::sync::atomic::Ordering::Relaxed) > room {
        return Err(crate::failure::Failure::Refused(250).into());
    }
    let most = admitted.table.body_bytes;
    let body = match (whole, body) {
        (Some(whole), _) if whole.len() <= most => whole,
        (None, Some(body)) => crate::request::body(body, most, admitted.table.idle_ms).await?,
        _ => return Err(crate::failure::Failure::TooLarge.into()),
    };
    if kernel::clock::now() > looked_up + state.currency.budget().lookup_age_ms() {
        // The body came slowly: a newer configuration may send it elsewhere.
        admitted = admit(state, &parts).await?;
    }
    Ok(begin(state, admitted, parts, body, born))
}

/// The exchange of a request that was let in and read.
fn begin(
    state: &std::sync::Arc<crate::state::State>,
    admitted: Admitted,
    parts: http::request::Parts,
    body: bytes::Bytes,
    born: u64,
) -> crate::exchange::Exchange {
    let Admitted { table, authorization } = admitted;
    let route = authorization.route().clone();
    let service = {
        let mut dice = state.dice.lock().expect("dice");
        crate::table::split(&route.targets, dice.roll())
    };
    let request = crate::request::Request::make(parts, body, authorization, u64::from(service), born);
    state.held.fetch_add(request.body.len(), std::sync::atomic::Ordering::Relaxed);
    state.budget.lock().expect("budget").errand(service, born);
    crate::exchange::Exchange {
        closed_zones: crate::plan::closed_zones(state, request.authorization.homes()),
        priority: request.authorization.priority(),
        route: route.name.clone(),
        pinned_version: None,
        state: state.clone(),
        request,
        kind: route.kind,
        repeatable: route.repeatable(),
        max_sends: route.tries,
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
