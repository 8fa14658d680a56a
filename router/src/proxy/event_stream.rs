//! Cutting a stream of events at its joints, so that only whole events are passed on.

use std::str;

use bytes::{Bytes, BytesMut};
use kernel::clock;

/// Invariant: what `feed` gave out ends at the end of an event; `rest` holds the bytes of an event
/// that is not whole; `last` is the id of the last event given out; `torn` once this does not hold any more.
#[derive(Default)]
pub struct EventSplitter {
    partial_event: BytesMut,
    pub last_event_id: Option<String>,
    pub events: u64,
    is_misaligned: bool,
    /// When the first events were given out, and how many they were.
    first_event_at: Option<u64>,
    first_event_count: u64,
    /// When the last event was given out, and how many came after the first ones.
    last_event_at: (u64, u64),
}

/// Larger than any event; a body without joints is passed on rather than held.
const MAX_EVENT_BYTES: usize = 256 * 1024;

impl EventSplitter {
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

    /// The mean time between events in microseconds, where there were several.
    pub fn mean_interval_us(&self) -> Option<u64> {
        let (last_event_at, event_count) = self.last_event_at;
        let span_ms = last_event_at.checked_sub(self.first_event_at?)?;
        (event_count > 0).then(|| span_ms * 1000 / event_count)
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
            // Events that came together with the first one tell nothing of the pace.
            self.first_event_at = Some(now);
            self.first_event_count = self.events;
        }
        self.last_event_at = (now, self.events - self.first_event_count);
    }

    /// Can another engine go on behind what was given out? Not where that does not end at an event with an id.
    pub fn is_resumable(&self) -> bool {
        !self.is_misaligned && (self.events == 0 || self.last_event_id.is_some())
    }

    /// What is left at the end of a body that ended as it should.
    pub fn take_partial_event(&mut self) -> Bytes {
        self.partial_event.split().freeze()
    }

    /// What is left of a body that broke off is thrown away.
    pub fn discard_partial_event(&mut self) {
        self.partial_event.clear();
    }
}

/// The end of the last whole event in `text`.
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
