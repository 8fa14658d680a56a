//! The selection of an engine: pure functions over the engine table.
//!
//! `candidates` finds the engines that may be sent to, `cost` says what each would cost, and `choice` takes the cheapest.
//! Among equal costs the highest rendezvous hash of key and engine wins, so that all routers agree.

use kernel::hashing;

use crate::engine_table::EngineTable;

/// What a selection for one request rests on.
pub struct SelectionContext<'a> {
    /// The engines.
    pub engine_table: &'a EngineTable,
    /// The time, in milliseconds.
    pub now: u64,
    /// The index of the service.
    pub service: u32,
    /// The index of the router's own zone.
    pub zone: u32,
    /// The indices of zones not to be used: evacuated, or outside the regions that the route or tenant allows.
    pub excluded_zones: &'a [u32],
    /// The indices of engines that this request was already sent to.
    pub tried_engines: &'a [usize],
    /// How many routers hold a lease.
    pub router_count: u32,
    /// What one cold engine bears in requests a second, all routers together; 0: no limit.
    pub cold_engine_rate: f64,
    /// For work bound by a limit on stale weights: the versions it may run on. An engine whose version is not known
    /// counts as past the limit.
    pub weight_versions: Option<WeightVersionRange>,
    /// The control state known here was confirmed at a quorum a moment ago.
    pub is_confirmed: bool,
    /// The version of the service that the request goes to.
    pub arm: Arm,
}

/// The weight versions of a model that a request may run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightVersionRange {
    /// The hash of the model's name.
    pub model: u64,
    /// The oldest version allowed.
    pub oldest: u64,
    /// The newest version allowed. Below `oldest`: none is allowed.
    pub newest: u64,
}

impl WeightVersionRange {
    /// Returns whether a version lies in the range.
    pub fn contains(&self, version: u64) -> bool {
        (self.oldest..=self.newest).contains(&version)
    }
}

/// The longest prefix of a prompt whose KV cache an engine holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPrefix {
    /// The index of the engine.
    pub engine: usize,
    /// The length of the prefix in tokens.
    pub tokens: u32,
}

/// The engine that a selection fell on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectedEngine {
    /// The index of the engine.
    pub engine: usize,
    /// What it costs, in prompt tokens to be read before the answer can begin.
    pub cost: f64,
}

/// The version of a service whose engines are selected from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Arm {
    /// The version in place.
    #[default]
    Stable,
    /// The version that is being rolled out, and of its engines only as large a share as it has of the requests, in
    /// thousandths: so each bears the load that it will bear.
    Candidate(u32),
}

impl Arm {
    /// Returns whether this is the version that is being rolled out.
    pub fn is_candidate(self) -> bool {
        self != Arm::Stable
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    Prefill,
    Decode,
}

/// What it costs to reach another zone of the region, and another region, as a share of a prompt's
/// tokens; the second also costs a journey's worth of tokens. It also keeps routers of different zones
/// from turning to one engine all at once.
const DISTANCE_COST_PER_TOKEN: [f64; 3] = [0.0, 0.2, 1.5];
const DISTANCE_COST_TOKENS: [f64; 3] = [0.0, 0.0, 3000.0];
/// What a request ahead counts for, of a mean read: short reads pass long ones, and reports are late.
const QUEUED_REQUEST_COST: f64 = 0.5;
/// How many homes of a prefix are looked at: the second takes what the first can't.
const HOMES_PER_PREFIX: usize = 2;
/// How much longer memory is under way.
const KV_TRANSFER_COST: [f64; 3] = [1.0, 2.0, 10.0];

impl SelectionContext<'_> {
    fn subset(&self, phase: Phase) -> Option<&Subset> {
        self.engine_table.subset(self.service, phase, self.arm.is_candidate())
    }

    /// Of a version that is brought in, only some engines are used.
    fn is_in_candidate_share(&self, at: usize, phase: Phase) -> bool {
        match self.arm {
            Arm::Stable => true,
            Arm::Candidate(share) => self.subset(phase).is_some_and(|subset| subset.leading_share(share).contains(&at)),
        }
    }

    /// Has each phase that the service has an engine that can be sent to?
    pub fn is_usable(&self) -> bool {
        !self.candidates(Phase::Decode).is_empty()
            && (!self.has_phase(Phase::Prefill) || !self.candidates(Phase::Prefill).is_empty())
    }

    fn is_eligible(&self, at: usize, engine: &EngineState, phase: Phase) -> bool {
        let part = match phase {
            Phase::Prefill => engine.prefill,
            Phase::Decode => engine.decode,
        };
        engine.service == self.service
            && part
            && engine.candidate == self.arm.is_candidate()
            && self.is_in_candidate_share(at, phase)
            && engine.up
            && engine.listed
            && engine.reassigning_until <= self.now
            && !self.excluded_zones.contains(&engine.zone)
            && !self.tried_engines.contains(&at)
            && self.weight_versions.is_none_or(|(model, from, to)| {
                engine.weight_version(model).is_some_and(|version| (from..=to).contains(&version))
            })
    }

    fn slow_start_allows(&self, engine: &EngineState) -> bool {
        if self.cold_engine_rate <= 0.0 {
            return true;
        }
        if engine.cold_until <= self.now {
            return self.is_confirmed
                || engine.slow_start.allows_unconfirmed(self.cold_engine_rate, self.router_count, self.now);
        }
        engine.slow_start.clone().allows(
            self.cold_engine_rate,
            self.router_count,
            self.engine_table.router_engine_hash(engine.id_hash),
            self.now,
        )
    }

    /// How good an engine is to be sent to now. None: not at all; then one in doubt, one that was full a
    /// moment ago, one without a flaw.
    fn rating(&self, at: usize, phase: Phase) -> Option<u8> {
        let engine = self.engine_table.engines.get(at)?;
        if !self.is_eligible(at, engine, phase) || !self.slow_start_allows(engine) {
            return None;
        }
        if engine.suspected_until > self.now {
            return Some(0);
        }
        Some(1 + u8::from(engine.saturated_until <= self.now))
    }

    /// The best of a list, all of one rating.
    fn best_rated(&self, list: impl Iterator<Item = usize>, phase: Phase) -> (u8, Vec<usize>) {
        let (mut top, mut found) = (0, Vec::new());
        for at in list {
            let Some(rating) = self.rating(at, phase) else { continue };
            if rating > top {
                found.clear();
                top = rating;
            }
            if rating == top {
                found.push(at);
            }
        }
        (top, found)
    }

    /// The engines that a choice looks at: this router's subset. Only when nothing in it will do, all are
    /// looked at.
    pub fn candidates(&self, phase: Phase) -> Vec<usize> {
        let Some(subset) = self.subset(phase) else { return Vec::new() };
        let (top, found) = self.best_rated(subset.sampled.iter().copied(), phase);
        if top > 0 {
            return found;
        }
        self.best_rated(subset.engines.iter().copied(), phase).1
    }

    /// Is there room beside interactive work: makers under a share of their slots, and readers, where
    /// there are any, with next to nothing to read?
    pub fn has_spare_capacity(&self, share: f64) -> bool {
        let calm = |phase: Phase, bound: &dyn Fn(&EngineState) -> f64| {
            let candidates = self.candidates(phase);
            let fits = |at: &usize| {
                let engine = &self.engine_table.engines[*at];
                engine.cold_until <= self.now && self.engine_table.estimated_load(*at, self.now) < bound(engine)
            };
            candidates.is_empty() || candidates.iter().filter(|at| fits(at)).count() * 2 > candidates.len()
        };
        !self.candidates(Phase::Decode).is_empty()
            && calm(Phase::Decode, &|engine| share * f64::from(engine.slots))
            && (!self.has_phase(Phase::Prefill) || calm(Phase::Prefill, &|_| 1.0 + share))
    }

    /// Is every maker that may be sent to at or over a share of its slots? Then what is sent now waits
    /// at an engine, and what ranks lower is better told at once.
    pub fn is_saturated(&self, share: f64) -> bool {
        let candidates = self.candidates(Phase::Decode);
        let over = |at: &usize| {
            let engine = &self.engine_table.engines[*at];
            self.engine_table.estimated_load(*at, self.now) >= share * f64::from(engine.slots)
        };
        !candidates.is_empty() && candidates.iter().all(over)
    }

    /// Does the service have engines of this phase at all, reachable or not?
    pub fn has_phase(&self, phase: Phase) -> bool {
        self.subset(phase).is_some_and(|subset| !subset.engines.is_empty())
    }

    /// The reader of a prompt and its cost, in tokens to be read before the answer can begin. `cached`
    /// gives, by engine, the tokens of the longest prefix it owns. Looked at are the owners, wherever they
    /// are, the homes of the prefix and the router's own subset.
    pub fn select_prefill(&self, tokens: u32, cached: &[(usize, u32)], shared: u32, key: u64) -> Option<(usize, f64)> {
        let phase = Phase::Prefill;
        let mut candidates = self.candidates(phase);
        let least = candidates.iter().filter_map(|at| self.rating(*at, phase)).min().unwrap_or(0);
        let good = |at: usize| self.rating(at, phase).is_some_and(|rating| rating >= least);
        let homes = self.subset(phase).map_or(Vec::new(), |subset| subset.home_engines(key, HOMES_PER_PREFIX, good));
        let owners = cached.iter().map(|(at, _)| *at).filter(|at| good(*at));
        for at in owners.chain(homes.iter().copied()) {
            if !candidates.contains(&at) {
                candidates.push(at);
            }
        }
        // Owners of a shorter prefix don't count: it is at many engines, and all would turn to these.
        let nobody = !cached.iter().any(|(at, have)| *have >= shared && candidates.contains(at));
        let first = homes.first().copied();
        let mean = self.engine_table.mean_prefill_tokens(self.service);
        let cost = |at: usize| {
            let engine = &self.engine_table.engines[at];
            let have = if nobody && Some(at) == first {
                shared.max(cached_tokens(cached, at))
            } else {
                cached_tokens(cached, at)
            };
            let read = f64::from(tokens.saturating_sub(have));
            let queue = self.engine_table.estimated_load(at, self.now) * mean * QUEUED_REQUEST_COST;
            read + queue + self.reach(engine, tokens)
        };
        cheapest(&candidates, cost, |at| rendezvous_hash(key, self.engine_table.engines[at].id_hash))
    }

    /// The maker of tokens: near the memory, not crowded. `from` is the engine that read the prompt.
    pub fn select_decode(&self, tokens: u32, cached: &[(usize, u32)], from: Option<usize>, key: u64) -> Option<usize> {
        let candidates = self.candidates(Phase::Decode);
        let home = from.map_or(self.zone, |at| self.engine_table.engines[at].zone);
        let cost = |at: usize| {
            let engine = &self.engine_table.engines[at];
            let lack = f64::from(tokens.saturating_sub(cached_tokens(cached, at))) / 65536.0;
            let crowd = self.engine_table.estimated_load(at, self.now) / f64::from(engine.slots);
            let body = self.reach(engine, tokens) / 65536.0;
            crowd + lack * KV_TRANSFER_COST[self.engine_table.distance(engine.zone, home)] + body
        };
        cheapest(&candidates, cost, |at| rendezvous_hash(key, self.engine_table.engines[at].id_hash)).map(|(at, _)| at)
    }

    /// What it costs to send a prompt there from here, in tokens.
    fn reach(&self, engine: &EngineState, tokens: u32) -> f64 {
        let step = self.engine_table.distance(engine.zone, self.zone);
        DISTANCE_COST_PER_TOKEN[step] * f64::from(tokens) + DISTANCE_COST_TOKENS[step]
    }

    /// A maker that reads the prompt itself, and its cost in the same measure as a reader's.
    pub fn select_combined(&self, tokens: u32, cached: &[(usize, u32)], key: u64) -> Option<(usize, f64)> {
        let candidates = self.candidates(Phase::Decode);
        let cost = |at: usize| {
            let engine = &self.engine_table.engines[at];
            let read = f64::from(tokens.saturating_sub(cached_tokens(cached, at)));
            let others = engine.prefill_tokens_in_flight as f64;
            let crowd = 1.0 + self.engine_table.estimated_load(at, self.now) / f64::from(engine.slots);
            (read + others) * COMBINED_PREFILL_COST * crowd + self.reach(engine, tokens)
        };
        cheapest(&candidates, cost, |at| rendezvous_hash(key, self.engine_table.engines[at].id_hash))
    }
}

/// How much longer a maker takes for a prompt than a reader: half the pace, in smaller pieces.
const COMBINED_PREFILL_COST: f64 = 5.0;

fn cached_tokens(cached: &[(usize, u32)], at: usize) -> u32 {
    cached.iter().filter(|(owner, _)| *owner == at).map(|(_, have)| *have).max().unwrap_or(0)
}

fn rendezvous_hash(key: u64, name: u64) -> u64 {
    hashing::combine(key, name)
}

fn cheapest(candidates: &[usize], cost: impl Fn(usize) -> f64, rank: impl Fn(usize) -> u64) -> Option<(usize, f64)> {
    let mut best: Option<(f64, u64, usize)> = None;
    for at in candidates {
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
#[path = "selection_tests.rs"]
mod tests;
