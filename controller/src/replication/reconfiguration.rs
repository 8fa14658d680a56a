//! Reconfiguration of the core: adds, replaces and removes members, one change at a time. The live member that is first
//! in the agreed order coordinates it. Crate `consensus` decides which membership comes next and when a transition is
//! complete.

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

/// The interval between checks of the members, in milliseconds. It is short because a core that has lost a member
/// permanently may not tolerate a second loss until the member is replaced.
const TICK_MS: u64 = 150;
/// Timeout of announcing a membership and collecting the keys, in milliseconds.
const ANNOUNCE_TIMEOUT_MS: u64 = 800;
/// Timeout of one commit, in milliseconds.
const COMMIT_TIMEOUT_MS: u64 = 1500;
/// How many keys are committed again concurrently.
const CONCURRENT_RECOMMITS: usize = 16;

/// Starts the task that recovers the acceptor if necessary and coordinates changes of the core. It runs until the
/// process ends.
pub fn start(controller: &Arc<Controller>) {
    let controller = controller.clone();
    tokio::spawn(async move {
        let mut ticks = startup::interval(TICK_MS);
        let mut transition = None;
        loop {
            ticks.tick().await;
            if !controller.replica.may_vote() {
                recovery::attempt(&controller).await;
                continue;
            }
            coordinate(&controller, &mut transition).await;
        }
    });
}

/// Returns the first live member that is not shutting down, in the order on which all controllers agree for `name`, a
/// key or role.
pub fn first_member(
    core: &CoreMembership,
    view: &MembershipView,
    self_shutting_down: bool,
    name: &str,
    now: u64,
) -> Option<String> {
    let shutting_down = |ip: &str| match ip == view.own_ip {
        true => self_shutting_down,
        false => view.controllers.get(ip).is_some_and(|peer| peer.shutting_down),
    };
    let stays = |ip: &str| quorum::is_member(core, ip) && view.is_live(ip, now) && !shutting_down(ip);
    view.preference_order("", name).into_iter().find(|ip| stays(ip))
}

/// Returns whether this controller coordinates changes of the core.
fn is_coordinator(controller: &Controller, core: &CoreMembership, now: u64) -> bool {
    let shutting_down = controller.is_shutting_down();
    let first = controller.peers.read(|view| first_member(core, view, shutting_down, MEMBERSHIP_KEY, now));
    first.as_deref() == Some(controller.own_ip())
}

/// Advances the transition in progress; otherwise starts the next change if one is due.
async fn coordinate(controller: &Arc<Controller>, transition: &mut Option<MembershipTransition>) {
    let now = clock::now();
    let core = controller.replica.membership();
    if core.members.is_empty() || !controller.committed.is_confirmed(now) || !is_coordinator(controller, &core, now) {
        return;
    }
    if !core.stable {
        return advance_transition(controller, &core, transition).await;
    }
    let next = controller.peers.read(|view| next(&core, view, now));
    let Some(next) = next else { return };
    let decide = |body: &[u8]| match committed_state::decode_membership(body) {
        Some(committed) if committed.version != core.version || !committed.stable => Decision::Answer(()),
        _ => Decision::Write(committed_state::encode_membership(&next), ()),
    };
    if controller.change(MEMBERSHIP_KEY, COMMIT_TIMEOUT_MS, decide).await.is_some() {
        advance_transition(controller, &controller.replica.membership(), transition).await;
    }
}

/// Returns the live controllers that may become members and are not members yet.
fn candidates(core: &CoreMembership, view: &MembershipView, now: u64) -> Vec<Member> {
    let is_available = |ip: &str| !quorum::is_member(core, ip) && view.is_live(ip, now);
    let eligible =
        view.controllers.iter().filter(|(ip, peer)| peer.eligible && !peer.shutting_down && is_available(ip));
    eligible.map(|(ip, peer)| Member { ip: ip.clone(), zone: peer.zone.clone() }).collect()
}

/// Returns the next membership according to this controller's view of its peers, or `None` if the current one stays.
pub fn next(core: &CoreMembership, view: &MembershipView, now: u64) -> Option<CoreMembership> {
    let health = |ip: &str| Health {
        since_last_seen_ms: view.silent_ms(ip, now),
        live: view.is_live(ip, now),
        shutting_down: view.controllers.get(ip).is_some_and(|peer| peer.shutting_down),
    };
    let candidates = candidates(core, view, now);
    let supports_joint = |peer: &Peer| peer.protocol_version >= JOINT_QUORUMS;
    let joint_quorums = view.controllers.iter().all(|(ip, peer)| !view.is_live(ip, now) || supports_joint(peer));
    consensus::next_membership(core, &ClusterView { health: &health, candidates, joint_quorums })
}

/// Advances the transition to a changed core. Steps that are already done are not repeated.
async fn advance_transition(
    controller: &Arc<Controller>,
    core: &CoreMembership,
    transition_slot: &mut Option<MembershipTransition>,
) {
    let is_current = |transition: &MembershipTransition| transition.membership() == core;
    if !transition_slot.as_ref().is_some_and(is_current) {
        *transition_slot = Some(MembershipTransition::new(core));
    }
    let Some(transition) = transition_slot.as_mut() else { return };
    if !transition.is_known() && !announce(controller, core, transition).await {
        return;
    }
    recommit_all(controller, transition).await;
    if !transition.is_done() {
        return;
    }
    let decide = |body: &[u8]| match committed_state::decode_membership(body) {
        Some(committed) if committed.version == core.version && !committed.stable => {
            let stable = stabilized(&committed);
            Decision::Write(committed_state::encode_membership(&stable), ())
        }
        _ => Decision::Answer(()),
    };
    if controller.change(MEMBERSHIP_KEY, COMMIT_TIMEOUT_MS, decide).await.is_some() {
        *transition_slot = None;
    }
}

/// Announces the membership to old and new members and collects the keys that they hold. Returns `false` if too few
/// responded.
async fn announce(controller: &Arc<Controller>, core: &CoreMembership, transition: &mut MembershipTransition) -> bool {
    let members = quorum::old_and_new_members(core);
    let mut responses = controller.send_requests(core, ConsensusOperation::Positions, &members);
    let deadline = Instant::now() + Duration::from_millis(ANNOUNCE_TIMEOUT_MS);
    while !transition.is_known() {
        let Ok(Some((from, response))) = time::timeout_at(deadline, responses.recv()).await else { return false };
        match response {
            ConsensusResponse::NewerMembership { membership: core } => {
                controller.replica.adopt_membership(&core);
                return false;
            }
            response => transition.record_response(&from, &response),
        }
    }
    true
}

/// Commits every remaining key again under the new membership, several of them concurrently.
async fn recommit_all(controller: &Arc<Controller>, transition: &mut MembershipTransition) {
    let permits = Arc::new(Semaphore::new(CONCURRENT_RECOMMITS));
    let mut tasks = JoinSet::new();
    for key in transition.remaining_keys() {
        let (controller, permits) = (controller.clone(), permits.clone());
        tasks.spawn(async move {
            let _permit = permits.acquire().await.ok()?;
            controller.recommit(&key, COMMIT_TIMEOUT_MS).await.map(|()| key)
        });
    }
    while let Some(done) = tasks.join_next().await {
        if let Ok(Some(key)) = done {
            transition.mark_recommitted(&key);
        }
    }
}

/// How long a member that is shutting down waits to be replaced or removed, in milliseconds.
const HAND_OVER_TIMEOUT_MS: u64 = 3500;
/// The interval between checks whether it has been released, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;

/// Waits until this controller, which has announced its shutdown, has left the core. Waits only while it can be
/// released: a candidate is available, or the number of members is even, so that one can be removed.
pub async fn leave(controller: &Arc<Controller>) {
    let deadline = clock::now() + HAND_OVER_TIMEOUT_MS;
    while clock::now() < deadline && may_be_released(controller) {
        time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Returns whether it is worth waiting: this controller is a member that can be released, or the transition that
/// removed it is still in progress.
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
