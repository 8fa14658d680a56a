//! The chain of changes as routers get it: old and new ones, with losses, and never to one that may not have it.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use kernel::{hashing, Rng};
use protocol::config::{Config, ConfigDocument, Route};
use protocol::config_update::{legacy_format, ConfigUpdate};
use protocol::frame::{self, HEADER_BYTES};
use protocol::message::{Message, PROTOCOL_VERSION, TENANTS};

use super::{ChangeLayout, ConfigHistory, EncodedChange, RevisionNotNewer, MAX_CHANGES};

fn config(revision: u64, count: usize, timeout: u64) -> Arc<ConfigDocument> {
    with_tenants(revision, count, timeout, 0)
}

fn with_tenants(revision: u64, count: usize, timeout: u64, tenants: usize) -> Arc<ConfigDocument> {
    let route = |at: usize| {
        let timeout = if at == 0 { timeout } else { 5 };
        serde_json::json!({"name": format!("r{at}"), "hostname": format!("h{at}"), "path_prefix": "/", "service": "s",
            "route_type": "streaming", "timeout_ms": timeout})
    };
    let tenant = |at: usize| serde_json::json!({"name": format!("t{at}"), "api_keys": [format!("key-{at}")]});
    let mut text = serde_json::json!({"revision": revision, "service_table": [{"name": "s"}],
        "route_table": (0..count).map(route).collect::<Vec<_>>()});
    if tenants > 0 {
        text["tenant_table"] = (0..tenants).map(tenant).collect();
    }
    Arc::new(ConfigDocument::parse(&text.to_string()).expect("good"))
}

fn open(frame: &Bytes) -> ConfigUpdate {
    match frame::decode_body(&frame[HEADER_BYTES..]).expect("a message") {
        Message::ConfigUpdate(body) => legacy_format::decode(&body).expect("a change in the layout before tenants"),
        Message::TenantConfigUpdate(body) => {
            assert!(legacy_format::decode(&body).is_none(), "no older router takes it for its own layout");
            ConfigUpdate::decode(&body).expect("a change")
        }
        other => panic!("{other:?}"),
    }
}

fn line(history: &mut ConfigHistory, has: u64, layout: ChangeLayout) -> Vec<(u64, u64)> {
    history.frames_since(has, layout).iter().map(open).map(|change| (change.from, change.to)).collect()
}

const LAYOUTS: [ChangeLayout; 2] = [ChangeLayout::Current, ChangeLayout::BeforeTenants];

#[test]
fn a_router_that_is_behind_gets_the_changes_and_an_unknown_one_the_full_configuration() {
    for layout in LAYOUTS {
        let mut history = ConfigHistory::default();
        assert_eq!(history.advance(config(3, 400, 5)), Ok(()));
        assert_eq!(line(&mut history, 0, layout), [(0, 3)]);
        for revision in [5, 9, 10] {
            assert_eq!(history.advance(config(revision, 400, revision)), Ok(()));
        }
        assert_eq!(line(&mut history, 3, layout), [(3, 5), (5, 9), (9, 10)]);
        assert_eq!(line(&mut history, 9, layout), [(9, 10)]);
        assert_eq!(line(&mut history, 10, layout), []);
        assert_eq!(line(&mut history, 4, layout), [(0, 10)], "a revision that never was");
        assert_eq!(line(&mut history, 11, layout), [], "one that is ahead keeps what it has");
    }
}

#[test]
fn it_never_goes_back_and_tells_what_would_lead_back() {
    let mut history = ConfigHistory::default();
    assert_eq!(history.advance(config(10, 3, 5)), Ok(()));
    let older = history.advance(config(7, 3, 7));
    assert_eq!(older, Err(RevisionNotNewer { current: 10, found: 7 }));
    let other = history.advance(config(10, 3, 6));
    assert_eq!(other, Err(RevisionNotNewer { current: 10, found: 10 }), "another text under the same number");
    assert_eq!(history.advance(config(10, 3, 5)), Ok(()), "the same again");
    assert_eq!(history.current(), Some(&config(10, 3, 5)));
}

#[test]
fn what_is_kept_and_sent_is_bounded() {
    for layout in LAYOUTS {
        let mut history = ConfigHistory::default();
        for revision in 1..=300 {
            assert_eq!(history.advance(config(revision, 20, revision)), Ok(()));
        }
        assert!(history.changes.len() <= MAX_CHANGES);
        assert_eq!(line(&mut history, 1, layout), [(0, 300)], "too far behind: the full configuration");
        let full = history.frames_since(0, layout)[0].len();
        for has in 1..300 {
            let sent: usize = history.frames_since(has, layout).iter().map(Bytes::len).sum();
            assert!(sent <= full, "never more than the full configuration");
        }
        let kept: usize = history.changes.iter().map(EncodedChange::bytes).sum();
        assert_eq!(history.changes_bytes, kept, "what is made later is counted too");
    }
}

#[test]
fn the_older_layout_is_made_only_where_a_router_needs_it() {
    let mut history = ConfigHistory::default();
    for revision in 1..=20 {
        assert_eq!(history.advance(config(revision, 20, revision)), Ok(()));
        let mut has = revision - 1;
        assert!(history.send_missing(PROTOCOL_VERSION, &mut has, |_| true));
    }
    assert!(history.changes.iter().all(|change| change.before_tenants.is_none()));
    assert!(history.full_frame_before_tenants.is_none());
}

/// An old router with a configuration that has tenants would serve everybody without a key.
#[test]
fn a_router_that_knows_no_tenants_never_gets_a_configuration_that_has_some() {
    for reads in [1, 2, 3] {
        let mut history = ConfigHistory::default();
        assert_eq!(history.advance(with_tenants(1, 20, 1, 0)), Ok(()));
        let mut has = 0;
        assert!(history.send_missing(reads, &mut has, |frame| open(&frame).to == 1) && has == 1);
        assert_eq!(history.advance(with_tenants(2, 20, 2, 1)), Ok(()));
        assert_eq!(history.advance(with_tenants(3, 20, 3, 2)), Ok(()));
        assert!(!history.can_send_to(reads));
        assert!(!history.send_missing(reads, &mut has, |_| panic!("nothing may be sent")));
        assert_eq!((has, history.text_newer_than(0)), (1, None), "it stays behind");
        let mut current = 1;
        assert!(history.send_missing(TENANTS, &mut current, |frame| !open(&frame).tenants.is_empty()));
        assert_eq!(current, 3);
        // Once there are none any more it gets the full configuration, and no change through those that had some.
        assert_eq!(history.advance(with_tenants(4, 20, 4, 0)), Ok(()));
        assert_eq!(line(&mut history, 1, ChangeLayout::BeforeTenants), [(0, 4)]);
        assert_eq!(line(&mut history, 1, ChangeLayout::Current), [(1, 2), (2, 3), (3, 4)]);
        assert!(history.can_send_to(reads) && history.text_newer_than(1).is_some());
    }
}

/// A router as its table applies changes: a full one, or one on top of the revision that it has.
#[derive(Default)]
struct Router {
    revision: u64,
    routes: BTreeMap<String, Route>,
}

impl Router {
    fn apply(&mut self, change: ConfigUpdate) {
        if change.to <= self.revision || (change.from != 0 && change.from != self.revision) {
            return;
        }
        if change.from == 0 {
            self.routes.clear();
        }
        change.removed_routes.iter().for_each(|name| drop(self.routes.remove(name)));
        self.routes.extend(change.routes.into_iter().map(|route| (route.name.clone(), route)));
        self.revision = change.to;
    }

    fn holds(&self, config: &Config) -> bool {
        let routes = config.route_table.iter().map(|route| (route.name.clone(), route.clone())).collect();
        self.routes == routes
    }
}

/// Four hundred changes; a router is away for any time, its buffer is full at any frame, and frames that
/// were accepted may still be lost on their way. It never has a wrong table, the controller never counts as sent
/// what was not, and one call brings it up to date.
#[test]
fn a_router_away_for_any_time_gets_the_newest_and_never_a_wrong_table() {
    for (seed, reads) in (0..15).flat_map(|seed| [(seed, PROTOCOL_VERSION), (seed, 3)]) {
        let mut rng = Rng::new(hashing::combine(seed, 5));
        let mut history = ConfigHistory::default();
        let mut router = Router::default();
        let (mut claimed, mut away) = (0, false);
        let mut configs = BTreeMap::new();
        for revision in 1..=400 {
            let next = config(revision, 1 + rng.below(12) as usize, revision);
            configs.insert(revision, next.clone());
            assert_eq!(history.advance(next), Ok(()));
            if rng.below(20) == 0 {
                away = !away;
                // It calls again, and tells what it has.
                claimed = router.revision;
            }
            if away {
                continue;
            }
            let mut free = if rng.below(4) == 0 { rng.below(3) } else { u64::MAX };
            let lossy = rng.below(8) == 0;
            let before = claimed;
            let sent = history.send_missing(reads, &mut claimed, |frame| {
                let is_sent = free > 0;
                free = free.saturating_sub(1);
                if is_sent && !(lossy && rng.below(3) == 0) {
                    router.apply(open(&frame));
                }
                is_sent
            });
            assert_eq!(claimed, if sent { revision } else { before }, "seed {seed}");
            let is_right = router.revision == 0 || router.holds(configs[&router.revision].config());
            assert!(is_right, "seed {seed} at {revision}");
        }
        let mut known = router.revision;
        assert!(history.send_missing(reads, &mut known, |frame| {
            router.apply(open(&frame));
            true
        }));
        assert!(router.revision == 400 && router.holds(configs[&400].config()), "seed {seed}");
    }
}
