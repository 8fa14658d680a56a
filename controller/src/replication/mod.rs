//! Control state replicated on a quorum of disks: registers, the acceptor's disk, confirmation, recovery, and
//! reconfiguration of the core.

pub mod committed_state;
pub mod confirmer;
pub mod disk;
pub mod reconfiguration;
pub mod recovery;
pub mod registers;
pub mod replica;
pub mod shared_state;
