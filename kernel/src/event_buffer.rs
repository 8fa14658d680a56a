//! A bounded in-memory buffer of numbered events that evicts the oldest when it is full.

use std::collections::VecDeque;

/// An event with its number and time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedEvent<E> {
    /// The sequence number, from 1; never reused by the same buffer.
    pub number: u64,
    /// The time that was given when the event was pushed, in milliseconds of the monotonic clock.
    pub time_ms: u64,
    /// The event itself.
    pub event: E,
}

/// Keeps the newest events.
///
/// Invariants: it never holds more than `capacity` events; numbers increase by one and are never reused.
pub struct EventBuffer<E> {
    events: VecDeque<NumberedEvent<E>>,
    next_number: u64,
    capacity: usize,
}

impl<E> EventBuffer<E> {
    /// Creates an empty buffer for `capacity` events, or for one if `capacity` is zero.
    pub fn new(capacity: usize) -> Self {
        EventBuffer { events: VecDeque::new(), next_number: 1, capacity: capacity.max(1) }
    }

    /// Appends an event, evicting the oldest if the buffer is full, and returns the number of the new event.
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

    /// Returns the number of events in the buffer.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns whether no event has been pushed yet.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the sequence number of the newest event, or zero before the first.
    pub fn last_number(&self) -> u64 {
        self.next_number - 1
    }
}

#[cfg(test)]
#[path = "event_buffer_tests.rs"]
mod tests;
