//! Delivery of state to routers: their subscriptions, missing updates and confirmations.

pub mod limit_confirmations;
pub mod subscribers;
pub mod updates;
