//! Passing an engine's answer on as it comes, and going on at another engine where that is allowed.
use crate::feed::Pipe;

/// When a refused client may come back: soon, and later the more is waiting.
fn comeback(trip: &crate::trip::Trip) -> u64 {
    let third = trip.left() / 3;
    (trip.target_ms / 4).clamp(50, 1000).min(third.max(20))
}

/// The answer to a request that is given up. Nothing that may have run is ever called refused.
pub fn give_up(trip: &crate::trip::Trip) -> crate::receipt::Receipt {
    if !trip.ran {
        return crate::receipt::Receipt::Refused(comeback(trip));
    }
    if trip.left() == 0 {
        return crate::receipt::Receipt::TimedOut;
    }
    crate::receipt::Receipt::Lost
}

/// By rank: how far over its slots every maker may be before a request is refused at once.
const LIMITS: [f64; 3] = [2.0, 1.5, 1.25];

/// How long deferrable work stands back when interactive work needs the places.
const STAND_BACK_MS: u64 = 500;

/// Chooses the path and follows it to an answer.
pub async fn go(mut trip: crate::trip::Trip) -> Result<http::Response<crate::receipt::Body>, crate::receipt::Receipt> {
    if trip.errand.spare.is_some_and(|share| !trip.view(|view| view.idle(share))) {
        return Err(crate::receipt::Receipt::Refused(STAND_BACK_MS));
    }
    if trip.weights().is_some() && trip.view(|view| view.open(engines::place::Half::Decode).is_empty()) {
        trip.few();
        return Err(give_up(&trip));
    }
    let share = LIMITS[(trip.priority as usize).min(LIMITS.len() - 1)];
    if trip.view(|view| view.full(share)) {
        return Err(give_up(&trip));
    }
    let split = trip.streams()
        && !trip.errand.keys.is_empty()
        && trip.view(|view| view.has(engines::place::Half::Prefill) && view.has(engines::place::Half::Decode));
    let (at, answer) = if split { crate::halves::carry(&mut trip).await? } else { plain(&mut trip).await? };
    if !answer.head.status.is_success() {
        return Ok(pass(trip, at, answer));
    }
    if trip.weights().is_some() {
        trip.exact = crate::verdict::version(&answer.head.headers).or(trip.exact);
    }
    if !sealed(&answer) {
        // Not an engine's answer, whatever it is.
        trip.ran = true;
        return Err(give_up(&trip));
    }
    Ok(pass(trip, at, answer))
}

/// A success as an engine gives it.
fn sealed(answer: &crate::send::Answer) -> bool {
    answer.head.status.is_success() && answer.head.headers.contains_key(wire::word::SEAL)
}

/// Services without halves: one engine, and another where that is allowed.
async fn plain(trip: &mut crate::trip::Trip) -> Result<(usize, crate::send::Answer), crate::receipt::Receipt> {
    // A failed answer is given up only once the next send is granted.
    let mut granted = false;
    loop {
        let rank = kernel::clock::blend(trip.errand.born, trip.errand.body.len() as u64);
        let place = trip.view(|view| view.decode(0, &[], None, rank));
        let Some(at) = place else { return Err(give_up(trip)) };
        if !std::mem::take(&mut granted) && !trip.allow() {
            return Err(give_up(trip));
        }
        trip.sends += 1;
        let (extra, again) = (crate::send::Extra { urgency: trip.urgency(), ..Default::default() }, trip.again());
        match trip.send(at, extra, 0, again).await {
            crate::send::Outcome::Answer(answer) => {
                granted = trip.repeatable && answer.head.status.is_server_error() && trip.allow();
                if !granted {
                    return Ok((at, *answer));
                }
                trip.ran = true;
                trip.close(at);
            }
            crate::send::Outcome::Unsent(_) => trip.sends -= 1,
            crate::send::Outcome::Unrun | crate::send::Outcome::Other | crate::send::Outcome::Aged(_) => {}
            crate::send::Outcome::Lost => {
                trip.ran = true;
                if !trip.repeatable {
                    return Err(give_up(trip));
                }
            }
        }
        trip.tried.push(at);
    }
}

impl crate::trip::Trip {
    /// Goes on at another engine after a break, behind the last event that was passed on.
    async fn resume(&mut self, at: usize, split: &crate::stream::Splitter) -> Option<(usize, crate::send::Answer)> {
        self.ran = true;
        crate::doubt::raise(&self.yard, at, true);
        self.tried.push(at);
        if !self.resumes() || !split.resumable() {
            return None;
        }
        let (tokens, rank) = (self.errand.tokens(), crate::plan::rank(&self.errand));
        for _ in 0..3 {
            let held = self.held.clone();
            let next = self.view(|view| view.alone(tokens, &held, rank))?.0;
            if self.left() == 0 || !self.allow() {
                return None;
            }
            let last = match &split.last {
                Some(last) => http::HeaderValue::from_str(last).ok(),
                None => self.errand.last.clone(),
            };
            let extra = crate::send::Extra { last, urgency: self.urgency(), ..Default::default() };
            self.sends += 1;
            let again = self.again();
            match self.send(next, extra, tokens, again).await {
                crate::send::Outcome::Answer(answer) if sealed(&answer) => {
                    return Some((next, *answer));
                }
                crate::send::Outcome::Answer(_) => self.close(next),
                crate::send::Outcome::Unsent(_) => self.sends -= 1,
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
pub fn pass(
    mut trip: crate::trip::Trip,
    at: usize,
    answer: crate::send::Answer,
) -> http::Response<crate::receipt::Body> {
    let mut reply = http::Response::new(());
    *reply.status_mut() = answer.head.status;
    *reply.headers_mut() = answer.head.headers.clone();
    let length = crate::errand::number(reply.headers(), "content-length").filter(|_| !trip.resumes());
    crate::errand::strip(reply.headers_mut());
    if trip.yard.leaving() {
        reply.headers_mut().insert(http::header::CONNECTION, http::HeaderValue::from_static("close"));
    }
    let (pipe, feed) = crate::feed::pipe(length);
    tokio::spawn(async move {
        run(&mut trip, at, answer, &pipe).await;
    });
    reply.map(|()| crate::receipt::Body::new(feed))
}

async fn run(trip: &mut crate::trip::Trip, mut at: usize, mut answer: crate::send::Answer, pipe: &Pipe) {
    let mut split = crate::stream::Splitter::default();
    loop {
        let end = pump(trip, at, &mut answer, &mut split, pipe).await;
        trip.close(at);
        match end {
            End::Left => return,
            End::Whole => {
                pipe.end().await;
                let to = trip.endpoint(at);
                crate::send::give_back(&trip.yard, &to, &answer.head.headers, answer.wire).await;
                return;
            }
            End::Broken => {}
        }
        split.cut();
        let Some((next, more)) = trip.resume(at, &split).await else { return };
        (at, answer) = (next, more);
    }
}

async fn pump(
    trip: &crate::trip::Trip,
    at: usize,
    answer: &mut crate::send::Answer,
    split: &mut crate::stream::Splitter,
    pipe: &Pipe,
) -> End {
    use http_body_util::BodyExt;
    let span = std::time::Duration::from_millis(crate::doubt::SIGN_MS);
    let (stream, resumes) = (trip.streams(), trip.resumes() && trip.again());
    let framed = answer.framed();
    let mut heard = kernel::clock::now();
    loop {
        let frame = tokio::select! {
            frame = tokio::time::timeout(span, answer.body.frame()) => frame,
            () = pipe.closed() => return End::Left,
        };
        let data = match frame {
            Err(_) if trip.left() == 0 || (trip.silent(at, heard) && resumes) => return End::Broken,
            Err(_) => continue,
            Ok(None) if !framed => return End::Broken,
            Ok(None) => return if pipe.data(split.end()).await { End::Whole } else { End::Left },
            Ok(Some(Err(_))) => return End::Broken,
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        };
        heard = kernel::clock::now();
        let out = if stream { split.feed(&data) } else { data };
        if !pipe.data(out).await {
            return End::Left;
        }
    }
}
