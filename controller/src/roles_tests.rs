use protocol::message::{self, VersionEntry};

use super::parse_gossip_markers;

#[test]
fn gossip_markers_state_whether_a_peer_is_confirmed_and_which_owners_it_confirms() {
    let markers = |confirmed: u64| {
        vec![
            VersionEntry::new("zone-a", 7, 1),
            message::own_protocol_version(),
            VersionEntry::new("\0sure", confirmed, 0),
            VersionEntry::new("\0vouch 10.0.0.2", 1, 0),
        ]
    };
    assert_eq!(parse_gossip_markers(&markers(1)), (true, vec!["10.0.0.2".to_string()]));
    assert_eq!(parse_gossip_markers(&markers(0)), (false, vec!["10.0.0.2".to_string()]));
    assert_eq!(
        parse_gossip_markers(&markers(1)[..2]),
        (true, Vec::new()),
        "a peer without markers counts as confirmed"
    );
    assert!(
        markers(1)[2..].iter().all(|item| message::is_hidden_key(&item.name)),
        "markers must not be taken for zones"
    );
}
