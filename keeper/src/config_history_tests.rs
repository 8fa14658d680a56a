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

fn line(history: &mut super::ConfigHistory, has: u64) -> Vec<(u64, u64)> {
    history.frames(has).iter().map(open).map(|change| (change.from, change.to)).collect()
}

#[test]
fn one_that_is_behind_gets_the_steps_and_a_stranger_the_whole() {
    let mut history = super::ConfigHistory::default();
    history.advance(config(3, 400, 5));
    assert_eq!(line(&mut history, 0), [(0, 3)]);
    for revision in [5, 9, 10] {
        history.advance(config(revision, 400, revision));
    }
    assert_eq!(line(&mut history, 3), [(3, 5), (5, 9), (9, 10)]);
    assert_eq!(line(&mut history, 9), [(9, 10)]);
    assert_eq!(line(&mut history, 10), []);
    assert_eq!(line(&mut history, 4), [(0, 10)], "a revision that never was");
    history.advance(config(7, 400, 7));
    assert_eq!(history.revision(), 10, "it never goes back");
}

#[test]
fn what_is_kept_and_sent_is_bounded() {
    let mut history = super::ConfigHistory::default();
    for revision in 1..=300 {
        history.advance(config(revision, 20, revision));
    }
    assert!(history.changes.len() <= super::MOST_CHANGES);
    assert_eq!(line(&mut history, 1), [(0, 300)], "too far behind: the whole");
    let whole = history.frames(0)[0].len();
    for has in 1..300 {
        let sent: usize = history.frames(has).iter().map(bytes::Bytes::len).sum();
        assert!(sent <= whole, "never more than the whole");
    }
}

/// A router as its table takes changes: a whole one, or one on top of the revision that it holds.
#[derive(Default)]
struct Router {
    revision: u64,
    routes: std::collections::BTreeMap<String, wire::config::Route>,
}

impl Router {
    fn take(&mut self, change: wire::change::Change) {
        if change.to <= self.revision || (change.from != 0 && change.from != self.revision) {
            return;
        }
        if change.from == 0 {
            self.routes.clear();
        }
        change.gone.iter().for_each(|name| drop(self.routes.remove(name)));
        self.routes.extend(change.routes.into_iter().map(|route| (route.name.clone(), route)));
        self.revision = change.to;
    }

    fn holds(&self, config: &wire::config::Config) -> bool {
        let routes = config.route_table.iter().map(|route| (route.name.clone(), route.clone())).collect();
        self.routes == routes
    }
}

/// Four hundred changes; a router is away for any time, its buffer is full at any frame, and frames that
/// were taken may still be lost on their way. It never has a wrong table, the keeper never takes for sent
/// what was not, and one call brings it up to date.
#[test]
fn a_router_away_for_any_time_gets_the_newest_and_never_a_wrong_table() {
    for seed in 0..15 {
        let mut dice = kernel::clock::Dice::new(kernel::clock::blend(seed, 5));
        let mut history = super::ConfigHistory::default();
        let mut router = Router::default();
        let (mut claimed, mut away) = (0, false);
        let mut configs = std::collections::BTreeMap::new();
        for revision in 1..=400 {
            let next = config(revision, 1 + dice.below(12) as usize, revision);
            configs.insert(revision, next.clone());
            history.advance(next);
            if dice.below(20) == 0 {
                away = !away;
                // It calls again, and tells what it has.
                claimed = router.revision;
            }
            if away {
                continue;
            }
            let mut room = if dice.below(4) == 0 { dice.below(3) } else { u64::MAX };
            let lossy = dice.below(8) == 0;
            let before = claimed;
            let sent = history.send_missing(&mut claimed, |frame| {
                let taken = room > 0;
                room = room.saturating_sub(1);
                if taken && !(lossy && dice.below(3) == 0) {
                    router.take(open(&frame));
                }
                taken
            });
            assert_eq!(claimed, if sent { revision } else { before }, "seed {seed}");
            assert!(router.revision == 0 || router.holds(&configs[&router.revision]), "seed {seed} at {revision}");
        }
        let mut told = router.revision;
        assert!(history.send_missing(&mut told, |frame| {
            router.take(open(&frame));
            true
        }));
        assert!(router.revision == 400 && router.holds(&configs[&400]), "seed {seed}");
    }
}
