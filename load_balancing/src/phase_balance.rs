//! Decides how many engines of a service do prefill and how many decode, as a pure function of their load.
//!
//! The load factor of a phase is its load as a multiple of the load at which requests begin to queue. While a phase is
//! overloaded, engines change to it as long as that lowers the higher of the two load factors.

/// An engine as it was last observed.
#[derive(Clone, Debug)]
pub struct EngineObservation {
    /// The engine's id.
    pub id: String,
    /// Whether it does prefill; otherwise it decodes.
    pub prefill: bool,
    /// The number of requests that it decodes concurrently.
    pub slots: u32,
    /// The number of requests in flight there, from all routers.
    pub in_flight: u32,
    /// Whether it is up, in a zone that is not being evacuated.
    pub eligible: bool,
}

/// The requests in flight per prefill engine at which its load factor is 1. Prompts are processed one after another:
/// with one request in flight on average, every second request has to wait.
const PREFILL_NOMINAL_LOAD: f64 = 1.1;
/// The share of slots in use at which the load factor of decode engines is 1: they run requests concurrently, each more
/// slowly the more there are.
const DECODE_NOMINAL_LOAD: f64 = 0.35;
/// The load factor above which a phase is overloaded.
const OVERLOAD_THRESHOLD: f64 = 1.0;
/// The load factor that a phase must stay below after it gives up an engine.
const MAX_DONOR_LOAD_FACTOR: f64 = 1.57;

/// One engine per this many may change its phase at once, so that a large fleet adapts to its load as fast as a small
/// one.
const ENGINES_PER_CHANGE: usize = 24;

/// The engines that are to change their phase.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PhaseChange {
    /// Their indices in the list of observations, least loaded first. Never empty.
    pub engines: Vec<usize>,
    /// Whether they change to prefill; otherwise they change to decode.
    pub prefill: bool,
}

/// The number, load and slots of the eligible engines of one phase.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PhaseLoad {
    /// The number of engines.
    pub count: f64,
    /// The number of requests in flight at all of them.
    pub in_flight: f64,
    /// The number of requests that all of them together decode concurrently.
    pub slots: f64,
}

impl PhaseLoad {
    fn of(observations: &[EngineObservation], prefill: bool) -> PhaseLoad {
        let mut load = PhaseLoad::default();
        for engine in observations.iter().filter(|engine| engine.eligible && engine.prefill == prefill) {
            load.count += 1.0;
            load.in_flight += f64::from(engine.in_flight);
            load.slots += f64::from(engine.slots);
        }
        load
    }

    /// Returns the load factor if the phase had `count` prefill engines.
    ///
    /// An engine with `load` requests in flight on average is busy for `load / (1 + load)` of the time (an M/M/1
    /// queue). The total busy time of the phase does not depend on the number of engines, so the load per engine
    /// follows from it. Infinite if that many engines could not keep up.
    fn prefill_load_factor(&self, count: f64) -> f64 {
        let busy_engines = self.count * self.in_flight / (self.count + self.in_flight);
        let idle_engines = count - busy_engines;
        if idle_engines <= 0.0 {
            return f64::INFINITY;
        }
        busy_engines / idle_engines / PREFILL_NOMINAL_LOAD
    }

    /// Returns the load factor if the phase had `count` decode engines: the share of their slots in use, relative to
    /// the nominal share.
    fn decode_load_factor(&self, count: f64) -> f64 {
        self.in_flight / (self.slots / self.count * count) / DECODE_NOMINAL_LOAD
    }
}

/// The load of both phases of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// The load of the prefill engines.
    pub prefill: PhaseLoad,
    /// The load of the decode engines.
    pub decode: PhaseLoad,
}

impl ServiceLoad {
    /// Returns the load of a service all of whose engines are observed.
    pub fn of(observations: &[EngineObservation]) -> ServiceLoad {
        ServiceLoad { prefill: PhaseLoad::of(observations, true), decode: PhaseLoad::of(observations, false) }
    }

    /// Returns the phase that one more engine should change to: prefill (true) or decode (false). `None` means no
    /// change.
    ///
    /// Load factors make the two phases comparable. A change must lower the higher load factor by more than the share
    /// that one engine is of all engines. The reverse change would raise it again, so a change never triggers its own
    /// reversal.
    fn phase_to_extend(&self) -> Option<bool> {
        let (prefill, decode) = (&self.prefill, &self.decode);
        if prefill.count + decode.count < 2.0 {
            return None;
        }
        if decode.count == 0.0 {
            return Some(false);
        }
        if prefill.count == 0.0 {
            return (decode.count > 1.0 && decode.decode_load_factor(decode.count - 1.0) < MAX_DONOR_LOAD_FACTOR)
                .then_some(true);
        }
        let prefill_load_factor = prefill.prefill_load_factor(prefill.count);
        let decode_load_factor = decode.decode_load_factor(decode.count);
        let higher = prefill_load_factor.max(decode_load_factor);
        if higher <= OVERLOAD_THRESHOLD {
            return None;
        }
        let to_prefill = prefill_load_factor > decode_load_factor;
        let step = if to_prefill { 1.0 } else { -1.0 };
        let (prefill_count, decode_count) = (prefill.count + step, decode.count - step);
        if prefill_count < 1.0 || decode_count < 1.0 {
            return None;
        }
        let prefill_after = prefill.prefill_load_factor(prefill_count);
        let decode_after = decode.decode_load_factor(decode_count);
        let donor_after = if to_prefill { decode_after } else { prefill_after };
        let required_below = higher * (1.0 - 1.0 / (prefill.count + decode.count));
        (donor_after < MAX_DONOR_LOAD_FACTOR && prefill_after.max(decode_after) < required_below).then_some(to_prefill)
    }

    /// Returns the load after an idle engine has changed its phase.
    fn after_change(mut self, engine: &EngineObservation, to_prefill: bool) -> ServiceLoad {
        let (from, to) = match to_prefill {
            true => (&mut self.decode, &mut self.prefill),
            false => (&mut self.prefill, &mut self.decode),
        };
        from.count -= 1.0;
        from.slots -= f64::from(engine.slots);
        to.count += 1.0;
        to.slots += f64::from(engine.slots);
        self
    }
}

/// Returns the indices of the eligible engines of a phase, least loaded first.
fn least_loaded_first(observations: &[EngineObservation], prefill: bool) -> Vec<usize> {
    let is_eligible = |engine: &EngineObservation| engine.eligible && engine.prefill == prefill;
    let mut eligible: Vec<usize> = (0..observations.len()).filter(|index| is_eligible(&observations[*index])).collect();
    eligible.sort_by_key(|index| (observations[*index].in_flight, observations[*index].id.as_str()));
    eligible
}

/// Returns the engines of a service that should change their phase, if all of its engines are observed. `None` means no
/// change.
pub fn plan_phase_change(observations: &[EngineObservation]) -> Option<PhaseChange> {
    plan_phase_change_among(observations, ServiceLoad::of(observations), observations.len())
}

/// Returns the observed engines that should change their phase, as many as are needed one after the other. `load` is
/// the load of all eligible engines of the service, and `engine_count` the number of its engines. `None` means no
/// change.
pub fn plan_phase_change_among(
    observations: &[EngineObservation],
    mut load: ServiceLoad,
    engine_count: usize,
) -> Option<PhaseChange> {
    let prefill = load.phase_to_extend()?;
    let limit = (engine_count / ENGINES_PER_CHANGE).max(1);
    let mut engines = Vec::new();
    for index in least_loaded_first(observations, !prefill).into_iter().take(limit) {
        if load.phase_to_extend() != Some(prefill) {
            break;
        }
        load = load.after_change(&observations[index], prefill);
        engines.push(index);
    }
    (!engines.is_empty()).then_some(PhaseChange { engines, prefill })
}

#[cfg(test)]
#[path = "phase_balance_tests.rs"]
mod tests;
