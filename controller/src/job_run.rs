//! One job under way: begun on a majority, sent once, and its outcome written.

use crate::controller::Controller;
use batch::attempt::Outcome;
use batch::page::State;
use std::sync::Arc;
use std::time::Duration;

/// A job never gets longer than this for one attempt, whatever its route says.
const ATTEMPT_MS: u64 = 120_000;

pub async fn run(
    controller: Arc<Controller>,
    client: reqwest::Client,
    in_flight: crate::runner::Shared,
    send: batch::turn::Send,
    epoch: u64,
) {
    attempt(&controller, &client, &in_flight, &send, epoch).await;
    in_flight.lock().expect("in flight").jobs.remove(&(send.id.clone(), send.job));
}

async fn attempt(
    controller: &Arc<Controller>,
    client: &reqwest::Client,
    in_flight: &crate::runner::Shared,
    send: &batch::turn::Send,
    epoch: u64,
) -> Option<()> {
    let (id, at) = (send.id.as_str(), send.job);
    let batch = crate::batches::batch(&controller.committed_state.lock().expect("committed_state"), id)?;
    let job = batch.jobs.get(at)?;
    let (number, slot) = (at / batch::PAGE, at % batch::PAGE);
    let router = controller.roster.lock().expect("roster").door(kernel::clock::now(), at)?;
    let begun = crate::runner::change(controller, id, &batch, number, |page| page.begin(slot, epoch)).await;
    if begun == Some(false) {
        return None;
    }
    // Not durable, or no longer the owner at the moment of the send: it is not sent.
    let owner = crate::runner::acting_epoch(controller, kernel::clock::now()) == Some(epoch);
    let outcome = match begun.is_some() && owner {
        true => crate::job_request::send(client, &router, job, send.press, batch.left_ms().min(ATTEMPT_MS)).await,
        false => Outcome::NotRun { retry_after_ms: None },
    };
    let state = in_flight.lock().expect("in flight").note(send, outcome, job.repeatable);
    if state.closed() {
        kernel::say!(crate::event::JOB, "batch" => id, "job" => job.name.clone(), "outcome" => state.word());
    }
    // Until it is written or another owner holds the page: an answer in hand is not thrown away.
    while crate::runner::change(controller, id, &batch, number, |page| page.close(slot, epoch, state.clone()))
        .await
        .is_none()
    {
        tokio::time::sleep(Duration::from_millis(crate::runner::LOOK_MS)).await;
    }
    Some(())
}

impl crate::runner::InFlight {
    /// Counts what came of an attempt; gives the job's state after it.
    fn note(&mut self, send: &batch::turn::Send, outcome: Outcome, repeatable: bool) -> State {
        let mut lost = 0;
        match &outcome {
            Outcome::Answered { .. } => self.pace.good(),
            Outcome::NotRun { retry_after_ms } => self.pace.refused(*retry_after_ms, kernel::clock::now()),
            Outcome::Lost => {
                let count = self.lost.entry((send.id.clone(), send.job)).or_default();
                *count += 1;
                lost = *count;
            }
        }
        batch::attempt::state_after(outcome, repeatable, lost)
    }
}
