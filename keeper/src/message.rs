//! What peers send: one place that takes each message to its part.

pub fn take(keeper: &std::sync::Arc<crate::keeper::Keeper>, mouth: wire::link::Mouth, id: u64, msg: wire::msg::Msg) {
    let now = kernel::clock::now();
    match msg {
        wire::msg::Msg::Poll(poll) => {
            keeper.adopt(&poll.core);
            keeper.vote(*poll, move |vote| {
                mouth.reply(id, &wire::msg::Msg::Vote(Box::new(vote)));
            });
        }
        wire::msg::Msg::Gossip(gossip) => crate::gossip::hear(keeper, &gossip),
        wire::msg::Msg::Sheet(sheet) => {
            if keeper.sheets.lock().expect("sheets").take(&sheet) {
                crate::platform::prune(keeper, &sheet);
                keeper.push();
            }
        }
        wire::msg::Msg::Order(order) => {
            let keeper = keeper.clone();
            tokio::spawn(async move {
                let result = crate::orders::relayed(&keeper, *order).await;
                mouth.reply(id, &wire::msg::Msg::OrderDone(Box::new(result)));
            });
        }
        wire::msg::Msg::Advance(advance) => crate::config_orders::advance(keeper, &advance),
        wire::msg::Msg::Learn(pair) => keeper.learn(&pair.0, &pair.1, false),
        wire::msg::Msg::Doubt(doubt) => keeper.doubt(&doubt.0, doubt.1),
        wire::msg::Msg::Follow(follow) => keeper.follow(mouth, id, *follow),
        wire::msg::Msg::Query(query) => {
            let reply = find(keeper, query.0, &query.1, now);
            mouth.reply(id, &reply);
        }
        wire::msg::Msg::Seek(seek) => {
            let reply = seek_out(keeper, &seek, now);
            mouth.reply(id, &reply);
        }
        wire::msg::Msg::Note(note) => {
            register(keeper, note.epoch, &note.list, now);
            let mut catalog = keeper.catalog.lock().expect("catalog");
            note.told.iter().take(KEYS).for_each(|told| catalog.gauge.note(told, now));
        }
        wire::msg::Msg::Spend(spend) => {
            let spent = crate::quota::spend(keeper, &spend);
            mouth.reply(id, &wire::msg::Msg::Spent(Box::new(spent)));
        }
        wire::msg::Msg::Samples(samples) => crate::versions::take_samples(keeper, *samples),
        wire::msg::Msg::Usage(_) => {
            let usage = crate::quota::usage(keeper);
            mouth.reply(id, &wire::msg::Msg::Used(Box::new(usage)));
        }
        wire::msg::Msg::Versions(list) => crate::rules::hear(keeper, *list),
        wire::msg::Msg::Settle(ask) => {
            let reply = keeper.settled(&ask.0, ask.1, now);
            mouth.reply(id, &wire::msg::Msg::Settled(Box::new(reply)));
        }
        wire::msg::Msg::Register(list) => register(keeper, list.0, &list.1, now),
        wire::msg::Msg::Flush(flush) => {
            let mut catalog = keeper.catalog.lock().expect("catalog");
            let drops = if catalog.epoch == flush.0 { std::mem::take(&mut catalog.drops) } else { flush.1 };
            mouth.reply(id, &wire::msg::Msg::Flushed(Box::new((catalog.epoch, drops))));
        }
        _ => {
            mouth.reply(id, &wire::msg::Msg::No(Box::new(1)));
        }
    }
}

/// What one message may ask for.
const KEYS: usize = 256;

fn seek_out(keeper: &crate::keeper::Keeper, seek: &wire::msg::Seek, now: u64) -> wire::msg::Msg {
    let catalog = keeper.catalog.lock().expect("catalog");
    let (mut owners, mut list) = (Vec::new(), Vec::new());
    if catalog.epoch == seek.epoch && seek.epoch != 0 {
        owners = seek.keys.iter().take(KEYS).map(|key| catalog.prefix_index.find(*key, now)).collect::<Vec<_>>();
        let mut names: Vec<u64> = owners.iter().flatten().map(|id| kernel::clock::hash(id.as_bytes())).collect();
        names.extend(seek.sample.iter().take(KEYS));
        names.sort_unstable();
        names.dedup();
        list = catalog.gauge.tell(names.into_iter(), now);
    }
    wire::msg::Msg::Sought(Box::new(wire::msg::Sought { epoch: catalog.epoch, owners, list }))
}

fn find(keeper: &crate::keeper::Keeper, epoch: u64, keys: &[u64], now: u64) -> wire::msg::Msg {
    let catalog = keeper.catalog.lock().expect("catalog");
    if catalog.epoch != epoch || epoch == 0 {
        return wire::msg::Msg::Found(Box::new((catalog.epoch, Vec::new())));
    }
    let list = keys.iter().take(KEYS).map(|key| catalog.prefix_index.find(*key, now)).collect();
    wire::msg::Msg::Found(Box::new((epoch, list)))
}

fn register(keeper: &crate::keeper::Keeper, epoch: u64, list: &[wire::msg::Record], now: u64) {
    let mut catalog = keeper.catalog.lock().expect("catalog");
    if catalog.epoch != epoch || epoch == 0 {
        catalog.drops += list.len() as u32;
        return;
    }
    for record in list {
        catalog.prefix_index.register(record.key, &record.engine, now);
    }
}
