//! The two phases of a request.

/// What an engine does for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// It reads the prompt and computes its KV cache.
    Prefill,
    /// It generates the tokens of the answer.
    Decode,
}
