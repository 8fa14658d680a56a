fn config(revision: u64, count: usize, timeout: u64) -> wire::config::Config {
    let route = |at: usize| {
        let timeout = if at == 0 { timeout } else { 5 };
        serde_json::json!({"name": format!("r{at}"), "hostname": format!("h{at}"), "path_prefix": "/", "service": "s",
            "route_type": "streaming", "timeout_ms": timeout})
    };
    let text = serde_json::json!({"revision": revision, "service_table": [{"name": "s"}],
        "route_table": (0..count).map(route).collect::<Vec<_>>()});
    wire::config::read(&text.to_string()).expect("good")
}

fn open(frame: &bytes::Bytes) -> wire::change::Change {
    match wire::frame::open(&frame[wire::frame::HEAD..]).expect("a message") {
        wire::msg::Msg::Change(body) => wire::change::Change::read(&body).expect("a change"),
        other => panic!("{other:?}"),
    }
}

fn line(deck: &mut super::Deck, has: u64) -> Vec<(u64, u64)> {
    deck.frames(has).iter().map(open).map(|change| (change.from, change.to)).collect()
}

#[test]
fn one_that_is_behind_gets_the_steps_and_a_stranger_the_whole() {
    let mut deck = super::Deck::default();
    deck.turn(config(3, 400, 5));
    assert_eq!(line(&mut deck, 0), [(0, 3)]);
    for revision in [5, 9, 10] {
        deck.turn(config(revision, 400, revision));
    }
    assert_eq!(line(&mut deck, 3), [(3, 5), (5, 9), (9, 10)]);
    assert_eq!(line(&mut deck, 9), [(9, 10)]);
    assert_eq!(line(&mut deck, 10), []);
    assert_eq!(line(&mut deck, 4), [(0, 10)], "a revision that never was");
    deck.turn(config(7, 400, 7));
    assert_eq!(deck.revision(), 10, "it never goes back");
}

#[test]
fn what_is_kept_and_sent_is_bounded() {
    let mut deck = super::Deck::default();
    for revision in 1..=300 {
        deck.turn(config(revision, 20, revision));
    }
    assert!(deck.steps.len() <= super::STEPS);
    assert_eq!(line(&mut deck, 1), [(0, 300)], "too far behind: the whole");
    let whole = deck.frames(0)[0].len();
    for has in 1..300 {
        let sent: usize = deck.frames(has).iter().map(bytes::Bytes::len).sum();
        assert!(sent <= whole, "never more than the whole");
    }
}
