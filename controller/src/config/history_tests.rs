//! The chain of changes as routers of all versions receive it, also when frames are lost.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use kernel::{hashing, Rng};
use protocol::config::{Config, ConfigDocument, Route};
use protocol::config_update::{legacy_format, ConfigUpdate};
use protocol::frame::{self, HEADER_BYTES};
use protocol::message::{Message, PROTOCOL_VERSION, TENANTS};

use super::{ChangeLayout, ConfigHistory, EncodedChange, RevisionNotNewer, MAX_CHANGES};

fn config(revision: u64, route_count: usize, timeout: u64) -> Arc<ConfigDocument> {
    config_with_tenants(revision, route_count, timeout, 0)
}

fn config_with_tenants(revision: u64, route_count: usize, timeout: u64, tenant_count: usize) -> Arc<ConfigDocument> {
    let route = |index: usize| {
        let timeout = if index == 0 { timeout } else { 5 };
        serde_json::json!({"name": format!("r{index}"), "hostname": format!("h{index}"), "path_prefix": "/",
            "service": "s", "route_type": "streaming", "timeout_ms": timeout})
    };
    let tenant = |index: usize| serde_json::json!({"name": format!("t{index}"), "api_keys": [format!("key-{index}")]});
    let mut text = serde_json::json!({"revision": revision, "service_table": [{"name": "s"}],
        "route_table": (0..route_count).map(route).collect::<Vec<_>>()});
    if tenant_count > 0 {
        text["tenant_table"] = (0..tenant_count).map(tenant).collect();
    }
    Arc::new(ConfigDocument::parse(&text.to_string()).expect("the configuration is valid"))
}

fn decode(frame: &Bytes) -> ConfigUpdate {
    match frame::decode_body(&frame[HEADER_BYTES..]).expect("the frame holds a message") {
        Message::ConfigUpdate(body) => legacy_format::decode(&body).expect("the update has the layout before tenants"),
        Message::TenantConfigUpdate(body) => {
            assert!(legacy_format::decode(&body).is_none(), "an older router must not read it as its own layout");
            ConfigUpdate::decode(&body).expect("the update has the current layout")
        }
        other => panic!("unexpected message: {other:?}"),
    }
}

fn revisions_since(history: &mut ConfigHistory, known: u64, layout: ChangeLayout) -> Vec<(u64, u64)> {
    history.frames_since(known, layout).iter().map(decode).map(|change| (change.from, change.to)).collect()
}

const LAYOUTS: [ChangeLayout; 2] = [ChangeLayout::Current, ChangeLayout::BeforeTenants];

#[test]
fn a_router_behind_gets_the_changes_and_one_at_an_unknown_revision_the_full_configuration() {
    for layout in LAYOUTS {
        let mut history = ConfigHistory::default();
        assert_eq!(history.advance(config(3, 400, 5)), Ok(()));
        assert_eq!(revisions_since(&mut history, 0, layout), [(0, 3)]);
        for revision in [5, 9, 10] {
            assert_eq!(history.advance(config(revision, 400, revision)), Ok(()));
        }
        assert_eq!(revisions_since(&mut history, 3, layout), [(3, 5), (5, 9), (9, 10)]);
        assert_eq!(revisions_since(&mut history, 9, layout), [(9, 10)]);
        assert_eq!(revisions_since(&mut history, 10, layout), []);
        assert_eq!(revisions_since(&mut history, 4, layout), [(0, 10)], "an unknown revision");
        assert_eq!(revisions_since(&mut history, 11, layout), [], "a router that is ahead gets nothing");
    }
}

#[test]
fn advance_rejects_a_configuration_that_is_not_newer() {
    let mut history = ConfigHistory::default();
    assert_eq!(history.advance(config(10, 3, 5)), Ok(()));
    let older = history.advance(config(7, 3, 7));
    assert_eq!(older, Err(RevisionNotNewer { current: 10, found: 7 }));
    let other = history.advance(config(10, 3, 6));
    assert_eq!(other, Err(RevisionNotNewer { current: 10, found: 10 }), "another text with the same revision");
    assert_eq!(history.advance(config(10, 3, 5)), Ok(()), "the same configuration again");
    assert_eq!(history.current(), Some(&config(10, 3, 5)));
}

#[test]
fn kept_changes_and_sent_frames_are_bounded() {
    for layout in LAYOUTS {
        let mut history = ConfigHistory::default();
        for revision in 1..=300 {
            assert_eq!(history.advance(config(revision, 20, revision)), Ok(()));
        }
        assert!(history.changes.len() <= MAX_CHANGES);
        assert_eq!(revisions_since(&mut history, 1, layout), [(0, 300)], "too far behind: the full configuration");
        let full = history.frames_since(0, layout)[0].len();
        for known in 1..300 {
            let sent: usize = history.frames_since(known, layout).iter().map(Bytes::len).sum();
            assert!(sent <= full, "never more than the full configuration");
        }
        let kept: usize = history.changes.iter().map(EncodedChange::bytes).sum();
        assert_eq!(history.changes_bytes, kept, "frames that are encoded later are counted too");
    }
}

#[test]
fn the_legacy_layout_is_encoded_only_when_a_router_needs_it() {
    let mut history = ConfigHistory::default();
    for revision in 1..=20 {
        assert_eq!(history.advance(config(revision, 20, revision)), Ok(()));
        let mut known = revision - 1;
        assert!(history.send_missing(PROTOCOL_VERSION, &mut known, |_| true));
    }
    assert!(history.changes.iter().all(|change| change.before_tenants.is_none()));
    assert!(history.full_frame_before_tenants.is_none());
}

/// Given a configuration with tenants, a router without support for tenants would serve requests without API keys.
#[test]
fn a_router_without_support_for_tenants_never_gets_a_configuration_with_tenants() {
    for protocol_version in [1, 2, 3] {
        let mut history = ConfigHistory::default();
        assert_eq!(history.advance(config_with_tenants(1, 20, 1, 0)), Ok(()));
        let mut known = 0;
        assert!(history.send_missing(protocol_version, &mut known, |frame| decode(&frame).to == 1) && known == 1);
        assert_eq!(history.advance(config_with_tenants(2, 20, 2, 1)), Ok(()));
        assert_eq!(history.advance(config_with_tenants(3, 20, 3, 2)), Ok(()));
        assert!(!history.can_send_to(protocol_version));
        assert!(!history.send_missing(protocol_version, &mut known, |_| panic!("nothing may be sent")));
        assert_eq!((known, history.text_newer_than(0)), (1, None), "it stays behind");
        let mut known_by_current = 1;
        assert!(history.send_missing(TENANTS, &mut known_by_current, |frame| !decode(&frame).tenants.is_empty()));
        assert_eq!(known_by_current, 3);
        // Once the tenants are gone, it gets the full configuration, not the changes via revisions with tenants.
        assert_eq!(history.advance(config_with_tenants(4, 20, 4, 0)), Ok(()));
        assert_eq!(revisions_since(&mut history, 1, ChangeLayout::BeforeTenants), [(0, 4)]);
        assert_eq!(revisions_since(&mut history, 1, ChangeLayout::Current), [(1, 2), (2, 3), (3, 4)]);
        assert!(history.can_send_to(protocol_version) && history.text_newer_than(1).is_some());
    }
}

/// A model of a router's table: it applies a full update, or a change on top of the revision that it has.
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

    fn has_routes_of(&self, config: &Config) -> bool {
        let routes = config.route_table.iter().map(|route| (route.name.clone(), route.clone())).collect();
        self.routes == routes
    }
}

/// During 400 changes a router disconnects at random, its send buffer fills up at random frames, and accepted frames
/// may be lost. Its table never differs from its revision's, the controller never counts an unsent frame as sent, and
/// one call brings it up to date.
#[test]
fn a_router_with_random_losses_catches_up_and_never_has_a_wrong_table() {
    for (seed, protocol_version) in (0..15).flat_map(|seed| [(seed, PROTOCOL_VERSION), (seed, 3)]) {
        let mut rng = Rng::new(hashing::combine(seed, 5));
        let mut history = ConfigHistory::default();
        let mut router = Router::default();
        let (mut known, mut is_away) = (0, false);
        let mut configs = BTreeMap::new();
        for revision in 1..=400 {
            let next = config(revision, 1 + rng.below(12) as usize, revision);
            configs.insert(revision, next.clone());
            assert_eq!(history.advance(next), Ok(()));
            if rng.below(20) == 0 {
                is_away = !is_away;
                // When it renews, it reports the revision that it has.
                known = router.revision;
            }
            if is_away {
                continue;
            }
            let mut free_slots = if rng.below(4) == 0 { rng.below(3) } else { u64::MAX };
            let is_lossy = rng.below(8) == 0;
            let known_before = known;
            let sent = history.send_missing(protocol_version, &mut known, |frame| {
                let is_sent = free_slots > 0;
                free_slots = free_slots.saturating_sub(1);
                if is_sent && !(is_lossy && rng.below(3) == 0) {
                    router.apply(decode(&frame));
                }
                is_sent
            });
            assert_eq!(known, if sent { revision } else { known_before }, "seed {seed}");
            let is_consistent = router.revision == 0 || router.has_routes_of(configs[&router.revision].config());
            assert!(is_consistent, "seed {seed} at revision {revision}");
        }
        let mut known = router.revision;
        assert!(history.send_missing(protocol_version, &mut known, |frame| {
            router.apply(decode(&frame));
            true
        }));
        assert!(router.revision == 400 && router.has_routes_of(configs[&400].config()), "seed {seed}");
    }
}
