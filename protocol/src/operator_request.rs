//! Operators' requests as controllers relay them to the owner of their key, and how the outcome reaches the others.

mod messages;

pub use messages::{CommittedDelta, ConfigChange, OperatorRequest, OperatorResponse};
