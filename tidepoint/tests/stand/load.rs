//! Steady load: clients behind a load balancer that asks routers for readiness as the platform does.
use crate::deployment::{get, status, Net, ROUTERS};
use crate::stand::{self, Head};
use std::fmt::{self, Debug, Formatter};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use std::{array, mem};

/// The key of a tenant with a limit that is never reached, and of one without a limit.
pub const LIMITED_KEY: &str = "limited-key";
pub const FREE_KEY: &str = "free-key";
pub const UNARY_HOST: &str = "unary.example";
pub const STREAM_HOST: &str = "stream.example";
const CLIENTS: usize = 8;
/// One request of each client in this time, unless the one before takes longer.
const INTERVAL: Duration = Duration::from_millis(60);
/// Readiness is asked for once a second, and a router that misses twice gets no new requests.
const READINESS_INTERVAL: Duration = Duration::from_secs(1);
const MISSES: usize = 2;
/// How long a started deployment may take until it answers.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// 200 with the body that belongs to the request.
    Answered,
    /// 200 with anything else.
    WrongBody,
    /// 429 or 503 with `Retry-After`.
    Refused,
    /// 401 or 404 on a route that is configured.
    Unknown,
    /// The connection could not be had or ended without a whole answer.
    Lost,
    /// Any other status.
    OtherStatus,
}

/// What a client asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    pub streaming: bool,
    /// Its tenant has a limit, which controllers keep.
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

/// Routers that get new requests.
struct Balancer {
    ready: [AtomicBool; ROUTERS],
    turn: AtomicUsize,
}

impl Balancer {
    fn pick(&self) -> Option<usize> {
        let first = self.turn.fetch_add(1, Ordering::Relaxed);
        (first..first + ROUTERS).map(|at| at % ROUTERS).find(|at| self.ready[*at].load(Ordering::Relaxed))
    }

    fn watch(&self, net: Net, router: usize, stop: &AtomicBool) {
        let mut missed = 0;
        while !stop.load(Ordering::Relaxed) {
            let good = get(&net.readiness(router), "/ready").is_some_and(|head| status(&head) == "200");
            missed = if good { 0 } else { missed + 1 };
            if good || missed >= MISSES {
                self.ready[router].store(good, Ordering::Relaxed);
            }
            thread::sleep(READINESS_INTERVAL);
        }
    }
}

/// Clients under way.
pub struct Load {
    stop: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<Record>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts clients; both routers are taken for ready.
    pub fn start(net: Net) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let records = Arc::new(Mutex::new(Vec::new()));
        let ready = array::from_fn(|_| AtomicBool::new(true));
        let balancer = Arc::new(Balancer { ready, turn: AtomicUsize::new(0) });
        let watchers = (0..ROUTERS).map(|router| {
            let (balancer, stop) = (balancer.clone(), stop.clone());
            thread::spawn(move || balancer.watch(net, router, &stop))
        });
        let clients = (0..CLIENTS).map(|client| {
            let (balancer, stop, records) = (balancer.clone(), stop.clone(), records.clone());
            thread::spawn(move || run_client(net, client, &balancer, &stop, &records))
        });
        let threads = watchers.chain(clients).collect();
        Load { stop, records, threads }
    }

    pub fn finish(self) -> Vec<Record> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| thread.join().expect("a client"));
        mem::take(&mut *self.records.lock().expect("records"))
    }
}

fn run_client(net: Net, client: usize, balancer: &Balancer, stop: &AtomicBool, records: &Mutex<Vec<Record>>) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let begun = Instant::now();
        if let Some(router) = balancer.pick() {
            number += 1;
            let record = ask(net, router, KINDS[client % KINDS.len()], format!("{client:x}f{number:x}"));
            records.lock().expect("records").push(record);
        }
        thread::sleep(INTERVAL.saturating_sub(begun.elapsed()));
    }
}

/// Waits until each router answers each kind of request.
pub fn await_answers(net: Net) {
    let begun = Instant::now();
    for (router, kind) in (0..ROUTERS).flat_map(|router| KINDS.map(|kind| (router, kind))) {
        for number in 0.. {
            let record = ask(net, router, kind, format!("cf{router:x}f{number:x}"));
            if record.outcome == Outcome::Answered {
                break;
            }
            assert!(begun.elapsed() < ANSWER_LIMIT, "{record:?}");
            thread::sleep(RETRY_PAUSE);
        }
    }
}

fn ask(net: Net, router: usize, kind: Kind, attempt: String) -> Record {
    let text = request(&attempt, kind);
    let sent = Instant::now();
    let reply = stand::call(&net.frontend(router), &text);
    let ended = Instant::now();
    let outcome = judge(reply.as_ref(), &attempt, kind);
    let status = reply.as_ref().map_or("none", status).to_string();
    Record { attempt, kind, router, sent, ended, status, outcome }
}

fn request(attempt: &str, kind: Kind) -> String {
    let key = if kind.limited { LIMITED_KEY } else { FREE_KEY };
    let (host, more) = match kind.streaming {
        true => (STREAM_HOST, format!("Prompt-Prefix: 5c1e07a2:100,{attempt}:50\r\n")),
        false => (UNARY_HOST, "X-Unary: 1\r\n".to_string()),
    };
    let fields = format!(
        "Host: {host}\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 150,8\r\nTime-Budget: 4000\r\n\
         Authorization: Bearer {key}\r\n{more}"
    );
    stand::request("POST", "/x/1", &fields, &body_of(attempt))
}

/// No two requests have the same body, so that an answer which belongs to another one is seen.
fn body_of(attempt: &str) -> String {
    format!("body-of-{attempt}")
}

fn expected_body(attempt: &str, streaming: bool) -> String {
    let body = body_of(attempt);
    match streaming {
        true => (1..=4).map(|event| format!("id: {event}\ndata: {body}-{event}\n\n")).collect(),
        false => body,
    }
}

fn judge(reply: Option<&Head>, attempt: &str, kind: Kind) -> Outcome {
    let Some(reply) = reply else { return Outcome::Lost };
    match status(reply) {
        "200" => {
            let sealed = reply.get("response-seal") == format!("seal-{attempt}");
            match sealed && reply.body == expected_body(attempt, kind.streaming).as_bytes() {
                true => Outcome::Answered,
                false => Outcome::WrongBody,
            }
        }
        "429" | "503" if !reply.get("retry-after").is_empty() => Outcome::Refused,
        "401" | "404" => Outcome::Unknown,
        _ => Outcome::OtherStatus,
    }
}
