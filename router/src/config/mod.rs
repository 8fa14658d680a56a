//! The configuration in force: the routing table, tenants, evacuations, and how current the table is proved to be.

pub mod activation;
pub mod evacuation;
pub mod freshness;
pub mod routing_table;
pub mod tenants;
pub mod version_bounds;
