//! A soak test of planned maintenance: real daemons on loopback addresses receive signals, restarts and configuration
//! changes in overlapping series, while clients keep using their connections until the process behind them exits.
//!
//! A seed determines the schedule. The checks rely on what the clients, the stub engines, the stub platform and the
//! operator observe on their sockets, and on process exits: no accepted request is abandoned, none runs twice, no
//! acknowledged configuration change or add to a tally is lost, and each process exits within its grace period.

mod application;
mod client;
mod engine;
mod evacuations;
mod fleet;
mod http;
mod operator;
mod overlaps;
mod platform;
mod process;
mod relay;
mod report;
mod run;
mod scenario;
mod usage;
mod versions;

pub use fleet::Programs;
pub use report::{Report, Violation};
pub use run::run;
pub use scenario::Scenario;
