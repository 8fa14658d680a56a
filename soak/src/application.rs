//! Applications that add to tallies and read them, and the bounds that the adds place on every total.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use kernel::Rng;
use parking_lot::Mutex;
use serde_json::{json, Value};
use tokio::time;

use crate::fleet::{Network, ZONES};
use crate::http::{self, HttpMessage};
use crate::scenario::{random_below, Scenario};

/// Number of tallies.
const TALLY_COUNT: u64 = 3;
/// Exclusive upper bound of the amount of an add.
const MAX_AMOUNT: u64 = 9;
/// Timeout of a call to a controller.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Exclusive upper bound of the pause between two calls, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;
/// Maximum number of times that an add is sent.
const MAX_ATTEMPTS: usize = 8;
/// Delay before a call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout, after the last fault, for all controllers to return the same totals with every acknowledged add.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// A zone that is partitioned from the others for a while.
#[derive(Clone, Copy, Debug)]
pub struct PartitionedZone {
    /// The index of the zone.
    pub zone: usize,
    /// When the partition began.
    pub began: Instant,
    /// When it healed; `None` if it has not.
    pub healed: Option<Instant>,
}

/// Amounts of adds by tally and idempotency key.
type Amounts = BTreeMap<String, BTreeMap<String, u64>>;

/// The adds that applications sent and those that were acknowledged.
#[derive(Debug, Default)]
pub struct TallyHistory {
    /// Adds that may be counted: each was sent at least once, whatever the outcome.
    sent: Amounts,
    acknowledged: Amounts,
    /// When each controller acknowledged an add, by index.
    acknowledgements: Vec<(Instant, usize)>,
    /// Reads whose total was out of bounds, and tallies that did not converge.
    pub violations: Vec<String>,
}

fn sum(amounts: &Amounts, tally: &str) -> u128 {
    amounts.get(tally).map_or(0, |keys| keys.values().map(|amount| u128::from(*amount)).sum())
}

impl TallyHistory {
    /// Returns the number of acknowledged adds.
    pub fn acknowledged(&self) -> usize {
        self.acknowledged.values().map(BTreeMap::len).sum()
    }

    /// Records a violation for each partition during which no controller of the partitioned zone acknowledged an add: both
    /// sides have to continue tallies.
    pub fn check_partitions(&mut self, partitions: &[PartitionedZone]) {
        for partition in partitions {
            let is_within =
                |at: Instant| at > partition.began + CALL_TIMEOUT && partition.healed.is_none_or(|end| at < end);
            let is_in_zone = |index: usize| index % ZONES.len() == partition.zone;
            if !self.acknowledgements.iter().any(|(at, index)| is_within(*at) && is_in_zone(*index)) {
                let zone = ZONES[partition.zone];
                self.violations.push(format!("no add was acknowledged in zone {zone} during its partition"));
            }
        }
    }

    /// Records a violation if a total is below `min_total` or above the sum of all adds that were sent.
    fn check_total(&mut self, tally: &str, total: u128, min_total: u128, index: usize) {
        let max_total = sum(&self.sent, tally);
        if total > max_total || total < min_total {
            self.violations
                .push(format!("controller {index}: tally {tally} reads {total}, expected {min_total} to {max_total}"));
        }
    }
}

/// An application that calls random controllers.
pub struct Application {
    network: Network,
    controllers: usize,
    name: String,
    rng: Rng,
    history: Arc<Mutex<TallyHistory>>,
}

impl Application {
    /// Returns the application with this index.
    pub fn new(scenario: &Scenario, index: usize, history: Arc<Mutex<TallyHistory>>) -> Application {
        Application {
            network: Network::from_seed(scenario.seed),
            controllers: scenario.controllers,
            name: format!("{:x}a{index:x}", scenario.seed),
            rng: Rng::new(scenario.seed.wrapping_mul(2003).wrapping_add(index as u64)),
            history,
        }
    }

    /// Adds and reads at random until `stop` is set.
    pub async fn run(mut self, stop: Arc<AtomicBool>) {
        for number in 0.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let tally = format!("t{}", random_below(&mut self.rng, TALLY_COUNT));
            match random_below(&mut self.rng, 3) {
                0 => self.read(&tally).await,
                _ => self.add(&tally, number).await,
            }
            let pause_ms = random_below(&mut self.rng, MAX_PAUSE_MS);
            time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Sends an add until it is acknowledged, at most [`MAX_ATTEMPTS`] times. One add in four repeats an earlier key.
    async fn add(&mut self, tally: &str, number: u64) {
        let is_repeat = random_below(&mut self.rng, 4) == 0;
        let new_add = (format!("{}-{number}", self.name), random_below(&mut self.rng, MAX_AMOUNT));
        let (key, amount) = {
            let mut history = self.history.lock();
            let keys = history.sent.entry(tally.to_string()).or_default();
            let index = random_below(&mut self.rng, keys.len() as u64) as usize;
            let earlier_add = keys.iter().nth(index).map(|(key, amount)| (key.clone(), *amount));
            let (key, amount) = earlier_add.filter(|_| is_repeat).unwrap_or(new_add);
            keys.insert(key.clone(), amount);
            (key, amount)
        };
        let body = json!({ "instance_id": key, "actor": amount }).to_string();
        let request = http::request("POST", &format!("/tallies/{tally}"), "Host: c\r\n", &body);
        for _ in 0..MAX_ATTEMPTS {
            let index = random_below(&mut self.rng, self.controllers as u64) as usize;
            if call(self.network, index, &request).await.is_some_and(|response| response.status() == 200) {
                let mut history = self.history.lock();
                history.acknowledgements.push((Instant::now(), index));
                history.acknowledged.entry(tally.to_string()).or_default().insert(key, amount);
                return;
            }
            time::sleep(RETRY_DELAY).await;
        }
    }

    async fn read(&mut self, tally: &str) {
        let index = random_below(&mut self.rng, self.controllers as u64) as usize;
        if let Some(total) = read_total(self.network, index, tally).await {
            self.history.lock().check_total(tally, total, 0, index);
        }
    }
}

async fn call(network: Network, index: usize, request: &str) -> Option<HttpMessage> {
    time::timeout(CALL_TIMEOUT, http::call(&network.control(index), request)).await.ok().flatten()
}

async fn read_total(network: Network, index: usize, tally: &str) -> Option<u128> {
    let request = http::request("GET", &format!("/tallies/{tally}"), "Host: c\r\n", "");
    let response = call(network, index, &request).await.filter(|response| response.status() == 200)?;
    let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    body["total"].as_u64().map(u128::from)
}

/// Checks that all controllers converge to the same totals and that these include every acknowledged add.
pub async fn verify_totals(scenario: &Scenario, history: &Mutex<TallyHistory>) {
    let network = Network::from_seed(scenario.seed);
    for tally in (0..TALLY_COUNT).map(|number| format!("t{number}")) {
        let min_total = sum(&history.lock().acknowledged, &tally);
        let started = Instant::now();
        loop {
            let mut totals = Vec::new();
            for index in 0..scenario.controllers {
                totals.push(read_total(network, index, &tally).await);
            }
            let has_converged =
                totals.iter().all(|total| *total == totals[0] && total.is_some_and(|total| total >= min_total));
            if has_converged {
                history.lock().check_total(&tally, totals[0].unwrap_or(0), min_total, 0);
                break;
            }
            if started.elapsed() > CONVERGENCE_TIMEOUT {
                history
                    .lock()
                    .violations
                    .push(format!("tally {tally}: controllers read {totals:?}, {min_total} acknowledged"));
                break;
            }
            time::sleep(RETRY_DELAY).await;
        }
    }
}
