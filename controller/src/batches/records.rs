//! Batches at the operator's door: submit, state, results, cancel. What is read here is committed.

use std::collections::BTreeMap;
use std::sync::Arc;

use batch::page::{Page, State};
use batch::sheet::{self, Batch};
use batch::{ANSWER, BATCHES, BYTES, PAGE};
use kernel::settings::Settings;
use poem::{Endpoint, Request, Response};
use protocol::config::{self, Route};

use crate::api::routes::{self, Receipt};
use crate::controller::Controller;
use crate::event::BATCH;
use crate::replication::committed_state::CommittedState;
use crate::replication::registers::Decision;

pub const KEY: &str = "batch/";

/// The key of one page of a batch's jobs.
pub fn page_key(id: &str, page: usize) -> String {
    format!("{KEY}{id}/{page}")
}

pub fn batch_key(id: &str) -> String {
    format!("{KEY}{id}")
}

/// A batch as the committed_state has it.
pub fn batch(committed_state: &CommittedState, id: &str) -> Option<Batch> {
    Batch::from_bytes(&committed_state.entries.get(&batch_key(id))?.body)
}

/// A page as the committed_state has it; one that was never written has all jobs waiting.
pub fn page(committed_state: &CommittedState, id: &str, batch: &Batch, number: usize) -> Page {
    let held = committed_state.entries.get(&page_key(id, number)).and_then(|entry| Page::from_bytes(&entry.body));
    held.unwrap_or_else(|| blank(batch, number))
}

pub fn blank(batch: &Batch, number: usize) -> Page {
    Page::new(batch.jobs.len().saturating_sub(number * PAGE).min(PAGE))
}

/// Ids of all batches that are not expired.
pub fn ids(committed_state: &CommittedState) -> Vec<String> {
    let keys = committed_state.entries.keys().filter_map(|key| key.strip_prefix(KEY));
    let whole = keys.filter(|rest| !rest.contains('/')).map(str::to_string);
    whole.filter(|id| batch(committed_state, id).is_some_and(|batch| !batch.expired)).collect()
}

/// What batches may take up on disk and in memory: a share of what the machine has.
fn room(settings: &Settings) -> usize {
    let disk = if settings.limits.disk_mb == 0 { settings.limits.memory_mb / 2 } else { settings.limits.disk_mb };
    (disk.min(settings.limits.memory_mb) as usize) << 17
}

pub struct Batches(pub Arc<Controller>);
pub struct One(pub Arc<Controller>);
pub struct Results(pub Arc<Controller>);

impl Batches {
    async fn submit(&self, key: &str, text: &str) -> Receipt {
        let controller = &self.0;
        let held = controller.committed.current_config();
        let Some(held) = held else { return Receipt::Bad(409, "no configuration yet: no routes".into()) };
        let route = |host: &str, path: &str| {
            let host = config::without_port(host);
            let fits =
                |route: &&Route| route.hostname.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix);
            let best = held.config().route_table.iter().filter(fits).max_by_key(|route| route.path_prefix.len())?;
            Some(best.route_type == "idempotent" || (best.route_type == "streaming" && best.resumable))
        };
        let batch = match sheet::read(key, text, &route) {
            Ok(batch) => batch,
            Err(words) => return Receipt::Bad(400, words),
        };
        let id = sheet::id(key);
        let answers = batch.jobs.len() * ANSWER;
        let has_no_room = controller.committed.read(|state| {
            let ids = ids(state);
            let bytes: usize = ids.iter().filter_map(|id| self::batch(state, id)).map(|held| held.bytes()).sum();
            let new = !ids.contains(&id);
            let full = ids.len() >= BATCHES || bytes + batch.bytes() + answers > room(&controller.settings);
            new && full
        });
        if has_no_room {
            return Receipt::Full(60_000);
        }
        let body = batch.to_bytes();
        let judge = |held: &[u8]| match Batch::from_bytes(held) {
            Some(held) if held.expired => {
                let words = "Idempotency-Key: its batch has expired; use another";
                Decision::Answer(Receipt::Bad(409, words.into()))
            }
            Some(held) if held.digest == batch.digest => Decision::Answer(Receipt::Good),
            Some(_) => {
                let words = "Idempotency-Key: used for a batch with other content";
                Decision::Answer(Receipt::Bad(409, words.into()))
            }
            None => Decision::Write(body.clone(), Receipt::Good),
        };
        match controller.change(&batch_key(&id), routes::wait_ms(controller), judge).await {
            Some(Receipt::Good) => {
                kernel::log_event!(BATCH, "batch" => id.clone(), "jobs" => batch.jobs.len());
                Receipt::Text(serde_json::json!({ "batch": id, "jobs": batch.jobs.len() }).to_string().into_bytes())
            }
            Some(other) => other,
            None => Receipt::Unclear,
        }
    }

    fn list(&self) -> Receipt {
        let ids = self.0.committed.read(ids);
        Receipt::Text(serde_json::json!({ "batches": ids }).to_string().into_bytes())
    }
}

impl One {
    fn state(&self, id: &str) -> Receipt {
        self.0.committed.read(|state| One::state_in(state, id))
    }

    fn state_in(committed_state: &CommittedState, id: &str) -> Receipt {
        let Some(held) = batch(committed_state, id) else {
            return Receipt::Bad(404, format!("batch `{id}`: not known"));
        };
        let mut counts: BTreeMap<&str, usize> = Default::default();
        for number in 0..held.pages() {
            for state in page(committed_state, id, &held, number).states {
                *counts.entry(state.word()).or_default() += 1;
            }
        }
        let open = counts.get("waiting").unwrap_or(&0) + counts.get("running").unwrap_or(&0);
        let word = match (held.expired, held.cancelled, open) {
            (true, _, _) => "expired",
            (_, true, _) => "cancelled",
            (_, _, 0) => "finished",
            _ => "open",
        };
        let value = serde_json::json!({
            "batch": id, "state": word, "jobs": held.jobs.len(), "counts": counts,
            "window_ms": held.window_ms, "left_ms": held.left_ms(),
        });
        Receipt::Text(value.to_string().into_bytes())
    }

    async fn cancel(&self, id: &str) -> Receipt {
        let judge = |body: &[u8]| match Batch::from_bytes(body) {
            None => Decision::Answer(Receipt::Bad(404, format!("batch `{id}`: not known"))),
            Some(held) if held.cancelled || held.expired => Decision::Answer(Receipt::Good),
            Some(held) => {
                let next = Batch { cancelled: true, ..held };
                Decision::Write(next.to_bytes(), Receipt::Good)
            }
        };
        let done = self.0.change(&batch_key(id), routes::wait_ms(&self.0), judge).await;
        done.unwrap_or(Receipt::Unclear)
    }
}

impl Results {
    /// Only receipts: what is still open has none.
    fn read(&self, id: &str) -> Receipt {
        self.0.committed.read(|state| Results::read_in(state, id))
    }

    fn read_in(committed_state: &CommittedState, id: &str) -> Receipt {
        let Some(held) = batch(committed_state, id) else {
            return Receipt::Bad(404, format!("batch `{id}`: not known"));
        };
        let mut list = Vec::new();
        for (number, jobs) in held.jobs.chunks(PAGE).enumerate() {
            let page = page(committed_state, id, &held, number);
            for (job, state) in jobs.iter().zip(&page.states).filter(|(_, state)| state.closed()) {
                let mut value = serde_json::json!({ "name": job.name, "outcome": state.word() });
                if let State::Done { status, body } = state {
                    value["status"] = (*status).into();
                    value["body"] = body.as_str().into();
                }
                list.push(value);
            }
        }
        Receipt::Text(serde_json::json!({ "batch": id, "receipts": list }).to_string().into_bytes())
    }
}

impl Endpoint for Batches {
    type Output = Response;

    async fn call(&self, mut req: Request) -> poem::Result<Response> {
        match req.method().as_str() {
            "GET" => return Ok(routes::write(self.list())),
            "POST" => {}
            _ => return Ok(routes::write(Receipt::Bad(405, "method: GET or POST".into()))),
        }
        let key = req.header("idempotency-key").unwrap_or("").to_string();
        let most = 2 * BYTES;
        let Ok(body) = req.take_body().into_bytes_limit(most).await else {
            return Ok(routes::write(Receipt::Bad(413, format!("body: cut short or over {most} bytes"))));
        };
        let Ok(text) = String::from_utf8(body.to_vec()) else {
            return Ok(routes::write(Receipt::Bad(400, "body: not UTF-8".into())));
        };
        Ok(routes::write(self.submit(&key, &text).await))
    }
}

impl Endpoint for One {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let id = req.path_params::<String>().unwrap_or_default();
        let receipt = match req.method().as_str() {
            "GET" => self.state(&id),
            "DELETE" => self.cancel(&id).await,
            _ => Receipt::Bad(405, "method: GET or DELETE".into()),
        };
        Ok(routes::write(receipt))
    }
}

impl Endpoint for Results {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let id = req.path_params::<String>().unwrap_or_default();
        Ok(routes::write(self.read(&id)))
    }
}
