//! How many engines should read prompts (prefill) and how many make tokens (decode): a pure judgement on
//! their load.

/// An engine as the judgement sees it.
#[derive(Clone, Debug)]
pub struct EngineObservation {
    pub id: String,
    pub prefill: bool,
    pub slots: u32,
    /// Requests under way there, from all routers.
    pub in_flight: u32,
    /// Up, in a zone that is not being evacuated.
    pub eligible: bool,
}

/// Requests per prefill engine from which these are overloaded: prompts are read one after another, and with one
/// request under way on average every second one waits.
const PREFILL_OVERLOADED: f64 = 1.1;
/// What the remaining prefill engines may come to when one is taken away.
const PREFILL_SPARABLE: f64 = 0.4;
/// The share of slots from which decode engines are overloaded.
const DECODE_OVERLOADED: f64 = 0.35;
/// What the remaining decode engines may come to when one is taken away.
const DECODE_SPARABLE: f64 = 0.55;

/// One of so many engines may change its part at once: a large fleet follows its load as fast as a small one.
const ENGINES_PER_CHANGE: usize = 24;

/// Engines that are to change their part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PhaseChange {
    /// Their places in the list that was judged, the least busy first. Never empty.
    pub engines: Vec<usize>,
    /// They are to be prefill engines from then on, else decode engines.
    pub prefill: bool,
}

/// The engines of one part, and their load.
#[derive(Clone, Copy)]
struct PhaseLoad {
    count: f64,
    in_flight: f64,
    slots: f64,
}

impl PhaseLoad {
    fn of(list: &[EngineObservation], prefill: bool) -> PhaseLoad {
        let mut load = PhaseLoad { count: 0.0, in_flight: 0.0, slots: 0.0 };
        for engine in list.iter().filter(|engine| engine.eligible && engine.prefill == prefill) {
            load.count += 1.0;
            load.in_flight += f64::from(engine.in_flight);
            load.slots += f64::from(engine.slots);
        }
        load
    }

    /// Can one of these prefill engines be spared?
    fn can_spare_prefill(&self) -> bool {
        self.count > 1.0 && self.in_flight / (self.count - 1.0) < PREFILL_SPARABLE
    }

    /// Can one of these decode engines be spared?
    fn can_spare_decode(&self) -> bool {
        self.count > 1.0 && self.in_flight < DECODE_SPARABLE * self.slots * (self.count - 1.0) / self.count
    }
}

/// Both parts of a service.
#[derive(Clone, Copy)]
struct ServiceLoad {
    prefill: PhaseLoad,
    decode: PhaseLoad,
}

impl ServiceLoad {
    /// The part that one more engine should change to: prefill (true) or decode. None: leave all as they are.
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

    /// The service_load once an idle engine has changed its part.
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

/// The engines of a part, the least busy first.
fn least_loaded_first(list: &[EngineObservation], prefill: bool) -> Vec<usize> {
    let mut eligible: Vec<usize> =
        (0..list.len()).filter(|at| list[*at].eligible && list[*at].prefill == prefill).collect();
    eligible.sort_by_key(|at| (list[*at].in_flight, list[*at].id.as_str()));
    eligible
}

/// The engines to change, as many as are wanted one after the other. None: leave all as they are.
pub fn plan_phase_change(list: &[EngineObservation]) -> Option<PhaseChange> {
    let mut service_load = ServiceLoad { prefill: PhaseLoad::of(list, true), decode: PhaseLoad::of(list, false) };
    let prefill = service_load.wanted_phase()?;
    let limit = (list.len() / ENGINES_PER_CHANGE).max(1);
    let mut engines = Vec::new();
    for at in least_loaded_first(list, !prefill).into_iter().take(limit) {
        if service_load.wanted_phase() != Some(prefill) {
            break;
        }
        service_load = service_load.after_change(&list[at], prefill);
        engines.push(at);
    }
    (!engines.is_empty()).then_some(PhaseChange { engines, prefill })
}

#[cfg(test)]
#[path = "phase_balance_tests.rs"]
mod tests;
