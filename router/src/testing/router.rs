//! An in-process router and its clients, on real connections over the loopback interface.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use kernel::{clock, settings};
use protocol::message::EndpointList;
use protocol::socket;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task;

use crate::config::activation;
use crate::frontend::listener;
use crate::state::State;
use crate::testing::engine::Engine;

/// The settings of the router under test.
pub const SETTINGS: &str = r#"
node_name = "edge-1"
ip = "127.0.0.1"
zone = "a"
internal_ports = [7300, 7315]
zones = { a = "r" }
limits = { memory_mb = 256, fd_limit = 1000 }
bounds = { retry_budget = 1.0, budget_slack = 0.0 }
cloud_api = { address = "127.0.0.1:1", rate_per_s = 1.0 }
"#;

/// Returns a ready router with one service and one route of each type to it.
pub fn router(engines: &[Engine]) -> Arc<State> {
    router_holding(engines, 5.0)
}

/// Returns a ready router whose engines hold the KV cache of a prompt for `hold_s` seconds.
pub fn router_holding(engines: &[Engine], hold_s: f64) -> Arc<State> {
    let state = unproved_router(engines, hold_s);
    // Its configuration is the only one in these tests, so it is always current.
    state.freshness.prove(i64::MAX);
    state
}

/// Returns a ready router with these settings.
pub fn router_with(settings: &str, engines: &[Engine]) -> Arc<State> {
    let state = unproved_router_with(settings, engines, 5.0);
    state.freshness.prove(i64::MAX);
    state
}

/// Returns a ready router whose configuration is not proved to be current.
pub fn unproved_router(engines: &[Engine], hold_s: f64) -> Arc<State> {
    unproved_router_with(SETTINGS, engines, hold_s)
}

/// Returns a ready router with these settings, whose configuration is not proved to be current.
pub fn unproved_router_with(settings: &str, engines: &[Engine], hold_s: f64) -> Arc<State> {
    let state = State::new(settings::parse(settings).expect("valid settings"));
    let services = serde_json::json!([{"name": "s", "engine": {"kv_hold_s": hold_s}}]);
    configure(&state, 1, serde_json::json!({"service_table": services}));
    apply_endpoint_list(&state, 1, engines);
    state.ready.store(true, Ordering::Relaxed);
    state
}

/// Applies a full configuration: the default one, with its tables replaced by those in `overrides`.
pub fn configure(state: &State, revision: u64, overrides: Value) {
    let mut config = serde_json::json!({"revision": revision,
        "service_table": [{"name": "s", "engine": {"kv_hold_s": 5.0}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
        "route_table": [route("once", "non_idempotent", false), route("again", "idempotent", false),
            route("stream", "streaming", false), route("resume", "streaming", true)]});
    let (tables, overrides) = (config.as_object_mut().expect("tables"), overrides.as_object().expect("tables").clone());
    tables.extend(overrides);
    activation::apply_document(state, revision, config.to_string().as_bytes());
    assert_eq!(state.table().revision, revision, "the configuration is in force");
}

/// Returns a route as in the default configuration; its path prefix is its name.
pub fn route(name: &str, route_type: &str, resumable: bool) -> Value {
    serde_json::json!({"name": name, "hostname": "h", "path_prefix": format!("/{name}/"), "route_type": route_type,
        "timeout_ms": 20000, "target_ms": 1000, "retry_count": 2, "service": "s", "resumable": resumable})
}

/// Applies an endpoint list with these engines.
pub fn apply_endpoint_list(state: &State, sequence_number: u64, engines: &[Engine]) {
    let list = engines.iter().map(Engine::entry).collect();
    let endpoint_list = EndpointList { zone: "a".into(), term: 1, sequence: sequence_number, engines: list };
    state.engines().update(&endpoint_list, clock::now());
}

/// Serves the clients of a router. Returns the address.
pub fn serve(state: &Arc<State>) -> SocketAddr {
    let listener = socket::listen("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a local address");
    let state = state.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(listener::serve_client(state.clone(), stream));
        }
    });
    address
}

/// A client connection to a router.
pub struct Client(pub TcpStream);

impl Client {
    /// Connects to an address that serves clients. The connection is reset when it is dropped, so that tests with many
    /// connections do not use up the ports of the machine.
    pub async fn connect_to(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).await.expect("connects to the router");
        stream.set_zero_linger().expect("a socket");
        Client(stream)
    }

    /// Connects to a router.
    pub async fn connect(state: &Arc<State>) -> Client {
        let listener = socket::listen("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("local address");
        let state = state.clone();
        tokio::spawn(async move {
            let (stream, _) = listener.accept().await.expect("a client connects");
            listener::serve_client(state, stream).await;
        });
        Client(TcpStream::connect(addr).await.expect("connects to the router"))
    }

    /// Sends text.
    pub async fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.expect("write to the router");
    }

    /// Reads until the router closes the connection.
    pub async fn read_to_end(&mut self) -> String {
        let mut bytes = Vec::new();
        let _ = self.0.read_to_end(&mut bytes).await;
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Reads until `marker` has been received.
    pub async fn read_until(&mut self, marker: &str) -> String {
        let mut bytes = Vec::new();
        while !String::from_utf8_lossy(&bytes).contains(marker) {
            assert_ne!(self.0.read_buf(&mut bytes).await.expect("read from the router"), 0, "closed before {marker:?}");
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// Returns the text of a client's request; `extra_headers` holds additional header lines.
pub fn post(route: &str, attempt: &str, extra_headers: &str) -> String {
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {attempt}\r\nContent-Length: 4\r\n{extra_headers}\r\nbody"
    )
}

/// Sends a request on a new connection, and returns everything received until the connection closes.
pub async fn send_request(state: &Arc<State>, route: &str, attempt: &str, extra_headers: &str) -> String {
    let mut client = Client::connect(state).await;
    client.write(&post(route, attempt, &format!("Connection: close\r\n{extra_headers}"))).await;
    client.read_to_end().await
}

/// Waits until the router has `count` idle connections to engines.
pub async fn wait_for_idle_connections(state: &State, count: usize) {
    while state.connection_pools.ready_count() != count {
        task::yield_now().await;
    }
}

/// Returns the status code of the first response in a text.
pub fn status(text: &str) -> &str {
    text.split(' ').nth(1).unwrap_or("none")
}
