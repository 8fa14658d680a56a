//! The batch owner: it claims the pages of batches under its epoch, sends their jobs to routers like any client, and
//! writes the outcomes.
//!
//! A page is changed only under the epoch that claimed it, so that a superseded owner cannot overwrite an outcome of
//! its successor.

use std::collections::{HashMap, HashSet};
use std::mem;
use std::sync::Arc;
use std::time::Duration;

use batch::{
    next_dispatches, Batch, BatchView, ConcurrencyLimit, Dispatch, JobPage, JobState, PageError, JOBS_PER_PAGE,
    RETENTION_MS,
};
use kernel::{clock, startup};
use parking_lot::Mutex;
use protocol::socket::IO_TIMEOUT_MS;
use reqwest::Client;

use crate::batches::job_attempt::JobAttempt;
use crate::batches::records;
use crate::controller::Controller;
use crate::http_client;
use crate::replication::registers::Decision;
use crate::roles::{self, BATCH};

/// Interval at which the owner polls the batches, in ms.
pub const POLL_INTERVAL_MS: u64 = 250;
/// Connect timeout for routers, in ms.
const CONNECT_TIMEOUT_MS: u64 = 700;
/// Timeout of one change to a batch, in ms.
const BATCH_CHANGE_TIMEOUT_MS: u64 = 2000;
/// Timeout of one change to a page, in ms.
const PAGE_CHANGE_TIMEOUT_MS: u64 = 3000;
/// The maximum number of jobs in flight.
const MAX_IN_FLIGHT: usize = 64;
/// How many times the elapsed time is written during the window of a batch, or during the retention of a finished
/// batch.
const ELAPSED_WRITES: u64 = 20;
/// Lower bound of the interval at which the elapsed time of an open batch is written, in ms.
const MIN_ELAPSED_WRITE_MS: u64 = 500;
/// Upper bound of the interval at which the elapsed time of an open batch is written, in ms.
const MAX_ELAPSED_WRITE_MS: u64 = 30_000;

/// The state of this controller as the batch owner.
#[derive(Default)]
struct OwnerState {
    epoch: u64,
    /// Ids of the batches whose pages are claimed under `epoch`.
    claimed: HashSet<String>,
    /// The time of the last poll, in ms.
    polled_at: u64,
}

/// Elapsed time of each batch that is not yet written, in ms of the steady clock, by batch id.
#[derive(Default)]
pub struct ElapsedTimes(Mutex<HashMap<String, u64>>);

impl ElapsedTimes {
    fn add(&self, id: &str, elapsed_ms: u64) -> u64 {
        let mut times = self.0.lock();
        let sum = times.entry(id.into()).or_default();
        *sum += elapsed_ms;
        *sum
    }

    fn take(&self, id: &str) -> u64 {
        self.0.lock().remove(id).unwrap_or(0)
    }
}

/// Identifies a job by its batch and its number there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct JobId {
    /// The id of the batch.
    pub batch_id: String,
    /// The number of the job in the batch, from 0.
    pub job: usize,
}

impl JobId {
    /// Returns the id of the job of a dispatch.
    pub fn of(dispatch: &Dispatch) -> JobId {
        JobId { batch_id: dispatch.batch_id.clone(), job: dispatch.job }
    }
}

/// The jobs in flight, shared between the runner and all attempts.
pub type SharedInFlight = Arc<Mutex<InFlight>>;

/// The jobs in flight. Invariant: a job is in `jobs` from before it is sent until after its outcome is written.
pub struct InFlight {
    /// The ids of the jobs.
    pub jobs: HashSet<JobId>,
    /// The number of attempts with an unknown outcome, by job.
    pub unknown_outcomes: HashMap<JobId, u32>,
    /// The limit on the number of jobs in flight.
    pub limit: ConcurrencyLimit,
}

/// A batch that is neither over nor finished.
struct OpenBatch {
    id: String,
    batch: Batch,
    waiting: Vec<usize>,
}

/// The result of a page change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageChange {
    /// The page has the requested content.
    Committed,
    /// Another owner has claimed the page, or the job already has its outcome.
    Rejected,
    /// The change may or may not have been committed.
    OutcomeUnknown,
}

/// Starts the task that runs batches while this controller owns them.
pub fn start(controller: &Arc<Controller>) {
    let (connect_timeout, unacknowledged_timeout) =
        (Duration::from_millis(CONNECT_TIMEOUT_MS), Duration::from_millis(IO_TIMEOUT_MS));
    let Ok(client) =
        http_client::at_most_once(controller.settings.source_ip(), connect_timeout, unacknowledged_timeout).build()
    else {
        return;
    };
    let limit = ConcurrencyLimit::new(MAX_IN_FLIGHT);
    let in_flight = InFlight { jobs: HashSet::new(), unknown_outcomes: HashMap::new(), limit };
    let mut runner = Runner {
        controller: controller.clone(),
        client,
        in_flight: Arc::new(Mutex::new(in_flight)),
        owner: OwnerState::default(),
    };
    tokio::spawn(async move {
        let mut interval = startup::interval(POLL_INTERVAL_MS);
        loop {
            interval.tick().await;
            runner.poll().await;
        }
    });
}

/// Returns the epoch under which this controller may run batches now. The previous owner has stopped by then.
pub fn acting_epoch(controller: &Controller, now: u64) -> Option<u64> {
    roles::acting_epoch(controller, BATCH, now)
}

struct Runner {
    controller: Arc<Controller>,
    client: Client,
    in_flight: SharedInFlight,
    owner: OwnerState,
}

impl Runner {
    async fn poll(&mut self) {
        if self.controller.is_shutting_down() {
            // The jobs in flight here are finished; the next owner sends the others.
            return;
        }
        let now = clock::now();
        let ids = self.controller.committed.read(records::ids);
        let epoch = if ids.is_empty() { None } else { acting_epoch(&self.controller, now) };
        let Some(epoch) = epoch else {
            self.owner.polled_at = now;
            return;
        };
        if !roles::declare_predecessor_expired(&self.controller, BATCH, epoch).await {
            return;
        }
        if epoch != self.owner.epoch {
            self.owner = OwnerState { epoch, polled_at: now, ..OwnerState::default() };
        }
        let elapsed_ms = now.saturating_sub(mem::replace(&mut self.owner.polled_at, now));
        let open = self.open_batches(&ids, elapsed_ms).await;
        for dispatch in self.select_dispatches(&open, now) {
            self.dispatch(dispatch);
        }
    }

    /// Claims batches that are new to this owner, and returns the open ones.
    async fn open_batches(&mut self, ids: &[String], elapsed_ms: u64) -> Vec<OpenBatch> {
        let (controller, epoch) = (&self.controller, self.owner.epoch);
        let mut open = Vec::new();
        for id in ids {
            if !self.owner.claimed.contains(id) {
                if !claim(controller, id, epoch).await {
                    continue;
                }
                self.owner.claimed.insert(id.clone());
            }
            let Some(batch) = maintain(controller, id, elapsed_ms, epoch).await else { continue };
            let waiting = self.waiting(id, &batch);
            open.push(OpenBatch { id: id.clone(), batch, waiting });
        }
        open
    }

    /// Returns the waiting jobs of a batch that are not in flight.
    fn waiting(&self, id: &str, batch: &Batch) -> Vec<usize> {
        self.controller.committed.read(|state| {
            let in_flight = self.in_flight.lock();
            let mut waiting = Vec::new();
            for (number, page) in records::pages(state, id, batch).enumerate() {
                let slots = page.states.iter().enumerate().filter(|(_, state)| **state == JobState::Waiting);
                waiting.extend(slots.map(|(slot, _)| number * JOBS_PER_PAGE + slot));
            }
            waiting.retain(|job| !in_flight.jobs.contains(&JobId { batch_id: id.into(), job: *job }));
            waiting
        })
    }

    /// Returns the jobs to send now, within the concurrency limit.
    fn select_dispatches(&self, open: &[OpenBatch], now: u64) -> Vec<Dispatch> {
        let in_flight = self.in_flight.lock();
        let free = in_flight.limit.available(in_flight.jobs.len(), now);
        let views = open.iter().map(|open| BatchView {
            batch_id: &open.id,
            remaining_ms: open.batch.remaining_ms(),
            window_ms: open.batch.window_ms,
            waiting: open.waiting.clone(),
        });
        next_dispatches(&views.collect::<Vec<_>>(), free)
    }

    fn dispatch(&self, dispatch: Dispatch) {
        self.in_flight.lock().jobs.insert(JobId::of(&dispatch));
        let attempt = JobAttempt {
            controller: self.controller.clone(),
            client: self.client.clone(),
            in_flight: self.in_flight.clone(),
            dispatch,
            epoch: self.owner.epoch,
        };
        self.controller.shutdown.spawn(attempt.run());
    }
}

/// Changes one page of a batch. `change` fails if another owner has claimed the page or the job already has its
/// outcome.
pub async fn change_page(
    controller: &Controller,
    id: &str,
    batch: &Batch,
    number: usize,
    mut change: impl FnMut(&mut JobPage) -> Result<(), PageError>,
) -> PageChange {
    let decide = |body: &[u8]| {
        let mut page = JobPage::from_bytes(body).unwrap_or_else(|| records::blank_page(batch, number));
        match change(&mut page) {
            Ok(()) if page.to_bytes() == body => Decision::Answer(PageChange::Committed),
            Ok(()) => Decision::Write(page.to_bytes(), PageChange::Committed),
            Err(_) => Decision::Answer(PageChange::Rejected),
        }
    };
    let result = controller.change(&records::page_key(id, number), PAGE_CHANGE_TIMEOUT_MS, decide).await;
    result.unwrap_or(PageChange::OutcomeUnknown)
}

/// Claims all pages of a batch. Returns whether that succeeded.
async fn claim(controller: &Controller, id: &str, epoch: u64) -> bool {
    let Some(batch) = controller.committed.read(|state| records::batch(state, id)) else {
        return false;
    };
    for number in 0..batch.page_count() {
        let is_repeatable =
            |slot: usize| batch.jobs.get(number * JOBS_PER_PAGE + slot).is_some_and(|job| job.repeatable);
        let claimed = change_page(controller, id, &batch, number, |page| match page.epoch == epoch {
            true => Ok(()),
            false => page.claim(epoch, is_repeatable),
        });
        if claimed.await != PageChange::Committed {
            return false;
        }
    }
    true
}

/// Advances the elapsed time of a batch, ends the waiting jobs of a batch that is over, and expires a finished batch
/// after its retention. Returns the batch if it is still open.
async fn maintain(controller: &Controller, id: &str, elapsed_ms: u64, epoch: u64) -> Option<Batch> {
    let (batch, is_finished) = controller.committed.read(|state| {
        let batch = records::batch(state, id)?;
        let is_finished = records::pages(state, id, &batch).all(|page| page.is_final());
        Some((batch, is_finished))
    })?;
    let batch = add_elapsed_time(controller, id, batch, elapsed_ms, is_finished).await?;
    let is_over = batch.cancelled || batch.remaining_ms() == 0;
    if is_over && !is_finished {
        let state = if batch.cancelled { JobState::Cancelled } else { JobState::DeadlineMissed };
        finalize_waiting_jobs(controller, id, &batch, state, epoch).await;
    }
    (!is_over && !is_finished).then_some(batch)
}

/// Adds elapsed time to a batch. The time is written in steps, so that it survives a change of owner without a write
/// per poll.
async fn add_elapsed_time(
    controller: &Controller,
    id: &str,
    batch: Batch,
    elapsed_ms: u64,
    is_finished: bool,
) -> Option<Batch> {
    let unwritten_ms = controller.elapsed_times.add(id, elapsed_ms);
    let ends_now = batch.elapsed_ms < batch.window_ms && batch.elapsed_ms + unwritten_ms >= batch.window_ms;
    if unwritten_ms < write_interval_ms(&batch, is_finished) && !ends_now {
        return Some(batch);
    }
    let additional_ms = controller.elapsed_times.take(id);
    let decide = |body: &[u8]| {
        let Some(mut next) = Batch::from_bytes(body) else { return Decision::Answer(()) };
        match next.add_elapsed(batch.elapsed_ms, additional_ms, is_finished) {
            true => Decision::Write(next.to_bytes(), ()),
            false => Decision::Answer(()),
        }
    };
    controller.change(&records::batch_key(id), BATCH_CHANGE_TIMEOUT_MS, decide).await?;
    controller.committed.read(|state| records::batch(state, id))
}

fn write_interval_ms(batch: &Batch, is_finished: bool) -> u64 {
    match is_finished {
        true => RETENTION_MS / ELAPSED_WRITES,
        false => (batch.window_ms / ELAPSED_WRITES).clamp(MIN_ELAPSED_WRITE_MS, MAX_ELAPSED_WRITE_MS),
    }
}

/// Sets the final state of all jobs that are still waiting.
async fn finalize_waiting_jobs(controller: &Controller, id: &str, batch: &Batch, final_state: JobState, epoch: u64) {
    for number in 0..batch.page_count() {
        let end = |page: &mut JobPage| {
            if page.epoch != epoch {
                return Err(PageError::StaleEpoch { given: epoch, current: page.epoch });
            }
            let waiting = page.states.iter_mut().filter(|state| **state == JobState::Waiting);
            waiting.for_each(|state| *state = final_state.clone());
            Ok(())
        };
        // A failed change is retried at the next poll.
        let _ = change_page(controller, id, batch, number, end).await;
    }
}
