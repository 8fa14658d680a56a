//! Three controllers that poll one zone's list, some of them cut off from the platform, in virtual time.

use super::PlatformAccess;
use crate::{MembershipView, Peer, PeerReport};

const LIVENESS_TIMEOUT_MS: u64 = 1100;
const HEARTBEAT_INTERVAL_MS: u64 = 350;
const POLL_INTERVAL_MS: u64 = 600;
const CONTROLLER_COUNT: usize = 3;

struct World {
    now: u64,
    views: Vec<MembershipView>,
    /// Until when each controller is cut off from the platform.
    partitioned_until: [u64; CONTROLLER_COUNT],
    /// When a poll last succeeded.
    polled_at: u64,
    /// Whose poll it was.
    poller: usize,
}

fn ip(index: usize) -> String {
    format!("10.0.0.{index}")
}

impl World {
    fn new() -> World {
        let views =
            (0..CONTROLLER_COUNT).map(|index| MembershipView::new(&ip(index), "zone", LIVENESS_TIMEOUT_MS)).collect();
        World { now: 0, views, partitioned_until: [0; CONTROLLER_COUNT], polled_at: 0, poller: CONTROLLER_COUNT }
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
        if self.now < self.partitioned_until[index] {
            return view.platform_access.record_failure(self.now);
        }
        view.platform_access.record_success();
        self.polled_at = self.now;
        self.poller = index;
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.step();
        }
    }
}

#[test]
fn another_controller_polls_while_the_first_is_cut_off_from_the_platform() {
    let mut world = World::new();
    world.run_until(3000);
    let first = world.poller;
    world.partitioned_until[first] = 23_000;
    let mut longest = 0;
    while world.now < 23_000 {
        world.step();
        longest = longest.max(world.now - world.polled_at);
    }
    assert!(longest <= MAX_GAP_MS, "no poll succeeded for {longest} ms");
    world.run_until(30_000);
    assert_eq!(world.poller, first, "it polls again once it reaches the platform");
}

/// Three polls without an answer, a heartbeat and a poll of the next.
const MAX_GAP_MS: u64 = 4 * POLL_INTERVAL_MS + HEARTBEAT_INTERVAL_MS + POLL_INTERVAL_MS;

#[test]
fn somebody_polls_soon_after_a_platform_that_nobody_reached_is_back() {
    for end in (5000..20_000).step_by(271) {
        let mut world = World::new();
        world.run_until(2000);
        world.partitioned_until = [end; CONTROLLER_COUNT];
        world.run_until(end + 2 * POLL_INTERVAL_MS + HEARTBEAT_INTERVAL_MS);
        assert!(world.polled_at >= end, "end {end}: the last poll was at {}", world.polled_at);
    }
}

#[test]
fn one_lost_poll_changes_nothing_and_a_success_forgets_failures() {
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
