//! The durable state of up to `PAGE` jobs: what one key of the ledger holds.

use crate::sheet::Batch;

#[derive(Clone, Debug, Default, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum State {
    #[default]
    Waiting,
    /// Sent, by the owner of the page's epoch: it may run.
    Begun,
    /// Answered: the one receipt.
    Done {
        status: u16,
        body: String,
    },
    /// It may have run and may not be repeated; its answer is lost.
    Unknown,
    /// It could not make its window. It has not run, or its runs gave no answer.
    Missed,
    Cancelled,
}

impl State {
    /// A receipt: final, never changed again.
    pub fn closed(&self) -> bool {
        !matches!(self, State::Waiting | State::Begun)
    }

    pub fn word(&self) -> &'static str {
        match self {
            State::Waiting => "waiting",
            State::Begun => "running",
            State::Done { .. } => "done",
            State::Unknown => "unknown",
            State::Missed => "missed",
            State::Cancelled => "cancelled",
        }
    }
}

/// Invariants: `epoch` never falls, and only the owner under it changes the page; a closed state is
/// never changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Page {
    pub epoch: u64,
    pub states: Vec<State>,
}

/// Why a change is not made: another owner holds the page, or the job has its receipt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bar {
    Epoch,
    Closed,
}

impl Page {
    pub fn new(count: usize) -> Page {
        Page { epoch: 0, states: vec![State::Waiting; count] }
    }

    /// A new owner takes the page over. What the last one sent may have run: it is run again only
    /// where that is allowed, else its outcome is unknown.
    pub fn claim(&mut self, epoch: u64, repeatable: impl Fn(usize) -> bool) -> Result<(), Bar> {
        if epoch <= self.epoch {
            return Err(Bar::Epoch);
        }
        self.epoch = epoch;
        for (at, state) in self.states.iter_mut().enumerate() {
            if *state == State::Begun {
                *state = if repeatable(at) { State::Waiting } else { State::Unknown };
            }
        }
        Ok(())
    }

    /// Must be durable before the job is sent.
    pub fn begin(&mut self, at: usize, epoch: u64) -> Result<(), Bar> {
        self.set(at, epoch, State::Begun)
    }

    /// It has not run: it waits again.
    pub fn unrun(&mut self, at: usize, epoch: u64) -> Result<(), Bar> {
        self.set(at, epoch, State::Waiting)
    }

    pub fn close(&mut self, at: usize, epoch: u64, state: State) -> Result<(), Bar> {
        self.set(at, epoch, state)
    }

    fn set(&mut self, at: usize, epoch: u64, state: State) -> Result<(), Bar> {
        if epoch != self.epoch {
            return Err(Bar::Epoch);
        }
        let Some(held) = self.states.get_mut(at).filter(|held| !held.closed()) else { return Err(Bar::Closed) };
        *held = state;
        Ok(())
    }

    pub fn closed(&self) -> bool {
        self.states.iter().all(State::closed)
    }
}

kernel::impl_archive_bytes!(Page);
kernel::impl_archive_bytes!(Batch);

#[cfg(test)]
#[path = "page_tests.rs"]
mod tests;
