//! Counts of started requests: the reports of routers, and their export to the platform by the single owner of the
//! role.

mod completeness;
pub mod exporter;
mod platform;
pub mod relay;

use std::mem;

use kernel::clock;
use kernel::settings::Settings;
use metering::{window_at, AnchoredClock, CountTables, WindowId};
use parking_lot::Mutex;
use protocol::message::{Message, METERING};
use protocol::metering::{MeteringQuery, MeteringRequest, MeteringTables, RouterCounts};

use crate::delivery::subscribers::Subscriber;

/// Uptime after which a process has the reports of all its routers, in ms: a router's lease and several report
/// intervals.
const COMPLETE_AFTER_MS: u64 = 4000;
/// The maximum number of reports kept for the controller that stores the copies.
const MAX_UNRELAYED: usize = 2048;
const MS_PER_S: f64 = 1000.0;

/// The reports received so far.
#[derive(Default)]
struct Reported {
    clock: AnchoredClock,
    tables: CountTables,
    /// Reports that were not yet copied to another controller.
    unrelayed: Vec<RouterCounts>,
}

/// The usage reports of this controller's routers, and copies of reports to other controllers.
pub struct Metering {
    window_ms: u64,
    reported: Mutex<Reported>,
}

impl Metering {
    /// Creates the metering state of a started process, with empty tables.
    pub fn new(settings: &Settings) -> Metering {
        let window_ms = (settings.bounds.report_window_s * MS_PER_S) as u64;
        Metering { window_ms: window_ms.max(1), reported: Mutex::default() }
    }

    /// Returns the length of a window, in ms.
    pub fn window_ms(&self) -> u64 {
        self.window_ms
    }

    /// Returns the time of day that determines the windows, in ms.
    pub fn time_ms(&self) -> u64 {
        self.reported.lock().clock.read(clock::time_of_day_ms(), clock::now())
    }

    /// Records a router's report.
    pub fn record(&self, report: RouterCounts) {
        let current = window_at(self.time_ms(), self.window_ms);
        let mut reported = self.reported.lock();
        reported.tables.merge(&report, current);
        // Beyond the bound a report is not copied, but the tables contain it.
        if reported.unrelayed.len() < MAX_UNRELAYED {
            reported.unrelayed.push(report);
        }
    }

    /// Records copies of reports to another controller.
    pub fn record_copies(&self, copies: &MeteringTables) {
        let current = window_at(self.time_ms(), self.window_ms);
        let mut reported = self.reported.lock();
        copies.routers.iter().for_each(|report| reported.tables.merge(report, current));
    }

    /// Puts back reports that could not be copied. Reports beyond the bound are dropped from this queue; the tables
    /// here and the routers that are still running have them.
    fn return_unrelayed(&self, reports: Vec<RouterCounts>) {
        let mut reported = self.reported.lock();
        reported.unrelayed.extend(reports);
        reported.unrelayed.truncate(MAX_UNRELAYED);
    }

    /// Removes and returns the reports that were not yet copied to another controller.
    fn take_unrelayed(&self) -> Vec<RouterCounts> {
        mem::take(&mut self.reported.lock().unrelayed)
    }

    /// Returns the reports for some windows.
    pub fn select(&self, windows: &[WindowId]) -> MeteringTables {
        let is_complete = clock::now() >= COMPLETE_AFTER_MS;
        MeteringTables { is_complete, routers: self.reported.lock().tables.select(windows) }
    }

    /// Answers another controller's query.
    pub fn answer(&self, query: &MeteringQuery) -> Message {
        Message::MeteringTables(Box::new(self.select(&query.windows)))
    }

    /// Records copies of reports to another controller. The response tells whether this controller will store them,
    /// which it does not if it is shutting down.
    pub fn store_copies(&self, copies: &MeteringTables, is_shutting_down: bool) -> Message {
        self.record_copies(copies);
        Message::MeteringTables(Box::new(MeteringTables { is_complete: !is_shutting_down, routers: Vec::new() }))
    }
}

/// Asks a router that renews its subscription for its counts, if usage is exported to the platform.
pub fn request_counts(settings: &Settings, incarnation: u64, subscriber: &Subscriber) {
    if subscriber.protocol_version < METERING || !settings.cloud_api.takes_usage() {
        return;
    }
    let request = MeteringRequest { controller: settings.ip.clone(), incarnation };
    subscriber.responder.notify(&Message::MeteringRequest(Box::new(request)));
}

#[cfg(test)]
#[path = "metering_tests.rs"]
mod tests;
