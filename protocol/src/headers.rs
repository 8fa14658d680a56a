//! Names of the published wire, in one place.
pub const ATTEMPT_ID: &str = "attempt-id";
pub const TIME_BUDGET: &str = "time-budget";
pub const PROMPT_PREFIX: &str = "prompt-prefix";
pub const LAST_EVENT_ID: &str = "last-event-id";
pub const RESPONSE_SEAL: &str = "response-seal";
pub const TARGET_INSTANCE: &str = "target-instance";
pub const SERVER_LOAD: &str = "server-load";
pub const NOT_EXECUTED: &str = "not-executed";
pub const TOKEN_COUNT: &str = "token-count";
pub const SERVING_PHASE: &str = "serving-phase";
pub const KV_SOURCE: &str = "kv-source";
pub const URGENCY_CLASS: &str = "urgency-class";
pub const EXPECTED_VERSION: &str = "expected-version";
pub const WEIGHT_VERSIONS: &str = "weight-versions";
pub const MODEL: &str = "model";
pub const INSTANCE_ID: &str = "instance-id";
/// The name of the tenant that holds the client's key; set by the system alone.
pub const TENANT: &str = "tenant";
