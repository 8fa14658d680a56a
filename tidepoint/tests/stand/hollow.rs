//! Hollow routers, which share a process: they follow a controller, confirm what they get, and look prompts up, but
//! carry no requests. And the platform with its list of engines.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use kernel::hashing;
use poem::listener::TcpAcceptor;
use poem::{endpoint, Request, Route, Server};
use protocol::config_update::ConfigUpdate;
use protocol::frame::{self, Kind};
use protocol::link::PeerClient;
use protocol::message::{
    self, EngineLoad, Message, PrefixLookup, PrefixRegistration, Record, SubscriptionRenewal, VersionEntry,
};
use protocol::socket;
use reqwest::Client;
use serde_json::Value;
use shape::{engine, route};
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

#[path = "shape.rs"]
mod shape;

#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub routers: usize,
    pub engines: usize,
    pub routes: usize,
    /// Look-ups and registrations a second, of all hollow routers.
    pub seeks: usize,
    /// Changes of the configuration a second.
    pub changes: f64,
}

pub struct Fleet {
    net: u8,
    size: Size,
    zones: Vec<String>,
    seats: Vec<Arc<Seat>>,
    client: Client,
}

/// A hollow router. Invariant: `config` never goes back.
#[derive(Default)]
struct Seat {
    config: AtomicU64,
    sheets: Mutex<BTreeMap<String, (u64, u64)>>,
    catalog: Mutex<(u64, String)>,
    sure: AtomicBool,
    /// Bytes sent to its controller and got from it, as frames.
    sent: AtomicU64,
    got: AtomicU64,
}

/// The size of a message on the wire.
pub fn size(msg: &Message) -> u64 {
    frame::encode(Kind::Notification, 0, msg).map_or(0, |frame| frame.len() as u64)
}

fn controller(net: u8, at: usize) -> String {
    format!("127.0.{net}.{}:7810", at % 3 + 1)
}

impl Seat {
    fn take(&self, msg: Message) {
        self.got.fetch_add(size(&msg), Ordering::Relaxed);
        match msg {
            Message::ConfigUpdate(body) | Message::TenantConfigUpdate(body) => {
                let Some(change) = ConfigUpdate::decode(&body) else { return };
                let has = self.config.load(Ordering::Relaxed);
                if change.from == 0 || change.from == has {
                    self.config.fetch_max(change.to, Ordering::Relaxed);
                }
            }
            Message::StateUpdate(news) => {
                let mut sheets = self.sheets.lock().expect("sheets");
                sheets
                    .extend(news.endpoint_lists.iter().map(|sheet| (sheet.zone.clone(), (sheet.term, sheet.sequence))));
                let mut catalog = self.catalog.lock().expect("catalog");
                if news.catalog.0 > catalog.0 {
                    *catalog = news.catalog;
                }
                self.sure.store(news.confirmed, Ordering::Relaxed);
            }
            _ => {}
        }
    }

    fn standing(&self, at: usize, zone: &str) -> Message {
        let held = self.sheets.lock().expect("sheets").clone();
        let mut sheets: Vec<VersionEntry> =
            held.into_iter().map(|(zone, (turn, count))| VersionEntry::new(zone, turn, count)).collect();
        sheets.push(message::own_protocol_version());
        // What a router of the expected fleet has in hand: some two dozen requests.
        let busy = (0..24).map(|step| (format!("i-{}", (at * 31 + step * 7) % 400), 1)).collect();
        Message::SubscriptionRenewal(Box::new(SubscriptionRenewal {
            node: format!("hollow-{at}"),
            zone: zone.into(),
            incarnation: 1,
            config_revision: self.config.load(Ordering::Relaxed),
            evacuation_versions: Vec::new(),
            list_versions: sheets,
            in_flight: busy,
            frontend_address: String::new(),
        }))
    }
}

async fn follow(seat: Arc<Seat>, at: usize, net: u8, zone: String) {
    let (send, mut casts) = mpsc::channel(256);
    let home = PeerClient::start(controller(net, at), Some(send));
    loop {
        let standing = seat.standing(at, &zone);
        seat.sent.fetch_add(size(&standing), Ordering::Relaxed);
        if let Some(reply) = home.call(standing, 2000).await {
            seat.take(reply);
        }
        let end = Instant::now() + Duration::from_millis(400);
        while let Ok(Some(cast)) = time::timeout_at(end, casts.recv()).await {
            seat.take(cast);
        }
    }
}

impl Fleet {
    pub async fn start(net: u8, size: Size, zones: &[&str]) -> Fleet {
        let lists: Vec<(String, String)> = zones
            .iter()
            .enumerate()
            .map(|(zone, name)| {
                let list: Vec<_> =
                    (0..size.engines).filter(|at| at % zones.len() == zone).map(|at| engine(at, name)).collect();
                (name.to_string(), serde_json::json!({"instance_list": list, "next_token": null}).to_string())
            })
            .collect();
        let app = Route::new().at(
            "/instances",
            endpoint::make_sync(move |req: Request| {
                let query = req.uri().query().unwrap_or("").to_string();
                let found = lists.iter().find(|(name, _)| query.contains(&format!("zone={name}")));
                found.map_or(String::new(), |(_, body)| body.clone())
            }),
        );
        let listener = socket::listen(&format!("127.0.{net}.99:7800")).expect("a free address");
        let acceptor = TcpAcceptor::from_tokio(listener).expect("a listener");
        tokio::spawn(Server::new_with_acceptor(acceptor).run(app));
        let seats: Vec<Arc<Seat>> = (0..size.routers).map(|_| Arc::default()).collect();
        for (at, seat) in seats.iter().enumerate() {
            tokio::spawn(follow(seat.clone(), at, net, zones[at % zones.len()].to_string()));
        }
        let client = Client::builder().no_proxy().build().expect("a client");
        Fleet { net, size, zones: zones.iter().map(|zone| zone.to_string()).collect(), seats, client }
    }

    /// How many engines the platform lists.
    pub async fn listed(&self) -> usize {
        let mut count = 0;
        for zone in &self.zones {
            let url = format!("http://127.0.{}.99:7800/instances?zone={zone}", self.net);
            let text = self.client.get(url).send().await.expect("an answer").text().await.expect("whole");
            let value: Value = serde_json::from_str(&text).expect("whole");
            count += value["instance_list"].as_array().map_or(0, Vec::len);
        }
        count
    }

    async fn change(&self, patch: bool, base: u64, body: String) {
        let url = format!("http://127.0.{}.1:7803/config", self.net);
        loop {
            let call = if patch { self.client.patch(&url) } else { self.client.put(&url) };
            let reply = call.header("if-match", base).body(body.clone()).send().await;
            if reply.is_ok_and(|reply| reply.status().is_success()) {
                return;
            }
            time::sleep(Duration::from_millis(100)).await;
        }
    }

    pub async fn configure(&self) {
        let routes: Vec<_> = (0..self.size.routes).map(|at| route(at, 3000)).collect();
        let body = serde_json::json!({"revision": 1, "route_table": routes, "service_table": [{"name": "s"}]});
        self.change(false, 0, body.to_string()).await;
    }

    async fn until(&self, revision: u64) {
        while self.seats.iter().any(|seat| seat.config.load(Ordering::Relaxed) < revision) {
            time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Until everything is known everywhere and singleton roles are owned.
    pub async fn settle(&self) {
        self.until(1).await;
        let ready = |seat: &Arc<Seat>| seat.sure.load(Ordering::Relaxed) && seat.catalog.lock().expect("catalog").0 > 0;
        while !self.seats.iter().all(ready) {
            time::sleep(Duration::from_millis(20)).await;
        }
        time::sleep(Duration::from_secs(2)).await;
    }

    fn bytes(&self) -> (u64, u64) {
        let sum =
            |list: fn(&Seat) -> &AtomicU64| self.seats.iter().map(|seat| list(seat).load(Ordering::Relaxed)).sum();
        (sum(|seat| &seat.sent), sum(|seat| &seat.got))
    }

    /// Plays for some seconds; gives the longest that a change took from its acknowledgement to the last router,
    /// and the bytes a second that a router sent and got.
    pub async fn play(&self, seconds: u64) -> (u64, u64, u64) {
        let from = self.bytes();
        let end = Instant::now() + Duration::from_secs(seconds);
        let seeking = tokio::spawn(seek(self.seats[0].clone(), self.size.seeks, self.net));
        let (mut revision, mut late) = (1u64, 0u64);
        let pause = Duration::from_secs_f64(1.0 / self.size.changes.max(0.01));
        while Instant::now() < end {
            let begun = Instant::now();
            let body = serde_json::json!({"revision": revision + 1,
                "upsert": {"route_table": [route(revision as usize % self.size.routes, 3000 + revision)]}});
            self.change(true, revision, body.to_string()).await;
            revision += 1;
            let acked = Instant::now();
            self.until(revision).await;
            late = late.max(acked.elapsed().as_millis() as u64);
            time::sleep_until((begun + pause).min(end)).await;
        }
        seeking.abort();
        let (to, each) = (self.bytes(), seconds * self.size.routers as u64);
        (late, (to.0 - from.0) / each, (to.1 - from.1) / each)
    }
}

/// Look-ups, registrations and flushes as a request makes them, spread evenly.
async fn seek(seat: Arc<Seat>, rate: usize, net: u8) {
    let (epoch, holder) = seat.catalog.lock().expect("catalog").clone();
    let callers: Vec<_> = (0..16).map(|_| Arc::new(PeerClient::start(format!("{holder}:7810"), None))).collect();
    let mut beat = time::interval(Duration::from_millis(10));
    let (mut number, mut owed) = (u64::from(net), 0.0);
    loop {
        beat.tick().await;
        owed += rate as f64 / 100.0;
        while owed >= 1.0 {
            (owed, number) = (owed - 1.0, number + 1);
            let (caller, key) = (callers[number as usize % 16].clone(), hashing::combine(number, 1));
            tokio::spawn(async move {
                let sample = (0..10).map(|at| hashing::combine(key, at)).collect();
                let ask = PrefixLookup { epoch, keys: vec![key, key + 1], sample };
                caller.call(Message::PrefixLookup(Box::new(ask)), 500).await;
                for engine in [key % 400, key % 399] {
                    let id = format!("i-{engine}");
                    let told = EngineLoad { engine_hash: hashing::hash(id.as_bytes()), load: 3, age_ms: 0 };
                    let record = |key| Record { key, engine: id.clone() };
                    let note = PrefixRegistration {
                        epoch,
                        owners: (0..3).map(|at| record(key + at)).collect(),
                        loads: vec![told],
                    };
                    caller.notify(Message::PrefixRegistration(Box::new(note)));
                }
                caller.call(Message::Flush(Box::new((epoch, 3))), 500).await;
            });
        }
    }
}
