//! The format of the call's body, and which responses acknowledge it.

use metering::ExportWindow;
use protocol::metering::TenantCount;

use super::{body, Platform, ReportError, RoleOwner};
use crate::testing::http_server::{server, BROKEN};

#[test]
fn the_body_depends_only_on_the_committed_window() {
    let counts = [("goka901", 412), ("nowu640", 7)];
    let counts = counts.map(|(tenant, count)| TenantCount { tenant: tenant.into(), count });
    let window = ExportWindow { window: 353_445_120, told: false, counts: counts.to_vec() };
    assert_eq!(body(&window), r#"{"window_id":353445120,"count_table":{"goka901":412,"nowu640":7}}"#);
}

#[tokio::test]
async fn broken_response_does_not_acknowledge_a_report() {
    let server = server(&BROKEN).await;
    let platform = Platform::new(None, &server.address).expect("a client");
    let window = ExportWindow { window: 353_445_120, told: false, counts: Vec::new() };
    for index in 0..BROKEN.len() {
        let result = platform.report(&RoleOwner { node: "edge-1", epoch: 1 }, &window).await;
        assert_eq!(result, Err(ReportError::Unanswered), "response {index}");
    }
}
