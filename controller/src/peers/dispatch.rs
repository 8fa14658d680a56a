//! What peers send: one place that takes each message to its part.

use std::sync::Arc;

use kernel::clock;
use protocol::link::Responder;
use protocol::message::Message;

use crate::api::operator_requests;
use crate::config::execution;
use crate::controller::Controller;
use crate::delivery::limit_confirmations;
use crate::peers::gossip;
use crate::quota_shards;
use crate::rollout::version_rollouts::take_samples;

pub fn take(controller: &Arc<Controller>, mouth: Responder, id: u64, msg: Message) {
    let now = clock::now();
    match msg {
        Message::ConsensusRequest(poll) => {
            controller.replica.adopt_membership(&poll.membership);
            controller.replica.handle(*poll, move |vote| {
                mouth.reply(id, &Message::ConsensusResponse(Box::new(vote)));
            });
        }
        Message::Gossip(gossip) => gossip::hear(controller, &gossip),
        Message::EndpointList(sheet) => {
            if controller.engines.accept(&sheet) {
                controller.catalog.remove_draining(&sheet);
                controller.push();
            }
        }
        Message::OperatorRequest(order) => {
            let controller = controller.clone();
            tokio::spawn(async move {
                let result = operator_requests::relayed(&controller, *order).await;
                mouth.reply(id, &Message::OperatorResponse(Box::new(result)));
            });
        }
        Message::CommittedDelta(advance) => execution::advance(controller, &advance),
        Message::Committed(pair) => controller.learn(&pair.0, &pair.1, false),
        Message::SuspectEngine(doubt) => controller.doubt(&doubt.0, doubt.1),
        Message::SubscriptionRenewal(follow) => controller.follow(mouth, id, *follow),
        Message::OwnerQuery(query) => {
            let owners = controller.catalog.find_owners(query.0, &query.1, now);
            mouth.reply(id, &Message::Owners(Box::new(owners)));
        }
        Message::PrefixLookup(seek) => {
            let response = controller.catalog.look_up(&seek, now);
            mouth.reply(id, &Message::PrefixLookupResponse(Box::new(response)));
        }
        Message::PrefixRegistration(note) => {
            controller.catalog.register(note.epoch, &note.owners, now);
            controller.catalog.record_loads(&note.loads, now);
        }
        Message::TokenRequest(spend) => {
            let spent = quota_shards::spend(controller, &spend);
            mouth.reply(id, &Message::TokenResponse(Box::new(spent)));
        }
        Message::Samples(samples) => take_samples(controller, *samples),
        Message::UsageRequest(_) => {
            let usage = quota_shards::usage(controller);
            mouth.reply(id, &Message::UsageResponse(Box::new(usage)));
        }
        Message::WeightVersions(list) => limit_confirmations::hear(controller, *list),
        Message::CountConfirmations(ask) => {
            let reply = controller.settled(&ask.0, ask.1, now);
            mouth.reply(id, &Message::ConfirmationCount(Box::new(reply)));
        }
        Message::RegisterOwners(list) => controller.catalog.register(list.0, &list.1, now),
        Message::Flush(flush) => {
            let flushed = controller.catalog.flush(flush.0, flush.1);
            mouth.reply(id, &Message::Flushed(Box::new(flushed)));
        }
        _ => {
            mouth.reply(id, &Message::Rejected(Box::new(1)));
        }
    }
}
