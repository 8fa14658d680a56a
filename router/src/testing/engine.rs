//! Fake engines in the test process, on real connections over the loopback interface.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use protocol::{message, socket};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch::{self, Receiver};
use tokio::sync::Notify;

pub use crate::testing::engine_responses::*;

/// A request as an engine received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Number of the engine's connection on which it arrived, counted from 0.
    pub connection: usize,
    /// The request line and the headers.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Returns the attempt id, empty without one.
    pub fn attempt(&self) -> &str {
        self.header("attempt-id").unwrap_or("")
    }
}

/// Returns the value of a header in the text of a request head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}

/// What an engine does with a request.
pub enum EngineAction {
    /// Sends this text and keeps the connection open.
    Send(String),
    /// Sends this text and closes the connection.
    SendAndClose(String),
    /// Sends this text and resets the connection.
    SendAndReset(String),
    /// Sends the first text, and the second once the test notifies it.
    SendAndLater(String, Arc<Notify>, String),
    /// Sends nothing and keeps the connection open.
    Silence,
}

/// Decides what an engine does with each request.
type Script = Arc<dyn Fn(&ReceivedRequest) -> EngineAction + Send + Sync>;

/// Starts engines that share one script, which also gets the number of earlier requests to any of them.
pub async fn engines(
    phase: &'static str,
    count: usize,
    script: impl Fn(&ReceivedRequest, usize) -> EngineAction + Send + Sync + 'static,
) -> Vec<Engine> {
    let script = Arc::new(script);
    let earlier_count = Arc::new(AtomicUsize::new(0));
    let mut list = Vec::new();
    for index in 0..count {
        let (script, earlier_count) = (script.clone(), earlier_count.clone());
        let engine_script =
            move |request: &ReceivedRequest| script(request, earlier_count.fetch_add(1, Ordering::Relaxed));
        list.push(Engine::start(&format!("{phase}-{index}"), phase, engine_script).await);
    }
    list
}

/// Starts an engine that sends the head of a stream, and the rest of the stream once it is notified.
pub async fn waiting_engine() -> (Vec<Engine>, Arc<Notify>) {
    let resume = Arc::new(Notify::new());
    let resumed = resume.clone();
    let list = engines("decode", 1, move |request, _| {
        let (head, rest) = head_and_rest(request);
        EngineAction::SendAndLater(head, resumed.clone(), rest)
    });
    (list.await, resume)
}

/// Returns all requests that a list of engines received.
pub fn received_requests(engines: &[Engine]) -> Vec<ReceivedRequest> {
    engines.iter().flat_map(Engine::received_requests).collect()
}

/// The number of probes to which an engine responded.
type Probes = Arc<AtomicUsize>;

/// An engine that follows a script. Probes (`GET /report`) get a response and are only counted.
pub struct Engine {
    /// Its id.
    pub id: String,
    /// Its address, `ip:port`.
    pub addr: String,
    /// The phase that it serves, `prefill` or `decode`.
    pub phase: &'static str,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    probes: Probes,
    ended: Receiver<usize>,
}

impl Engine {
    /// Starts an engine.
    pub async fn start(
        id: &str,
        phase: &'static str,
        script: impl Fn(&ReceivedRequest) -> EngineAction + Send + Sync + 'static,
    ) -> Engine {
        Engine::start_greeting(id, phase, "", script).await
    }

    /// Starts an engine that sends `greeting` on each new connection before it has read anything.
    pub async fn start_greeting(
        id: &str,
        phase: &'static str,
        greeting: &str,
        script: impl Fn(&ReceivedRequest) -> EngineAction + Send + Sync + 'static,
    ) -> Engine {
        let greeting = greeting.to_string();
        let listener = socket::listen("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a local address").to_string();
        let received = Arc::new(Mutex::new(Vec::new()));
        let (end, ended) = watch::channel(0);
        let probes = Probes::default();
        let engine = Engine { id: id.into(), addr, phase, received: received.clone(), probes: probes.clone(), ended };
        let script: Script = Arc::new(script);
        tokio::spawn(async move {
            let end = Arc::new(end);
            for connection in 0.. {
                let Ok((mut stream, _)) = listener.accept().await else { return };
                let _ = stream.write_all(greeting.as_bytes()).await;
                let (script, received, end) = (script.clone(), received.clone(), end.clone());
                let probes = probes.clone();
                tokio::spawn(async move {
                    if serve_connection(stream, connection, script, received, probes).await {
                        end.send_modify(|count| *count += 1);
                    }
                });
            }
        });
        engine
    }

    /// Returns the requests that it received.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.received.lock().clone()
    }

    /// Returns the number of probes to which it responded.
    pub fn probes(&self) -> usize {
        self.probes.load(Ordering::Relaxed)
    }

    /// Waits until `count` connections have ended, not counting those of probes.
    pub async fn ended(&self, count: usize) {
        let mut ended = self.ended.clone();
        ended.wait_for(|ended_count| *ended_count >= count).await.expect("the engine is running");
    }

    /// Returns its entry in the platform's endpoint list.
    pub fn entry(&self) -> message::Engine {
        message::Engine {
            id: self.id.clone(),
            service: "s".into(),
            addr: self.addr.clone(),
            zone: "a".into(),
            phase: self.phase.into(),
            model: String::new(),
            slots: 8,
            up: true,
            cold_ms: 0,
        }
    }
}

/// Serves a connection until it ends, and returns `false` if it carried a probe.
async fn serve_connection(
    mut stream: TcpStream,
    connection: usize,
    script: Script,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    probes: Probes,
) -> bool {
    let mut unread = Vec::new();
    while let Some((head, body)) = read_request(&mut stream, &mut unread).await {
        if head.starts_with("GET /report") {
            probes.fetch_add(1, Ordering::Relaxed);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}").await;
            return false;
        }
        let request = ReceivedRequest { connection, head, body };
        received.lock().push(request.clone());
        if !perform(&mut stream, script(&request)).await {
            return true;
        }
    }
    true
}

/// Performs an action of the script, and returns whether the connection stays open.
async fn perform(stream: &mut TcpStream, act: EngineAction) -> bool {
    match act {
        EngineAction::Send(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
        }
        EngineAction::SendAndClose(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
            return false;
        }
        EngineAction::SendAndReset(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
            let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            return false;
        }
        EngineAction::SendAndLater(text, notify, rest) => {
            let _ = stream.write_all(text.as_bytes()).await;
            notify.notified().await;
            let _ = stream.write_all(rest.as_bytes()).await;
        }
        EngineAction::Silence => {}
    }
    true
}

/// Reads the head and the body of the next request on a connection. Returns `None` if the connection has ended.
async fn read_request(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let end = loop {
        if let Some(position) = unread.windows(4).position(|window| window == b"\r\n\r\n") {
            break position + 4;
        }
        if stream.read_buf(unread).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&unread[..end]).into_owned();
    let length = header(&head, "content-length").and_then(|text| text.parse::<usize>().ok()).unwrap_or(0);
    while unread.len() < end + length {
        if stream.read_buf(unread).await.ok()? == 0 {
            return None;
        }
    }
    let body = unread[end..end + length].to_vec();
    unread.drain(..end + length);
    Some((head, body))
}
