//! A simulation of a service whose engines change between prefill and decode, with requests as continuous flows.
//!
//! A prefill engine is a queue with one server. A decode engine runs requests concurrently, up to its slots or its
//! memory, and generates each token more slowly the more requests run: with `n` requests it completes `n / (base + n *
//! slope)` per second. During a phase change an engine serves neither phase for a while, as in production.

use std::collections::VecDeque;

use crate::phase_balance::{EngineObservation, PhaseChange, ServiceLoad};

/// The time step of the simulation, in milliseconds.
const STEP_MS: u64 = 20;
/// The interval between two decisions, in milliseconds.
const DECISION_INTERVAL_MS: u64 = 400;
/// The time that an engine is unavailable during a phase change, in milliseconds.
const CHANGE_MS: u64 = 2600;
/// The minimum interval between two phase changes, in milliseconds.
const COOLDOWN_MS: u64 = 4100;
/// The number of slots of a decode engine.
const SLOTS: u32 = 64;
/// The number of requests that fit into the memory of a decode engine.
const MEMORY_REQUESTS: f64 = 65.0;
/// The time to prefill one prompt, in seconds.
const PREFILL_S: f64 = 0.03;
/// The base time to decode a request, in seconds.
const DECODE_BASE_S: f64 = 0.19;
/// The additional decode time for each request that runs on the engine, in seconds.
const DECODE_SLOPE_S: f64 = 0.033;

/// A policy that decides on phase changes, given the observations, the load of the service and its number of engines.
pub(crate) type PhasePolicy = fn(&[EngineObservation], ServiceLoad, usize) -> Option<PhaseChange>;

/// The state of the service at one time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    pub(crate) at_ms: u64,
    /// The requests at all decode engines, as a share of their capacity.
    pub(crate) decode_occupancy: f64,
    /// The mean number of requests at a prefill engine.
    pub(crate) prefill_queue: f64,
}

/// A phase change that the policy ordered for one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OrderedChange {
    pub(crate) at_ms: u64,
    pub(crate) prefill: bool,
}

/// The result of a simulation.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) samples: Vec<Sample>,
    pub(crate) changes: Vec<OrderedChange>,
}

impl Outcome {
    /// Returns the last time at which decode occupancy was above a share, in milliseconds.
    pub(crate) fn last_decode_above(&self, share: f64) -> u64 {
        self.samples
            .iter()
            .filter(|sample| sample.decode_occupancy > share)
            .map(|sample| sample.at_ms)
            .max()
            .unwrap_or(0)
    }

    /// Returns the number of changes in the direction opposite to the change before.
    pub(crate) fn reversals(&self) -> usize {
        self.changes.windows(2).filter(|pair| pair[0].prefill != pair[1].prefill).count()
    }
}

/// A service under a constant load.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) prefill_engines: u32,
    pub(crate) decode_engines: u32,
    /// The request rate, per second.
    pub(crate) rate: f64,
    /// The number of requests at all prefill engines.
    pub(crate) in_prefill: f64,
    /// The number of requests at all decode engines.
    pub(crate) in_decode: f64,
}

/// Returns the utilization of this many prefill engines at a request rate.
pub(crate) fn prefill_utilization(rate: f64, engines: u32) -> f64 {
    rate * PREFILL_S / f64::from(engines)
}

/// Returns the utilization of this many decode engines at a request rate, relative to their maximum throughput.
pub(crate) fn decode_utilization(rate: f64, engines: u32) -> f64 {
    rate * DECODE_SLOPE_S / f64::from(engines)
}

impl Service {
    /// Simulates the service under a policy for `duration_ms` milliseconds.
    pub(crate) fn simulate(mut self, policy: PhasePolicy, duration_ms: u64) -> Outcome {
        let mut outcome = Outcome::default();
        let mut changes_in_progress: VecDeque<OrderedChange> = VecDeque::new();
        let mut cooldown_until = 0;
        for at_ms in (0..duration_ms).step_by(STEP_MS as usize) {
            while changes_in_progress.front().is_some_and(|change| at_ms >= change.at_ms + CHANGE_MS) {
                let prefill = changes_in_progress.pop_front().is_some_and(|change| change.prefill);
                *self.engines_mut(prefill) += 1;
            }
            self.advance();
            outcome.samples.push(self.sample(at_ms));
            if !at_ms.is_multiple_of(DECISION_INTERVAL_MS) || at_ms < cooldown_until {
                continue;
            }
            let observations = self.observations();
            let count = observations.len();
            let Some(change) = policy(&observations, ServiceLoad::of(&observations), count) else { continue };
            cooldown_until = at_ms + COOLDOWN_MS;
            for _ in &change.engines {
                *self.engines_mut(!change.prefill) -= 1;
                let ordered = OrderedChange { at_ms, prefill: change.prefill };
                changes_in_progress.push_back(ordered);
                outcome.changes.push(ordered);
            }
        }
        outcome
    }

    fn engines_mut(&mut self, prefill: bool) -> &mut u32 {
        match prefill {
            true => &mut self.prefill_engines,
            false => &mut self.decode_engines,
        }
    }

    /// Advances by one step: requests arrive, are prefilled and are decoded.
    fn advance(&mut self) {
        let step_s = STEP_MS as f64 / 1000.0;
        let prefilled = (prefill_throughput(self.in_prefill, self.prefill_engines) * step_s).min(self.in_prefill);
        let completed = (decode_throughput(self.in_decode, self.decode_engines) * step_s).min(self.in_decode);
        self.in_prefill += self.rate * step_s - prefilled;
        self.in_decode += prefilled - completed;
    }

    fn sample(&self, at_ms: u64) -> Sample {
        Sample {
            at_ms,
            decode_occupancy: self.in_decode / (decode_capacity() * f64::from(self.decode_engines.max(1))),
            prefill_queue: self.in_prefill / f64::from(self.prefill_engines.max(1)),
        }
    }

    /// Returns an observation of each engine, with the requests of its phase spread evenly.
    fn observations(&self) -> Vec<EngineObservation> {
        let phases = [(true, self.prefill_engines, self.in_prefill), (false, self.decode_engines, self.in_decode)];
        let of_phase = |(prefill, engines, in_flight): (bool, u32, f64)| {
            let in_flight = in_flight.round() as u32;
            (0..engines).map(move |index| EngineObservation {
                id: format!("i-{prefill}-{index}"),
                prefill,
                slots: SLOTS,
                in_flight: in_flight / engines + u32::from(index < in_flight % engines),
                eligible: true,
            })
        };
        phases.into_iter().flat_map(of_phase).collect()
    }
}

/// Returns the number of requests that one decode engine runs concurrently, limited by slots or memory.
fn decode_capacity() -> f64 {
    MEMORY_REQUESTS.min(f64::from(SLOTS))
}

/// Returns the number of prompts prefilled per second.
fn prefill_throughput(in_flight: f64, engines: u32) -> f64 {
    let engines = f64::from(engines);
    if engines == 0.0 {
        return 0.0;
    }
    engines / PREFILL_S * in_flight / (engines + in_flight)
}

/// Returns the number of requests completed per second.
fn decode_throughput(in_flight: f64, engines: u32) -> f64 {
    if engines == 0 {
        return 0.0;
    }
    let running = (in_flight / f64::from(engines)).min(decode_capacity());
    f64::from(engines) * running / (DECODE_BASE_S + running * DECODE_SLOPE_S)
}
