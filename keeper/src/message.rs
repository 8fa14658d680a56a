//! What fellows send: one place that takes each message to its part.

pub fn take(hall: &std::sync::Arc<crate::hall::Hall>, mouth: wire::link::Mouth, id: u64, msg: wire::msg::Msg) {
    let now = kernel::clock::now();
    match msg {
        wire::msg::Msg::Poll(poll) => {
            hall.adopt(&poll.core);
            hall.vote(*poll, move |vote| {
                mouth.reply(id, &wire::msg::Msg::Vote(Box::new(vote)));
            });
        }
        wire::msg::Msg::Gossip(gossip) => crate::gossip::hear(hall, &gossip),
        wire::msg::Msg::Sheet(sheet) => {
            if hall.sheets.lock().expect("sheets").take(&sheet) {
                crate::platform::prune(hall, &sheet);
                hall.push();
            }
        }
        wire::msg::Msg::Order(order) => {
            let hall = hall.clone();
            tokio::spawn(async move {
                let result = crate::orders::relayed(&hall, *order).await;
                mouth.reply(id, &wire::msg::Msg::OrderDone(Box::new(result)));
            });
        }
        wire::msg::Msg::Advance(advance) => crate::orders::advance(hall, &advance),
        wire::msg::Msg::Learn(pair) => hall.learn(&pair.0, &pair.1, false),
        wire::msg::Msg::Doubt(doubt) => hall.doubt(&doubt.0, doubt.1),
        wire::msg::Msg::Follow(follow) => hall.follow(mouth, id, *follow),
        wire::msg::Msg::Query(query) => {
            let reply = find(hall, query.0, &query.1, now);
            mouth.reply(id, &reply);
        }
        wire::msg::Msg::Seek(seek) => {
            let reply = seek_out(hall, &seek, now);
            mouth.reply(id, &reply);
        }
        wire::msg::Msg::Note(note) => {
            register(hall, note.epoch, &note.list, now);
            let mut desk = hall.shelf.lock().expect("shelf");
            note.told.iter().take(KEYS).for_each(|told| desk.gauge.note(told, now));
        }
        wire::msg::Msg::Versions(list) => crate::rules::hear(hall, *list),
        wire::msg::Msg::Settle(ask) => {
            let reply = hall.settled(&ask.0, ask.1, now);
            mouth.reply(id, &wire::msg::Msg::Settled(Box::new(reply)));
        }
        wire::msg::Msg::Register(list) => register(hall, list.0, &list.1, now),
        wire::msg::Msg::Flush(flush) => {
            let mut desk = hall.shelf.lock().expect("shelf");
            let drops = if desk.epoch == flush.0 { std::mem::take(&mut desk.drops) } else { flush.1 };
            mouth.reply(id, &wire::msg::Msg::Flushed(Box::new((desk.epoch, drops))));
        }
        _ => {
            mouth.reply(id, &wire::msg::Msg::No(Box::new(1)));
        }
    }
}

/// What one message may ask for.
const KEYS: usize = 256;

fn seek_out(hall: &crate::hall::Hall, seek: &wire::msg::Seek, now: u64) -> wire::msg::Msg {
    let desk = hall.shelf.lock().expect("shelf");
    let (mut owners, mut list) = (Vec::new(), Vec::new());
    if desk.epoch == seek.epoch && seek.epoch != 0 {
        owners = seek.keys.iter().take(KEYS).map(|key| desk.shelf.find(*key, now)).collect::<Vec<_>>();
        let mut names: Vec<u64> = owners.iter().flatten().map(|id| kernel::clock::hash(id.as_bytes())).collect();
        names.extend(seek.sample.iter().take(KEYS));
        names.sort_unstable();
        names.dedup();
        list = desk.gauge.tell(names.into_iter(), now);
    }
    wire::msg::Msg::Sought(Box::new(wire::msg::Sought { epoch: desk.epoch, owners, list }))
}

fn find(hall: &crate::hall::Hall, epoch: u64, keys: &[u64], now: u64) -> wire::msg::Msg {
    let desk = hall.shelf.lock().expect("shelf");
    if desk.epoch != epoch || epoch == 0 {
        return wire::msg::Msg::Found(Box::new((desk.epoch, Vec::new())));
    }
    let list = keys.iter().take(KEYS).map(|key| desk.shelf.find(*key, now)).collect();
    wire::msg::Msg::Found(Box::new((epoch, list)))
}

fn register(hall: &crate::hall::Hall, epoch: u64, list: &[wire::msg::Record], now: u64) {
    let mut desk = hall.shelf.lock().expect("shelf");
    if desk.epoch != epoch || epoch == 0 {
        desk.drops += list.len() as u32;
        return;
    }
    for record in list {
        desk.shelf.register(record.key, &record.engine, now);
    }
}
