//! Addresses of other controllers, and decisions about evacuations on top of committed values.

use consensus::Decision;

use super::{control_address, decide_evacuation};
use crate::replication::committed_state::EvacuationRecord;

#[test]
fn control_address_keeps_the_port() {
    assert_eq!(control_address("10.0.0.9:8262", "10.0.0.4").as_deref(), Some("10.0.0.4:8262"));
    assert_eq!(control_address("10.0.0.9", "10.0.0.4"), None);
}

/// Guards against treating an undecodable evacuation as absent, which restarted its version count.
#[test]
fn an_undecodable_evacuation_has_an_unknown_outcome() {
    let decide = |on, body: &[u8]| decide_evacuation(on, None, body, "done", "unclear");
    assert_eq!(decide(true, b"of another form"), Decision::Answer("unclear"));
    let Decision::Write(body, "done") = decide(true, &[]) else { panic!("the start is not written") };
    assert_eq!(decide(true, &body), Decision::Answer("done"));
    let Decision::Write(body, "done") = decide(false, &body) else { panic!("the end is not written") };
    let ended = EvacuationRecord::open(&body).expect("the record is decoded");
    assert_eq!((ended.version, ended.evacuated), (2, false));
}

/// A controller relays a request, gets no response and executes it itself. The relayed request arrives late, after the
/// evacuation has ended.
#[test]
fn a_late_relayed_evacuation_does_not_undo_a_newer_change() {
    let decide = |on, from, body: &[u8]| decide_evacuation(on, from, body, "done", "unclear");
    let Decision::Write(started, _) = decide(true, None, &[]) else { panic!("the start is not written") };
    assert_eq!(decide(true, Some(0), &started), Decision::Answer("done"), "the zone is already evacuated");
    let Decision::Write(ended, _) = decide(false, None, &started) else { panic!("the end is not written") };
    assert_eq!(decide(true, Some(0), &ended), Decision::Answer("unclear"));
    let Decision::Write(..) = decide(true, Some(2), &ended) else { panic!("the second start is not written") };
}
