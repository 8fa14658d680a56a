//! A tenant's limit through the real daemons: a controller, a router, an engine, and a client that sends far more.

use std::path::Path;
use std::sync::Arc;
use std::time::Instant;
use std::{fs, process, thread};

use controller::startup;
use kernel::settings::{parse, Settings};
use kernel::signal;
use serde_json::Value;
use tokio::runtime::{Builder, Runtime};

#[allow(dead_code)] // Each test uses a part of the stand-ins.
mod stand;

const DOOR: &str = "127.0.75.1:7801";
const READY: &str = "127.0.75.1:7802";
const CONTROL: &str = "127.0.75.1:7803";
const CLOUD: &str = "127.0.75.9:7800";
const RATE_PER_S: f64 = 20.0;
const BURST: f64 = 10.0;

fn settings(name: &str, data: Option<&Path>) -> Settings {
    let data = data.map_or(String::new(), |dir| format!("data_dir = {dir:?}\n"));
    let text = format!(
        "node_name = \"{name}\"\nip = \"127.0.75.1\"\nzone = \"a\"\ninternal_ports = [7810, 7815]\n\
         seed_peers = [\"{CONTROL}\"]\nbootstrap = true\nquorum_member = true\n{data}[zones]\na = \"r\"\n\
         [bind_addresses]\nfrontend = \"{DOOR}\"\nreadiness = \"{READY}\"\ncontrol_plane = \"{CONTROL}\"\n\
         [limits]\nmemory_mb = 260\nfd_limit = 4000\ndisk_mb = 64\n[bounds]\nlease_ms = 400\nbudget_slack = 20.0\n\
         [cloud_api]\naddress = \"{CLOUD}\"\nrate_per_s = 200.0\n"
    );
    parse(&text).expect("good settings")
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

fn ask(attempt: &str, key: &str) -> String {
    let fields = format!(
        "Host: h.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 150,8\r\nTime-Budget: 4000\r\n\
         Authorization: Bearer {key}\r\n"
    );
    stand::request("POST", "/x/1", &fields, "hello")
}

fn status(head: &stand::Head) -> &str {
    head.first.split(' ').nth(1).unwrap_or("")
}

fn start(run: impl FnOnce(&Runtime) + Send + 'static) {
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
        run(&runtime);
    });
}

/// How many requests of the limited tenant reached the engine.
fn runs(world: &stand::World) -> usize {
    let seen = world.seen.lock().expect("seen");
    seen.iter().filter(|seen| seen.stage == "make" && seen.values("tenant") == ["limited"]).count()
}

/// How many clients ask at once: one alone does not get far over the limit on a busy machine.
const CLIENTS: u32 = 6;

/// What clients were answered.
#[derive(Clone, Copy, Default)]
struct Answers {
    served: u32,
    refused: u32,
}

impl Answers {
    fn plus(self, other: Answers) -> Answers {
        Answers { served: self.served + other.served, refused: self.refused + other.refused }
    }
}

/// Asks for 3 s, one request after the other.
fn ask_without_pause(client: u32, begun: Instant) -> Answers {
    let mut answers = Answers::default();
    for number in 0.. {
        if begun.elapsed().as_secs_f64() >= 3.0 {
            break;
        }
        let reply = stand::call(DOOR, &ask(&format!("a{client}-{number}"), "k1")).expect("an answer");
        match status(&reply) {
            "200" => answers.served += 1,
            "429" => {
                answers.refused += 1;
                assert!(reply.get("retry-after").parse::<f64>().is_ok_and(|wait| wait > 0.0));
            }
            other => panic!("{other}"),
        }
    }
    answers
}

#[test]
fn a_tenant_far_over_its_limit_gets_the_limit_and_no_more() {
    let world = Arc::new(stand::World::default());
    stand::platform(world.clone(), CLOUD);
    stand::engine(world.clone(), "i-make", "127.0.75.3:7820", "decode");
    let dir = std::env::temp_dir().join(format!("tidepoint-quota-{}", process::id()));
    let _ = fs::remove_dir_all(&dir);
    let controller = settings("k", Some(&dir));
    start(move |runtime| {
        runtime.block_on(async { startup::run(controller, signal::watch()).await });
    });
    start(|runtime| {
        runtime.block_on(async { router::startup::run(settings("e", None), signal::watch()).await });
    });
    let first = stand::request("PUT", "/config", "Host: c\r\nIf-Match: 0\r\n", &config());
    stand::until(CONTROL, &first, "the configuration", |head| status(head) == "200");
    let ready = stand::request("GET", "/ready", "Host: r\r\n", "");
    stand::until(READY, &ready, "the router to be ready", |head| status(head) == "200");
    // Until the controller holds its lease on the shard, there is only the router's own allowance.
    stand::until(DOOR, &ask("first", "k1"), "a token", |head| status(head) == "200");

    let (begun, before) = (Instant::now(), runs(&world));
    let clients: Vec<_> = (0..CLIENTS).map(|client| thread::spawn(move || ask_without_pause(client, begun))).collect();
    let answers = clients.into_iter().map(|client| client.join().expect("a client"));
    let Answers { served, refused } = answers.fold(Answers::default(), Answers::plus);
    let number = served + refused;
    let most = RATE_PER_S * begun.elapsed().as_secs_f64() + BURST + 2.0;
    let least = RATE_PER_S * 3.0 * 0.7;
    assert!((least..=most).contains(&f64::from(served)), "{served} of {number}, {least} to {most}");
    assert!(refused > served, "{refused} of {number}");
    assert_eq!(runs(&world) - before, served as usize, "what was refused reached no engine");

    for number in 0..100 {
        let reply = stand::call(DOOR, &ask(&format!("f{number}"), "k2")).expect("an answer");
        assert_eq!(status(&reply), "200", "another tenant is not held up");
    }
    let text = stand::request("GET", "/tenants", "Host: c\r\n", "");
    let usage: Value = serde_json::from_slice(&stand::call(CONTROL, &text).expect("an answer").body).expect("whole");
    let tenant = &usage["tenants"][0];
    assert_eq!((tenant["name"].as_str(), tenant["rate_per_s"].as_f64()), (Some("limited"), Some(RATE_PER_S)));
    assert!(tenant["granted"].as_u64() >= Some(u64::from(served)) && tenant["denied"].as_u64() > Some(0), "{usage}");
    assert!(!usage.to_string().contains("k1"), "keys are never shown");
    let _ = fs::remove_dir_all(dir);
}
