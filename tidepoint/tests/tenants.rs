//! Tenants through the real daemons: a controller that takes configurations, a router that serves by them, two engines.

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

#[allow(dead_code)] // Each test uses a part of the stand-ins.
mod stand;

const DOOR: &str = "127.0.76.1:7801";
const READY: &str = "127.0.76.1:7802";
const CONTROL: &str = "127.0.76.1:7803";
const CLOUD: &str = "127.0.76.9:7800";

fn settings(name: &str, data: Option<&Path>) -> Settings {
    let data = data.map_or(String::new(), |dir| format!("data_dir = {dir:?}\n"));
    let text = format!(
        "node_name = \"{name}\"\nip = \"127.0.76.1\"\nzone = \"a\"\ninternal_ports = [7810, 7815]\n\
         seed_peers = [\"{CONTROL}\"]\nbootstrap = true\nquorum_member = true\n{data}[zones]\na = \"r\"\n\
         [bind_addresses]\nfrontend = \"{DOOR}\"\nreadiness = \"{READY}\"\ncontrol_plane = \"{CONTROL}\"\n\
         [limits]\nmemory_mb = 260\nfd_limit = 4000\ndisk_mb = 64\n[bounds]\nlease_ms = 400\nbudget_slack = 20.0\n\
         [cloud_api]\naddress = \"{CLOUD}\"\nrate_per_s = 200.0\n"
    );
    parse(&text).expect("good settings")
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

fn status(head: &stand::Head) -> &str {
    head.first.split(' ').nth(1).unwrap_or("")
}

/// An operator's call: taken sooner or later.
fn change(method: &str, base: u64, body: &Value) {
    let text = stand::request(method, "/config", &format!("Host: c\r\nIf-Match: {base}\r\n"), &body.to_string());
    stand::until(CONTROL, &text, "the configuration", |head| status(head) == "200");
}

fn ask(host: &str, attempt: &str, key: &str) -> String {
    let key = if key.is_empty() { String::new() } else { format!("Authorization: Bearer {key}\r\n") };
    let fields = format!(
        "Host: {host}.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 150,8\r\nTime-Budget: 4000\r\n\
         Prompt-Prefix: ab:100,{attempt}:50\r\nTenant: forged\r\n{key}"
    );
    stand::request("POST", "/x/1", &fields, "hello")
}

#[test]
fn tenants_from_a_configuration_to_a_revoked_key() {
    let world = Arc::new(stand::World::default());
    stand::platform(world.clone(), CLOUD);
    stand::engine(world.clone(), "i-read", "127.0.76.2:7820", "prefill");
    stand::engine(world.clone(), "i-make", "127.0.76.3:7820", "decode");
    let dir = std::env::temp_dir().join(format!("tidepoint-tenants-{}", process::id()));
    let _ = fs::remove_dir_all(&dir);
    let controller = settings("k", Some(&dir));
    start(move |runtime| {
        runtime.block_on(async { startup::run(controller, signal::watch()).await });
    });
    start(|runtime| {
        runtime.block_on(async { router::startup::run(settings("e", None), signal::watch()).await });
    });
    change("PUT", 0, &config());
    let ready = stand::request("GET", "/ready", "Host: r\r\n", "");
    stand::until(READY, &ready, "the router to be ready", |head| status(head) == "200");

    served();
    refused();
    batch_job();
    revoked_and_moved();
    seen_by_engines(&world);
    let _ = fs::remove_dir_all(dir);
}

fn start(run: impl FnOnce(&Runtime) + Send + 'static) {
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
        run(&runtime);
    });
}

fn served() {
    for (host, attempt, key) in
        [("keyed", "a1", "k1"), ("keyed", "a2", "k2"), ("keyed", "b3", "k3"), ("open", "c4", "")]
    {
        let reply = stand::until(DOOR, &ask(host, attempt, key), "an answer", |head| status(head) == "200");
        assert_eq!(reply.get("response-seal"), format!("seal-{attempt}"));
    }
}

fn refused() {
    for key in ["", "k4"] {
        let reply = stand::call(DOOR, &ask("keyed", "d1", key)).expect("an answer");
        assert_eq!((status(&reply), reply.get("www-authenticate")), ("401", "Bearer"));
    }
    let nowhere = stand::call(DOOR, &ask("none", "d2", "k1")).expect("an answer");
    assert_eq!(status(&nowhere), "404");
}

/// A job carries a key among its headers, as any request does.
fn batch_job() {
    let job = |name: &str, headers: Value| serde_json::json!({"name": name, "hostname": "keyed.example", "path": "/x/9", "headers": headers, "body": name});
    let jobs = [
        job("with", serde_json::json!({"Model": "m", "authorization": "Bearer k1"})),
        job("without", serde_json::json!({"Model": "m"})),
    ];
    let body = serde_json::json!({"window_s": 25, "jobs": jobs}).to_string();
    let submit = stand::request("POST", "/batches", "Host: c\r\nIdempotency-Key: night\r\n", &body);
    let taken = stand::until(CONTROL, &submit, "the batch to be taken", |head| status(head) == "200");
    let id = serde_json::from_slice::<Value>(&taken.body).expect("whole")["batch"].clone();
    let results = format!("/batches/{}/results", id.as_str().expect("an id"));
    let ended = |head: &stand::Head| {
        let value: Value = serde_json::from_slice(&head.body).unwrap_or_default();
        value["receipts"].as_array().is_some_and(|list| list.len() == 2)
    };
    let results = stand::until(CONTROL, &stand::request("GET", &results, "Host: c\r\n", ""), "receipts", ended);
    let value: Value = serde_json::from_slice(&results.body).expect("whole");
    let found = |name: &str| value["receipts"].as_array()?.iter().find(|item| item["name"] == name)?["status"].as_u64();
    assert_eq!((found("with"), found("without")), (Some(200), Some(401)), "{value}");
}

/// On one connection that stays open all the while.
fn revoked_and_moved() {
    let mut stream = TcpStream::connect(DOOR).expect("a door");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
    let mut call = |attempt: &str, key: &str| {
        io::Write::write_all(&mut stream, ask("keyed", attempt, key).as_bytes()).expect("sent");
        status(&stand::read(&mut stream).expect("an answer")).to_string()
    };
    assert_eq!(call("e1", "k2"), "200");
    let table = serde_json::json!([tenant("one", &["k1"]), tenant("two", &["k3", "k2"])]);
    change("PATCH", 5, &serde_json::json!({"revision": 9, "upsert": {"tenant_table": table}}));
    change("PATCH", 9, &serde_json::json!({"revision": 12, "withdraw": {"tenant_table": ["one"]}}));
    // The moved key of the first change is known to be in force once the key of the second is not served any more.
    let begun = Instant::now();
    while call("e2", "k1") != "401" {
        assert!(begun.elapsed().as_secs() < 5, "a revoked key is still served");
    }
    assert_eq!((call("f3", "k2"), call("f4", "k3")), ("200".to_string(), "200".to_string()));
}

/// Attempts that begin with these letters are those of a tenant, or nobody's.
const HOLDERS: [(&str, Option<&str>); 5] =
    [("a", Some("one")), ("e", Some("one")), ("b", Some("two")), ("f", Some("two")), ("c", None)];

fn seen_by_engines(world: &stand::World) {
    let seen = world.seen.lock().expect("seen").clone();
    assert!(seen.iter().any(|seen| seen.stage == "read"), "prompts were read apart");
    for seen in &seen {
        assert!(seen.values("authorization").is_empty(), "{seen:?}");
        assert!(!seen.fields.iter().any(|(_, value)| value.contains("Bearer")), "{seen:?}");
        let holder = HOLDERS.iter().find(|(first, _)| seen.attempt.starts_with(first) && seen.attempt.len() == 2);
        // What has an id of its own is the batch's job.
        let expected = holder.map_or(Some("one"), |(_, tenant)| *tenant);
        assert_eq!(seen.values("tenant"), expected.into_iter().collect::<Vec<_>>(), "{seen:?}");
    }
    assert!(!seen.iter().any(|seen| ["d1", "d2"].contains(&seen.attempt.as_str())), "refused, yet an engine has it");
}
