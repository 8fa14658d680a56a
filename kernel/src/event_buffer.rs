//! The in-memory journal: events are appended, views are folded from it. Bounded: the oldest go.

use std::collections::VecDeque;

/// Invariants: `list.len() <= room`; numbers rise by one and are never used again.
pub struct EventBuffer<E> {
    list: VecDeque<(u64, u64, E)>,
    next: u64,
    room: usize,
}

impl<E> EventBuffer<E> {
    pub fn new(room: usize) -> Self {
        EventBuffer { list: VecDeque::new(), next: 1, room: room.max(1) }
    }

    pub fn push(&mut self, time: u64, event: E) -> u64 {
        if self.list.len() == self.room {
            self.list.pop_front();
        }
        let mark = self.next;
        self.next += 1;
        self.list.push_back((mark, time, event));
        mark
    }

    /// Folds a view from the events after `mark`.
    pub fn fold<V>(&self, mark: u64, first: V, mut step: impl FnMut(V, u64, &E) -> V) -> V {
        let mut view = first;
        for (number, time, event) in &self.list {
            if *number > mark {
                view = step(view, *time, event);
            }
        }
        view
    }

    pub fn len(&self) -> usize {
        self.list.len()
    }

    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    pub fn last(&self) -> u64 {
        self.next - 1
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn oldest_events_give_way_and_numbers_rise() {
        let mut book = super::EventBuffer::new(2);
        for word in ["a", "b", "c"] {
            book.push(0, word);
        }
        let seen = book.fold(0, Vec::new(), |mut list, _, word| {
            list.push(*word);
            list
        });
        assert_eq!(seen, ["b", "c"]);
        assert_eq!(book.last(), 3);
    }
}
