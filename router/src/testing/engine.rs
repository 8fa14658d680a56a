//! Engines in the test's own process, on real connections over the loopback interface.

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
pub struct Seen {
    /// Which of the engine's connections it came on, counted from 0.
    pub connection: usize,
    /// The request line and the headers.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Seen {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Returns the attempt id, empty without one.
    pub fn attempt(&self) -> &str {
        self.header("attempt-id").unwrap_or("")
    }
}

/// Returns the value of a header in the text of a head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}

/// What an engine does with a request.
pub enum Act {
    /// Sends these bytes and continues to serve.
    Send(String),
    /// Sends these bytes and closes the connection.
    SendAndClose(String),
    /// Sends these bytes and resets the connection.
    SendAndReset(String),
    /// Sends these bytes, and the others once the test notifies it.
    SendAndLater(String, Arc<Notify>, String),
    /// Sends nothing and keeps the connection open.
    Silence,
}

/// Decides what an engine does with each request.
type Script = Arc<dyn Fn(&Seen) -> Act + Send + Sync>;

/// Starts engines that follow one script, which also gets the number of earlier requests to any of them.
pub async fn engines(
    phase: &'static str,
    count: usize,
    script: impl Fn(&Seen, usize) -> Act + Send + Sync + 'static,
) -> Vec<Engine> {
    let script = Arc::new(script);
    let before = Arc::new(AtomicUsize::new(0));
    let mut list = Vec::new();
    for at in 0..count {
        let (script, before) = (script.clone(), before.clone());
        let each = move |seen: &Seen| script(seen, before.fetch_add(1, Ordering::Relaxed));
        list.push(Engine::start(&format!("{phase}-{at}"), phase, each).await);
    }
    list
}

/// Starts an engine that sends the head of a stream, and the rest once it is notified.
pub async fn waiting_engine() -> (Vec<Engine>, Arc<Notify>) {
    let go_on = Arc::new(Notify::new());
    let later = go_on.clone();
    let list = engines("decode", 1, move |seen, _| {
        let (head, rest) = head_and_rest(seen);
        Act::SendAndLater(head, later.clone(), rest)
    });
    (list.await, go_on)
}

/// Returns all requests that a list of engines received.
pub fn seen(engines: &[Engine]) -> Vec<Seen> {
    engines.iter().flat_map(Engine::seen).collect()
}

/// The number of probes that an engine answered.
type Probes = Arc<AtomicUsize>;

/// An engine that follows a script. Probes (`GET /report`) are answered and only counted.
pub struct Engine {
    /// Its id.
    pub id: String,
    /// Its address, `ip:port`.
    pub addr: String,
    /// The phase that it serves, `prefill` or `decode`.
    pub phase: &'static str,
    seen: Arc<Mutex<Vec<Seen>>>,
    probes: Probes,
    ended: Receiver<usize>,
}

impl Engine {
    /// Starts an engine.
    pub async fn start(id: &str, phase: &'static str, script: impl Fn(&Seen) -> Act + Send + Sync + 'static) -> Engine {
        Engine::start_greeting(id, phase, "", script).await
    }

    /// Starts an engine that sends `greeting` on each new connection before it has read anything.
    pub async fn start_greeting(
        id: &str,
        phase: &'static str,
        greeting: &str,
        script: impl Fn(&Seen) -> Act + Send + Sync + 'static,
    ) -> Engine {
        let greeting = greeting.to_string();
        let listener = socket::listen("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("its address").to_string();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (end, ended) = watch::channel(0);
        let probes = Probes::default();
        let engine = Engine { id: id.into(), addr, phase, seen: seen.clone(), probes: probes.clone(), ended };
        let script: Script = Arc::new(script);
        tokio::spawn(async move {
            let end = Arc::new(end);
            for connection in 0.. {
                let Ok((mut stream, _)) = listener.accept().await else { return };
                let _ = stream.write_all(greeting.as_bytes()).await;
                let (script, seen, end) = (script.clone(), seen.clone(), end.clone());
                let probes = probes.clone();
                tokio::spawn(async move {
                    if follow(stream, connection, script, seen, probes).await {
                        end.send_modify(|count| *count += 1);
                    }
                });
            }
        });
        engine
    }

    /// Returns the requests that it received.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().clone()
    }

    /// Returns the number of probes that it answered.
    pub fn probes(&self) -> usize {
        self.probes.load(Ordering::Relaxed)
    }

    /// Waits until so many connections have ended, probes excluded.
    pub async fn ended(&self, count: usize) {
        let mut ended = self.ended.clone();
        ended.wait_for(|now| *now >= count).await.expect("the engine lives");
    }

    /// Returns its entry in the platform's list.
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

/// Serves a connection to its end, and returns `false` if it was a probe's.
async fn follow(
    mut stream: TcpStream,
    connection: usize,
    script: Script,
    seen: Arc<Mutex<Vec<Seen>>>,
    probes: Probes,
) -> bool {
    let mut unread = Vec::new();
    while let Some((head, body)) = request(&mut stream, &mut unread).await {
        if head.starts_with("GET /report") {
            probes.fetch_add(1, Ordering::Relaxed);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}").await;
            return false;
        }
        let request = Seen { connection, head, body };
        seen.lock().push(request.clone());
        match script(&request) {
            Act::Send(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
            }
            Act::SendAndClose(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
                return true;
            }
            Act::SendAndReset(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return true;
            }
            Act::SendAndLater(text, when, later) => {
                let _ = stream.write_all(text.as_bytes()).await;
                when.notified().await;
                let _ = stream.write_all(later.as_bytes()).await;
            }
            Act::Silence => {}
        }
    }
    true
}

/// Reads the next request on a connection, its head and its body. `None`: the connection ended.
async fn request(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let end = loop {
        if let Some(at) = unread.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
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
