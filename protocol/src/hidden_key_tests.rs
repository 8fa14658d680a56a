//! The names of hidden keys are part of the protocol: they are written as in earlier versions, and parse back to the
//! same key.

use super::HiddenKey;

#[test]
fn hidden_keys_have_their_published_names_and_parse_back() {
    for (key, name) in [
        (HiddenKey::ProtocolVersion, ""),
        (HiddenKey::ShuttingDown, "\0leaving"),
        (HiddenKey::ShardOwners, "\0shard holders"),
        (HiddenKey::Confirmed, "\0sure"),
        (HiddenKey::Confirms("10.0.0.2"), "\0vouch 10.0.0.2"),
        (HiddenKey::PlatformUnreachable, "\0platform unreachable"),
        (HiddenKey::Candidates("hall-a"), "\0candidates hall-a"),
        (HiddenKey::Register("rollout/s/m"), "\0rollout/s/m"),
        (HiddenKey::Register("versions/s"), "\0versions/s"),
        (HiddenKey::WeightVersions("hall-a"), "\0hall-a"),
    ] {
        assert_eq!(key.to_string(), name);
        assert_eq!(HiddenKey::parse(name), Some(key));
    }
}

#[test]
fn zone_names_are_not_hidden_keys() {
    for zone in ["hall-a", "leaving", "sure", "candidates hall-a"] {
        assert_eq!(HiddenKey::parse(zone), None);
    }
}
