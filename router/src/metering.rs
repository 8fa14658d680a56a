//! Counts of requests that began, by tenant and window of time, reported to the home controller.
//!
//! Counts go from the beginning of each window on, so a report that is lost or comes twice does no harm: the next one has them
//! too. Another reader, or a new process of the same one, gets everything that is kept.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use kernel::clock;
use kernel::settings::Settings;
use metering::{window_at, AnchoredClock, RequestCounter};
use parking_lot::Mutex;
use protocol::message::Message;
use protocol::metering::{MeteringRequest, RouterCounts};
use tokio::time;

use crate::state::State;

/// The pause between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Each so many reports hold the newest windows whole, in case one before was lost on its way.
const WHOLE_REPORT_EVERY: u32 = 5;
/// How many of the newest windows these hold.
const WHOLE_WINDOWS: usize = 2;
/// How long a controller's request for counts is valid, in milliseconds; it comes with each renewal.
const REQUEST_VALID_MS: u64 = 5000;
/// The last report gets so long to leave before the process ends.
const FAREWELL: Duration = Duration::from_millis(60);
const MS_PER_S: f64 = 1000.0;

/// A process of a controller that reads counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Reader {
    incarnation: u64,
    requested_at: u64,
}

#[derive(Default)]
struct Counts {
    clock: AnchoredClock,
    counter: RequestCounter,
    /// Who asked for counts, by address.
    readers: BTreeMap<String, Reader>,
    /// Whom the last report went to: the incarnation of that process.
    reported_to: Option<u64>,
    report_number: u32,
}

/// Counts requests that begin, where the platform is to be told of them.
pub struct Metering {
    /// The length of a window in milliseconds; `None` where nobody is told.
    window_ms: Option<u64>,
    counts: Mutex<Counts>,
}

impl Metering {
    /// Returns the counts of a process that has just started.
    pub fn new(settings: &Settings) -> Metering {
        let window_ms = (settings.bounds.report_window_s * MS_PER_S) as u64;
        let window_ms = (settings.cloud_api.takes_usage() && window_ms > 0).then_some(window_ms);
        Metering { window_ms, counts: Mutex::default() }
    }

    /// Counts a request of a tenant that began just now.
    pub fn record(&self, tenant: &str) {
        let Some(window_ms) = self.window_ms else { return };
        let mut counts = self.counts.lock();
        let time_ms = counts.clock.read(clock::time_of_day_ms(), clock::now());
        counts.counter.record(window_at(time_ms, window_ms), tenant);
    }

    /// Takes a controller's request for counts.
    pub fn apply_request(&self, request: MeteringRequest) {
        let now = clock::now();
        let reader = Reader { incarnation: request.incarnation, requested_at: now };
        let mut counts = self.counts.lock();
        counts.readers.retain(|_, reader| now < reader.requested_at + REQUEST_VALID_MS);
        counts.readers.insert(request.controller, reader);
    }

    /// Returns what is to be reported to the controller at an address now; `None`: nothing, or it does not read it.
    fn next_report(&self, ip: &str, router: u64) -> Option<RouterCounts> {
        let mut counts = self.counts.lock();
        let reader = counts.readers.get(ip).copied();
        let reader = reader.filter(|reader| clock::now() < reader.requested_at + REQUEST_VALID_MS)?;
        if counts.reported_to != Some(reader.incarnation) {
            counts.reported_to = Some(reader.incarnation);
            counts.counter.report_again(usize::MAX);
        }
        counts.report_number = counts.report_number.wrapping_add(1);
        if counts.report_number.is_multiple_of(WHOLE_REPORT_EVERY) {
            counts.counter.report_again(WHOLE_WINDOWS);
        }
        let windows = counts.counter.take_unreported();
        (!windows.is_empty()).then_some(RouterCounts { router, windows })
    }

    fn report_all_again(&self) {
        self.counts.lock().counter.report_again(usize::MAX);
    }
}

/// Reports counts to the home controller for as long as the process runs.
pub async fn send_counts(state: Arc<State>) {
    if state.metering.window_ms.is_none() {
        return;
    }
    loop {
        time::sleep(REPORT_INTERVAL).await;
        report(&state);
    }
}

/// Reports what was counted up to now, and gives the report time to leave.
pub async fn send_last_counts(state: &State) {
    if state.metering.window_ms.is_some() {
        report(state);
        time::sleep(FAREWELL).await;
    }
}

fn report(state: &State) {
    let controller = state.home_controller().clone();
    let Some(controller) = controller else { return };
    let ip = controller.addr().rsplit_once(':').map_or(controller.addr(), |(ip, _)| ip);
    let Some(counts) = state.metering.next_report(ip, state.incarnation) else { return };
    if !controller.notify(Message::MeteringReport(Box::new(counts))) {
        state.metering.report_all_again();
    }
}

#[cfg(test)]
#[path = "metering_tests.rs"]
mod tests;
