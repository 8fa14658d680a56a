//! What peers send: one place that takes each message to its part.

use std::mem;
use std::sync::Arc;

use kernel::{clock, hashing};
use protocol::link::Responder;
use protocol::message::{Message, PrefixLookup, PrefixLookupResponse, Record};

use crate::controller::Controller;
use crate::quota;
use crate::versions::take_samples;
use crate::{config_orders, gossip, orders, platform, rules};

pub fn take(controller: &Arc<Controller>, mouth: Responder, id: u64, msg: Message) {
    let now = clock::now();
    match msg {
        Message::ConsensusRequest(poll) => {
            controller.adopt(&poll.membership);
            controller.vote(*poll, move |vote| {
                mouth.reply(id, &Message::ConsensusResponse(Box::new(vote)));
            });
        }
        Message::Gossip(gossip) => gossip::hear(controller, &gossip),
        Message::EndpointList(sheet) => {
            if controller.sheets.lock().expect("sheets").take(&sheet) {
                platform::prune(controller, &sheet);
                controller.push();
            }
        }
        Message::OperatorRequest(order) => {
            let controller = controller.clone();
            tokio::spawn(async move {
                let result = orders::relayed(&controller, *order).await;
                mouth.reply(id, &Message::OperatorResponse(Box::new(result)));
            });
        }
        Message::CommittedDelta(advance) => config_orders::advance(controller, &advance),
        Message::Committed(pair) => controller.learn(&pair.0, &pair.1, false),
        Message::SuspectEngine(doubt) => controller.doubt(&doubt.0, doubt.1),
        Message::SubscriptionRenewal(follow) => controller.follow(mouth, id, *follow),
        Message::OwnerQuery(query) => {
            let reply = find(controller, query.0, &query.1, now);
            mouth.reply(id, &reply);
        }
        Message::PrefixLookup(seek) => {
            let reply = seek_out(controller, &seek, now);
            mouth.reply(id, &reply);
        }
        Message::PrefixRegistration(note) => {
            register(controller, note.epoch, &note.owners, now);
            let mut catalog = controller.catalog.lock().expect("catalog");
            note.loads.iter().take(KEYS).for_each(|told| catalog.gauge.note(told, now));
        }
        Message::TokenRequest(spend) => {
            let spent = quota::spend(controller, &spend);
            mouth.reply(id, &Message::TokenResponse(Box::new(spent)));
        }
        Message::Samples(samples) => take_samples(controller, *samples),
        Message::UsageRequest(_) => {
            let usage = quota::usage(controller);
            mouth.reply(id, &Message::UsageResponse(Box::new(usage)));
        }
        Message::WeightVersions(list) => rules::hear(controller, *list),
        Message::CountConfirmations(ask) => {
            let reply = controller.settled(&ask.0, ask.1, now);
            mouth.reply(id, &Message::ConfirmationCount(Box::new(reply)));
        }
        Message::RegisterOwners(list) => register(controller, list.0, &list.1, now),
        Message::Flush(flush) => {
            let mut catalog = controller.catalog.lock().expect("catalog");
            let drops = if catalog.epoch == flush.0 { mem::take(&mut catalog.drops) } else { flush.1 };
            mouth.reply(id, &Message::Flushed(Box::new((catalog.epoch, drops))));
        }
        _ => {
            mouth.reply(id, &Message::Rejected(Box::new(1)));
        }
    }
}

/// What one message may ask for.
const KEYS: usize = 256;

fn seek_out(controller: &Controller, seek: &PrefixLookup, now: u64) -> Message {
    let catalog = controller.catalog.lock().expect("catalog");
    let (mut owners, mut list) = (Vec::new(), Vec::new());
    if catalog.epoch == seek.epoch && seek.epoch != 0 {
        owners = seek.keys.iter().take(KEYS).map(|key| catalog.prefix_index.find(*key, now)).collect::<Vec<_>>();
        let mut names: Vec<u64> = owners.iter().flatten().map(|id| hashing::hash(id.as_bytes())).collect();
        names.extend(seek.sample.iter().take(KEYS));
        names.sort_unstable();
        names.dedup();
        list = catalog.gauge.tell(names.into_iter(), now);
    }
    Message::PrefixLookupResponse(Box::new(PrefixLookupResponse { epoch: catalog.epoch, owners, list }))
}

fn find(controller: &Controller, epoch: u64, keys: &[u64], now: u64) -> Message {
    let catalog = controller.catalog.lock().expect("catalog");
    if catalog.epoch != epoch || epoch == 0 {
        return Message::Owners(Box::new((catalog.epoch, Vec::new())));
    }
    let list = keys.iter().take(KEYS).map(|key| catalog.prefix_index.find(*key, now)).collect();
    Message::Owners(Box::new((epoch, list)))
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
