//! The owner of the batches: claims their pages under its epoch, sends jobs to routers as a client
//! does, and writes the receipts.

/// Header by which a router knows deferrable work; it never reaches an engine.
pub const MARK: &str = "deferrable";
pub const LOOK_MS: u64 = 250;
const CONNECT_MS: u64 = 700;

/// What this life holds of the batches. Invariant: a job is in `under_way` from before its send to
/// after its receipt.
#[derive(Default)]
pub struct Runner {
    epoch: u64,
    claimed: std::collections::HashSet<String>,
    looked: u64,
}

/// Steady time spent on each batch that is not yet written.
#[derive(Default)]
pub struct Tallies(std::collections::HashMap<String, u64>);

impl Tallies {
    fn add(&mut self, id: &str, spent: u64) -> u64 {
        let held = self.0.entry(id.into()).or_default();
        *held += spent;
        *held
    }

    fn take(&mut self, id: &str) -> u64 {
        self.0.remove(id).unwrap_or(0)
    }
}

pub type Flight = std::sync::Arc<std::sync::Mutex<Air>>;

pub struct Air {
    pub under_way: std::collections::HashSet<(String, usize)>,
    pub tries: std::collections::HashMap<(String, usize), u32>,
    pub pace: batch::turn::Pace,
}

pub fn start(hall: &std::sync::Arc<crate::hall::Hall>) {
    let wait = std::time::Duration::from_millis;
    let client = crate::outbound::at_most_once(wait(CONNECT_MS), wait(wire::sock::SILENCE_MS));
    let Ok(client) = client.build() else { return };
    let hall = hall.clone();
    tokio::spawn(async move {
        let mut beat = kernel::entry::beat(LOOK_MS);
        let air = Air { under_way: Default::default(), tries: Default::default(), pace: batch::turn::Pace::new(64) };
        let air: Flight = std::sync::Arc::new(std::sync::Mutex::new(air));
        let mut runner = Runner::default();
        loop {
            beat.tick().await;
            look(&hall, &client, &mut runner, &air).await;
        }
    });
}

/// The epoch under which batches may be run now: the last owner has stopped by then.
pub fn acting_epoch(hall: &crate::hall::Hall, now: u64) -> Option<u64> {
    crate::duty::acting_epoch(hall, crate::duty::BATCH, now)
}

async fn look(hall: &std::sync::Arc<crate::hall::Hall>, client: &reqwest::Client, runner: &mut Runner, air: &Flight) {
    let now = kernel::clock::now();
    let ids = crate::batches::ids(&hall.board.lock().expect("board"));
    if ids.is_empty() {
        runner.looked = now;
        return;
    }
    let Some(epoch) = acting_epoch(hall, now) else {
        runner.looked = now;
        return;
    };
    if !crate::duty::declare_clear(hall, crate::duty::BATCH, epoch).await {
        return;
    }
    if epoch != runner.epoch {
        *runner = Runner { epoch, looked: now, ..Runner::default() };
    }
    let spent = now.saturating_sub(std::mem::replace(&mut runner.looked, now));
    let mut views = Vec::new();
    for id in &ids {
        if !runner.claimed.contains(id) {
            if !claim(hall, id, epoch).await {
                continue;
            }
            runner.claimed.insert(id.clone());
        }
        let Some(batch) = tend(hall, id, spent, epoch).await else { continue };
        let board = hall.board.lock().expect("board");
        let flight = air.lock().expect("air");
        let mut waiting = Vec::new();
        for number in 0..batch.pages() {
            let page = crate::batches::page(&board, id, &batch, number);
            let waits = page.states.iter().enumerate().filter(|(_, state)| **state == batch::page::State::Waiting);
            waiting.extend(waits.map(|(slot, _)| number * batch::PAGE + slot));
        }
        waiting.retain(|at| !flight.under_way.contains(&(id.clone(), *at)));
        views.push((id.clone(), batch.left_ms(), batch.window_ms, waiting));
    }
    let sends = {
        let flight = air.lock().expect("air");
        let free = flight.pace.free(flight.under_way.len(), now);
        let list: Vec<batch::turn::View> = views
            .iter()
            .map(|(id, left, window, waiting)| batch::turn::View {
                id,
                left_ms: *left,
                window_ms: *window,
                waiting: waiting.clone(),
            })
            .collect();
        batch::turn::next(&list, free)
    };
    for send in sends {
        air.lock().expect("air").under_way.insert((send.id.clone(), send.job));
        tokio::spawn(crate::flight::job(hall.clone(), client.clone(), air.clone(), send, epoch));
    }
}

/// Changes one page under this owner's epoch. Some(false): another owner holds it, or the job has its
/// receipt; None: no clear outcome.
pub async fn change(
    hall: &crate::hall::Hall,
    id: &str,
    batch: &batch::sheet::Batch,
    number: usize,
    mut act: impl FnMut(&mut batch::page::Page) -> Result<(), batch::page::Bar>,
) -> Option<bool> {
    let judge = |body: &[u8]| {
        let mut page = batch::page::Page::read_bytes(body).unwrap_or_else(|| crate::batches::blank(batch, number));
        match act(&mut page) {
            Ok(()) if page.write_bytes() == body => crate::council::Verdict::Answer(true),
            Ok(()) => crate::council::Verdict::Write(page.write_bytes(), true),
            Err(_) => crate::council::Verdict::Answer(false),
        }
    };
    hall.change(&crate::batches::page_key(id, number), 3000, judge).await
}

async fn claim(hall: &crate::hall::Hall, id: &str, epoch: u64) -> bool {
    let Some(batch) = crate::batches::batch(&hall.board.lock().expect("board"), id) else { return false };
    for number in 0..batch.pages() {
        let again = |at: usize| batch.jobs.get(number * batch::PAGE + at).is_some_and(|job| job.repeatable);
        let taken = change(hall, id, &batch, number, |page| match page.epoch == epoch {
            true => Ok(()),
            false => page.claim(epoch, again),
        });
        if taken.await != Some(true) {
            return false;
        }
    }
    true
}

/// Counts the window down, ends what can't make it, forgets what is long finished.
async fn tend(hall: &crate::hall::Hall, id: &str, spent: u64, epoch: u64) -> Option<batch::sheet::Batch> {
    let (mut held, done) = {
        let board = hall.board.lock().expect("board");
        let held = crate::batches::batch(&board, id)?;
        let done = (0..held.pages()).all(|number| crate::batches::page(&board, id, &held, number).closed());
        (held, done)
    };
    let old = held.spent_ms;
    // Written in steps, so that the count outlives this owner without a write for each look.
    let step = if done { batch::KEEP_MS / 20 } else { (held.window_ms / 20).clamp(500, 30_000) };
    let tally = hall.tallies.lock().expect("tallies").add(id, spent);
    let over = old + tally >= held.window_ms;
    if tally >= step || (over && old < held.window_ms) {
        let gone = hall.tallies.lock().expect("tallies").take(id);
        let judge = |body: &[u8]| {
            let Some(mut next) = batch::sheet::Batch::read_bytes(body) else {
                return crate::council::Verdict::Answer(());
            };
            next.tick(gone, done);
            crate::council::Verdict::Write(next.write_bytes(), ())
        };
        hall.change(&crate::batches::batch_key(id), 2000, judge).await?;
        held = crate::batches::batch(&hall.board.lock().expect("board"), id)?;
    }
    let ends = held.cancelled || held.left_ms() == 0;
    if ends && !done {
        let word = if held.cancelled { batch::page::State::Cancelled } else { batch::page::State::Missed };
        for number in 0..held.pages() {
            let _ = change(hall, id, &held, number, |page| {
                if page.epoch != epoch {
                    return Err(batch::page::Bar::Epoch);
                }
                for state in &mut page.states {
                    if *state == batch::page::State::Waiting {
                        *state = word.clone();
                    }
                }
                Ok(())
            })
            .await;
        }
        return None;
    }
    (!ends && !done).then_some(held)
}
