//! Recovery of an acceptor on an empty disk. Either it was never a member, or it must first read enough other
//! acceptors to learn of every response that it gave before it lost its disk.

use std::sync::Arc;
use std::time::Duration;

use consensus::{quorum, RECOVERY_DELAY_MS};
use kernel::clock;
use protocol::message::{ConsensusOperation, ConsensusResponse, CoreMembership};
use tokio::time::{self, Instant};

use crate::controller::Controller;
use crate::event::{RECOVERED, VOTING_ENABLED};

/// Timeout of one read of the other acceptors, in milliseconds.
const READ_TIMEOUT_MS: u64 = 800;

/// Makes one attempt to let the acceptor vote. To be repeated until the acceptor may vote.
pub async fn attempt(controller: &Arc<Controller>) {
    let core = controller.replica.membership();
    if clock::now() < RECOVERY_DELAY_MS || core.members.is_empty() {
        return;
    }
    // A member that is being removed recovers too: it no longer votes, but the membership transition depends on its
    // reports.
    if quorum::is_old_or_new_member(&core, controller.own_ip()) {
        recover(controller, &core).await;
    } else {
        become_candidate(controller, &core).await;
    }
}

/// Reads the registers of the other acceptors until every quorum of the core contains one that was read.
async fn recover(controller: &Arc<Controller>, core: &CoreMembership) {
    let others = controller.replica.recovery_peers();
    let enough = |from: &[String]| controller.replica.has_enough_reads(from);
    let Some(responses) = gather(controller, core, ConsensusOperation::Snapshot, &others, enough).await else { return };
    let (mut reads, mut from) = (Vec::new(), Vec::new());
    for (address, response) in responses {
        if let ConsensusResponse::Snapshot { registers } = response {
            reads.push(registers);
            from.push(address);
        }
    }
    if controller.replica.recover(core.version, reads) {
        kernel::log_event!(RECOVERED, "from" => from.join(","));
    }
}

/// Lets an acceptor that was never a member vote. A quorum must confirm that the core is the current one. This
/// controller is not in it, nor in the previous one while that still counts, so no response that it may have lost
/// matters.
async fn become_candidate(controller: &Arc<Controller>, core: &CoreMembership) {
    let members = quorum::old_and_new_members(core);
    let enough = |from: &[String]| quorum::is_quorum(core, from);
    if gather(controller, core, ConsensusOperation::Positions, &members, enough).await.is_none() {
        return;
    }
    if controller.replica.enable_voting(core.version) {
        kernel::log_event!(VOTING_ENABLED, "core" => core.version);
    }
}

/// Sends an operation to acceptors and collects responses until enough of them have answered. Returns `None` on a
/// timeout, or if the membership is not current.
async fn gather(
    controller: &Arc<Controller>,
    core: &CoreMembership,
    operation: ConsensusOperation,
    addresses: &[String],
    enough: impl Fn(&[String]) -> bool,
) -> Option<Vec<(String, ConsensusResponse)>> {
    let mut responses = controller.send_requests(core, operation, addresses);
    let deadline = Instant::now() + Duration::from_millis(READ_TIMEOUT_MS);
    let (mut gathered, mut from) = (Vec::new(), Vec::new());
    while !enough(&from) {
        match time::timeout_at(deadline, responses.recv()).await.ok()?? {
            (_, ConsensusResponse::NewerMembership { membership: core }) => {
                controller.replica.adopt_membership(&core);
                return None;
            }
            (address, response @ (ConsensusResponse::Snapshot { .. } | ConsensusResponse::Positions { .. })) => {
                from.push(address.clone());
                gathered.push((address, response));
            }
            _ => {}
        }
    }
    Some(gathered)
}
