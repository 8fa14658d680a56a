//! What peers send: one place that takes each message to its part.

pub fn take(
    controller: &std::sync::Arc<crate::controller::Controller>,
    mouth: protocol::link::Mouth,
    id: u64,
    msg: protocol::msg::Msg,
) {
    let now = kernel::clock::now();
    match msg {
        protocol::msg::Msg::Poll(poll) => {
            controller.adopt(&poll.core);
            controller.vote(*poll, move |vote| {
                mouth.reply(id, &protocol::msg::Msg::Vote(Box::new(vote)));
            });
        }
        protocol::msg::Msg::Gossip(gossip) => crate::gossip::hear(controller, &gossip),
        protocol::msg::Msg::Sheet(sheet) => {
            if controller.sheets.lock().expect("sheets").take(&sheet) {
                crate::platform::prune(controller, &sheet);
                controller.push();
            }
        }
        protocol::msg::Msg::Order(order) => {
            let controller = controller.clone();
            tokio::spawn(async move {
                let result = crate::orders::relayed(&controller, *order).await;
                mouth.reply(id, &protocol::msg::Msg::OrderDone(Box::new(result)));
            });
        }
        protocol::msg::Msg::Advance(advance) => crate::config_orders::advance(controller, &advance),
        protocol::msg::Msg::Learn(pair) => controller.learn(&pair.0, &pair.1, false),
        protocol::msg::Msg::Doubt(doubt) => controller.doubt(&doubt.0, doubt.1),
        protocol::msg::Msg::Follow(follow) => controller.follow(mouth, id, *follow),
        protocol::msg::Msg::Query(query) => {
            let reply = find(controller, query.0, &query.1, now);
            mouth.reply(id, &reply);
        }
        protocol::msg::Msg::Seek(seek) => {
            let reply = seek_out(controller, &seek, now);
            mouth.reply(id, &reply);
        }
        protocol::msg::Msg::Note(note) => {
            register(controller, note.epoch, &note.list, now);
            let mut catalog = controller.catalog.lock().expect("catalog");
            note.told.iter().take(KEYS).for_each(|told| catalog.gauge.note(told, now));
        }
        protocol::msg::Msg::Spend(spend) => {
            let spent = crate::quota::spend(controller, &spend);
            mouth.reply(id, &protocol::msg::Msg::Spent(Box::new(spent)));
        }
        protocol::msg::Msg::Samples(samples) => crate::versions::take_samples(controller, *samples),
        protocol::msg::Msg::Usage(_) => {
            let usage = crate::quota::usage(controller);
            mouth.reply(id, &protocol::msg::Msg::Used(Box::new(usage)));
        }
        protocol::msg::Msg::Versions(list) => crate::rules::hear(controller, *list),
        protocol::msg::Msg::Settle(ask) => {
            let reply = controller.settled(&ask.0, ask.1, now);
            mouth.reply(id, &protocol::msg::Msg::Settled(Box::new(reply)));
        }
        protocol::msg::Msg::Register(list) => register(controller, list.0, &list.1, now),
        protocol::msg::Msg::Flush(flush) => {
            let mut catalog = controller.catalog.lock().expect("catalog");
            let drops = if catalog.epoch == flush.0 { std::mem::take(&mut catalog.drops) } else { flush.1 };
            mouth.reply(id, &protocol::msg::Msg::Flushed(Box::new((catalog.epoch, drops))));
        }
        _ => {
            mouth.reply(id, &protocol::msg::Msg::No(Box::new(1)));
        }
    }
}

/// What one message may ask for.
const KEYS: usize = 256;

fn seek_out(controller: &crate::controller::Controller, seek: &protocol::msg::Seek, now: u64) -> protocol::msg::Msg {
    let catalog = controller.catalog.lock().expect("catalog");
    let (mut owners, mut list) = (Vec::new(), Vec::new());
    if catalog.epoch == seek.epoch && seek.epoch != 0 {
        owners = seek.keys.iter().take(KEYS).map(|key| catalog.prefix_index.find(*key, now)).collect::<Vec<_>>();
        let mut names: Vec<u64> = owners.iter().flatten().map(|id| kernel::clock::hash(id.as_bytes())).collect();
        names.extend(seek.sample.iter().take(KEYS));
        names.sort_unstable();
        names.dedup();
        list = catalog.gauge.tell(names.into_iter(), now);
    }
    protocol::msg::Msg::Sought(Box::new(protocol::msg::Sought { epoch: catalog.epoch, owners, list }))
}

fn find(controller: &crate::controller::Controller, epoch: u64, keys: &[u64], now: u64) -> protocol::msg::Msg {
    let catalog = controller.catalog.lock().expect("catalog");
    if catalog.epoch != epoch || epoch == 0 {
        return protocol::msg::Msg::Found(Box::new((catalog.epoch, Vec::new())));
    }
    let list = keys.iter().take(KEYS).map(|key| catalog.prefix_index.find(*key, now)).collect();
    protocol::msg::Msg::Found(Box::new((epoch, list)))
}

fn register(controller: &crate::controller::Controller, epoch: u64, list: &[protocol::msg::Record], now: u64) {
    let mut catalog = controller.catalog.lock().expect("catalog");
    if catalog.epoch != epoch || epoch == 0 {
        catalog.drops += list.len() as u32;
        return;
    }
    for record in list {
        catalog.prefix_index.register(record.key, &record.engine, now);
    }
}
