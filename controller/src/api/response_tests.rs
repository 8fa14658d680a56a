//! Conversion of responses to HTTP.
use poem::IntoResponse;

use super::ApiResponse;

#[test]
fn redirect_is_a_307_that_keeps_the_method() {
    let redirect = ApiResponse::Redirect { address: "10.0.0.4:8262".into(), path: "/evacuation/a".into() };
    let response = redirect.into_response();
    assert_eq!(response.status(), 307);
    assert_eq!(response.header("location"), Some("http://10.0.0.4:8262/evacuation/a"));
}

#[test]
fn unknown_outcome_is_a_503_with_retry_after() {
    let response = ApiResponse::OutcomeUnknown.into_response();
    assert_eq!(response.status(), 503);
    assert!(response.header("retry-after").is_some());
}
