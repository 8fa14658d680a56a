//! Evacuates zones and takes them back, and checks that nothing is sent to an evacuated zone once the bound has passed.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use kernel::Rng;
use tokio::time;

use crate::engine::Arrival;
use crate::fleet::{Network, ZONES};
use crate::http;
use crate::scenario::{random_below, Scenario};

/// Time from the acknowledgement of an evacuation after which no request may reach the zone.
pub const EVACUATION_BOUND: Duration = Duration::from_millis(5000);
/// Minimum duration of an evacuation.
const MIN_DURATION: Duration = Duration::from_millis(6500);
/// Exclusive upper bound of what an evacuation may last longer, and of the pause between two, in milliseconds.
const MAX_EXTRA_MS: u64 = 3000;
/// Timeout of a call to a controller.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before an order without a definite outcome is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// XORed with the seed of a run to seed its evacuations.
const EVACUATION_SEED: u64 = 0xe7ac;

/// One evacuation of a zone.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    /// The index of the zone.
    pub zone: usize,
    /// When it was acknowledged.
    pub acknowledged: Instant,
    /// When its withdrawal was first sent; `None` if the run ended before.
    pub withdrawn: Option<Instant>,
}

impl Evacuation {
    /// Returns whether a request that reached this zone at `at` violates the evacuation.
    pub fn forbids(&self, at: Instant) -> bool {
        at > self.acknowledged + EVACUATION_BOUND && self.withdrawn.is_none_or(|withdrawn| at < withdrawn)
    }
}

/// Returns a description of each request that reached an evacuated zone after the bound.
pub fn violations(evacuations: &[Evacuation], arrivals: &[Arrival]) -> Vec<String> {
    let mut violations = Vec::new();
    for evacuation in evacuations {
        for arrival in arrivals.iter().filter(|arrival| arrival.engine % ZONES.len() == evacuation.zone) {
            if evacuation.forbids(arrival.at) {
                let late_ms = (arrival.at - evacuation.acknowledged).as_millis();
                let zone = ZONES[evacuation.zone];
                violations.push(format!("{} reached zone {zone} {late_ms} ms after its evacuation", arrival.attempt));
            }
        }
    }
    violations
}

/// The operator who evacuates zones, one at a time.
pub struct Evacuator {
    network: Network,
    controllers: usize,
    rng: Rng,
    evacuations: Vec<Evacuation>,
}

impl Evacuator {
    /// Returns an operator that has evacuated nothing yet.
    pub fn new(scenario: &Scenario) -> Evacuator {
        Evacuator {
            network: Network::from_seed(scenario.seed),
            controllers: scenario.controllers,
            rng: Rng::new(scenario.seed ^ EVACUATION_SEED),
            evacuations: Vec::new(),
        }
    }

    /// Evacuates random zones until `stop` is set, and returns all evacuations. The last one is withdrawn too.
    pub async fn run(mut self, stop: &AtomicBool) -> Vec<Evacuation> {
        while !stop.load(Ordering::Relaxed) {
            let zone = random_below(&mut self.rng, ZONES.len() as u64) as usize;
            if !self.order("POST", zone, stop).await {
                break;
            }
            self.evacuations.push(Evacuation { zone, acknowledged: Instant::now(), withdrawn: None });
            let duration = MIN_DURATION + Duration::from_millis(random_below(&mut self.rng, MAX_EXTRA_MS));
            self.wait(duration, stop).await;
            if let Some(evacuation) = self.evacuations.last_mut() {
                evacuation.withdrawn = Some(Instant::now());
            }
            self.order("DELETE", zone, &AtomicBool::new(false)).await;
            let pause_ms = random_below(&mut self.rng, MAX_EXTRA_MS);
            self.wait(Duration::from_millis(pause_ms), stop).await;
        }
        self.evacuations
    }

    /// Waits for `duration`, or until `stop` is set.
    async fn wait(&self, duration: Duration, stop: &AtomicBool) {
        let started = Instant::now();
        while started.elapsed() < duration && !stop.load(Ordering::Relaxed) {
            time::sleep(RETRY_DELAY).await;
        }
    }

    /// Sends an order to random controllers until it is acknowledged. Returns whether it was before `stop` was set.
    async fn order(&mut self, method: &str, zone: usize, stop: &AtomicBool) -> bool {
        let request = http::request(method, &format!("/evacuation/{}", ZONES[zone]), "Host: c\r\n", "");
        while !stop.load(Ordering::Relaxed) {
            let index = random_below(&mut self.rng, self.controllers as u64) as usize;
            let address = self.network.control(index);
            let response = time::timeout(CALL_TIMEOUT, http::call(&address, &request)).await.ok().flatten();
            if response.is_some_and(|response| response.status() == 200) {
                return true;
            }
            time::sleep(RETRY_DELAY).await;
        }
        false
    }
}

#[cfg(test)]
#[path = "evacuations_tests.rs"]
mod tests;
