//! A live rollout through the real daemons: three halls, a controller and a router in each, engines with
//! weight versions, clients that go on all the while. A router is killed, a controller lost and a hall frozen
//! midway. Counted at the engines and at the clients.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{fs, process, thread};

use controller::startup;
use daemon::Daemon;
use kernel::settings::{parse, Settings};
use kernel::signal;
use serde_json::Value;

#[path = "stand/daemon.rs"]
mod daemon;
#[allow(dead_code)] // Each test uses a part of the stand-ins.
mod stand;

const HALLS: [&str; 3] = ["a", "b", "c"];

fn settings(net: u8, part: &str, hall: usize, data: Option<String>) -> Settings {
    let data = data.map_or(String::new(), |dir| format!("data_dir = {dir:?}\n"));
    let ip = format!("127.0.{net}.{}", if part == "k" { hall + 1 } else { hall + 11 });
    let seeds: Vec<String> = (1..=3).map(|at| format!("127.0.{net}.{at}:7803")).collect();
    let binds = match part {
        "k" => format!("control_plane = \"{ip}:7803\"\n"),
        _ => format!("frontend = \"{ip}:7801\"\nreadiness = \"{ip}:7802\"\n"),
    };
    let text = format!(
        "node_name = \"{part}-{hall}\"\nip = \"{ip}\"\nzone = \"{}\"\ninternal_ports = [7810, 7815]\n\
         seed_peers = {seeds:?}\nbootstrap = true\nquorum_member = {}\n{data}[zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\n\
         [bind_addresses]\n{binds}[limits]\nmemory_mb = 260\nfd_limit = 4000\ndisk_mb = 64\n\
         [bounds]\nbudget_slack = 2000.0\n[cloud_api]\naddress = \"127.0.{net}.99:7800\"\nrate_per_s = 300.0\n",
        HALLS[hall],
        part == "k"
    );
    parse(&text).expect("good settings")
}

#[derive(Clone, Debug)]
struct Sent {
    attempt: String,
    bound: bool,
    router: usize,
    at: Instant,
    status: String,
    took: Duration,
}

fn config() -> String {
    let route = |name: &str, host: &str| {
        serde_json::json!({"name": name, "hostname": host, "path_prefix": "/x/", "route_type": "streaming",
            "timeout_ms": 8000, "target_ms": 400, "service": "s", "retry_count": 4, "resumable": false, "persistent": true})
    };
    serde_json::json!({"revision": 5, "route_table": [route("bound", "bound.example"), route("free", "free.example")],
        "service_table": [{"name": "s", "max_connections": 600, "engine": {"slot_count": 64, "kv_hold_s": 5.0,
            "kv_capacity": 1000, "kv_token_bytes": 10, "link_mbps": 10.0, "model_list": [{"name": "m"}]}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
    .to_string()
}

struct Play {
    world: Arc<stand::World>,
    sent: Vec<Sent>,
    /// Floors and when each was acknowledged.
    acks: Vec<(u64, Instant)>,
}

const ENGINES: [(&str, &str, &str, &str); 8] = [
    ("i-ra", "21", "prefill", "a"),
    ("i-rb", "22", "prefill", "b"),
    ("i-rc", "23", "prefill", "c"),
    ("i-ma", "31", "decode", "a"),
    ("i-mb", "32", "decode", "b"),
    ("i-mc", "33", "decode", "c"),
    ("i-md", "34", "decode", "a"),
    ("i-me", "35", "decode", "b"),
];

fn status(head: &stand::Head) -> String {
    head.first.split(' ').nth(1).unwrap_or("").to_string()
}

/// `limit`: with the rule, or as a control run without it.
#[allow(clippy::too_many_lines)] // one literal, or one scenario in order
fn play(net: u8, limit: bool) -> Play {
    let world = Arc::new(stand::World::default());
    stand::platform(world.clone(), &format!("127.0.{net}.99:7800"));
    for (id, last, phase, zone) in ENGINES {
        let addr: &'static str = Box::leak(format!("127.0.{net}.{last}:7820").into_boxed_str());
        stand::engine_in(world.clone(), id, addr, phase, zone);
    }
    let dir = std::env::temp_dir().join(format!("tidepoint-rollout-{net}-{}", process::id()));
    let _ = fs::remove_dir_all(&dir);
    let mut controllers: Vec<Daemon> = (0..3)
        .map(|hall| {
            let data = dir.join(HALLS[hall]);
            fs::create_dir_all(&data).expect("a folder");
            let settings = settings(net, "k", hall, Some(data.to_string_lossy().into_owned()));
            Daemon::start(move || startup::run(settings, signal::watch()))
        })
        .collect();
    let mut routers: Vec<Daemon> = (0..3)
        .map(|hall| {
            let settings = settings(net, "e", hall, None);
            Daemon::start(move || router::startup::run(settings, signal::watch()))
        })
        .collect();
    let control = |at: usize| format!("127.0.{net}.{}:7803", at + 1);
    let put = stand::request("PUT", "/config", "Host: c\r\nIf-Match: 0\r\n", &config());
    stand::until(&control(0), &put, "the configuration", |head| status(head) == "200");
    for hall in 0..3 {
        let ready = stand::request("GET", "/ready", "Host: r\r\n", "");
        stand::until(&format!("127.0.{net}.{}:7802", hall + 11), &ready, "a router", |head| status(head) == "200");
    }
    // All engines begin with version 3.
    world.versions.lock().expect("versions").extend(ENGINES.iter().map(|engine| (engine.0.to_string(), 3)));
    let mut acks = Vec::new();
    if limit {
        let body = serde_json::json!({"latest": 3, "lag": 0, "routes": ["bound"]}).to_string();
        let put = stand::request("PUT", "/rollouts/s/m", "Host: c\r\nIf-Match: 0\r\n", &body);
        stand::until(&control(0), &put, "the rule", |head| status(head) == "200");
        acks.push((3, Instant::now()));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (stop, sent) = (stop.clone(), sent.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let (bound, router) = (client % 2 == 0, client / 2);
                    let (host, attempt) = (if bound { "bound" } else { "free" }, format!("{client:x}f{number:x}"));
                    let fields = format!(
                        "Host: {host}.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 900,4\r\n\
                         Time-Budget: 8000\r\nPrompt-Prefix: 5c1e07a2:600,{attempt}:300\r\n"
                    );
                    let at = Instant::now();
                    let call = stand::request("POST", "/x/1", &fields, "hello");
                    let reply = stand::call(&format!("127.0.{net}.{}:7801", router + 11), &call);
                    let status = reply.map_or("none".to_string(), |head| status(&head));
                    let over = status == "none" && router == 2;
                    sent.lock().expect("sent").push(Sent { attempt, bound, router, at, status, took: at.elapsed() });
                    if over {
                        return;
                    }
                }
            })
        })
        .collect();

    let raise = |latest: u64, at: usize, acks: &mut Vec<(u64, Instant)>| {
        if limit {
            let body = serde_json::json!({ "latest": latest }).to_string();
            let post = stand::request("POST", "/rollouts/s/m/latest", "Host: c\r\n", &body);
            stand::until(&control(at), &post, "a raise", |head| status(head) == "200");
        }
        acks.push((latest, Instant::now()));
    };
    let renew = |version: u64, ids: &[&str]| {
        world.versions.lock().expect("versions").extend(ids.iter().map(|id| (id.to_string(), version)));
    };
    let progress = |what: &str, count: usize| {
        let begun = Instant::now();
        let from = sent.lock().expect("sent").len();
        while sent.lock().expect("sent").len() < from + count {
            assert!(begun.elapsed().as_secs() < 30, "no progress: {what}");
            thread::yield_now();
        }
    };
    progress("before", 60);
    // Some engines have the new weights, the others stay behind: past the limit once it is raised.
    renew(4, &["i-ra", "i-rb", "i-ma", "i-mb"]);
    raise(4, 0, &mut acks);
    progress("after the first raise", 120);
    // A router is killed while the next version comes.
    routers[2].kill();
    renew(5, &["i-ra", "i-ma", "i-mc"]);
    raise(5, 1, &mut acks);
    progress("after a router was killed", 120);
    // A hall is frozen, controller and router; the raise is waited out.
    let frozen = [controllers[1].freeze(), routers[1].freeze()];
    renew(6, &["i-ra", "i-rc", "i-mc", "i-md"]);
    raise(6, 0, &mut acks);
    drop(frozen);
    progress("after a hall was frozen", 120);
    // A controller is lost for good.
    controllers[2].kill();
    renew(7, &["i-rc", "i-mc", "i-me"]);
    raise(7, 1, &mut acks);
    progress("after a controller was lost", 120);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    if limit {
        // The state names what is inside and past the limit.
        let get = stand::request("GET", "/rollouts/s/m", "Host: c\r\n", "");
        let state = stand::until(&control(0), &get, "the state", |head| {
            let value: Value = serde_json::from_slice(&head.body).unwrap_or_default();
            value["replicas"]["b"]["decode"] == serde_json::json!({"inside": 1, "past": 1, "unknown": 0})
        });
        let value: Value = serde_json::from_slice(&state.body).expect("whole");
        assert_eq!((value["floor"].as_u64(), value["latest"].as_u64()), (Some(7), Some(7)));
    }
    controllers.iter_mut().chain(routers.iter_mut()).for_each(Daemon::kill);
    let _ = fs::remove_dir_all(dir);
    let sent = sent.lock().expect("sent").clone();
    Play { world, sent, acks }
}

impl Play {
    fn runs(&self, attempt: &str) -> Vec<stand::Seen> {
        let seen = self.world.seen.lock().expect("seen");
        seen.iter().filter(|seen| seen.attempt == attempt && seen.stage == "make").cloned().collect()
    }

    /// Runs on a replica past the limit, of requests sent after the limit was acknowledged.
    fn stale(&self, bound: bool) -> usize {
        let floor = |at: Instant| self.acks.iter().filter(|ack| ack.1 <= at).map(|ack| ack.0).max().unwrap_or(0);
        let mine = self.sent.iter().filter(|sent| sent.bound == bound);
        mine.map(|sent| self.runs(&sent.attempt).iter().filter(|run| run.version < floor(sent.at)).count()).sum()
    }
}

#[test]
fn a_live_rollout_keeps_bound_work_off_replicas_past_the_limit_and_answers_each_request_once() {
    let play = play(78, true);
    assert_eq!(play.stale(true), 0, "no bound request ran past the limit after the acknowledgement");
    assert!(play.stale(false) > 0, "others may go on using old replicas");
    let seen = play.world.seen.lock().expect("seen").clone();
    let last = |attempt: &str| seen.iter().filter(|seen| seen.attempt == attempt && seen.stage == "make").count();
    let mut counts: BTreeMap<(bool, &str), usize> = Default::default();
    for sent in &play.sent {
        *counts.entry((sent.bound, sent.status.as_str())).or_default() += 1;
        let runs = last(&sent.attempt);
        match sent.status.as_str() {
            "200" => {
                assert_eq!(runs, 1, "answered by one run: {sent:?}");
                assert!(sent.took.as_millis() < 8000, "not behind its budget: {sent:?}");
            }
            "503" => assert_eq!(runs, 0, "what was refused never ran: {sent:?}"),
            "none" if sent.router == 2 => assert!(runs <= 1, "lost with its router, and not run twice: {sent:?}"),
            _ => panic!("neither answered nor refused: {sent:?}"),
        }
    }
    let good = |bound| counts.get(&(bound, "200")).copied().unwrap_or(0);
    assert!(good(true) > 100 && good(false) > 100, "{counts:?}");
    let lost: usize = counts.iter().filter(|((_, status), _)| *status == "none").map(|(_, count)| count).sum();
    assert!(lost <= 2, "only what the killed router had in hand: {counts:?}");
    println!("counts {counts:?}, free runs past the limit {}", play.stale(false));
}

#[test]
fn the_control_run_without_the_limit_shows_runs_past_it() {
    assert!(play(79, false).stale(true) > 0, "a check that can't fail shows nothing");
}
