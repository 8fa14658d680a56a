//! Messages between daemons, their framing and connections, and the validated form of an operator's configuration.
//!
//! [`message`] defines the messages, [`frame`] their encoding, [`link`] and [`socket`] the connections. [`config`]
//! parses and validates configurations, and [`config_update`] encodes them for routers.
//!
//! Archived bytes depend on the order of fields and variants: types that derive `rkyv` traits must keep theirs. A later
//! protocol version adds variants at the end of [`message::Message`], and sends them only to daemons that announce
//! support for that version.

#![deny(missing_docs)]

mod capability;
mod compression;
pub mod config;
pub mod config_update;
mod dialer;
pub mod frame;
pub mod headers;
mod hidden_key;
pub mod link;
pub mod message;
pub mod metering;
pub mod operator_request;
pub mod quota;
mod register_keys;
pub mod renewal;
pub mod response_framing;
pub mod socket;
pub mod stable_version;
mod staleness_limit;
pub mod tally;
pub mod traffic;
mod version_entry;
pub mod version_rollout;
pub mod version_samples;

pub use dialer::Dialer;

#[cfg(test)]
mod stored_by_5_tests;
#[cfg(test)]
mod stored_by_6_tests;
#[cfg(test)]
mod stored_by_7_tests;
#[cfg(test)]
mod stored_by_8_tests;
#[cfg(test)]
mod stored_by_9_tests;
#[cfg(test)]
mod testing;
