//! The names of hidden keys are part of the protocol: printed as earlier versions do, and parsed back.

use super::HiddenKey;

#[test]
fn each_hidden_key_has_its_published_name_and_is_parsed_back() {
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
fn the_name_of_a_zone_is_no_hidden_key() {
    for zone in ["hall-a", "leaving", "sure", "candidates hall-a"] {
        assert_eq!(HiddenKey::parse(zone), None);
    }
}
