//! Where requests are sent, and evacuations on top of what is committed.

use consensus::Decision;

use super::{control_address, decide_evacuation};
use crate::replication::committed_state::EvacuationRecord;

#[test]
fn a_caller_is_sent_to_the_home_at_the_port_that_all_serve() {
    assert_eq!(control_address("10.0.0.9:8262", "10.0.0.4").as_deref(), Some("10.0.0.4:8262"));
    assert_eq!(control_address("10.0.0.9", "10.0.0.4"), None);
}

/// An evacuation that cannot be read was once treated as none, so that its version began anew.
#[test]
fn an_unreadable_evacuation_is_never_treated_as_none() {
    let decide = |on, body: &[u8]| decide_evacuation(on, None, body, "done", "unclear");
    assert_eq!(decide(true, b"of another form"), Decision::Answer("unclear"));
    let Decision::Write(body, "done") = decide(true, &[]) else { panic!("a change") };
    assert_eq!(decide(true, &body), Decision::Answer("done"));
    let Decision::Write(body, "done") = decide(false, &body) else { panic!("a change") };
    let closed = EvacuationRecord::open(&body).expect("read");
    assert_eq!((closed.version, closed.evacuated), (2, false));
}

/// A controller relays a request, gets no response, and carries it out itself; what it relayed comes late, after the evacuation was
/// withdrawn again.
#[test]
fn a_relayed_evacuation_that_comes_late_undoes_nothing() {
    let decide = |on, from, body: &[u8]| decide_evacuation(on, from, body, "done", "unclear");
    let Decision::Write(begun, _) = decide(true, None, &[]) else { panic!("a change") };
    assert_eq!(decide(true, Some(0), &begun), Decision::Answer("done"), "the same came to pass already");
    let Decision::Write(withdrawn, _) = decide(false, None, &begun) else { panic!("a change") };
    assert_eq!(decide(true, Some(0), &withdrawn), Decision::Answer("unclear"));
    let Decision::Write(..) = decide(true, Some(2), &withdrawn) else { panic!("a new one") };
}
