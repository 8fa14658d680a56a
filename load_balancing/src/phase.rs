//! The two phases of a request.

/// What an engine does for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Processes the prompt and computes its KV cache.
    Prefill,
    /// Generates the tokens of the response.
    Decode,
}
