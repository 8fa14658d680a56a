//! Confirmation, again and again, that the committed state known here is not older than what a quorum holds.

use std::sync::Arc;
use std::time::Duration;

use consensus::{quorum, Confirmation, StaleKey};
use kernel::clock;
use protocol::message::{ConsensusOperation, ConsensusResponse, CoreMembership, Position};
use tokio::time::{self, Instant};

use crate::controller::Controller;

/// How long the read of all positions may take.
const READ_TIMEOUT_MS: u64 = 600;
/// How long one fetch of an entry may take.
const FETCH_TIMEOUT_MS: u64 = 300;
/// How long committing a key again may take.
const RECOMMIT_TIMEOUT_MS: u64 = 600;
/// How long catching up on one key may take.
const CATCH_UP_TIMEOUT_MS: u64 = 600;
/// The pause before an entry that is on no quorum is looked at again.
const IN_TRANSIT_PAUSE_MS: u64 = 60;
/// After this an entry counts as left incomplete by its owner, and one controller commits it again.
const INCOMPLETE_AFTER_MS: u64 = 100;

/// Reads the positions of all keys at a quorum and fetches what is newer than here. Once nothing is, the state known here is
/// confirmed as of the time when the read began.
pub async fn run(controller: &Arc<Controller>) {
    let begun = clock::now();
    let membership = controller.replica.membership();
    if membership.members.is_empty() {
        return;
    }
    let Some(confirmation) = read(controller, &membership).await else { return };
    let mut complete = true;
    for behind in confirmation.stale_keys(|key| known(controller, key)) {
        // What was fetched and could not be read is not known.
        complete &=
            catch_up(controller, &membership, &behind).await && known(controller, &behind.key) >= Some(behind.position);
    }
    if complete {
        controller.committed.confirm(begun);
    }
}

fn known(controller: &Controller, key: &str) -> Option<Position> {
    controller.committed.position(key)
}

async fn read(controller: &Arc<Controller>, membership: &CoreMembership) -> Option<Confirmation> {
    let mut responses = controller.ask(membership, ConsensusOperation::Positions, &quorum::addresses(membership));
    let mut confirmation = Confirmation::new(membership);
    let end = Instant::now() + Duration::from_millis(READ_TIMEOUT_MS);
    while !confirmation.is_quorum() {
        match time::timeout_at(end, responses.recv()).await.ok()?? {
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

/// Makes the newest committed entry of one key known here. Returns false where that took too long.
///
/// A position that is on no quorum may be in transit, superseded, or left incomplete by its owner. Whatever became of it,
/// everything that was committed before it is known once it or a newer committed entry is.
async fn catch_up(controller: &Arc<Controller>, membership: &CoreMembership, behind: &StaleKey) -> bool {
    let begun = clock::now();
    if behind.is_committed && fetch(controller, membership, behind).await {
        return true;
    }
    while clock::now() < begun + CATCH_UP_TIMEOUT_MS {
        time::sleep(Duration::from_millis(IN_TRANSIT_PAUSE_MS)).await;
        if known(controller, &behind.key) >= Some(behind.position) || fetch(controller, membership, behind).await {
            return true;
        }
        let now = clock::now();
        let first = controller.peers.read(|view| view.first_live("", &behind.key, now));
        if now > begun + INCOMPLETE_AFTER_MS && first == controller.own_ip() {
            return controller.recommit(&behind.key, RECOMMIT_TIMEOUT_MS).await.is_some();
        }
    }
    false
}

/// Fetches the entry from the members: the one looked for, or a newer one that a quorum holds by now.
async fn fetch(controller: &Arc<Controller>, membership: &CoreMembership, behind: &StaleKey) -> bool {
    let mut responses = controller.ask(
        membership,
        ConsensusOperation::Fetch { key: behind.key.clone() },
        &quorum::addresses(membership),
    );
    let end = Instant::now() + Duration::from_millis(FETCH_TIMEOUT_MS);
    let mut fetched = Vec::new();
    while let Ok(Some((from, vote))) = time::timeout_at(end, responses.recv()).await {
        let ConsensusResponse::Fetched { entry: Some(entry) } = vote else { continue };
        if behind.is_committed && entry.position() == behind.position {
            controller.learn(&behind.key, &entry, false);
            return true;
        }
        fetched.push((from, entry));
        let newer = consensus::newest_committed(membership, &fetched);
        if let Some(entry) = newer.filter(|entry| entry.position() >= behind.position) {
            controller.learn(&behind.key, &entry, false);
            return true;
        }
    }
    // Its owner may have announced it meanwhile.
    known(controller, &behind.key) >= Some(behind.position)
}
