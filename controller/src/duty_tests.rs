use protocol::message;

use super::{heard, SURE};

#[test]
fn peers_hear_who_is_sure_and_who_is_vouched_for() {
    let told = |sure: u64| {
        vec![
            ("zone-a".to_string(), 7, 1),
            message::told(),
            (message::hide(SURE), sure, 0),
            (message::hide("vouch 10.0.0.2"), 1, 0),
        ]
    };
    assert_eq!(heard(&told(1)), (true, vec!["10.0.0.2".to_string()]));
    assert_eq!(heard(&told(0)), (false, vec!["10.0.0.2".to_string()]));
    assert_eq!(heard(&told(1)[..2]), (true, Vec::new()), "an earlier version tells nothing of it");
    assert!(told(1)[2..].iter().all(|item| message::hidden(&item.0)), "never taken for a zone");
}
