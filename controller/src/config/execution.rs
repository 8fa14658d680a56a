//! Execution of changes of the configuration.
//!
//! A change is validated against the committed value, committed, and published to the other controllers: as a delta to
//! those that can derive the same value from it, else as the full value.

use std::sync::Arc;

use consensus::Decision;
use protocol::config::ConfigDocument;
use protocol::message::{Entry, Message, Position, DIGESTED_BODIES, RELAYED_OPERATOR_REQUESTS};
use protocol::operator_request::{CommittedDelta, ConfigChange, OperatorResponse};

use crate::api::operator_requests;
use crate::config::body::{body_digest, BodyFormat, StoredConfig};
use crate::config::change::{self, ChangeDecision, ParsedChange};
use crate::controller::Controller;
use crate::event;
use crate::replication::committed_state::CONFIG_KEY;
use crate::replication::registers::CompletedChange;

/// The result of a change on top of one committed value.
enum ChangeResult {
    /// Nothing is written; this response is returned.
    Response(OperatorResponse),
    /// A new value is written.
    Transition(Transition),
}

/// The transition from one committed value to the next. It is kept with the write that it was prepared for, so that a
/// published delta never includes the effects of a concurrent change.
struct Transition {
    /// The digest of the previous value.
    digest_before: u64,
    format_before: BodyFormat,
    format: BodyFormat,
    /// The configuration after the change.
    config: Arc<ConfigDocument>,
}

/// Executes an operator's change.
pub async fn execute(controller: &Arc<Controller>, change: &ConfigChange) -> OperatorResponse {
    let read_by_all = controller.body_format();
    let known = controller.committed.current_config();
    let parsed = ParsedChange::parse(change);
    let decide = |body: &[u8]| decide(&parsed, body, known.as_deref(), read_by_all);
    let timeout_ms = operator_requests::request_timeout_ms(controller);
    let outcome = controller.change_unannounced(CONFIG_KEY, timeout_ms, decide).await;
    let Some(CompletedChange { answer: result, ownership: owner, .. }) = outcome else {
        return OperatorResponse::OutcomeUnknown;
    };
    match result {
        ChangeResult::Transition(transition) => {
            publish(controller, &owner.entry, change, &transition);
            log_committed(change, transition.config.revision());
            OperatorResponse::Done
        }
        ChangeResult::Response(response) => {
            if !owner.is_blank() {
                publish_unchanged(controller, CONFIG_KEY, &owner.entry);
            }
            if response == OperatorResponse::Done {
                let stored = StoredConfig::decode(&owner.entry.body);
                log_committed(change, stored.map_or(0, |stored| stored.revision));
            }
            response
        }
    }
}

fn log_committed(change: &ConfigChange, revision: u64) {
    kernel::log_event!(event::CONFIG_COMMITTED, "base" => change.base, "revision" => revision);
}

fn decide(
    parsed: &ParsedChange,
    body: &[u8],
    known: Option<&ConfigDocument>,
    read_by_all: BodyFormat,
) -> Decision<ChangeResult> {
    let respond = |response| Decision::Answer(ChangeResult::Response(response));
    let Some(stored) = StoredConfig::decode(body) else { return respond(OperatorResponse::OutcomeUnknown) };
    let format_before = BodyFormat::of(body);
    // Never an older format than before: the version of a member that has been away since this controller started is
    // unknown here, and uncompressed values would needlessly load the links for as long as it stays away.
    let format = read_by_all.max(format_before);
    match parsed.decide(&stored, known, format) {
        Ok(ChangeDecision::AlreadyCommitted) => respond(OperatorResponse::Done),
        Ok(ChangeDecision::OutcomeUnknown) => respond(OperatorResponse::OutcomeUnknown),
        Ok(ChangeDecision::Commit(next)) => {
            let digest_before = body_digest(body);
            let transition = Transition { digest_before, format_before, format, config: next.config };
            Decision::Write(next.stored.encode(format), ChangeResult::Transition(transition))
        }
        Err(error) => respond(OperatorResponse::Rejected { status: error.status(), reason: error.to_string() }),
    }
}

/// Records a committed configuration here and publishes it to the other controllers.
fn publish(controller: &Controller, entry: &Entry, change: &ConfigChange, transition: &Transition) {
    controller.learn_config(entry, transition.config.clone());
    let delta = delta_of(entry, change, transition);
    send(controller, entry, delta, |protocol_version| can_apply(protocol_version, change, transition));
}

fn delta_of(entry: &Entry, change: &ConfigChange, transition: &Transition) -> CommittedDelta {
    let Position { proposal_number, index } = entry.position();
    CommittedDelta {
        key: CONFIG_KEY.into(),
        proposal_number,
        index,
        before: transition.digest_before,
        after: body_digest(&entry.body),
        change: Some(change.clone()),
        revision: transition.config.revision(),
        pack: transition.format >= BodyFormat::Compressed,
    }
}

/// Returns whether a controller of this protocol version can derive the value after the change from the one before it.
/// Version 3 formats the text of a patched configuration differently, and a change to the new layout is not derivable.
fn can_apply(protocol_version: u64, change: &ConfigChange, transition: &Transition) -> bool {
    let formats_same_text = !change.partial || protocol_version >= DIGESTED_BODIES;
    formats_same_text && transition.format.has_same_layout(transition.format_before)
}

/// Sends the delta to the controllers that can apply it, and the full value to the others.
fn send(controller: &Controller, entry: &Entry, delta: CommittedDelta, can_apply: impl Fn(u64) -> bool) {
    let full = Message::Committed(Box::new((delta.key.clone(), entry.clone())));
    let delta = Message::CommittedDelta(Box::new(delta));
    for peer in controller.known_peers() {
        let protocol_version = controller.peers.protocol_version(&peer);
        let accepts_delta = protocol_version >= RELAYED_OPERATOR_REQUESTS && can_apply(protocol_version);
        controller.peers.consensus_client(&peer).notify(if accepts_delta { delta.clone() } else { full.clone() });
    }
}

/// Publishes that the same value was committed again, by a read or under a changed membership: controllers that have
/// the value need only its new position.
pub fn publish_unchanged(controller: &Controller, key: &str, entry: &Entry) {
    controller.learn(key, entry, false);
    let Position { proposal_number, index } = entry.position();
    let digest = body_digest(&entry.body);
    let delta = CommittedDelta {
        key: key.into(),
        proposal_number,
        index,
        before: digest,
        after: digest,
        change: None,
        revision: 0,
        pack: false,
    };
    send(controller, entry, delta, |_| true);
}

/// Applies a delta that another controller committed. A delta that is not applicable is ignored: the next confirmation
/// fetches the full value.
pub fn apply_delta(controller: &Controller, delta: &CommittedDelta) {
    let (stored, known) = controller.committed.entry_and_config(&delta.key);
    let position = Position { proposal_number: delta.proposal_number, index: delta.index };
    let is_older = |entry: &Entry| entry.position() < position;
    let Some(stored) = stored.filter(is_older) else { return };
    let entry = |body| Entry { proposal_number: delta.proposal_number, index: delta.index, body };
    match next_body(&stored.body, known.as_deref(), delta) {
        Some((body, Some(config))) => controller.learn_config(&entry(body), config),
        Some((body, None)) => controller.learn(&delta.key, &entry(body), false),
        None => {}
    }
}

/// Returns the value after a delta, if it is the committed one, and its configuration if that changed. `known` is the
/// configuration in the previous value, if it is already parsed.
fn next_body(
    body: &[u8],
    known: Option<&ConfigDocument>,
    delta: &CommittedDelta,
) -> Option<(Vec<u8>, Option<Arc<ConfigDocument>>)> {
    if body_digest(body) != delta.before {
        return None;
    }
    let Some(change) = &delta.change else { return Some((body.to_vec(), None)) };
    let format = match BodyFormat::of(body) {
        BodyFormat::Digested => BodyFormat::Digested,
        _ if delta.pack => BodyFormat::Compressed,
        _ => BodyFormat::Plain,
    };
    let next = change::reapply(change, delta.revision, &StoredConfig::decode(body)?, known, format)?;
    let body = next.stored.encode(format);
    (body_digest(&body) == delta.after).then_some((body, Some(next.config)))
}

#[cfg(test)]
#[path = "execution_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "timing_tests.rs"]
mod timing_tests;
