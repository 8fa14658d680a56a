//! Tests of which requests are counted and which controllers get reports.

use kernel::settings::{self, Settings};
use protocol::metering::{MeteringRequest, RouterCounts};

use super::{Metering, FULL_REPORT_EVERY};
use crate::testing::engine::{engine_response, engines, events, EngineAction};
use crate::testing::router::{router_with, send_request, SETTINGS};

fn settings(duties: &str) -> Settings {
    let rate = "rate_per_s = 1.0";
    settings::parse(&SETTINGS.replace(rate, &format!("{rate}, duty_list = {duties}"))).expect("valid settings")
}

fn request_counts(metering: &Metering, controller: &str, incarnation: u64) {
    metering.apply_request(MeteringRequest { controller: controller.into(), incarnation });
}

/// Returns the tenants and counts in a report, over all windows.
fn tenant_counts(report: Option<RouterCounts>) -> Vec<(String, u64)> {
    let windows = report.map(|report| report.windows).unwrap_or_default();
    let tenants = windows.into_iter().flat_map(|window| window.tenants);
    tenants.map(|entry| (entry.tenant, entry.count)).collect()
}

#[test]
fn nothing_is_counted_if_the_platform_takes_no_usage_reports() {
    let metering = Metering::new(&settings("[\"autoscaler\"]"));
    request_counts(&metering, "10.0.0.1", 1);
    metering.record("a");
    assert_eq!(metering.next_report("10.0.0.1", 9), None);
}

#[test]
fn only_a_controller_that_requested_counts_gets_reports_and_its_new_process_gets_everything() {
    let metering = Metering::new(&settings("[\"usage_export\"]"));
    metering.record("a");
    assert_eq!(metering.next_report("10.0.0.1", 9), None, "no controller requested counts");
    request_counts(&metering, "10.0.0.1", 1);
    assert_eq!(metering.next_report("10.0.0.2", 9), None, "another controller requested counts");
    let report = metering.next_report("10.0.0.1", 9);
    assert_eq!(report.as_ref().map(|report| report.router), Some(9));
    assert_eq!(tenant_counts(report), [("a".to_string(), 1)]);
    assert_eq!(metering.next_report("10.0.0.1", 9), None, "nothing new to report");
    request_counts(&metering, "10.0.0.1", 2);
    assert_eq!(tenant_counts(metering.next_report("10.0.0.1", 9)), [("a".to_string(), 1)]);
}

#[test]
fn the_newest_windows_are_reported_in_full_at_intervals() {
    let metering = Metering::new(&settings("[\"usage_export\"]"));
    request_counts(&metering, "10.0.0.1", 1);
    metering.record("a");
    let reports = (0..2 * FULL_REPORT_EVERY).filter(|_| metering.next_report("10.0.0.1", 9).is_some()).count();
    assert_eq!(reports, 3, "the first report and every fifth");
}

#[tokio::test]
async fn a_request_is_counted_once_for_its_tenant_if_and_only_if_an_engine_started_it() {
    let engines = engines("decode", 2, |request, number| match request.attempt() {
        "refused" => EngineAction::Send(engine_response(request, "503 Service Unavailable", "full").replacen(
            "\r\n",
            "\r\nNot-Executed: 1\r\n",
            1,
        )),
        _ => EngineAction::Send(events(request, 1, 3, number > 0)),
    })
    .await;
    let text = SETTINGS.replace("rate_per_s = 1.0", "rate_per_s = 1.0, duty_list = [\"usage_export\"]");
    let state = router_with(&text, &engines);
    let tenants = serde_json::json!([{"name": "one", "api_keys": ["k1"]}, {"name": "two", "api_keys": ["k2"]}]);
    crate::testing::router::configure(&state, 2, serde_json::json!({ "tenant_table": tenants }));
    for (attempt, key) in [("x", "k1"), ("y", "k1"), ("z", "k2"), ("refused", "k2")] {
        send_request(&state, "stream", attempt, &format!("Authorization: Bearer {key}\r\n")).await;
    }
    request_counts(&state.metering, "10.0.0.1", 1);
    let counts = tenant_counts(state.metering.next_report("10.0.0.1", 9));
    let count_of = |tenant: &str| counts.iter().filter(|(name, _)| name == tenant).map(|(_, count)| count).sum::<u64>();
    assert_eq!((count_of("one"), count_of("two")), (2, 1));
}
