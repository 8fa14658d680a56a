//! What may happen next.

use protocol::message::Position;

use super::explore::Step;
use super::machines::MachineSet;
use super::Model;

/// One atomic event. A message that is lost, late or cut off is one whose action does not come, or comes late;
/// a doubled one comes again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A proposer begins its next proposal under this term and membership, giving up the present one.
    Begin { proposer: usize, term: u64, membership: usize },
    /// The present request of a proposer reaches an acceptor, whose response is on its way.
    Deliver { proposer: usize, machine: usize },
    /// An acceptor rejects the present request, and the proposer learns of it.
    Reject { proposer: usize, machine: usize },
    /// A proposer counts the responses of these machines, which are a quorum.
    Count { proposer: usize, machines: MachineSet },
    /// A request of a round that ended long ago reaches an acceptor.
    DeliverLate { position: Position, machine: usize },
    /// A proposer loses its memory and begins a new incarnation.
    Restart { proposer: usize },
    /// A coordinator learns of the newest membership.
    Inform { proposer: usize },
    /// A machine loses its disk; it is notified of a committed membership, perhaps an old one.
    Wipe { machine: usize, membership: usize },
    /// Time passes.
    Elapse,
    /// An acceptor that lost its disk learns of a newer membership.
    LearnMembership { machine: usize, membership: usize },
    /// An acceptor that lost its disk reads the registers of another.
    Read { machine: usize, from: usize },
    /// The next membership, or the changed one as stable, is committed, on these disks if it matters.
    CommitMembership { proposer: usize, quorum: MachineSet },
    /// A machine is notified of the changed membership and says which keys it holds.
    Announce { proposer: usize, machine: usize },
}

/// One way on from a state of the model.
pub type Successor = Step<Model>;
