//! Names of the HTTP headers that the published protocol defines.

/// Identifies a request; the response to it carries the same id.
pub const ATTEMPT_ID: &str = "attempt-id";
/// The time remaining for a request, in milliseconds.
pub const TIME_BUDGET: &str = "time-budget";
/// The hashes of a prompt's prefixes.
pub const PROMPT_PREFIX: &str = "prompt-prefix";
/// The id of the last event that a client received of a stream that it resumes.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Set on a response that is an engine's result of a request.
pub const RESPONSE_SEAL: &str = "response-seal";
/// The id of the engine that a request is addressed to.
pub const TARGET_INSTANCE: &str = "target-instance";
/// The load that an engine reports with a response.
pub const SERVER_LOAD: &str = "server-load";
/// Set on a response when the engine did not execute the request.
pub const NOT_EXECUTED: &str = "not-executed";
/// The number of tokens of a prompt.
pub const TOKEN_COUNT: &str = "token-count";
/// The phase for which a request is sent to an engine.
pub const SERVING_PHASE: &str = "serving-phase";
/// The source from which an engine fetches the KV cache of the prompt.
pub const KV_SOURCE: &str = "kv-source";
/// The urgency class of a request.
pub const URGENCY_CLASS: &str = "urgency-class";
/// The weight version that an engine must have to run a request.
pub const EXPECTED_VERSION: &str = "expected-version";
/// The weight versions that an engine has.
pub const WEIGHT_VERSIONS: &str = "weight-versions";
/// The model that a request is for.
pub const MODEL: &str = "model";
/// The id of the engine that responded.
pub const INSTANCE_ID: &str = "instance-id";
/// How long the engine that answers a health check stays cold, in milliseconds.
pub const WARMUP_REMAINING: &str = "warmup-remaining";
/// The name of the tenant that owns the client's API key; set only by the system.
pub const TENANT: &str = "tenant";
