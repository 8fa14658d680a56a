//! Confirms repeatedly that the committed state known here is not older than what a quorum holds.

use std::sync::Arc;
use std::time::Duration;

use consensus::{quorum, Confirmation, StaleKey};
use kernel::clock;
use protocol::message::{ConsensusOperation, ConsensusResponse, CoreMembership, Position};
use tokio::time::{self, Instant};

use crate::controller::Controller;

/// Timeout of the read of all positions, in milliseconds.
const READ_TIMEOUT_MS: u64 = 600;
/// Timeout of one fetch of an entry, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 300;
/// Timeout of committing a key again, in milliseconds.
const RECOMMIT_TIMEOUT_MS: u64 = 600;
/// Timeout of catching up on one key, in milliseconds.
const CATCH_UP_TIMEOUT_MS: u64 = 600;
/// The delay before an entry that is on no quorum is fetched again, in milliseconds.
const IN_TRANSIT_DELAY_MS: u64 = 60;
/// How long an entry may be on no quorum before it counts as abandoned by its owner, in milliseconds. After that, one
/// controller commits it again.
const ABANDONED_AFTER_MS: u64 = 100;

/// Reads the positions of all keys at a quorum and catches up on stale keys. Once no key is stale, the state known here
/// is confirmed as of the start of the read.
pub async fn run(controller: &Arc<Controller>) {
    let started = clock::now();
    let membership = controller.replica.membership();
    if membership.members.is_empty() {
        return;
    }
    let Some(confirmation) = read_positions(controller, &membership).await else { return };
    let mut caught_up = true;
    for stale in confirmation.stale_keys(|key| known_position(controller, key)) {
        // A fetched entry that cannot be read leaves the key stale.
        caught_up &= catch_up(controller, &membership, &stale).await
            && known_position(controller, &stale.key) >= Some(stale.position);
    }
    if caught_up {
        controller.committed.confirm(started);
    }
}

fn known_position(controller: &Controller, key: &str) -> Option<Position> {
    controller.committed.position(key)
}

async fn read_positions(controller: &Arc<Controller>, membership: &CoreMembership) -> Option<Confirmation> {
    let mut responses =
        controller.send_requests(membership, ConsensusOperation::Positions, &quorum::addresses(membership));
    let mut confirmation = Confirmation::new(membership);
    let deadline = Instant::now() + Duration::from_millis(READ_TIMEOUT_MS);
    while !confirmation.is_quorum() {
        match time::timeout_at(deadline, responses.recv()).await.ok()?? {
            (from, ConsensusResponse::Positions { positions }) => confirmation.record(&from, positions),
            (_, ConsensusResponse::NewerMembership { membership }) => {
                controller.replica.adopt_membership(&membership);
                return None;
            }
            _ => {}
        }
    }
    Some(confirmation)
}

/// Learns the newest committed entry of a stale key. Returns `false` if that takes too long.
///
/// A position that is on no quorum may be in transit, superseded, or abandoned by its owner. In each case, once its
/// entry or a newer committed one is known, so is everything that was committed before it.
async fn catch_up(controller: &Arc<Controller>, membership: &CoreMembership, stale: &StaleKey) -> bool {
    let started = clock::now();
    if stale.is_committed && fetch(controller, membership, stale).await {
        return true;
    }
    while clock::now() < started + CATCH_UP_TIMEOUT_MS {
        time::sleep(Duration::from_millis(IN_TRANSIT_DELAY_MS)).await;
        if known_position(controller, &stale.key) >= Some(stale.position) || fetch(controller, membership, stale).await
        {
            return true;
        }
        let now = clock::now();
        let first = controller.peers.read(|view| view.first_live("", &stale.key, now));
        if now > started + ABANDONED_AFTER_MS && first == controller.own_ip() {
            return controller.recommit(&stale.key, RECOMMIT_TIMEOUT_MS).await.is_some();
        }
    }
    false
}

/// Fetches from the members the entry at the stale key's reported position, or a newer one that a quorum holds by now.
/// Returns whether one of them is known.
async fn fetch(controller: &Arc<Controller>, membership: &CoreMembership, stale: &StaleKey) -> bool {
    let mut responses = controller.send_requests(
        membership,
        ConsensusOperation::Fetch { key: stale.key.clone() },
        &quorum::addresses(membership),
    );
    let deadline = Instant::now() + Duration::from_millis(FETCH_TIMEOUT_MS);
    let mut fetched = Vec::new();
    while let Ok(Some((from, response))) = time::timeout_at(deadline, responses.recv()).await {
        let ConsensusResponse::Fetched { entry: Some(entry) } = response else { continue };
        if stale.is_committed && entry.position() == stale.position {
            controller.learn(&stale.key, &entry, false);
            return true;
        }
        fetched.push((from, entry));
        let newer = consensus::newest_committed(membership, &fetched);
        if let Some(entry) = newer.filter(|entry| entry.position() >= stale.position) {
            controller.learn(&stale.key, &entry, false);
            return true;
        }
    }
    // The owner of the key may have announced the entry meanwhile.
    known_position(controller, &stale.key) >= Some(stale.position)
}
