//! Operators' requests, which controllers relay to the owner of the key, and the notification of other controllers.

mod messages;

pub use messages::{CommittedDelta, ConfigChange, OperatorRequest, OperatorResponse};
