//! Rate limits of tenants, enforced before a request is sent to an engine.

pub mod quota_gate;
