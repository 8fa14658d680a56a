//! What every daemon stands on: settings, clock, log, journal, signals and the plug-in registry.
pub mod clock;
pub mod convergence;
pub mod event_buffer;
pub mod log;
pub mod plugin;
pub mod settings;
pub mod signal;
pub mod startup;
