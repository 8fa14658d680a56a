//! The owner of the batches: claims their pages under its epoch, sends jobs to routers as a client
//! does, and writes their receipts.

use std::collections::{HashMap, HashSet};
use std::mem;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use batch::page::{Bar, Page, State};
use batch::sheet::Batch;
use batch::turn::{self, Pace, View};
use batch::{KEEP_MS, PAGE};
use kernel::{clock, startup};
use parking_lot::Mutex;
use protocol::socket::IO_TIMEOUT_MS;
use reqwest::Client;

use crate::batches::{job_attempt, records};
use crate::controller::Controller;
use crate::http_client;
use crate::replication::registers::Decision;
use crate::roles::{self, BATCH};

pub const LOOK_MS: u64 = 250;
const CONNECT_MS: u64 = 700;
/// How long one change of a batch, and of one of its pages, may take.
const BATCH_CHANGE_MS: u64 = 2000;
const PAGE_CHANGE_MS: u64 = 3000;
/// The most jobs under way at once.
const PLACES: usize = 64;

/// What this life holds of the batches.
#[derive(Default)]
struct Runner {
    epoch: u64,
    claimed: HashSet<String>,
    /// When the batches were last looked at.
    looked: u64,
}

/// Steady time spent on each batch that is not yet written.
#[derive(Default)]
pub struct Tallies(Mutex<TallyTable>);

#[derive(Default)]
struct TallyTable(HashMap<String, u64>);

impl TallyTable {
    fn add(&mut self, id: &str, spent: u64) -> u64 {
        let held = self.0.entry(id.into()).or_default();
        *held += spent;
        *held
    }

    fn take(&mut self, id: &str) -> u64 {
        self.0.remove(id).unwrap_or(0)
    }
}

pub type Shared = Arc<Mutex<InFlight>>;

/// Jobs under way, by batch and number. Invariant: a job is in `jobs` from before its send to after its
/// receipt.
pub struct InFlight {
    pub jobs: HashSet<(String, usize)>,
    /// Attempts that were lost, by job.
    pub lost: HashMap<(String, usize), u32>,
    pub pace: Pace,
}

/// A batch that has jobs to send.
struct Open {
    id: String,
    batch: Batch,
    waiting: Vec<usize>,
}

pub fn start(controller: &Arc<Controller>) {
    let wait = Duration::from_millis;
    let client = http_client::at_most_once(wait(CONNECT_MS), wait(IO_TIMEOUT_MS));
    let Ok(client) = client.build() else { return };
    let controller = controller.clone();
    tokio::spawn(async move {
        let mut beat = startup::interval(LOOK_MS);
        let pace = Pace::new(PLACES);
        let in_flight: Shared = Arc::new(Mutex::new(InFlight { jobs: HashSet::new(), lost: HashMap::new(), pace }));
        let mut runner = Runner::default();
        loop {
            beat.tick().await;
            look(&controller, &client, &mut runner, &in_flight).await;
        }
    });
}

/// The epoch under which batches may be run now: the last owner has stopped by then.
pub fn acting_epoch(controller: &Controller, now: u64) -> Option<u64> {
    roles::acting_epoch(controller, BATCH, now)
}

async fn look(controller: &Arc<Controller>, client: &Client, runner: &mut Runner, in_flight: &Shared) {
    if controller.leaving.load(Ordering::Relaxed) {
        // The next holder sends the rest; what is under way here is finished.
        return;
    }
    let now = clock::now();
    let ids = controller.committed.read(records::ids);
    let epoch = if ids.is_empty() { None } else { acting_epoch(controller, now) };
    let Some(epoch) = epoch else {
        runner.looked = now;
        return;
    };
    if !roles::declare_clear(controller, BATCH, epoch).await {
        return;
    }
    if epoch != runner.epoch {
        *runner = Runner { epoch, looked: now, ..Runner::default() };
    }
    let spent = now.saturating_sub(mem::replace(&mut runner.looked, now));
    let mut open = Vec::new();
    for id in &ids {
        if !runner.claimed.contains(id) {
            if !claim(controller, id, epoch).await {
                continue;
            }
            runner.claimed.insert(id.clone());
        }
        let Some(batch) = tend(controller, id, spent, epoch).await else { continue };
        let waiting = waiting(controller, id, &batch, in_flight);
        open.push(Open { id: id.clone(), batch, waiting });
    }
    for send in next(&open, in_flight, now) {
        in_flight.lock().jobs.insert((send.id.clone(), send.job));
        controller.shutdown.spawn(job_attempt::run(controller.clone(), client.clone(), in_flight.clone(), send, epoch));
    }
}

/// The jobs of a batch that wait and are not under way.
fn waiting(controller: &Controller, id: &str, batch: &Batch, in_flight: &Shared) -> Vec<usize> {
    controller.committed.read(|state| {
        let in_flight = in_flight.lock();
        let mut list = Vec::new();
        for number in 0..batch.pages() {
            let page = records::page(state, id, batch, number);
            let waits = page.states.iter().enumerate().filter(|(_, state)| **state == State::Waiting);
            list.extend(waits.map(|(slot, _)| number * PAGE + slot));
        }
        list.retain(|at| !in_flight.jobs.contains(&(id.to_string(), *at)));
        list
    })
}

/// What to send now, into the places that are free.
fn next(open: &[Open], in_flight: &Shared, now: u64) -> Vec<turn::Send> {
    let in_flight = in_flight.lock();
    let free = in_flight.pace.free(in_flight.jobs.len(), now);
    let views = open.iter().map(|open| View {
        id: &open.id,
        left_ms: open.batch.left_ms(),
        window_ms: open.batch.window_ms,
        waiting: open.waiting.clone(),
    });
    turn::next(&views.collect::<Vec<_>>(), free)
}

/// Changes one page under this owner's epoch. Some(false): another owner holds it, or the job has its
/// receipt; None: no clear outcome.
pub async fn change(
    controller: &Controller,
    id: &str,
    batch: &Batch,
    number: usize,
    mut act: impl FnMut(&mut Page) -> Result<(), Bar>,
) -> Option<bool> {
    let judge = |body: &[u8]| {
        let mut page = Page::from_bytes(body).unwrap_or_else(|| records::blank(batch, number));
        match act(&mut page) {
            Ok(()) if page.to_bytes() == body => Decision::Answer(true),
            Ok(()) => Decision::Write(page.to_bytes(), true),
            Err(_) => Decision::Answer(false),
        }
    };
    controller.change(&records::page_key(id, number), PAGE_CHANGE_MS, judge).await
}

async fn claim(controller: &Controller, id: &str, epoch: u64) -> bool {
    let Some(batch) = controller.committed.read(|state| records::batch(state, id)) else {
        return false;
    };
    for number in 0..batch.pages() {
        let again = |at: usize| batch.jobs.get(number * PAGE + at).is_some_and(|job| job.repeatable);
        let taken = change(controller, id, &batch, number, |page| match page.epoch == epoch {
            true => Ok(()),
            false => page.claim(epoch, again),
        });
        if taken.await != Some(true) {
            return false;
        }
    }
    true
}

/// Counts the window down, ends what can't make it, forgets what is long finished. Gives the batch if
/// it has jobs to send.
async fn tend(controller: &Controller, id: &str, spent: u64, epoch: u64) -> Option<Batch> {
    let (held, done) = controller.committed.read(|state| {
        let held = records::batch(state, id)?;
        let done = (0..held.pages()).all(|number| records::page(state, id, &held, number).closed());
        Some((held, done))
    })?;
    let held = count_down(controller, id, held, spent, done).await?;
    let ends = held.cancelled || held.left_ms() == 0;
    if ends && !done {
        let state = if held.cancelled { State::Cancelled } else { State::Missed };
        end(controller, id, &held, state, epoch).await;
    }
    (!ends && !done).then_some(held)
}

/// Written in steps, so that the count outlives this owner without a write for each look.
async fn count_down(controller: &Controller, id: &str, held: Batch, spent: u64, done: bool) -> Option<Batch> {
    let step = if done { KEEP_MS / 20 } else { (held.window_ms / 20).clamp(500, 30_000) };
    let tally = controller.tallies.0.lock().add(id, spent);
    let over = held.spent_ms + tally >= held.window_ms;
    if tally < step && !(over && held.spent_ms < held.window_ms) {
        return Some(held);
    }
    let gone = controller.tallies.0.lock().take(id);
    let judge = |body: &[u8]| {
        let Some(mut next) = Batch::from_bytes(body) else { return Decision::Answer(()) };
        match next.tick(held.spent_ms, gone, done) {
            true => Decision::Write(next.to_bytes(), ()),
            false => Decision::Answer(()),
        }
    };
    controller.change(&records::batch_key(id), BATCH_CHANGE_MS, judge).await?;
    controller.committed.read(|state| records::batch(state, id))
}

/// Closes the jobs that still wait.
async fn end(controller: &Controller, id: &str, batch: &Batch, state: State, epoch: u64) {
    for number in 0..batch.pages() {
        let close = |page: &mut Page| {
            if page.epoch != epoch {
                return Err(Bar::Epoch);
            }
            let waits = page.states.iter_mut().filter(|state| **state == State::Waiting);
            waits.for_each(|held| *held = state.clone());
            Ok(())
        };
        let _ = change(controller, id, batch, number, close).await;
    }
}
