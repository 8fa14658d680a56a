//! The actions of the model.

use protocol::message::Position;

use super::explore::Step;
use super::machines::MachineSet;
use super::Model;

/// An atomic event. The action that delivers a message never happens if the message is lost, happens late if it is
/// delayed, and happens again if it is duplicated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A proposer begins its next proposal under this term and membership and abandons the current one.
    Begin { proposer: usize, term: u64, membership: usize },
    /// The current request of a proposer reaches an acceptor, whose response is now in transit.
    Deliver { proposer: usize, machine: usize },
    /// An acceptor rejects the current request, and the proposer receives the rejection.
    Reject { proposer: usize, machine: usize },
    /// A proposer counts the responses of these machines, which form a quorum.
    Count { proposer: usize, machines: MachineSet },
    /// A request of a round that has already ended reaches an acceptor.
    DeliverLate { position: Position, machine: usize },
    /// A proposer restarts: it loses its memory and begins a new incarnation.
    Restart { proposer: usize },
    /// A coordinator learns the newest membership.
    Inform { proposer: usize },
    /// A machine loses its disk and is notified of a committed membership, which may be outdated.
    Wipe { machine: usize, membership: usize },
    /// Time passes.
    Elapse,
    /// An acceptor that lost its disk learns a newer membership.
    LearnMembership { machine: usize, membership: usize },
    /// An acceptor that lost its disk reads the registers of another.
    Read { machine: usize, from: usize },
    /// The next joint membership, or the stable form of the current one, is committed. The quorum is empty if it makes
    /// no difference which machines store the entry.
    CommitMembership { proposer: usize, quorum: MachineSet },
    /// A machine is notified of the joint membership and reports which keys it holds.
    Announce { proposer: usize, machine: usize },
}

/// An action in a state of the model, with its outcome.
pub type Successor = Step<Model>;
