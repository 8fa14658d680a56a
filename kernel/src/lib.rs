//! Shared foundations of both daemons: settings, clock, log, signals, start-up and the plug-in registry.
#![deny(missing_docs)]

mod archive;
pub mod clock;
mod convergence;
mod event_buffer;
pub mod hashing;
mod incarnation;
pub mod log;
pub mod plugin;
mod rng;
pub mod settings;
pub mod signal;
pub mod startup;

pub use convergence::ConvergenceBudget;
pub use event_buffer::{EventBuffer, NumberedEvent};
pub use incarnation::new_incarnation;
pub use plugin::Plugin;
pub use rng::Rng;
pub use settings::{Settings, SettingsError};
