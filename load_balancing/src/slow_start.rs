//! How much of what a cold engine bears one router may send.

use std::collections::VecDeque;

use crate::sliding_window::drop_before;

/// A drawn router's pause: a little over a second, as sends do not arrive evenly.
const SAMPLED_ROUTER_INTERVAL_MS: u64 = 1100;

/// The part of the bound of a cold engine that a router without confirmed control state may use by itself.
const UNCONFIRMED_SHARE: f64 = 0.25;

/// Sends to one cold engine: this router's part of what it bears in a second. While there are no more
/// routers than it bears requests, each has an even slice. With more, a slice would be below one, and one
/// each would be too many: then a few routers are drawn for this engine, by a hash that needs no agreement,
/// and only these send, one a second each. Invariant: at most the slice in any 1000 ms.
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    sends: VecDeque<u64>,
}

/// How many routers are drawn for a cold engine, on average: so few that their number, which is left to
/// chance, stays under the bound.
pub fn expected_senders(bound: f64) -> f64 {
    (bound - 3.0 * bound.sqrt()).max(bound / 5.0)
}

impl SlowStart {
    /// May a router send to an engine that is not known to be cold, while it can't know of evacuations? In a
    /// zone that all others have left it may be the only sender, and engines there turn cold unheard.
    pub fn allows_unconfirmed(&self, bound: f64, router_count: u32, now: u64) -> bool {
        let most = (bound / f64::from(router_count.max(1))).max(bound * UNCONFIRMED_SHARE);
        let recent = self.sends.iter().rev().take_while(|sent| **sent + 1000 > now).count();
        ((recent + 1) as f64) <= most.max(1.0)
    }

    /// `router_hash`: this router's draw for this engine, even over all numbers.
    pub fn allows(&mut self, bound: f64, router_count: u32, router_hash: u64, now: u64) -> bool {
        let slice = bound / f64::from(router_count.max(1));
        let (span, most) = if slice >= 1.0 { (1000, slice.floor()) } else { (SAMPLED_ROUTER_INTERVAL_MS, 1.0) };
        if slice < 1.0 && router_hash as f64 / u64::MAX as f64 >= expected_senders(bound) / f64::from(router_count) {
            return false;
        }
        drop_before(&mut self.sends, (now + 1).saturating_sub(span));
        (self.sends.len() as f64) < most
    }

    pub fn record_send(&mut self, now: u64) {
        self.sends.push_back(now);
        if self.sends.len() > 4096 {
            self.sends.pop_front();
        }
    }
}

#[cfg(test)]
#[path = "slow_start_tests.rs"]
mod tests;
