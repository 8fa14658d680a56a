//! The bounds on the reports kept for relaying.

use kernel::settings::{self, Settings};
use protocol::metering::{RouterCounts, TenantCount, WindowCounts};

use super::{Metering, MAX_UNRELAYED};

fn settings() -> Settings {
    let text = "node_name = \"n\"\nip = \"10.0.0.1\"\nzone = \"a\"\ninternal_ports = [1, 2]\n[zones]\na = \"r\"\n\
         [limits]\nmemory_mb = 16\nfd_limit = 100\n[cloud_api]\naddress = \"127.0.0.1:1\"\nrate_per_s = 1.0\n";
    settings::parse(text).expect("valid settings")
}

/// A report for the current window, which no table discards as too old.
fn report(metering: &Metering, router: u64) -> RouterCounts {
    let window = metering::window_at(metering.time_ms(), metering.window_ms());
    let tenants = vec![TenantCount { tenant: "t".into(), count: 1 }];
    RouterCounts { router, windows: vec![WindowCounts { window, tenants }] }
}

// Guards against unbounded growth: a controller partitioned from the owner of the role for hours put back rejected
// reports every half second, until it hit its memory limit or the maximum message size.
#[test]
fn returned_reports_are_bounded_and_stay_in_the_tables() {
    let metering = Metering::new(&settings());
    let last = 2 * MAX_UNRELAYED as u64;
    for router in 0..last {
        metering.record(report(&metering, router));
        // The owner of the role does not respond, so the reports are put back.
        let unrelayed = metering.take_unrelayed();
        metering.return_unrelayed(unrelayed);
    }
    assert_eq!(metering.take_unrelayed().len(), MAX_UNRELAYED);
    let window = metering::window_at(metering.time_ms(), metering.window_ms());
    let reported: usize = [window - 1, window].iter().map(|at| metering.select(&[*at]).routers.len()).sum();
    assert_eq!(reported as u64, last, "all of them can still be queried");
}

#[test]
fn reports_are_bounded_while_none_is_relayed() {
    let metering = Metering::new(&settings());
    for router in 0..2 * MAX_UNRELAYED as u64 {
        metering.record(report(&metering, router));
    }
    assert_eq!(metering.take_unrelayed().len(), MAX_UNRELAYED);
}
