//! The configuration in the form in which routers take it: frames encoded once and sent to many.

/// How many changes are kept, and how many bytes of them.
const MOST_CHANGES: usize = 64;
const MOST_BYTES: usize = 1 << 20;

/// A change from the revision `from` to the next one that was in force here.
struct EncodedChange {
    from: u64,
    frame: bytes::Bytes,
}

/// Invariants: `changes` is a chain, each from the revision before it to the next, the last one ending
/// at `current`; `whole` is of `current`. What is kept is bounded by count and by bytes.
#[derive(Default)]
pub struct ConfigHistory {
    current: Option<wire::config::Config>,
    whole: Option<bytes::Bytes>,
    changes: std::collections::VecDeque<EncodedChange>,
    changes_bytes: usize,
}

fn encode(change: &wire::change::Change) -> Option<bytes::Bytes> {
    let msg = wire::msg::Msg::Change(Box::new(change.write()));
    wire::frame::seal(wire::frame::Kind::Cast, 0, &msg).ok().map(bytes::Bytes::from)
}

impl ConfigHistory {
    /// The revision in force; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.revision)
    }

    pub fn current(&self) -> Option<&wire::config::Config> {
        self.current.as_ref()
    }

    /// A newer configuration is in force. One that is not newer changes nothing.
    pub fn advance(&mut self, config: wire::config::Config) {
        if config.revision <= self.revision() {
            return;
        }
        let change = self.current.as_ref().and_then(|old| encode(&wire::change::Change::between(old, &config)));
        match change {
            Some(frame) => self.keep(EncodedChange { from: self.revision(), frame }),
            None => {
                self.changes.clear();
                self.changes_bytes = 0;
            }
        }
        (self.current, self.whole) = (Some(config), None);
    }

    fn keep(&mut self, change: EncodedChange) {
        self.changes_bytes += change.frame.len();
        self.changes.push_back(change);
        while self.changes.len() > MOST_CHANGES || self.changes_bytes > MOST_BYTES {
            let Some(oldest) = self.changes.pop_front() else { return };
            self.changes_bytes -= oldest.frame.len();
        }
    }

    /// What brings one that has the revision `has` up to date: the changes from there, or the whole where
    /// there are none or they come to more.
    pub fn frames(&mut self, has: u64) -> Vec<bytes::Bytes> {
        if has >= self.revision() {
            return Vec::new();
        }
        let changes = self.changes_from(has);
        // One change is as good as always the least: the whole need not be made to see it.
        if changes.len() == 1 {
            return changes;
        }
        if self.whole.is_none() {
            self.whole = self.current.as_ref().and_then(|current| encode(&wire::change::Change::whole(current)));
        }
        let size: usize = changes.iter().map(bytes::Bytes::len).sum();
        match &self.whole {
            Some(whole) if changes.is_empty() || size >= whole.len() => vec![whole.clone()],
            _ => changes,
        }
    }

    /// The chain from a revision on; empty where that revision is not known.
    fn changes_from(&self, has: u64) -> Vec<bytes::Bytes> {
        let known = self.changes.iter().skip_while(|change| change.from != has);
        known.map(|change| change.frame.clone()).collect()
    }

    /// Sends what a follower lacks. `has` rises only once all of it was taken by `send`; false: some was not.
    pub fn send_missing(&mut self, has: &mut u64, mut send: impl FnMut(bytes::Bytes) -> bool) -> bool {
        for frame in self.frames(*has) {
            if !send(frame) {
                return false;
            }
        }
        *has = self.revision().max(*has);
        true
    }
}

#[cfg(test)]
#[path = "config_history_tests.rs"]
mod tests;
