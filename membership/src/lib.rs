//! Liveness of controllers and routers, and the order in which controllers are preferred as owners of singleton roles.
//!
//! Every controller builds its own [`MembershipView`] from heartbeats and leases. The crate does no I/O and reads no
//! clock: callers pass the time in milliseconds of their monotonic clock (`kernel::clock::now`), so that simulations
//! can run in virtual time.
#![deny(missing_docs)]

mod eligible_owner;
mod engine_usage;
mod liveness;
mod peer;
mod platform_access;
mod role_order;
mod router_lease;
pub mod singleton_role;
#[cfg(test)]
mod testing;
mod view;

pub use eligible_owner::EligibleOwner;
pub use peer::{Peer, PeerReport};
pub use platform_access::PlatformAccess;
pub use router_lease::RouterLease;
pub use view::MembershipView;
