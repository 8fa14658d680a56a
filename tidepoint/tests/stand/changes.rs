//! An operator who changes the configuration all the while, and clients that look when each change is in force.
//! A change adds a route and a tenant of its own and takes away those of an older change.
use crate::deployment::{get, status, Net, Service, Services, CONTROLLERS};
use crate::load::{FREE_KEY, LIMITED_KEY, STREAM_HOST, UNARY_HOST};
use crate::stand::{self, Head};
use serde_json::{json, Value};
use std::fmt::{self, Debug, Formatter};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// What a change may take beyond `converge_ms` until a client sees it: the probe itself, and a busy machine.
pub const MARGIN: Duration = Duration::from_millis(500);
const INTERVAL: Duration = Duration::from_millis(400);
const PROBE_INTERVAL: Duration = Duration::from_millis(10);
/// How long a change may stay without a clear outcome.
const ACKNOWLEDGE_LIMIT: Duration = Duration::from_secs(20);
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// A change takes away what came so many changes before it.
const KEPT: u64 = 40;
/// Every so many changes one is a whole configuration instead of a patch.
const WHOLE_EVERY: u64 = 4;
/// Every so many changes one is sent again, unchanged, to another controller.
const RESENT_EVERY: u64 = 5;

/// A rate that the load never reaches.
const HIGH_RATE: f64 = 5000.0;

/// A change that was acknowledged.
#[derive(Clone, Debug)]
pub struct Acknowledged {
    pub number: u64,
    pub at: Instant,
    pub took: Duration,
    /// Calls without a clear outcome before that, each as `controller: answer after ms`.
    pub unclear: Vec<String>,
}

/// When a router had a change in force, counted from its acknowledgement or from when the router came into service.
#[derive(Clone, Copy)]
pub struct Sighting {
    pub number: u64,
    pub router: usize,
    pub seen: Instant,
    pub took: Duration,
}

impl Debug for Sighting {
    fn fmt(&self, out: &mut Formatter) -> fmt::Result {
        write!(out, "change {} at router {} after {} ms", self.number, self.router, self.took.as_millis())
    }
}

/// The operator's own copy of the configuration. Invariant: `value` is the one that was acknowledged last.
pub struct Operator {
    net: Net,
    value: Mutex<Value>,
    acknowledged: Mutex<Vec<Acknowledged>>,
    /// Read-backs that were compared.
    compared: Mutex<u64>,
}

fn route(name: &str, host: &str, kind: &str) -> Value {
    json!({"name": name, "hostname": host, "path_prefix": "/x/", "route_type": kind, "timeout_ms": 8000,
        "target_ms": 400, "service": "s", "retry_count": 2, "resumable": true, "persistent": true})
}

/// A rate of 0 is no limit.
fn tenant(name: &str, key: &str, rate: f64) -> Value {
    json!({"name": name, "api_keys": [key], "priority": 1, "rate_per_s": rate, "burst_size": rate})
}

fn first() -> Value {
    json!({"revision": 1,
        "route_table": [route("unary", UNARY_HOST, "idempotent"), route("stream", STREAM_HOST, "streaming")],
        "service_table": [{"name": "s", "max_connections": 600, "engine": {"slot_count": 64, "kv_hold_s": 5.0,
            "kv_capacity": 1000, "kv_token_bytes": 10, "link_mbps": 10.0, "model_list": [{"name": "m"}]}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
        "tenant_table": [tenant("limited", LIMITED_KEY, HIGH_RATE), tenant("free", FREE_KEY, 0.0)]})
}

fn marker(number: u64) -> String {
    format!("marker-{number}")
}

fn revision(value: &Value) -> u64 {
    value["revision"].as_u64().expect("a revision")
}

/// Replaces what has the same name, as a patch does, and takes away what is named.
fn edit(table: &mut Value, added: Value, removed: &str) {
    let list = table.as_array_mut().expect("a table");
    list.retain(|item| item["name"] != removed && item["name"] != added["name"]);
    list.push(added);
}

/// The order of the items in a table is left to the system.
fn in_order(value: &Value) -> Value {
    let mut value = value.clone();
    for table in ["route_table", "tenant_table", "service_table"] {
        let list = value[table].as_array_mut().expect("a table");
        list.sort_by_key(|item| item["name"].as_str().unwrap_or("").to_string());
    }
    value
}

impl Operator {
    /// Submits the first configuration.
    pub fn start(net: Net) -> Operator {
        let operator =
            Operator { net, value: Mutex::new(first()), acknowledged: Mutex::default(), compared: Mutex::default() };
        operator.submit(0, "PUT", 0, &first().to_string());
        operator
    }

    pub fn acknowledged(&self) -> Vec<Acknowledged> {
        self.acknowledged.lock().expect("acknowledged").clone()
    }

    fn nth(&self, index: usize) -> Option<Acknowledged> {
        self.acknowledged.lock().expect("acknowledged").get(index).cloned()
    }

    pub fn compared(&self) -> u64 {
        *self.compared.lock().expect("compared")
    }

    /// Makes changes until told to stop. The last one is acknowledged when this returns.
    pub fn run(&self, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            let begun = Instant::now();
            self.change_once();
            if !stop.load(Ordering::Relaxed) {
                thread::sleep(INTERVAL.saturating_sub(begun.elapsed()));
            }
        }
    }

    fn change_once(&self) {
        let number = self.acknowledged.lock().expect("acknowledged").len() as u64 + 1;
        let removed = number.checked_sub(KEPT).filter(|old| *old > 0).map_or(String::new(), marker);
        let mut next = self.value.lock().expect("value").clone();
        let base = revision(&next);
        let (new_route, new_tenant) = added(number);
        edit(&mut next["route_table"], new_route.clone(), &removed);
        edit(&mut next["tenant_table"], new_tenant.clone(), &removed);
        next["revision"] = json!(base + 1);
        let (method, body) = match number % WHOLE_EVERY {
            0 => ("PUT", next.clone()),
            _ => ("PATCH", patch(base + 1, new_route, new_tenant, &removed)),
        };
        let (controller, begun) = (number as usize % CONTROLLERS, Instant::now());
        let unclear = self.submit(controller, method, base, &body.to_string());
        let at = Instant::now();
        *self.value.lock().expect("value") = next;
        let change = Acknowledged { number, at, took: at - begun, unclear };
        self.acknowledged.lock().expect("acknowledged").push(change);
        if number.is_multiple_of(RESENT_EVERY) {
            self.submit(controller + 1, method, base, &body.to_string());
        }
        self.compare((controller + 1) % CONTROLLERS);
    }

    /// Sends a change, unchanged, from controller to controller until one says 200. Gives the calls before that.
    fn submit(&self, first: usize, method: &str, base: u64, body: &str) -> Vec<String> {
        let text = stand::request(method, "/config", &format!("Host: c\r\nIf-Match: {base}\r\n"), body);
        let (begun, mut unclear) = (Instant::now(), Vec::new());
        for at in first.. {
            let (controller, called) = (at % CONTROLLERS, Instant::now());
            let reply = stand::call(&self.net.control(controller), &text);
            match reply.as_ref().map_or("none", status) {
                "200" => return unclear,
                // No clear outcome here, or another controller is to be asked.
                code @ ("none" | "503" | "307") => {
                    unclear.push(format!("{controller}: {code} after {} ms", called.elapsed().as_millis()));
                }
                code => {
                    panic!("base {base}: {code} {:?}", reply.as_ref().map(|head| String::from_utf8_lossy(&head.body)))
                }
            }
            thread::sleep(RETRY_PAUSE);
            assert!(begun.elapsed() < ACKNOWLEDGE_LIMIT, "no controller acknowledges the change of {base}");
        }
        unreachable!("the attempts have no end")
    }

    /// A controller that answers gives what was acknowledged last; true if it answered.
    fn compare(&self, controller: usize) -> bool {
        let reply = get(&self.net.control(controller), "/config").filter(|head| status(head) == "200");
        let Some(reply) = reply else { return false };
        let found: Value = serde_json::from_slice(&reply.body).expect("whole");
        let wanted = self.value.lock().expect("value").clone();
        assert_eq!(in_order(&found), in_order(&wanted), "read at controller {controller}");
        *self.compared.lock().expect("compared") += 1;
        true
    }

    /// All controllers answer, and give what was acknowledged last.
    pub fn compare_everywhere(&self) {
        for controller in 0..CONTROLLERS {
            let begun = Instant::now();
            while !self.compare(controller) {
                assert!(begun.elapsed() < ACKNOWLEDGE_LIMIT, "controller {controller} gives no configuration");
                thread::sleep(RETRY_PAUSE);
            }
        }
    }
}

fn added(number: u64) -> (Value, Value) {
    let name = marker(number);
    (route(&name, &format!("{name}.example"), "idempotent"), tenant(&name, &format!("key-{number}"), 0.0))
}

fn patch(revision: u64, route: Value, tenant: Value, removed: &str) -> Value {
    let mut patch = json!({"revision": revision, "upsert": {"route_table": [route], "tenant_table": [tenant]}});
    if !removed.is_empty() {
        patch["withdraw"] = json!({"route_table": [removed], "tenant_table": [removed]});
    }
    patch
}

/// Asks a router on the route of a change, with the key of its tenant.
fn probe(net: Net, router: usize, number: u64, attempt: &str) -> Option<Head> {
    let fields = format!(
        "Host: {}.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 20,2\r\nTime-Budget: 4000\r\n\
         Authorization: Bearer key-{number}\r\nX-Unary: 1\r\n",
        marker(number)
    );
    stand::call(&net.frontend(router), &stand::request("POST", "/x/1", &fields, "probe"))
}

/// Follows all changes at one router until it is told to stop and has seen the last.
pub fn watch(operator: &Operator, services: &Services, router: usize, stop: &AtomicBool) -> Vec<Sighting> {
    let mut seen = Vec::new();
    loop {
        match operator.nth(seen.len()) {
            Some(change) => seen.push(sight(operator.net, services, router, &change)),
            None if stop.load(Ordering::Relaxed) => return seen,
            None => thread::sleep(PROBE_INTERVAL),
        }
    }
}

/// Probes until the change is in force at the router. While the router is out of service nothing is asked of it.
fn sight(net: Net, services: &Services, router: usize, change: &Acknowledged) -> Sighting {
    let number = change.number;
    for attempt in 0.. {
        if let Service::In(since) = services.of(router) {
            let from = change.at.max(since);
            let reply = probe(net, router, number, &format!("a{router:x}f{number:x}f{attempt:x}"));
            let (seen, took) = (Instant::now(), from.elapsed());
            if reply.is_some_and(|head| status(&head) == "200") {
                return Sighting { number, router, seen, took };
            }
            let same = services.of(router) == Service::In(since);
            assert!(!same || took < ACKNOWLEDGE_LIMIT, "change {number} never came to router {router}");
        }
        thread::sleep(PROBE_INTERVAL);
    }
    unreachable!("the attempts have no end")
}

/// What was acknowledged and not withdrawn is served on a router, and what was withdrawn has no route there.
pub fn assert_in_force(operator: &Operator, router: usize) {
    let last = operator.acknowledged().len() as u64;
    for number in 1..=last {
        let kept = number + KEPT > last;
        let reply = probe(operator.net, router, number, &format!("b{router:x}f{number:x}")).expect("an answer");
        let wanted = if kept { "200" } else { "404" };
        assert_eq!(status(&reply), wanted, "change {number} of {last} at router {router}");
    }
}
