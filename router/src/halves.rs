//! The ordinary path of the design: look up, have the prompt read, register, flush, and only then
//! send to the engine that makes the tokens.

/// Time kept between the end of a handle's life and its last use.
const MARGIN_MS: u64 = 400;
/// How long the engine that came up short is not named for this key again.
const HUSH_MS: u64 = 2000;

/// What a read came to.
enum Reading {
    /// Its memory is held for this request.
    Held,
    /// The engine answered the request itself.
    Answer(usize, crate::send::Answer),
}

/// A read takes up none of the counted sends unless it is turned away, or a read went before it.
async fn read(trip: &mut crate::trip::Trip) -> Result<Reading, ()> {
    let held = trip.held.clone();
    for _ in 0..3 {
        let plan = trip.view(|view| crate::plan::read(view, &trip.errand, &held));
        let crate::plan::Plan::Read { at, reads } = plan else { return Err(()) };
        trip.yard.park.lock().expect("park").note_read(trip.service, reads);
        let extra = crate::send::Extra { stage: true, urgency: Some(rush(trip, reads)), ..Default::default() };
        match trip.send(at, extra, reads, true).await {
            crate::send::Outcome::Answer(answer) => return taken(trip, at, *answer).await,
            crate::send::Outcome::Unsent(_) => trip.tried.push(at),
            crate::send::Outcome::Unrun | crate::send::Outcome::Other | crate::send::Outcome::Aged(_) => {
                trip.tried.push(at);
                trip.sends += 1;
                // The last counted send is kept for the half that makes the tokens.
                if trip.sends + 1 >= trip.tries || !trip.allow() {
                    return Err(());
                }
            }
            crate::send::Outcome::Lost => return Err(()),
        }
    }
    Err(())
}

async fn taken(trip: &mut crate::trip::Trip, at: usize, answer: crate::send::Answer) -> Result<Reading, ()> {
    if answer.head.headers.contains_key(wire::word::SEAL) {
        // An engine that knows no halves has run it: this is the answer, and nothing more is sent.
        (trip.sends, trip.arrived, trip.ran) = (trip.sends + 1, true, true);
        return Ok(Reading::Answer(at, answer));
    }
    let reader = trip.endpoint(at);
    let good = answer.head.status == 200;
    let wait = trip.left().min(1000);
    let got = kernel::clock::now();
    let text = crate::send::whole(&trip.yard, &reader, answer, 16 * 1024, wait).await;
    trip.close(at);
    let value: serde_json::Value = text.and_then(|text| serde_json::from_slice(&text).ok()).unwrap_or_default();
    let id = value["kv_handle"].as_str().filter(|_| good).unwrap_or("").to_string();
    let sound = !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if !sound {
        // It may have been turned away: counted.
        trip.arrived = true;
        return Err(());
    }
    if trip.weights().is_some() {
        // Reader and maker of bound work agree: what was read with other weights is of no use to it.
        let version = value["revision"].as_u64();
        trip.learned(at, version);
        trip.exact = version.or(trip.exact);
    }
    let until = got + trip.spec.hold_ms.saturating_sub(MARGIN_MS);
    trip.keep(crate::handle::Handle { at, reader, id, until });
    Ok(Reading::Held)
}

/// How urgent a read is: a short one goes before long ones, which it hardly delays, while behind them
/// it would miss its aim; among alike the operator's rank decides.
fn rush(trip: &crate::trip::Trip, reads: u32) -> u32 {
    if trip.errand.spare.is_some() {
        return 9;
    }
    let size = match reads {
        0..1024 => 0,
        1024..4096 => 2,
        _ => 4,
    };
    (1 + size + trip.priority.min(1)).min(8)
}

/// Notes an owner here and tells the catalog; gives the number of registrations sent.
fn register(trip: &crate::trip::Trip, at: usize) -> u32 {
    let now = kernel::clock::now();
    let (id, told) = {
        let park = trip.yard.park.lock().expect("park");
        (park.list[at].id.clone(), park.list[at].told(now))
    };
    let mut list = Vec::with_capacity(trip.errand.keys.len());
    {
        let mut record = trip.yard.record.lock().expect("record");
        for key in &trip.errand.keys {
            record.note(*key, &id, now);
            list.push(wire::msg::Record { key: *key, engine: id.clone() });
        }
    }
    let count = list.len() as u32;
    trip.yard.lookup.register(list, told.into_iter().collect());
    count
}

/// Reads the prompt and hands it over; gives the engine that answers and its answer.
pub async fn carry(trip: &mut crate::trip::Trip) -> Result<(usize, crate::send::Answer), crate::receipt::Receipt> {
    trip.held = crate::plan::owners(&trip.yard, &trip.errand, trip.service).await;
    let mut reader = None;
    let reading = read(trip).await;
    if let Ok(Reading::Answer(at, answer)) = reading {
        return Ok((at, answer));
    }
    if reading.is_ok() {
        reader = trip.reader();
        if let Some(at) = reader {
            let sent = register(trip, at);
            let drops = trip.yard.lookup.flush(sent).await;
            // A drop only means that others will not find this memory: the hand-over goes on.
            trip.yard.record.lock().expect("record").counts.dropped += u64::from(drops);
        }
    }
    make(trip, reader).await
}

/// Sends to the engine that makes the tokens, with the memory where there is one.
async fn make(
    trip: &mut crate::trip::Trip,
    reader: Option<usize>,
) -> Result<(usize, crate::send::Answer), crate::receipt::Receipt> {
    let (tokens, rank) = (trip.errand.tokens(), crate::plan::rank(&trip.errand));
    let held = trip.held.clone();
    loop {
        trip.match_handle();
        let handle = trip.spend();
        let place = trip.view(|view| match handle {
            Some(_) => view.decode(tokens, &held, reader, rank),
            None => view.alone(tokens, &held, rank).map(|(at, _)| at),
        });
        if place.is_none() && handle.is_some() && trip.weights().is_some() {
            // No maker has the version that read it: one inside the limit reads it itself.
            handle.into_iter().for_each(|handle| trip.keep(handle));
            trip.free();
            continue;
        }
        let (Some(at), true) = (place, trip.allow()) else {
            handle.into_iter().for_each(|handle| trip.keep(handle));
            return Err(crate::relay::give_up(trip));
        };
        let reads = if handle.is_some() { 0 } else { tokens };
        let source = handle.as_ref().map(|handle| format!("{}/{}", handle.reader.addr, handle.id));
        let extra = crate::send::Extra { source, urgency: trip.urgency(), ..Default::default() };
        trip.sends += 1;
        let again = trip.again();
        match trip.send(at, extra, reads, again).await {
            crate::send::Outcome::Answer(answer) => {
                trip.read(at);
                if answer.head.status.is_success() {
                    register(trip, at);
                }
                return Ok((at, *answer));
            }
            crate::send::Outcome::Unsent(_) => {
                trip.sends -= 1;
                trip.tried.push(at);
                if let Some(handle) = handle {
                    trip.keep(handle);
                }
            }
            crate::send::Outcome::Unrun | crate::send::Outcome::Other | crate::send::Outcome::Aged(_) => {
                trip.tried.push(at);
                let Some(handle) = handle else { continue };
                let now = kernel::clock::now();
                let full = {
                    let park = trip.yard.park.lock().expect("park");
                    park.pressure(at, now) >= f64::from(park.list[at].slots)
                };
                if full {
                    trip.keep(handle);
                    continue;
                }
                // The memory can't be had: suppress this engine for this key, not for the request.
                let id = trip.yard.park.lock().expect("park").list[handle.at].id.clone();
                let mut record = trip.yard.record.lock().expect("record");
                record.counts.transfer_error += 1;
                for key in &trip.errand.keys {
                    record.hush(&id, *key, now + HUSH_MS);
                }
                drop(record);
                trip.keep(handle);
                trip.free();
            }
            crate::send::Outcome::Lost => {
                trip.ran = true;
                trip.tried.push(at);
                // Where it was not taken nobody else may name it: this maker may yet come for it.
                handle.into_iter().for_each(|handle| trip.keep(handle));
                trip.free();
                if !trip.repeatable {
                    return Err(crate::relay::give_up(trip));
                }
            }
        }
    }
}
