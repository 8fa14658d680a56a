//! Tests of the terms of proposal numbers.
use super::{next_term, TERMS_PER_MEMBERSHIP};
use protocol::message::CoreMembership;

fn membership(version: u64) -> CoreMembership {
    CoreMembership { version, ..CoreMembership::default() }
}

#[test]
fn next_term_is_above_the_last_term_of_the_owner() {
    let first = next_term(0, &membership(1));
    assert!(next_term(first, &membership(1)) == first + 1);
}

#[test]
fn next_term_is_above_every_term_under_an_earlier_membership() {
    let last = next_term(0, &membership(1)) + TERMS_PER_MEMBERSHIP - 1;
    assert!(next_term(0, &membership(2)) > last - 1);
    assert!(
        next_term(7, &membership(2)) == next_term(0, &membership(2)),
        "the last term of the owner makes no difference"
    );
}

#[test]
fn next_term_never_decreases_under_an_older_membership() {
    let newer = next_term(0, &membership(3));
    assert!(next_term(newer, &membership(2)) > newer);
}
