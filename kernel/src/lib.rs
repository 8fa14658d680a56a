//! What every daemon stands on: settings, clock, log, journal, signals and the plug-in registry.
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
pub use rng::Rng;
