//! Who is there: leases of controllers and routers, and the order in which duties fall to them. Pure:
//! time comes in with every call.

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
