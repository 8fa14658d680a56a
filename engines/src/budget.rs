//! Slices of bounds that all routers share. No router asks for leave: each keeps to a slice, and the
//! slices never add up to more than the bound, whatever fails.

/// Further sends. A router's slice is the ratio of its own requests, so the slices add up to the
/// ratio of all, and an even part of half the slack: the other half is left for routers that start
/// anew or are not yet counted. Invariant: within any window that ends at a grant, grants are at most
/// `ratio` x requests of that window + the part.
pub struct Budget {
    ratio: f64,
    window_ms: u64,
    errands: std::collections::HashMap<u32, Flow>,
}

#[derive(Default)]
struct Flow {
    errands: std::collections::VecDeque<u64>,
    extras: std::collections::VecDeque<u64>,
}

fn trim(list: &mut std::collections::VecDeque<u64>, edge: u64) {
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

/// Sends to one cold engine: this router's slice of what it bears in a second. What does not fit a
/// whole number is spread by the second's share. Invariant: at most `slice` sends in any 1000 ms,
/// and at least one each `gap` ms where the slice is below one.
#[derive(Clone, Debug, Default)]
pub struct Ramp {
    sends: std::collections::VecDeque<u64>,
}

impl Ramp {
    pub fn allows(&mut self, bound: f64, seats: u32, now: u64) -> bool {
        let slice = bound / f64::from(seats.max(1));
        let span = if slice >= 1.0 { 1000 } else { (1000.0 / slice.max(0.001)) as u64 };
        trim(&mut self.sends, (now + 1).saturating_sub(span));
        (self.sends.len() as f64) < slice.floor().max(1.0)
    }

    pub fn note(&mut self, now: u64) {
        self.sends.push_back(now);
        if self.sends.len() > 4096 {
            self.sends.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn further_sends_keep_to_the_ratio_of_own_requests() {
        let mut budget = super::Budget::new(0.2, 10_000);
        for time in 0..10 {
            budget.errand(0, time);
        }
        let granted = (0..10).filter(|_| budget.allow(0, 10, 0.0)).count();
        assert_eq!(granted, 2);
        assert!(budget.allow(0, 10, 1.0) && !budget.allow(0, 10, 1.0), "one more from the slack");
        assert!(!budget.allow(1, 10, 0.0), "another service has its own");
        assert!(!budget.allow(0, 10_011, 0.0), "requests and grants leave the window together");
    }

    #[test]
    fn slices_of_all_routers_stay_under_the_bound() {
        for (bound, seats) in [(18.0, 9u32), (18.0, 40), (5.0, 3), (2.0, 7)] {
            let mut times = Vec::new();
            for seat in 0..seats {
                let mut ramp = super::Ramp::default();
                for now in (u64::from(seat) * 7..6000).step_by(10) {
                    if ramp.allows(bound, seats, now) {
                        ramp.note(now);
                        times.push(now);
                    }
                }
            }
            times.sort_unstable();
            // Long-run rate: never above the bound.
            let late = times.iter().filter(|time| (1000..6000).contains(*time)).count();
            assert!(late as f64 <= bound * 5.0 + bound, "{late} for {bound}");
        }
    }
}
