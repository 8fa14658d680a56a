//! Which controllers and routers are alive, and the order in which singleton roles fall to controllers.
//!
//! Every controller keeps its own [`MembershipView`] from heartbeats and leases. The crate is pure: it holds no clock and no
//! connection. Times come in with every call, in milliseconds of the caller's steady clock (`kernel::clock::now`), so that the
//! simulations run in virtual time.
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
