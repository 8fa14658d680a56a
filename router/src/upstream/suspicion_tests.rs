//! Tests which routers probe a suspected engine, and which rely on reports.

use std::time::Duration;

use kernel::clock;
use tokio::{task, time};

use super::{handle_report, raise};
use crate::state::State;
use crate::testing::engine::{engine_response, engines, Engine, EngineAction};
use crate::testing::router::router;
use crate::upstream::suspicion_report::{ProbeResult, SuspicionReport};

async fn start_engine() -> Vec<Engine> {
    engines("decode", 1, |request, _| EngineAction::Send(engine_response(request, "200 OK", "{}"))).await
}

fn id(engines: &[Engine]) -> String {
    engines[0].id.clone()
}

/// Returns whether new requests avoid the engine.
fn is_avoided(state: &State) -> bool {
    state.engines().engines[0].suspected_until > clock::now()
}

fn is_probing(state: &State) -> bool {
    state.engines().engines[0].is_probing
}

/// Waits until the prober has finished.
async fn probing_ended(state: &State) {
    let done = async {
        while is_probing(state) {
            task::yield_now().await;
        }
    };
    time::timeout(Duration::from_secs(20), done).await.expect("the prober finishes");
}

/// Returns the result of probing an engine from a zone; reports of earlier versions name no zone.
fn probe_result<'a>(engine: &'a str, zone: Option<&'a str>) -> ProbeResult<'a> {
    ProbeResult { engine, probed_from: zone }
}

fn unresponsive(engine: &str, zone: Option<&str>) -> String {
    SuspicionReport::Unresponsive(probe_result(engine, zone)).encode()
}

fn responded(engine: &str, zone: Option<&str>) -> String {
    SuspicionReport::Responded(probe_result(engine, zone)).encode()
}

#[test]
fn encoded_reports_decode_to_themselves_and_a_plain_id_is_a_suspicion() {
    for report in [
        SuspicionReport::Suspected("i-1"),
        SuspicionReport::Unresponsive(probe_result("i-1", None)),
        SuspicionReport::Responded(probe_result("i-1", None)),
        SuspicionReport::Unresponsive(probe_result("i-1", Some("z-2"))),
        SuspicionReport::Responded(probe_result("i-1", Some("z-2"))),
    ] {
        assert_eq!((SuspicionReport::decode(&report.encode()), report.engine()), (report, "i-1"));
    }
    assert_eq!(SuspicionReport::Suspected("i-1").encode(), "i-1", "as earlier versions tell it");
    assert_eq!(unresponsive("i-1", None), "\0dark/i-1", "as earlier versions tell it");
    assert_eq!(responded("i-1", None), "\0calm/i-1", "as earlier versions tell it");
}

// Guards against routers that trust reports from another zone during a network partition. Routers on one side reported
// the engines of the other side as unresponsive, and routers next to those engines avoided them and probed them without
// pause. The few remaining engines got all prompts (the busiest 2.3 times the mean, 1.4 times where no report got
// through), and requests waited for seconds.
#[tokio::test]
async fn engine_reported_unresponsive_from_another_zone_is_probed_and_not_avoided() {
    let fleet = start_engine().await;
    let state = router(&fleet);
    handle_report(&state, &unresponsive(&id(&fleet), Some("elsewhere")));
    assert!(!is_avoided(&state), "a report from another zone does not apply here");
    probing_ended(&state).await;
    assert!(!is_avoided(&state));
    assert_eq!(fleet[0].probes(), 1, "the only router is always sampled");
    handle_report(&state, &unresponsive(&id(&fleet), Some(&state.settings.zone)));
    assert!(is_avoided(&state), "a report from this zone applies");
}

#[tokio::test]
async fn response_reported_from_another_zone_triggers_a_probe_but_clears_no_suspicion() {
    let fleet = start_engine().await;
    let state = router(&fleet);
    state.subscribed().router_counts.push((clock::now(), 1000));
    handle_report(&state, &unresponsive(&id(&fleet), Some(&state.settings.zone)));
    state.subscribed().router_counts.clear();
    handle_report(&state, &responded(&id(&fleet), Some("elsewhere")));
    assert!(is_avoided(&state), "avoided until a probe from this zone gets a response");
    probing_ended(&state).await;
    assert!(!is_avoided(&state));
    assert_eq!(fleet[0].probes(), 1);
}

#[tokio::test]
async fn engine_reported_unresponsive_is_avoided_without_probes_until_a_response_is_reported() {
    let fleet = start_engine().await;
    let state = router(&fleet);
    handle_report(&state, &unresponsive(&id(&fleet), None));
    assert!(is_avoided(&state) && is_probing(&state));
    handle_report(&state, &responded(&id(&fleet), None));
    probing_ended(&state).await;
    assert!(!is_avoided(&state));
    assert_eq!(fleet[0].probes(), 0, "it was not probed");
}

#[tokio::test]
async fn reported_suspicion_makes_a_sampled_router_probe_and_does_not_avoid_the_engine() {
    let fleet = start_engine().await;
    let state = router(&fleet);
    // The only router is always sampled.
    handle_report(&state, &SuspicionReport::Suspected(&id(&fleet)).encode());
    assert!(!is_avoided(&state), "not avoided before a probe got no response");
    probing_ended(&state).await;
    assert!(!is_avoided(&state));
    assert_eq!(fleet[0].probes(), 1);
}

#[tokio::test]
async fn router_with_only_a_report_probes_at_once_when_its_own_request_gets_no_response() {
    let fleet = start_engine().await;
    let state = router(&fleet);
    // With a thousand routers, each would otherwise probe only after many seconds.
    state.subscribed().router_counts.push((clock::now(), 1000));
    handle_report(&state, &unresponsive(&id(&fleet), None));
    raise(&state, 0);
    probing_ended(&state).await;
    assert!(!is_avoided(&state));
    assert_eq!(fleet[0].probes(), 1, "probed once, and it responded");
}

#[tokio::test]
async fn report_does_not_abort_a_response_in_flight() {
    let fleet = start_engine().await;
    let state = router(&fleet);
    handle_report(&state, &unresponsive(&id(&fleet), None));
    assert_eq!(state.engines().engines[0].last_failure_at, 0, "only this router's own probes abort a response");
}
