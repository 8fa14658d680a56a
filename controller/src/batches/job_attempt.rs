//! One attempt of a job: its start is committed by a majority, it is sent once, and its outcome is committed.

use std::sync::Arc;
use std::time::Duration;

use batch::{state_after, AttemptOutcome, Batch, Dispatch, Job, JobPage, JobState, PageError, JOBS_PER_PAGE};
use kernel::clock;
use reqwest::Client;
use tokio::time;

use crate::batches::runner::{self, InFlight, JobId, PageChange, SharedInFlight, POLL_INTERVAL_MS};
use crate::batches::{job_request, records};
use crate::controller::Controller;
use crate::event::JOB_FINISHED;

/// Maximum duration of one attempt, in ms, independent of the route's timeout.
const MAX_ATTEMPT_MS: u64 = 120_000;

/// One attempt of one job, made under the epoch in which this controller owns the batches.
pub struct JobAttempt {
    /// The controller that makes the attempt.
    pub controller: Arc<Controller>,
    /// The HTTP client that sends the job.
    pub client: Client,
    /// The jobs in flight; this one is among them until the attempt has ended.
    pub in_flight: SharedInFlight,
    /// The job to send.
    pub dispatch: Dispatch,
    /// The epoch of the batch owner.
    pub epoch: u64,
}

impl JobAttempt {
    /// Makes the attempt and removes the job from those in flight.
    pub async fn run(self) {
        self.execute().await;
        self.in_flight.lock().jobs.remove(&JobId::of(&self.dispatch));
    }

    async fn execute(&self) -> Option<()> {
        let (id, job_number) = (self.dispatch.batch_id.as_str(), self.dispatch.job);
        let batch = self.controller.committed.read(|state| records::batch(state, id))?;
        let job = batch.jobs.get(job_number)?;
        let router = self.controller.peers.read(|view| view.next_frontend(clock::now(), job_number))?;
        let started = self.change_page(&batch, |page, slot| page.start(slot, self.epoch)).await;
        if started == PageChange::Rejected {
            return None;
        }
        let outcome = self.send(&batch, job, &router, started).await;
        let state = self.in_flight.lock().record(&self.dispatch, outcome, job.repeatable);
        if state.is_final() {
            kernel::log_event!(JOB_FINISHED, "batch" => id, "job" => job.name.clone(), "outcome" => state.as_str());
        }
        self.write_outcome(&batch, &state).await;
        Some(())
    }

    /// Sends the job, unless its start was not committed or this controller no longer owns the batches.
    async fn send(&self, batch: &Batch, job: &Job, router: &str, started: PageChange) -> AttemptOutcome {
        let is_owner = runner::acting_epoch(&self.controller, clock::now()) == Some(self.epoch);
        if started != PageChange::Committed || !is_owner {
            return AttemptOutcome::NotExecuted { retry_after_ms: None };
        }
        let remaining_ms = batch.remaining_ms().min(MAX_ATTEMPT_MS);
        job_request::send(&self.client, router, job, self.dispatch.urgency, remaining_ms).await
    }

    /// Retries until the outcome is written or another owner has claimed the page, so that a received response is not
    /// lost.
    async fn write_outcome(&self, batch: &Batch, state: &JobState) {
        let finish = |page: &mut JobPage, slot| page.finish(slot, self.epoch, state.clone());
        while self.change_page(batch, finish).await == PageChange::OutcomeUnknown {
            time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// Changes the page that contains this job. `change` gets the page and the job's slot in it.
    async fn change_page(
        &self,
        batch: &Batch,
        change: impl Fn(&mut JobPage, usize) -> Result<(), PageError>,
    ) -> PageChange {
        let (number, slot) = (self.dispatch.job / JOBS_PER_PAGE, self.dispatch.job % JOBS_PER_PAGE);
        runner::change_page(&self.controller, &self.dispatch.batch_id, batch, number, |page| change(page, slot)).await
    }
}

impl InFlight {
    /// Records the outcome of an attempt, and returns the state of the job after it.
    fn record(&mut self, dispatch: &Dispatch, outcome: AttemptOutcome, repeatable: bool) -> JobState {
        let mut unknown_count = 0;
        match &outcome {
            AttemptOutcome::Completed { .. } => self.limit.on_success(),
            AttemptOutcome::NotExecuted { retry_after_ms } => self.limit.on_rejection(*retry_after_ms, clock::now()),
            AttemptOutcome::Unknown => {
                let count = self.unknown_outcomes.entry(JobId::of(dispatch)).or_default();
                *count += 1;
                unknown_count = *count;
            }
        }
        state_after(outcome, repeatable, unknown_count)
    }
}
