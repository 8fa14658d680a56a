//! What peers send: one place that takes each message to its part.

use std::mem;
use std::sync::Arc;

use kernel::clock;
use protocol::link::Mouth;
use protocol::msg::{Msg, Record, Seek, Sought};

use crate::controller::Controller;
use crate::quota;
use crate::versions::take_samples;
use crate::{config_orders, gossip, orders, platform, rules};

pub fn take(controller: &Arc<Controller>, mouth: Mouth, id: u64, msg: Msg) {
    let now = clock::now();
    match msg {
        Msg::Poll(poll) => {
            controller.adopt(&poll.core);
            controller.vote(*poll, move |vote| {
                mouth.reply(id, &Msg::Vote(Box::new(vote)));
            });
        }
        Msg::Gossip(gossip) => gossip::hear(controller, &gossip),
        Msg::Sheet(sheet) => {
            if controller.sheets.lock().expect("sheets").take(&sheet) {
                platform::prune(controller, &sheet);
                controller.push();
            }
        }
        Msg::Order(order) => {
            let controller = controller.clone();
            tokio::spawn(async move {
                let result = orders::relayed(&controller, *order).await;
                mouth.reply(id, &Msg::OrderDone(Box::new(result)));
            });
        }
        Msg::Advance(advance) => config_orders::advance(controller, &advance),
        Msg::Learn(pair) => controller.learn(&pair.0, &pair.1, false),
        Msg::Doubt(doubt) => controller.doubt(&doubt.0, doubt.1),
        Msg::Follow(follow) => controller.follow(mouth, id, *follow),
        Msg::Query(query) => {
            let reply = find(controller, query.0, &query.1, now);
            mouth.reply(id, &reply);
        }
        Msg::Seek(seek) => {
            let reply = seek_out(controller, &seek, now);
            mouth.reply(id, &reply);
        }
        Msg::Note(note) => {
            register(controller, note.epoch, &note.list, now);
            let mut catalog = controller.catalog.lock().expect("catalog");
            note.told.iter().take(KEYS).for_each(|told| catalog.gauge.note(told, now));
        }
        Msg::Spend(spend) => {
            let spent = quota::spend(controller, &spend);
            mouth.reply(id, &Msg::Spent(Box::new(spent)));
        }
        Msg::Samples(samples) => take_samples(controller, *samples),
        Msg::Usage(_) => {
            let usage = quota::usage(controller);
            mouth.reply(id, &Msg::Used(Box::new(usage)));
        }
        Msg::Versions(list) => rules::hear(controller, *list),
        Msg::Settle(ask) => {
            let reply = controller.settled(&ask.0, ask.1, now);
            mouth.reply(id, &Msg::Settled(Box::new(reply)));
        }
        Msg::Register(list) => register(controller, list.0, &list.1, now),
        Msg::Flush(flush) => {
            let mut catalog = controller.catalog.lock().expect("catalog");
            let drops = if catalog.epoch == flush.0 { mem::take(&mut catalog.drops) } else { flush.1 };
            mouth.reply(id, &Msg::Flushed(Box::new((catalog.epoch, drops))));
        }
        _ => {
            mouth.reply(id, &Msg::No(Box::new(1)));
        }
    }
}

/// What one message may ask for.
const KEYS: usize = 256;

fn seek_out(controller: &Controller, seek: &Seek, now: u64) -> Msg {
    let catalog = controller.catalog.lock().expect("catalog");
    let (mut owners, mut list) = (Vec::new(), Vec::new());
    if catalog.epoch == seek.epoch && seek.epoch != 0 {
        owners = seek.keys.iter().take(KEYS).map(|key| catalog.prefix_index.find(*key, now)).collect::<Vec<_>>();
        let mut names: Vec<u64> = owners.iter().flatten().map(|id| clock::hash(id.as_bytes())).collect();
        names.extend(seek.sample.iter().take(KEYS));
        names.sort_unstable();
        names.dedup();
        list = catalog.gauge.tell(names.into_iter(), now);
    }
    Msg::Sought(Box::new(Sought { epoch: catalog.epoch, owners, list }))
}

fn find(controller: &Controller, epoch: u64, keys: &[u64], now: u64) -> Msg {
    let catalog = controller.catalog.lock().expect("catalog");
    if catalog.epoch != epoch || epoch == 0 {
        return Msg::Found(Box::new((catalog.epoch, Vec::new())));
    }
    let list = keys.iter().take(KEYS).map(|key| catalog.prefix_index.find(*key, now)).collect();
    Msg::Found(Box::new((epoch, list)))
}

fn register(controller: &Controller, epoch: u64, list: &[Record], now: u64) {
    let mut catalog = controller.catalog.lock().expect("catalog");
    if catalog.epoch != epoch || epoch == 0 {
        catalog.drops += list.len() as u32;
        return;
    }
    for record in list {
        catalog.prefix_index.register(record.key, &record.engine, now);
    }
}
