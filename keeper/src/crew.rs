//! The routers that follow this keeper.

/// Invariant: `has` is what was last sent or told; a follower never gets an older stamp.
pub struct Follower {
    pub mouth: wire::link::Mouth,
    pub area: String,
    pub config: u64,
    /// The stamps of rules that it told in its last call: what it has confirmed.
    pub rules: std::collections::BTreeMap<String, u64>,
    /// Until when it holds its lease.
    pub until: u64,
    /// The newest version of messages that it reads.
    pub reads: u64,
    pub closed: std::collections::BTreeMap<String, u64>,
    pub sheets: std::collections::BTreeMap<String, (u64, u64)>,
}

#[derive(Default)]
pub struct Crew {
    pub list: std::collections::BTreeMap<String, Follower>,
}
