//! Execution of operators' requests. One controller is home to a key and carries out what concerns it, so that controllers
//! do not supersede each other; the others relay to it, and carry a request out themselves when it does not answer.

use std::sync::Arc;

use consensus::{quorum, Decision};
use kernel::clock;
use protocol::message::{Message, RELAYED_OPERATOR_REQUESTS, VERSIONED_EVACUATIONS};
use protocol::operator_request::{OperatorRequest, OperatorResponse};

use crate::config::execution;
use crate::controller::Controller;
use crate::event::EVACUATION;
use crate::replication::committed_state::{EvacuationRecord, CONFIG_KEY, EVACUATION_PREFIX};
use crate::replication::reconfiguration;

/// How long the home of a key may take before a request is carried out here.
const RELAY_TIMEOUT_MS: u64 = 500;
/// How long an evacuation may take: a request without a version must not be carried out after its sender gave up, sent
/// it to another controller, and then took it back there. Below a second, after which callers give up.
pub const EVACUATION_TIMEOUT_MS: u64 = 900;
/// The shortest and the longest time for other requests.
const MIN_REQUEST_TIMEOUT_MS: u64 = 800;
const MAX_REQUEST_TIMEOUT_MS: u64 = 2500;

/// Returns how long a request may take before its outcome is reported as unknown, in ms.
pub fn request_timeout_ms(controller: &Controller) -> u64 {
    (controller.settings.bounds.ack_ms / 2).clamp(MIN_REQUEST_TIMEOUT_MS, MAX_REQUEST_TIMEOUT_MS)
}

/// Carries a request out, at its home where that answers in time.
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

/// Carries out a request that another controller relayed. It is not relayed again.
pub async fn execute_relayed(controller: &Arc<Controller>, request: OperatorRequest) -> OperatorResponse {
    if controller.peers.requests_may_be_stale() {
        return OperatorResponse::OutcomeUnknown;
    }
    execute(controller, &request, 0).await
}

fn evacuation_key(zone: &str) -> String {
    format!("{EVACUATION_PREFIX}{zone}")
}

/// Returns the key that a request concerns.
fn key(request: &OperatorRequest) -> String {
    match request {
        OperatorRequest::Change(_) | OperatorRequest::ReadConfig => CONFIG_KEY.into(),
        OperatorRequest::Evacuate { zone, .. } | OperatorRequest::EvacuateFrom { zone, .. } => evacuation_key(zone),
    }
}

/// Returns the controller that is home to a key, if that is another one: the first live member in the agreed order. It
/// has a disk and votes itself.
fn home(controller: &Controller, key: &str) -> Option<String> {
    let now = clock::now();
    let membership = controller.replica.membership();
    let is_shutting_down = controller.is_shutting_down();
    controller.peers.read(|view| {
        let first = reconfiguration::first_member(&membership, view, is_shutting_down, key, now)?;
        let takes_requests =
            view.controllers.get(&first).is_some_and(|peer| peer.protocol_version >= RELAYED_OPERATOR_REQUESTS);
        takes_requests.then_some(first)
    })
}

/// Returns where a caller had better send a request: to the home of its key, from a controller that is no member of the
/// core. Such a controller may have a slow link, and would only pass request and response on.
pub fn redirect_address(controller: &Controller, request: &OperatorRequest) -> Option<String> {
    if quorum::is_member(&controller.replica.membership(), controller.own_ip()) {
        return None;
    }
    let own = controller.settings.bind_addresses.control_plane.as_deref()?;
    control_address(own, &home(controller, &key(request))?)
}

/// Returns the address of the operators' interface of another controller: ports are the same on all machines.
pub fn control_address(own: &str, peer: &str) -> Option<String> {
    let (_, port) = own.rsplit_once(':')?;
    Some(format!("{peer}:{port}"))
}

/// Relays a request to the home of its key. Returns `None` if it is to be carried out here.
async fn relay(controller: &Arc<Controller>, request: &OperatorRequest) -> Option<OperatorResponse> {
    let home = home(controller, &key(request))?;
    let protocol_version = controller.peers.protocol_version(&home);
    let message = Message::OperatorRequest(Box::new(relayed_form(controller, request, protocol_version)));
    match controller.peers.consensus_client(&home).call(message, RELAY_TIMEOUT_MS).await {
        Some(Message::OperatorResponse(response)) if *response != OperatorResponse::OutcomeUnknown => Some(*response),
        _ => None,
    }
}

/// Returns a request as it goes to a controller of this protocol version. It may arrive late, after it was carried out
/// here and then taken back: so an evacuation names the version of the zone's evacuation that it builds on.
fn relayed_form(controller: &Controller, request: &OperatorRequest, protocol_version: u64) -> OperatorRequest {
    match request {
        OperatorRequest::Evacuate { zone, on } if protocol_version >= VERSIONED_EVACUATIONS => {
            let version = controller.committed.evacuation_version(zone);
            OperatorRequest::EvacuateFrom { zone: zone.clone(), on: *on, version }
        }
        _ => request.clone(),
    }
}

/// Carries a request out here. `elapsed_ms` is how long it took so far.
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

/// Decides about beginning or withdrawing an evacuation on top of the committed value, or only on top of one version of
/// it. Answers with `done` once the zone is so, and with `unknown` where another version is committed or the value
/// cannot be read.
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
        kernel::log_event!(EVACUATION, "zone" => zone, "on" => on);
    }
    response
}

#[cfg(test)]
#[path = "operator_requests_tests.rs"]
mod tests;
