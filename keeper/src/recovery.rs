//! A voter on an empty disk: either it was never a member, or it must first read so many others that no
//! vote it gave and lost goes unseen.
use wire::msg::{Ask, Core, Vote};

const READ_MS: u64 = 800;

/// One attempt. It may be repeated until the voter is may_vote to vote.
pub async fn attempt(keeper: &std::sync::Arc<crate::keeper::Keeper>) {
    let core = keeper.core();
    if kernel::clock::now() < ledger::RECALL_DELAY_MS || core.list.is_empty() {
        return;
    }
    if ledger::quorum::is_member(&core, keeper.me()) {
        recall(keeper, &core).await;
    } else {
        become_candidate(keeper, &core).await;
    }
}

/// Reads what the other voters hold until every quorum of the core has a voter that was read.
async fn recall(keeper: &std::sync::Arc<crate::keeper::Keeper>, core: &Core) {
    let others = keeper.voter.lock().expect("voter").witnesses();
    let mut votes = keeper.ask(core, Ask::Whole, &others);
    let end = tokio::time::Instant::now() + std::time::Duration::from_millis(READ_MS);
    let (mut reads, mut from) = (Vec::new(), Vec::new());
    while !keeper.voter.lock().expect("voter").enough(&from) {
        match tokio::time::timeout_at(end, votes.recv()).await {
            Ok(Some((address, Vote::Whole { slots }))) => {
                reads.push(slots);
                from.push(address);
            }
            Ok(Some((_, Vote::Newer { core }))) => return keeper.adopt(&core),
            Ok(Some(_)) => {}
            _ => return,
        }
    }
    {
        let mut voter = keeper.voter.lock().expect("voter");
        if voter.core.version != core.version {
            // What was read answers for the quorums of another core.
            return;
        }
        let records = voter.recall(reads);
        keeper.disk.write(records);
    }
    kernel::say!(crate::event::RECALLED, "from" => from.join(","));
}

/// A quorum says that this core is the current one, and this keeper is not in it: it never voted in it.
async fn become_candidate(keeper: &std::sync::Arc<crate::keeper::Keeper>, core: &Core) {
    let members = ledger::quorum::old_and_new_members(core);
    let mut votes = keeper.ask(core, Ask::Places, &members);
    let end = tokio::time::Instant::now() + std::time::Duration::from_millis(READ_MS);
    let mut seen = Vec::new();
    while !ledger::quorum::is_quorum(core, &seen) {
        match tokio::time::timeout_at(end, votes.recv()).await {
            Ok(Some((address, Vote::Places { .. }))) => seen.push(address),
            Ok(Some((_, Vote::Newer { core }))) => return keeper.adopt(&core),
            Ok(Some(_)) => {}
            _ => return,
        }
    }
    let mut voter = keeper.voter.lock().expect("voter");
    if voter.core.version != core.version {
        return;
    }
    voter.may_vote = true;
    keeper.disk.write(vec![ledger::voter::LogRecord::Vote]);
    kernel::say!(crate::event::FRESH, "core" => core.version);
}
