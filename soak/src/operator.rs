//! An operator that changes the configuration throughout a run and reads it back.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use kernel::Rng;
use serde_json::{json, Value};
use tokio::time;

use crate::fleet::Network;
use crate::http::{self, HttpMessage};
use crate::scenario::{random_below, Scenario};

/// Hostname of the route that clients use.
pub const HOST: &str = "soak.example";
/// Exclusive upper bound of the pause between two changes, in milliseconds.
const MAX_PAUSE_MS: u64 = 700;
/// Delay before a call without a definite outcome is retried.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Timeout of a call to a controller.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// What the operator observed.
#[derive(Debug, Default)]
pub struct OperatorLog {
    /// The latest acknowledged revision.
    pub acknowledged: u64,
    /// Reads that returned a revision older than the one acknowledged before the read, and rejections of valid changes.
    pub violations: Vec<String>,
}

/// The operator of a run.
pub struct Operator {
    network: Network,
    controllers: usize,
    rng: Rng,
    log: OperatorLog,
}

/// Number of tenants.
pub const TENANT_COUNT: usize = 2;

/// Returns the API key of a tenant. Indexes beyond the last tenant wrap around.
pub fn tenant_key(tenant: usize) -> String {
    format!("key-{}", tenant % TENANT_COUNT)
}

fn tenant(number: usize) -> Value {
    json!({"name": format!("tenant-{number}"), "api_keys": [tenant_key(number)], "priority": 1, "rate_per_s": 0, "burst_size": 0})
}

fn configuration(revision: u64) -> Value {
    json!({"revision": revision,
        "route_table": [{"name": "soak", "hostname": HOST, "path_prefix": "/x/", "route_type": "streaming",
            "timeout_ms": 8000 + revision % 5, "target_ms": 400, "gap_target_ms": 1000, "service": "s",
            "retry_count": 2, "persistent": true}],
        "service_table": [{"name": "s", "max_connections": 2000, "engine": {"slot_count": 64, "kv_hold_s": 5.0,
            "kv_capacity": 100_000, "kv_token_bytes": 10, "link_mbps": 1000.0, "model_list": [{"name": "m"}]}}],
        "tenant_table": [tenant(0), tenant(1)],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100_000, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000}})
}

impl Operator {
    /// Returns an operator that has sent no change yet.
    pub fn new(scenario: &Scenario) -> Operator {
        Operator {
            network: Network::from_seed(scenario.seed),
            controllers: scenario.controllers,
            rng: Rng::new(scenario.seed ^ 0x6f70),
            log: OperatorLog::default(),
        }
    }

    async fn call(&mut self, request: &str) -> Option<HttpMessage> {
        let index = random_below(&mut self.rng, self.controllers as u64) as usize;
        let address = self.network.control(index);
        time::timeout(CALL_TIMEOUT, http::call(&address, request)).await.ok().flatten()
    }

    /// Sends the next change until it is acknowledged. Returns false if that takes longer than `timeout`.
    pub async fn change(&mut self, timeout: Duration) -> bool {
        let (base, started) = (self.log.acknowledged, Instant::now());
        let body = configuration(base + 1).to_string();
        let request = http::request("PUT", "/config", &format!("Host: c\r\nIf-Match: {base}\r\n"), &body);
        while started.elapsed() < timeout {
            let status = self.call(&request).await.map_or(0, |response| response.status());
            match status {
                200 => {
                    self.log.acknowledged = base + 1;
                    return true;
                }
                400..500 => self
                    .log
                    .violations
                    .push(format!("valid change to revision {} was rejected with status {status}", base + 1)),
                _ => {}
            }
            time::sleep(RETRY_DELAY).await;
        }
        false
    }

    /// Reads the configuration from a random controller. Returns whether the read succeeded.
    async fn read(&mut self) -> bool {
        let acknowledged = self.log.acknowledged;
        let response = self.call(&http::request("GET", "/config", "Host: c\r\n", "")).await;
        let Some(response) = response.filter(|response| response.status() == 200) else { return false };
        let config: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        let revision = config["revision"].as_u64().unwrap_or(0);
        if revision < acknowledged {
            self.log.violations.push(format!(
                "read returned revision {revision}, older than the acknowledged revision {acknowledged}"
            ));
        }
        true
    }

    /// Changes and reads the configuration until `stop` is set. `timeout` applies to each change.
    pub async fn run(mut self, stop: &AtomicBool, timeout: Duration) -> Operator {
        while !stop.load(Ordering::Relaxed) {
            self.change(timeout).await;
            self.read().await;
            let pause_ms = random_below(&mut self.rng, MAX_PAUSE_MS);
            time::sleep(Duration::from_millis(pause_ms)).await;
        }
        self
    }

    /// Reads the final configuration, with retries until `timeout`, and returns all observations.
    pub async fn finish(mut self, timeout: Duration) -> OperatorLog {
        let started = Instant::now();
        while !self.read().await {
            if started.elapsed() > timeout {
                self.log.violations.push("no controller answered a read of the configuration".into());
                break;
            }
            time::sleep(RETRY_DELAY).await;
        }
        self.log
    }
}
