//! Operators' orders. One controller is home to a key and carries out what concerns it, so that controllers do not
//! outbid each other; the others relay to it, and carry an order out themselves when it does not answer.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use consensus::{quorum, Decision};
use kernel::clock;
use protocol::message::{Message, RELAYED_ORDERS, VERSIONED_EVACUATIONS};
use protocol::operator_request::{OperatorRequest, OperatorResponse};

use crate::config::execution;
use crate::controller::Controller;
use crate::event::EVACUATION;
use crate::replication::committed_state::{Closed, CLOSED, CONFIG};
use crate::replication::reconfiguration;

/// How long the home of a key may take before an order is carried out here.
const RELAY_MS: u64 = 500;
/// How long an evacuation may take: an order without a version must not be carried out after its sender gave
/// up, sent it to another controller, and then took it back there. Below a second, after which callers give up.
pub const EVACUATE_MS: u64 = 900;

/// How long an order on the configuration may take before its outcome is told to be unclear.
pub fn wait_ms(controller: &Controller) -> u64 {
    (controller.settings.bounds.ack_ms / 2).clamp(800, 2500)
}

/// Carries an order out, at its home where that answers in time.
pub async fn submit(controller: &Arc<Controller>, order: OperatorRequest) -> OperatorResponse {
    if controller.peers.requests_may_be_stale() {
        return OperatorResponse::OutcomeUnknown;
    }
    let begun = clock::now();
    if let Some(result) = relay(controller, &order).await {
        return result;
    }
    let spent = clock::now() - begun;
    execute(controller, &order, spent).await
}

/// An order that another controller relayed. It is not relayed again.
pub async fn relayed(controller: &Arc<Controller>, order: OperatorRequest) -> OperatorResponse {
    if controller.peers.requests_may_be_stale() {
        return OperatorResponse::OutcomeUnknown;
    }
    execute(controller, &order, 0).await
}

fn key(order: &OperatorRequest) -> String {
    match order {
        OperatorRequest::Change(_) | OperatorRequest::ReadConfig => CONFIG.into(),
        OperatorRequest::Evacuate { zone, .. } | OperatorRequest::EvacuateFrom { zone, .. } => {
            format!("{}{zone}", CLOSED)
        }
    }
}

/// The controller that is home to a key, if that is another one: the first live member in the agreed order. It
/// has a disk and votes itself.
fn home(controller: &Controller, key: &str) -> Option<String> {
    let now = clock::now();
    let core = controller.replica.membership();
    let leaving = controller.leaving.load(Ordering::Relaxed);
    controller.peers.read(|view| {
        let first = reconfiguration::first_member(&core, view, leaving, key, now)?;
        let takes_orders = view.controllers.get(&first).is_some_and(|peer| peer.protocol_version >= RELAYED_ORDERS);
        takes_orders.then_some(first)
    })
}

/// Where a caller had better send an order: to the key's home, from a controller that is no member of the core. Such
/// a one may have a slow link, and would only pass both ways on.
pub fn better_place(controller: &Controller, order: &OperatorRequest) -> Option<String> {
    if quorum::is_member(&controller.replica.membership(), controller.me()) {
        return None;
    }
    let own = controller.settings.bind_addresses.control_plane.as_deref()?;
    control_address(own, &home(controller, &key(order))?)
}

/// The address at which another controller serves control: ports are alike on all machines.
fn control_address(own: &str, peer: &str) -> Option<String> {
    let (_, port) = own.rsplit_once(':')?;
    Some(format!("{peer}:{port}"))
}

/// None: it is to be carried out here.
async fn relay(controller: &Arc<Controller>, order: &OperatorRequest) -> Option<OperatorResponse> {
    let home = home(controller, &key(order))?;
    let reads = controller.peers.protocol_version(&home);
    let message = Message::OperatorRequest(Box::new(as_relayed(controller, order, reads)));
    match controller.peers.client(&home).call(message, RELAY_MS).await {
        Some(Message::OperatorResponse(result)) if *result != OperatorResponse::OutcomeUnknown => Some(*result),
        _ => None,
    }
}

/// An order as it goes to a controller that reads messages of this version. It may arrive late, after it was carried out here
/// and then taken back: an evacuation names the version of the zone's that it is made on top of.
fn as_relayed(controller: &Controller, order: &OperatorRequest, reads: u64) -> OperatorRequest {
    match order {
        OperatorRequest::Evacuate { zone, on } if reads >= VERSIONED_EVACUATIONS => {
            let version = controller.committed.evacuation_version(zone);
            OperatorRequest::EvacuateFrom { zone: zone.clone(), on: *on, version }
        }
        _ => order.clone(),
    }
}

async fn execute(controller: &Arc<Controller>, order: &OperatorRequest, spent: u64) -> OperatorResponse {
    match order {
        OperatorRequest::Change(change) => execution::change(controller, change).await,
        OperatorRequest::Evacuate { zone, on } => {
            evacuate(controller, zone, *on, None, EVACUATE_MS.saturating_sub(spent)).await
        }
        OperatorRequest::EvacuateFrom { zone, on, version } => {
            evacuate(controller, zone, *on, Some(*version), EVACUATE_MS).await
        }
        OperatorRequest::ReadConfig => {
            let judge = |body: &[u8]| Decision::Answer(OperatorResponse::Found { body: body.to_vec() });
            controller.change(CONFIG, wait_ms(controller), judge).await.unwrap_or(OperatorResponse::OutcomeUnknown)
        }
    }
}

/// Begins or withdraws an evacuation on top of what is committed, or only on top of a version of it. Answers with `done` once
/// it is so, and with `unclear` where another version is in place or what is committed cannot be read.
pub fn judge_evacuation<T>(on: bool, from: Option<u64>, body: &[u8], done: T, unclear: T) -> Decision<T> {
    let Some(held) = Closed::open(body) else { return Decision::Answer(unclear) };
    if held.on == on {
        return Decision::Answer(done);
    }
    if from.is_some_and(|version| version != held.version) {
        return Decision::Answer(unclear);
    }
    Decision::Write(Closed { version: held.version + 1, on }.to_bytes(), done)
}

async fn evacuate(
    controller: &Arc<Controller>,
    zone: &str,
    on: bool,
    from: Option<u64>,
    wait_ms: u64,
) -> OperatorResponse {
    let key = format!("{}{zone}", CLOSED);
    let judge =
        |body: &[u8]| judge_evacuation(on, from, body, OperatorResponse::Done, OperatorResponse::OutcomeUnknown);
    let result = controller.change(&key, wait_ms, judge).await.unwrap_or(OperatorResponse::OutcomeUnknown);
    if result == OperatorResponse::Done {
        kernel::log_event!(EVACUATION, "zone" => zone, "on" => on);
    }
    result
}

#[cfg(test)]
#[path = "operator_requests_tests.rs"]
mod tests;
