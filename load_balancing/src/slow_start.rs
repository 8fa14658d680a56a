//! Slow start: this router's share of the requests that a cold engine may get.
//!
//! Routers don't coordinate. As long as there are no more routers than the requests per second that the engine may get,
//! each has an equal share. With more routers a share would be less than one request per second, and one each would be
//! too many. A hash then picks a few routers for each engine without any agreement, and only these send, one request
//! per second each.

use std::collections::VecDeque;

use crate::sliding_window::drop_before;

/// The window of the limit, in milliseconds: the limit is given in requests per second.
const WINDOW_MS: u64 = 1000;
/// The minimum interval between two sends of a picked router, in milliseconds: slightly over a second, because sends
/// don't arrive evenly.
const PICKED_ROUTER_INTERVAL_MS: u64 = 1100;
/// The share of the limit that a router without confirmed control state may use on its own.
const UNCONFIRMED_SHARE: f64 = 0.25;
/// The maximum number of recorded sends: far above any limit, to bound memory where no limit is enforced.
const MAX_RECORDED_SENDS: usize = 4096;

/// This router's sends to one engine. Invariant: while the engine is cold, at most the router's share is sent in any
/// 1000 ms.
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    /// The times of the sends, in milliseconds.
    sends: VecDeque<u64>,
}

/// Returns the mean number of routers that are picked for a cold engine. The actual number is random, so the mean is
/// three standard deviations below the limit: by the Poisson tail, more routers than the limit are picked three times
/// in a million at 18 requests per second (`docs/design.md`, "Shared bounds at many routers").
fn mean_picked_routers(engine_limit: f64) -> f64 {
    (engine_limit - 3.0 * engine_limit.sqrt()).max(engine_limit / 5.0)
}

impl SlowStart {
    /// Returns whether a router without confirmed control state, which may have missed evacuations, may send to an
    /// engine that is not known to be cold. In a zone that all other routers have left it may be the only sender, and
    /// engines there become cold without its knowledge. `engine_limit` is the number of requests per second that the
    /// engine may get while it is cold.
    pub(crate) fn allows_unconfirmed(&self, engine_limit: f64, router_count: u32, now: u64) -> bool {
        let sends_per_window = (engine_limit / f64::from(router_count.max(1))).max(engine_limit * UNCONFIRMED_SHARE);
        let recent = self.sends.iter().rev().take_while(|sent| **sent + WINDOW_MS > now).count();
        ((recent + 1) as f64) <= sends_per_window.max(1.0)
    }

    /// Returns whether this router may send to a cold engine that may get `engine_limit` requests per second.
    /// `router_engine_hash` is the hash of this router and the engine, uniformly distributed.
    pub(crate) fn allows(&mut self, engine_limit: f64, router_count: u32, router_engine_hash: u64, now: u64) -> bool {
        let share = engine_limit / f64::from(router_count.max(1));
        let (window_ms, sends_per_window) =
            if share >= 1.0 { (WINDOW_MS, share.floor()) } else { (PICKED_ROUTER_INTERVAL_MS, 1.0) };
        if share < 1.0
            && router_engine_hash as f64 / u64::MAX as f64
                >= mean_picked_routers(engine_limit) / f64::from(router_count)
        {
            return false;
        }
        drop_before(&mut self.sends, (now + 1).saturating_sub(window_ms));
        (self.sends.len() as f64) < sends_per_window
    }

    /// Records a send at `now`, in milliseconds.
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
