//! Members of the core added, exchanged and removed, one change at a time, by the controller that is first in
//! order. What the next core is and when it is settled is decided in `consensus::reconfiguration`.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use consensus::{quorum, stabilized, ClusterView, Decision, Health, MembershipTransition, MEMBERSHIP_KEY};
use kernel::{clock, startup};
use membership::{MembershipView, Peer};
use protocol::message::{ConsensusOperation, ConsensusResponse, CoreMembership, Member, JOINT_QUORUMS};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::controller::Controller;
use crate::replication::{committed_state, recovery};

/// How often members are looked at. Short: a core that lost one for good bears no second loss until this
/// has run its course.
const BEAT_MS: u64 = 150;
const SPREAD_MS: u64 = 800;
const COMMIT_MS: u64 = 1500;
/// How many keys are committed again at once.
const RENEWALS: usize = 16;

pub fn start(controller: &Arc<Controller>) {
    let controller = controller.clone();
    tokio::spawn(async move {
        let mut beat = startup::interval(BEAT_MS);
        let mut settlement = None;
        loop {
            beat.tick().await;
            if !controller.replica.may_vote() {
                recovery::attempt(&controller).await;
                continue;
            }
            tend(&controller, &mut settlement).await;
        }
    });
}

/// The first live member that is not about to end, in the order in which controllers agree for a key or duty.
pub fn first_member(
    core: &CoreMembership,
    roster: &MembershipView,
    self_leaving: bool,
    name: &str,
    now: u64,
) -> Option<String> {
    let leaving = |ip: &str| match ip == roster.own_ip {
        true => self_leaving,
        false => roster.controllers.get(ip).is_some_and(|peer| peer.shutting_down),
    };
    let stays = |ip: &str| quorum::is_member(core, ip) && roster.is_live(ip, now) && !leaving(ip);
    roster.preference_order("", name).into_iter().find(|ip| stays(ip))
}

/// Is this controller the one that changes the core?
fn coordinates(controller: &Controller, core: &CoreMembership, now: u64) -> bool {
    let leaving = controller.shutting_down.load(Ordering::Relaxed);
    let first = controller.peers.read(|view| first_member(core, view, leaving, MEMBERSHIP_KEY, now));
    first.as_deref() == Some(controller.own_ip())
}

/// Settles a core that is changing, else begins the next change.
async fn tend(controller: &Arc<Controller>, settlement: &mut Option<MembershipTransition>) {
    let now = clock::now();
    let core = controller.replica.membership();
    if core.members.is_empty() || !controller.committed.is_confirmed(now) || !coordinates(controller, &core, now) {
        return;
    }
    if !core.stable {
        return settle(controller, &core, settlement).await;
    }
    let next = controller.peers.read(|view| next(&core, view, now));
    let Some(next) = next else { return };
    let judge = |body: &[u8]| match committed_state::read_core(body) {
        Some(held) if held.version != core.version || !held.stable => Decision::Answer(()),
        _ => Decision::Write(committed_state::write_core(&next), ()),
    };
    if controller.change(MEMBERSHIP_KEY, COMMIT_MS, judge).await.is_some() {
        settle(controller, &controller.replica.membership(), settlement).await;
    }
}

/// Live controllers that may be made members and aren't yet.
fn candidates(core: &CoreMembership, roster: &MembershipView, now: u64) -> Vec<Member> {
    let waits = |ip: &str| !quorum::is_member(core, ip) && roster.is_live(ip, now);
    let fit = roster.controllers.iter().filter(|(ip, peer)| peer.eligible && !peer.shutting_down && waits(ip));
    fit.map(|(ip, peer)| Member { ip: ip.clone(), zone: peer.zone.clone() }).collect()
}

/// The next core as this controller sees the others.
pub fn next(core: &CoreMembership, roster: &MembershipView, now: u64) -> Option<CoreMembership> {
    let health = |ip: &str| Health {
        since_last_seen_ms: roster.silent_ms(ip, now),
        live: roster.is_live(ip, now),
        shutting_down: roster.controllers.get(ip).is_some_and(|peer| peer.shutting_down),
    };
    let candidates = candidates(core, roster, now);
    let counts_joint = |peer: &Peer| peer.protocol_version >= JOINT_QUORUMS;
    let joint_quorums = roster.controllers.iter().all(|(ip, peer)| !roster.is_live(ip, now) || counts_joint(peer));
    consensus::next_membership(core, &ClusterView { health: &health, candidates, joint_quorums })
}

/// Goes on with the settlement of a changed core; what was done of it before is not done again.
async fn settle(controller: &Arc<Controller>, core: &CoreMembership, kept: &mut Option<MembershipTransition>) {
    let current = |held: &MembershipTransition| held.membership() == core;
    if !kept.as_ref().is_some_and(current) {
        *kept = Some(MembershipTransition::new(core));
    }
    let Some(settlement) = kept.as_mut() else { return };
    if !settlement.is_known() && !spread(controller, core, settlement).await {
        return;
    }
    renew(controller, settlement).await;
    if !settlement.is_done() {
        return;
    }
    let judge = |body: &[u8]| match committed_state::read_core(body) {
        Some(held) if held.version == core.version && !held.stable => {
            let settled = stabilized(&held);
            Decision::Write(committed_state::write_core(&settled), ())
        }
        _ => Decision::Answer(()),
    };
    if controller.change(MEMBERSHIP_KEY, COMMIT_MS, judge).await.is_some() {
        *kept = None;
    }
}

/// Tells old and new members of the core and collects the keys they hold. False: not enough answered.
async fn spread(controller: &Arc<Controller>, core: &CoreMembership, settlement: &mut MembershipTransition) -> bool {
    let members = quorum::old_and_new_members(core);
    let mut votes = controller.ask(core, ConsensusOperation::Positions, &members);
    let end = Instant::now() + Duration::from_millis(SPREAD_MS);
    while !settlement.is_known() {
        let Ok(Some((from, vote))) = time::timeout_at(end, votes.recv()).await else { return false };
        match vote {
            ConsensusResponse::NewerMembership { membership: core } => {
                controller.replica.adopt_membership(&core);
                return false;
            }
            vote => settlement.record_response(&from, &vote),
        }
    }
    true
}

/// Commits every key again under the new core, several at once.
async fn renew(controller: &Arc<Controller>, settlement: &mut MembershipTransition) {
    let slots = Arc::new(Semaphore::new(RENEWALS));
    let mut tasks = JoinSet::new();
    for key in settlement.remaining_keys() {
        let (controller, slots) = (controller.clone(), slots.clone());
        tasks.spawn(async move {
            let _slot = slots.acquire().await.ok()?;
            controller.recommit(&key, COMMIT_MS).await.map(|()| key)
        });
    }
    while let Some(done) = tasks.join_next().await {
        if let Ok(Some(key)) = done {
            settlement.mark_recommitted(&key);
        }
    }
}

/// Longest time a leaving member waits to be exchanged or removed.
const HAND_OVER_MS: u64 = 3500;
const LOOK_MS: u64 = 50;

/// A member that is about to end tells so, and stays until the core does without it where that is possible:
/// where another stands ready or there is one member too many. Otherwise it does not wait.
pub async fn leave(controller: &Arc<Controller>) {
    let end = clock::now() + HAND_OVER_MS;
    while clock::now() < end && may_be_released(controller) {
        time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

fn may_be_released(controller: &Controller) -> bool {
    let now = clock::now();
    let core = controller.replica.membership();
    if !quorum::is_member(&core, controller.own_ip()) {
        return !core.stable;
    }
    !controller.peers.read(|view| candidates(&core, view, now)).is_empty() || core.members.len().is_multiple_of(2)
}

#[cfg(test)]
#[path = "reconfiguration_tests.rs"]
mod tests;
