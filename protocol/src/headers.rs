//! Names of the headers that the published protocol defines.

/// Tells attempts of one request apart.
pub const ATTEMPT_ID: &str = "attempt-id";
/// The time that is left for a request.
pub const TIME_BUDGET: &str = "time-budget";
/// The hashes of a prompt's prefixes.
pub const PROMPT_PREFIX: &str = "prompt-prefix";
/// The last event of a stream that a client has, when it resumes.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// What seals a response.
pub const RESPONSE_SEAL: &str = "response-seal";
/// The engine that a request is meant for.
pub const TARGET_INSTANCE: &str = "target-instance";
/// The load that an engine reports with a response.
pub const SERVER_LOAD: &str = "server-load";
/// Set on a response when the request was not executed and may be sent again.
pub const NOT_EXECUTED: &str = "not-executed";
/// The number of tokens of a prompt.
pub const TOKEN_COUNT: &str = "token-count";
/// The phase that an engine serves: prefill or decode.
pub const SERVING_PHASE: &str = "serving-phase";
/// The engine that holds the KV cache of a prompt.
pub const KV_SOURCE: &str = "kv-source";
/// The class of urgency of a request.
pub const URGENCY_CLASS: &str = "urgency-class";
/// The version of weights that a request expects.
pub const EXPECTED_VERSION: &str = "expected-version";
/// The versions of weights that an engine has.
pub const WEIGHT_VERSIONS: &str = "weight-versions";
/// The model that a request is for.
pub const MODEL: &str = "model";
/// The engine that sent a response.
pub const INSTANCE_ID: &str = "instance-id";
/// The name of the tenant that holds the client's key; set by the system alone.
pub const TENANT: &str = "tenant";
