//! Control state on a quorum of disks: registers, the acceptor's disk, confirmation, recovery and changes of the members.

pub mod committed_state;
pub mod confirmer;
pub mod disk;
pub mod reconfiguration;
pub mod recovery;
pub mod registers;
pub mod replica;
pub mod shared_state;
