//! Where clients and the platform come in.

/// Descriptors: some are reserved, the rest is shared by clients and engines.
fn room(env: &kernel::env::Env) -> usize {
    (env.limits.fd_limit.saturating_sub(200) / 2).max(16) as usize
}

/// Connections that ask for readiness at once.
const READINESS_CONNECTIONS: usize = 64;

pub async fn readiness(state: std::sync::Arc<crate::state::State>) {
    let Some(addr) = state.env.bind_addresses.readiness.clone() else { return };
    wire::sock::accept_each(&addr, READINESS_CONNECTIONS, |stream| {
        let state = state.clone();
        async move {
            let service = hyper::service::service_fn(move |_: http::Request<hyper::body::Incoming>| {
                let order = std::sync::atomic::Ordering::Relaxed;
                let good = state.ready.load(order) && !state.leaving();
                if !good {
                    state.metrics.readiness_checks_failed.inc();
                }
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
    wire::sock::accept_each(&addr, room, |stream| client(state.clone(), stream)).await;
}

/// One client's connection, counted while it is open.
struct OpenConnection(prometheus_client::metrics::gauge::Gauge);

impl OpenConnection {
    fn count(state: &crate::state::State) -> OpenConnection {
        let gauge = state.metrics.connections_open.clone();
        gauge.inc();
        OpenConnection(gauge)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Serves one client's connection until it ends.
pub async fn client(state: std::sync::Arc<crate::state::State>, stream: tokio::net::TcpStream) {
    wire::sock::tune(&stream, 10_000);
    let phase = state.phase();
    state.metrics.connections_accepted.get_or_create(&crate::metrics::InPhase { phase }).inc();
    let _open = OpenConnection::count(&state);
    let table = state.table();
    let look = crate::frames::Look::new();
    let io = hyper_util::rt::TokioIo::new(crate::frames::Stream::new(stream, look.clone()));
    let inner = state.clone();
    let connection = std::cell::Cell::new(crate::metrics::Connection::New);
    let service = hyper::service::service_fn(move |request| {
        let (state, look) = (inner.clone(), look.clone());
        let connection = connection.replace(crate::metrics::Connection::Kept);
        async move { Ok::<_, std::convert::Infallible>(crate::admission::serve(state, request, &look, connection).await) }
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
