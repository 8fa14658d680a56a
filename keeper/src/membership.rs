//! Members of the core added, exchanged and removed, one change at a time, by the keeper that is first in
//! order. What the next core is and when it is settled is decided in `ledger::membership`.
use ledger::membership::Settlement;
use wire::msg::{Ask, Core, Vote};

/// How often members are looked at. Short: a core that lost one for good bears no second loss until this
/// has run its course.
const BEAT_MS: u64 = 150;
const SPREAD_MS: u64 = 800;
const COMMIT_MS: u64 = 1500;
/// How many keys are committed again at once.
const RENEWALS: usize = 16;

pub fn start(keeper: &std::sync::Arc<crate::keeper::Keeper>) {
    let keeper = keeper.clone();
    tokio::spawn(async move {
        let mut beat = kernel::entry::beat(BEAT_MS);
        let mut settlement = None;
        loop {
            beat.tick().await;
            if !keeper.voter.lock().expect("voter").may_vote {
                crate::recovery::attempt(&keeper).await;
                continue;
            }
            tend(&keeper, &mut settlement).await;
        }
    });
}

/// The first live member that is not about to end, in the order in which keepers agree for a key or duty.
pub fn first_member(core: &Core, roster: &roster::Roster, self_leaving: bool, name: &str, now: u64) -> Option<String> {
    let leaving = |ip: &str| match ip == roster.me {
        true => self_leaving,
        false => roster.keepers.get(ip).is_some_and(|peer| peer.leaving),
    };
    let stays = |ip: &str| ledger::quorum::is_member(core, ip) && roster.live(ip, now) && !leaving(ip);
    roster.order("", name).into_iter().find(|ip| stays(ip))
}

/// Is this keeper the one that changes the core?
fn coordinates(keeper: &crate::keeper::Keeper, core: &Core, now: u64) -> bool {
    let leaving = keeper.leaving.load(std::sync::atomic::Ordering::Relaxed);
    let roster = keeper.roster.lock().expect("roster");
    first_member(core, &roster, leaving, ledger::CORE, now).as_deref() == Some(keeper.me())
}

/// Settles a core that is changing, else begins the next change.
async fn tend(keeper: &std::sync::Arc<crate::keeper::Keeper>, settlement: &mut Option<Settlement>) {
    let now = kernel::clock::now();
    let core = keeper.core();
    if core.list.is_empty() || !keeper.sure(now) || !coordinates(keeper, &core, now) {
        return;
    }
    if !core.settled {
        return settle(keeper, &core, settlement).await;
    }
    let next = next(&core, &keeper.roster.lock().expect("roster"), now);
    let Some(next) = next else { return };
    let judge = |body: &[u8]| match crate::state::read_core(body) {
        Some(held) if held.version != core.version || !held.settled => ledger::proposal::Verdict::Answer(()),
        _ => ledger::proposal::Verdict::Write(crate::state::write_core(&next), ()),
    };
    if keeper.change(ledger::CORE, COMMIT_MS, judge).await.is_some() {
        settle(keeper, &keeper.core(), settlement).await;
    }
}

/// Live keepers that may be made members and aren't yet.
fn candidates(core: &Core, roster: &roster::Roster, now: u64) -> Vec<wire::msg::Member> {
    let waits = |ip: &str| !ledger::quorum::is_member(core, ip) && roster.live(ip, now);
    let fit = roster.keepers.iter().filter(|(ip, peer)| peer.fit && !peer.leaving && waits(ip));
    fit.map(|(ip, peer)| wire::msg::Member { ip: ip.clone(), zone: peer.zone.clone() }).collect()
}

/// The next core as this keeper sees the others.
pub fn next(core: &Core, roster: &roster::Roster, now: u64) -> Option<Core> {
    let health = |ip: &str| ledger::membership::Health {
        silent_ms: roster.silent(ip, now),
        live: roster.live(ip, now),
        leaving: roster.keepers.get(ip).is_some_and(|peer| peer.leaving),
    };
    let candidates = candidates(core, roster, now);
    let counts_joint = |peer: &roster::Peer| peer.reads >= wire::msg::JOINT_QUORUMS;
    let joint = roster.keepers.iter().all(|(ip, peer)| !roster.live(ip, now) || counts_joint(peer));
    ledger::membership::next(core, &ledger::membership::View { health: &health, candidates, joint })
}

/// Goes on with the settlement of a changed core; what was done of it before is not done again.
async fn settle(keeper: &std::sync::Arc<crate::keeper::Keeper>, core: &Core, kept: &mut Option<Settlement>) {
    let current = |held: &Settlement| held.core() == core;
    if !kept.as_ref().is_some_and(current) {
        *kept = Some(Settlement::new(core));
    }
    let Some(settlement) = kept.as_mut() else { return };
    if !settlement.is_known() && !spread(keeper, core, settlement).await {
        return;
    }
    renew(keeper, settlement).await;
    if !settlement.is_done() {
        return;
    }
    let judge = |body: &[u8]| match crate::state::read_core(body) {
        Some(held) if held.version == core.version && !held.settled => {
            let settled = ledger::membership::settled(&held);
            ledger::proposal::Verdict::Write(crate::state::write_core(&settled), ())
        }
        _ => ledger::proposal::Verdict::Answer(()),
    };
    if keeper.change(ledger::CORE, COMMIT_MS, judge).await.is_some() {
        *kept = None;
    }
}

/// Tells old and new members of the core and collects the keys they hold. False: not enough answered.
async fn spread(keeper: &std::sync::Arc<crate::keeper::Keeper>, core: &Core, settlement: &mut Settlement) -> bool {
    let members = ledger::quorum::old_and_new_members(core);
    let mut votes = keeper.ask(core, Ask::Places, &members);
    let end = tokio::time::Instant::now() + std::time::Duration::from_millis(SPREAD_MS);
    while !settlement.is_known() {
        let Ok(Some((from, vote))) = tokio::time::timeout_at(end, votes.recv()).await else { return false };
        match vote {
            Vote::Newer { core } => {
                keeper.adopt(&core);
                return false;
            }
            vote => settlement.hear_vote(&from, &vote),
        }
    }
    true
}

/// Commits every key again under the new core, several at once.
async fn renew(keeper: &std::sync::Arc<crate::keeper::Keeper>, settlement: &mut Settlement) {
    let slots = std::sync::Arc::new(tokio::sync::Semaphore::new(RENEWALS));
    let mut tasks = tokio::task::JoinSet::new();
    for key in settlement.left() {
        let (keeper, slots) = (keeper.clone(), slots.clone());
        tasks.spawn(async move {
            let _slot = slots.acquire().await.ok()?;
            keeper.renew(&key, COMMIT_MS).await.map(|()| key)
        });
    }
    while let Some(done) = tasks.join_next().await {
        if let Ok(Some(key)) = done {
            settlement.renewed(&key);
        }
    }
}

/// Longest time a leaving member waits to be exchanged or removed.
const HAND_OVER_MS: u64 = 3500;
const LOOK_MS: u64 = 50;

/// A member that is about to end tells so, and stays until the core does without it where that is possible:
/// where another stands ready or there is one member too many. Otherwise it does not wait.
pub async fn leave(keeper: &std::sync::Arc<crate::keeper::Keeper>) {
    keeper.leaving.store(true, std::sync::atomic::Ordering::Relaxed);
    crate::gossip::tell(keeper);
    let end = kernel::clock::now() + HAND_OVER_MS;
    while kernel::clock::now() < end && may_be_released(keeper) {
        tokio::time::sleep(std::time::Duration::from_millis(LOOK_MS)).await;
    }
}

fn may_be_released(keeper: &crate::keeper::Keeper) -> bool {
    let now = kernel::clock::now();
    let core = keeper.core();
    if !ledger::quorum::is_member(&core, keeper.me()) {
        return !core.settled;
    }
    let roster = keeper.roster.lock().expect("roster");
    !candidates(&core, &roster, now).is_empty() || core.list.len().is_multiple_of(2)
}

#[cfg(test)]
#[path = "membership_tests.rs"]
mod tests;
