//! Names of the headers that the published protocol defines.

/// Identifies a request; the response to it carries the same id.
pub const ATTEMPT_ID: &str = "attempt-id";
/// The time that is left for a request, in milliseconds.
pub const TIME_BUDGET: &str = "time-budget";
/// The hashes of a prompt's prefixes.
pub const PROMPT_PREFIX: &str = "prompt-prefix";
/// The last event of a stream that a client has, when it resumes.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Set on a response that an engine gave as the result of a request.
pub const RESPONSE_SEAL: &str = "response-seal";
/// The id of the engine that a request is meant for.
pub const TARGET_INSTANCE: &str = "target-instance";
/// The load that an engine reports with a response.
pub const SERVER_LOAD: &str = "server-load";
/// Set on a response when the engine did not execute the request.
pub const NOT_EXECUTED: &str = "not-executed";
/// The number of tokens of a prompt.
pub const TOKEN_COUNT: &str = "token-count";
/// The phase for which a request is sent to an engine.
pub const SERVING_PHASE: &str = "serving-phase";
/// Where an engine fetches the KV cache of the prompt.
pub const KV_SOURCE: &str = "kv-source";
/// The class of urgency of a request.
pub const URGENCY_CLASS: &str = "urgency-class";
/// The version of the weights that an engine must have to run a request.
pub const EXPECTED_VERSION: &str = "expected-version";
/// The versions of weights that an engine has.
pub const WEIGHT_VERSIONS: &str = "weight-versions";
/// The model that a request is for.
pub const MODEL: &str = "model";
/// The id of the engine that responded.
pub const INSTANCE_ID: &str = "instance-id";
/// The name of the tenant that holds the client's key; set by the system alone.
pub const TENANT: &str = "tenant";
