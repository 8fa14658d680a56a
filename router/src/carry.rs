//! A request's entry: read, checked, and sent on its way.

/// Reads, checks and carries one request; always gives an answer.
pub async fn serve(
    yard: std::sync::Arc<crate::yard::Yard>,
    request: http::Request<hyper::body::Incoming>,
    look: &crate::frames::Look,
) -> http::Response<crate::receipt::Body> {
    let leaving = yard.leaving();
    if look.both() {
        return crate::receipt::write(crate::receipt::Receipt::Malformed, leaving);
    }
    let entered = enter(&yard, request).await;
    look.arm();
    match entered {
        Ok(trip) => match crate::relay::go(trip).await {
            Ok(reply) => reply,
            Err(receipt) => crate::receipt::write(receipt, yard.leaving()),
        },
        Err(receipt) => crate::receipt::write(receipt, leaving),
    }
}

/// Bounds for a request that comes before the first configuration is known.
const EARLY_BYTES: usize = 8 * 1024 * 1024;
const EARLY_MS: u64 = 1000;

/// Until this daemon is ready, or `end`.
async fn starting(yard: &crate::yard::Yard, end: u64) {
    let order = std::sync::atomic::Ordering::Relaxed;
    while !yard.ready.load(order) && kernel::clock::now() < end {
        tokio::time::sleep(std::time::Duration::from_millis(15)).await;
    }
}

async fn enter(
    yard: &std::sync::Arc<crate::yard::Yard>,
    request: http::Request<hyper::body::Incoming>,
) -> Result<crate::trip::Trip, crate::receipt::Receipt> {
    let born = kernel::clock::now();
    let (parts, body) = request.into_parts();
    if !crate::errand::sound(&parts.headers) {
        return Err(crate::receipt::Receipt::Malformed);
    }
    let mut body = Some(body);
    let mut whole = None;
    if !yard.ready.load(std::sync::atomic::Ordering::Relaxed) {
        // Just started: what is needed comes within moments. The body is read meanwhile.
        let early = body.take().ok_or(crate::receipt::Receipt::Malformed)?;
        whole = Some(crate::errand::body(early, EARLY_BYTES, EARLY_MS).await?);
        let wait = crate::errand::number(&parts.headers, wire::word::BUDGET).unwrap_or(EARLY_MS) / 3;
        starting(yard, born + wait.min(EARLY_MS)).await;
    }
    let table = yard.table();
    if table.revision == 0 {
        return Err(crate::receipt::Receipt::Refused(300));
    }
    if !table.seen.swap(true, std::sync::atomic::Ordering::Relaxed) {
        kernel::say!(crate::event::FIRST, "revision" => table.revision);
    }
    let host = parts.headers.get(http::header::HOST).and_then(|value| value.to_str().ok()).unwrap_or("");
    let Some(route) = table.find(host, parts.uri.path()) else {
        return Err(crate::receipt::Receipt::NoRoute);
    };
    let order = std::sync::atomic::Ordering::Relaxed;
    let room = (yard.env.limits.memory_mb as usize) << 18;
    if yard.held.load(order) > room {
        return Err(crate::receipt::Receipt::Refused(250));
    }
    let body = match (whole, body) {
        (Some(whole), _) if whole.len() <= table.body_bytes => whole,
        (None, Some(body)) => crate::errand::body(body, table.body_bytes, table.idle_ms).await?,
        _ => return Err(crate::receipt::Receipt::TooLarge),
    };
    let service = {
        let mut dice = yard.dice.lock().expect("dice");
        crate::table::split(&route.targets, dice.roll())
    };
    let errand = crate::errand::Errand::make(parts, body, route, u64::from(service), born);
    yard.open.fetch_add(1, order);
    yard.held.fetch_add(errand.body.len(), order);
    yard.budget.lock().expect("budget").errand(service, born);
    Ok(crate::trip::Trip {
        shut: crate::plan::shut(yard, &route.homes),
        route: route.name.clone(),
        exact: None,
        yard: yard.clone(),
        errand,
        kind: route.kind,
        repeatable: route.repeatable(),
        tries: route.tries,
        target_ms: route.target_ms.max(1),
        priority: route.priority,
        service,
        spec: table.services.get(&service).cloned().unwrap_or_default(),
        held: Vec::new(),
        sends: 0,
        arrived: false,
        ran: false,
        tried: Vec::new(),
        seats: Vec::new(),
        handle: None,
    })
}
