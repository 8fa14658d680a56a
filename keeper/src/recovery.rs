//! A voter on an empty disk: either it was never a member, or it must first read so many others that no
//! vote it gave and lost goes unseen.
use wire::msg::{Ask, Core, Vote};

const READ_MS: u64 = 800;

/// One attempt. It may be repeated until the voter is able to vote.
pub async fn attempt(hall: &std::sync::Arc<crate::hall::Hall>) {
    let core = hall.core();
    if kernel::clock::now() < ledger::AMNESIA_MS || core.list.is_empty() {
        return;
    }
    if ledger::quorum::is_member(&core, hall.me()) {
        recall(hall, &core).await;
    } else {
        become_candidate(hall, &core).await;
    }
}

/// Reads what the other voters hold until every quorum of the core has a voter that was read.
async fn recall(hall: &std::sync::Arc<crate::hall::Hall>, core: &Core) {
    let others = hall.voter.lock().expect("voter").witnesses();
    let mut votes = hall.ask(core, Ask::Whole, &others);
    let end = tokio::time::Instant::now() + std::time::Duration::from_millis(READ_MS);
    let (mut reads, mut from) = (Vec::new(), Vec::new());
    while !hall.voter.lock().expect("voter").enough(&from) {
        match tokio::time::timeout_at(end, votes.recv()).await {
            Ok(Some((address, Vote::Whole { slots }))) => {
                reads.push(slots);
                from.push(address);
            }
            Ok(Some((_, Vote::Newer { core }))) => return hall.adopt(&core),
            Ok(Some(_)) => {}
            _ => return,
        }
    }
    {
        let mut voter = hall.voter.lock().expect("voter");
        if voter.core.stamp != core.stamp {
            // What was read answers for the quorums of another core.
            return;
        }
        let records = voter.recall(reads);
        hall.disk.write(records);
    }
    kernel::say!(crate::event::RECALLED, "from" => from.join(","));
}

/// A quorum says that this core is the current one, and this keeper is not in it: it never voted in it.
async fn become_candidate(hall: &std::sync::Arc<crate::hall::Hall>, core: &Core) {
    let members = ledger::quorum::old_and_new_members(core);
    let mut votes = hall.ask(core, Ask::Places, &members);
    let end = tokio::time::Instant::now() + std::time::Duration::from_millis(READ_MS);
    let mut seen = Vec::new();
    while !ledger::quorum::is_quorum(core, &seen) {
        match tokio::time::timeout_at(end, votes.recv()).await {
            Ok(Some((address, Vote::Places { .. }))) => seen.push(address),
            Ok(Some((_, Vote::Newer { core }))) => return hall.adopt(&core),
            Ok(Some(_)) => {}
            _ => return,
        }
    }
    let mut voter = hall.voter.lock().expect("voter");
    if voter.core.stamp != core.stamp {
        return;
    }
    voter.able = true;
    hall.disk.write(vec![ledger::voter::Deed::Vote]);
    kernel::say!(crate::event::FRESH, "core" => core.stamp);
}
