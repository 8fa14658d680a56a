//! What an owner does next: which jobs to send, how many at once, and how urgent they are.

/// How hard a batch may press. Interactive work always goes first at the engines; `Near` only means
/// that less spare room is asked for before a job is let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Press {
    Idle,
    Near,
}

/// The last part of a window, in which a batch presses.
const NEAR: f64 = 0.25;

/// One batch as its owner sees it.
pub struct View<'a> {
    pub id: &'a str,
    pub left_ms: u64,
    pub window_ms: u64,
    /// Jobs that wait, by number; those under way are not among them.
    pub waiting: Vec<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    pub id: String,
    pub job: usize,
    pub press: Press,
}

pub fn press(left_ms: u64, window_ms: u64) -> Press {
    if (left_ms as f64) < NEAR * window_ms as f64 {
        return Press::Near;
    }
    Press::Idle
}

/// Fills the free places: earliest end of window first, then by id.
pub fn next(views: &[View], free: usize) -> Vec<Send> {
    let mut order: Vec<&View> = views.iter().filter(|view| view.left_ms > 0).collect();
    order.sort_by_key(|view| (view.left_ms, view.id.to_string()));
    let all = order.iter().flat_map(|view| {
        let press = press(view.left_ms, view.window_ms);
        view.waiting.iter().map(move |job| Send { id: view.id.to_string(), job: *job, press })
    });
    all.take(free).collect()
}

/// How many jobs may be under way: one more for each that found room, fewer by a quarter after one that
/// was turned away; above what was left then, one more for each round only.
/// Invariant: 1 <= `places` <= `most`.
#[derive(Clone, Debug)]
pub struct Pace {
    places: f64,
    knee: f64,
    most: f64,
    pub rest_until: u64,
}

/// How long nothing is sent after a refusal, unless the refusal says longer.
const REST_MS: u64 = 300;
/// What is left of the places after a refusal: enough to stand back, not to start anew.
const BACK: f64 = 0.75;

impl Pace {
    pub fn new(most: usize) -> Pace {
        Pace { places: 2.0, knee: most as f64, most: most.max(1) as f64, rest_until: 0 }
    }

    pub fn free(&self, under_way: usize, now: u64) -> usize {
        if now < self.rest_until {
            return 0;
        }
        (self.places as usize).saturating_sub(under_way)
    }

    pub fn good(&mut self) {
        let step = if self.places < self.knee { 1.0 } else { 1.0 / self.places };
        self.places = (self.places + step).min(self.most);
    }

    pub fn refused(&mut self, wait_ms: Option<u64>, now: u64) {
        self.places = (self.places * BACK).max(1.0);
        self.knee = self.places;
        self.rest_until = self.rest_until.max(now + wait_ms.unwrap_or(REST_MS).max(REST_MS));
    }
}

#[cfg(test)]
#[path = "turn_tests.rs"]
mod tests;
