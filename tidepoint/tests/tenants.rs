//! API keys of tenants, from the configuration to the engines, with a real controller and router and two fake engines.

use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fs, io, process, thread};

use controller::startup;
use kernel::settings::{parse, Settings};
use kernel::signal;
use serde_json::Value;
use tokio::runtime::{Builder, Runtime};

#[allow(dead_code)] // Each test uses only some of the fakes.
mod stand;

const FRONTEND: &str = "127.0.76.1:7801";
const READINESS: &str = "127.0.76.1:7802";
const CONTROL: &str = "127.0.76.1:7803";
const PLATFORM: &str = "127.0.76.9:7800";

fn settings(name: &str, data: Option<&Path>) -> Settings {
    let data = data.map_or(String::new(), |dir| format!("data_dir = {dir:?}\n"));
    let text = format!(
        "node_name = \"{name}\"\nip = \"127.0.76.1\"\nzone = \"a\"\ninternal_ports = [7810, 7815]\n\
         seed_peers = [\"{CONTROL}\"]\nbootstrap = true\nquorum_member = true\n{data}[zones]\na = \"r\"\n\
         [bind_addresses]\nfrontend = \"{FRONTEND}\"\nreadiness = \"{READINESS}\"\ncontrol_plane = \"{CONTROL}\"\n\
         [limits]\nmemory_mb = 260\nfd_limit = 4000\ndisk_mb = 64\n[bounds]\nlease_ms = 400\nbudget_slack = 20.0\n\
         [cloud_api]\naddress = \"{PLATFORM}\"\nrate_per_s = 200.0\n"
    );
    parse(&text).expect("valid settings")
}

fn tenant(name: &str, keys: &[&str]) -> Value {
    serde_json::json!({"name": name, "api_keys": keys, "priority": 1, "rate_per_s": 1000, "burst_size": 1000})
}

fn route(name: &str, anonymous: bool) -> Value {
    serde_json::json!({"name": name, "hostname": format!("{name}.example"), "path_prefix": "/x/",
        "route_type": "streaming", "timeout_ms": 4000, "target_ms": 400, "service": "s", "retry_count": 2,
        "resumable": true, "persistent": true, "anonymous": anonymous})
}

fn config() -> Value {
    serde_json::json!({"revision": 5, "route_table": [route("keyed", false), route("open", true)],
        "service_table": [{"name": "s", "max_connections": 60, "engine": {"slot_count": 8, "kv_hold_s": 5.0,
            "kv_capacity": 1000, "kv_token_bytes": 10, "link_mbps": 10.0}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
        "tenant_table": [tenant("one", &["k1", "k2"]), tenant("two", &["k3"])]})
}

fn status(head: &stand::HttpMessage) -> &str {
    head.start_line.split(' ').nth(1).unwrap_or("")
}

/// Submits a configuration change and repeats it until the controller accepts it.
fn submit_change(method: &str, base: u64, body: &Value) {
    let text = stand::request(method, "/config", &format!("Host: c\r\nIf-Match: {base}\r\n"), &body.to_string());
    stand::poll_until(CONTROL, &text, "the configuration", |head| status(head) == "200");
}

fn request_text(host: &str, attempt: &str, key: &str) -> String {
    let key = if key.is_empty() { String::new() } else { format!("Authorization: Bearer {key}\r\n") };
    let fields = format!(
        "Host: {host}.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 150,8\r\nTime-Budget: 4000\r\n\
         Prompt-Prefix: ab:100,{attempt}:50\r\nTenant: forged\r\n{key}"
    );
    stand::request("POST", "/x/1", &fields, "hello")
}

#[test]
fn api_keys_select_the_tenant_until_they_are_revoked() {
    let cluster = Arc::new(stand::FakeCluster::default());
    stand::start_platform(cluster.clone(), PLATFORM);
    stand::start_engine(cluster.clone(), "i-read", "127.0.76.2:7820", "prefill");
    stand::start_engine(cluster.clone(), "i-make", "127.0.76.3:7820", "decode");
    let dir = std::env::temp_dir().join(format!("tidepoint-tenants-{}", process::id()));
    let _ = fs::remove_dir_all(&dir);
    let controller = settings("k", Some(&dir));
    start_daemon(move |runtime| {
        runtime.block_on(async { startup::run(controller, signal::watch()).await });
    });
    start_daemon(|runtime| {
        runtime.block_on(async { router::startup::run(settings("e", None), signal::watch()).await });
    });
    submit_change("PUT", 0, &config());
    let ready = stand::request("GET", "/ready", "Host: r\r\n", "");
    stand::poll_until(READINESS, &ready, "the router to be ready", |head| status(head) == "200");

    assert_known_keys_served();
    assert_unknown_keys_refused();
    assert_batch_jobs_use_keys();
    assert_revoked_and_moved_keys();
    assert_engines_see_only_tenants(&cluster);
    let _ = fs::remove_dir_all(dir);
}

fn start_daemon(run: impl FnOnce(&Runtime) + Send + 'static) {
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
        run(&runtime);
    });
}

fn assert_known_keys_served() {
    for (host, attempt, key) in
        [("keyed", "a1", "k1"), ("keyed", "a2", "k2"), ("keyed", "b3", "k3"), ("open", "c4", "")]
    {
        let reply =
            stand::poll_until(FRONTEND, &request_text(host, attempt, key), "a response", |head| status(head) == "200");
        assert_eq!(reply.header("response-seal"), format!("seal-{attempt}"));
    }
}

fn assert_unknown_keys_refused() {
    for key in ["", "k4"] {
        let reply = stand::call(FRONTEND, &request_text("keyed", "d1", key)).expect("a response");
        assert_eq!((status(&reply), reply.header("www-authenticate")), ("401", "Bearer"));
    }
    let unknown_route = stand::call(FRONTEND, &request_text("none", "d2", "k1")).expect("a response");
    assert_eq!(status(&unknown_route), "404");
}

/// A batch job authenticates by a key in its headers, as any request does.
fn assert_batch_jobs_use_keys() {
    let job = |name: &str, headers: Value| serde_json::json!({"name": name, "hostname": "keyed.example", "path": "/x/9", "headers": headers, "body": name});
    let jobs = [
        job("with", serde_json::json!({"Model": "m", "authorization": "Bearer k1"})),
        job("without", serde_json::json!({"Model": "m"})),
    ];
    let body = serde_json::json!({"window_s": 25, "jobs": jobs}).to_string();
    let submit = stand::request("POST", "/batches", "Host: c\r\nIdempotency-Key: night\r\n", &body);
    let accepted = stand::poll_until(CONTROL, &submit, "the batch to be accepted", |head| status(head) == "200");
    let id = serde_json::from_slice::<Value>(&accepted.body).expect("the body is JSON")["batch"].clone();
    let results = format!("/batches/{}/results", id.as_str().expect("the batch has an id"));
    let all_receipts_exist = |head: &stand::HttpMessage| {
        let value: Value = serde_json::from_slice(&head.body).unwrap_or_default();
        value["receipts"].as_array().is_some_and(|list| list.len() == 2)
    };
    let results =
        stand::poll_until(CONTROL, &stand::request("GET", &results, "Host: c\r\n", ""), "receipts", all_receipts_exist);
    let value: Value = serde_json::from_slice(&results.body).expect("the body is JSON");
    let found = |name: &str| value["receipts"].as_array()?.iter().find(|item| item["name"] == name)?["status"].as_u64();
    assert_eq!((found("with"), found("without")), (Some(200), Some(401)), "{value}");
}

/// Revoked and moved keys take effect on a connection that stays open.
fn assert_revoked_and_moved_keys() {
    let mut stream = TcpStream::connect(FRONTEND).expect("the frontend accepts");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("the timeout is set");
    let mut call = |attempt: &str, key: &str| {
        io::Write::write_all(&mut stream, request_text("keyed", attempt, key).as_bytes()).expect("the request is sent");
        status(&stand::read(&mut stream).expect("a response")).to_string()
    };
    assert_eq!(call("e1", "k2"), "200");
    let table = serde_json::json!([tenant("one", &["k1"]), tenant("two", &["k3", "k2"])]);
    submit_change("PATCH", 5, &serde_json::json!({"revision": 9, "upsert": {"tenant_table": table}}));
    submit_change("PATCH", 9, &serde_json::json!({"revision": 12, "withdraw": {"tenant_table": ["one"]}}));
    // Changes take effect in order: once the key that the second change revokes is refused, the first is in force too.
    let started = Instant::now();
    while call("e2", "k1") != "401" {
        assert!(started.elapsed().as_secs() < 5, "a revoked key is still served");
    }
    assert_eq!((call("f3", "k2"), call("f4", "k3")), ("200".to_string(), "200".to_string()));
}

/// First letter of the attempt id, and the tenant of these attempts, if any.
const TENANT_BY_ATTEMPT: [(&str, Option<&str>); 5] =
    [("a", Some("one")), ("e", Some("one")), ("b", Some("two")), ("f", Some("two")), ("c", None)];

fn assert_engines_see_only_tenants(cluster: &stand::FakeCluster) {
    let seen = cluster.seen.lock().expect("seen").clone();
    assert!(seen.iter().any(|seen| seen.stage == "prefill"), "no engine got a separate prefill request");
    for seen in &seen {
        assert!(seen.values("authorization").is_empty(), "{seen:?}");
        assert!(!seen.fields.iter().any(|(_, value)| value.contains("Bearer")), "{seen:?}");
        let expected_tenant =
            TENANT_BY_ATTEMPT.iter().find(|(first, _)| seen.attempt.starts_with(first) && seen.attempt.len() == 2);
        // Other attempt ids are generated for the batch job, which uses a key of tenant `one`.
        let expected = expected_tenant.map_or(Some("one"), |(_, tenant)| *tenant);
        assert_eq!(seen.values("tenant"), expected.into_iter().collect::<Vec<_>>(), "{seen:?}");
    }
    assert!(
        !seen.iter().any(|seen| ["d1", "d2"].contains(&seen.attempt.as_str())),
        "a refused request reached an engine"
    );
}
