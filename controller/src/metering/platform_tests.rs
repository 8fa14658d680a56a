//! The format of the call's body.

use metering::ExportWindow;
use protocol::metering::TenantCount;

use super::body;

#[test]
fn the_body_depends_only_on_the_committed_window() {
    let counts = [("goka901", 412), ("nowu640", 7)];
    let counts = counts.map(|(tenant, count)| TenantCount { tenant: tenant.into(), count });
    let window = ExportWindow { window: 353_445_120, told: false, counts: counts.to_vec() };
    assert_eq!(body(&window), r#"{"window_id":353445120,"count_table":{"goka901":412,"nowu640":7}}"#);
}
