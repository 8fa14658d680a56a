//! Limits that are enforced before a request is sent.

pub mod quota_gate;
