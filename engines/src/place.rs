//! Choosing engines: pure functions over the park. Lower cost wins; ties go by rendezvous.

/// What a choice looks at.
pub struct View<'a> {
    pub park: &'a crate::park::Park,
    pub now: u64,
    pub service: u32,
    /// The router's own area.
    pub area: u32,
    /// Areas not to be used: evacuated, or outside the homes. By dense index.
    pub shut: &'a [u32],
    /// Engines already tried for this errand.
    pub tried: &'a [usize],
    pub seats: u32,
    /// What one cold engine bears in a second, all routers together; 0: unbounded.
    pub ramp: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Half {
    Prefill,
    Decode,
}

/// What it costs to reach another area of the region, and another region, as a share of a prompt's
/// tokens; the second also costs a journey's worth of tokens. It also keeps routers of different areas
/// from turning to one engine all at once.
const FAR: [f64; 3] = [0.0, 0.2, 1.5];
const JOURNEY: [f64; 3] = [0.0, 0.0, 3000.0];
/// What a request ahead counts for, of a mean read: short reads pass long ones, and reports are late.
const QUEUE: f64 = 0.5;
/// How much longer memory is under way.
const MOVE: [f64; 3] = [1.0, 2.0, 10.0];

impl View<'_> {
    fn fits(&self, at: usize, stall: &crate::park::Stall, half: Half) -> bool {
        let part = match half {
            Half::Prefill => stall.prefill,
            Half::Decode => stall.decode,
        };
        stall.service == self.service
            && part
            && stall.up
            && stall.here
            && stall.rest_until <= self.now
            && !self.shut.contains(&stall.area)
            && !self.tried.contains(&at)
    }

    fn ramped(&self, stall: &crate::park::Stall) -> bool {
        if self.ramp <= 0.0 || stall.cold_until <= self.now {
            return true;
        }
        stall.ramp.clone().allows(self.ramp, self.seats, self.now)
    }

    /// Engines that may be sent to, those that answered lately before those that did not.
    pub fn open(&self, half: Half) -> Vec<usize> {
        let all = self.park.list.iter().enumerate().filter(|(at, stall)| self.fits(*at, stall, half));
        let fit: Vec<usize> = all.filter(|(_, stall)| self.ramped(stall)).map(|(at, _)| at).collect();
        let calm: Vec<usize> = fit.iter().copied().filter(|at| self.park.list[*at].shy_until <= self.now).collect();
        let roomy: Vec<usize> = calm.iter().copied().filter(|at| self.park.list[*at].full_until <= self.now).collect();
        if !roomy.is_empty() {
            return roomy;
        }
        if !calm.is_empty() {
            return calm;
        }
        fit
    }

    /// Is there room beside interactive work: makers under a share of their slots, and readers, where
    /// there are any, with next to nothing to read?
    pub fn idle(&self, share: f64) -> bool {
        let calm = |half: Half, bound: &dyn Fn(&crate::park::Stall) -> f64| {
            let open = self.open(half);
            let fits = |at: &usize| {
                let stall = &self.park.list[*at];
                stall.cold_until <= self.now && stall.pressure(self.now, self.seats) < bound(stall)
            };
            open.is_empty() || open.iter().filter(|at| fits(at)).count() * 2 > open.len()
        };
        !self.open(Half::Decode).is_empty()
            && calm(Half::Decode, &|stall| share * f64::from(stall.slots))
            && (!self.has(Half::Prefill) || calm(Half::Prefill, &|_| 1.0 + share))
    }

    /// Is every maker that may be sent to at or over a share of its slots? Then what is sent now waits
    /// at an engine, and what ranks lower is better told at once.
    pub fn full(&self, share: f64) -> bool {
        let open = self.open(Half::Decode);
        let over = |at: &usize| {
            let stall = &self.park.list[*at];
            stall.pressure(self.now, self.seats) >= share * f64::from(stall.slots)
        };
        !open.is_empty() && open.iter().all(over)
    }

    /// Does the service have engines of this half at all, reachable or not?
    pub fn has(&self, half: Half) -> bool {
        let part = |stall: &crate::park::Stall| match half {
            Half::Prefill => stall.prefill && !stall.decode,
            Half::Decode => stall.decode && !stall.prefill,
        };
        self.park.list.iter().any(|stall| stall.service == self.service && stall.here && stall.up && part(stall))
    }

    /// The reader of a prompt and its cost, in tokens to be read before the answer can begin. `held`
    /// gives, by engine, the tokens of the longest prefix it owns.
    pub fn prefill(&self, tokens: u32, held: &[(usize, u32)], shared: u32, key: u64) -> Option<(usize, f64)> {
        let open = self.open(Half::Prefill);
        let nobody = !held.iter().any(|(at, _)| open.contains(at));
        let first = open.iter().copied().max_by_key(|at| rank(key, &self.park.list[*at].id));
        let mean = self.park.mean_read(self.service);
        let cost = |at: usize| {
            let stall = &self.park.list[at];
            let have = if nobody && Some(at) == first { shared } else { owned(held, at) };
            let read = f64::from(tokens.saturating_sub(have));
            let queue = stall.pressure(self.now, self.seats) * mean * QUEUE;
            read + queue + self.reach(stall, tokens)
        };
        least(&open, cost, |at| rank(key, &self.park.list[at].id))
    }

    /// The maker of tokens: near the memory, not crowded. `from` is the engine that read the prompt.
    pub fn decode(&self, tokens: u32, held: &[(usize, u32)], from: Option<usize>, key: u64) -> Option<usize> {
        let open = self.open(Half::Decode);
        let home = from.map_or(self.area, |at| self.park.list[at].area);
        let cost = |at: usize| {
            let stall = &self.park.list[at];
            let lack = f64::from(tokens.saturating_sub(owned(held, at))) / 65536.0;
            let crowd = stall.pressure(self.now, self.seats) / f64::from(stall.slots);
            let body = self.reach(stall, tokens) / 65536.0;
            crowd + lack * MOVE[self.park.distance(stall.area, home)] + body
        };
        least(&open, cost, |at| rank(key, &self.park.list[at].id)).map(|(at, _)| at)
    }

    /// What it costs to send a prompt there from here, in tokens.
    fn reach(&self, stall: &crate::park::Stall, tokens: u32) -> f64 {
        let step = self.park.distance(stall.area, self.area);
        FAR[step] * f64::from(tokens) + JOURNEY[step]
    }

    /// A maker that reads the prompt itself, and its cost in the same measure as a reader's.
    pub fn alone(&self, tokens: u32, held: &[(usize, u32)], key: u64) -> Option<(usize, f64)> {
        let open = self.open(Half::Decode);
        let cost = |at: usize| {
            let stall = &self.park.list[at];
            let read = f64::from(tokens.saturating_sub(owned(held, at)));
            let others = stall.tokens as f64 * f64::from(self.seats).sqrt();
            let crowd = 1.0 + stall.pressure(self.now, self.seats) / f64::from(stall.slots);
            (read + others) * SLOWER * crowd + self.reach(stall, tokens)
        };
        least(&open, cost, |at| rank(key, &self.park.list[at].id))
    }
}

/// How much longer a maker takes for a prompt than a reader: half the pace, in smaller pieces.
const SLOWER: f64 = 5.0;

fn owned(held: &[(usize, u32)], at: usize) -> u32 {
    held.iter().filter(|(owner, _)| *owner == at).map(|(_, have)| *have).max().unwrap_or(0)
}

fn rank(key: u64, id: &str) -> u64 {
    kernel::clock::blend(key, kernel::clock::hash(id.as_bytes()))
}

fn least(open: &[usize], cost: impl Fn(usize) -> f64, rank: impl Fn(usize) -> u64) -> Option<(usize, f64)> {
    let mut best: Option<(f64, u64, usize)> = None;
    for at in open {
        let (price, order) = (cost(*at), rank(*at));
        let better = match &best {
            None => true,
            Some((low, top, _)) => price < *low || (price == *low && order > *top),
        };
        if better {
            best = Some((price, order, *at));
        }
    }
    best.map(|(price, _, at)| (at, price))
}

#[cfg(test)]
#[path = "place_tests.rs"]
mod tests;
