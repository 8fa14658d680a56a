//! Members of the core added, exchanged and removed, one change at a time, by the controller that is first in
//! order. What the next core is and when it is settled is decided in `consensus::membership`.
use consensus::membership::Settlement;
use protocol::msg::{Ask, Core, Vote};

/// How often members are looked at. Short: a core that lost one for good bears no second loss until this
/// has run its course.
const BEAT_MS: u64 = 150;
const SPREAD_MS: u64 = 800;
const COMMIT_MS: u64 = 1500;
/// How many keys are committed again at once.
const RENEWALS: usize = 16;

pub fn start(controller: &std::sync::Arc<crate::controller::Controller>) {
    let controller = controller.clone();
    tokio::spawn(async move {
        let mut beat = kernel::entry::beat(BEAT_MS);
        let mut settlement = None;
        loop {
            beat.tick().await;
            if !controller.voter.lock().expect("voter").may_vote {
                crate::recovery::attempt(&controller).await;
                continue;
            }
            tend(&controller, &mut settlement).await;
        }
    });
}

/// The first live member that is not about to end, in the order in which controllers agree for a key or duty.
pub fn first_member(
    core: &Core,
    roster: &membership::Roster,
    self_leaving: bool,
    name: &str,
    now: u64,
) -> Option<String> {
    let leaving = |ip: &str| match ip == roster.me {
        true => self_leaving,
        false => roster.controllers.get(ip).is_some_and(|peer| peer.leaving),
    };
    let stays = |ip: &str| consensus::quorum::is_member(core, ip) && roster.live(ip, now) && !leaving(ip);
    roster.order("", name).into_iter().find(|ip| stays(ip))
}

/// Is this controller the one that changes the core?
fn coordinates(controller: &crate::controller::Controller, core: &Core, now: u64) -> bool {
    let leaving = controller.leaving.load(std::sync::atomic::Ordering::Relaxed);
    let roster = controller.roster.lock().expect("roster");
    first_member(core, &roster, leaving, consensus::CORE, now).as_deref() == Some(controller.me())
}

/// Settles a core that is changing, else begins the next change.
async fn tend(controller: &std::sync::Arc<crate::controller::Controller>, settlement: &mut Option<Settlement>) {
    let now = kernel::clock::now();
    let core = controller.core();
    if core.list.is_empty() || !controller.sure(now) || !coordinates(controller, &core, now) {
        return;
    }
    if !core.settled {
        return settle(controller, &core, settlement).await;
    }
    let next = next(&core, &controller.roster.lock().expect("roster"), now);
    let Some(next) = next else { return };
    let judge = |body: &[u8]| match crate::state::read_core(body) {
        Some(held) if held.version != core.version || !held.settled => consensus::proposal::Verdict::Answer(()),
        _ => consensus::proposal::Verdict::Write(crate::state::write_core(&next), ()),
    };
    if controller.change(consensus::CORE, COMMIT_MS, judge).await.is_some() {
        settle(controller, &controller.core(), settlement).await;
    }
}

/// Live controllers that may be made members and aren't yet.
fn candidates(core: &Core, roster: &membership::Roster, now: u64) -> Vec<protocol::msg::Member> {
    let waits = |ip: &str| !consensus::quorum::is_member(core, ip) && roster.live(ip, now);
    let fit = roster.controllers.iter().filter(|(ip, peer)| peer.fit && !peer.leaving && waits(ip));
    fit.map(|(ip, peer)| protocol::msg::Member { ip: ip.clone(), zone: peer.zone.clone() }).collect()
}

/// The next core as this controller sees the others.
pub fn next(core: &Core, roster: &membership::Roster, now: u64) -> Option<Core> {
    let health = |ip: &str| consensus::membership::Health {
        silent_ms: roster.silent(ip, now),
        live: roster.live(ip, now),
        leaving: roster.controllers.get(ip).is_some_and(|peer| peer.leaving),
    };
    let candidates = candidates(core, roster, now);
    let counts_joint = |peer: &membership::Peer| peer.reads >= protocol::msg::JOINT_QUORUMS;
    let joint = roster.controllers.iter().all(|(ip, peer)| !roster.live(ip, now) || counts_joint(peer));
    consensus::membership::next(core, &consensus::membership::View { health: &health, candidates, joint })
}

/// Goes on with the settlement of a changed core; what was done of it before is not done again.
async fn settle(
    controller: &std::sync::Arc<crate::controller::Controller>,
    core: &Core,
    kept: &mut Option<Settlement>,
) {
    let current = |held: &Settlement| held.core() == core;
    if !kept.as_ref().is_some_and(current) {
        *kept = Some(Settlement::new(core));
    }
    let Some(settlement) = kept.as_mut() else { return };
    if !settlement.is_known() && !spread(controller, core, settlement).await {
        return;
    }
    renew(controller, settlement).await;
    if !settlement.is_done() {
        return;
    }
    let judge = |body: &[u8]| match crate::state::read_core(body) {
        Some(held) if held.version == core.version && !held.settled => {
            let settled = consensus::membership::settled(&held);
            consensus::proposal::Verdict::Write(crate::state::write_core(&settled), ())
        }
        _ => consensus::proposal::Verdict::Answer(()),
    };
    if controller.change(consensus::CORE, COMMIT_MS, judge).await.is_some() {
        *kept = None;
    }
}

/// Tells old and new members of the core and collects the keys they hold. False: not enough answered.
async fn spread(
    controller: &std::sync::Arc<crate::controller::Controller>,
    core: &Core,
    settlement: &mut Settlement,
) -> bool {
    let members = consensus::quorum::old_and_new_members(core);
    let mut votes = controller.ask(core, Ask::Places, &members);
    let end = tokio::time::Instant::now() + std::time::Duration::from_millis(SPREAD_MS);
    while !settlement.is_known() {
        let Ok(Some((from, vote))) = tokio::time::timeout_at(end, votes.recv()).await else { return false };
        match vote {
            Vote::Newer { core } => {
                controller.adopt(&core);
                return false;
            }
            vote => settlement.hear_vote(&from, &vote),
        }
    }
    true
}

/// Commits every key again under the new core, several at once.
async fn renew(controller: &std::sync::Arc<crate::controller::Controller>, settlement: &mut Settlement) {
    let slots = std::sync::Arc::new(tokio::sync::Semaphore::new(RENEWALS));
    let mut tasks = tokio::task::JoinSet::new();
    for key in settlement.left() {
        let (controller, slots) = (controller.clone(), slots.clone());
        tasks.spawn(async move {
            let _slot = slots.acquire().await.ok()?;
            controller.renew(&key, COMMIT_MS).await.map(|()| key)
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
pub async fn leave(controller: &std::sync::Arc<crate::controller::Controller>) {
    controller.leaving.store(true, std::sync::atomic::Ordering::Relaxed);
    crate::gossip::tell(controller);
    let end = kernel::clock::now() + HAND_OVER_MS;
    while kernel::clock::now() < end && may_be_released(controller) {
        tokio::time::sleep(std::time::Duration::from_millis(LOOK_MS)).await;
    }
}

fn may_be_released(controller: &crate::controller::Controller) -> bool {
    let now = kernel::clock::now();
    let core = controller.core();
    if !consensus::quorum::is_member(&core, controller.me()) {
        return !core.settled;
    }
    let roster = controller.roster.lock().expect("roster");
    !candidates(&core, &roster, now).is_empty() || core.list.len().is_multiple_of(2)
}

#[cfg(test)]
#[path = "reconfiguration_tests.rs"]
mod tests;
