//! Three controllers that poll one zone's list, some of them cut off from the platform, in virtual time.

use super::PlatformAccess;
use crate::{MembershipView, Peer, PeerReport};

const SPAN: u64 = 1100;
const BEAT: u64 = 350;
const POLL: u64 = 600;
const CONTROLLERS: usize = 3;

struct World {
    now: u64,
    rosters: Vec<MembershipView>,
    /// Until when each controller is cut off from the platform.
    cut_until: [u64; CONTROLLERS],
    /// When a poll last succeeded, and by whom.
    polled: (u64, usize),
}

fn name(at: usize) -> String {
    format!("10.0.0.{at}")
}

impl World {
    fn new() -> World {
        let rosters = (0..CONTROLLERS).map(|at| MembershipView::new(&name(at), "zone", SPAN)).collect();
        World { now: 0, rosters, cut_until: [0; CONTROLLERS], polled: (0, CONTROLLERS) }
    }

    fn step(&mut self) {
        self.now += 1;
        if self.now.is_multiple_of(BEAT) {
            self.gossip();
        }
        for at in 0..CONTROLLERS {
            if (self.now + at as u64 * 31).is_multiple_of(POLL) {
                self.poll(at);
            }
        }
    }

    fn gossip(&mut self) {
        for from in 0..CONTROLLERS {
            let platform_unreachable = self.rosters[from].platform_access.is_unreachable(self.now);
            for to in (0..CONTROLLERS).filter(|to| *to != from) {
                let peer = Peer { zone: "zone".into(), last_seen: self.now, ..Default::default() };
                self.rosters[to].observe(&name(from), peer);
                let report = PeerReport { platform_unreachable, ..Default::default() };
                self.rosters[to].record_report(&name(from), report, self.now);
            }
        }
    }

    fn poll(&mut self, at: usize) {
        let roster = &mut self.rosters[at];
        if roster.poller("zone", self.now) != name(at) {
            return;
        }
        if self.now < self.cut_until[at] {
            return roster.platform_access.record_failure(self.now);
        }
        roster.platform_access.record_success();
        self.polled = (self.now, at);
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
    let first = world.polled.1;
    world.cut_until[first] = 23_000;
    let mut longest = 0;
    while world.now < 23_000 {
        world.step();
        longest = longest.max(world.now - world.polled.0);
    }
    assert!(longest <= FIRST_GAP_MS, "no poll succeeded for {longest} ms");
    world.run_until(30_000);
    assert_eq!(world.polled.1, first, "it takes its place again once it reaches the platform");
}

/// Three polls without an answer, a beat of gossip and a poll of the next.
const FIRST_GAP_MS: u64 = 4 * POLL + BEAT + POLL;

#[test]
fn somebody_polls_soon_after_a_platform_that_nobody_reached_is_back() {
    for end in (5000..20_000).step_by(271) {
        let mut world = World::new();
        world.run_until(2000);
        world.cut_until = [end; CONTROLLERS];
        world.run_until(end + 2 * POLL + BEAT);
        assert!(world.polled.0 >= end, "end {end}: the last poll was at {}", world.polled.0);
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
