//! How results of orders are written as answers.
use super::{write, Receipt};

#[test]
fn an_order_for_another_controller_is_redirected_with_its_method_kept() {
    let reply = write(Receipt::Elsewhere("10.0.0.4:8262".into(), "/evacuation/a".into()));
    assert_eq!(reply.status(), 307);
    assert_eq!(reply.header("location"), Some("http://10.0.0.4:8262/evacuation/a"));
}

#[test]
fn an_order_without_a_clear_outcome_is_to_be_sent_again() {
    let reply = write(Receipt::Unclear);
    assert_eq!(reply.status(), 503);
    assert!(reply.header("retry-after").is_some());
}
