//! One job under way: begun on a majority, sent once, and its outcome written.

use std::sync::Arc;
use std::time::Duration;

use batch::attempt::{state_after, Outcome};
use batch::page::State;
use batch::{turn, PAGE};
use kernel::clock;
use reqwest::Client;
use tokio::time;

use crate::batches::runner::{self, InFlight, Shared, LOOK_MS};
use crate::batches::{job_request, records};
use crate::controller::Controller;
use crate::event::JOB;

/// A job never gets longer than this for one attempt, whatever its route says.
const ATTEMPT_MS: u64 = 120_000;

pub async fn run(controller: Arc<Controller>, client: Client, in_flight: Shared, send: turn::Send, epoch: u64) {
    attempt(&controller, &client, &in_flight, &send, epoch).await;
    in_flight.lock().jobs.remove(&(send.id.clone(), send.job));
}

async fn attempt(
    controller: &Arc<Controller>,
    client: &Client,
    in_flight: &Shared,
    send: &turn::Send,
    epoch: u64,
) -> Option<()> {
    let (id, at) = (send.id.as_str(), send.job);
    let batch = controller.committed.read(|state| records::batch(state, id))?;
    let job = batch.jobs.get(at)?;
    let (number, slot) = (at / PAGE, at % PAGE);
    let router = controller.peers.read(|view| view.next_frontend(clock::now(), at))?;
    let begun = runner::change(controller, id, &batch, number, |page| page.begin(slot, epoch)).await;
    if begun == Some(false) {
        return None;
    }
    // Not durable, or no longer the owner at the moment of the send: it is not sent.
    let owner = runner::acting_epoch(controller, clock::now()) == Some(epoch);
    let outcome = match begun.is_some() && owner {
        true => job_request::send(client, &router, job, send.press, batch.left_ms().min(ATTEMPT_MS)).await,
        false => Outcome::NotRun { retry_after_ms: None },
    };
    let state = in_flight.lock().note(send, outcome, job.repeatable);
    if state.closed() {
        kernel::log_event!(JOB, "batch" => id, "job" => job.name.clone(), "outcome" => state.word());
    }
    // Until it is written or another owner holds the page: an answer in hand is not thrown away.
    while runner::change(controller, id, &batch, number, |page| page.close(slot, epoch, state.clone())).await.is_none()
    {
        time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
    Some(())
}

impl InFlight {
    /// Counts what came of an attempt; gives the job's state after it.
    fn note(&mut self, send: &turn::Send, outcome: Outcome, repeatable: bool) -> State {
        let mut lost = 0;
        match &outcome {
            Outcome::Answered { .. } => self.pace.good(),
            Outcome::NotRun { retry_after_ms } => self.pace.refused(*retry_after_ms, clock::now()),
            Outcome::Lost => {
                let count = self.lost.entry((send.id.clone(), send.job)).or_default();
                *count += 1;
                lost = *count;
            }
        }
        state_after(outcome, repeatable, lost)
    }
}
