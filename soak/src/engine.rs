//! A stub engine: answers prefill requests with a KV handle and streams events with the delay that a request asks for.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use kernel::clock;
use parking_lot::Mutex;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

use crate::http::{read_message, respond, HttpMessage};

/// Number of events in a stream.
pub const EVENT_COUNT: u32 = 4;
/// Request header with the delay before each event, in milliseconds.
pub const EVENT_DELAY_HEADER: &str = "X-Event-Pause";

/// How long a slow engine takes to process a prompt: longer than the bound within which an evacuation takes effect, and
/// shorter than the time budget of clients.
const SLOW_PREFILL: Duration = Duration::from_millis(6300);

/// What the engines received for one attempt of a client.
#[derive(Clone, Debug, Default)]
pub struct AttemptRecord {
    /// Number of prefill requests.
    pub prefills: u32,
    /// Start times of the runs.
    pub runs: Vec<Instant>,
    /// Whether the caller closed its connection during a run.
    pub cancelled: bool,
}

/// The start of a run: the time of day in milliseconds, and the tenant.
pub type RunStart = (u64, String);

/// A request, prefill or run, that reached an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it arrived.
    pub at: Instant,
    /// The index of the engine.
    pub engine: usize,
    /// Its `Attempt-Id`.
    pub attempt: String,
}

/// What all engines received, and which of them are slow.
#[derive(Default)]
pub struct EngineLog {
    /// Records by `Attempt-Id`.
    attempts: Mutex<HashMap<String, AttemptRecord>>,
    run_starts: Mutex<Vec<RunStart>>,
    arrivals: Mutex<Vec<Arrival>>,
    slow_engines: Mutex<HashSet<usize>>,
}

impl EngineLog {
    fn update(&self, attempt: &str, update: impl FnOnce(&mut AttemptRecord)) {
        update(self.attempts.lock().entry(attempt.to_string()).or_default());
    }

    /// Records the start of a run for a tenant.
    pub fn record_run_start(&self, time_ms: u64, tenant: &str) {
        self.run_starts.lock().push((time_ms, tenant.to_string()));
    }

    fn record_arrival(&self, engine: usize, attempt: &str) {
        self.arrivals.lock().push(Arrival { at: Instant::now(), engine, attempt: attempt.to_string() });
    }

    /// Returns all requests that reached an engine.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().clone()
    }

    /// Makes an engine slow, or ends that.
    pub fn set_slow(&self, engine: usize, is_slow: bool) {
        let mut slow_engines = self.slow_engines.lock();
        if is_slow {
            slow_engines.insert(engine);
        } else {
            slow_engines.remove(&engine);
        }
    }

    fn is_slow(&self, engine: usize) -> bool {
        self.slow_engines.lock().contains(&engine)
    }

    /// Returns the starts of all runs.
    pub fn run_starts(&self) -> Vec<RunStart> {
        self.run_starts.lock().clone()
    }

    /// Returns the record of an attempt, empty if no engine received it.
    pub fn attempt(&self, attempt: &str) -> AttemptRecord {
        self.attempts.lock().get(attempt).cloned().unwrap_or_default()
    }
}

/// Returns the id of an engine.
pub fn engine_id(engine: usize) -> String {
    format!("i-{engine}")
}

/// Serves one engine until the task is aborted.
pub async fn serve(listener: TcpListener, engine: usize, log: Arc<EngineLog>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let log = log.clone();
        tokio::spawn(async move { serve_connection(stream, engine, &log).await });
    }
}

async fn serve_connection(mut stream: TcpStream, engine: usize, log: &EngineLog) {
    while let Some(request) = read_message(&mut stream).await.filter(|request| request.complete) {
        if handle_request(&mut stream, &request, engine, log).await.is_none() {
            return;
        }
    }
}

/// Handles one request. `None`: the connection can't be reused.
async fn handle_request(stream: &mut TcpStream, request: &HttpMessage, engine: usize, log: &EngineLog) -> Option<()> {
    let attempt = request.header("attempt-id");
    let headers =
        format!("Attempt-Id: {attempt}\r\nServer-Load: 0,0,64\r\nKeep-Alive: timeout=9\r\nWeight-Versions: 1\r\n");
    if request.start_line.starts_with("DELETE") {
        return respond(stream, "200 OK", &headers, "").await.ok();
    }
    let id = engine_id(engine);
    if request.start_line.starts_with("GET") {
        return respond(stream, "200 OK", &format!("{headers}Instance-Id: {id}\r\n"), "{}").await.ok();
    }
    if request.header("target-instance") != id {
        let headers = format!("{headers}Instance-Id: {id}\r\n");
        return respond(stream, "421 Misdirected Request", &headers, "").await.ok();
    }
    log.record_arrival(engine, attempt);
    if request.header("serving-phase") == "prefill" {
        log.update(attempt, |record| record.prefills += 1);
        if log.is_slow(engine) {
            wait_unless_closed(stream, SLOW_PREFILL).await?;
        }
        let body = json!({ "kv_handle": format!("h-{attempt}"), "token_count": 20, "revision": 1 }).to_string();
        return respond(stream, "200 OK", &headers, &body).await.ok();
    }
    log.update(attempt, |record| record.runs.push(Instant::now()));
    log.record_run_start(clock::time_of_day_ms(), request.header("tenant"));
    let streamed = stream_events(stream, request, &headers).await;
    if streamed.is_none() {
        log.update(attempt, |record| record.cancelled = true);
    }
    streamed
}

async fn stream_events(stream: &mut TcpStream, request: &HttpMessage, headers: &str) -> Option<()> {
    let delay = Duration::from_millis(request.header(EVENT_DELAY_HEADER).parse().unwrap_or(0));
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}Response-Seal: seal-{}\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        request.header("attempt-id")
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    for event in 1..=EVENT_COUNT {
        wait_unless_closed(stream, delay).await?;
        let text = event_text(event, request.header("attempt-id"));
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await.ok()?;
    }
    stream.write_all(b"0\r\n\r\n").await.ok()
}

/// Waits for `delay`. `None`: the caller closed the connection meanwhile.
async fn wait_unless_closed(stream: &TcpStream, delay: Duration) -> Option<()> {
    match time::timeout(delay, stream.peek(&mut [0])).await {
        Err(_) => Some(()),
        Ok(Ok(0) | Err(_)) => None,
        Ok(Ok(_)) => {
            time::sleep(delay).await;
            Some(())
        }
    }
}

fn event_text(event: u32, attempt: &str) -> String {
    format!("id: {event}\ndata: {attempt}-{event}\n\n")
}

/// Returns the body of the complete response to an attempt.
pub fn expected_body(attempt: &str) -> String {
    (1..=EVENT_COUNT).map(|event| event_text(event, attempt)).collect()
}
