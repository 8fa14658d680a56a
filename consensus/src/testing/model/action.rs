//! What may happen next.

use protocol::message::Position;

use super::explore::Step;
use super::machines::MachineSet;
use super::Model;

/// One atomic event. A message that is lost, late or cut off is one whose action does not come, or comes late;
/// a doubled one comes again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A proposer begins its next proposal under this turn and core, giving up the present one.
    Begin { proposer: usize, turn: u64, core: usize },
    /// The present poll of a proposer reaches a voter, whose vote is under way.
    Deliver { proposer: usize, machine: usize },
    /// A voter refuses the present poll, and the proposer hears of it.
    Refuse { proposer: usize, machine: usize },
    /// A proposer counts the votes of these machines, which are a quorum.
    Count { proposer: usize, machines: MachineSet },
    /// A poll of a round long over reaches a voter.
    DeliverLate { place: Position, machine: usize },
    /// A proposer loses its memory and begins a new life.
    Restart { proposer: usize },
    /// A coordinator hears of the newest core.
    Inform { proposer: usize },
    /// A machine loses its disk, and with it its memory; it is told of a committed core, perhaps an old one.
    Wipe { machine: usize, core: usize },
    /// Time passes.
    Elapse,
    /// A voter without memory hears of a newer core.
    Learn { machine: usize, core: usize },
    /// A voter without memory reads what another holds.
    Read { machine: usize, from: usize },
    /// The next core, or the changed one as settled, is committed, on these disks if it matters.
    CommitCore { proposer: usize, quorum: MachineSet },
    /// A machine is told of the changed core and says which keys it holds.
    Spread { proposer: usize, machine: usize },
}

pub type Successor = Step<Model>;
