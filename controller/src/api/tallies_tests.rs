//! Parsing of adds, and the JSON of totals.

use super::{parse_add, totals_json, ApiResponse};

fn rejection(text: &str) -> String {
    let error = parse_add("t3", text).expect_err("the add must be rejected");
    assert_eq!(error.status, 400);
    error.message
}

#[test]
fn parse_add_accepts_a_key_and_an_integer() {
    let entry = parse_add("t3", r#"{"instance_id":"5c0e7a21d94b36f8","actor":4}"#).expect("the add is accepted");
    assert_eq!((entry.tally.as_str(), entry.instance_id.as_str(), entry.amount), ("t3", "5c0e7a21d94b36f8", 4));
    let largest =
        parse_add("t3", r#"{"instance_id":"1","actor":9007199254740991,"more":null}"#).expect("the add is accepted");
    assert_eq!(largest.amount, (1 << 53) - 1);
}

#[test]
fn parse_add_rejects_invalid_input_with_a_reason() {
    for text in ["", "[]", "{", "4"] {
        assert!(rejection(text).starts_with("body: "), "{text}");
    }
    assert_eq!(rejection(r#"{"actor":4}"#), "instance_id: missing or not a string");
    assert_eq!(rejection(r#"{"instance_id":7,"actor":4}"#), "instance_id: missing or not a string");
    assert_eq!(rejection(r#"{"instance_id":"1"}"#), "actor: missing");
    for amount in ["-1", "1.5", "\"4\"", "null", "true", "18446744073709551616", "9007199254740992", "1e30"] {
        let reason = rejection(&format!(r#"{{"instance_id":"1","actor":{amount}}}"#));
        assert!(reason.starts_with("actor: found"), "{amount}: {reason}");
    }
    for key in ["", "a b", "a/b", &"k".repeat(129)] {
        let reason = rejection(&format!(r#"{{"instance_id":"{key}","actor":1}}"#));
        assert!(reason.starts_with("instance_id: must have"), "{key}: {reason}");
    }
}

#[test]
fn totals_above_64_bits_are_json_numbers() {
    let ApiResponse::Json(text) = totals_json(vec![("t1".into(), 1 << 70), ("t0".into(), 0)]) else {
        panic!("the response is not JSON");
    };
    assert_eq!(text, br#"{"tallies":{"t0":0,"t1":1180591620717411303424}}"#);
}
