//! A voter on an empty disk: either it was never a member, or it must first read so many others that no
//! vote it gave and lost goes unseen.
use wire::msg::{Ask, Core, Vote};

const READ_MS: u64 = 800;

/// One attempt. It may be repeated until the voter may vote.
pub async fn attempt(keeper: &std::sync::Arc<crate::keeper::Keeper>) {
    let core = keeper.core();
    if kernel::clock::now() < ledger::RECALL_DELAY_MS || core.list.is_empty() {
        return;
    }
    // One that is being removed votes no more, but the change is settled on what it says that it holds.
    if ledger::quorum::is_old_or_new_member(&core, keeper.me()) {
        recall(keeper, &core).await;
    } else {
        become_candidate(keeper, &core).await;
    }
}

/// Reads what the other voters hold until every quorum of the core has a voter that was read.
async fn recall(keeper: &std::sync::Arc<crate::keeper::Keeper>, core: &Core) {
    let others = keeper.voter.lock().expect("voter").witnesses();
    let enough = |from: &[String]| keeper.voter.lock().expect("voter").enough(from);
    let Some(answers) = gather(keeper, core, Ask::Whole, &others, enough).await else { return };
    let (mut reads, mut from) = (Vec::new(), Vec::new());
    for (address, vote) in answers {
        if let Vote::Whole { slots } = vote {
            reads.push(slots);
            from.push(address);
        }
    }
    {
        let mut voter = keeper.voter.lock().expect("voter");
        if voter.core.version != core.version {
            // What was read answers for the quorums of another core.
            return;
        }
        // Otherwise a newer core is on its way here.
        let Some(records) = voter.recall(reads) else { return };
        keeper.disk.write(records);
    }
    kernel::say!(crate::event::RECALLED, "from" => from.join(","));
}

/// A quorum says that this core is the current one, and this keeper is neither in it nor, as long as it matters,
/// in the one before: no vote of it counts.
async fn become_candidate(keeper: &std::sync::Arc<crate::keeper::Keeper>, core: &Core) {
    let members = ledger::quorum::old_and_new_members(core);
    let enough = |from: &[String]| ledger::quorum::is_quorum(core, from);
    if gather(keeper, core, Ask::Places, &members, enough).await.is_none() {
        return;
    }
    let mut voter = keeper.voter.lock().expect("voter");
    if voter.core.version != core.version {
        return;
    }
    voter.may_vote = true;
    keeper.disk.write(vec![ledger::voter::LogRecord::Vote]);
    kernel::say!(crate::event::FRESH, "core" => core.version);
}

/// Asks voters until enough of them answered what was asked. None: not in time, or the core is not current.
async fn gather(
    keeper: &std::sync::Arc<crate::keeper::Keeper>,
    core: &Core,
    ask: Ask,
    addresses: &[String],
    enough: impl Fn(&[String]) -> bool,
) -> Option<Vec<(String, Vote)>> {
    let mut votes = keeper.ask(core, ask, addresses);
    let end = tokio::time::Instant::now() + std::time::Duration::from_millis(READ_MS);
    let (mut answers, mut from) = (Vec::new(), Vec::new());
    while !enough(&from) {
        match tokio::time::timeout_at(end, votes.recv()).await.ok()?? {
            (_, Vote::Newer { core }) => {
                keeper.adopt(&core);
                return None;
            }
            (address, vote @ (Vote::Whole { .. } | Vote::Places { .. })) => {
                from.push(address.clone());
                answers.push((address, vote));
            }
            _ => {}
        }
    }
    Some(answers)
}
