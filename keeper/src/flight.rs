//! One job under way: begun on a majority, sent, and its receipt written.

/// A job never gets longer than this for one try, whatever its route says.
const TRY_MS: u64 = 120_000;
const TRIES: u32 = 6;

pub async fn job(
    hall: std::sync::Arc<crate::hall::Hall>,
    client: reqwest::Client,
    air: crate::runner::Flight,
    send: batch::turn::Send,
    epoch: u64,
) {
    run(&hall, &client, &air, &send, epoch).await;
    air.lock().expect("air").under_way.remove(&(send.id.clone(), send.job));
}

async fn run(
    hall: &std::sync::Arc<crate::hall::Hall>,
    client: &reqwest::Client,
    air: &crate::runner::Flight,
    send: &batch::turn::Send,
    epoch: u64,
) -> Option<()> {
    let (id, at) = (send.id.as_str(), send.job);
    let batch = crate::batches::batch(&hall.board.lock().expect("board"), id)?;
    let job = batch.jobs.get(at)?;
    let (number, slot) = (at / batch::PAGE, at % batch::PAGE);
    let door = hall.roster.lock().expect("roster").door(kernel::clock::now(), at)?;
    let begun = crate::runner::change(hall, id, &batch, number, |page| page.begin(slot, epoch)).await;
    if begun == Some(false) {
        return None;
    }
    // Not durable, or no longer the owner at the moment of the send: it is not sent.
    let sent = begun.is_some() && crate::runner::acting_epoch(hall, kernel::clock::now()) == Some(epoch);
    let outcome = match sent {
        true => crate::errands::send(client, &door, job, send.press, batch.left_ms().min(TRY_MS)).await,
        false => crate::errands::Outcome::Unrun(None),
    };
    let now = kernel::clock::now();
    let state = match outcome {
        crate::errands::Outcome::Done(status, body) => {
            air.lock().expect("air").pace.good();
            batch::page::State::Done { status, body }
        }
        crate::errands::Outcome::Unrun(wait) => {
            air.lock().expect("air").pace.refused(wait, now);
            batch::page::State::Waiting
        }
        crate::errands::Outcome::Lost if job.repeatable => {
            let mut flight = air.lock().expect("air");
            let tries = flight.tries.entry((send.id.clone(), at)).or_default();
            *tries += 1;
            if *tries >= TRIES {
                batch::page::State::Missed
            } else {
                batch::page::State::Waiting
            }
        }
        crate::errands::Outcome::Lost => batch::page::State::Unknown,
    };
    if state.closed() {
        kernel::say!(crate::event::JOB, "batch" => id, "job" => job.name.clone(), "outcome" => state.word());
    }
    // Until it is written or another owner holds the page: an answer in hand is not thrown away.
    while crate::runner::change(hall, id, &batch, number, |page| page.close(slot, epoch, state.clone())).await.is_none()
    {
        tokio::time::sleep(std::time::Duration::from_millis(crate::runner::LOOK_MS)).await;
    }
    Some(())
}
