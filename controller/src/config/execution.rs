//! Changes of the configuration carried out: judged on what is committed, written, and told to the other controllers as
//! the change where they can make it, else as the whole.

use std::sync::Arc;

use consensus::Decision;
use protocol::config::ConfigDocument;
use protocol::message::{Entry, Message, Position, DIGESTED_BODIES, RELAYED_ORDERS};
use protocol::operator_request::{CommittedDelta, ConfigChange, OperatorResponse};

use crate::api::operator_requests;
use crate::config::body::{body_digest, BodyForm, Held};
use crate::config::change::{self, Outcome, Proposed};
use crate::controller::Controller;
use crate::event;
use crate::replication::committed_state::CONFIG;

/// What a change was judged to be on top of one committed body.
enum Judgement {
    Answer(OperatorResponse),
    /// It is to be written.
    Step(Step),
}

/// From one committed body to the next. It goes with the write that it was made for, so that what is told of a change
/// never mixes with what another one did meanwhile.
struct Step {
    /// The digest of the body before, and its form.
    before: u64,
    form_before: BodyForm,
    form: BodyForm,
    checked: Arc<ConfigDocument>,
}

/// Carries out an operator's change.
pub async fn change(controller: &Arc<Controller>, change: &ConfigChange) -> OperatorResponse {
    let read_by_all = controller.body_form();
    let known = controller.committed.current_config();
    let proposed = Proposed::read(change);
    let judge = |body: &[u8]| judge(&proposed, body, known.as_deref(), read_by_all);
    let outcome = controller.change_untold(CONFIG, operator_requests::wait_ms(controller), judge).await;
    let Some((judgement, owner, _)) = outcome else { return OperatorResponse::OutcomeUnknown };
    match judgement {
        Judgement::Step(step) => {
            tell(controller, &owner.entry, change, &step);
            committed(change, step.checked.revision());
            OperatorResponse::Done
        }
        Judgement::Answer(result) => {
            if !owner.is_blank() {
                tell_again(controller, CONFIG, &owner.entry);
            }
            if result == OperatorResponse::Done {
                committed(change, Held::open(&owner.entry.body).map_or(0, |held| held.revision));
            }
            result
        }
    }
}

fn committed(change: &ConfigChange, revision: u64) {
    kernel::log_event!(event::CONFIG, "base" => change.base, "revision" => revision);
}

fn judge(
    proposed: &Proposed,
    body: &[u8],
    known: Option<&ConfigDocument>,
    read_by_all: BodyForm,
) -> Decision<Judgement> {
    let Some(held) = Held::open(body) else {
        return Decision::Answer(Judgement::Answer(OperatorResponse::OutcomeUnknown));
    };
    let form_before = BodyForm::of(body);
    // Never an older form than before: a member that is away since this controller started is unknown here, and long bodies
    // without need fill the links until it is never heard again.
    let form = read_by_all.max(form_before);
    match proposed.on(&held, known, form) {
        Ok(Outcome::TakenBefore) => Decision::Answer(Judgement::Answer(OperatorResponse::Done)),
        Ok(Outcome::Unknown) => Decision::Answer(Judgement::Answer(OperatorResponse::OutcomeUnknown)),
        Ok(Outcome::Next(next)) => {
            let step = Step { before: body_digest(body), form_before, form, checked: next.checked };
            Decision::Write(next.held.seal(form), Judgement::Step(step))
        }
        Err(refusal) => {
            let (status, reason) = (refusal.status(), refusal.to_string());
            Decision::Answer(Judgement::Answer(OperatorResponse::Rejected { status, reason }))
        }
    }
}

/// A committed configuration becomes known here and at the other controllers.
fn tell(controller: &Controller, entry: &Entry, change: &ConfigChange, step: &Step) {
    controller.learn_config(entry, step.checked.clone());
    let advance = advance_of(entry, change, step);
    send(controller, entry, advance, |reads| can_make(reads, change, step));
}

fn advance_of(entry: &Entry, change: &ConfigChange, step: &Step) -> CommittedDelta {
    let Position { proposal_number, index } = entry.position();
    CommittedDelta {
        key: CONFIG.into(),
        proposal_number,
        index,
        before: step.before,
        after: body_digest(&entry.body),
        change: Some(change.clone()),
        revision: step.checked.revision(),
        pack: step.form >= BodyForm::Packed,
    }
}

/// Can a controller that reads messages of this version make the body after the change from the one before it? One of
/// version 3 writes the text of a changed configuration otherwise, and a new layout is not told by a change.
fn can_make(reads: u64, change: &ConfigChange, step: &Step) -> bool {
    let same_text = !change.partial || reads >= DIGESTED_BODIES;
    same_text && step.form.same_layout(step.form_before)
}

/// The short form to those that can use it, the whole to the others.
fn send(controller: &Controller, entry: &Entry, advance: CommittedDelta, can_make: impl Fn(u64) -> bool) {
    let whole = Message::Committed(Box::new((advance.key.clone(), entry.clone())));
    let short = Message::CommittedDelta(Box::new(advance));
    for peer in controller.known() {
        let reads = controller.peers.protocol_version(&peer);
        let is_short = reads >= RELAYED_ORDERS && can_make(reads);
        controller.peers.client(&peer).notify(if is_short { short.clone() } else { whole.clone() });
    }
}

/// The same body was committed again, by a read or under a changed core: those that hold it need only its place.
pub fn tell_again(controller: &Controller, key: &str, entry: &Entry) {
    controller.learn(key, entry, false);
    let Position { proposal_number, index } = entry.position();
    let digest = body_digest(&entry.body);
    let (before, after) = (digest, digest);
    let advance = CommittedDelta {
        key: key.into(),
        proposal_number,
        index,
        before,
        after,
        change: None,
        revision: 0,
        pack: false,
    };
    send(controller, entry, advance, |_| true);
}

/// Makes a change that another controller committed. What does not fit is left to the next confirmation, which
/// fetches the whole.
pub fn advance(controller: &Controller, advance: &CommittedDelta) {
    let (held, known) = controller.committed.entry_and_config(&advance.key);
    let position = Position { proposal_number: advance.proposal_number, index: advance.index };
    let Some(held) = held.filter(|held| held.position() < position) else { return };
    let entry = |body| Entry { proposal_number: advance.proposal_number, index: advance.index, body };
    match next_body(&held.body, known.as_deref(), advance) {
        Some((body, Some(checked))) => controller.learn_config(&entry(body), checked),
        Some((body, None)) => controller.learn(&advance.key, &entry(body), false),
        None => {}
    }
}

/// The body after the change, if it is the one that was committed, and the configuration in it where it is another.
/// `known`: the configuration in the body before, where that was read already.
fn next_body(
    body: &[u8],
    known: Option<&ConfigDocument>,
    advance: &CommittedDelta,
) -> Option<(Vec<u8>, Option<Arc<ConfigDocument>>)> {
    if body_digest(body) != advance.before {
        return None;
    }
    let Some(change) = &advance.change else { return Some((body.to_vec(), None)) };
    let form = match BodyForm::of(body) {
        BodyForm::Digested => BodyForm::Digested,
        _ if advance.pack => BodyForm::Packed,
        _ => BodyForm::Plain,
    };
    let next = change::repeat(change, advance.revision, &Held::open(body)?, known, form)?;
    let body = next.held.seal(form);
    (body_digest(&body) == advance.after).then_some((body, Some(next.checked)))
}

#[cfg(test)]
#[path = "execution_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "timing_tests.rs"]
mod timing_tests;
