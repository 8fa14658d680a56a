//! Replacement and expiry of usage reports.

use load_balancing::{PhaseKey, TotalUsage};
use protocol::message::{EngineUsage, PhaseUsage, SampledUsage};

use super::UsageReports;
use crate::controller::LIVENESS_TIMEOUT_MS;

fn report(ip: &str, in_flight: u32) -> EngineUsage {
    let totals = vec![PhaseUsage { service: "s".into(), prefill: true, in_flight }];
    EngineUsage { ip: ip.into(), totals, sampled: vec![SampledUsage { engine_hash: 7, in_flight }] }
}

fn total(reports: &UsageReports, now: u64) -> u32 {
    let mut total = TotalUsage::default();
    reports.add_current(&mut total, now);
    total.total(&PhaseKey { service: "s".into(), prefill: true })
}

#[test]
fn a_report_replaces_the_previous_one_of_its_sender() {
    let reports = UsageReports::default();
    reports.record(report("10.0.0.1", 5), 0);
    reports.record(report("10.0.0.2", 3), 10);
    assert_eq!(total(&reports, 20), 8);
    reports.record(report("10.0.0.1", 1), 30);
    reports.record(report("10.0.0.1", 1), 31);
    assert_eq!(total(&reports, 40), 4);
}

#[test]
fn reports_of_a_silent_controller_expire() {
    let reports = UsageReports::default();
    reports.record(report("10.0.0.1", 5), 0);
    reports.record(report("10.0.0.2", 3), 500);
    assert_eq!(total(&reports, LIVENESS_TIMEOUT_MS - 1), 8);
    assert_eq!(total(&reports, LIVENESS_TIMEOUT_MS), 3, "its routers may report to another controller by now");
    reports.record(report("10.0.0.2", 2), 5000);
    assert_eq!(reports.0.lock().len(), 1, "expired reports are removed");
}
