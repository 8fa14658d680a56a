//! Fakes of the platform and the engines, and an HTTP client, all on loopback addresses.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::str::from_utf8;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

/// A request that a fake engine carried out.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    pub engine: String,
    /// `prefill`, or `decode` for the run that produces the response.
    pub stage: &'static str,
    pub attempt: String,
    /// The `KV-Source` header: the engine and handle of the KV cache to take over.
    pub source: String,
    /// The `Last-Event-ID` header of a resumed stream.
    pub last_event_id: String,
    /// The version of the engine's weights at that time.
    pub version: u64,
    /// All header fields of the request.
    pub fields: Vec<(String, String)>,
}

impl SeenRequest {
    /// All values of a header field.
    pub fn values(&self, name: &str) -> Vec<&str> {
        let found = self.fields.iter().filter(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str()).collect()
    }
}

/// State shared by the fake platform and the fake engines.
#[derive(Default)]
pub struct FakeCluster {
    /// The instances that the platform lists.
    pub instances: Mutex<Vec<Value>>,
    /// All requests that engines carried out, in order.
    pub seen: Mutex<Vec<SeenRequest>>,
    /// KV cache handles that were issued and not yet taken over or freed.
    pub handles: Mutex<Vec<String>>,
    /// Engines that close the connection of their next stream after two events.
    pub interrupted_engines: Mutex<Vec<String>>,
    /// Number of calls to the platform and of handles issued.
    pub call_count: AtomicU64,
    /// Weight versions by engine; 1 where none is set.
    pub versions: Mutex<HashMap<String, u64>>,
    /// Delay before each event of a stream, in milliseconds.
    pub event_pause_ms: AtomicU64,
}

impl FakeCluster {
    pub fn version(&self, id: &str) -> u64 {
        self.versions.lock().expect("versions").get(id).copied().unwrap_or(1)
    }
}

/// An HTTP request or response.
pub struct HttpMessage {
    pub start_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    pub fn header(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// Reads one message, whose body has a length or is chunked. Returns `None` if the connection ends first.
pub fn read(stream: &mut impl Read) -> Option<HttpMessage> {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        text.push(byte[0]);
    }
    let text = String::from_utf8(text).ok()?;
    let mut lines = text.split("\r\n");
    let start_line = lines.next()?.to_string();
    let fields = lines.filter_map(|line| line.split_once(':')).map(|(name, value)| (name.into(), value.trim().into()));
    let mut head = HttpMessage { start_line, fields: fields.collect(), body: Vec::new() };
    if head.header("transfer-encoding") == "chunked" {
        loop {
            let mut line = Vec::new();
            while !line.ends_with(b"\r\n") {
                stream.read_exact(&mut byte).ok()?;
                line.push(byte[0]);
            }
            let size = usize::from_str_radix(from_utf8(&line).ok()?.trim(), 16).ok()?;
            let mut piece = vec![0; size + 2];
            stream.read_exact(&mut piece).ok()?;
            head.body.extend_from_slice(&piece[..size]);
            if size == 0 {
                return Some(head);
            }
        }
    }
    let size = head.header("content-length").parse().unwrap_or(0);
    head.body = vec![0; size];
    stream.read_exact(&mut head.body).ok()?;
    Some(head)
}

/// Writes a response with a `Content-Length`. `fields` holds header lines, each with its line ending.
pub fn respond(stream: &mut TcpStream, status: &str, fields: &str, body: &str) {
    let text = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len());
    let _ = stream.write_all(text.as_bytes());
}

/// Serves each connection to an address on a thread of its own.
pub fn serve(addr: &str, handle_request: impl Fn(&mut TcpStream, HttpMessage) + Send + Sync + 'static) {
    let listener = TcpListener::bind(addr).expect("the address is free");
    let handle_request = Arc::new(handle_request);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let handle_request = handle_request.clone();
            thread::spawn(move || {
                while let Some(head) = read(&mut stream) {
                    handle_request(&mut stream, head);
                }
            });
        }
    });
}

/// Starts a platform that lists one engine per page and rejects every fifth call with 429.
pub fn start_platform(cluster: Arc<FakeCluster>, addr: &str) {
    serve(addr, move |stream, head| {
        if cluster.call_count.fetch_add(1, Ordering::Relaxed) % 5 == 4 {
            return respond(stream, "429 Too Many Requests", "", "");
        }
        let field = |name: &str| {
            let rest = head.start_line.split(&format!("{name}=")).nth(1).unwrap_or("");
            rest.split([' ', '&']).next().unwrap_or("").to_string()
        };
        let (zone, page) = (field("zone"), field("page_token").trim_start_matches("p-").parse::<usize>().unwrap_or(0));
        let list = cluster.instances.lock().expect("instances").clone();
        let mut list: Vec<_> = list.into_iter().filter(|item| item["zone"] == zone.as_str()).collect();
        for item in &mut list {
            let version = cluster.version(item["instance_id"].as_str().unwrap_or(""));
            item["model_list"] = serde_json::json!([{"name": "m", "revision": version}]);
        }
        let next = (page + 1 < list.len()).then(|| format!("p-{}", page + 1));
        let items: Vec<_> = list.into_iter().skip(page).take(1).collect();
        let body = serde_json::json!({"instance_list": items, "next_token": next}).to_string();
        respond(stream, "200 OK", "Content-Type: application/json\r\n", &body);
    });
}

/// Starts an engine in zone `a`, listed at the platform, that serves prefill and decode requests.
pub fn start_engine(cluster: Arc<FakeCluster>, id: &'static str, addr: &'static str, phase: &'static str) {
    start_engine_in_zone(cluster, id, addr, phase, "a");
}

/// Starts an engine in a zone, see `start_engine`.
#[allow(clippy::too_many_lines)] // One handler for all calls of an engine.
pub fn start_engine_in_zone(
    cluster: Arc<FakeCluster>,
    id: &'static str,
    addr: &'static str,
    phase: &'static str,
    zone: &'static str,
) {
    cluster.instances.lock().expect("instances").push(serde_json::json!({
        "instance_id": id, "service": "s", "address": addr, "zone": zone, "revision": "v1", "slot_count": 8,
        "oper_state": "up", "ramp_left_ms": 0, "phase": phase, "model_list": [{"name": "m"}]}));
    serve(addr, move |stream, head| {
        let attempt = head.header("attempt-id").to_string();
        let version = cluster.version(id);
        let headers = format!(
            "Attempt-Id: {attempt}\r\nServer-Load: 0,0,8\r\nKeep-Alive: timeout=9\r\nWeight-Versions: {version}\r\n"
        );
        if let Some(handle) = head.start_line.strip_prefix("DELETE /kv-handle/") {
            let handle = handle.split(' ').next().unwrap_or("").to_string();
            cluster.handles.lock().expect("handles").retain(|known| *known != handle);
            return respond(stream, "200 OK", &headers, "");
        }
        if head.header("target-instance") != id {
            return respond(stream, "421 Misdirected Request", &format!("{headers}Instance-Id: {id}\r\n"), "");
        }
        if head.header("expected-version").parse::<u64>().is_ok_and(|wanted| wanted != version) {
            return respond(stream, "421 Misdirected Request", &format!("{headers}Instance-Id: {id}\r\n"), "");
        }
        let record = |stage| {
            let (source, last_event_id) =
                (head.header("kv-source").to_string(), head.header("last-event-id").to_string());
            let fields = head.fields.clone();
            let seen = SeenRequest {
                engine: id.into(),
                stage,
                attempt: attempt.clone(),
                source,
                last_event_id,
                version,
                fields,
            };
            cluster.seen.lock().expect("seen").push(seen);
        };
        let runs_whole = head.header("x-whole") == "1";
        if head.header("serving-phase") == "prefill" && !runs_whole {
            record("prefill");
            let number = cluster.call_count.fetch_add(1, Ordering::Relaxed);
            let handle = format!("h{number}");
            cluster.handles.lock().expect("handles").push(handle.clone());
            let body = serde_json::json!({"kv_handle": handle, "token_count": 9, "revision": version}).to_string();
            return respond(stream, "200 OK", &headers, &body);
        }
        if let Some((_, handle)) = head.header("kv-source").split_once('/') {
            let mut handles = cluster.handles.lock().expect("handles");
            let Some(index) = handles.iter().position(|known| known == handle) else {
                return respond(stream, "503 Service Unavailable", &format!("{headers}Not-Executed: 1\r\n"), "");
            };
            handles.remove(index);
        }
        record("decode");
        if head.header("x-unary") == "1" {
            let headers = format!("{headers}Response-Seal: seal-{attempt}\r\n");
            return respond(stream, "200 OK", &headers, &String::from_utf8_lossy(&head.body));
        }
        let pause = Duration::from_millis(cluster.event_pause_ms.load(Ordering::Relaxed));
        let first = head.header("last-event-id").parse::<u32>().unwrap_or(0) + 1;
        let is_interrupted = {
            let mut interrupted = cluster.interrupted_engines.lock().expect("interrupted engines");
            interrupted.iter().position(|known| known == id).map(|index| interrupted.remove(index)).is_some()
        };
        let response_head = format!(
            "HTTP/1.1 200 OK\r\n{headers}Response-Seal: seal-{attempt}\r\nContent-Type: text/event-stream\r\n\
            Transfer-Encoding: chunked\r\n\r\n"
        );
        let _ = stream.write_all(response_head.as_bytes());
        for event in first..=4 {
            thread::sleep(pause);
            if is_interrupted && event == 3 {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            let text = format!("id: {event}\ndata: {}-{event}\n\n", String::from_utf8_lossy(&head.body));
            let _ = stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
        }
        let _ = stream.write_all(b"0\r\n\r\n");
    });
}

/// Makes one call on a new connection. Returns `None` if the connection ends without a complete response.
pub fn call(addr: &str, text: &str) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read(&mut stream)
}

pub fn request(method: &str, path: &str, fields: &str, body: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Repeats a call until the response is accepted, for up to 30 s. It never sleeps: each call waits on a socket.
pub fn poll_until(addr: &str, text: &str, expected: &str, is_accepted: impl Fn(&HttpMessage) -> bool) -> HttpMessage {
    let started = Instant::now();
    while started.elapsed().as_secs() < 30 {
        if let Some(head) = call(addr, text).filter(&is_accepted) {
            return head;
        }
        thread::yield_now();
    }
    panic!("timed out waiting for {expected}");
}
