//! Stand-ins written for these tests: a platform, engines and a client, on loopback addresses.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::str::from_utf8;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

/// What an engine saw: its id, the stage, the attempt, the source it was to take.
#[derive(Clone, Debug)]
pub struct Seen {
    pub engine: String,
    pub stage: &'static str,
    pub attempt: String,
    pub source: String,
    pub last: String,
    /// The version of its weights then.
    pub version: u64,
    /// All header fields of the request.
    pub fields: Vec<(String, String)>,
}

impl Seen {
    /// All values of a header field.
    pub fn values(&self, name: &str) -> Vec<&str> {
        let found = self.fields.iter().filter(|(held, _)| held.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str()).collect()
    }
}

#[derive(Default)]
pub struct World {
    pub list: Mutex<Vec<Value>>,
    pub seen: Mutex<Vec<Seen>>,
    /// Handles that were given out and not yet taken or freed.
    pub handles: Mutex<Vec<String>>,
    /// Engines that break off their next stream after two events.
    pub breaks: Mutex<Vec<String>>,
    pub count: AtomicU64,
    /// Weight versions by engine; 1 where none is set.
    pub versions: Mutex<HashMap<String, u64>>,
    /// How long engines wait before each event of a stream.
    pub event_pause_ms: AtomicU64,
}

impl World {
    pub fn version(&self, id: &str) -> u64 {
        self.versions.lock().expect("versions").get(id).copied().unwrap_or(1)
    }
}

pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(held, _)| held.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// Reads one message: a head, and a body by length or in chunks. None at the end of the connection.
pub fn read(stream: &mut impl Read) -> Option<Head> {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        text.push(byte[0]);
    }
    let text = String::from_utf8(text).ok()?;
    let mut lines = text.split("\r\n");
    let first = lines.next()?.to_string();
    let fields = lines.filter_map(|line| line.split_once(':')).map(|(name, value)| (name.into(), value.trim().into()));
    let mut head = Head { first, fields: fields.collect(), body: Vec::new() };
    if head.get("transfer-encoding") == "chunked" {
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
    let size = head.get("content-length").parse().unwrap_or(0);
    head.body = vec![0; size];
    stream.read_exact(&mut head.body).ok()?;
    Some(head)
}

fn answer(stream: &mut TcpStream, status: &str, fields: &str, body: &str) {
    let text = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len());
    let _ = stream.write_all(text.as_bytes());
}

fn serve(addr: &str, each: impl Fn(&mut TcpStream, Head) + Send + Sync + 'static) {
    let listener = TcpListener::bind(addr).expect("a free address");
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let each = each.clone();
            thread::spawn(move || {
                while let Some(head) = read(&mut stream) {
                    each(&mut stream, head);
                }
            });
        }
    });
}

/// The platform's list, one engine a page; every fifth call is over the rate.
pub fn platform(world: Arc<World>, addr: &str) {
    serve(addr, move |stream, head| {
        if world.count.fetch_add(1, Ordering::Relaxed) % 5 == 4 {
            return answer(stream, "429 Too Many Requests", "", "");
        }
        let field = |name: &str| {
            let rest = head.first.split(&format!("{name}=")).nth(1).unwrap_or("");
            rest.split([' ', '&']).next().unwrap_or("").to_string()
        };
        let (zone, page) = (field("zone"), field("page_token").trim_start_matches("p-").parse::<usize>().unwrap_or(0));
        let list = world.list.lock().expect("list").clone();
        let mut list: Vec<_> = list.into_iter().filter(|item| item["zone"] == zone.as_str()).collect();
        for item in &mut list {
            let version = world.version(item["instance_id"].as_str().unwrap_or(""));
            item["model_list"] = serde_json::json!([{"name": "m", "revision": version}]);
        }
        let next = (page + 1 < list.len()).then(|| format!("p-{}", page + 1));
        let items: Vec<_> = list.into_iter().skip(page).take(1).collect();
        let body = serde_json::json!({"instance_list": items, "next_token": next}).to_string();
        answer(stream, "200 OK", "Content-Type: application/json\r\n", &body);
    });
}

/// An engine: joins the platform's list and serves both halves' calls as the protocol has them.
pub fn engine(world: Arc<World>, id: &'static str, addr: &'static str, phase: &'static str) {
    engine_in(world, id, addr, phase, "a");
}

#[allow(clippy::too_many_lines)] // one literal, or one scenario in order
pub fn engine_in(world: Arc<World>, id: &'static str, addr: &'static str, phase: &'static str, zone: &'static str) {
    world.list.lock().expect("list").push(serde_json::json!({
        "instance_id": id, "service": "s", "address": addr, "zone": zone, "revision": "v1", "slot_count": 8,
        "oper_state": "up", "ramp_left_ms": 0, "phase": phase, "model_list": [{"name": "m"}]}));
    serve(addr, move |stream, head| {
        let attempt = head.get("attempt-id").to_string();
        let version = world.version(id);
        let back = format!(
            "Attempt-Id: {attempt}\r\nServer-Load: 0,0,8\r\nKeep-Alive: timeout=9\r\nWeight-Versions: {version}\r\n"
        );
        if let Some(handle) = head.first.strip_prefix("DELETE /kv-handle/") {
            let handle = handle.split(' ').next().unwrap_or("").to_string();
            world.handles.lock().expect("handles").retain(|held| *held != handle);
            return answer(stream, "200 OK", &back, "");
        }
        if head.get("target-instance") != id {
            return answer(stream, "421 Misdirected Request", &format!("{back}Instance-Id: {id}\r\n"), "");
        }
        if head.get("expected-version").parse::<u64>().is_ok_and(|wanted| wanted != version) {
            return answer(stream, "421 Misdirected Request", &format!("{back}Instance-Id: {id}\r\n"), "");
        }
        let note = |stage| {
            let (source, last) = (head.get("kv-source").to_string(), head.get("last-event-id").to_string());
            let fields = head.fields.clone();
            let seen = Seen { engine: id.into(), stage, attempt: attempt.clone(), source, last, version, fields };
            world.seen.lock().expect("seen").push(seen);
        };
        let whole = head.get("x-whole") == "1";
        if head.get("serving-phase") == "prefill" && !whole {
            note("read");
            let number = world.count.fetch_add(1, Ordering::Relaxed);
            let handle = format!("h{number}");
            world.handles.lock().expect("handles").push(handle.clone());
            let body = serde_json::json!({"kv_handle": handle, "token_count": 9, "revision": version}).to_string();
            return answer(stream, "200 OK", &back, &body);
        }
        if let Some((_, handle)) = head.get("kv-source").split_once('/') {
            let mut handles = world.handles.lock().expect("handles");
            let Some(at) = handles.iter().position(|held| held == handle) else {
                return answer(stream, "503 Service Unavailable", &format!("{back}Not-Executed: 1\r\n"), "");
            };
            handles.remove(at);
        }
        note("make");
        if head.get("x-unary") == "1" {
            let back = format!("{back}Response-Seal: seal-{attempt}\r\n");
            return answer(stream, "200 OK", &back, &String::from_utf8_lossy(&head.body));
        }
        let pause = Duration::from_millis(world.event_pause_ms.load(Ordering::Relaxed));
        let first = head.get("last-event-id").parse::<u32>().unwrap_or(0) + 1;
        let cut = {
            let mut breaks = world.breaks.lock().expect("breaks");
            breaks.iter().position(|held| held == id).map(|at| breaks.remove(at)).is_some()
        };
        let top = format!(
            "HTTP/1.1 200 OK\r\n{back}Response-Seal: seal-{attempt}\r\nContent-Type: text/event-stream\r\n\
            Transfer-Encoding: chunked\r\n\r\n"
        );
        let _ = stream.write_all(top.as_bytes());
        for event in first..=4 {
            thread::sleep(pause);
            if cut && event == 3 {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            let text = format!("id: {event}\ndata: {}-{event}\n\n", String::from_utf8_lossy(&head.body));
            let _ = stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
        }
        let _ = stream.write_all(b"0\r\n\r\n");
    });
}

/// One call on a connection of its own. None: the connection ended without a whole answer.
pub fn call(addr: &str, text: &str) -> Option<Head> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read(&mut stream)
}

pub fn request(method: &str, path: &str, fields: &str, body: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Calls again and again until the answer is as wished: each call waits on a socket, none sleeps.
pub fn until(addr: &str, text: &str, what: &str, good: impl Fn(&Head) -> bool) -> Head {
    let begun = Instant::now();
    while begun.elapsed().as_secs() < 30 {
        if let Some(head) = call(addr, text).filter(&good) {
            return head;
        }
        thread::yield_now();
    }
    panic!("waited for {what}");
}
