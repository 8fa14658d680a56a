//! That the page and the code name the same metrics, and what a call of an operator counts as.

use protocol::operator_request::{OperatorRequest, OperatorResponse};
use protocol::quota::TokenResponse;

use crate::tallies::AddOutcome;

use super::{Metrics, PollLabels, PollOutcome, RequestKind, RequestLabels, RequestOutcome, RequestTimer};

#[test]
fn every_metric_stands_on_the_page_and_none_besides() {
    let page = include_str!("../../docs/metrics.md");
    let metrics = Metrics::default();
    // A family without a series is not told.
    RequestTimer::start(&metrics, &OperatorRequest::ReadConfig).finish(RequestOutcome::Done);
    metrics.platform_polls.get_or_create(&PollLabels { result: PollOutcome::Read }).inc();
    metrics.record_token_response(TokenResponse::Granted);
    metrics.record_add(AddOutcome::Acknowledged);
    let text = telemetry::encode(&metrics.registry);
    assert_eq!(
        telemetry::testing::metric_names(&text),
        telemetry::testing::documented_names(page, "tidepoint_keeper_")
    );
}

#[test]
fn a_call_is_under_way_until_it_is_answered_or_given_up() {
    let metrics = Metrics::default();
    let evacuation = OperatorRequest::Evacuate { zone: "a".into(), on: true };
    let answered = RequestTimer::start(&metrics, &evacuation);
    let given_up = RequestTimer::start(&metrics, &OperatorRequest::ReadConfig);
    assert_eq!(metrics.requests_in_flight.get(), 2);
    answered.finish((&OperatorResponse::OutcomeUnknown).into());
    drop(given_up);
    assert_eq!(metrics.requests_in_flight.get(), 0);
    let count = |kind, result| metrics.operator_requests.get_or_create(&RequestLabels { kind, result }).get();
    assert_eq!(count(RequestKind::Evacuate, RequestOutcome::Unclear), 1);
    assert_eq!(count(RequestKind::ReadConfig, RequestOutcome::Done), 0);
}
