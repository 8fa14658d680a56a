//! Duties that one keeper does: each under an epoch of the ledger, which no other may share.

pub const CATALOG: &str = "duty/catalog";
pub const BALANCE: &str = "duty/balance";
pub const BATCH: &str = "duty/batch";

/// What this life of this keeper took. Invariant: a duty is done only while the board names this
/// keeper under the same epoch and the board is sure.
#[derive(Default)]
pub struct Taken {
    /// By duty: epoch and when it was taken.
    held: std::collections::BTreeMap<String, (u64, u64)>,
    /// Duties whose last holder was an earlier life of this keeper: that one has ended for sure.
    own: std::collections::BTreeSet<String>,
}

pub fn start(hall: &std::sync::Arc<crate::hall::Hall>) {
    for key in [CATALOG, BALANCE, BATCH] {
        let hall = hall.clone();
        tokio::spawn(async move {
            let mut beat = tokio::time::interval(std::time::Duration::from_millis(400));
            beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                beat.tick().await;
                tend(&hall, key).await;
                if key == CATALOG {
                    shelve(&hall);
                }
            }
        });
    }
}

/// The epoch under which a duty is held here, and since when.
pub fn held(hall: &crate::hall::Hall, key: &str, now: u64) -> Option<(u64, u64)> {
    let board = hall.board.lock().expect("board");
    let (epoch, holder) = board.duties.get(key)?;
    let sure = board.sure.is_some_and(|time| now < time + crate::hall::SURE_MS);
    let taken = hall.taken.lock().expect("taken").held.get(key).copied()?;
    (sure && holder == hall.me() && taken.0 == *epoch).then_some(taken)
}

/// Was the last holder an earlier life of this keeper, or nobody?
pub fn retaken(hall: &crate::hall::Hall, key: &str) -> bool {
    hall.taken.lock().expect("taken").own.contains(key)
}

/// The catalog answers only under the epoch held.
fn shelve(hall: &crate::hall::Hall) {
    let epoch = held(hall, CATALOG, kernel::clock::now()).map_or(0, |taken| taken.0);
    let mut desk = hall.shelf.lock().expect("shelf");
    if desk.epoch != epoch && epoch > desk.last {
        desk.shelf.clear();
        desk.last = epoch;
    }
    desk.epoch = epoch;
}

async fn tend(hall: &std::sync::Arc<crate::hall::Hall>, key: &str) {
    let now = kernel::clock::now();
    if !hall.sure(now) || now < 1200 || held(hall, key, now).is_some() {
        return;
    }
    // Taken only once there is something to do.
    if key == BATCH && crate::batches::ids(&hall.board.lock().expect("board")).is_empty() {
        return;
    }
    let (epoch, holder) = hall.board.lock().expect("board").duties.get(key).cloned().unwrap_or_default();
    let take = {
        let roster = hall.roster.lock().expect("roster");
        // The last holder is left its lease before another steps in; one that started again takes a
        // new epoch at once.
        let gone = holder.is_empty() || roster.silent(&holder, now) > hall.env.bounds.lease_ms;
        holder == hall.me() || (gone && roster.holder("", key, now) == hall.me())
    };
    if !take {
        return;
    }
    let me = hall.me().to_string();
    let judge = |body: &[u8]| {
        let held = crate::state::Duty::read(body);
        if held.epoch != epoch {
            return crate::council::Verdict::Answer(0);
        }
        let next = crate::state::Duty { epoch: epoch + 1, holder: me.clone() };
        crate::council::Verdict::Write(next.write(), epoch + 1)
    };
    let Some(epoch @ 1..) = hall.change(key, 1000, judge).await else { return };
    {
        let mut taken = hall.taken.lock().expect("taken");
        let first = taken.held.insert(key.into(), (epoch, kernel::clock::now())).is_none();
        // Only an earlier life: one that lost the duty meanwhile to another must wait like anyone.
        if first && (holder == hall.me() || holder.is_empty()) {
            taken.own.insert(key.into());
        } else {
            taken.own.remove(key);
        }
    }
    kernel::say!(crate::event::DUTY, "duty" => key, "epoch" => epoch);
}
