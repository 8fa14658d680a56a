//! A voter on an empty disk: either it was never a member, or it must first read so many others that no
//! vote it gave and lost goes unseen.

use std::sync::Arc;
use std::time::Duration;

use consensus::{quorum, RECOVERY_DELAY_MS};
use kernel::clock;
use protocol::message::{ConsensusOperation, ConsensusResponse, CoreMembership};
use tokio::time::{self, Instant};

use crate::controller::Controller;
use crate::event::{RECOVERED, VOTING_ENABLED};

const READ_MS: u64 = 800;

/// One attempt. It may be repeated until the voter may vote.
pub async fn attempt(controller: &Arc<Controller>) {
    let core = controller.replica.membership();
    if clock::now() < RECOVERY_DELAY_MS || core.members.is_empty() {
        return;
    }
    // One that is being removed votes no more, but the change is settled on what it says that it holds.
    if quorum::is_old_or_new_member(&core, controller.own_ip()) {
        recall(controller, &core).await;
    } else {
        become_candidate(controller, &core).await;
    }
}

/// Reads what the other voters hold until every quorum of the core has a voter that was read.
async fn recall(controller: &Arc<Controller>, core: &CoreMembership) {
    let others = controller.replica.recovery_peers();
    let enough = |from: &[String]| controller.replica.has_enough_reads(from);
    let Some(answers) = gather(controller, core, ConsensusOperation::Snapshot, &others, enough).await else { return };
    let (mut reads, mut from) = (Vec::new(), Vec::new());
    for (address, vote) in answers {
        if let ConsensusResponse::Snapshot { registers } = vote {
            reads.push(registers);
            from.push(address);
        }
    }
    if controller.replica.recover(core.version, reads) {
        kernel::log_event!(RECOVERED, "from" => from.join(","));
    }
}

/// A quorum says that this core is the current one, and this controller is neither in it nor, as long as it matters,
/// in the one before: no vote of it counts.
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

/// Asks voters until enough of them answered what was asked. None: not in time, or the core is not current.
async fn gather(
    controller: &Arc<Controller>,
    core: &CoreMembership,
    ask: ConsensusOperation,
    addresses: &[String],
    enough: impl Fn(&[String]) -> bool,
) -> Option<Vec<(String, ConsensusResponse)>> {
    let mut votes = controller.ask(core, ask, addresses);
    let end = Instant::now() + Duration::from_millis(READ_MS);
    let (mut answers, mut from) = (Vec::new(), Vec::new());
    while !enough(&from) {
        match time::timeout_at(end, votes.recv()).await.ok()?? {
            (_, ConsensusResponse::NewerMembership { membership: core }) => {
                controller.replica.adopt_membership(&core);
                return None;
            }
            (address, vote @ (ConsensusResponse::Snapshot { .. } | ConsensusResponse::Positions { .. })) => {
                from.push(address.clone());
                answers.push((address, vote));
            }
            _ => {}
        }
    }
    Some(answers)
}
