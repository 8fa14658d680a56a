//! Confirming, again and again, that what is known here is not older than what a quorum holds.

use std::sync::Arc;
use std::time::Duration;

use consensus::{quorum, Confirmation, StaleKey};
use kernel::clock;
use protocol::message::{ConsensusOperation, ConsensusResponse, CoreMembership, Position};
use tokio::time::{self, Instant};

use crate::controller::Controller;

const READ_MS: u64 = 600;
const FETCH_MS: u64 = 300;
const RENEW_MS: u64 = 600;
/// How long one key may take.
const CATCH_UP_MS: u64 = 600;
/// What is on no quorum is looked at again after this.
const ON_ITS_WAY_MS: u64 = 60;
/// After this it was left half done by its owner, and one controller commits it again.
const HALF_DONE_MS: u64 = 100;

/// Reads the places of all keys at a quorum and fetches what is newer than here. Once nothing is, the
/// state known here is confirmed as of the time when the read began.
pub async fn run(controller: &Arc<Controller>) {
    let begun = clock::now();
    let core = controller.replica.membership();
    if core.members.is_empty() {
        return;
    }
    let Some(confirmation) = read(controller, &core).await else { return };
    let mut complete = true;
    for behind in confirmation.stale_keys(|key| known(controller, key)) {
        // What was fetched and could not be read is not known.
        complete &=
            catch_up(controller, &core, &behind).await && known(controller, &behind.key) >= Some(behind.position);
    }
    if complete {
        controller.committed.confirm(begun);
    }
}

fn known(controller: &Controller, key: &str) -> Option<Position> {
    controller.committed.position(key)
}

async fn read(controller: &Arc<Controller>, core: &CoreMembership) -> Option<Confirmation> {
    let mut votes = controller.ask(core, ConsensusOperation::Positions, &quorum::addresses(core));
    let mut confirmation = Confirmation::new(core);
    let end = Instant::now() + Duration::from_millis(READ_MS);
    while !confirmation.is_quorum() {
        match time::timeout_at(end, votes.recv()).await.ok()?? {
            (from, ConsensusResponse::Positions { positions }) => confirmation.record(&from, positions),
            (_, ConsensusResponse::NewerMembership { membership: core }) => {
                controller.replica.adopt_membership(&core);
                return None;
            }
            _ => {}
        }
    }
    Some(confirmation)
}

/// Makes one key known here. False: not in time.
///
/// A place that is on no quorum may be on its way, overtaken, or left half done by its owner. Whatever became
/// of it, everything that was committed before it is known once it or a newer committed entry is.
async fn catch_up(controller: &Arc<Controller>, core: &CoreMembership, behind: &StaleKey) -> bool {
    let begun = clock::now();
    if behind.is_committed && fetch(controller, core, behind).await {
        return true;
    }
    while clock::now() < begun + CATCH_UP_MS {
        time::sleep(Duration::from_millis(ON_ITS_WAY_MS)).await;
        if known(controller, &behind.key) >= Some(behind.position) || fetch(controller, core, behind).await {
            return true;
        }
        let now = clock::now();
        let first = controller.peers.read(|view| view.first_live("", &behind.key, now));
        if now > begun + HALF_DONE_MS && first == controller.own_ip() {
            return controller.recommit(&behind.key, RENEW_MS).await.is_some();
        }
    }
    false
}

/// Takes the entry from the members: the one looked for, or a newer one that a quorum holds by now.
async fn fetch(controller: &Arc<Controller>, core: &CoreMembership, behind: &StaleKey) -> bool {
    let mut votes =
        controller.ask(core, ConsensusOperation::Fetch { key: behind.key.clone() }, &quorum::addresses(core));
    let end = Instant::now() + Duration::from_millis(FETCH_MS);
    let mut fetched = Vec::new();
    while let Ok(Some((from, vote))) = time::timeout_at(end, votes.recv()).await {
        let ConsensusResponse::Fetched { entry: Some(entry) } = vote else { continue };
        if behind.is_committed && entry.position() == behind.position {
            controller.learn(&behind.key, &entry, false);
            return true;
        }
        fetched.push((from, entry));
        let newer = consensus::newest_committed(core, &fetched);
        if let Some(entry) = newer.filter(|entry| entry.position() >= behind.position) {
            controller.learn(&behind.key, &entry, false);
            return true;
        }
    }
    // A note of its owner may have come meanwhile.
    known(controller, &behind.key) >= Some(behind.position)
}
