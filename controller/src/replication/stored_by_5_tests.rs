//! Bytes that controllers of version 5 commit under each key of the control state.
//!
//! `fixtures/config-body-5-*.bin` and `fixtures/control-5-*.bin` were written by commit 0f675d7. To regenerate them, check
//! out that commit, put this file beside `state.rs`, declare it there as it is declared here, and run
//! `cargo test -p keeper --lib -- --ignored stored_by_5`. Later versions only read them.
use super::CommittedState;
use super::{
    decode_membership, encode_membership, read_config, EvacuationRecord, Learned, RoleState, CONFIG_KEY,
    EVACUATION_PREFIX, ROLE_PREFIX,
};
use crate::batches::records::{self as batches, batch_key, ids, page_key};
use crate::config::body::BodyFormat::{self, Compressed, Digested, Plain};
use crate::config::body::{body_digest, ChangeStatus, CommittedChange, StoredConfig};
use crate::roles::{BALANCE, BATCH, CATALOG};
use batch::{batch_id, Batch, Job, JobPage, JobState};
use consensus::MEMBERSHIP_KEY;
use protocol::config::{Config, Engine, Limits, Model, Route, Service, Split, Tenant};
use protocol::message::{CoreMembership, Entry, Member, ProposalNumber, StalenessLimit, STALENESS_LIMIT_PREFIX};
use protocol::operator_request::ConfigChange;
use protocol::version_rollout::{RolloutState, VersionRollout, KEY_PREFIX as VERSION_ROLLOUT_PREFIX};
use std::fs;
use std::path::{Path, PathBuf};

/// A configuration with tenants that sets every field.
const TENANTS_TEXT: &str = r#"{
  "revision": 12,
  "route_table": [
    {"name": "r-1", "hostname": "A.example:8080", "path_prefix": "/x/", "route_type": "streaming", "timeout_ms": 3000,
     "target_ms": 400, "priority": 2, "traffic_split": [{"service": "s-1", "weight": 90}, {"service": "s-2", "weight": 10}],
     "retry_count": 2, "persistent": true, "resumable": true, "gap_target_ms": 250, "allowed_regions": ["tasman-south"]},
    {"name": "r-2", "hostname": "b.example", "path_prefix": "/", "route_type": "idempotent", "timeout_ms": 8000,
     "service": "s-2", "anonymous": true}
  ],
  "service_table": [
    {"name": "s-1", "health_path": "/alive", "max_connections": 360, "warmup_s": 3.5, "ramp_per_s": 12,
     "engine": {"slot_count": 64, "kv_capacity": 319972, "kv_token_bytes": 18432.5, "link_mbps": 370000, "kv_hold_s": 5.25,
                "role_switch_s": 1.75, "model_list": [{"name": "m-1"}]}},
    {"name": "s-2"}
  ],
  "limits": {"max_header_bytes": 8192, "max_body_bytes": 1000000, "header_timeout_ms": 3000, "idle_timeout_ms": 9000},
  "tenant_table": [
    {"name": "acme", "api_keys": ["key-1", "key-2"], "priority": 3, "rate_per_s": 12.5, "burst_size": 40,
     "allowed_regions": ["tasman-south"]},
    {"name": "quiet"}
  ]
}"#;

/// The configuration that [`TENANTS_TEXT`] parses to.
#[allow(clippy::too_many_lines)] // one literal, or one scenario in order
fn tenants_config() -> Config {
    let split = |service: &str, weight| Split { service: service.into(), weight };
    Config {
        revision: 12,
        route_table: vec![
            Route {
                name: "r-1".into(),
                hostname: "a.example".into(),
                path_prefix: "/x/".into(),
                route_type: "streaming".into(),
                timeout_ms: 3000,
                target_ms: 400,
                priority: 2,
                service: None,
                traffic_split: vec![split("s-1", 90), split("s-2", 10)],
                retry_count: 2,
                persistent: true,
                resumable: true,
                gap_target_ms: 250,
                allowed_regions: vec!["tasman-south".into()],
                anonymous: false,
            },
            Route {
                name: "r-2".into(),
                hostname: "b.example".into(),
                path_prefix: "/".into(),
                route_type: "idempotent".into(),
                timeout_ms: 8000,
                target_ms: 0,
                priority: 0,
                service: Some("s-2".into()),
                traffic_split: Vec::new(),
                retry_count: 1,
                persistent: false,
                resumable: false,
                gap_target_ms: 0,
                allowed_regions: Vec::new(),
                anonymous: true,
            },
        ],
        service_table: vec![
            Service {
                name: "s-1".into(),
                health_path: "/alive".into(),
                max_connections: 360,
                warmup_s: 3.5,
                ramp_per_s: 12.0,
                engine: Some(Engine {
                    slot_count: 64,
                    kv_capacity: 319_972,
                    kv_token_bytes: 18432.5,
                    link_mbps: 370_000.0,
                    kv_hold_s: 5.25,
                    role_switch_s: 1.75,
                    model_list: vec![Model { name: "m-1".into() }],
                }),
            },
            Service {
                name: "s-2".into(),
                health_path: "/health".into(),
                max_connections: 0,
                warmup_s: 0.0,
                ramp_per_s: 0.0,
                engine: None,
            },
        ],
        limits: Limits {
            max_header_bytes: 8192,
            max_body_bytes: 1_000_000,
            header_timeout_ms: 3000,
            idle_timeout_ms: 9000,
        },
        tenant_table: vec![
            Tenant {
                name: "acme".into(),
                api_keys: vec!["key-1".into(), "key-2".into()],
                priority: Some(3),
                rate_per_s: 12.5,
                burst_size: 40.0,
                allowed_regions: vec!["tasman-south".into()],
            },
            Tenant { name: "quiet".into(), ..Tenant::default() },
        ],
        requires_keys: true,
    }
}

const SHORT_TEXT: &str = r#"{"revision":8,"service_table":[{"name":"s"}],"route_table":[]}"#;

/// A text that is long enough to be compressed.
fn long_text(revision: u64) -> String {
    let route = |at: usize| {
        format!(
            r#"{{"name":"r{at}","hostname":"h{at}","path_prefix":"/","route_type":"idempotent","timeout_ms":5,"service":"s"}}"#
        )
    };
    let routes: Vec<String> = (0..200).map(route).collect();
    let routes = routes.join(",");
    format!(r#"{{"revision":{revision},"service_table":[{{"name":"s"}}],"route_table":[{routes}],"tenant_table":[]}}"#)
}

/// Changes that are remembered by digests of the legacy layout.
fn legacy_changes() -> [ConfigChange; 2] {
    [
        ConfigChange { base: 0, text: r#"{"revision":5}"#.into(), partial: false },
        ConfigChange { base: 5, text: r#"{"revision":8,"upsert":{}}"#.into(), partial: true },
    ]
}

/// Changes that are remembered by digests of the current layout.
fn committed_changes() -> [ConfigChange; 2] {
    [
        ConfigChange { base: 8, text: r#"{"revision":9}"#.into(), partial: false },
        ConfigChange { base: 9, text: r#"{"revision":12,"remove":{}}"#.into(), partial: true },
    ]
}

/// The digests of [`legacy_changes`], computed by an independent program.
fn legacy_digests() -> Vec<u64> {
    vec![0x974b_9188_40f3_bd59, 0x6042_43a3_d2d3_12cf]
}

/// [`committed_changes`] as they are stored, with digests computed by an independent program.
fn stored_changes() -> Vec<CommittedChange> {
    vec![
        CommittedChange { base: 8, digest: 0x9bf8_2847_2e78_1c20_60e3_e1b1_e750_1211_u128.to_be_bytes() },
        CommittedChange { base: 9, digest: 0xcee6_9e3f_fe3f_3a78_4531_e136_86a9_ea9b_u128.to_be_bytes() },
    ]
}

/// A body of the key `config`: its fixture file, the format requested, the format actually written, and the stored
/// value.
struct ConfigBody {
    file: &'static str,
    requested: BodyFormat,
    format: BodyFormat,
    stored: StoredConfig,
}

fn config_bodies() -> Vec<ConfigBody> {
    let body = |file, requested, format, stored| ConfigBody { file, requested, format, stored };
    let short =
        StoredConfig { revision: 8, text: SHORT_TEXT.into(), changes: Vec::new(), legacy_changes: legacy_digests() };
    let long = StoredConfig { revision: 8, text: long_text(8), changes: Vec::new(), legacy_changes: legacy_digests() };
    let tenants = StoredConfig {
        revision: 12,
        text: TENANTS_TEXT.into(),
        changes: stored_changes(),
        legacy_changes: legacy_digests(),
    };
    let long_digested =
        StoredConfig { revision: 12, text: long_text(12), changes: stored_changes(), legacy_changes: Vec::new() };
    vec![
        body("config-body-5-plain-short.bin", Plain, Plain, short.clone()),
        body("config-body-5-plain-long.bin", Plain, Plain, long.clone()),
        body("config-body-5-plain-tenants.bin", Plain, Plain, StoredConfig { changes: Vec::new(), ..tenants.clone() }),
        body(
            "config-body-5-plain-no-changes.bin",
            Plain,
            Plain,
            StoredConfig { legacy_changes: Vec::new(), ..short.clone() },
        ),
        // Short bodies stay uncompressed.
        body("config-body-5-packed-short.bin", Compressed, Plain, short.clone()),
        body("config-body-5-packed-long.bin", Compressed, Compressed, long),
        body("config-body-5-digested-short.bin", Digested, Digested, short.clone()),
        body("config-body-5-digested-long.bin", Digested, Digested, long_digested),
        body("config-body-5-digested-tenants.bin", Digested, Digested, tenants.clone()),
        body(
            "config-body-5-digested-no-changes.bin",
            Digested,
            Digested,
            StoredConfig { legacy_changes: Vec::new(), ..short },
        ),
        // The legacy layout cannot hold digests of the current layout.
        body("config-body-5-plain-with-digests.bin", Plain, Digested, tenants),
    ]
}

fn evacuation() -> EvacuationRecord {
    EvacuationRecord { version: 4, evacuated: true }
}

fn role() -> RoleState {
    RoleState { epoch: 19, owner: "10.0.0.2-with-a-long-name".into(), predecessor_expired: true }
}

fn staleness_limit() -> StalenessLimit {
    StalenessLimit {
        service: "chat".into(),
        model: "m-1".into(),
        version: 3,
        latest: 120,
        lag: 2,
        routes: vec!["r-1".into(), "r-2-with-a-long-name".into()],
        removed: true,
        rollbacks: 1,
        reason: "the newest weights were wrong".into(),
    }
}

fn rollout(state: RolloutState, stable: Option<&str>) -> VersionRollout {
    VersionRollout {
        service: "chat".into(),
        number: 15,
        order: 4,
        target: "2026-11-a-long-name".into(),
        duration_ms: 600_000,
        state,
        share: 250,
        elapsed_ms: 61_000,
        stable: stable.map(String::from),
        reverted: vec!["2026-09".into(), "2026-10-a-long-name".into()],
        reason: "more failed than before".into(),
    }
}

fn active_rollout() -> VersionRollout {
    rollout(RolloutState::Active, None)
}

fn complete_rollout() -> VersionRollout {
    rollout(RolloutState::Complete, Some("2026-11-a-long-name"))
}

fn reverted_rollout() -> VersionRollout {
    rollout(RolloutState::Reverted, Some("2026-08"))
}

fn live_batch() -> Batch {
    Batch {
        idempotency_key: "key-1".into(),
        digest: 0x6162_6364_6566_6768,
        window_ms: 3_600_000,
        elapsed_ms: 61_000,
        cancelled: true,
        expired: false,
        jobs: vec![
            Job {
                name: "job-1".into(),
                method: "POST".into(),
                host: "a.example".into(),
                path: "/x/1".into(),
                headers: vec![("content-type".into(), "application/json".into()), ("x-a".into(), "b".into())],
                body: "{\"prompt\":\"a prompt that is longer\"}".into(),
                repeatable: true,
            },
            Job {
                name: "job-2-with-a-long-name".into(),
                method: "GET".into(),
                host: "b.example".into(),
                path: "/y/2".into(),
                headers: Vec::new(),
                body: String::new(),
                repeatable: false,
            },
        ],
    }
}

fn expired_batch() -> Batch {
    Batch {
        idempotency_key: "key-2".into(),
        digest: 7,
        window_ms: 1000,
        elapsed_ms: 3_601_000,
        cancelled: false,
        expired: true,
        jobs: Vec::new(),
    }
}

/// A page with jobs in every state.
fn page() -> JobPage {
    JobPage {
        epoch: 6,
        states: vec![
            JobState::Waiting,
            JobState::Started,
            JobState::Completed { status: 200, body: "an answer that is longer".into() },
            JobState::Completed { status: 404, body: String::new() },
            JobState::OutcomeUnknown,
            JobState::DeadlineMissed,
            JobState::Cancelled,
        ],
    }
}

fn core() -> CoreMembership {
    let member = |ip: &str, zone: &str| Member { ip: ip.into(), zone: zone.into() };
    CoreMembership {
        version: 4,
        members: vec![member("10.0.0.1", "zone-a"), member("10.0.0.2", "zone-b"), member("10.0.0.3", "zone-c")],
        previous_members: vec![member("10.0.0.1", "zone-a"), member("10.0.0.2", "zone-b")],
        stable: false,
    }
}

/// The bodies of all keys except `config`, as the current code encodes them.
fn control_bodies() -> [(&'static str, Vec<u8>); 10] {
    [
        ("control-5-closed.bin", evacuation().to_bytes()),
        ("control-5-duty.bin", role().to_bytes()),
        ("control-5-rule.bin", staleness_limit().to_bytes()),
        ("control-5-rollout-active.bin", active_rollout().to_bytes()),
        ("control-5-rollout-complete.bin", complete_rollout().to_bytes()),
        ("control-5-rollout-reverted.bin", reverted_rollout().to_bytes()),
        ("control-5-batch-live.bin", live_batch().to_bytes()),
        ("control-5-batch-expired.bin", expired_batch().to_bytes()),
        ("control-5-page.bin", page().to_bytes()),
        ("control-5-core.bin", encode_membership(&core())),
    ]
}

fn path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("fixtures").join(file)
}

fn fixture(file: &str) -> Vec<u8> {
    fs::read(path(file)).unwrap_or_else(|error| panic!("{file}: {error}"))
}

fn entry(body: Vec<u8>) -> Entry {
    Entry { proposal_number: ProposalNumber { term: 3, replica_id: 1 }, index: 0, body }
}

/// Returns a state that has learned the bodies of these fixture files under these keys.
fn learned(bodies: &[(&str, &str)]) -> CommittedState {
    let mut state = CommittedState::default();
    for (key, file) in bodies {
        let learned = state.learn(key, &entry(fixture(file)), None);
        assert_eq!(learned, Learned::New { revision: 0 }, "{file} under {key}");
    }
    state
}

#[test]
#[ignore = "writes the fixtures of version 5"]
fn write_fixtures() {
    for ConfigBody { file, requested, stored, .. } in config_bodies() {
        fs::write(path(file), stored.encode(requested)).expect("the fixture is written");
    }
    for (file, body) in control_bodies() {
        fs::write(path(file), body).expect("the fixture is written");
    }
}

#[test]
fn configurations_of_version_5_are_decoded_in_every_format() {
    for ConfigBody { file, format, stored, .. } in config_bodies() {
        let body = fixture(file);
        assert_eq!(BodyFormat::of(&body), format, "{file}");
        assert_eq!(StoredConfig::decode(&body).as_ref(), Some(&stored), "{file}");
    }
}

#[test]
fn configurations_are_encoded_byte_for_byte_as_by_version_5() {
    for ConfigBody { file, requested, stored, .. } in config_bodies() {
        assert!(stored.encode(requested) == fixture(file), "{file} differs from the encoding of version 5");
    }
}

#[test]
fn configurations_of_version_5_are_learned() {
    for ConfigBody { file, stored, .. } in config_bodies() {
        let mut state = CommittedState::default();
        let learned = state.learn(CONFIG_KEY, &entry(fixture(file)), None);
        assert_eq!(learned, Learned::New { revision: stored.revision }, "{file}");
        let current = state.history.current().expect("a configuration");
        assert_eq!((current.text(), current.revision()), (stored.text.as_str(), stored.revision), "{file}");
    }
}

#[test]
fn tenants_in_configurations_of_version_5_are_parsed() {
    let files = [
        "config-body-5-plain-tenants.bin",
        "config-body-5-digested-tenants.bin",
        "config-body-5-plain-with-digests.bin",
    ];
    for file in files {
        let read = read_config(&fixture(file)).unwrap_or_else(|error| panic!("{file}: {error}"));
        assert_eq!(read.config(), &tenants_config(), "{file}");
    }
    let long = read_config(&fixture("config-body-5-digested-long.bin")).expect("the fixture is decoded");
    let config = long.config();
    assert_eq!((config.route_table.len(), config.tenant_table.len(), config.requires_keys), (200, 0, true));
}

#[test]
fn changes_committed_by_version_5_are_recognised() {
    for ConfigBody { file, stored, .. } in config_bodies() {
        let read = StoredConfig::decode(&fixture(file)).expect("the fixture is decoded");
        let status = |is_stored: bool| if is_stored { ChangeStatus::Committed } else { ChangeStatus::NotCommitted };
        for change in legacy_changes() {
            assert_eq!(read.status_of(&change), status(!stored.legacy_changes.is_empty()), "{file}: {change:?}");
        }
        for change in committed_changes() {
            assert_eq!(read.status_of(&change), status(!stored.changes.is_empty()), "{file}: {change:?}");
        }
    }
    let mut remembered = StoredConfig::default();
    legacy_changes().iter().for_each(|change| remembered.remember(change, Compressed));
    committed_changes().iter().for_each(|change| remembered.remember(change, Digested));
    assert_eq!((remembered.legacy_changes, remembered.changes), (legacy_digests(), stored_changes()));
}

/// Controllers tell bodies apart by these digests, so all versions must compute the same ones. The expected digests
/// were computed by an independent program.
#[test]
fn body_digests_are_the_same_in_all_versions() {
    let digests = [
        ("config-body-5-plain-short.bin", 0xb3e4_cf8a_cfbe_2d1b),
        ("config-body-5-packed-long.bin", 0xeadb_b26f_d22f_ef62),
        ("config-body-5-digested-tenants.bin", 0x9f6b_10bd_f3fd_529f),
    ];
    for (file, digest) in digests {
        assert_eq!(body_digest(&fixture(file)), digest, "{file}");
    }
}

#[test]
fn bodies_of_other_keys_are_encoded_byte_for_byte_as_by_version_5() {
    for (file, body) in control_bodies() {
        assert!(body == fixture(file), "{file} differs from the encoding of version 5");
    }
}

#[test]
fn evacuations_and_roles_of_version_5_are_decoded() {
    let EvacuationRecord { version, evacuated } =
        EvacuationRecord::open(&fixture("control-5-closed.bin")).expect("the fixture is decoded");
    assert_eq!((version, evacuated), (4, true));
    let RoleState { epoch, owner, predecessor_expired } =
        RoleState::open(&fixture("control-5-duty.bin")).expect("the fixture is decoded");
    assert_eq!((epoch, owner.as_str(), predecessor_expired), (19, "10.0.0.2-with-a-long-name", true));
    let state = learned(&[("evacuation/zone-a", "control-5-closed.bin"), ("duty/catalog", "control-5-duty.bin")]);
    assert_eq!(state.evacuations.get("zone-a"), Some(&evacuation()));
    assert_eq!(state.roles.get("duty/catalog"), Some(&role()));
}

#[test]
fn staleness_limits_of_version_5_are_decoded() {
    assert_eq!(StalenessLimit::from_bytes(&fixture("control-5-rule.bin")), Some(staleness_limit()));
    let state = learned(&[("rollout/chat/m-1", "control-5-rule.bin")]);
    assert_eq!(state.staleness_limits.get("rollout/chat/m-1"), Some(&staleness_limit()));
}

#[test]
fn rollouts_of_version_5_are_decoded_in_every_state() {
    let rollouts = [
        ("control-5-rollout-active.bin", active_rollout()),
        ("control-5-rollout-complete.bin", complete_rollout()),
        ("control-5-rollout-reverted.bin", reverted_rollout()),
    ];
    for (file, rollout) in rollouts {
        assert_eq!(VersionRollout::from_bytes(&fixture(file)).as_ref(), Some(&rollout), "{file}");
        assert_eq!(learned(&[("versions/chat", file)]).version_rollouts.get("chat"), Some(&rollout), "{file}");
    }
}

#[test]
fn batches_of_version_5_are_decoded() {
    assert_eq!(Batch::from_bytes(&fixture("control-5-batch-live.bin")), Some(live_batch()));
    assert_eq!(Batch::from_bytes(&fixture("control-5-batch-expired.bin")), Some(expired_batch()));
    assert_eq!(JobPage::from_bytes(&fixture("control-5-page.bin")), Some(page()));
    let state = learned(&[
        ("batch/a002e14b20bb64ec", "control-5-batch-live.bin"),
        ("batch/a002e14b20bb64ec/0", "control-5-page.bin"),
        ("batch/0000000000000002", "control-5-batch-expired.bin"),
    ]);
    assert_eq!(ids(&state), ["a002e14b20bb64ec"]);
    assert_eq!(batches::batch(&state, "a002e14b20bb64ec"), Some(live_batch()));
    assert_eq!(batches::page(&state, "a002e14b20bb64ec", &live_batch(), 0), page());
}

#[test]
fn the_membership_of_version_5_is_decoded() {
    assert_eq!(decode_membership(&fixture("control-5-core.bin")), Some(core()));
    learned(&[("core", "control-5-core.bin")]);
}

/// The entries that version 5 committed are stored under these keys.
#[test]
fn keys_of_the_control_state_are_unchanged() {
    assert_eq!((CONFIG_KEY, EVACUATION_PREFIX, ROLE_PREFIX), ("config", "evacuation/", "duty/"));
    assert_eq!((CATALOG, BALANCE, BATCH), ("duty/catalog", "duty/balance", "duty/batch"));
    assert_eq!((MEMBERSHIP_KEY, STALENESS_LIMIT_PREFIX, VERSION_ROLLOUT_PREFIX), ("core", "rollout/", "versions/"));
    // The id of the batch with the idempotency key `key-1`, computed by an independent program.
    assert_eq!(batch_id("key-1"), "a002e14b20bb64ec");
    assert_eq!(batch_key("a002e14b20bb64ec"), "batch/a002e14b20bb64ec");
    assert_eq!(page_key("a002e14b20bb64ec", 3), "batch/a002e14b20bb64ec/3");
}
