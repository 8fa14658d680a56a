//! How many engines should read prompts (prefill) and how many make tokens (decode): a pure judgement on
//! their load.

/// An engine as the judgement sees it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub prefill: bool,
    pub slots: u32,
    /// Requests under way there, from all routers.
    pub busy: u32,
    /// Up, in a zone that is not being evacuated.
    pub fit: bool,
}

/// Requests per prefill engine from which these are overloaded: prompts are read one after another.
const PREFILL_HIGH: f64 = 2.2;
/// What the remaining prefill engines may come to when one is taken away.
const PREFILL_LOW: f64 = 0.8;
/// The share of slots from which decode engines are overloaded.
const DECODE_HIGH: f64 = 0.35;
/// What the remaining decode engines may come to when one is taken away.
const DECODE_LOW: f64 = 0.55;

/// The engines of one part, and their load.
struct Half {
    count: f64,
    busy: f64,
    slots: f64,
}

impl Half {
    fn of(list: &[Seen], prefill: bool) -> Half {
        let mut half = Half { count: 0.0, busy: 0.0, slots: 0.0 };
        for seen in list.iter().filter(|seen| seen.fit && seen.prefill == prefill) {
            half.count += 1.0;
            half.busy += f64::from(seen.busy);
            half.slots += f64::from(seen.slots);
        }
        half
    }

    /// Can one of these prefill engines be spared?
    fn spares_prefill(&self) -> bool {
        self.count > 1.0 && self.busy / (self.count - 1.0) < PREFILL_LOW
    }

    /// Can one of these decode engines be spared?
    fn spares_decode(&self) -> bool {
        self.count > 1.0 && self.busy < DECODE_LOW * self.slots * (self.count - 1.0) / self.count
    }
}

/// The least busy engine of a part.
fn least_busy(list: &[Seen], prefill: bool) -> Option<usize> {
    let fit = list.iter().enumerate().filter(|(_, seen)| seen.fit && seen.prefill == prefill);
    fit.min_by_key(|(_, seen)| (seen.busy, seen.id.clone())).map(|(at, _)| at)
}

/// The engine to change and whether it is to be a prefill engine from then on. None: leave all as they are.
pub fn judge(list: &[Seen]) -> Option<(usize, bool)> {
    let (prefill, decode) = (Half::of(list, true), Half::of(list, false));
    if prefill.count + decode.count < 2.0 {
        return None;
    }
    let to_decode = || least_busy(list, true).map(|at| (at, false));
    let to_prefill = || least_busy(list, false).map(|at| (at, true));
    if decode.count == 0.0 {
        return to_decode();
    }
    let spares_decode = decode.spares_decode();
    if prefill.count == 0.0 {
        return spares_decode.then(to_prefill).flatten();
    }
    if prefill.busy / prefill.count > PREFILL_HIGH && spares_decode {
        return to_prefill();
    }
    if decode.busy > DECODE_HIGH * decode.slots && prefill.spares_prefill() {
        return to_decode();
    }
    None
}

#[cfg(test)]
#[path = "balance_tests.rs"]
mod tests;
