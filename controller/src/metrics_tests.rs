//! That the page and the code name the same metrics, and what a call of an operator counts as.

use protocol::operator_request::{OperatorRequest, OperatorResponse};
use protocol::quota::TokenResponse;

use super::{Metrics, OrderKind, OrderLabels, OrderOutcome, OrderTimer, PollLabels, PollOutcome};

#[test]
fn every_metric_stands_on_the_page_and_none_besides() {
    let page = include_str!("../../docs/metrics.md");
    let metrics = Metrics::default();
    // A family without a series is not told.
    OrderTimer::start(&metrics, &OperatorRequest::ReadConfig).finish(OrderOutcome::Done);
    metrics.platform_polls.get_or_create(&PollLabels { result: PollOutcome::Read }).inc();
    metrics.note_spent(TokenResponse::Granted);
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
    let answered = OrderTimer::start(&metrics, &evacuation);
    let given_up = OrderTimer::start(&metrics, &OperatorRequest::ReadConfig);
    assert_eq!(metrics.orders_under_way.get(), 2);
    answered.finish((&OperatorResponse::OutcomeUnknown).into());
    drop(given_up);
    assert_eq!(metrics.orders_under_way.get(), 0);
    let count = |kind, result| metrics.orders.get_or_create(&OrderLabels { kind, result }).get();
    assert_eq!(count(OrderKind::Evacuate, OrderOutcome::Unclear), 1);
    assert_eq!(count(OrderKind::ReadConfig, OrderOutcome::Done), 0);
}
