//! What is kept of routers' reports.

use kernel::settings::{self, Settings};
use protocol::metering::{RouterCounts, TenantCount, WindowCounts};

use super::{Metering, MAX_UNRELAYED};

fn settings() -> Settings {
    let text = "node_name = \"n\"\nip = \"10.0.0.1\"\nzone = \"a\"\ninternal_ports = [1, 2]\n[zones]\na = \"r\"\n\
         [limits]\nmemory_mb = 16\nfd_limit = 100\n[cloud_api]\naddress = \"127.0.0.1:1\"\nrate_per_s = 1.0\n";
    settings::parse(text).expect("good settings")
}

/// A report of the window that is open now, so that no table drops it as old.
fn report(metering: &Metering, router: u64) -> RouterCounts {
    let window = metering::window_at(metering.time_ms(), metering.window_ms());
    let tenants = vec![TenantCount { tenant: "t".into(), count: 1 }];
    RouterCounts { router, windows: vec![WindowCounts { window, tenants }] }
}

// A controller that was cut off from the owner of the role for hours put back what the owner had not taken, each half second
// more, until its memory or the longest message was reached. Found by reading the change again.
#[test]
fn reports_that_the_owner_does_not_take_are_bounded_and_stay_in_the_tables() {
    let metering = Metering::new(&settings());
    let last = 2 * MAX_UNRELAYED as u64;
    for router in 0..last {
        metering.record(report(&metering, router));
        // The owner of the role does not answer: what was to be copied to it comes back.
        let refused = metering.take_unrelayed();
        metering.return_unrelayed(refused);
    }
    assert_eq!(metering.take_unrelayed().len(), MAX_UNRELAYED);
    let window = metering::window_at(metering.time_ms(), metering.window_ms());
    let reported: usize = [window - 1, window].iter().map(|at| metering.select(&[*at]).routers.len()).sum();
    assert_eq!(reported as u64, last, "all of them can still be asked for");
}

#[test]
fn reports_that_nobody_takes_copies_of_are_bounded_too() {
    let metering = Metering::new(&settings());
    for router in 0..2 * MAX_UNRELAYED as u64 {
        metering.record(report(&metering, router));
    }
    assert_eq!(metering.take_unrelayed().len(), MAX_UNRELAYED);
}
