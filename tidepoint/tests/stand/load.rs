//! Steady load: clients behind a load balancer that polls the routers' readiness as the platform does.
use crate::deployment::{get, status, Net, ROUTERS};
use crate::stand::{self, HttpMessage};
use std::fmt::{self, Debug, Formatter};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use std::{array, mem};

/// API key of a tenant with a rate limit that the load never reaches.
pub const LIMITED_KEY: &str = "limited-key";
/// API key of a tenant without a rate limit.
pub const FREE_KEY: &str = "free-key";
pub const UNARY_HOST: &str = "unary.example";
pub const STREAM_HOST: &str = "stream.example";
/// Number of concurrent clients.
const CLIENTS: usize = 8;
/// Interval between the requests of a client; longer if the previous request takes longer.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// Interval between two readiness checks of a router.
const READINESS_INTERVAL: Duration = Duration::from_secs(1);
/// Consecutive failed readiness checks after which a router gets no new requests.
const UNREADY_THRESHOLD: usize = 2;
/// Timeout until a started deployment answers all kinds of requests.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause before a request is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// 200 with the response of this request.
    Answered,
    /// 200 with anything else.
    WrongBody,
    /// 429 or 503 with `Retry-After`.
    Refused,
    /// 401 or 404, although the route and the key are configured.
    Unknown,
    /// The connection failed or ended without a complete response.
    Lost,
    /// Any other status.
    OtherStatus,
}

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    pub streaming: bool,
    /// Whether its tenant has a rate limit, which controllers enforce.
    pub limited: bool,
}

const KINDS: [Kind; 4] = [
    Kind { streaming: true, limited: true },
    Kind { streaming: false, limited: true },
    Kind { streaming: true, limited: false },
    Kind { streaming: false, limited: false },
];

/// One request of a client.
#[derive(Clone)]
pub struct Record {
    pub attempt: String,
    pub kind: Kind,
    pub router: usize,
    pub sent: Instant,
    pub ended: Instant,
    pub status: String,
    pub outcome: Outcome,
}

impl Debug for Record {
    fn fmt(&self, out: &mut Formatter) -> fmt::Result {
        let Record { attempt, kind, router, status, outcome, .. } = self;
        let took = (self.ended - self.sent).as_millis();
        write!(out, "{attempt} at router {router}, {kind:?}: {outcome:?}, status {status} after {took} ms")
    }
}

/// A round-robin load balancer over the ready routers.
struct LoadBalancer {
    ready: [AtomicBool; ROUTERS],
    next_router: AtomicUsize,
}

impl LoadBalancer {
    fn pick(&self) -> Option<usize> {
        let first = self.next_router.fetch_add(1, Ordering::Relaxed);
        (first..first + ROUTERS).map(|at| at % ROUTERS).find(|at| self.ready[*at].load(Ordering::Relaxed))
    }

    fn poll_readiness(&self, net: Net, router: usize, stop: &AtomicBool) {
        let mut consecutive_misses = 0;
        while !stop.load(Ordering::Relaxed) {
            let is_ready = get(&net.readiness(router), "/ready").is_some_and(|head| status(&head) == "200");
            consecutive_misses = if is_ready { 0 } else { consecutive_misses + 1 };
            if is_ready || consecutive_misses >= UNREADY_THRESHOLD {
                self.ready[router].store(is_ready, Ordering::Relaxed);
            }
            thread::sleep(READINESS_INTERVAL);
        }
    }
}

/// The running clients and readiness checks.
pub struct Load {
    stop: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<Record>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the clients. All routers count as ready at first.
    pub fn start(net: Net) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let records = Arc::new(Mutex::new(Vec::new()));
        let ready = array::from_fn(|_| AtomicBool::new(true));
        let load_balancer = Arc::new(LoadBalancer { ready, next_router: AtomicUsize::new(0) });
        let pollers = (0..ROUTERS).map(|router| {
            let (load_balancer, stop) = (load_balancer.clone(), stop.clone());
            thread::spawn(move || load_balancer.poll_readiness(net, router, &stop))
        });
        let clients = (0..CLIENTS).map(|client| {
            let (load_balancer, stop, records) = (load_balancer.clone(), stop.clone(), records.clone());
            thread::spawn(move || run_client(net, client, &load_balancer, &stop, &records))
        });
        let threads = pollers.chain(clients).collect();
        Load { stop, records, threads }
    }

    /// Stops the load and returns all requests.
    pub fn finish(self) -> Vec<Record> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| thread.join().expect("the thread did not panic"));
        mem::take(&mut *self.records.lock().expect("records"))
    }
}

fn run_client(net: Net, client: usize, load_balancer: &LoadBalancer, stop: &AtomicBool, records: &Mutex<Vec<Record>>) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let started = Instant::now();
        if let Some(router) = load_balancer.pick() {
            number += 1;
            let record = send_request(net, router, KINDS[client % KINDS.len()], format!("{client:x}f{number:x}"));
            records.lock().expect("records").push(record);
        }
        thread::sleep(REQUEST_INTERVAL.saturating_sub(started.elapsed()));
    }
}

/// Waits until each router answers each kind of request.
pub fn await_answers(net: Net) {
    let started = Instant::now();
    for (router, kind) in (0..ROUTERS).flat_map(|router| KINDS.map(|kind| (router, kind))) {
        for number in 0.. {
            let record = send_request(net, router, kind, format!("cf{router:x}f{number:x}"));
            if record.outcome == Outcome::Answered {
                break;
            }
            assert!(started.elapsed() < START_TIMEOUT, "{record:?}");
            thread::sleep(RETRY_INTERVAL);
        }
    }
}

fn send_request(net: Net, router: usize, kind: Kind, attempt: String) -> Record {
    let text = request(&attempt, kind);
    let sent = Instant::now();
    let reply = stand::call(&net.frontend(router), &text);
    let ended = Instant::now();
    let outcome = classify(reply.as_ref(), &attempt, kind);
    let status = reply.as_ref().map_or("none", status).to_string();
    Record { attempt, kind, router, sent, ended, status, outcome }
}

fn request(attempt: &str, kind: Kind) -> String {
    let key = if kind.limited { LIMITED_KEY } else { FREE_KEY };
    let (host, extra_fields) = match kind.streaming {
        true => (STREAM_HOST, format!("Prompt-Prefix: 5c1e07a2:100,{attempt}:50\r\n")),
        false => (UNARY_HOST, "X-Unary: 1\r\n".to_string()),
    };
    let fields = format!(
        "Host: {host}\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 150,8\r\nTime-Budget: 4000\r\n\
         Authorization: Bearer {key}\r\n{extra_fields}"
    );
    stand::request("POST", "/x/1", &fields, &request_body(attempt))
}

/// Each request has its own body, so that a response to another request is detected.
fn request_body(attempt: &str) -> String {
    format!("body-of-{attempt}")
}

fn expected_body(attempt: &str, streaming: bool) -> String {
    let body = request_body(attempt);
    match streaming {
        true => (1..=4).map(|event| format!("id: {event}\ndata: {body}-{event}\n\n")).collect(),
        false => body,
    }
}

fn classify(reply: Option<&HttpMessage>, attempt: &str, kind: Kind) -> Outcome {
    let Some(reply) = reply else { return Outcome::Lost };
    match status(reply) {
        "200" => {
            let is_own_response = reply.header("response-seal") == format!("seal-{attempt}");
            match is_own_response && reply.body == expected_body(attempt, kind.streaming).as_bytes() {
                true => Outcome::Answered,
                false => Outcome::WrongBody,
            }
        }
        "429" | "503" if !reply.header("retry-after").is_empty() => Outcome::Refused,
        "401" | "404" => Outcome::Unknown,
        _ => Outcome::OtherStatus,
    }
}
