//! A stand-in for an engine: reads prompts, holds handles, and streams events at the pace that the request asks for.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kernel::clock;
use parking_lot::Mutex;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

use crate::http::{read_message, respond, HttpMessage};

/// How many events a stream has.
pub const EVENTS: u32 = 4;
/// Says how many milliseconds the engine waits before each event.
pub const PACE_HEADER: &str = "X-Event-Pause";

/// What the engines saw of one try of a client.
#[derive(Clone, Debug, Default)]
pub struct Sightings {
    /// How often it was read without being run.
    pub prefills: u32,
    /// When each run began.
    pub runs: Vec<Instant>,
    /// The caller closed its connection while a run was under way.
    pub cut: bool,
}

/// A run that began: the time of day in milliseconds, and the tenant.
pub type BegunRun = (u64, String);

/// What all engines saw.
#[derive(Default)]
pub struct EngineLog {
    /// By `Attempt-Id`.
    sightings: Mutex<HashMap<String, Sightings>>,
    begun: Mutex<Vec<BegunRun>>,
}

impl EngineLog {
    fn note(&self, attempt: &str, note: impl FnOnce(&mut Sightings)) {
        note(self.sightings.lock().entry(attempt.to_string()).or_default());
    }

    /// Notes that a run of a tenant's request began.
    pub fn note_begun(&self, time_ms: u64, tenant: &str) {
        self.begun.lock().push((time_ms, tenant.to_string()));
    }

    /// Returns all runs that began.
    pub fn begun(&self) -> Vec<BegunRun> {
        self.begun.lock().clone()
    }

    /// Returns what was seen of a try.
    pub fn of(&self, attempt: &str) -> Sightings {
        self.sightings.lock().get(attempt).cloned().unwrap_or_default()
    }
}

/// Serves one engine for ever.
pub async fn serve(listener: TcpListener, id: String, log: Arc<EngineLog>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let (id, log) = (id.clone(), log.clone());
        tokio::spawn(async move { serve_connection(stream, &id, &log).await });
    }
}

async fn serve_connection(mut stream: TcpStream, id: &str, log: &EngineLog) {
    while let Some(request) = read_message(&mut stream).await.filter(|request| request.complete) {
        if answer(&mut stream, &request, id, log).await.is_none() {
            return;
        }
    }
}

/// Answers one request. `None`: the connection is of no more use.
async fn answer(stream: &mut TcpStream, request: &HttpMessage, id: &str, log: &EngineLog) -> Option<()> {
    let attempt = request.field("attempt-id");
    let fields =
        format!("Attempt-Id: {attempt}\r\nServer-Load: 0,0,64\r\nKeep-Alive: timeout=9\r\nWeight-Versions: 1\r\n");
    if request.first_line.starts_with("DELETE") {
        return respond(stream, "200 OK", &fields, "").await.ok();
    }
    if request.field("target-instance") != id {
        let fields = format!("{fields}Instance-Id: {id}\r\n");
        return respond(stream, "421 Misdirected Request", &fields, "").await.ok();
    }
    if request.field("serving-phase") == "prefill" {
        log.note(attempt, |seen| seen.prefills += 1);
        let body = json!({ "kv_handle": format!("h-{attempt}"), "token_count": 20, "revision": 1 }).to_string();
        return respond(stream, "200 OK", &fields, &body).await.ok();
    }
    log.note(attempt, |seen| seen.runs.push(Instant::now()));
    log.note_begun(clock::time_of_day_ms(), request.field("tenant"));
    let streamed = stream_events(stream, request, &fields).await;
    if streamed.is_none() {
        log.note(attempt, |seen| seen.cut = true);
    }
    streamed
}

async fn stream_events(stream: &mut TcpStream, request: &HttpMessage, fields: &str) -> Option<()> {
    let pause = Duration::from_millis(request.field(PACE_HEADER).parse().unwrap_or(0));
    let head = format!(
        "HTTP/1.1 200 OK\r\n{fields}Response-Seal: seal-{}\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        request.field("attempt-id")
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    for event in 1..=EVENTS {
        wait_unless_closed(stream, pause).await?;
        let text = event_text(event, request.field("attempt-id"));
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await.ok()?;
    }
    stream.write_all(b"0\r\n\r\n").await.ok()
}

/// Waits for a pause. `None`: the caller ended the connection meanwhile.
async fn wait_unless_closed(stream: &TcpStream, pause: Duration) -> Option<()> {
    match time::timeout(pause, stream.peek(&mut [0])).await {
        Err(_) => Some(()),
        Ok(Ok(0) | Err(_)) => None,
        Ok(Ok(_)) => {
            time::sleep(pause).await;
            Some(())
        }
    }
}

fn event_text(event: u32, attempt: &str) -> String {
    format!("id: {event}\ndata: {attempt}-{event}\n\n")
}

/// Returns the body of the whole answer to a try.
pub fn complete_body(attempt: &str) -> String {
    (1..=EVENTS).map(|event| event_text(event, attempt)).collect()
}
