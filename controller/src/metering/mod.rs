//! Counts of requests that began: what routers report here, and the export to the platform by the one owner of the role.

pub mod exporter;
mod platform;

use kernel::clock;
use kernel::settings::Settings;
use metering::{window_at, AnchoredClock, CountTables, WindowId};
use parking_lot::Mutex;
use protocol::message::{Message, METERING};
use protocol::metering::{MeteringQuery, MeteringRequest, MeteringTables, RouterCounts};

use crate::controller::Controller;
use crate::delivery::subscribers::Subscriber;

const MS_PER_S: f64 = 1000.0;

#[derive(Default)]
struct Reported {
    clock: AnchoredClock,
    tables: CountTables,
}

/// What routers reported to this controller.
pub struct Metering {
    window_ms: u64,
    reported: Mutex<Reported>,
}

impl Metering {
    /// Returns the tables of a process that has just started: empty.
    pub fn new(settings: &Settings) -> Metering {
        let window_ms = (settings.bounds.report_window_s * MS_PER_S) as u64;
        Metering { window_ms: window_ms.max(1), reported: Mutex::default() }
    }

    /// Returns the length of a window in milliseconds.
    pub fn window_ms(&self) -> u64 {
        self.window_ms
    }

    /// Returns the time of day that windows go by, in milliseconds.
    pub fn time_ms(&self) -> u64 {
        self.reported.lock().clock.read(clock::time_of_day_ms(), clock::now())
    }

    /// Takes a router's report.
    pub fn record(&self, report: &RouterCounts) {
        let present = window_at(self.time_ms(), self.window_ms);
        self.reported.lock().tables.merge(report, present);
    }

    /// Returns what was reported of some windows.
    pub fn select(&self, windows: &[WindowId]) -> MeteringTables {
        MeteringTables { routers: self.reported.lock().tables.select(windows) }
    }
}

/// Asks a router that renews here for counts, where the platform is to be told of them.
pub fn request_counts(controller: &Controller, subscriber: &Subscriber) {
    if subscriber.protocol_version < METERING || !controller.settings.cloud_api.takes_usage() {
        return;
    }
    let request = MeteringRequest { controller: controller.own_ip().to_string(), incarnation: controller.incarnation };
    subscriber.responder.notify(&Message::MeteringRequest(Box::new(request)));
}

/// Answers another controller's question for what routers reported here.
pub fn answer(controller: &Controller, query: &MeteringQuery) -> MeteringTables {
    controller.metering.select(&query.windows)
}
