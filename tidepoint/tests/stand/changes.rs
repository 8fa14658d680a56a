//! An operator that changes the configuration continuously, and clients that probe when each change is in force.
//! Each change adds its own route and tenant and removes those of an older change.
use crate::deployment::{get, status, Net, Service, Services, CONTROLLERS};
use crate::load::{FREE_KEY, LIMITED_KEY, STREAM_HOST, UNARY_HOST};
use crate::stand::{self, HttpMessage};
use serde_json::{json, Value};
use std::fmt::{self, Debug, Formatter};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Allowance beyond `converge_ms` until a client sees a change, for the probe itself and for a busy machine.
pub const CONVERGENCE_MARGIN: Duration = Duration::from_millis(500);
/// Interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two probes of a router.
const PROBE_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout until a change is acknowledged, read back or in force.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause before a call to a controller is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Number of changes that stay in force; each change removes the items of the one this many before it.
const RETAINED_CHANGES: u64 = 40;
/// One change in this many replaces the whole configuration instead of patching it.
const FULL_CONFIG_EVERY: u64 = 4;
/// One change in this many is sent again, unchanged, to another controller.
const RESEND_EVERY: u64 = 5;

/// Rate limit in requests per second that the load never reaches.
const HIGH_RATE: f64 = 5000.0;

/// An acknowledged change.
#[derive(Clone, Debug)]
pub struct AcknowledgedChange {
    pub number: u64,
    pub acknowledged_at: Instant,
    pub elapsed: Duration,
    /// Earlier calls without a clear outcome, each as `controller: status after ms`.
    pub unclear_calls: Vec<String>,
}

/// When a router had a change in force. The delay counts from the acknowledgement, or from when the router came into
/// service if that is later.
#[derive(Clone, Copy)]
pub struct Activation {
    pub number: u64,
    pub router: usize,
    pub seen_at: Instant,
    pub elapsed: Duration,
}

impl Debug for Activation {
    fn fmt(&self, out: &mut Formatter) -> fmt::Result {
        write!(out, "change {} at router {} after {} ms", self.number, self.router, self.elapsed.as_millis())
    }
}

/// The operator, with its copy of the configuration. Invariant: `value` is the last acknowledged configuration.
pub struct Operator {
    net: Net,
    value: Mutex<Value>,
    acknowledged: Mutex<Vec<AcknowledgedChange>>,
    /// Number of configurations read back and compared.
    comparisons: Mutex<u64>,
}

fn route(name: &str, host: &str, kind: &str) -> Value {
    json!({"name": name, "hostname": host, "path_prefix": "/x/", "route_type": kind, "timeout_ms": 8000,
        "target_ms": 400, "service": "s", "retry_count": 2, "resumable": true, "persistent": true})
}

/// A rate of 0 means no limit.
fn tenant(name: &str, key: &str, rate: f64) -> Value {
    json!({"name": name, "api_keys": [key], "priority": 1, "rate_per_s": rate, "burst_size": rate})
}

fn initial_config() -> Value {
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

/// Adds an item or replaces the one of the same name, as a patch does, and removes the item named `removed`.
fn update_table(table: &mut Value, added: Value, removed: &str) {
    let list = table.as_array_mut().expect("a table");
    list.retain(|item| item["name"] != removed && item["name"] != added["name"]);
    list.push(added);
}

/// Sorts the items of each table by name, because their order is unspecified.
fn sort_tables(value: &Value) -> Value {
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
        let operator = Operator {
            net,
            value: Mutex::new(initial_config()),
            acknowledged: Mutex::default(),
            comparisons: Mutex::default(),
        };
        operator.submit(0, "PUT", 0, &initial_config().to_string());
        operator
    }

    pub fn acknowledged(&self) -> Vec<AcknowledgedChange> {
        self.acknowledged.lock().expect("acknowledged").clone()
    }

    fn nth(&self, index: usize) -> Option<AcknowledgedChange> {
        self.acknowledged.lock().expect("acknowledged").get(index).cloned()
    }

    pub fn comparisons(&self) -> u64 {
        *self.comparisons.lock().expect("comparisons")
    }

    /// Makes changes until `stop` is set. When it returns, the last change is acknowledged.
    pub fn run(&self, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            let started = Instant::now();
            self.change_once();
            if !stop.load(Ordering::Relaxed) {
                thread::sleep(CHANGE_INTERVAL.saturating_sub(started.elapsed()));
            }
        }
    }

    fn change_once(&self) {
        let number = self.acknowledged.lock().expect("acknowledged").len() as u64 + 1;
        let removed = number.checked_sub(RETAINED_CHANGES).filter(|old| *old > 0).map_or(String::new(), marker);
        let mut next = self.value.lock().expect("value").clone();
        let base = revision(&next);
        let (new_route, new_tenant) = change_items(number);
        update_table(&mut next["route_table"], new_route.clone(), &removed);
        update_table(&mut next["tenant_table"], new_tenant.clone(), &removed);
        next["revision"] = json!(base + 1);
        let (method, body) = match number % FULL_CONFIG_EVERY {
            0 => ("PUT", next.clone()),
            _ => ("PATCH", patch(base + 1, new_route, new_tenant, &removed)),
        };
        let (controller, started) = (number as usize % CONTROLLERS, Instant::now());
        let unclear_calls = self.submit(controller, method, base, &body.to_string());
        let acknowledged_at = Instant::now();
        *self.value.lock().expect("value") = next;
        let change = AcknowledgedChange { number, acknowledged_at, elapsed: acknowledged_at - started, unclear_calls };
        self.acknowledged.lock().expect("acknowledged").push(change);
        if number.is_multiple_of(RESEND_EVERY) {
            self.submit(controller + 1, method, base, &body.to_string());
        }
        self.compare_at((controller + 1) % CONTROLLERS);
    }

    /// Sends the same change to one controller after another until one returns 200. Returns the calls before that.
    fn submit(&self, first: usize, method: &str, base: u64, body: &str) -> Vec<String> {
        let text = stand::request(method, "/config", &format!("Host: c\r\nIf-Match: {base}\r\n"), body);
        let (started, mut unclear_calls) = (Instant::now(), Vec::new());
        for at in first.. {
            let (controller, called) = (at % CONTROLLERS, Instant::now());
            let reply = stand::call(&self.net.control(controller), &text);
            match reply.as_ref().map_or("none", status) {
                "200" => return unclear_calls,
                // The outcome is unclear, or the call is redirected to another controller.
                code @ ("none" | "503" | "307") => {
                    unclear_calls.push(format!("{controller}: {code} after {} ms", called.elapsed().as_millis()));
                }
                code => {
                    panic!("base {base}: {code} {:?}", reply.as_ref().map(|head| String::from_utf8_lossy(&head.body)))
                }
            }
            thread::sleep(RETRY_INTERVAL);
            assert!(
                started.elapsed() < ACKNOWLEDGE_TIMEOUT,
                "no controller acknowledged the change on base revision {base}"
            );
        }
        unreachable!("the loop is endless")
    }

    /// Asserts that a controller returns the last acknowledged configuration. Returns false if it did not answer.
    fn compare_at(&self, controller: usize) -> bool {
        let reply = get(&self.net.control(controller), "/config").filter(|head| status(head) == "200");
        let Some(reply) = reply else { return false };
        let found: Value = serde_json::from_slice(&reply.body).expect("the body is JSON");
        let wanted = self.value.lock().expect("value").clone();
        assert_eq!(sort_tables(&found), sort_tables(&wanted), "read at controller {controller}");
        *self.comparisons.lock().expect("comparisons") += 1;
        true
    }

    /// Waits until all controllers answer, and asserts that each returns the last acknowledged configuration.
    pub fn compare_everywhere(&self) {
        for controller in 0..CONTROLLERS {
            let started = Instant::now();
            while !self.compare_at(controller) {
                assert!(started.elapsed() < ACKNOWLEDGE_TIMEOUT, "controller {controller} returns no configuration");
                thread::sleep(RETRY_INTERVAL);
            }
        }
    }
}

fn change_items(number: u64) -> (Value, Value) {
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

/// Sends a request to a router on the route of a change, with the key of that change's tenant.
fn probe(net: Net, router: usize, number: u64, attempt: &str) -> Option<HttpMessage> {
    let fields = format!(
        "Host: {}.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 20,2\r\nTime-Budget: 4000\r\n\
         Authorization: Bearer key-{number}\r\nX-Unary: 1\r\n",
        marker(number)
    );
    stand::call(&net.frontend(router), &stand::request("POST", "/x/1", &fields, "probe"))
}

/// Observes all changes at one router until `stop` is set and the last change is in force.
pub fn watch(operator: &Operator, services: &Services, router: usize, stop: &AtomicBool) -> Vec<Activation> {
    let mut activations = Vec::new();
    loop {
        match operator.nth(activations.len()) {
            Some(change) => activations.push(await_activation(operator.net, services, router, &change)),
            None if stop.load(Ordering::Relaxed) => return activations,
            None => thread::sleep(PROBE_INTERVAL),
        }
    }
}

/// Probes a router until the change is in force. A router that is out of service is not probed.
fn await_activation(net: Net, services: &Services, router: usize, change: &AcknowledgedChange) -> Activation {
    let number = change.number;
    for attempt in 0.. {
        if let Service::In(since) = services.of(router) {
            let from = change.acknowledged_at.max(since);
            let reply = probe(net, router, number, &format!("a{router:x}f{number:x}f{attempt:x}"));
            let (seen_at, elapsed) = (Instant::now(), from.elapsed());
            if reply.is_some_and(|head| status(&head) == "200") {
                return Activation { number, router, seen_at, elapsed };
            }
            let is_uninterrupted = services.of(router) == Service::In(since);
            assert!(
                !is_uninterrupted || elapsed < ACKNOWLEDGE_TIMEOUT,
                "change {number} never came into force at router {router}"
            );
        }
        thread::sleep(PROBE_INTERVAL);
    }
    unreachable!("the loop is endless")
}

/// Asserts that a router serves all acknowledged routes that were not withdrawn, and answers 404 on the withdrawn ones.
pub fn assert_in_force(operator: &Operator, router: usize) {
    let last = operator.acknowledged().len() as u64;
    for number in 1..=last {
        let is_retained = number + RETAINED_CHANGES > last;
        let reply =
            probe(operator.net, router, number, &format!("b{router:x}f{number:x}")).expect("the router answers");
        let wanted = if is_retained { "200" } else { "404" };
        assert_eq!(status(&reply), wanted, "change {number} of {last} at router {router}");
    }
}
