#[test]
fn peers_hear_who_is_sure_and_who_is_vouched_for() {
    let told = |sure: u64| {
        vec![
            ("zone-a".to_string(), 7, 1),
            protocol::msg::told(),
            (protocol::msg::hide(super::SURE), sure, 0),
            (protocol::msg::hide("vouch 10.0.0.2"), 1, 0),
        ]
    };
    assert_eq!(super::heard(&told(1)), (true, vec!["10.0.0.2".to_string()]));
    assert_eq!(super::heard(&told(0)), (false, vec!["10.0.0.2".to_string()]));
    assert_eq!(super::heard(&told(1)[..2]), (true, Vec::new()), "an earlier version tells nothing of it");
    assert!(told(1)[2..].iter().all(|item| protocol::msg::hidden(&item.0)), "never taken for a zone");
}
