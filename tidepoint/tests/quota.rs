//! Rate limits of tenants, with a real controller and router, a fake engine, and clients that send far above the limit.

use std::path::Path;
use std::sync::Arc;
use std::time::Instant;
use std::{fs, process, thread};

use controller::startup;
use kernel::settings::{parse, Settings};
use kernel::signal;
use serde_json::Value;
use tokio::runtime::{Builder, Runtime};

#[allow(dead_code)] // Each test uses only some of the fakes.
mod stand;

const FRONTEND: &str = "127.0.75.1:7801";
const READINESS: &str = "127.0.75.1:7802";
const CONTROL: &str = "127.0.75.1:7803";
const PLATFORM: &str = "127.0.75.9:7800";
const RATE_PER_S: f64 = 20.0;
const BURST: f64 = 10.0;

fn settings(name: &str, data: Option<&Path>) -> Settings {
    let data = data.map_or(String::new(), |dir| format!("data_dir = {dir:?}\n"));
    let text = format!(
        "node_name = \"{name}\"\nip = \"127.0.75.1\"\nzone = \"a\"\ninternal_ports = [7810, 7815]\n\
         seed_peers = [\"{CONTROL}\"]\nbootstrap = true\nquorum_member = true\n{data}[zones]\na = \"r\"\n\
         [bind_addresses]\nfrontend = \"{FRONTEND}\"\nreadiness = \"{READINESS}\"\ncontrol_plane = \"{CONTROL}\"\n\
         [limits]\nmemory_mb = 260\nfd_limit = 4000\ndisk_mb = 64\n[bounds]\nlease_ms = 400\nbudget_slack = 20.0\n\
         [cloud_api]\naddress = \"{PLATFORM}\"\nrate_per_s = 200.0\n"
    );
    parse(&text).expect("valid settings")
}

fn config() -> String {
    let tenant = |name: &str, key: &str, rate_per_s: f64| serde_json::json!({"name": name, "api_keys": [key], "rate_per_s": rate_per_s, "burst_size": BURST});
    serde_json::json!({"revision": 5,
        "route_table": [{"name": "r", "hostname": "h.example", "path_prefix": "/x/", "route_type": "streaming",
            "timeout_ms": 4000, "target_ms": 400, "service": "s", "retry_count": 2}],
        "service_table": [{"name": "s", "max_connections": 60, "engine": {"slot_count": 8, "kv_hold_s": 5.0,
            "kv_capacity": 1000, "kv_token_bytes": 10, "link_mbps": 10.0}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
        "tenant_table": [tenant("limited", "k1", RATE_PER_S), tenant("free", "k2", 0.0)]})
    .to_string()
}

fn request_text(attempt: &str, key: &str) -> String {
    let fields = format!(
        "Host: h.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 150,8\r\nTime-Budget: 4000\r\n\
         Authorization: Bearer {key}\r\n"
    );
    stand::request("POST", "/x/1", &fields, "hello")
}

fn status(head: &stand::HttpMessage) -> &str {
    head.start_line.split(' ').nth(1).unwrap_or("")
}

fn start_daemon(run: impl FnOnce(&Runtime) + Send + 'static) {
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
        run(&runtime);
    });
}

/// Returns how many requests of the limited tenant the engine ran.
fn engine_runs(cluster: &stand::FakeCluster) -> usize {
    let seen = cluster.seen.lock().expect("seen");
    seen.iter().filter(|seen| seen.stage == "decode" && seen.values("tenant") == ["limited"]).count()
}

/// Number of concurrent clients. On a busy machine a single one would not get far over the limit.
const CLIENTS: u32 = 6;

/// Counts of the responses to clients.
#[derive(Clone, Copy, Default)]
struct Answers {
    served: u32,
    refused: u32,
}

impl Answers {
    fn add(self, other: Answers) -> Answers {
        Answers { served: self.served + other.served, refused: self.refused + other.refused }
    }
}

/// Sends one request after another for 3 s.
fn send_continuously(client: u32, started: Instant) -> Answers {
    let mut answers = Answers::default();
    for number in 0.. {
        if started.elapsed().as_secs_f64() >= 3.0 {
            break;
        }
        let reply = stand::call(FRONTEND, &request_text(&format!("a{client}-{number}"), "k1")).expect("a response");
        match status(&reply) {
            "200" => answers.served += 1,
            "429" => {
                answers.refused += 1;
                assert!(reply.header("retry-after").parse::<f64>().is_ok_and(|wait| wait > 0.0));
            }
            other => panic!("{other}"),
        }
    }
    answers
}

#[test]
fn tenant_far_over_its_limit_is_served_at_the_limit() {
    let cluster = Arc::new(stand::FakeCluster::default());
    stand::start_platform(cluster.clone(), PLATFORM);
    stand::start_engine(cluster.clone(), "i-make", "127.0.75.3:7820", "decode");
    let dir = std::env::temp_dir().join(format!("tidepoint-quota-{}", process::id()));
    let _ = fs::remove_dir_all(&dir);
    let controller = settings("k", Some(&dir));
    start_daemon(move |runtime| {
        runtime.block_on(async { startup::run(controller, signal::watch()).await });
    });
    start_daemon(|runtime| {
        runtime.block_on(async { router::startup::run(settings("e", None), signal::watch()).await });
    });
    let first = stand::request("PUT", "/config", "Host: c\r\nIf-Match: 0\r\n", &config());
    stand::poll_until(CONTROL, &first, "the configuration", |head| status(head) == "200");
    let ready = stand::request("GET", "/ready", "Host: r\r\n", "");
    stand::poll_until(READINESS, &ready, "the router to be ready", |head| status(head) == "200");
    // Until the controller holds its lease on the shard, the router has only its local allowance.
    stand::poll_until(FRONTEND, &request_text("first", "k1"), "a token", |head| status(head) == "200");

    let (started, runs_before) = (Instant::now(), engine_runs(&cluster));
    let clients: Vec<_> =
        (0..CLIENTS).map(|client| thread::spawn(move || send_continuously(client, started))).collect();
    let answers = clients.into_iter().map(|client| client.join().expect("the client did not panic"));
    let Answers { served, refused } = answers.fold(Answers::default(), Answers::add);
    let total = served + refused;
    let max_served = RATE_PER_S * started.elapsed().as_secs_f64() + BURST + 2.0;
    let min_served = RATE_PER_S * 3.0 * 0.7;
    assert!(
        (min_served..=max_served).contains(&f64::from(served)),
        "{served} of {total}, {min_served} to {max_served}"
    );
    assert!(refused > served, "{refused} of {total}");
    assert_eq!(engine_runs(&cluster) - runs_before, served as usize, "a refused request reached an engine");

    for number in 0..100 {
        let reply = stand::call(FRONTEND, &request_text(&format!("f{number}"), "k2")).expect("a response");
        assert_eq!(status(&reply), "200", "a tenant without a limit is refused");
    }
    let text = stand::request("GET", "/tenants", "Host: c\r\n", "");
    let usage: Value =
        serde_json::from_slice(&stand::call(CONTROL, &text).expect("a response").body).expect("the body is JSON");
    let tenant = &usage["tenants"][0];
    assert_eq!((tenant["name"].as_str(), tenant["rate_per_s"].as_f64()), (Some("limited"), Some(RATE_PER_S)));
    assert!(tenant["granted"].as_u64() >= Some(u64::from(served)) && tenant["denied"].as_u64() > Some(0), "{usage}");
    assert!(!usage.to_string().contains("k1"), "an API key is shown");
    let _ = fs::remove_dir_all(dir);
}
