//! Slow start: how much of what a cold engine bears one router may send.
//!
//! No router asks another. While there are no more routers than the requests that the engine bears in a second, each has
//! an even slice. With more, a slice would be below one, and one each would be too many: then a few routers are drawn for
//! this engine, by a hash that needs no agreement, and only these send, one request a second each.

use std::collections::VecDeque;

use crate::sliding_window::drop_before;

/// The window of the bound, in milliseconds: it is given in requests a second.
const WINDOW_MS: u64 = 1000;
/// The pause of a router that was drawn, in milliseconds: a little over a second, as sends do not arrive evenly.
const DRAWN_ROUTER_INTERVAL_MS: u64 = 1100;
/// The share of the bound that a router without confirmed control state may use by itself.
const UNCONFIRMED_SHARE: f64 = 0.25;
/// How many sends are remembered at most: far above any bound, to keep memory bounded where none is enforced.
const MAX_RECORDED_SENDS: usize = 4096;

/// This router's sends to one engine. Invariant: at most the slice in any 1000 ms while the engine is cold.
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    /// In milliseconds.
    sends: VecDeque<u64>,
}

/// Returns how many routers are drawn for a cold engine on average. Their number is left to chance, so it is aimed three
/// standard deviations below the bound: by the Poisson tail more than the bound are drawn three times in a million for 18
/// a second (`docs/design.md`, "Shared bounds at many routers").
fn expected_senders(bound: f64) -> f64 {
    (bound - 3.0 * bound.sqrt()).max(bound / 5.0)
}

impl SlowStart {
    /// Returns whether a router that can't know of evacuations may send to an engine that is not known to be cold. In a
    /// zone that all others have left it may be the only sender, and engines there turn cold without its knowledge.
    /// `bound` is what the engine bears in a second.
    pub(crate) fn allows_unconfirmed(&self, bound: f64, router_count: u32, now: u64) -> bool {
        let limit = (bound / f64::from(router_count.max(1))).max(bound * UNCONFIRMED_SHARE);
        let recent = self.sends.iter().rev().take_while(|sent| **sent + WINDOW_MS > now).count();
        ((recent + 1) as f64) <= limit.max(1.0)
    }

    /// Returns whether this router may send to a cold engine that bears `bound` requests a second. `draw` is the hash of
    /// this router and the engine, evenly spread over all numbers.
    pub(crate) fn allows(&mut self, bound: f64, router_count: u32, draw: u64, now: u64) -> bool {
        let slice = bound / f64::from(router_count.max(1));
        let (window_ms, limit) =
            if slice >= 1.0 { (WINDOW_MS, slice.floor()) } else { (DRAWN_ROUTER_INTERVAL_MS, 1.0) };
        if slice < 1.0 && draw as f64 / u64::MAX as f64 >= expected_senders(bound) / f64::from(router_count) {
            return false;
        }
        drop_before(&mut self.sends, (now + 1).saturating_sub(window_ms));
        (self.sends.len() as f64) < limit
    }

    /// Records a send at `now` in milliseconds.
    pub fn record_send(&mut self, now: u64) {
        self.sends.push_back(now);
        if self.sends.len() > MAX_RECORDED_SENDS {
            self.sends.pop_front();
        }
    }
}

#[cfg(test)]
#[path = "slow_start_tests.rs"]
mod tests;
