//! Tests the quota gate of a router against fake controllers that own shards.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use ingress::MemoryBudget;
use kernel::settings;
use protocol::link::{self, Handler, ServerLimits};
use protocol::message::Message;
use protocol::quota::{ShardOwner, TokenResponse};
use protocol::socket;
use quota::Quota;

use super::{Decision, QuotaGate};
use crate::testing::engine::{engine_response, engines, received_requests, EngineAction};
use crate::testing::router::{configure, router, send_request, status, SETTINGS};

/// Starts a controller that responds to every token request with `response`, and returns the count of requests.
async fn controller(ip: &str, port: u16, response: Option<TokenResponse>) -> Arc<AtomicUsize> {
    let requests = Arc::new(AtomicUsize::new(0));
    let count = requests.clone();
    let listener = socket::listen(&format!("{ip}:{port}")).expect("a free address");
    let handler: Handler = Arc::new(move |responder, id, message| {
        if let Message::TokenRequest(_) = message {
            count.fetch_add(1, Ordering::Relaxed);
            if let Some(response) = response {
                responder.reply(id, &Message::TokenResponse(Box::new(response)));
            }
        }
    });
    let limits = ServerLimits { max_connections: 64, memory: MemoryBudget::new(64) };
    tokio::spawn(link::serve(listener, limits, handler));
    requests
}

const QUOTA: Quota = Quota { rate_per_s: 10.0, burst: 10.0 };
const EMPTY: TokenResponse = TokenResponse::Denied { retry_after_ms: 10_000 };

fn gate(port: u16, ips: &[&str]) -> QuotaGate {
    let settings = SETTINGS.replace("[7300, 7315]", &format!("[{port}, {port}]"));
    let settings =
        settings.replace("budget_slack = 0.0", "budget_slack = 0.0, quota_slack = 20.0, quota_overage = 0.1");
    let gate = QuotaGate::new(&settings::parse(&settings).expect("valid settings"));
    let owner = |ip: &&str| ShardOwner { ip: ip.to_string(), zone: ip.to_string() };
    gate.set_shard_owners(&ips.iter().map(owner).collect::<Vec<_>>());
    gate
}

#[tokio::test]
async fn empty_shard_is_followed_by_the_next_and_a_request_is_denied_once_all_are_empty() {
    let (ips, port) = (["127.0.81.1", "127.0.81.2", "127.0.81.3"], 7381);
    controller(ips[0], port, Some(EMPTY)).await;
    controller(ips[1], port, Some(TokenResponse::Granted)).await;
    controller(ips[2], port, Some(TokenResponse::NotHeld)).await;
    let gate = gate(port, &ips);
    for random in 0..6 {
        assert_eq!(gate.decide("t", &QUOTA, 9, random).await, Decision::Granted);
    }
    let owner = |ip: &str| ShardOwner { ip: ip.into(), zone: "a".into() };
    gate.set_shard_owners(&[owner(ips[0]), owner(ips[2])]);
    assert_eq!(gate.decide("t", &QUOTA, 9, 0).await, Decision::Denied);
    assert_eq!(gate.decide("t", &QUOTA, 9, 0).await, Decision::Remembered);
    assert_eq!(gate.decide("other", &QUOTA, 9, 0).await, Decision::Denied, "empty shards are remembered per tenant");
}

#[tokio::test]
async fn unresponsive_shard_owner_is_skipped_during_its_backoff() {
    let (ips, port) = (["127.0.82.1", "127.0.82.2"], 7382);
    let unresponsive = controller(ips[0], port, None).await;
    controller(ips[1], port, Some(TokenResponse::Granted)).await;
    let gate = gate(port, &ips);
    for random in 0..10 {
        assert_eq!(gate.decide("t", &QUOTA, 9, random).await, Decision::Granted);
    }
    assert_eq!(unresponsive.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn router_grants_only_its_own_allowance_while_no_shard_owner_responds() {
    let gate = gate(7383, &["127.0.83.1"]);
    let mut granted = 0;
    for random in 0..100 {
        match gate.decide("t", &QUOTA, 2, random).await {
            Decision::GrantedAlone => granted += 1,
            decision => assert_eq!(decision, Decision::RefusedAlone),
        }
    }
    // 1.6 times the headroom of 0.1 * 60 + 20 tokens, divided between two routers.
    assert!((20..=21).contains(&granted), "{granted}");
}

const API_KEY_HEADER: &str = "Authorization: Bearer k1\r\n";

#[tokio::test]
async fn request_of_a_tenant_over_its_limit_gets_429_and_reaches_no_engine() {
    let (ip, port) = ("127.0.84.1", 7300);
    let requests = controller(ip, port, Some(EMPTY)).await;
    let fleet =
        engines("decode", 1, |request, _| EngineAction::Send(engine_response(request, "200 OK", "hello"))).await;
    let state = router(&fleet);
    state.quota_gate.set_shard_owners(&[ShardOwner { ip: ip.into(), zone: "a".into() }]);
    let tenant = |rate: f64| serde_json::json!({"tenant_table": [{"name": "one", "api_keys": ["k1"], "rate_per_s": rate, "burst_size": 1}]});
    configure(&state, 2, tenant(5.0));
    let text = send_request(&state, "once", "1", API_KEY_HEADER).await;
    assert_eq!(status(&text), "429", "{text}");
    assert!(text.to_lowercase().contains("retry-after: 0.500"), "{text}");
    assert_eq!((received_requests(&fleet).len(), requests.load(Ordering::Relaxed)), (0, 1));
    configure(&state, 3, tenant(0.0));
    assert_eq!(status(&send_request(&state, "once", "2", API_KEY_HEADER).await), "200", "a rate of 0 means no limit");
    assert_eq!(requests.load(Ordering::Relaxed), 1);
}
