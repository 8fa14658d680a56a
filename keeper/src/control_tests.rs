fn text(revision: u64) -> String {
    serde_json::json!({"revision": revision, "service_table": [{"name": "s"}], "route_table": [{"name": "r",
        "hostname": "h", "path_prefix": "/", "route_type": "idempotent", "timeout_ms": 5, "service": "s"}]})
    .to_string()
}

fn held(revision: u64) -> crate::state::Held {
    crate::state::Held { revision, text: text(revision), taken: vec![77] }
}

#[test]
fn of_two_on_the_same_version_one_wins() {
    let first = super::verdict(&held(5), 5, &text(7), false, 1).expect("good").expect("new");
    assert_eq!(first.revision, 7);
    assert_eq!(
        super::verdict(&first, 5, &text(8), false, 2).map(|_| ()),
        Err((412, "If-Match: found 5, version 7 is current".into()))
    );
}

#[test]
fn what_was_taken_is_taken_however_often_it_comes() {
    let first = super::verdict(&held(5), 5, &text(7), false, 1).expect("good").expect("new");
    assert!(super::verdict(&first, 5, &text(7), false, 1).expect("taken").is_none());
    let later = super::verdict(&first, 7, &text(9), false, 3).expect("good").expect("new");
    assert!(super::verdict(&later, 5, &text(7), false, 1).expect("taken").is_none(), "also behind a newer one");
}

#[test]
fn invalid_ones_are_a_4xx_and_change_nothing() {
    for (body, patch) in
        [(text(5), false), (text(4), false), ("{".into(), false), ("{".into(), true), ("[]".into(), true)]
    {
        let (status, words) = super::verdict(&held(5), 5, &body, patch, 9).expect_err("refused");
        assert_eq!(status, 400);
        assert!(!words.is_empty());
    }
    let drop = serde_json::json!({"revision": 9, "withdraw": {"service_table": ["s"]}}).to_string();
    let (status, words) = super::verdict(&held(5), 5, &drop, true, 9).expect_err("refused");
    assert!(status == 400 && words.contains("unknown service `s`"));
}

#[test]
fn what_is_held_comes_back_from_its_bytes() {
    let one = held(5);
    let back = crate::state::Held::open(&one.write_bytes()).expect("read");
    assert_eq!((back.revision, back.text, back.taken), (one.revision, one.text, one.taken));
    assert_eq!(crate::state::Held::open(&[]).expect("empty").revision, 0);
    assert!(crate::state::Held::open(b"neither form").is_none(), "never taken for an empty one");
}
