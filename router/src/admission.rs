//! A request's entry: read, checked, and sent on its way.

/// Reads, checks and carries one request; always gives an answer.
pub async fn serve(
    state: std::sync::Arc<crate::state::State>,
    incoming: http::Request<hyper::body::Incoming>,
    look: &crate::frames::Look,
) -> http::Response<crate::failure::Body> {
    let leaving = state.leaving();
    if look.both() {
        return crate::failure::write(crate::failure::Failure::Malformed, leaving);
    }
    let entered = enter(&state, incoming).await;
    look.arm();
    match entered {
        Ok(exchange) => match crate::relay::answer(exchange).await {
            Ok(reply) => reply,
            Err(failure) => crate::failure::write(failure, state.leaving()),
        },
        Err(failure) => crate::failure::write(failure, leaving),
    }
}

/// Bounds for a request that comes before the first configuration is known.
const EARLY_BYTES: usize = 8 * 1024 * 1024;
const EARLY_MS: u64 = 1000;

/// Until this daemon is ready, or `end`.
async fn starting(state: &crate::state::State, end: u64) {
    let order = std::sync::atomic::Ordering::Relaxed;
    while !state.ready.load(order) && kernel::clock::now() < end {
        tokio::time::sleep(std::time::Duration::from_millis(15)).await;
    }
}

/// The refusal of a request whose route needs a key, and whose key is not known here. Its body, where that has not
/// been read yet, is read and thrown away, so that the next request on the connection is found where it begins.
async fn refuse_key(parts: &http::request::Parts, body: Option<hyper::body::Incoming>) -> crate::failure::Failure {
    // A client that asks before it sends its body is not told to send it.
    let asks = parts.headers.contains_key(http::header::EXPECT);
    let read = match body {
        Some(body) => !asks && crate::request::discard(body).await,
        None => true,
    };
    crate::failure::Failure::Unauthorized { ends: !read }
}

async fn enter(
    state: &std::sync::Arc<crate::state::State>,
    incoming: http::Request<hyper::body::Incoming>,
) -> Result<crate::exchange::Exchange, crate::failure::Failure> {
    let born = kernel::clock::now();
    let (parts, body) = incoming.into_parts();
    if !crate::request::sound(&parts.headers) {
        return Err(crate::failure::Failure::Malformed);
    }
    let mut body = Some(body);
    let mut whole = None;
    if !state.ready.load(std::sync::atomic::Ordering::Relaxed) {
        // Just started: what is needed comes within moments. The body is read meanwhile.
        let early = body.take().ok_or(crate::failure::Failure::Malformed)?;
        whole = Some(crate::request::body(early, EARLY_BYTES, EARLY_MS).await?);
        let wait = crate::request::number(&parts.headers, wire::word::BUDGET).unwrap_or(EARLY_MS) / 3;
        starting(state, born + wait.min(EARLY_MS)).await;
    }
    let table = state.table();
    if table.revision == 0 {
        return Err(crate::failure::Failure::Refused(300));
    }
    if !table.seen.swap(true, std::sync::atomic::Ordering::Relaxed) {
        kernel::say!(crate::event::FIRST, "revision" => table.revision);
    }
    let host = parts.headers.get(http::header::HOST).and_then(|value| value.to_str().ok()).unwrap_or("");
    let Some(route) = table.find(host, parts.uri.path()) else {
        return Err(crate::failure::Failure::NoRoute);
    };
    let key = crate::authorization::key(&parts.headers);
    let Ok(authorization) = crate::authorization::Authorization::grant(&table, route, key) else {
        return Err(refuse_key(&parts, body).await);
    };
    let order = std::sync::atomic::Ordering::Relaxed;
    let room = (state.env.limits.memory_mb as usize) << 18;
    if state.held.load(order) > room {
        return Err(crate::failure::Failure::Refused(250));
    }
    let body = match (whole, body) {
        (Some(whole), _) if whole.len() <= table.body_bytes => whole,
        (None, Some(body)) => crate::request::body(body, table.body_bytes, table.idle_ms).await?,
        _ => return Err(crate::failure::Failure::TooLarge),
    };
    let service = {
        let mut dice = state.dice.lock().expect("dice");
        crate::table::split(&route.targets, dice.roll())
    };
    let request = crate::request::Request::make(parts, body, route, authorization, u64::from(service), born);
    state.open.fetch_add(1, order);
    state.held.fetch_add(request.body.len(), order);
    state.budget.lock().expect("budget").errand(service, born);
    let (homes, priority) = (request.authorization.homes(), request.authorization.priority());
    Ok(crate::exchange::Exchange {
        closed_zones: crate::plan::closed_zones(state, homes),
        route: route.name.clone(),
        pinned_version: None,
        state: state.clone(),
        request,
        kind: route.kind,
        repeatable: route.repeatable(),
        max_sends: route.tries,
        target_ms: route.target_ms.max(1),
        priority,
        service,
        service_config: table.services.get(&service).cloned().unwrap_or_default(),
        prefix_owners: Vec::new(),
        sends: 0,
        arrived: false,
        may_have_run: false,
        tried: Vec::new(),
        in_flight: Vec::new(),
        kv_handle: None,
    })
}
