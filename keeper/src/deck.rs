//! The configuration in the form in which routers take it: frames sealed once and sent to many.

/// Invariants: `steps` is a chain, each from the revision before it to the next, the last one ending
/// at `held`; `whole` is of `held`. What is kept is bounded by count and by bytes.
#[derive(Default)]
pub struct Deck {
    held: Option<wire::config::Config>,
    whole: Option<bytes::Bytes>,
    steps: std::collections::VecDeque<(u64, bytes::Bytes)>,
}

const STEPS: usize = 64;
const BYTES: usize = 1 << 20;

fn frame(change: &wire::change::Change) -> Option<bytes::Bytes> {
    let msg = wire::msg::Msg::Change(Box::new(change.write()));
    wire::frame::seal(wire::frame::Kind::Cast, 0, &msg).ok().map(bytes::Bytes::from)
}

impl Deck {
    pub fn revision(&self) -> u64 {
        self.held.as_ref().map_or(0, |held| held.revision)
    }

    pub fn held(&self) -> Option<&wire::config::Config> {
        self.held.as_ref()
    }

    /// A newer configuration is in force. One that is not newer changes nothing.
    pub fn turn(&mut self, config: wire::config::Config) {
        if config.revision <= self.revision() {
            return;
        }
        let step = self.held.as_ref().and_then(|held| frame(&wire::change::Change::between(held, &config)));
        match step {
            Some(step) => self.steps.push_back((self.revision(), step)),
            None => self.steps.clear(),
        }
        let bytes = |steps: &std::collections::VecDeque<(u64, bytes::Bytes)>| -> usize {
            steps.iter().map(|(_, step)| step.len()).sum()
        };
        while self.steps.len() > STEPS || bytes(&self.steps) > BYTES {
            self.steps.pop_front();
        }
        (self.held, self.whole) = (Some(config), None);
    }

    /// What brings one that has revision `has` up to date: the steps from there, or the whole where
    /// there are none or they come to more.
    pub fn frames(&mut self, has: u64) -> Vec<bytes::Bytes> {
        if has >= self.revision() {
            return Vec::new();
        }
        let from = self.steps.iter().position(|(from, _)| *from == has);
        let steps: Vec<bytes::Bytes> =
            from.map_or(Vec::new(), |at| self.steps.iter().skip(at).map(|(_, step)| step.clone()).collect());
        let size: usize = steps.iter().map(bytes::Bytes::len).sum();
        // One step is as good as always the least: the whole need not be made to see it.
        if steps.len() == 1 {
            return steps;
        }
        if self.whole.is_none() {
            self.whole = self.held.as_ref().and_then(|held| frame(&wire::change::Change::whole(held)));
        }
        match &self.whole {
            Some(whole) if steps.is_empty() || size >= whole.len() => vec![whole.clone()],
            _ => steps,
        }
    }
}

#[cfg(test)]
#[path = "deck_tests.rs"]
mod tests;
