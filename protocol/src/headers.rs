//! Names of the published wire, in one place.
pub const ATTEMPT: &str = "attempt-id";
pub const BUDGET: &str = "time-budget";
pub const PREFIX: &str = "prompt-prefix";
pub const LAST: &str = "last-event-id";
pub const SEAL: &str = "response-seal";
pub const TARGET: &str = "target-instance";
pub const LOAD: &str = "server-load";
pub const UNRUN: &str = "not-executed";
pub const TOKENS: &str = "token-count";
pub const STAGE: &str = "serving-phase";
pub const SOURCE: &str = "kv-source";
pub const URGENCY: &str = "urgency-class";
pub const EXPECT: &str = "expected-version";
pub const WEIGHTS: &str = "weight-versions";
pub const MODEL: &str = "model";
pub const INSTANCE: &str = "instance-id";
/// The name of the tenant that holds the client's key; set by the system alone.
pub const TENANT: &str = "tenant";
