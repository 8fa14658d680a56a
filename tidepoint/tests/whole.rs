//! The whole system beside stand-ins: a controller, a router, engines, the platform and a client.

use std::net::TcpStream;
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

const DOOR: &str = "127.0.77.1:7801";
const READY: &str = "127.0.77.1:7802";
const CONTROL: &str = "127.0.77.1:7803";
const CLOUD: &str = "127.0.77.9:7800";

fn settings(name: &str, data: Option<String>) -> Settings {
    let data = data.map_or(String::new(), |dir| format!("data_dir = {dir:?}\n"));
    let text = format!(
        "node_name = \"{name}\"\nip = \"127.0.77.1\"\nzone = \"a\"\ninternal_ports = [7810, 7815]\n\
         seed_peers = [\"{CONTROL}\"]\nbootstrap = true\nquorum_member = true\n{data}[zones]\na = \"r\"\n\
         [bind_addresses]\nfrontend = \"{DOOR}\"\nreadiness = \"{READY}\"\ncontrol_plane = \"{CONTROL}\"\n\
         [limits]\nmemory_mb = 260\nfd_limit = 4000\ndisk_mb = 64\n[bounds]\nlease_ms = 400\nbudget_slack = 20.0\n\
         [cloud_api]\naddress = \"{CLOUD}\"\nrate_per_s = 200.0\n"
    );
    parse(&text).expect("good settings")
}

fn start(run: impl FnOnce(&Runtime) + Send + 'static) {
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
        run(&runtime);
    });
}

fn config(revision: u64, timeout: u64) -> String {
    let route = |name: &str, host: &str, kind: &str, resumable: bool| {
        serde_json::json!({"name": name, "hostname": host, "path_prefix": "/x/", "route_type": kind, "timeout_ms": timeout,
            "target_ms": 400, "service": "s", "retry_count": 2, "resumable": resumable, "persistent": true})
    };
    serde_json::json!({"revision": revision,
        "route_table": [route("r-1", "one.example", "streaming", true), route("r-2", "two.example", "streaming", false)],
        "service_table": [{"name": "s", "max_connections": 60,
            "engine": {"slot_count": 8, "kv_hold_s": 5.0, "kv_capacity": 1000, "kv_token_bytes": 10, "link_mbps": 10.0}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
    .to_string()
}

fn put(base: u64, body: &str) -> stand::Head {
    let text = stand::request("PUT", "/config", &format!("Host: c\r\nIf-Match: {base}\r\n"), body);
    stand::call(CONTROL, &text).expect("an answer")
}

fn ask(host: &str, attempt: &str, more: &str) -> String {
    let fields = format!(
        "Host: {host}\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 1460,80\r\nTime-Budget: 4000\r\n\
         Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,{attempt}:250\r\n{more}"
    );
    stand::request("POST", "/x/1", &fields, "hello")
}

fn status(head: &stand::Head) -> &str {
    head.first.split(' ').nth(1).unwrap_or("")
}

#[test]
fn from_a_configuration_to_streams_hand_overs_drains_and_batches() {
    let world = Arc::new(stand::World::default());
    stand::platform(world.clone(), CLOUD);
    stand::engine(world.clone(), "i-read", "127.0.77.2:7820", "prefill");
    stand::engine(world.clone(), "i-make", "127.0.77.3:7820", "decode");
    let dir = std::env::temp_dir().join(format!("tidepoint-whole-{}", process::id()));
    let _ = fs::remove_dir_all(&dir);
    let controller_env = settings("k", Some(dir.to_string_lossy().into_owned()));
    start(move |runtime| {
        runtime.block_on(async { startup::run(controller_env, signal::watch()).await });
    });
    start(|runtime| {
        runtime.block_on(async { router::startup::run(settings("e", None), signal::watch()).await });
    });

    configurations();
    let ready = stand::request("GET", "/ready", "Host: r\r\n", "");
    stand::until(READY, &ready, "the router to be ready", |head| status(head) == "200");
    doors();
    hand_over(&world);
    resumed(&world);
    batches(&world);
    evacuated(&world);
    drained(&world);
    let _ = fs::remove_dir_all(dir);
}

fn configurations() {
    let first = stand::request("PUT", "/config", "Host: c\r\nIf-Match: 0\r\n", &config(5, 4000));
    stand::until(CONTROL, &first, "the first configuration", |head| status(head) == "200");
    assert_eq!(status(&put(0, &config(5, 4000))), "200", "resent unchanged");
    assert_eq!(status(&put(3, &config(8, 4000))), "412", "another version is current");
    assert_eq!(status(&put(5, &config(4, 4000))), "400", "not above the current one");
    let bad = put(5, &config(7, 0));
    assert_eq!(status(&bad), "400");
    assert!(String::from_utf8_lossy(&bad.body).contains("`r-1`: timeout_ms"));
    let change = serde_json::json!({"revision": 9, "upsert": {}, "withdraw": {"route_table": ["r-none"]}}).to_string();
    let text = stand::request("PATCH", "/config", "Host: c\r\nIf-Match: 5\r\n", &change);
    assert_eq!(status(&stand::call(CONTROL, &text).expect("an answer")), "200");
    let held = stand::call(CONTROL, &stand::request("GET", "/config", "Host: c\r\n", "")).expect("an answer");
    let value: Value = serde_json::from_slice(&held.body).expect("whole");
    assert_eq!((value["revision"].as_u64(), value["route_table"].as_array().map(Vec::len)), (Some(9), Some(2)));
}

fn doors() {
    let nowhere = stand::call(DOOR, &ask("none.example", "a0", "")).expect("an answer");
    assert_eq!(status(&nowhere), "404");
    let two = "POST /x/1 HTTP/1.1\r\nHost: one.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x/2 HTTP/1.1\r\nHost: one.example\r\n\r\n";
    let mut stream = TcpStream::connect(DOOR).expect("a door");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
    io::Write::write_all(&mut stream, two.as_bytes()).expect("sent");
    // Both framings: refused, what hides behind is never read as a request, and the connection ends.
    let shape = stand::read(&mut stream).expect("an answer");
    assert_eq!((status(&shape), shape.get("connection")), ("400", "close"));
    assert!(stand::read(&mut stream).is_none(), "nothing hidden is answered");
    let bad = "POST /x/1 HTTP/1.1\r\nHost: one.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n";
    assert_eq!(stand::call(DOOR, bad).map(|head| status(&head).to_string()).as_deref(), Some("400"));
    let wide = stand::request("POST", "/x/1", &format!("Host: one.example\r\nX: {}\r\n", "h".repeat(20_000)), "");
    assert_eq!(stand::call(DOOR, &wide).map(|head| status(&head).to_string()).as_deref(), Some("431"));
    let long = stand::request("POST", "/x/1", "Host: one.example\r\n", &"b".repeat(200_000));
    assert!(stand::call(DOOR, &long).is_none_or(|head| status(&head) == "413"));
}

fn hand_over(world: &stand::World) {
    let reply = stand::until(DOOR, &ask("two.example", "a1", ""), "an answer", |head| status(head) == "200");
    assert_eq!(reply.get("response-seal"), "seal-a1");
    let text = String::from_utf8(reply.body).expect("text");
    assert_eq!(text.matches("data: hello-").count(), 4);
    let seen = world.seen.lock().expect("seen").clone();
    let mine: Vec<_> = seen.iter().filter(|seen| seen.attempt == "a1").collect();
    assert_eq!(mine.iter().map(|seen| seen.stage).collect::<Vec<_>>(), ["read", "make"], "read apart, then made");
    assert!(mine[1].source.starts_with("127.0.77.2:7820/h"), "the memory is handed over: {}", mine[1].source);
    assert!(world.handles.lock().expect("handles").is_empty(), "taken once");
    // An engine that knows no halves runs what it was to read: that is the answer, and the only run.
    let reply = stand::call(DOOR, &ask("two.example", "a2", "X-Whole: 1\r\n")).expect("an answer");
    assert_eq!((status(&reply), reply.get("response-seal")), ("200", "seal-a2"));
    let runs = world.seen.lock().expect("seen").iter().filter(|seen| seen.attempt == "a2").count();
    assert_eq!(runs, 1);
}

fn resumed(world: &Arc<stand::World>) {
    stand::engine(world.clone(), "i-more", "127.0.77.4:7820", "decode");
    let fleet = |attempt: &str| ask("one.example", attempt, "").replace("5c1e07a2", &format!("f{attempt}"));
    let known = || world.seen.lock().expect("seen").iter().any(|seen| seen.engine == "i-more");
    let begun = Instant::now();
    let mut number = 0;
    while !known() && begun.elapsed().as_secs() < 20 {
        number += 1;
        stand::call(DOOR, &fleet(&format!("e{number}")));
    }
    world.breaks.lock().expect("breaks").extend(["i-make".to_string(), "i-more".to_string()]);
    // Both break once: the first stream that meets it goes on behind its last whole event.
    let begun = Instant::now();
    while world.breaks.lock().expect("breaks").len() == 2 && begun.elapsed().as_secs() < 20 {
        number += 1;
        let Some(reply) = stand::call(DOOR, &fleet(&format!("b{number}"))) else { continue };
        let text = String::from_utf8(reply.body).expect("text");
        let ids: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
        assert_eq!(ids, ["1", "2", "3", "4"], "no event lost, none twice");
    }
    world.breaks.lock().expect("breaks").clear();
    let seen = world.seen.lock().expect("seen").clone();
    assert!(seen.iter().any(|seen| seen.last == "2"), "resumed behind the last event passed on");
}

fn batches(world: &stand::World) {
    let jobs: Vec<_> = (0..5).map(|at| serde_json::json!({"name": format!("j{at}"), "hostname": "two.example",
        "path": "/x/9", "headers": {"model": "m", "token-count": "90,5", "prompt-prefix": format!("aa:50,c{at}:40")}, "body": format!("job{at}")})).collect();
    let body = serde_json::json!({"window_s": 25, "jobs": jobs}).to_string();
    let submit = |key: &str, body: &str| {
        let text = stand::request("POST", "/batches", &format!("Host: c\r\nIdempotency-Key: {key}\r\n"), body);
        stand::call(CONTROL, &text).expect("an answer")
    };
    let taken = submit("night-1", &body);
    assert_eq!(status(&taken), "200", "{}", String::from_utf8_lossy(&taken.body));
    let value: Value = serde_json::from_slice(&taken.body).expect("whole");
    let id = value["batch"].as_str().expect("an id").to_string();
    assert_eq!(submit("night-1", &body).body, taken.body, "the same key, the same batch");
    assert_eq!(status(&submit("night-1", &body.replace("job3", "else"))), "409");
    let bad = submit("night-2", &body.replace("two.example", "none.example"));
    assert_eq!(status(&bad), "400");
    assert!(String::from_utf8_lossy(&bad.body).contains("job `j0`"));
    let text = stand::request("GET", &format!("/batches/{id}"), "Host: c\r\n", "");
    stand::until(CONTROL, &text, "the batch to finish", |head| {
        String::from_utf8_lossy(&head.body).contains("\"state\":\"finished\"")
    });
    let text = stand::request("GET", &format!("/batches/{id}/results"), "Host: c\r\n", "");
    let value: Value = serde_json::from_slice(&stand::call(CONTROL, &text).expect("an answer").body).expect("whole");
    let list = value["receipts"].as_array().expect("receipts").clone();
    assert_eq!(list.len(), 5, "each job answered once");
    assert!(list.iter().all(|item| item["outcome"] == "done" && item["status"] == 200), "{list:?}");
    assert!(list[3]["body"].as_str().is_some_and(|body| body.contains("data: job3-4")));
    let runs =
        world.seen.lock().expect("seen").iter().filter(|seen| seen.stage == "make" && seen.attempt.len() == 16).count();
    assert_eq!(runs, 5, "each job run once");
    // Room is bounded, and full storage says when to come back.
    let one = serde_json::json!({"window_s": 5, "jobs": [jobs[0].clone()]}).to_string();
    let full = (0..batch::MAX_BATCHES).map(|at| submit(&format!("more-{at}"), &one)).find(|head| status(head) != "200");
    let full = full.expect("full at last");
    assert_eq!(status(&full), "503");
    assert!(full.get("retry-after").parse::<f64>().is_ok_and(|wait| wait > 0.0));
}

fn evacuated(world: &stand::World) {
    let order = |method: &str, zone: &str| {
        let text = stand::request(method, &format!("/evacuation/{zone}"), "Host: c\r\n", "");
        status(&stand::call(CONTROL, &text).expect("an answer")).to_string()
    };
    assert_eq!(order("POST", "nowhere"), "404");
    assert_eq!(order("POST", "a"), "200");
    assert_eq!(order("POST", "a"), "200", "sent again");
    let count = || world.seen.lock().expect("seen").len();
    let refused = stand::until(DOOR, &ask("two.example", "v1", ""), "the evacuation", |head| status(head) == "503");
    assert!(refused.get("retry-after").parse::<f64>().is_ok_and(|wait| wait > 0.0));
    let before = count();
    for at in 0..5 {
        let reply = stand::call(DOOR, &ask("two.example", &format!("w{at}"), "")).expect("an answer");
        assert_eq!(status(&reply), "503");
    }
    assert_eq!(count(), before, "nothing reaches an evacuated zone");
    assert_eq!(order("DELETE", "a"), "200");
    stand::until(DOOR, &ask("two.example", "x1", ""), "the zone taken back", |head| status(head) == "200");
}

fn drained(world: &stand::World) {
    for item in world.list.lock().expect("list").iter_mut().filter(|item| item["instance_id"] == "i-more") {
        item["oper_state"] = "draining".into();
    }
    // Seen at the router once a poll and a push are over; then it never gets another request.
    let begun = Instant::now();
    let count = || world.seen.lock().expect("seen").iter().filter(|seen| seen.engine == "i-more").count();
    let (mut last, mut since, mut number) = (count(), Instant::now(), 0);
    while since.elapsed().as_millis() < 1500 {
        number += 1;
        stand::call(DOOR, &ask("two.example", &format!("d{number}"), ""));
        if count() > last {
            (last, since) = (count(), Instant::now());
        }
        assert!(begun.elapsed().as_millis() < 4500, "a draining engine still gets requests");
    }
    assert!(number > 20);
}
