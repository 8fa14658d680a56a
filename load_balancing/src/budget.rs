//! Slices of bounds that all routers share. No router asks for leave: each keeps to a slice, and the
//! slices never add up to more than the bound, whatever fails.

use std::collections::{HashMap, VecDeque};

/// Further sends. A router's slice is the ratio of its own requests, so the slices add up to the
/// ratio of all, and an even part of half the slack: the other half is left for routers that start
/// anew or are not yet counted. Invariant: within any window that ends at a grant, grants are at most
/// `ratio` x requests of that window + the part.
pub struct Budget {
    ratio: f64,
    window_ms: u64,
    errands: HashMap<u32, Flow>,
}

#[derive(Default)]
struct Flow {
    errands: VecDeque<u64>,
    extras: VecDeque<u64>,
}

fn trim(list: &mut VecDeque<u64>, edge: u64) {
    while list.front().is_some_and(|time| *time < edge) {
        list.pop_front();
    }
}

impl Budget {
    pub fn new(ratio: f64, window_ms: u64) -> Self {
        Budget { ratio, window_ms, errands: Default::default() }
    }

    pub fn errand(&mut self, service: u32, now: u64) {
        let edge = now.saturating_sub(self.window_ms);
        let flow = self.errands.entry(service).or_default();
        trim(&mut flow.errands, edge);
        flow.errands.push_back(now);
    }

    /// Grants one further send, or not.
    pub fn allow(&mut self, service: u32, now: u64, part: f64) -> bool {
        let edge = now.saturating_sub(self.window_ms);
        let flow = self.errands.entry(service).or_default();
        trim(&mut flow.errands, edge);
        trim(&mut flow.extras, edge);
        if (flow.extras.len() + 1) as f64 > self.ratio * flow.errands.len() as f64 + part {
            return false;
        }
        flow.extras.push_back(now);
        true
    }
}

/// Sends to one cold engine: this router's part of what it bears in a second. While there are no more
/// routers than it bears requests, each has an even slice. With more, a slice would be below one, and one
/// each would be too many: then a few routers are drawn for this engine, by a hash that needs no agreement,
/// and only these send, one a second each. Invariant: at most the slice in any 1000 ms.
#[derive(Clone, Debug, Default)]
pub struct Ramp {
    sends: VecDeque<u64>,
}

/// A drawn router's pause: a little over a second, as sends do not arrive evenly.
const DRAWN_MS: u64 = 1100;

/// How many routers are drawn for a cold engine, on average: so few that their number, which is left to
/// chance, stays under the bound.
pub fn drawn(bound: f64) -> f64 {
    (bound - 3.0 * bound.sqrt()).max(bound / 5.0)
}

/// The part of the bound of a cold engine that a router without confirmed control state may use by itself.
const UNCONFIRMED_PART: f64 = 0.25;

impl Ramp {
    /// May a router send to an engine that is not known to be cold, while it can't know of evacuations? In a
    /// zone that all others have left it may be the only sender, and engines there turn cold unheard.
    pub fn allows_unconfirmed(&self, bound: f64, seats: u32, now: u64) -> bool {
        let most = (bound / f64::from(seats.max(1))).max(bound * UNCONFIRMED_PART);
        let recent = self.sends.iter().rev().take_while(|sent| **sent + 1000 > now).count();
        ((recent + 1) as f64) <= most.max(1.0)
    }

    /// `ticket`: this router's draw for this engine, even over all numbers.
    pub fn allows(&mut self, bound: f64, seats: u32, ticket: u64, now: u64) -> bool {
        let slice = bound / f64::from(seats.max(1));
        let (span, most) = if slice >= 1.0 { (1000, slice.floor()) } else { (DRAWN_MS, 1.0) };
        if slice < 1.0 && ticket as f64 / u64::MAX as f64 >= drawn(bound) / f64::from(seats) {
            return false;
        }
        trim(&mut self.sends, (now + 1).saturating_sub(span));
        (self.sends.len() as f64) < most
    }

    pub fn note(&mut self, now: u64) {
        self.sends.push_back(now);
        if self.sends.len() > 4096 {
            self.sends.pop_front();
        }
    }
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod tests;
