//! The configuration in force: the routing table, tenants, evacuations, and the proof that the table is current.

pub mod activation;
pub mod evacuation;
pub mod freshness;
pub mod routing_table;
pub mod tenants;
pub mod version_bounds;
