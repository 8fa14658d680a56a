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

/// Requests per prefill engine from which these are overloaded: prompts are read one after another, and with one
/// request under way on average every second one waits.
const PREFILL_HIGH: f64 = 1.1;
/// What the remaining prefill engines may come to when one is taken away.
const PREFILL_LOW: f64 = 0.4;
/// The share of slots from which decode engines are overloaded.
const DECODE_HIGH: f64 = 0.35;
/// What the remaining decode engines may come to when one is taken away.
const DECODE_LOW: f64 = 0.55;

/// One of so many engines may change its part at once: a large fleet follows its load as fast as a small one.
const CHANGED_AT_ONCE: usize = 24;

/// Engines that are to change their part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Their places in the list that was judged, the least busy first. Never empty.
    pub engines: Vec<usize>,
    /// They are to be prefill engines from then on, else decode engines.
    pub prefill: bool,
}

/// The engines of one part, and their load.
#[derive(Clone, Copy)]
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

/// Both parts of a service.
#[derive(Clone, Copy)]
struct Split {
    prefill: Half,
    decode: Half,
}

impl Split {
    /// The part that one more engine should change to: prefill (true) or decode. None: leave all as they are.
    fn wants(&self) -> Option<bool> {
        let (prefill, decode) = (&self.prefill, &self.decode);
        if prefill.count + decode.count < 2.0 {
            return None;
        }
        if decode.count == 0.0 {
            return Some(false);
        }
        let spares_decode = decode.spares_decode();
        if prefill.count == 0.0 {
            return spares_decode.then_some(true);
        }
        if prefill.busy / prefill.count > PREFILL_HIGH && spares_decode {
            return Some(true);
        }
        (decode.busy > DECODE_HIGH * decode.slots && prefill.spares_prefill()).then_some(false)
    }

    /// The split once an idle engine has changed its part.
    fn after(mut self, engine: &Seen, to_prefill: bool) -> Split {
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
fn by_load(list: &[Seen], prefill: bool) -> Vec<usize> {
    let mut fit: Vec<usize> = (0..list.len()).filter(|at| list[*at].fit && list[*at].prefill == prefill).collect();
    fit.sort_by_key(|at| (list[*at].busy, list[*at].id.as_str()));
    fit
}

/// The engines to change, as many as are wanted one after the other. None: leave all as they are.
pub fn judge(list: &[Seen]) -> Option<Change> {
    let mut split = Split { prefill: Half::of(list, true), decode: Half::of(list, false) };
    let prefill = split.wants()?;
    let most = (list.len() / CHANGED_AT_ONCE).max(1);
    let mut engines = Vec::new();
    for at in by_load(list, !prefill).into_iter().take(most) {
        if split.wants() != Some(prefill) {
            break;
        }
        split = split.after(&list[at], prefill);
        engines.push(at);
    }
    (!engines.is_empty()).then_some(Change { engines, prefill })
}

#[cfg(test)]
#[path = "balance_tests.rs"]
mod tests;
