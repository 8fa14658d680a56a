//! Dispatches messages from peers and routers to the components that handle them.

use std::sync::Arc;

use kernel::clock;
use protocol::link::Responder;
use protocol::message::Message;
use protocol::operator_request::OperatorRequest;
use protocol::tally::{PackedBatch, TallySync};
use protocol::version_samples::EngineSamples;

use crate::api::operator_requests;
use crate::config::execution;
use crate::controller::Controller;
use crate::delivery::limit_confirmations;
use crate::peers::gossip;
use crate::quota_shards;
use crate::rollout::sample_relay::record_samples;

/// Handles one message from a connection, and sends a response if the message expects one.
pub fn dispatch(controller: &Arc<Controller>, responder: Responder, id: u64, message: Message) {
    let now = clock::now();
    let respond = |response: Message| {
        responder.reply(id, &response);
    };
    match message {
        Message::ConsensusRequest(request) => {
            controller.replica.adopt_membership(&request.membership);
            controller.replica.handle(*request, move |response| {
                responder.reply(id, &Message::ConsensusResponse(Box::new(response)));
            });
        }
        Message::OperatorRequest(request) => execute_relayed(controller, responder, id, *request),
        Message::SubscriptionRenewal(renewal) => controller.renew_subscription(responder, id, *renewal),
        Message::OwnerQuery(query) => {
            let owners = controller.catalog.find_owners(query.0, &query.1, now);
            respond(Message::Owners(Box::new(owners)));
        }
        Message::PrefixLookup(lookup) => {
            let response = controller.catalog.look_up(&lookup, now);
            respond(Message::PrefixLookupResponse(Box::new(response)));
        }
        Message::TokenRequest(request) => {
            let response = quota_shards::acquire_token(controller, &request);
            respond(Message::TokenResponse(Box::new(response)));
        }
        Message::TallySync(sync) => receive_tallies(controller, responder, id, &sync, &[]),
        Message::PackedTallySync(packed) => receive_tallies(controller, responder, id, &packed.sync, &packed.packed),
        Message::MeteringQuery(query) => respond(controller.metering.answer(&query)),
        Message::MeteringTables(copies) => {
            respond(controller.metering.store_copies(&copies, controller.is_shutting_down()))
        }
        Message::UsageRequest(_) => {
            let usage = quota_shards::usage(controller);
            respond(Message::UsageResponse(Box::new(usage)));
        }
        Message::CountConfirmations(query) => {
            let count = controller.count_confirmations(&query.0, query.1, now);
            respond(Message::ConfirmationCount(Box::new(count)));
        }
        Message::Flush(flush) => {
            let flushed = controller.catalog.flush(flush.0, flush.1);
            respond(Message::Flushed(Box::new(flushed)));
        }
        notification => {
            if !handle_notification(controller, notification, now) {
                respond(Message::Rejected(Box::new(UNKNOWN_MESSAGE)));
            }
        }
    }
}

/// Hands tally entries to the replica, and responds once they are on disk.
fn receive_tallies(controller: &Controller, responder: Responder, id: u64, sync: &TallySync, packed: &[PackedBatch]) {
    controller.tallies.receive(sync, packed, clock::now(), move |answer| {
        responder.reply(id, &Message::TallySynced(Box::new(answer)));
    });
}

/// The reason code for a message of a kind that controllers do not handle.
const UNKNOWN_MESSAGE: u16 = 1;

/// Handles a message that expects no response. Returns `false` if controllers do not handle its kind.
fn handle_notification(controller: &Arc<Controller>, message: Message, now: u64) -> bool {
    match message {
        Message::Gossip(gossip) => gossip::receive(controller, &gossip),
        Message::EndpointList(list) => {
            if controller.engines.accept(&list, now) {
                controller.catalog.remove_draining(&list);
                controller.push_updates();
            }
        }
        Message::EndpointUpdate(update) => {
            if let Some(engines) = controller.engines.apply(&update, now) {
                controller.catalog.remove_leaving(&engines);
                controller.push_updates();
            }
        }
        Message::EngineUsage(usage) => controller.usage_reports.record(*usage, now),
        Message::CommittedDelta(delta) => execution::apply_delta(controller, &delta),
        Message::Committed(committed) => controller.learn(&committed.0, &committed.1, false),
        Message::SuspectEngine(suspicion) => controller.suspect_engine(&suspicion.0, suspicion.1),
        Message::PrefixRegistration(registration) => {
            controller.catalog.register(registration.epoch, &registration.owners, now);
            controller.catalog.record_loads(&registration.loads, now);
        }
        Message::RegisterOwners(list) => controller.catalog.register(list.0, &list.1, now),
        Message::Samples(samples) => record_samples(controller, EngineSamples::from_legacy(&samples)),
        Message::EngineSamples(samples) => record_samples(controller, *samples),
        Message::MeteringReport(report) => controller.metering.record(*report),
        Message::WeightVersions(list) => limit_confirmations::accept_weight_versions(controller, *list),
        _ => return false,
    }
    true
}

/// Executes an operator request that another controller relayed, in a separate task.
fn execute_relayed(controller: &Arc<Controller>, responder: Responder, id: u64, request: OperatorRequest) {
    let controller = controller.clone();
    tokio::spawn(async move {
        let response = operator_requests::execute_relayed(&controller, request).await;
        responder.reply(id, &Message::OperatorResponse(Box::new(response)));
    });
}
