//! A real controller with 3,000 engines, some of which change state with each poll of the platform. Some subscribers
//! read their updates and others never do. Guards against the incident in `docs/incidents/lists-at-size.md`.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{env, fs, process, thread};

use controller::startup;
use kernel::settings::{parse, Settings};
use kernel::signal;
use load_balancing::EndpointLists;
use poem::listener::TcpAcceptor;
use poem::{endpoint, Request, Route, Server};
use protocol::frame::{self, Kind};
use protocol::link::PeerClient;
use protocol::message::{
    own_protocol_version, EndpointList, HiddenKey, Message, SubscriptionRenewal, VersionEntry, ENDPOINT_UPDATES,
};
use protocol::socket;
use protocol::Dialer;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;
use tokio::time;

#[allow(dead_code)] // Each test uses only some of the fakes.
mod stand;

const CONTROL: &str = "127.0.78.1:7803";
const PEERS: &str = "127.0.78.1:7810";
const PLATFORM: &str = "127.0.78.9:7800";
const ZONES: [&str; 3] = ["a", "b", "c"];
const ENGINES_PER_ZONE: u64 = 1000;
/// Engines per zone that drain at the same time.
const DRAINING_PER_ZONE: u64 = 10;
/// Number of state changes; each generation drains other engines.
const GENERATIONS: u64 = 10;
/// Interval between two generations.
const GENERATION_INTERVAL: Duration = Duration::from_millis(400);
/// Subscribers that read their updates.
const READING: usize = 12;
/// Subscribers that never read.
const STALLED: usize = 40;
/// Interval between two renewals of a subscription, in milliseconds.
const RENEWAL_MS: u64 = 400;

fn settings(dir: &str) -> Settings {
    let text = format!(
        "node_name = \"k\"\nip = \"127.0.78.1\"\nzone = \"a\"\ninternal_ports = [7810, 7815]\n\
         seed_peers = [\"{CONTROL}\"]\nbootstrap = true\nquorum_member = true\ndata_dir = {dir:?}\n\
         [zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\n[bind_addresses]\ncontrol_plane = \"{CONTROL}\"\n\
         [limits]\nmemory_mb = 160\nfd_limit = 4000\ndisk_mb = 64\n[bounds]\ndrain_ms = 1500\n\
         [cloud_api]\naddress = \"{PLATFORM}\"\nrate_per_s = 1500.0\n"
    );
    parse(&text).expect("valid settings")
}

/// Returns whether an engine drains in a generation. Each generation drains other engines.
fn is_draining(number: u64, generation: u64) -> bool {
    number / DRAINING_PER_ZONE == generation % (ENGINES_PER_ZONE / DRAINING_PER_ZONE)
}

fn instance_page(zone: &str, generation: u64) -> String {
    let engine = |number: u64| {
        let state = if is_draining(number, generation) { "draining" } else { "up" };
        serde_json::json!({"instance_id": format!("i-{zone}-{number:06x}"), "service": "huvo11a",
            "address": format!("10.1.{}.{}:8080", number / 250, number % 250), "zone": zone, "revision": "v1",
            "slot_count": 16, "oper_state": state, "ramp_left_ms": 0, "phase": "decode",
            "model_list": [{"name": "m", "revision": 1}]})
    };
    let list: Vec<_> = (0..ENGINES_PER_ZONE).map(engine).collect();
    serde_json::json!({"instance_list": list, "next_token": null}).to_string()
}

async fn serve_platform(generation: Arc<AtomicU64>) {
    let list = endpoint::make_sync(move |request: Request| {
        let query = request.uri().query().unwrap_or("").to_string();
        let zone = ZONES.into_iter().find(|zone| query.contains(&format!("zone={zone}")));
        zone.map_or(String::new(), |zone| instance_page(zone, generation.load(Ordering::Relaxed)))
    });
    let listener = socket::listen(PLATFORM).expect("the address is free");
    let acceptor = TcpAcceptor::from_tokio(listener).expect("a listener");
    let _ = Server::new_with_acceptor(acceptor).run(Route::new().at("/instances", list)).await;
}

/// A subscriber that reads its updates.
struct Subscriber {
    name: String,
    protocol_version: u64,
    lists: Mutex<EndpointLists>,
    /// Bytes received as lists and list updates.
    received_bytes: AtomicU64,
}

fn subscription_renewal(name: &str, protocol_version: u64, mut list_versions: Vec<VersionEntry>) -> Message {
    list_versions.push(VersionEntry::new(HiddenKey::ProtocolVersion, protocol_version, 0));
    Message::SubscriptionRenewal(Box::new(SubscriptionRenewal {
        node: name.into(),
        zone: "a".into(),
        incarnation: 1,
        config_revision: 1_000_000,
        evacuation_versions: Vec::new(),
        list_versions,
        in_flight: Vec::new(),
        frontend_address: String::new(),
    }))
}

impl Subscriber {
    fn new(name: String, protocol_version: u64) -> Arc<Subscriber> {
        Arc::new(Subscriber { name, protocol_version, lists: Mutex::default(), received_bytes: AtomicU64::new(0) })
    }

    fn apply(&self, message: &Message) {
        let bytes = frame::encode(Kind::Notification, 0, message).map_or(0, |frame| frame.len() as u64);
        let mut lists = self.lists.lock().expect("lists");
        match message {
            Message::EndpointUpdate(update) => {
                lists.apply(update, 0);
            }
            Message::StateUpdate(state) => {
                for list in &state.endpoint_lists {
                    lists.update(list, 0);
                }
            }
            _ => return,
        }
        self.received_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    async fn run(self: Arc<Self>) {
        let (sender, mut pushed) = mpsc::channel(256);
        let controller = PeerClient::start(Dialer::default(), PEERS.into(), Some(sender));
        loop {
            let versions = self.lists.lock().expect("lists").versions();
            let response =
                controller.call(subscription_renewal(&self.name, self.protocol_version, versions), 2000).await;
            let end = time::Instant::now() + Duration::from_millis(RENEWAL_MS);
            while let Ok(message) = pushed.try_recv() {
                self.apply(&message);
            }
            response.iter().for_each(|message| self.apply(message));
            while let Ok(Some(message)) = time::timeout_at(end, pushed.recv()).await {
                self.apply(&message);
            }
        }
    }

    /// Returns whether all engines of the held lists have the state of a generation.
    fn holds(&self, generation: u64) -> bool {
        let lists = self.lists.lock().expect("lists");
        let by_zone: BTreeMap<&str, &EndpointList> = lists.iter().map(|list| (list.zone.as_str(), list)).collect();
        ZONES.iter().all(|zone| by_zone.get(zone).is_some_and(|list| matches_generation(list, zone, generation)))
    }
}

fn matches_generation(list: &EndpointList, zone: &str, generation: u64) -> bool {
    let up: BTreeMap<&str, bool> = list.engines.iter().map(|engine| (engine.id.as_str(), engine.up)).collect();
    let has_expected_state =
        |number: u64| up.get(format!("i-{zone}-{number:06x}").as_str()) == Some(&!is_draining(number, generation));
    list.engines.len() as u64 == ENGINES_PER_ZONE && (0..ENGINES_PER_ZONE).all(has_expected_state)
}

/// Subscribes as a router of an earlier version, which gets full lists, and never reads from the connection.
fn connect_stalled(at: usize) -> TcpStream {
    let mut stream = TcpStream::connect(PEERS).expect("connected");
    let frame = frame::encode(
        Kind::Request,
        1,
        &subscription_renewal(&format!("stalled-{at}"), ENDPOINT_UPDATES - 1, Vec::new()),
    );
    stream.write_all(&frame.expect("the message fits into a frame")).expect("the renewal is sent");
    stream
}

fn wait_until(expected: &str, limit: Duration, is_done: impl Fn() -> bool) -> Duration {
    let started = Instant::now();
    while !is_done() {
        assert!(started.elapsed() < limit, "timed out waiting for {expected}");
        thread::sleep(Duration::from_millis(5));
    }
    started.elapsed()
}

fn submit_config(base: u64, revision: u64) -> bool {
    let body = serde_json::json!({"revision": revision, "route_table": [{"name": "r", "hostname": "one.example",
        "path_prefix": "/x/", "route_type": "streaming", "timeout_ms": 3000 + revision, "service": "huvo11a"}],
        "service_table": [{"name": "huvo11a"}]});
    let text = stand::request("PUT", "/config", &format!("Host: c\r\nIf-Match: {base}\r\n"), &body.to_string());
    stand::call(CONTROL, &text).is_some_and(|head| head.start_line.contains(" 200"))
}

fn start_runtime(threads: usize) -> Runtime {
    Builder::new_multi_thread().worker_threads(threads).enable_all().build().expect("the runtime starts")
}

#[test]
fn engine_changes_reach_all_reading_subscribers_while_others_stall() {
    let dir = env::temp_dir().join(format!("tidepoint-churn-{}", process::id()));
    let _ = fs::remove_dir_all(&dir);
    let settings = settings(&dir.to_string_lossy());
    let runtime = start_runtime(2);
    let generation = Arc::new(AtomicU64::new(0));
    runtime.spawn(serve_platform(generation.clone()));
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().expect("the runtime starts");
        runtime.block_on(async { startup::run(settings, signal::watch()).await });
    });
    let limit = Duration::from_secs(30);
    wait_until("the first configuration", limit, || submit_config(0, 1));
    let current = Subscriber::new("reader-0".into(), own_protocol_version().term);
    let older = Subscriber::new("older".into(), ENDPOINT_UPDATES - 1);
    let mut subscribers: Vec<Arc<Subscriber>> =
        (1..READING).map(|at| Subscriber::new(format!("reader-{at}"), own_protocol_version().term)).collect();
    subscribers.extend([current.clone(), older.clone()]);
    for subscriber in &subscribers {
        runtime.spawn(subscriber.clone().run());
    }
    wait_until("the lists", limit, || subscribers.iter().all(|subscriber| subscriber.holds(0)));
    let stalled: Vec<TcpStream> = (0..STALLED).map(connect_stalled).collect();

    let received_before = current.received_bytes.load(Ordering::Relaxed);
    let received_before_by_older = older.received_bytes.load(Ordering::Relaxed);
    let mut acknowledged_ms = Vec::new();
    for number in 1..=GENERATIONS {
        generation.store(number, Ordering::Relaxed);
        let started = Instant::now();
        assert!(submit_config(number, number + 1), "a configuration change was not acknowledged during engine churn");
        acknowledged_ms.push(started.elapsed().as_millis());
        thread::sleep(GENERATION_INTERVAL.saturating_sub(started.elapsed()));
    }
    let delay = wait_until("the last generation", limit, || subscribers.iter().all(|reader| reader.holds(GENERATIONS)));
    let received = current.received_bytes.load(Ordering::Relaxed) - received_before;
    let received_by_older = older.received_bytes.load(Ordering::Relaxed) - received_before_by_older;
    acknowledged_ms.sort_unstable();
    println!(
        "acknowledged in {} ms (median), {} ms at most; at all subscribers {} ms after the last change; {received} B \
         of updates, {received_by_older} B of full lists",
        acknowledged_ms[acknowledged_ms.len() / 2],
        acknowledged_ms[acknowledged_ms.len() - 1],
        delay.as_millis()
    );
    drop(stalled);
    let _ = fs::remove_dir_all(&dir);
    assert!(received * 10 < received_by_older, "updates are {received} B, full lists {received_by_older} B");
    assert!(delay < Duration::from_millis(3000), "the last change arrived only after {delay:?}");
    assert!(acknowledged_ms[acknowledged_ms.len() / 2] < 500, "the median is too long: {acknowledged_ms:?}");
}
