//! Routers' samples of a service's versions during a rollout, by engine and load. Since version 7.

use rkyv::{Archive, Deserialize, Serialize};

use crate::version_rollout::{RouteSamples, Samples};

/// A controller's request that a router report samples by engine and load, for as long as the router holds its lease
/// there.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SampleRequest {
    /// The controller's address.
    pub controller: String,
}

/// The mean time between the events of one response, and the engine's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SampledInterval {
    /// Number of requests that the engine ran when the response began.
    pub running: u32,
    /// The mean time between two events, in microseconds.
    pub interval_us: u32,
    /// Whether the engine had recently started, which may make it slow.
    pub is_cold: bool,
}

/// The origin of samples.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub struct SampleKey {
    /// The route's name.
    pub route: String,
    /// Whether they are of the new version; otherwise of the old one.
    pub is_candidate: bool,
    /// The hash of the engine's id; 0 where engines are not distinguished: for most engines of the old version in a
    /// large fleet, and for all of them in samples from older routers, which do not distinguish them.
    pub engine_hash: u64,
    /// The engine's zone.
    pub zone: String,
    /// Whether a large part of the engine's slots was in use.
    pub is_loaded: bool,
}

/// Samples of one origin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SampleCounts {
    /// Requests that succeeded.
    pub succeeded: u32,
    /// Requests that the engine answered with a failure.
    pub failed: u32,
    /// Requests whose response was cut off or never arrived.
    pub lost: u32,
    /// Event intervals of the responses with several events.
    pub intervals: Vec<SampledInterval>,
}

impl SampleCounts {
    /// Adds other samples of the same origin. At most `max_intervals` intervals are kept.
    pub fn add(&mut self, other: SampleCounts, max_intervals: usize) {
        self.succeeded = self.succeeded.saturating_add(other.succeeded);
        self.failed = self.failed.saturating_add(other.failed);
        self.lost = self.lost.saturating_add(other.lost);
        let remaining = max_intervals.saturating_sub(self.intervals.len());
        self.intervals.extend(other.intervals.into_iter().take(remaining));
    }
}

/// Routers' samples of a rollout since their last report.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineSamples {
    /// The service.
    pub service: String,
    /// The `order` of the rollout that they belong to.
    pub order: u64,
    /// Time since the rollout started, as far as the sender knows, in milliseconds. If all controllers lost power, they
    /// learn it from routers.
    pub elapsed_ms: u64,
    /// The samples by origin, each of which occurs once.
    pub list: Vec<(SampleKey, SampleCounts)>,
    /// Whether a controller has already relayed them.
    pub is_relayed: bool,
}

impl EngineSamples {
    /// Converts to samples for daemons before version 7, which distinguish neither engines nor loads.
    pub fn to_legacy(&self) -> Samples {
        let route = |(key, counts): &(SampleKey, SampleCounts)| RouteSamples {
            route: key.route.clone(),
            is_candidate: key.is_candidate,
            good: counts.succeeded.into(),
            failed: u64::from(counts.failed) + u64::from(counts.lost),
            paces: counts.intervals.iter().map(|sampled| (sampled.interval_us.into(), 1)).collect(),
        };
        Samples {
            service: self.service.clone(),
            order: self.order,
            list: self.list.iter().map(route).collect(),
            is_relayed: self.is_relayed,
        }
    }

    /// Converts samples from a daemon before version 7. Their intervals are dropped, since they can't be compared
    /// without the load.
    pub fn from_legacy(samples: &Samples) -> EngineSamples {
        let clamp = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        let origin = |route: &RouteSamples| {
            let key = SampleKey {
                route: route.route.clone(),
                is_candidate: route.is_candidate,
                engine_hash: 0,
                zone: String::new(),
                is_loaded: false,
            };
            let (succeeded, failed) = (clamp(route.good), clamp(route.failed));
            (key, SampleCounts { succeeded, failed, ..SampleCounts::default() })
        };
        EngineSamples {
            service: samples.service.clone(),
            order: samples.order,
            elapsed_ms: 0,
            list: samples.list.iter().map(origin).collect(),
            is_relayed: samples.is_relayed,
        }
    }
}

#[cfg(test)]
#[path = "version_samples_tests.rs"]
mod tests;
