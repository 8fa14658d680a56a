//! Cutting a stream of events at its joints, so that only whole events are passed on.

use std::str;

use bytes::{Bytes, BytesMut};
use kernel::clock;

/// Invariant: what `feed` gave out ends at the end of an event; `rest` holds the bytes of an event
/// that is not whole; `last` is the id of the last event given out; `torn` once this does not hold any more.
#[derive(Default)]
pub struct Splitter {
    rest: BytesMut,
    pub last: Option<String>,
    pub events: u64,
    torn: bool,
    /// When the first events were given out, and how many they were.
    first_at: Option<u64>,
    first_events: u64,
    /// When the last event was given out, and how many came after the first ones.
    last_at: (u64, u64),
}

/// Larger than any event; a body without joints is passed on rather than held.
const MOST: usize = 256 * 1024;

impl Splitter {
    pub fn feed(&mut self, data: &[u8]) -> Bytes {
        let scan = self.rest.len().saturating_sub(3);
        self.rest.extend_from_slice(data);
        let Some(end) = joint(&self.rest, scan) else {
            if self.rest.len() > MOST {
                self.torn = true;
                return self.rest.split().freeze();
            }
            return Bytes::new();
        };
        let out = self.rest.split_to(end).freeze();
        self.note(&out);
        out
    }

    /// The mean time between events in microseconds, where there were several.
    pub fn pace_us(&self) -> Option<u64> {
        let (last_at, before) = self.last_at;
        let span_ms = last_at.checked_sub(self.first_at?)?;
        (before > 0).then(|| span_ms * 1000 / before)
    }

    fn note(&mut self, out: &[u8]) {
        for line in out.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.starts_with(b"data") {
                self.events += 1;
            }
            let Some(id) = line.strip_prefix(b"id:") else { continue };
            if let Ok(text) = str::from_utf8(id) {
                self.last = Some(text.trim().to_string());
            }
        }
        self.note_time(clock::now());
    }

    fn note_time(&mut self, now: u64) {
        if self.events == 0 {
            return;
        }
        if self.first_at.is_none() {
            // Events that came together with the first one tell nothing of the pace.
            self.first_at = Some(now);
            self.first_events = self.events;
        }
        self.last_at = (now, self.events - self.first_events);
    }

    /// Can another engine go on behind what was given out? Not where that does not end at an event with an id.
    pub fn resumable(&self) -> bool {
        !self.torn && (self.events == 0 || self.last.is_some())
    }

    /// What is left at the end of a body that ended as it should.
    pub fn end(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    /// What is left of a body that broke off is thrown away.
    pub fn cut(&mut self) {
        self.rest.clear();
    }
}

/// The end of the last whole event in `text`.
fn joint(text: &[u8], from: usize) -> Option<usize> {
    let mut end = None;
    for at in from..text.len() {
        if text[at] != b'\n' {
            continue;
        }
        let before = &text[..at];
        if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
            end = Some(at + 1);
        }
    }
    end
}

#[cfg(test)]
#[path = "event_stream_tests.rs"]
mod tests;
