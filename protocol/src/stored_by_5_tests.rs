//! Every message as daemons of version 5 send it, and the names and hashes that they must also agree on.
//!
//! `fixtures/messages-5.bin` was written by commit 0f675d7: consecutive frames in the order of `messages`. To recreate
//! it, check out that commit, put this file beside `msg.rs`, declare it as a module as here, and run
//! `cargo test -p wire --lib -- --ignored stored_by_5`. Later versions never recreate it, but read it.
use crate::capability::{own_protocol_version, shutting_down_marker, PROTOCOL_VERSION};
use crate::config::{self, Limits, Model, Route, Service, Split, Tenant};
use crate::config_update::{legacy_format, ConfigUpdate};
use crate::frame::{self, Kind, HEADER_BYTES};
use crate::message::{
    ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, EndpointList, Engine, EngineLoad,
    EngineWeights, Entry, EvacuationState, Gossip, HiddenKey, KeyPosition, Member, Message, Position, PrefixLookup,
    PrefixLookupResponse, PrefixRegistration, ProposalNumber, Record, RegisterState, StalenessLimit, StateUpdate,
    SubscriptionRenewal, VersionEntry, WeightVersions, STALENESS_LIMIT_PREFIX,
};
use crate::operator_request::{CommittedDelta, ConfigChange, OperatorRequest, OperatorResponse};
use crate::quota::{shard_owners_entry, shard_owners_fingerprint, ShardOwner, ShardUsage, TokenRequest, TokenResponse};
use crate::renewal::{Confirmation, SubscriptionRenewed};
use crate::version_rollout::{candidates_of, RolloutState, RouteSamples, Samples, VersionRollout, KEY_PREFIX};
use kernel::hashing::{combine, hash};
use std::collections::HashSet;
use std::fs;
use std::mem::discriminant;
use std::path::{Path, PathBuf};

fn position(key: &str, proposal_number: ProposalNumber, index: u64) -> KeyPosition {
    KeyPosition { key: key.into(), position: Position { proposal_number, index } }
}

/// Number of message kinds in version 5.
const MESSAGE_KIND_COUNT: usize = 34;

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("fixtures/messages-5.bin")
}

fn member(ip: &str, zone: &str) -> Member {
    Member { ip: ip.into(), zone: zone.into() }
}

fn changing_membership() -> CoreMembership {
    CoreMembership {
        version: 6,
        members: vec![member("10.0.0.1", "a"), member("10.0.0.2", "b"), member("10.0.0.3", "c")],
        previous_members: vec![member("10.0.0.1", "a"), member("10.0.0.2", "b")],
        stable: false,
    }
}

fn stable_membership() -> CoreMembership {
    CoreMembership {
        version: 7,
        members: vec![member("10.0.0.4", "d")],
        previous_members: vec![member("10.0.0.5", "e")],
        stable: true,
    }
}

fn proposal_number() -> ProposalNumber {
    ProposalNumber { term: 0x0102_0304_0506_0708, replica_id: 0x1112_1314_1516_1718 }
}

fn entry() -> Entry {
    Entry { proposal_number: proposal_number(), index: 41, body: b"the body of a key".to_vec() }
}

fn register_states() -> Vec<RegisterState> {
    vec![
        RegisterState {
            key: "config".into(),
            prepared: ProposalNumber { term: 9, replica_id: 8 },
            entry: Some(entry()),
        },
        RegisterState { key: "duty/catalog".into(), prepared: ProposalNumber { term: 7, replica_id: 6 }, entry: None },
    ]
}

fn weights(engine: &str, model: &str, version: u64) -> EngineWeights {
    EngineWeights { engine: engine.into(), model: model.into(), version }
}

fn list_versions() -> Vec<VersionEntry> {
    vec![VersionEntry::new("zone-a", 12, 13), VersionEntry::new("\0leaving", 1, 0), VersionEntry::new("", 5, 0)]
}

fn in_flight() -> Vec<(String, u32)> {
    vec![("engine-1".into(), 3), ("engine-with-a-long-name-2".into(), 70_000)]
}

fn engines() -> Vec<Engine> {
    let first = Engine {
        id: "i-1".into(),
        service: "chat".into(),
        addr: "10.1.1.1:8000".into(),
        zone: "zone-a".into(),
        phase: "decode".into(),
        model: "a-model-with-a-long-name".into(),
        slots: 64,
        up: true,
        cold_ms: 4500,
    };
    let second = Engine { id: "i-2".into(), phase: "prefill".into(), slots: 2, up: false, cold_ms: 1, ..first.clone() };
    vec![first, second]
}

fn endpoint_list() -> EndpointList {
    EndpointList { zone: "zone-a".into(), term: 21, sequence: 22, engines: engines() }
}

fn state_update() -> StateUpdate {
    StateUpdate {
        confirmed: true,
        config: Some((31, b"{\"revision\":31}".to_vec())),
        evacuations: vec![
            EvacuationState { zone: "zone-a".into(), version: 4, evacuated: true },
            EvacuationState { zone: "zone-b".into(), version: 5, evacuated: false },
        ],
        endpoint_lists: vec![endpoint_list()],
        router_count: 17,
        peers: vec!["10.0.0.1".into(), "10.0.0.2".into()],
        reassigning: vec!["i-2".into()],
        catalog: (19, "10.0.0.2".into()),
    }
}

fn engine_loads() -> Vec<EngineLoad> {
    vec![
        EngineLoad { engine_hash: 0xfedc_ba98_7654_3210, load: 14, age_ms: 250 },
        EngineLoad { engine_hash: 77, load: 70_001, age_ms: 70_002 },
    ]
}

fn records() -> Vec<Record> {
    vec![Record { key: 501, engine: "i-1".into() }, Record { key: 502, engine: "engine-with-a-long-name-2".into() }]
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

fn config_change() -> ConfigChange {
    ConfigChange { base: 8, text: "{\"revision\":9,\"upsert\":{}}".into(), partial: true }
}

fn version_rollout(state: RolloutState, stable: Option<&str>) -> VersionRollout {
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

fn limits() -> Limits {
    Limits { max_header_bytes: 8192, max_body_bytes: 1_000_000, header_timeout_ms: 3000, idle_timeout_ms: 9000 }
}

fn split_route() -> Route {
    Route {
        name: "r-1".into(),
        hostname: "a.example".into(),
        path_prefix: "/x/".into(),
        route_type: "streaming".into(),
        timeout_ms: 3000,
        target_ms: 400,
        priority: 1,
        service: None,
        traffic_split: vec![
            Split { service: "service-one".into(), weight: 90 },
            Split { service: "s2".into(), weight: 10 },
        ],
        retry_count: 2,
        persistent: true,
        resumable: true,
        gap_target_ms: 250,
        allowed_regions: vec!["tasman-south".into(), "tasman-north".into()],
        anonymous: false,
    }
}

fn plain_route() -> Route {
    Route {
        name: "r-2-with-a-long-name".into(),
        hostname: "b.example".into(),
        path_prefix: "/y/".into(),
        route_type: "idempotent".into(),
        timeout_ms: 8000,
        target_ms: 0,
        priority: 0,
        service: Some("service-one".into()),
        traffic_split: Vec::new(),
        retry_count: 1,
        persistent: false,
        resumable: false,
        gap_target_ms: 0,
        allowed_regions: Vec::new(),
        anonymous: false,
    }
}

fn services() -> Vec<Service> {
    let engine = config::Engine {
        slot_count: 64,
        kv_capacity: 319_972,
        kv_token_bytes: 18432.5,
        link_mbps: 370_000.0,
        kv_hold_s: 5.25,
        role_switch_s: 1.75,
        model_list: vec![Model { name: "m-1".into() }, Model { name: "a-model-with-a-long-name".into() }],
    };
    vec![
        Service {
            name: "service-one".into(),
            health_path: "/alive".into(),
            max_connections: 360,
            warmup_s: 3.5,
            ramp_per_s: 12.0,
            engine: Some(engine),
        },
        Service {
            name: "s2".into(),
            health_path: "/health".into(),
            max_connections: 1,
            warmup_s: 0.0,
            ramp_per_s: 0.5,
            engine: None,
        },
    ]
}

/// A whole configuration with tenants, in the layout of version 5.
fn whole_with_tenants() -> ConfigUpdate {
    ConfigUpdate {
        from: 0,
        to: 31,
        routes: vec![split_route(), Route { anonymous: true, ..plain_route() }],
        removed_routes: Vec::new(),
        services: services(),
        removed_services: Vec::new(),
        limits: limits(),
        tenants: vec![
            Tenant {
                name: "acme".into(),
                api_keys: vec!["key-1".into(), "a-second-key-that-is-longer".into()],
                priority: Some(3),
                rate_per_s: 12.5,
                burst_size: 40.0,
                allowed_regions: vec!["tasman-south".into()],
            },
            Tenant {
                name: "a-tenant-with-a-long-name".into(),
                api_keys: Vec::new(),
                priority: None,
                rate_per_s: 0.0,
                burst_size: 0.0,
                allowed_regions: Vec::new(),
            },
        ],
        removed_tenants: Vec::new(),
        requires_keys: true,
    }
}

/// The delta to a later configuration, in the layout of version 5.
fn delta_with_tenants() -> ConfigUpdate {
    ConfigUpdate {
        from: 31,
        to: 33,
        routes: vec![plain_route()],
        removed_routes: vec!["r-1".into()],
        services: services(),
        removed_services: vec!["s3".into(), "a-service-with-a-long-name".into()],
        limits: limits(),
        tenants: vec![Tenant {
            name: "acme".into(),
            api_keys: vec!["key-3".into()],
            priority: Some(1),
            rate_per_s: 0.125,
            burst_size: 1.0,
            allowed_regions: vec!["tasman-north".into()],
        }],
        removed_tenants: vec!["a-tenant-with-a-long-name".into(), "b".into()],
        requires_keys: true,
    }
}

/// A delta in the layout before tenants.
fn delta_without_tenants() -> ConfigUpdate {
    ConfigUpdate {
        from: 41,
        to: 42,
        routes: vec![split_route(), plain_route()],
        removed_routes: vec!["r-3".into()],
        services: services(),
        removed_services: vec!["s3".into()],
        limits: limits(),
        tenants: Vec::new(),
        removed_tenants: Vec::new(),
        requires_keys: false,
    }
}

fn consensus_request(core_membership: CoreMembership, operation: ConsensusOperation) -> Message {
    Message::ConsensusRequest(Box::new(ConsensusRequest { membership: core_membership, operation }))
}

fn consensus_response(response: ConsensusResponse) -> Message {
    Message::ConsensusResponse(Box::new(response))
}

fn operator_request(request: OperatorRequest) -> Message {
    Message::OperatorRequest(Box::new(request))
}

fn operator_response(result: OperatorResponse) -> Message {
    Message::OperatorResponse(Box::new(result))
}

/// Messages between proposers and acceptors: all variants of `ConsensusOperation` and `ConsensusResponse`.
fn consensus_messages() -> Vec<Message> {
    vec![
        consensus_request(
            changing_membership(),
            ConsensusOperation::Prepare { key: "config".into(), proposal_number: proposal_number() },
        ),
        consensus_request(
            stable_membership(),
            ConsensusOperation::Accept { key: "evacuation/zone-a".into(), entry: entry() },
        ),
        consensus_request(changing_membership(), ConsensusOperation::Positions),
        consensus_request(stable_membership(), ConsensusOperation::Snapshot),
        consensus_request(changing_membership(), ConsensusOperation::Fetch { key: "rollout/chat/m-1".into() }),
        consensus_response(ConsensusResponse::Prepared { entry: Some(entry()) }),
        consensus_response(ConsensusResponse::Prepared { entry: None }),
        consensus_response(ConsensusResponse::Accepted),
        consensus_response(ConsensusResponse::Rejected { prepared: proposal_number() }),
        consensus_response(ConsensusResponse::Positions {
            positions: vec![
                position("config", proposal_number(), 41),
                position("core", ProposalNumber { term: 2, replica_id: 3 }, 1),
            ],
        }),
        consensus_response(ConsensusResponse::Snapshot { registers: register_states() }),
        consensus_response(ConsensusResponse::Fetched { entry: Some(entry()) }),
        consensus_response(ConsensusResponse::Fetched { entry: None }),
        consensus_response(ConsensusResponse::NewerMembership { membership: changing_membership() }),
        consensus_response(ConsensusResponse::NonVoting),
    ]
}

/// Messages of controllers and routers about themselves, engines and committed state.
fn state_messages() -> Vec<Message> {
    vec![
        Message::Gossip(Box::new(Gossip {
            ip: "10.0.0.1".into(),
            zone: "zone-a".into(),
            incarnation: 0x2122_2324_2526_2728,
            eligible: true,
            membership: changing_membership(),
            peers: vec!["10.0.0.2".into(), "10.0.0.3".into()],
            router_count: 18,
            in_flight: in_flight(),
            reassigning: vec!["i-2".into()],
            frontend_addresses: vec!["10.2.0.1:443".into(), "10.2.0.2:443".into()],
            list_versions: list_versions(),
            observed_list_versions: vec![VersionEntry::new("zone-b", 14, 15)],
        })),
        Message::EndpointList(Box::new(endpoint_list())),
        Message::SubscriptionRenewal(Box::new(SubscriptionRenewal {
            node: "router-1".into(),
            zone: "zone-b".into(),
            incarnation: 0x3132_3334_3536_3738,
            config_revision: 31,
            evacuation_versions: vec![("zone-a".into(), 4)],
            list_versions: list_versions(),
            in_flight: in_flight(),
            frontend_address: "10.2.0.1:443".into(),
        })),
        Message::StateUpdate(Box::new(state_update())),
        Message::Committed(Box::new(("evacuation/zone-a".into(), entry()))),
        Message::SuspectEngine(Box::new(("i-1".into(), true))),
        Message::Rejected(Box::new(503)),
        Message::SubscriptionRenewed(Box::new(SubscriptionRenewed {
            update: state_update(),
            confirmation: Some(Confirmation { age_ms: 120, config_revision: 31 }),
            core_members: vec!["10.0.0.1".into(), "10.0.0.2".into()],
        })),
    ]
}

/// Messages to and from the catalog.
fn catalog_messages() -> Vec<Message> {
    vec![
        Message::OwnerQuery(Box::new((19, vec![501, 502, u64::MAX]))),
        Message::Owners(Box::new((19, vec![vec!["i-1".into(), "engine-with-a-long-name-2".into()], Vec::new()]))),
        Message::RegisterOwners(Box::new((19, records()))),
        Message::Flush(Box::new((19, 600))),
        Message::Flushed(Box::new((20, 601))),
        Message::PrefixLookup(Box::new(PrefixLookup { epoch: 19, keys: vec![501, 502], sample: vec![77, 78] })),
        Message::PrefixLookupResponse(Box::new(PrefixLookupResponse {
            epoch: 19,
            owners: vec![vec!["i-1".into()], Vec::new(), vec!["engine-with-a-long-name-2".into()]],
            list: engine_loads(),
        })),
        Message::PrefixRegistration(Box::new(PrefixRegistration {
            epoch: 19,
            owners: records(),
            loads: engine_loads(),
        })),
    ]
}

/// Operators' requests and their outcomes: all variants of `OperatorRequest` and `OperatorResponse`, and both layouts
/// of configuration updates.
fn operator_messages() -> Vec<Message> {
    let delta = CommittedDelta {
        key: "config".into(),
        proposal_number: proposal_number(),
        index: 42,
        before: 0x4142_4344_4546_4748,
        after: 0x5152_5354_5556_5758,
        change: Some(config_change()),
        revision: 9,
        pack: true,
    };
    vec![
        operator_request(OperatorRequest::Change(config_change())),
        operator_request(OperatorRequest::Evacuate { zone: "zone-a".into(), on: true }),
        operator_request(OperatorRequest::ReadConfig),
        operator_request(OperatorRequest::EvacuateFrom {
            zone: "a-zone-with-a-long-name".into(),
            on: true,
            version: 3,
        }),
        operator_response(OperatorResponse::Done),
        operator_response(OperatorResponse::Found { body: b"the body of the configuration".to_vec() }),
        operator_response(OperatorResponse::Rejected { status: 412, reason: "version 9 is current".into() }),
        operator_response(OperatorResponse::OutcomeUnknown),
        Message::CommittedDelta(Box::new(CommittedDelta { change: None, ..delta.clone() })),
        Message::CommittedDelta(Box::new(delta)),
        Message::ConfigUpdate(Box::new(legacy_format::encode(&delta_without_tenants()))),
        Message::TenantConfigUpdate(Box::new(whole_with_tenants().encode())),
        Message::TenantConfigUpdate(Box::new(delta_with_tenants().encode())),
    ]
}

/// Messages about staleness limits, version rollouts and tenants' rate limits.
fn rollout_and_limit_messages() -> Vec<Message> {
    let samples = |is_relayed| Samples {
        service: "chat".into(),
        order: 4,
        list: vec![
            RouteSamples {
                route: "r-1".into(),
                is_candidate: true,
                good: 900,
                failed: 3,
                paces: vec![(20_000, 5), (21_500, 6)],
            },
            RouteSamples { route: "r-2".into(), is_candidate: false, good: 9000, failed: 1, paces: Vec::new() },
        ],
        is_relayed,
    };
    let owner = |ip: &str, zone: &str| ShardOwner { ip: ip.into(), zone: zone.into() };
    vec![
        Message::StalenessLimit(Box::new(staleness_limit())),
        Message::WeightVersions(Box::new(WeightVersions {
            zone: "zone-a".into(),
            term: 23,
            sequence: 24,
            list: vec![weights("i-1", "m-1", 120), weights("i-2", "a-model-with-a-long-name", 119)],
        })),
        Message::CountConfirmations(Box::new(("rollout/chat/m-1".into(), 3))),
        Message::ConfirmationCount(Box::new((18, 17))),
        Message::TokenRequest(Box::new(TokenRequest {
            tenant: "acme".into(),
            rate_milli: 12_500,
            burst_milli: 40_000,
        })),
        Message::TokenResponse(Box::new(TokenResponse::Granted)),
        Message::TokenResponse(Box::new(TokenResponse::Denied { retry_after_ms: 80 })),
        Message::TokenResponse(Box::new(TokenResponse::NotHeld)),
        Message::ShardOwners(Box::new(vec![owner("10.0.0.1", "zone-a"), owner("10.0.0.2", "zone-b")])),
        Message::UsageRequest(Box::new(5)),
        Message::UsageResponse(Box::new(vec![
            ShardUsage { tenant: "acme".into(), granted: 1000, denied: 7, tokens_milli: 12_345 },
            ShardUsage { tenant: "a-tenant-with-a-long-name".into(), granted: 1, denied: 2, tokens_milli: 3 },
        ])),
        Message::VersionRollout(Box::new(version_rollout(RolloutState::Active, Some("2026-10")))),
        Message::VersionRollout(Box::new(version_rollout(RolloutState::Complete, Some("2026-11-a-long-name")))),
        Message::VersionRollout(Box::new(version_rollout(RolloutState::Reverted, None))),
        Message::Samples(Box::new(samples(false))),
        Message::Samples(Box::new(samples(true))),
    ]
}

/// Every message of version 5.
pub(crate) fn messages() -> Vec<Message> {
    [consensus_messages(), state_messages(), catalog_messages(), operator_messages(), rollout_and_limit_messages()]
        .concat()
}

/// The frame kind and id of the message at an index.
fn kind_and_id(index: usize) -> (Kind, u64) {
    ([Kind::Request, Kind::Response, Kind::Notification][index % 3], 0xA1A2_A3A4_0000_0000 + index as u64)
}

fn encode_frames(messages: &[Message]) -> Vec<u8> {
    let frames = messages.iter().enumerate().map(|(index, message)| {
        let (kind, id) = kind_and_id(index);
        frame::encode(kind, id, message).expect("encoded")
    });
    frames.flatten().collect()
}

/// Decodes the frames of the fixture: kind, id and message.
fn read_frames(bytes: &[u8]) -> Vec<((Kind, u64), Message)> {
    let mut rest = bytes;
    let mut frames = Vec::new();
    while let Some((header, body)) = rest.split_first_chunk::<HEADER_BYTES>() {
        let header = frame::decode_header(header).expect("a header");
        assert_eq!(header.version, 1);
        let (body, remaining) = body.split_at(header.len);
        frames.push(((header.kind, header.id), frame::decode_body(body).expect("a body")));
        rest = remaining;
    }
    assert!(rest.is_empty(), "{} bytes after the last frame", rest.len());
    frames
}

#[test]
#[ignore = "writes the fixture of version 5"]
fn write_fixture() {
    fs::write(fixture(), encode_frames(&messages())).expect("written");
}

#[test]
fn messages_of_version_5_decode_to_the_original_values() {
    let frames = read_frames(&fs::read(fixture()).expect("the fixture is readable"));
    let expected = messages();
    assert_eq!(frames.len(), expected.len());
    for (index, ((decoded_header, decoded), expected)) in frames.into_iter().zip(expected).enumerate() {
        assert_eq!(decoded_header, kind_and_id(index), "frame {index}");
        assert_eq!(decoded, expected, "frame {index}");
    }
}

#[test]
fn messages_of_version_5_encode_to_the_same_bytes() {
    let bytes = fs::read(fixture()).expect("the fixture is readable");
    let mut rest = bytes.as_slice();
    for (index, message) in messages().iter().enumerate() {
        let (kind, id) = kind_and_id(index);
        let frame = frame::encode(kind, id, message).expect("encoded");
        assert_eq!(rest.get(..frame.len()), Some(&frame[..]), "frame {index}: {message:?}");
        rest = &rest[frame.len()..];
    }
    assert!(rest.is_empty(), "{} bytes after the last frame", rest.len());
}

#[test]
fn the_fixture_contains_every_kind_of_message() {
    let frames = read_frames(&fs::read(fixture()).expect("the fixture is readable"));
    let kinds: HashSet<_> = frames.iter().map(|(_, message)| discriminant(message)).collect();
    assert_eq!(kinds.len(), MESSAGE_KIND_COUNT);
}

/// Compares the decoded contents of `ConfigUpdate` and `TenantConfigUpdate`: another packing of the same update is
/// equally valid.
#[test]
fn packed_updates_of_version_5_decode_in_both_layouts() {
    let (mut without_tenants, mut with_tenants) = (Vec::new(), Vec::new());
    for (_, message) in read_frames(&fs::read(fixture()).expect("the fixture is readable")) {
        match message {
            Message::ConfigUpdate(packed) => without_tenants.push(ConfigUpdate::decode(&packed).expect("an update")),
            Message::TenantConfigUpdate(packed) => with_tenants.push(ConfigUpdate::decode(&packed).expect("an update")),
            _ => {}
        }
    }
    assert_eq!(without_tenants, [delta_without_tenants()]);
    assert_eq!(with_tenants, [whole_with_tenants(), delta_with_tenants()]);
}

/// Daemons exchange these names with the versions of endpoint lists, and find committed state under these keys.
#[test]
fn the_names_of_version_5_are_unchanged() {
    assert_eq!(own_protocol_version(), VersionEntry::new("", PROTOCOL_VERSION, 0));
    assert_eq!(shutting_down_marker(), VersionEntry::new("\0leaving", 1, 0));
    assert_eq!(HiddenKey::WeightVersions("zone-a").to_string(), "\0zone-a");
    assert_eq!(HiddenKey::ShardOwners.to_string(), "\0shard holders");
    assert_eq!(shard_owners_entry(12), VersionEntry::new("\0shard holders", 12, 0));
    assert_eq!(candidates_of("zone-a"), "\0candidates zone-a");
    assert_eq!((STALENESS_LIMIT_PREFIX, KEY_PREFIX), ("rollout/", "versions/"));
    assert_eq!(staleness_limit().key(), "rollout/chat/m-1");
    assert_eq!(VersionRollout::key("chat"), "versions/chat");
}

/// Hashes are sent in place of names, and a list of shard owners is identified by its fingerprint.
#[test]
fn the_hashes_of_version_5_are_unchanged() {
    let owner = |ip: &str, zone: &str| ShardOwner { ip: ip.into(), zone: zone.into() };
    assert_eq!(hash(b""), 0xefd0_1f60_ba99_2926);
    assert_eq!(hash(b"engine-with-a-long-name-2"), 0x96bf_6eee_64c0_2b9c);
    assert_eq!(combine(3, 9), 0xfecc_95cb_a7dc_91dc);
    assert_eq!(
        shard_owners_fingerprint(&[owner("10.0.0.1", "zone-a"), owner("10.0.0.2", "zone-b")]),
        0xfdc6_4a92_8230_bc58
    );
}
