//! Documentation of the metrics, and counting of operators' requests.

use protocol::operator_request::{OperatorRequest, OperatorResponse};
use protocol::quota::TokenResponse;

use crate::tallies::AddOutcome;

use super::{Metrics, PollLabels, PollOutcome, RequestKind, RequestLabels, RequestOutcome, RequestTimer};

#[test]
fn documented_metrics_match_exported_metrics() {
    let page = include_str!("../../docs/metrics.md");
    let metrics = Metrics::default();
    // A metric family without a series is not exported.
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
fn a_request_is_in_flight_until_it_is_finished_or_dropped() {
    let metrics = Metrics::default();
    let evacuation = OperatorRequest::Evacuate { zone: "a".into(), on: true };
    let finished = RequestTimer::start(&metrics, &evacuation);
    let dropped = RequestTimer::start(&metrics, &OperatorRequest::ReadConfig);
    assert_eq!(metrics.requests_in_flight.get(), 2);
    finished.finish((&OperatorResponse::OutcomeUnknown).into());
    drop(dropped);
    assert_eq!(metrics.requests_in_flight.get(), 0);
    let count = |kind, result| metrics.operator_requests.get_or_create(&RequestLabels { kind, result }).get();
    assert_eq!(count(RequestKind::Evacuate, RequestOutcome::Unclear), 1);
    assert_eq!(count(RequestKind::ReadConfig, RequestOutcome::Done), 0);
}
