//! Support for tests of this crate: configurations drawn from a seed, and ways to corrupt them.

pub mod corruptions;
pub mod samples;
pub mod stored_frames;
