//! How outcomes of requests are written as HTTP responses.
use poem::IntoResponse;

use super::ApiResponse;

#[test]
fn a_request_for_another_controller_is_redirected_with_its_method_kept() {
    let redirect = ApiResponse::Redirect { address: "10.0.0.4:8262".into(), path: "/evacuation/a".into() };
    let response = redirect.into_response();
    assert_eq!(response.status(), 307);
    assert_eq!(response.header("location"), Some("http://10.0.0.4:8262/evacuation/a"));
}

#[test]
fn a_request_of_unknown_outcome_is_to_be_sent_again() {
    let response = ApiResponse::OutcomeUnknown.into_response();
    assert_eq!(response.status(), 503);
    assert!(response.header("retry-after").is_some());
}
