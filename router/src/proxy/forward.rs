//! Passing an engine's answer on as it comes, and going on at another engine where that is allowed.

use std::mem;
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Response};
use kernel::{clock, hashing};
use load_balancing::Phase;
use protocol::headers::RESPONSE_SEAL;
use tokio::time;

use crate::frontend::error_response::{Body, Failure};
use crate::frontend::request;
use crate::proxy::event_stream::Splitter;
use crate::proxy::exchange::Exchange;
use crate::proxy::response_body::{self, Pipe};
use crate::proxy::send::{self, Answer, Extra, Outcome};
use crate::proxy::{phases, plan, response_head};
use crate::rollout::Seen;
use crate::upstream::suspicion::{self, LIVENESS_TIMEOUT_MS};

/// When a refused client may come back: soon, and later the more is waiting.
fn retry_after_ms(exchange: &Exchange) -> u64 {
    let third = exchange.remaining_ms() / 3;
    (exchange.target_ms / 4).clamp(50, 1000).min(third.max(20))
}

/// The answer to a request that is given up. Nothing that may have run is ever called refused.
pub fn failure_of(exchange: &Exchange) -> Failure {
    if !exchange.may_have_run {
        return Failure::Refused(retry_after_ms(exchange));
    }
    if exchange.remaining_ms() == 0 {
        return Failure::TimedOut;
    }
    Failure::Lost
}

/// By rank: how far over its slots every maker may be before a request is refused at once.
const LIMITS: [f64; 3] = [2.0, 1.5, 1.25];

/// How long deferrable work stands back when interactive work needs the places.
const STAND_BACK_MS: u64 = 500;

/// Chooses the path and follows it to an answer.
pub async fn answer(mut exchange: Exchange) -> Result<Response<Body>, Failure> {
    if exchange.request.spare.is_some_and(|share| !exchange.view(|view| view.has_spare_capacity(share))) {
        return Err(Failure::Refused(STAND_BACK_MS));
    }
    exchange.choose_version();
    if !exchange.fits_before_the_end() {
        // Refused early rather than given up late.
        return Err(failure_of(&exchange));
    }
    if exchange.version_bounds().is_some() && exchange.view(|view| view.candidates(Phase::Decode).is_empty()) {
        exchange.report_no_replica();
        return Err(failure_of(&exchange));
    }
    let share = LIMITS[(exchange.priority as usize).min(LIMITS.len() - 1)];
    if exchange.view(|view| view.is_saturated(share)) {
        return Err(failure_of(&exchange));
    }
    exchange.spend_quota().await?;
    let split = exchange.is_streaming()
        && !exchange.request.keys.is_empty()
        && exchange.view(|view| view.has_phase(Phase::Prefill) && view.has_phase(Phase::Decode));
    let carried = if split { phases::carry(&mut exchange).await } else { plain(&mut exchange).await };
    let (at, answer) = match carried {
        Ok(carried) => carried,
        Err(failure) => {
            if exchange.may_have_run {
                exchange.note_seen(Seen::Failed);
            }
            return Err(failure);
        }
    };
    if !answer.head.status.is_success() {
        if answer.head.status.is_server_error() {
            exchange.note_seen(Seen::Failed);
        }
        return Ok(pass(exchange, at, answer));
    }
    if exchange.version_bounds().is_some() {
        exchange.pinned_version = response_head::version(&answer.head.headers).or(exchange.pinned_version);
    }
    if !sealed(&answer) {
        // Not an engine's answer, whatever it is.
        exchange.may_have_run = true;
        return Err(failure_of(&exchange));
    }
    Ok(pass(exchange, at, answer))
}

/// A success as an engine gives it.
fn sealed(answer: &Answer) -> bool {
    answer.head.status.is_success() && answer.head.headers.contains_key(RESPONSE_SEAL)
}

/// Services without halves: one engine, and another where that is allowed.
async fn plain(exchange: &mut Exchange) -> Result<(usize, Answer), Failure> {
    // A failed answer is given up only once the next send is granted.
    let mut granted = false;
    loop {
        let rank = hashing::combine(exchange.request.born, exchange.request.body.len() as u64);
        let place = exchange.view(|view| view.select_decode(0, &[], None, rank));
        let Some(at) = place else { return Err(failure_of(exchange)) };
        if !mem::take(&mut granted) && !exchange.grant_send() {
            return Err(failure_of(exchange));
        }
        exchange.sends += 1;
        let (extra, again) = (Extra { urgency: exchange.urgency(), ..Default::default() }, exchange.may_retry());
        match exchange.send(at, extra, 0, again).await {
            Outcome::Answer(answer) => {
                granted = exchange.repeatable && answer.head.status.is_server_error() && exchange.grant_send();
                if !granted {
                    return Ok((at, *answer));
                }
                exchange.may_have_run = true;
                exchange.end_send(at);
            }
            Outcome::Unsent(_) => exchange.sends -= 1,
            Outcome::NotExecuted | Outcome::OtherEngine | Outcome::OtherVersion(_) => {}
            Outcome::Lost => {
                exchange.may_have_run = true;
                if !exchange.repeatable {
                    return Err(failure_of(exchange));
                }
            }
        }
        exchange.tried.push(at);
    }
}

impl Exchange {
    /// Goes on at another engine after a break, behind the last event that was passed on.
    async fn resume(&mut self, at: usize, split: &Splitter) -> Option<(usize, Answer)> {
        self.may_have_run = true;
        suspicion::raise(&self.state, at);
        self.tried.push(at);
        if !self.is_resumable() || !split.resumable() {
            return None;
        }
        let (tokens, rank) = (self.request.tokens(), plan::rank(&self.request));
        for _ in 0..3 {
            let held = self.prefix_owners.clone();
            let next = self.view(|view| view.select_combined(tokens, &held, rank))?.engine;
            if self.remaining_ms() == 0 || !self.grant_send() {
                return None;
            }
            let last = match &split.last {
                Some(last) => HeaderValue::from_str(last).ok(),
                None => self.request.last.clone(),
            };
            let extra = Extra { last, urgency: self.urgency(), ..Default::default() };
            self.sends += 1;
            let again = self.may_retry();
            match self.send(next, extra, tokens, again).await {
                Outcome::Answer(answer) if sealed(&answer) => {
                    return Some((next, *answer));
                }
                Outcome::Answer(_) => self.end_send(next),
                Outcome::Unsent(_) => self.sends -= 1,
                _ => {}
            }
            self.tried.push(next);
        }
        None
    }
}

/// How an engine's body ended.
enum End {
    Whole,
    Broken,
    /// The client is gone.
    Left,
}

/// Answers with the engine's head; its body follows as it comes.
pub fn pass(mut exchange: Exchange, at: usize, answer: Answer) -> Response<Body> {
    let mut reply = Response::new(());
    *reply.status_mut() = answer.head.status;
    *reply.headers_mut() = answer.head.headers.clone();
    let length = request::number(reply.headers(), "content-length").filter(|_| !exchange.is_resumable());
    request::strip(reply.headers_mut());
    if exchange.state.is_leaving() {
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let (pipe, feed) = response_body::pipe(length);
    tokio::spawn(async move {
        run(&mut exchange, at, answer, &pipe).await;
    });
    reply.map(|()| Body::new(feed))
}

async fn run(exchange: &mut Exchange, mut at: usize, mut answer: Answer, pipe: &Pipe) {
    let mut split = Splitter::default();
    let is_success = answer.head.status.is_success();
    loop {
        let end = pump(exchange, at, &mut answer, &mut split, pipe).await;
        exchange.end_send(at);
        match end {
            End::Left => return,
            End::Whole => {
                pipe.end().await;
                if is_success {
                    exchange.note_seen(Seen::Good { pace_us: split.pace_us() });
                }
                let to = exchange.endpoint(at);
                send::give_back(&exchange.state, &to, &answer.head.headers, answer.connection).await;
                return;
            }
            End::Broken => exchange.note_seen(Seen::Failed),
        }
        split.cut();
        let Some((next, more)) = exchange.resume(at, &split).await else { return };
        (at, answer) = (next, more);
    }
}

async fn pump(exchange: &Exchange, at: usize, answer: &mut Answer, split: &mut Splitter, pipe: &Pipe) -> End {
    use http_body_util::BodyExt;
    let span = Duration::from_millis(LIVENESS_TIMEOUT_MS);
    let (stream, resumes) = (exchange.is_streaming(), exchange.is_resumable() && exchange.may_retry());
    let framed = answer.framed();
    let mut heard = clock::now();
    loop {
        let frame = tokio::select! {
            frame = time::timeout(span, answer.body.frame()) => frame,
            () = pipe.closed() => return End::Left,
        };
        let data = match frame {
            Err(_) if exchange.remaining_ms() == 0 || (exchange.found_dark(at, heard) && resumes) => {
                return End::Broken
            }
            Err(_) => continue,
            Ok(None) if !framed => return End::Broken,
            Ok(None) => return if pipe.data(split.end()).await { End::Whole } else { End::Left },
            Ok(Some(Err(_))) => return End::Broken,
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        };
        heard = clock::now();
        let out = if stream { split.feed(&data) } else { data };
        if !pipe.data(out).await {
            return End::Left;
        }
    }
}
