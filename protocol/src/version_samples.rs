//! What routers report of the versions of a service while one is being rolled out, by engine and load. Since version 7.

use rkyv::{Archive, Deserialize, Serialize};

use crate::version_rollout::{RouteSamples, Samples};

/// A controller asks a router to report to it by engine and load, for as long as the router holds its lease there.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SampleRequest {
    /// The controller's address.
    pub controller: String,
}

/// The time between the events of one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SampledInterval {
    /// Requests that the engine ran when the response began.
    pub running: u32,
    /// The mean time between two events, in microseconds.
    pub interval_us: u32,
    /// Whether the engine had started a moment ago, which may make it slow.
    pub is_cold: bool,
}

/// Where samples come from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub struct SampleKey {
    /// The route's name.
    pub route: String,
    /// Of the new version, or else of the old one.
    pub is_candidate: bool,
    /// The hash of the engine's id; 0 where engines are not told apart: most of the old version in a large fleet, and all of it in
    /// samples of routers before the ones that sample them.
    pub engine_hash: u64,
    /// The engine's zone.
    pub zone: String,
    /// Whether a large part of the engine's slots was taken.
    pub is_loaded: bool,
}

/// Samples of one origin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SampleCounts {
    /// Requests that succeeded.
    pub succeeded: u32,
    /// Requests that the engine answered with a failure.
    pub failed: u32,
    /// Requests whose response broke off or never came.
    pub lost: u32,
    /// Responses with several events.
    pub intervals: Vec<SampledInterval>,
}

impl SampleCounts {
    /// Adds other samples of the same origin. Of intervals no more than `max_intervals` are kept.
    pub fn add(&mut self, other: SampleCounts, max_intervals: usize) {
        self.succeeded = self.succeeded.saturating_add(other.succeeded);
        self.failed = self.failed.saturating_add(other.failed);
        self.lost = self.lost.saturating_add(other.lost);
        let room = max_intervals.saturating_sub(self.intervals.len());
        self.intervals.extend(other.intervals.into_iter().take(room));
    }
}

/// What routers saw of a rollout since their last report.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineSamples {
    /// The service.
    pub service: String,
    /// The `order` of the rollout that they belong to.
    pub order: u64,
    /// For how long the rollout has been under way, as far as the sender knows, in milliseconds. Controllers that all lost their
    /// power learn it from routers.
    pub elapsed_ms: u64,
    /// By origin; each stands there once.
    pub list: Vec<(SampleKey, SampleCounts)>,
    /// Whether a controller has passed them on already.
    pub is_relayed: bool,
}

impl EngineSamples {
    /// Returns the same samples for daemons before version 7, which know neither engines nor load.
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

    /// Returns samples of a daemon before version 7. Their intervals are left out: without the load they can't be compared.
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
