//! End-to-end test of a real controller and a real router with fake engines, a fake platform and a client.

use std::net::TcpStream;
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

const FRONTEND: &str = "127.0.77.1:7801";
const READINESS: &str = "127.0.77.1:7802";
const CONTROL: &str = "127.0.77.1:7803";
const PLATFORM: &str = "127.0.77.9:7800";

fn settings(name: &str, data: Option<String>) -> Settings {
    let data = data.map_or(String::new(), |dir| format!("data_dir = {dir:?}\n"));
    let text = format!(
        "node_name = \"{name}\"\nip = \"127.0.77.1\"\nzone = \"a\"\ninternal_ports = [7810, 7815]\n\
         seed_peers = [\"{CONTROL}\"]\nbootstrap = true\nquorum_member = true\n{data}[zones]\na = \"r\"\n\
         [bind_addresses]\nfrontend = \"{FRONTEND}\"\nreadiness = \"{READINESS}\"\ncontrol_plane = \"{CONTROL}\"\n\
         [limits]\nmemory_mb = 260\nfd_limit = 4000\ndisk_mb = 64\n[bounds]\nlease_ms = 400\nbudget_slack = 20.0\n\
         [cloud_api]\naddress = \"{PLATFORM}\"\nrate_per_s = 200.0\n"
    );
    parse(&text).expect("valid settings")
}

fn start_daemon(run: impl FnOnce(&Runtime) + Send + 'static) {
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

fn put(base: u64, body: &str) -> stand::HttpMessage {
    let text = stand::request("PUT", "/config", &format!("Host: c\r\nIf-Match: {base}\r\n"), body);
    stand::call(CONTROL, &text).expect("a response")
}

fn request_text(host: &str, attempt: &str, more: &str) -> String {
    let fields = format!(
        "Host: {host}\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 1460,80\r\nTime-Budget: 4000\r\n\
         Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,{attempt}:250\r\n{more}"
    );
    stand::request("POST", "/x/1", &fields, "hello")
}

fn status(head: &stand::HttpMessage) -> &str {
    head.start_line.split(' ').nth(1).unwrap_or("")
}

#[test]
fn controller_and_router_serve_streams_batches_evacuations_and_drains() {
    let cluster = Arc::new(stand::FakeCluster::default());
    stand::start_platform(cluster.clone(), PLATFORM);
    stand::start_engine(cluster.clone(), "i-read", "127.0.77.2:7820", "prefill");
    stand::start_engine(cluster.clone(), "i-make", "127.0.77.3:7820", "decode");
    let dir = std::env::temp_dir().join(format!("tidepoint-whole-{}", process::id()));
    let _ = fs::remove_dir_all(&dir);
    let controller_settings = settings("k", Some(dir.to_string_lossy().into_owned()));
    start_daemon(move |runtime| {
        runtime.block_on(async { startup::run(controller_settings, signal::watch()).await });
    });
    start_daemon(|runtime| {
        runtime.block_on(async { router::startup::run(settings("e", None), signal::watch()).await });
    });

    check_configurations();
    let ready = stand::request("GET", "/ready", "Host: r\r\n", "");
    stand::poll_until(READINESS, &ready, "the router to be ready", |head| status(head) == "200");
    check_request_validation();
    check_kv_transfer(&cluster);
    check_stream_resume(&cluster);
    check_batches(&cluster);
    check_evacuation(&cluster);
    check_engine_drain(&cluster);
    let _ = fs::remove_dir_all(dir);
}

fn check_configurations() {
    let first = stand::request("PUT", "/config", "Host: c\r\nIf-Match: 0\r\n", &config(5, 4000));
    stand::poll_until(CONTROL, &first, "the first configuration", |head| status(head) == "200");
    assert_eq!(status(&put(0, &config(5, 4000))), "200", "a configuration that is resent unchanged is accepted");
    assert_eq!(status(&put(3, &config(8, 4000))), "412", "a change on a revision that is not current is rejected");
    assert_eq!(status(&put(5, &config(4, 4000))), "400", "a revision that is not above the current one is rejected");
    let invalid = put(5, &config(7, 0));
    assert_eq!(status(&invalid), "400");
    assert!(String::from_utf8_lossy(&invalid.body).contains("`r-1`: timeout_ms"));
    let change = serde_json::json!({"revision": 9, "upsert": {}, "withdraw": {"route_table": ["r-none"]}}).to_string();
    let text = stand::request("PATCH", "/config", "Host: c\r\nIf-Match: 5\r\n", &change);
    assert_eq!(status(&stand::call(CONTROL, &text).expect("a response")), "200");
    let current = stand::call(CONTROL, &stand::request("GET", "/config", "Host: c\r\n", "")).expect("a response");
    let value: Value = serde_json::from_slice(&current.body).expect("the body is JSON");
    assert_eq!((value["revision"].as_u64(), value["route_table"].as_array().map(Vec::len)), (Some(9), Some(2)));
}

fn check_request_validation() {
    let unknown_route = stand::call(FRONTEND, &request_text("none.example", "a0", "")).expect("a response");
    assert_eq!(status(&unknown_route), "404");
    let smuggled = "POST /x/1 HTTP/1.1\r\nHost: one.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x/2 HTTP/1.1\r\nHost: one.example\r\n\r\n";
    let mut stream = TcpStream::connect(FRONTEND).expect("the frontend accepts");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("the timeout is set");
    io::Write::write_all(&mut stream, smuggled.as_bytes()).expect("the request is sent");
    // A request with both framings is rejected and the connection closed. The request hidden in it is never parsed.
    let conflicting_framing = stand::read(&mut stream).expect("a response");
    assert_eq!((status(&conflicting_framing), conflicting_framing.header("connection")), ("400", "close"));
    assert!(stand::read(&mut stream).is_none(), "the hidden request was answered");
    let invalid =
        "POST /x/1 HTTP/1.1\r\nHost: one.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n";
    assert_eq!(stand::call(FRONTEND, invalid).map(|head| status(&head).to_string()).as_deref(), Some("400"));
    let long_header =
        stand::request("POST", "/x/1", &format!("Host: one.example\r\nX: {}\r\n", "h".repeat(20_000)), "");
    assert_eq!(stand::call(FRONTEND, &long_header).map(|head| status(&head).to_string()).as_deref(), Some("431"));
    let long_body = stand::request("POST", "/x/1", "Host: one.example\r\n", &"b".repeat(200_000));
    assert!(stand::call(FRONTEND, &long_body).is_none_or(|head| status(&head) == "413"));
}

fn check_kv_transfer(cluster: &stand::FakeCluster) {
    let reply =
        stand::poll_until(FRONTEND, &request_text("two.example", "a1", ""), "a response", |head| status(head) == "200");
    assert_eq!(reply.header("response-seal"), "seal-a1");
    let text = String::from_utf8(reply.body).expect("the body is UTF-8");
    assert_eq!(text.matches("data: hello-").count(), 4);
    let seen = cluster.seen.lock().expect("seen").clone();
    let own_requests: Vec<_> = seen.iter().filter(|seen| seen.attempt == "a1").collect();
    assert_eq!(
        own_requests.iter().map(|seen| seen.stage).collect::<Vec<_>>(),
        ["prefill", "decode"],
        "prefill and decode are separate requests"
    );
    assert!(
        own_requests[1].source.starts_with("127.0.77.2:7820/h"),
        "the decode engine takes over the KV cache: {}",
        own_requests[1].source
    );
    assert!(cluster.handles.lock().expect("handles").is_empty(), "the handle is taken over once");
    // An engine without split phases runs the whole request when asked for prefill. That is the only run.
    let reply = stand::call(FRONTEND, &request_text("two.example", "a2", "X-Whole: 1\r\n")).expect("a response");
    assert_eq!((status(&reply), reply.header("response-seal")), ("200", "seal-a2"));
    let runs = cluster.seen.lock().expect("seen").iter().filter(|seen| seen.attempt == "a2").count();
    assert_eq!(runs, 1);
}

fn check_stream_resume(cluster: &Arc<stand::FakeCluster>) {
    stand::start_engine(cluster.clone(), "i-more", "127.0.77.4:7820", "decode");
    let resumable_request =
        |attempt: &str| request_text("one.example", attempt, "").replace("5c1e07a2", &format!("f{attempt}"));
    let is_new_engine_used = || cluster.seen.lock().expect("seen").iter().any(|seen| seen.engine == "i-more");
    let started = Instant::now();
    let mut number = 0;
    while !is_new_engine_used() && started.elapsed().as_secs() < 20 {
        number += 1;
        stand::call(FRONTEND, &resumable_request(&format!("e{number}")));
    }
    cluster
        .interrupted_engines
        .lock()
        .expect("interrupted engines")
        .extend(["i-make".to_string(), "i-more".to_string()]);
    // Each engine interrupts one stream, which is resumed after its last complete event.
    let started = Instant::now();
    while cluster.interrupted_engines.lock().expect("interrupted engines").len() == 2
        && started.elapsed().as_secs() < 20
    {
        number += 1;
        let Some(reply) = stand::call(FRONTEND, &resumable_request(&format!("b{number}"))) else { continue };
        let text = String::from_utf8(reply.body).expect("the body is UTF-8");
        let ids: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
        assert_eq!(ids, ["1", "2", "3", "4"], "each event arrives exactly once");
    }
    cluster.interrupted_engines.lock().expect("interrupted engines").clear();
    let seen = cluster.seen.lock().expect("seen").clone();
    assert!(seen.iter().any(|seen| seen.last_event_id == "2"), "no stream was resumed after its last forwarded event");
}

fn check_batches(cluster: &stand::FakeCluster) {
    let jobs: Vec<_> = (0..5).map(|at| serde_json::json!({"name": format!("j{at}"), "hostname": "two.example",
        "path": "/x/9", "headers": {"model": "m", "token-count": "90,5", "prompt-prefix": format!("aa:50,c{at}:40")}, "body": format!("job{at}")})).collect();
    let body = serde_json::json!({"window_s": 25, "jobs": jobs}).to_string();
    let submit = |key: &str, body: &str| {
        let text = stand::request("POST", "/batches", &format!("Host: c\r\nIdempotency-Key: {key}\r\n"), body);
        stand::call(CONTROL, &text).expect("a response")
    };
    let accepted = submit("night-1", &body);
    assert_eq!(status(&accepted), "200", "{}", String::from_utf8_lossy(&accepted.body));
    let value: Value = serde_json::from_slice(&accepted.body).expect("the body is JSON");
    let id = value["batch"].as_str().expect("the batch has an id").to_string();
    assert_eq!(submit("night-1", &body).body, accepted.body, "the same idempotency key returns the same batch");
    assert_eq!(status(&submit("night-1", &body.replace("job3", "else"))), "409");
    let invalid = submit("night-2", &body.replace("two.example", "none.example"));
    assert_eq!(status(&invalid), "400");
    assert!(String::from_utf8_lossy(&invalid.body).contains("job `j0`"));
    let text = stand::request("GET", &format!("/batches/{id}"), "Host: c\r\n", "");
    stand::poll_until(CONTROL, &text, "the batch to finish", |head| {
        String::from_utf8_lossy(&head.body).contains("\"state\":\"finished\"")
    });
    let text = stand::request("GET", &format!("/batches/{id}/results"), "Host: c\r\n", "");
    let value: Value =
        serde_json::from_slice(&stand::call(CONTROL, &text).expect("a response").body).expect("the body is JSON");
    let list = value["receipts"].as_array().expect("receipts").clone();
    assert_eq!(list.len(), 5, "each job has one receipt");
    assert!(list.iter().all(|item| item["outcome"] == "done" && item["status"] == 200), "{list:?}");
    assert!(list[3]["body"].as_str().is_some_and(|body| body.contains("data: job3-4")));
    let runs = cluster
        .seen
        .lock()
        .expect("seen")
        .iter()
        .filter(|seen| seen.stage == "decode" && seen.attempt.len() == 16)
        .count();
    assert_eq!(runs, 5, "each job ran once");
    // The number of batches is bounded. When it is reached, the response has a `Retry-After` header.
    let one = serde_json::json!({"window_s": 5, "jobs": [jobs[0].clone()]}).to_string();
    let full = (0..batch::MAX_BATCHES).map(|at| submit(&format!("more-{at}"), &one)).find(|head| status(head) != "200");
    let full = full.expect("the limit on batches is reached");
    assert_eq!(status(&full), "503");
    assert!(full.header("retry-after").parse::<f64>().is_ok_and(|wait| wait > 0.0));
}

fn check_evacuation(cluster: &stand::FakeCluster) {
    let send_evacuation = |method: &str, zone: &str| {
        let text = stand::request(method, &format!("/evacuation/{zone}"), "Host: c\r\n", "");
        status(&stand::call(CONTROL, &text).expect("a response")).to_string()
    };
    assert_eq!(send_evacuation("POST", "nowhere"), "404");
    assert_eq!(send_evacuation("POST", "a"), "200");
    assert_eq!(send_evacuation("POST", "a"), "200", "a repeated evacuation is accepted");
    let count = || cluster.seen.lock().expect("seen").len();
    let refused = stand::poll_until(FRONTEND, &request_text("two.example", "v1", ""), "the evacuation", |head| {
        status(head) == "503"
    });
    assert!(refused.header("retry-after").parse::<f64>().is_ok_and(|wait| wait > 0.0));
    let before = count();
    for at in 0..5 {
        let reply = stand::call(FRONTEND, &request_text("two.example", &format!("w{at}"), "")).expect("a response");
        assert_eq!(status(&reply), "503");
    }
    assert_eq!(count(), before, "a request reached an evacuated zone");
    assert_eq!(send_evacuation("DELETE", "a"), "200");
    stand::poll_until(FRONTEND, &request_text("two.example", "x1", ""), "the evacuation to end", |head| {
        status(head) == "200"
    });
}

fn check_engine_drain(cluster: &stand::FakeCluster) {
    for item in cluster.instances.lock().expect("instances").iter_mut().filter(|item| item["instance_id"] == "i-more") {
        item["oper_state"] = "draining".into();
    }
    // The router learns of the draining engine after one poll and one update, and then sends it no more requests.
    let started = Instant::now();
    let count = || cluster.seen.lock().expect("seen").iter().filter(|seen| seen.engine == "i-more").count();
    let (mut last_count, mut last_change, mut number) = (count(), Instant::now(), 0);
    while last_change.elapsed().as_millis() < 1500 {
        number += 1;
        stand::call(FRONTEND, &request_text("two.example", &format!("d{number}"), ""));
        if count() > last_count {
            (last_count, last_change) = (count(), Instant::now());
        }
        assert!(started.elapsed().as_millis() < 4500, "a draining engine still gets requests");
    }
    assert!(number > 20);
}
