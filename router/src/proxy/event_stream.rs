//! Splits a stream of server-sent events at event boundaries, so that only complete events are forwarded.
//!
//! A broken stream can be resumed at another engine only if the bytes that the client has received end with an event.

use std::{mem, str};

use bytes::{Bytes, BytesMut};
use kernel::clock;

/// Maximum size of a buffered event in bytes, larger than any real event. A body without events is forwarded rather
/// than buffered beyond it.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a stream into complete events. Invariant, unless `is_misaligned`: the bytes that `feed` returned end with an
/// event, and `partial_event` holds the bytes of the incomplete event that follows.
#[derive(Default)]
pub struct EventSplitter {
    partial_event: BytesMut,
    /// Id of the last event that was returned.
    pub last_event_id: Option<String>,
    /// Number of events that were returned.
    pub events: u64,
    /// Whether `feed` returned bytes that do not end with an event.
    is_misaligned: bool,
    /// When the first events were returned, in milliseconds of the steady clock.
    first_event_at: Option<u64>,
    /// Number of events that were returned first, together.
    first_event_count: u64,
    /// When the last event was returned, in milliseconds of the steady clock.
    last_event_at: u64,
    /// Number of events that were returned after the first ones.
    later_event_count: u64,
}

impl EventSplitter {
    /// Appends bytes of the stream, and returns the events that they complete.
    pub fn feed(&mut self, data: &[u8]) -> Bytes {
        let scan_from = self.partial_event.len().saturating_sub(3);
        self.partial_event.extend_from_slice(data);
        let Some(end) = last_event_end(&self.partial_event, scan_from) else {
            if self.partial_event.len() > MAX_EVENT_BYTES {
                self.is_misaligned = true;
                return self.partial_event.split().freeze();
            }
            return Bytes::new();
        };
        let complete = self.partial_event.split_to(end).freeze();
        self.record_events(&complete);
        complete
    }

    /// Returns the mean interval between events in microseconds; `None` if no event came after the first ones.
    pub fn mean_interval_us(&self) -> Option<u64> {
        let span_ms = self.last_event_at.checked_sub(self.first_event_at?)?;
        (self.later_event_count > 0).then(|| span_ms * 1000 / self.later_event_count)
    }

    fn record_events(&mut self, complete: &[u8]) {
        for line in complete.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.starts_with(b"data") {
                self.events += 1;
            }
            let Some(id) = line.strip_prefix(b"id:") else { continue };
            if let Ok(text) = str::from_utf8(id) {
                self.last_event_id = Some(text.trim().to_string());
            }
        }
        self.record_event_time(clock::now());
    }

    fn record_event_time(&mut self, now: u64) {
        if self.events == 0 {
            return;
        }
        if self.first_event_at.is_none() {
            // Events that arrived together with the first one do not count towards the interval.
            self.first_event_at = Some(now);
            self.first_event_count = self.events;
        }
        self.last_event_at = now;
        self.later_event_count = self.events - self.first_event_count;
    }

    /// Returns whether another engine can resume the stream. What was returned must end with an event, and must include
    /// an event id if it includes events.
    pub fn is_resumable(&self) -> bool {
        !self.is_misaligned && (self.events == 0 || self.last_event_id.is_some())
    }

    /// Takes the remaining bytes at the end of a complete body.
    pub fn take_partial_event(&mut self) -> Bytes {
        self.partial_event.split().freeze()
    }

    /// Discards the incomplete event of a body that broke off. Returns whether there was one.
    pub fn discard_partial_event(&mut self) -> bool {
        !mem::take(&mut self.partial_event).is_empty()
    }
}

/// Returns the end of the last complete event in `text`, searching from offset `from`.
fn last_event_end(text: &[u8], from: usize) -> Option<usize> {
    let mut end = None;
    for position in from..text.len() {
        if text[position] != b'\n' {
            continue;
        }
        let before = &text[..position];
        if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
            end = Some(position + 1);
        }
    }
    end
}

#[cfg(test)]
#[path = "event_stream_tests.rs"]
mod tests;
