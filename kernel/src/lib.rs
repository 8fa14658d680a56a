//! What every daemon stands on: settings, clock, log, journal, signals and the plug-in registry.
pub mod clock;
pub mod convergence;
pub mod entry;
pub mod env;
pub mod journal;
pub mod log;
pub mod plug;
pub mod signal;
