//! The router's listeners for client connections and for the platform's readiness checks.

use std::cell::Cell;
use std::convert::Infallible;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service;
use hyper_util::rt::TokioIo;
use ingress::{http_server, ConnectionLimits};
use prometheus_client::metrics::gauge::Gauge;
use protocol::socket;
use tokio::net::TcpStream;

use crate::config::routing_table::RoutingTable;
use crate::frontend::admission;
use crate::frontend::close_delimited::{self, RequestKind, ResettableStream, ResponseProgress};
use crate::frontend::drain::DrainPhase;
use crate::frontend::framing_check::{FramingMonitor, MonitoredStream};
use crate::metrics::{Connection, PhaseLabels};
use crate::state::State;

/// Maximum number of concurrent connections for readiness checks.
const MAX_READINESS_CONNECTIONS: usize = 64;
/// How long sent data may stay unacknowledged before the connection to a client is dropped, in milliseconds.
const CLIENT_TIMEOUT_MS: u64 = 10_000;
/// Maximum size of a request head until the first configuration arrives with the configured limit, in bytes.
const STARTUP_HEAD_BYTES: usize = 64 * 1024;
/// Minimum idle timeout of a keep-alive connection, whatever is configured, in milliseconds.
const MIN_IDLE_TIMEOUT_MS: u64 = 1000;

/// Serves the platform's readiness checks until the process exits.
pub async fn serve_readiness(state: Arc<State>) {
    let Some(address) = state.settings.bind_addresses.readiness.clone() else { return };
    socket::accept_each(&address, MAX_READINESS_CONNECTIONS, |stream| answer_readiness(state.clone(), stream)).await;
}

/// Answers the readiness checks of one connection: 200 while the router is ready, else 503.
async fn answer_readiness(state: Arc<State>, stream: TcpStream) {
    let service = service::service_fn(move |_: Request<Incoming>| {
        let mut response = Response::new(Empty::<Bytes>::new());
        if !state.is_ready() {
            state.metrics.readiness_checks_failed.inc();
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        async move { Ok::<_, Infallible>(response) }
    });
    socket::configure(&stream, CLIENT_TIMEOUT_MS);
    let _ = http_server::default_builder().serve_connection(TokioIo::new(stream), service).await;
}

/// Serves clients until the router closes, then stops listening.
pub async fn serve_frontend(state: Arc<State>) {
    let Some(address) = state.settings.bind_addresses.frontend.clone() else { return };
    let max_connections = ConnectionLimits::new(&state.settings.limits).clients;
    tokio::select! {
        () = socket::accept_each(&address, max_connections, |stream| serve_client(state.clone(), stream)) => {}
        () = state.drain.wait_for_closing() => {}
    }
}

/// Serves a client connection until it ends; a shutdown waits for it.
pub async fn serve_client(state: Arc<State>, stream: TcpStream) {
    state.drain.track_connection(serve_connection(state.clone(), stream)).await;
}

/// Counts a client connection as open until dropped.
struct OpenConnection(Gauge);

impl OpenConnection {
    /// Counts a new connection and returns the guard.
    fn count(state: &State) -> OpenConnection {
        let phase = state.drain.phase();
        state.metrics.connections_accepted.get_or_create(&PhaseLabels { phase }).inc();
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

/// Returns the HTTP settings of a client connection from the configuration in force.
fn http_settings(table: &RoutingTable) -> Builder {
    // hyper also applies this timeout to an idle keep-alive connection.
    let timeout_ms = table.idle_ms.max(table.header_ms).max(MIN_IDLE_TIMEOUT_MS);
    let head_bytes = if table.header_bytes > 0 { table.header_bytes } else { STARTUP_HEAD_BYTES };
    http_server::builder(head_bytes, Duration::from_millis(timeout_ms))
}

/// Serves the requests of a connection, and shuts it down gracefully once the router closes.
async fn serve_connection(state: Arc<State>, stream: TcpStream) {
    socket::configure(&stream, CLIENT_TIMEOUT_MS);
    let _open_connection = OpenConnection::count(&state);
    let framing = FramingMonitor::new();
    let progress = ResponseProgress::default();
    let stream = ResettableStream::new(stream, progress.clone());
    let io = TokioIo::new(MonitoredStream::new(stream, framing.clone(), state.memory.clone()));
    let service_state = state.clone();
    let connection = Cell::new(Connection::New);
    let service = service::service_fn(move |request: Request<Incoming>| {
        let (state, framing, progress) = (service_state.clone(), framing.clone(), progress.clone());
        let connection = connection.replace(Connection::Kept);
        async move {
            let kind = RequestKind::of(&request);
            let response = admission::serve(state, request, &framing, connection).await;
            Ok::<_, Infallible>(close_delimited::reset_unless_complete(&kind, response, &progress))
        }
    });
    let connection_future = http_settings(&state.table()).serve_connection(io, service);
    tokio::pin!(connection_future);
    tokio::select! {
        _ = connection_future.as_mut() => return,
        () = state.drain.wait_for_closing() => connection_future.as_mut().graceful_shutdown(),
    }
    // A request in flight is finished; an idle connection is closed at once.
    let _ = connection_future.await;
}

impl State {
    /// Returns whether a readiness check gets a 200.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && self.drain.phase() == DrainPhase::Serving
    }
}
