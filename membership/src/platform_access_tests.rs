//! Simulates in virtual time three controllers that poll the list of one zone while some are cut off from the platform.

use super::PlatformAccess;
use crate::{MembershipView, Peer, PeerReport};

const LIVENESS_TIMEOUT_MS: u64 = 1100;
const HEARTBEAT_INTERVAL_MS: u64 = 350;
const POLL_INTERVAL_MS: u64 = 600;
const CONTROLLER_COUNT: usize = 3;

struct Simulation {
    now: u64,
    views: Vec<MembershipView>,
    /// End of each controller's partition from the platform, in milliseconds.
    unreachable_until: [u64; CONTROLLER_COUNT],
    /// When a poll last succeeded, in milliseconds.
    last_success_at: u64,
    /// Index of the controller that made this poll; `CONTROLLER_COUNT` before the first one.
    last_poller: usize,
}

fn ip(index: usize) -> String {
    format!("10.0.0.{index}")
}

impl Simulation {
    fn new() -> Simulation {
        let views =
            (0..CONTROLLER_COUNT).map(|index| MembershipView::new(&ip(index), "zone", LIVENESS_TIMEOUT_MS)).collect();
        Simulation {
            now: 0,
            views,
            unreachable_until: [0; CONTROLLER_COUNT],
            last_success_at: 0,
            last_poller: CONTROLLER_COUNT,
        }
    }

    fn step(&mut self) {
        self.now += 1;
        if self.now.is_multiple_of(HEARTBEAT_INTERVAL_MS) {
            self.gossip();
        }
        for index in 0..CONTROLLER_COUNT {
            if (self.now + index as u64 * 31).is_multiple_of(POLL_INTERVAL_MS) {
                self.poll(index);
            }
        }
    }

    fn gossip(&mut self) {
        for from in 0..CONTROLLER_COUNT {
            let platform_unreachable = self.views[from].platform_access.is_unreachable(self.now);
            for to in (0..CONTROLLER_COUNT).filter(|to| *to != from) {
                let peer = Peer { zone: "zone".into(), last_seen: self.now, ..Default::default() };
                self.views[to].observe(&ip(from), peer);
                let report = PeerReport { platform_unreachable, ..Default::default() };
                self.views[to].record_report(&ip(from), report, self.now);
            }
        }
    }

    fn poll(&mut self, index: usize) {
        let view = &mut self.views[index];
        if view.poller("zone", self.now) != ip(index) {
            return;
        }
        if self.now < self.unreachable_until[index] {
            return view.platform_access.record_failure(self.now);
        }
        view.platform_access.record_success();
        self.last_success_at = self.now;
        self.last_poller = index;
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.step();
        }
    }
}

#[test]
fn next_controller_polls_while_the_first_is_cut_off_from_the_platform() {
    let mut simulation = Simulation::new();
    simulation.run_until(3000);
    let first = simulation.last_poller;
    simulation.unreachable_until[first] = 23_000;
    let mut longest_gap_ms = 0;
    while simulation.now < 23_000 {
        simulation.step();
        longest_gap_ms = longest_gap_ms.max(simulation.now - simulation.last_success_at);
    }
    assert!(longest_gap_ms <= MAX_GAP_MS, "no poll succeeded for {longest_gap_ms} ms");
    simulation.run_until(30_000);
    assert_eq!(simulation.last_poller, first, "the first controller polls again once it reaches the platform");
}

/// Longest allowed gap between successful polls, in milliseconds: the polls until the platform counts as unreachable,
/// one heartbeat that reports it, and one poll of the next controller.
const MAX_GAP_MS: u64 = 4 * POLL_INTERVAL_MS + HEARTBEAT_INTERVAL_MS + POLL_INTERVAL_MS;

#[test]
fn polling_resumes_soon_after_the_platform_becomes_reachable_again() {
    for end in (5000..20_000).step_by(271) {
        let mut simulation = Simulation::new();
        simulation.run_until(2000);
        simulation.unreachable_until = [end; CONTROLLER_COUNT];
        simulation.run_until(end + 2 * POLL_INTERVAL_MS + HEARTBEAT_INTERVAL_MS);
        assert!(simulation.last_success_at >= end, "end {end}: last successful poll at {}", simulation.last_success_at);
    }
}

#[test]
fn platform_is_unreachable_only_after_consecutive_failures_and_until_the_backoff_ends() {
    let mut access = PlatformAccess::default();
    access.record_failure(1000);
    access.record_failure(1100);
    assert!(!access.is_unreachable(1100));
    access.record_success();
    access.record_failure(1200);
    access.record_failure(1300);
    assert!(!access.is_unreachable(1300));
    access.record_failure(1400);
    assert!(access.is_unreachable(1400) && access.is_unreachable(6399) && !access.is_unreachable(6400));
}
