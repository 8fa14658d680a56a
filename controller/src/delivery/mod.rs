//! Delivery to routers: their subscriptions, what each lacks, and what they have confirmed.

pub mod limit_confirmations;
pub mod subscribers;
pub mod updates;
