//! Where clients and the platform come in.

/// Descriptors: some are reserved, the rest is shared by clients and engines.
fn room(env: &kernel::env::Env) -> usize {
    (env.limits.fd_limit.saturating_sub(200) / 2).max(16) as usize
}

pub async fn readiness(state: std::sync::Arc<crate::state::State>) {
    let Some(addr) = state.env.bind_addresses.readiness.clone() else { return };
    serve(&addr, 64, |stream| {
        let state = state.clone();
        async move {
            let service = hyper::service::service_fn(move |_: http::Request<hyper::body::Incoming>| {
                let order = std::sync::atomic::Ordering::Relaxed;
                let good = state.ready.load(order) && !state.leaving();
                async move {
                    let mut reply = http::Response::new(http_body_util::Empty::<bytes::Bytes>::new());
                    *reply.status_mut() =
                        if good { http::StatusCode::OK } else { http::StatusCode::SERVICE_UNAVAILABLE };
                    Ok::<_, std::convert::Infallible>(reply)
                }
            });
            let io = hyper_util::rt::TokioIo::new(stream);
            let _ = hyper::server::conn::http1::Builder::new().serve_connection(io, service).await;
        }
    })
    .await;
}

pub async fn frontend(state: std::sync::Arc<crate::state::State>) {
    let Some(addr) = state.env.bind_addresses.frontend.clone() else { return };
    let room = room(&state.env);
    serve(&addr, room, |stream| client(state.clone(), stream)).await;
}

/// Accepts for ever; over `room` connections at once the next waits in the kernel's queue.
async fn serve<F: std::future::Future<Output = ()> + Send + 'static>(
    addr: &str,
    room: usize,
    each: impl Fn(tokio::net::TcpStream) -> F,
) {
    let places = std::sync::Arc::new(tokio::sync::Semaphore::new(room));
    let pause = std::time::Duration::from_millis(100);
    loop {
        let Ok(listener) = wire::sock::listen(addr) else {
            tokio::time::sleep(pause).await;
            continue;
        };
        loop {
            let Ok(place) = places.clone().acquire_owned().await else { return };
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(pause).await;
                continue;
            };
            let work = each(stream);
            tokio::spawn(async move {
                work.await;
                drop(place);
            });
        }
    }
}

/// Serves one client's connection until it ends.
pub async fn client(state: std::sync::Arc<crate::state::State>, stream: tokio::net::TcpStream) {
    wire::sock::tune(&stream, 10_000);
    let table = state.table();
    let look = crate::frames::Look::new();
    let io = hyper_util::rt::TokioIo::new(crate::frames::Stream::new(stream, look.clone()));
    let inner = state.clone();
    let service = hyper::service::service_fn(move |request| {
        let (state, look) = (inner.clone(), look.clone());
        async move { Ok::<_, std::convert::Infallible>(crate::admission::serve(state, request, &look).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(hyper_util::rt::TokioTimer::new());
    builder.keep_alive(true).max_buf_size(table.header_bytes.max(16 * 1024) + 64 * 1024);
    // Also bounds how long a kept connection may stay idle.
    let wait = table.idle_ms.max(table.header_ms).max(1000);
    builder.header_read_timeout(std::time::Duration::from_millis(wait));
    if table.header_bytes > 0 {
        builder.max_header_size(table.header_bytes);
    }
    let conn = builder.serve_connection(io, service);
    tokio::pin!(conn);
    let mut beat = tokio::time::interval(std::time::Duration::from_millis(1000));
    let mut told = 0;
    loop {
        tokio::select! {
            _ = conn.as_mut() => return,
            _ = beat.tick() => {
                // Leaving: a connection without a request is ended once the platform has seen it.
                if state.leaving() {
                    told += 1;
                }
                if told == 3 {
                    conn.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
