//! Support for tests of this crate: configurations generated from a seed, ways to corrupt them, and stored frames.

pub mod corruptions;
pub mod samples;
pub mod stored_frames;
