//! How many engines of a service do prefill and how many decode: a pure decision on their load.
//!
//! When one phase is overloaded and the other can spare engines, some change. The thresholds leave a gap, so that a change
//! never calls for its own undoing.

/// An engine as it was last observed.
#[derive(Clone, Debug)]
pub struct EngineObservation {
    /// The engine's id.
    pub id: String,
    /// It does prefill, else decode.
    pub prefill: bool,
    /// How many requests it decodes at once.
    pub slots: u32,
    /// Requests in flight there, from all routers.
    pub in_flight: u32,
    /// It is up, in a zone that is not being evacuated.
    pub eligible: bool,
}

/// Requests in flight per prefill engine above which these are overloaded: prompts are read one after another, and with
/// one request in flight on average every second one waits.
const PREFILL_OVERLOADED: f64 = 1.1;
/// Requests in flight per prefill engine that the remaining ones stay below when one is taken away.
const PREFILL_SPARABLE: f64 = 0.4;
/// The share of slots in use above which decode engines are overloaded.
const DECODE_OVERLOADED: f64 = 0.35;
/// The share of slots in use that the remaining decode engines stay below when one is taken away.
const DECODE_SPARABLE: f64 = 0.55;

/// One of so many engines may change its phase at once: a large fleet follows its load as fast as a small one.
const ENGINES_PER_CHANGE: usize = 24;

/// Engines that are to change their phase.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PhaseChange {
    /// Their indices in the list of observations, the least loaded first. Never empty.
    pub engines: Vec<usize>,
    /// They are to do prefill from then on, else decode.
    pub prefill: bool,
}

/// The eligible engines of one phase, and their load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PhaseLoad {
    /// How many engines there are.
    pub count: f64,
    /// Requests in flight at all of them.
    pub in_flight: f64,
    /// Requests that all of them decode at once.
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

    /// Returns whether one of these prefill engines can be spared.
    fn can_spare_prefill(&self) -> bool {
        self.count > 1.0 && self.in_flight / (self.count - 1.0) < PREFILL_SPARABLE
    }

    /// Returns whether one of these decode engines can be spared.
    fn can_spare_decode(&self) -> bool {
        self.count > 1.0 && self.in_flight < DECODE_SPARABLE * self.slots * (self.count - 1.0) / self.count
    }
}

/// Both phases of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// The engines that do prefill.
    pub prefill: PhaseLoad,
    /// The engines that decode.
    pub decode: PhaseLoad,
}

impl ServiceLoad {
    /// Returns the load of a service whose engines are all observed.
    pub fn of(observations: &[EngineObservation]) -> ServiceLoad {
        ServiceLoad { prefill: PhaseLoad::of(observations, true), decode: PhaseLoad::of(observations, false) }
    }

    /// Returns the phase that one more engine should change to: prefill (true) or decode. `None`: leave all as they are.
    fn wanted_phase(&self) -> Option<bool> {
        let (prefill, decode) = (&self.prefill, &self.decode);
        if prefill.count + decode.count < 2.0 {
            return None;
        }
        if decode.count == 0.0 {
            return Some(false);
        }
        let can_spare_decode = decode.can_spare_decode();
        if prefill.count == 0.0 {
            return can_spare_decode.then_some(true);
        }
        if prefill.in_flight / prefill.count > PREFILL_OVERLOADED && can_spare_decode {
            return Some(true);
        }
        (decode.in_flight > DECODE_OVERLOADED * decode.slots && prefill.can_spare_prefill()).then_some(false)
    }

    /// Returns the load once an idle engine has changed its phase.
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

/// Returns the indices of the eligible engines of a phase, the least loaded first.
fn least_loaded_first(observations: &[EngineObservation], prefill: bool) -> Vec<usize> {
    let is_eligible = |engine: &EngineObservation| engine.eligible && engine.prefill == prefill;
    let mut eligible: Vec<usize> = (0..observations.len()).filter(|at| is_eligible(&observations[*at])).collect();
    eligible.sort_by_key(|at| (observations[*at].in_flight, observations[*at].id.as_str()));
    eligible
}

/// Returns the engines of a service that are to change their phase, where all of its engines are observed. `None`: leave all
/// as they are.
pub fn plan_phase_change(observations: &[EngineObservation]) -> Option<PhaseChange> {
    plan_phase_change_among(observations, ServiceLoad::of(observations), observations.len())
}

/// Returns the engines among those observed that are to change their phase, as many as are wanted one after the other.
/// `load`: that of all eligible engines of the service, `engine_count`: how many it has. `None`: leave all as they are.
pub fn plan_phase_change_among(
    observations: &[EngineObservation],
    mut load: ServiceLoad,
    engine_count: usize,
) -> Option<PhaseChange> {
    let prefill = load.wanted_phase()?;
    let limit = (engine_count / ENGINES_PER_CHANGE).max(1);
    let mut engines = Vec::new();
    for at in least_loaded_first(observations, !prefill).into_iter().take(limit) {
        if load.wanted_phase() != Some(prefill) {
            break;
        }
        load = load.after_change(&observations[at], prefill);
        engines.push(at);
    }
    (!engines.is_empty()).then_some(PhaseChange { engines, prefill })
}

#[cfg(test)]
#[path = "phase_balance_tests.rs"]
mod tests;
