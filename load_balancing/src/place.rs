//! Choosing engines: pure functions over the engine_table. Lower cost wins; ties go by rendezvous.

use kernel::hashing;

use crate::engine_table::{EngineState, EngineTable};
use crate::subset::Subset;

/// What a choice looks at.
pub struct View<'a> {
    pub engine_table: &'a EngineTable,
    pub now: u64,
    pub service: u32,
    /// The router's own zone.
    pub zone: u32,
    /// Areas not to be used: evacuated, or outside the homes. By dense index.
    pub shut: &'a [u32],
    /// Engines already tried for this errand.
    pub tried: &'a [usize],
    pub seats: u32,
    /// What one cold engine bears in a second, all routers together; 0: unbounded.
    pub ramp: f64,
    /// For work bound by a limit on stale weights: the model, the oldest and the newest version. An engine
    /// whose version is not known counts as past the limit.
    pub weights: Option<(u64, u64, u64)>,
    /// The control state known here was confirmed at a majority a moment ago.
    pub confirmed: bool,
    pub arm: Arm,
}

/// Which engines of a service are looked at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Arm {
    /// Those of the version in place.
    #[default]
    Stable,
    /// Those of the version that is brought in, and of them only as large a share as it has of the requests, in
    /// thousandths: so each bears the load that it will bear.
    Candidate(u32),
}

impl Arm {
    pub fn is_candidate(self) -> bool {
        self != Arm::Stable
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Half {
    Prefill,
    Decode,
}

/// What it costs to reach another zone of the region, and another region, as a share of a prompt's
/// tokens; the second also costs a journey's worth of tokens. It also keeps routers of different zones
/// from turning to one engine all at once.
const FAR: [f64; 3] = [0.0, 0.2, 1.5];
const JOURNEY: [f64; 3] = [0.0, 0.0, 3000.0];
/// What a request ahead counts for, of a mean read: short reads pass long ones, and reports are late.
const QUEUE: f64 = 0.5;
/// How many homes of a prefix are looked at: the second takes what the first can't.
const HOMES: usize = 2;
/// How much longer memory is under way.
const MOVE: [f64; 3] = [1.0, 2.0, 10.0];

impl View<'_> {
    fn subset(&self, half: Half) -> Option<&Subset> {
        self.engine_table.subset(self.service, half, self.arm.is_candidate())
    }

    /// Of a version that is brought in, only some engines are used.
    fn is_chosen(&self, at: usize, half: Half) -> bool {
        match self.arm {
            Arm::Stable => true,
            Arm::Candidate(share) => self.subset(half).is_some_and(|subset| subset.first_share(share).contains(&at)),
        }
    }

    /// Has each half that the service has an engine that can be sent to?
    pub fn is_usable(&self) -> bool {
        !self.open(Half::Decode).is_empty() && (!self.has(Half::Prefill) || !self.open(Half::Prefill).is_empty())
    }

    fn fits(&self, at: usize, engine: &EngineState, half: Half) -> bool {
        let part = match half {
            Half::Prefill => engine.prefill,
            Half::Decode => engine.decode,
        };
        engine.service == self.service
            && part
            && engine.candidate == self.arm.is_candidate()
            && self.is_chosen(at, half)
            && engine.up
            && engine.here
            && engine.rest_until <= self.now
            && !self.shut.contains(&engine.zone)
            && !self.tried.contains(&at)
            && self.weights.is_none_or(|(model, from, to)| {
                engine.weight(model).is_some_and(|version| (from..=to).contains(&version))
            })
    }

    fn ramped(&self, engine: &EngineState) -> bool {
        if self.ramp <= 0.0 {
            return true;
        }
        if engine.cold_until <= self.now {
            return self.confirmed || engine.ramp.allows_unconfirmed(self.ramp, self.seats, self.now);
        }
        engine.ramp.clone().allows(self.ramp, self.seats, self.engine_table.ticket(engine.name), self.now)
    }

    /// How good an engine is to be sent to now. None: not at all; then one in doubt, one that was full a
    /// moment ago, one without a flaw.
    fn grade(&self, at: usize, half: Half) -> Option<u8> {
        let engine = self.engine_table.list.get(at)?;
        if !self.fits(at, engine, half) || !self.ramped(engine) {
            return None;
        }
        if engine.shy_until > self.now {
            return Some(0);
        }
        Some(1 + u8::from(engine.full_until <= self.now))
    }

    /// The best of a list, all of one grade.
    fn best(&self, list: impl Iterator<Item = usize>, half: Half) -> (u8, Vec<usize>) {
        let (mut top, mut found) = (0, Vec::new());
        for at in list {
            let Some(grade) = self.grade(at, half) else { continue };
            if grade > top {
                found.clear();
                top = grade;
            }
            if grade == top {
                found.push(at);
            }
        }
        (top, found)
    }

    /// The engines that a choice looks at: this router's subset. Only when nothing in it will do, all are
    /// looked at.
    pub fn open(&self, half: Half) -> Vec<usize> {
        let Some(subset) = self.subset(half) else { return Vec::new() };
        let (top, found) = self.best(subset.picks.iter().copied(), half);
        if top > 0 {
            return found;
        }
        self.best(subset.all.iter().copied(), half).1
    }

    /// Is there room beside interactive work: makers under a share of their slots, and readers, where
    /// there are any, with next to nothing to read?
    pub fn idle(&self, share: f64) -> bool {
        let calm = |half: Half, bound: &dyn Fn(&EngineState) -> f64| {
            let open = self.open(half);
            let fits = |at: &usize| {
                let engine = &self.engine_table.list[*at];
                engine.cold_until <= self.now && self.engine_table.pressure(*at, self.now) < bound(engine)
            };
            open.is_empty() || open.iter().filter(|at| fits(at)).count() * 2 > open.len()
        };
        !self.open(Half::Decode).is_empty()
            && calm(Half::Decode, &|engine| share * f64::from(engine.slots))
            && (!self.has(Half::Prefill) || calm(Half::Prefill, &|_| 1.0 + share))
    }

    /// Is every maker that may be sent to at or over a share of its slots? Then what is sent now waits
    /// at an engine, and what ranks lower is better told at once.
    pub fn full(&self, share: f64) -> bool {
        let open = self.open(Half::Decode);
        let over = |at: &usize| {
            let engine = &self.engine_table.list[*at];
            self.engine_table.pressure(*at, self.now) >= share * f64::from(engine.slots)
        };
        !open.is_empty() && open.iter().all(over)
    }

    /// Does the service have engines of this half at all, reachable or not?
    pub fn has(&self, half: Half) -> bool {
        self.subset(half).is_some_and(|subset| !subset.all.is_empty())
    }

    /// The reader of a prompt and its cost, in tokens to be read before the answer can begin. `held`
    /// gives, by engine, the tokens of the longest prefix it owns. Looked at are the owners, wherever they
    /// are, the homes of the prefix and the router's own subset.
    pub fn prefill(&self, tokens: u32, held: &[(usize, u32)], shared: u32, key: u64) -> Option<(usize, f64)> {
        let half = Half::Prefill;
        let mut open = self.open(half);
        let least = open.iter().filter_map(|at| self.grade(*at, half)).min().unwrap_or(0);
        let good = |at: usize| self.grade(at, half).is_some_and(|grade| grade >= least);
        let homes = self.subset(half).map_or(Vec::new(), |subset| subset.homes(key, HOMES, good));
        let owners = held.iter().map(|(at, _)| *at).filter(|at| good(*at));
        for at in owners.chain(homes.iter().copied()) {
            if !open.contains(&at) {
                open.push(at);
            }
        }
        // Owners of a shorter prefix don't count: it is at many engines, and all would turn to these.
        let nobody = !held.iter().any(|(at, have)| *have >= shared && open.contains(at));
        let first = homes.first().copied();
        let mean = self.engine_table.mean_read(self.service);
        let cost = |at: usize| {
            let engine = &self.engine_table.list[at];
            let have = if nobody && Some(at) == first { shared.max(owned(held, at)) } else { owned(held, at) };
            let read = f64::from(tokens.saturating_sub(have));
            let queue = self.engine_table.pressure(at, self.now) * mean * QUEUE;
            read + queue + self.reach(engine, tokens)
        };
        cheapest(&open, cost, |at| rank(key, self.engine_table.list[at].name))
    }

    /// The maker of tokens: near the memory, not crowded. `from` is the engine that read the prompt.
    pub fn decode(&self, tokens: u32, held: &[(usize, u32)], from: Option<usize>, key: u64) -> Option<usize> {
        let open = self.open(Half::Decode);
        let home = from.map_or(self.zone, |at| self.engine_table.list[at].zone);
        let cost = |at: usize| {
            let engine = &self.engine_table.list[at];
            let lack = f64::from(tokens.saturating_sub(owned(held, at))) / 65536.0;
            let crowd = self.engine_table.pressure(at, self.now) / f64::from(engine.slots);
            let body = self.reach(engine, tokens) / 65536.0;
            crowd + lack * MOVE[self.engine_table.distance(engine.zone, home)] + body
        };
        cheapest(&open, cost, |at| rank(key, self.engine_table.list[at].name)).map(|(at, _)| at)
    }

    /// What it costs to send a prompt there from here, in tokens.
    fn reach(&self, engine: &EngineState, tokens: u32) -> f64 {
        let step = self.engine_table.distance(engine.zone, self.zone);
        FAR[step] * f64::from(tokens) + JOURNEY[step]
    }

    /// A maker that reads the prompt itself, and its cost in the same measure as a reader's.
    pub fn alone(&self, tokens: u32, held: &[(usize, u32)], key: u64) -> Option<(usize, f64)> {
        let open = self.open(Half::Decode);
        let cost = |at: usize| {
            let engine = &self.engine_table.list[at];
            let read = f64::from(tokens.saturating_sub(owned(held, at)));
            let others = engine.tokens as f64;
            let crowd = 1.0 + self.engine_table.pressure(at, self.now) / f64::from(engine.slots);
            (read + others) * SLOWER * crowd + self.reach(engine, tokens)
        };
        cheapest(&open, cost, |at| rank(key, self.engine_table.list[at].name))
    }
}

/// How much longer a maker takes for a prompt than a reader: half the pace, in smaller pieces.
const SLOWER: f64 = 5.0;

fn owned(held: &[(usize, u32)], at: usize) -> u32 {
    held.iter().filter(|(owner, _)| *owner == at).map(|(_, have)| *have).max().unwrap_or(0)
}

fn rank(key: u64, name: u64) -> u64 {
    hashing::combine(key, name)
}

fn cheapest(open: &[usize], cost: impl Fn(usize) -> f64, rank: impl Fn(usize) -> u64) -> Option<(usize, f64)> {
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
