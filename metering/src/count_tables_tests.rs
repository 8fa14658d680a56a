//! Merging of reports: independent of order and duplicates, and limited to windows near the present one.

use proptest::prelude::*;
use protocol::metering::{RouterCounts, TenantCount, WindowCounts};

use super::CountTables;

const PRESENT: u64 = 1000;

fn report(router: u64, window: u64, tenant: &str, count: u64) -> RouterCounts {
    let tenants = vec![TenantCount { tenant: tenant.into(), count }];
    RouterCounts { router, windows: vec![WindowCounts { window, tenants }] }
}

fn merged(reports: &[RouterCounts]) -> CountTables {
    let mut tables = CountTables::default();
    reports.iter().for_each(|report| tables.merge(report, PRESENT));
    tables
}

proptest! {
    #[test]
    fn merging_does_not_depend_on_order_or_duplicates(
        drawn in prop::collection::vec((0..3_u64, 0..3_u64, 0..3_u8, 1..9_u64), 0..30),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let reports: Vec<RouterCounts> = drawn
            .into_iter()
            .map(|(router, window, tenant, count)| report(router, PRESENT - window, &format!("t{tenant}"), count))
            .collect();
        let mut shuffled: Vec<RouterCounts> = reports.iter().rev().cloned().collect();
        if !reports.is_empty() {
            shuffled.extend(order.iter().map(|index| index.get(&reports).clone()));
        }
        prop_assert_eq!(merged(&reports), merged(&shuffled));
        // Tables that another controller forwards merge to the same result.
        let direct = merged(&reports);
        let windows: Vec<u64> = direct.windows().collect();
        let forwarded = direct.select(&windows);
        prop_assert_eq!(merged(&forwarded), direct);
    }
}

#[test]
fn totals_sum_the_highest_count_of_each_router_process() {
    let tables = merged(&[
        report(1, PRESENT, "a", 3),
        report(1, PRESENT, "a", 5),
        report(1, PRESENT, "a", 4),
        report(2, PRESENT, "a", 2),
        report(2, PRESENT, "b", 1),
        report(2, PRESENT - 1, "b", 7),
    ]);
    let totals: Vec<(String, u64)> =
        tables.totals(PRESENT).into_iter().map(|total| (total.tenant, total.count)).collect();
    assert_eq!(totals, [("a".into(), 7), ("b".into(), 1)]);
    assert!(tables.totals(PRESENT + 1).is_empty());
}

#[test]
fn windows_far_from_the_present_are_ignored_and_old_ones_removed() {
    let mut tables = merged(&[report(1, PRESENT + 120, "a", 1), report(1, 3, "a", 1), report(1, PRESENT, "a", 1)]);
    assert_eq!(tables.windows().collect::<Vec<_>>(), [PRESENT]);
    tables.merge(&report(1, PRESENT + 40, "a", 1), PRESENT + 40);
    assert_eq!(tables.windows().collect::<Vec<_>>(), [PRESENT + 40]);
}
