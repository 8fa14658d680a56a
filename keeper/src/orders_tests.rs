//! Where orders are sent, and evacuations on top of what is committed.
use super::{control_address, judge_evacuation};
use ledger::proposal::Verdict;

#[test]
fn a_caller_is_sent_to_the_home_at_the_port_that_all_serve() {
    assert_eq!(control_address("10.0.0.9:8262", "10.0.0.4").as_deref(), Some("10.0.0.4:8262"));
    assert_eq!(control_address("10.0.0.9", "10.0.0.4"), None);
}

/// An evacuation that cannot be read was once taken for none, so that its version began anew.
#[test]
fn an_evacuation_that_cannot_be_read_is_never_taken_for_none() {
    assert_eq!(judge_evacuation(true, b"of another form", "done", "unclear"), Verdict::Answer("unclear"));
    let Verdict::Write(body, "done") = judge_evacuation(true, &[], "done", "unclear") else { panic!("a change") };
    assert_eq!(judge_evacuation(true, &body, "done", "unclear"), Verdict::Answer("done"));
    let Verdict::Write(body, "done") = judge_evacuation(false, &body, "done", "unclear") else { panic!("a change") };
    let closed = crate::state::Closed::open(&body).expect("read");
    assert_eq!((closed.version, closed.on), (2, false));
}
