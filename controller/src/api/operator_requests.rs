//! Execution of operators' requests. One controller coordinates each key and executes its requests, so that controllers
//! do not supersede each other's proposals. The others relay to it, and execute a request themselves if it does not
//! respond.

use std::sync::Arc;

use consensus::{quorum, Decision};
use kernel::clock;
use protocol::message::{Message, RELAYED_OPERATOR_REQUESTS, VERSIONED_EVACUATIONS};
use protocol::operator_request::{OperatorRequest, OperatorResponse};

use crate::config::execution;
use crate::controller::Controller;
use crate::event::EVACUATION_COMMITTED;
use crate::replication::committed_state::{EvacuationRecord, CONFIG_KEY, EVACUATION_PREFIX};
use crate::replication::reconfiguration;

/// The timeout of a request relayed to the coordinator of a key, after which the request is executed here, in ms.
const RELAY_TIMEOUT_MS: u64 = 500;
/// The timeout of an evacuation, in ms. It is less than the second after which callers give up: a request without a
/// version must not be executed after its sender has started the evacuation at another controller and ended it again.
pub const EVACUATION_TIMEOUT_MS: u64 = 900;
/// The bounds of the timeout of other requests, in ms.
const MIN_REQUEST_TIMEOUT_MS: u64 = 800;
const MAX_REQUEST_TIMEOUT_MS: u64 = 2500;

/// Returns how long a request may take before its outcome is reported as unknown, in ms.
pub fn request_timeout_ms(controller: &Controller) -> u64 {
    (controller.settings.bounds.ack_ms / 2).clamp(MIN_REQUEST_TIMEOUT_MS, MAX_REQUEST_TIMEOUT_MS)
}

/// Executes a request, at the coordinator of its key if that responds in time.
pub async fn submit(controller: &Arc<Controller>, request: OperatorRequest) -> OperatorResponse {
    if controller.peers.requests_may_be_stale() {
        return OperatorResponse::OutcomeUnknown;
    }
    let started_at = clock::now();
    if let Some(response) = relay(controller, &request).await {
        return response;
    }
    let elapsed_ms = clock::now() - started_at;
    execute(controller, &request, elapsed_ms).await
}

/// Executes a request that another controller relayed. It is not relayed again.
pub async fn execute_relayed(controller: &Arc<Controller>, request: OperatorRequest) -> OperatorResponse {
    if controller.peers.requests_may_be_stale() {
        return OperatorResponse::OutcomeUnknown;
    }
    execute(controller, &request, 0).await
}

fn evacuation_key(zone: &str) -> String {
    format!("{EVACUATION_PREFIX}{zone}")
}

/// Returns the key that a request reads or changes.
fn request_key(request: &OperatorRequest) -> String {
    match request {
        OperatorRequest::Change(_) | OperatorRequest::ReadConfig => CONFIG_KEY.into(),
        OperatorRequest::Evacuate { zone, .. } | OperatorRequest::EvacuateFrom { zone, .. } => evacuation_key(zone),
    }
}

/// Returns the controller that coordinates a key, if that is another one: the first live member in the agreed order. It
/// has a disk and a vote.
fn coordinator(controller: &Controller, key: &str) -> Option<String> {
    let now = clock::now();
    let membership = controller.replica.membership();
    let is_shutting_down = controller.is_shutting_down();
    controller.peers.read(|view| {
        let first = reconfiguration::first_member(&membership, view, is_shutting_down, key, now)?;
        let accepts_relayed =
            view.controllers.get(&first).is_some_and(|peer| peer.protocol_version >= RELAYED_OPERATOR_REQUESTS);
        accepts_relayed.then_some(first)
    })
}

/// Returns the address to which a caller is redirected. A controller that is no core member redirects to the
/// coordinator of the key: it may have a slow link and would only forward request and response.
pub fn redirect_address(controller: &Controller, request: &OperatorRequest) -> Option<String> {
    if quorum::is_member(&controller.replica.membership(), controller.own_ip()) {
        return None;
    }
    let own = controller.settings.bind_addresses.control_plane.as_deref()?;
    control_address(own, &coordinator(controller, &request_key(request))?)
}

/// Returns the address of another controller's operators' interface, which has the same port on all machines.
pub fn control_address(own: &str, peer: &str) -> Option<String> {
    let (_, port) = own.rsplit_once(':')?;
    Some(format!("{peer}:{port}"))
}

/// Relays a request to the coordinator of its key. Returns `None` if it is to be executed here.
async fn relay(controller: &Arc<Controller>, request: &OperatorRequest) -> Option<OperatorResponse> {
    let coordinator = coordinator(controller, &request_key(request))?;
    let protocol_version = controller.peers.protocol_version(&coordinator);
    let message = Message::OperatorRequest(Box::new(relayed_form(controller, request, protocol_version)));
    match controller.peers.consensus_client(&coordinator).call(message, RELAY_TIMEOUT_MS).await {
        Some(Message::OperatorResponse(response)) if *response != OperatorResponse::OutcomeUnknown => Some(*response),
        _ => None,
    }
}

/// Returns a request as it is relayed to a controller of this protocol version. It may arrive late, after the
/// evacuation was started here and ended again, so it states the version of the zone's evacuation that it builds on.
fn relayed_form(controller: &Controller, request: &OperatorRequest, protocol_version: u64) -> OperatorRequest {
    match request {
        OperatorRequest::Evacuate { zone, on } if protocol_version >= VERSIONED_EVACUATIONS => {
            let version = controller.committed.evacuation_version(zone);
            OperatorRequest::EvacuateFrom { zone: zone.clone(), on: *on, version }
        }
        _ => request.clone(),
    }
}

/// Executes a request here. `elapsed_ms` is the time already spent on it.
async fn execute(controller: &Arc<Controller>, request: &OperatorRequest, elapsed_ms: u64) -> OperatorResponse {
    match request {
        OperatorRequest::Change(change) => execution::execute(controller, change).await,
        OperatorRequest::Evacuate { zone, on } => {
            evacuate(controller, zone, *on, None, EVACUATION_TIMEOUT_MS.saturating_sub(elapsed_ms)).await
        }
        OperatorRequest::EvacuateFrom { zone, on, version } => {
            evacuate(controller, zone, *on, Some(*version), EVACUATION_TIMEOUT_MS).await
        }
        OperatorRequest::ReadConfig => read_config(controller).await,
    }
}

async fn read_config(controller: &Controller) -> OperatorResponse {
    let decide = |body: &[u8]| Decision::Answer(OperatorResponse::Found { body: body.to_vec() });
    let result = controller.change(CONFIG_KEY, request_timeout_ms(controller), decide).await;
    result.unwrap_or(OperatorResponse::OutcomeUnknown)
}

/// Decides about starting or ending an evacuation on top of the committed value; with `from`, only on top of that
/// version. Answers `done` if the zone already has the requested state, and `unknown` if another version is committed
/// or the value cannot be decoded.
pub fn decide_evacuation<T>(on: bool, from: Option<u64>, body: &[u8], done: T, unknown: T) -> Decision<T> {
    let Some(stored) = EvacuationRecord::open(body) else { return Decision::Answer(unknown) };
    if stored.evacuated == on {
        return Decision::Answer(done);
    }
    if from.is_some_and(|version| version != stored.version) {
        return Decision::Answer(unknown);
    }
    Decision::Write(EvacuationRecord { version: stored.version + 1, evacuated: on }.to_bytes(), done)
}

async fn evacuate(
    controller: &Arc<Controller>,
    zone: &str,
    on: bool,
    from: Option<u64>,
    timeout_ms: u64,
) -> OperatorResponse {
    let decide =
        |body: &[u8]| decide_evacuation(on, from, body, OperatorResponse::Done, OperatorResponse::OutcomeUnknown);
    let result = controller.change(&evacuation_key(zone), timeout_ms, decide).await;
    let response = result.unwrap_or(OperatorResponse::OutcomeUnknown);
    if response == OperatorResponse::Done {
        kernel::log_event!(EVACUATION_COMMITTED, "zone" => zone, "on" => on);
    }
    response
}

#[cfg(test)]
#[path = "operator_requests_tests.rs"]
mod tests;
