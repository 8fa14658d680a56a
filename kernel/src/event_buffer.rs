//! A bounded in-memory list of numbered events: when it is full, the oldest give way to new ones.

use std::collections::VecDeque;

/// An event as the buffer keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedEvent<E> {
    /// Counts from 1 and is never used again in this process.
    pub number: u64,
    /// When the event was pushed, on the steady clock.
    pub time_ms: u64,
    /// What was pushed.
    pub event: E,
}

/// The newest events.
///
/// Invariants: it never holds more than `capacity` events; numbers rise by one and are never used again.
pub struct EventBuffer<E> {
    events: VecDeque<NumberedEvent<E>>,
    next_number: u64,
    capacity: usize,
}

impl<E> EventBuffer<E> {
    /// Creates an empty buffer for `capacity` events, at least one.
    pub fn new(capacity: usize) -> Self {
        EventBuffer { events: VecDeque::new(), next_number: 1, capacity: capacity.max(1) }
    }

    /// Appends an event, drops the oldest one if the buffer is full, and returns the number of the new one.
    pub fn push(&mut self, time_ms: u64, event: E) -> u64 {
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        let number = self.next_number;
        self.next_number += 1;
        self.events.push_back(NumberedEvent { number, time_ms, event });
        number
    }

    /// Iterates over the events with a higher number than `number`, oldest first.
    pub fn events_since(&self, number: u64) -> impl Iterator<Item = &NumberedEvent<E>> {
        self.events.iter().filter(move |event| event.number > number)
    }

    /// Returns how many events the buffer holds.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns whether nothing was pushed yet.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the number of the newest event; zero before the first.
    pub fn last_number(&self) -> u64 {
        self.next_number - 1
    }
}

#[cfg(test)]
#[path = "event_buffer_tests.rs"]
mod tests;
