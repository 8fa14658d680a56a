//! An acceptor on an empty disk: either it was never a member, or it must first read so many others that no response it gave
//! and lost goes unseen.

use std::sync::Arc;
use std::time::Duration;

use consensus::{quorum, RECOVERY_DELAY_MS};
use kernel::clock;
use protocol::message::{ConsensusOperation, ConsensusResponse, CoreMembership};
use tokio::time::{self, Instant};

use crate::controller::Controller;
use crate::event::{RECOVERED, VOTING_ENABLED};

/// How long one read of the others may take.
const READ_TIMEOUT_MS: u64 = 800;

/// Attempts to become able to response, once. It may be repeated until the acceptor may response.
pub async fn attempt(controller: &Arc<Controller>) {
    let core = controller.replica.membership();
    if clock::now() < RECOVERY_DELAY_MS || core.members.is_empty() {
        return;
    }
    // One that is being removed no longer votes, but the membership transition rests on what it reports.
    if quorum::is_old_or_new_member(&core, controller.own_ip()) {
        recover(controller, &core).await;
    } else {
        become_candidate(controller, &core).await;
    }
}

/// Reads what the other acceptors hold until every quorum of the core has one that was read.
async fn recover(controller: &Arc<Controller>, core: &CoreMembership) {
    let others = controller.replica.recovery_peers();
    let enough = |from: &[String]| controller.replica.has_enough_reads(from);
    let Some(answers) = gather(controller, core, ConsensusOperation::Snapshot, &others, enough).await else { return };
    let (mut reads, mut from) = (Vec::new(), Vec::new());
    for (address, response) in answers {
        if let ConsensusResponse::Snapshot { registers } = response {
            reads.push(registers);
            from.push(address);
        }
    }
    if controller.replica.recover(core.version, reads) {
        kernel::log_event!(RECOVERED, "from" => from.join(","));
    }
}

/// A quorum says that this core is the current one, and this controller is neither in it nor, as long as it matters,
/// in the one before: no response of it counts.
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

/// Asks acceptors until enough of them responded. None: not in time, or the membership is not current.
async fn gather(
    controller: &Arc<Controller>,
    core: &CoreMembership,
    ask: ConsensusOperation,
    addresses: &[String],
    enough: impl Fn(&[String]) -> bool,
) -> Option<Vec<(String, ConsensusResponse)>> {
    let mut responses = controller.ask(core, ask, addresses);
    let end = Instant::now() + Duration::from_millis(READ_TIMEOUT_MS);
    let (mut answers, mut from) = (Vec::new(), Vec::new());
    while !enough(&from) {
        match time::timeout_at(end, responses.recv()).await.ok()?? {
            (_, ConsensusResponse::NewerMembership { membership: core }) => {
                controller.replica.adopt_membership(&core);
                return None;
            }
            (address, response @ (ConsensusResponse::Snapshot { .. } | ConsensusResponse::Positions { .. })) => {
                from.push(address.clone());
                answers.push((address, response));
            }
            _ => {}
        }
    }
    Some(answers)
}
