//! Counts started requests by tenant and time window, and reports the counts to the home controller.
//!
//! Counts are cumulative from the start of each window, so lost or duplicate reports are harmless: the next report
//! includes them. A new reader, or a new process of the same reader, gets all retained windows.

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

/// Reporting interval.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Every nth report includes the newest windows in full, in case an earlier report was lost.
const FULL_REPORT_EVERY: u32 = 5;
/// Number of newest windows that a full report includes.
const FULL_REPORT_WINDOWS: usize = 2;
/// How long a controller's request for counts is valid, in milliseconds. The controller repeats it with each
/// subscription renewal.
const REQUEST_VALID_MS: u64 = 5000;
/// Time for the last report to be sent before the process exits.
const FINAL_REPORT_WAIT: Duration = Duration::from_millis(60);
const MS_PER_S: f64 = 1000.0;

/// A controller process that requested counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Reader {
    incarnation: u64,
    requested_at: u64,
}

#[derive(Default)]
struct Counts {
    clock: AnchoredClock,
    counter: RequestCounter,
    /// The processes that requested counts, by IP address.
    readers: BTreeMap<String, Reader>,
    /// The incarnation of the process that the last report was sent to.
    reported_to: Option<u64>,
    report_number: u32,
}

/// Counts started requests if usage is reported to the platform.
pub struct Metering {
    /// The length of a window in milliseconds; `None` if usage is not reported.
    window_ms: Option<u64>,
    counts: Mutex<Counts>,
}

impl Metering {
    /// Returns empty counts. Requests are counted only if the settings enable usage reports.
    pub fn new(settings: &Settings) -> Metering {
        let window_ms = (settings.bounds.report_window_s * MS_PER_S) as u64;
        let window_ms = (settings.cloud_api.takes_usage() && window_ms > 0).then_some(window_ms);
        Metering { window_ms, counts: Mutex::default() }
    }

    /// Counts a request of a tenant that has just started.
    pub fn record(&self, tenant: &str) {
        let Some(window_ms) = self.window_ms else { return };
        let mut counts = self.counts.lock();
        let time_ms = counts.clock.read(clock::time_of_day_ms(), clock::now());
        counts.counter.record(window_at(time_ms, window_ms), tenant);
    }

    /// Applies a controller's request for counts.
    pub fn apply_request(&self, request: MeteringRequest) {
        let now = clock::now();
        let reader = Reader { incarnation: request.incarnation, requested_at: now };
        let mut counts = self.counts.lock();
        counts.readers.retain(|_, reader| now < reader.requested_at + REQUEST_VALID_MS);
        counts.readers.insert(request.controller, reader);
    }

    /// Returns the next report to the controller at `ip`; `None` if it is empty or the controller requested none.
    fn next_report(&self, ip: &str, router: u64) -> Option<RouterCounts> {
        let mut counts = self.counts.lock();
        let reader = counts.readers.get(ip).copied();
        let reader = reader.filter(|reader| clock::now() < reader.requested_at + REQUEST_VALID_MS)?;
        if counts.reported_to != Some(reader.incarnation) {
            counts.reported_to = Some(reader.incarnation);
            counts.counter.report_again(usize::MAX);
        }
        counts.report_number = counts.report_number.wrapping_add(1);
        if counts.report_number.is_multiple_of(FULL_REPORT_EVERY) {
            counts.counter.report_again(FULL_REPORT_WINDOWS);
        }
        let windows = counts.counter.take_unreported();
        (!windows.is_empty()).then_some(RouterCounts { router, windows })
    }

    /// Marks all retained windows as unreported.
    fn mark_all_unreported(&self) {
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

/// Sends a final report, and waits until it is likely to have been sent.
pub async fn send_last_counts(state: &State) {
    if state.metering.window_ms.is_some() {
        report(state);
        time::sleep(FINAL_REPORT_WAIT).await;
    }
}

/// Sends a report to the home controller if there is one to send.
fn report(state: &State) {
    let controller = state.home_controller().clone();
    let Some(controller) = controller else { return };
    let ip = controller.addr().rsplit_once(':').map_or(controller.addr(), |(ip, _)| ip);
    let Some(counts) = state.metering.next_report(ip, state.incarnation) else { return };
    if !controller.notify(Message::MeteringReport(Box::new(counts))) {
        state.metering.mark_all_unreported();
    }
}

#[cfg(test)]
#[path = "metering_tests.rs"]
mod tests;
