//! Suspected engines: which routers probe them, and which rely on reports.

use std::time::Duration;

use kernel::clock;
use tokio::{task, time};

use super::{handle_report, raise};
use crate::state::State;
use crate::testing::engine::{answer, engines, Act, Engine};
use crate::testing::router::router;
use crate::upstream::suspicion_report::{Sighting, SuspicionReport};

async fn fleet() -> Vec<Engine> {
    engines("decode", 1, |seen, _| Act::Send(answer(seen, "200 OK", "{}"))).await
}

fn id(engines: &[Engine]) -> String {
    engines[0].id.clone()
}

/// Returns whether the engine is avoided.
fn is_avoided(state: &State) -> bool {
    state.engines().engines[0].suspected_until > clock::now()
}

fn is_probing(state: &State) -> bool {
    state.engines().engines[0].is_probing
}

/// Waits until the prober has ended.
async fn probing_ended(state: &State) {
    let done = async {
        while is_probing(state) {
            task::yield_now().await;
        }
    };
    time::timeout(Duration::from_secs(20), done).await.expect("it ends");
}

/// What a router of a zone saw of an engine; without a zone as routers of earlier versions tell it.
fn seen<'a>(engine: &'a str, zone: Option<&'a str>) -> Sighting<'a> {
    Sighting { engine, seen_from: zone }
}

fn unresponsive(engine: &str, zone: Option<&str>) -> String {
    SuspicionReport::Unresponsive(seen(engine, zone)).encode()
}

fn responded(engine: &str, zone: Option<&str>) -> String {
    SuspicionReport::Responded(seen(engine, zone)).encode()
}

#[test]
fn reports_are_decoded_as_they_were_encoded_and_the_plain_id_is_a_suspicion() {
    for report in [
        SuspicionReport::Suspected("i-1"),
        SuspicionReport::Unresponsive(seen("i-1", None)),
        SuspicionReport::Responded(seen("i-1", None)),
        SuspicionReport::Unresponsive(seen("i-1", Some("z-2"))),
        SuspicionReport::Responded(seen("i-1", Some("z-2"))),
    ] {
        assert_eq!((SuspicionReport::decode(&report.encode()), report.engine()), (report, "i-1"));
    }
    assert_eq!(SuspicionReport::Suspected("i-1").encode(), "i-1", "as earlier versions tell it");
    assert_eq!(unresponsive("i-1", None), "\0dark/i-1", "as earlier versions tell it");
    assert_eq!(responded("i-1", None), "\0calm/i-1", "as earlier versions tell it");
}

// Users saw requests wait for seconds while one hall was cut off and connections into it were refused, though each side had
// engines enough. Routers of one side told that the engines of the other did not respond; routers beside those engines
// believed it, so that few engines got all prompts. Evidence: in logs of the cut, routers of all zones avoided engines of
// their own zone, probed them without pause, and the busiest engine got 2.3 times the mean (1.4 where no report got through).
#[tokio::test]
async fn an_engine_that_another_zone_cannot_reach_is_not_avoided_here() {
    let list = fleet().await;
    let state = router(&list);
    handle_report(&state, &unresponsive(&id(&list), Some("elsewhere")));
    assert!(!is_avoided(&state), "one that is beside it sees for itself");
    probing_ended(&state).await;
    assert!(!is_avoided(&state));
    assert_eq!(list[0].probes(), 1, "the only router is always sampled");
    handle_report(&state, &unresponsive(&id(&list), Some(&state.settings.zone)));
    assert!(is_avoided(&state), "what this zone sees holds");
}

#[tokio::test]
async fn a_response_to_another_zone_makes_a_router_look_and_clears_nothing_by_itself() {
    let list = fleet().await;
    let state = router(&list);
    state.subscribed().router_counts.push((clock::now(), 1000));
    handle_report(&state, &unresponsive(&id(&list), Some(&state.settings.zone)));
    state.subscribed().router_counts.clear();
    handle_report(&state, &responded(&id(&list), Some("elsewhere")));
    assert!(is_avoided(&state), "not before a probe from here");
    probing_ended(&state).await;
    assert!(!is_avoided(&state));
    assert_eq!(list[0].probes(), 1);
}

#[tokio::test]
async fn an_engine_reported_unresponsive_is_avoided_unprobed_until_it_is_reported_to_respond() {
    let list = fleet().await;
    let state = router(&list);
    handle_report(&state, &unresponsive(&id(&list), None));
    assert!(is_avoided(&state) && is_probing(&state));
    handle_report(&state, &responded(&id(&list), None));
    probing_ended(&state).await;
    assert!(!is_avoided(&state));
    assert_eq!(list[0].probes(), 0, "nobody asked it");
}

#[tokio::test]
async fn a_suspicion_alone_stops_nothing_and_a_sampled_router_probes() {
    let list = fleet().await;
    let state = router(&list);
    // The only router is always sampled.
    handle_report(&state, &SuspicionReport::Suspected(&id(&list)).encode());
    assert!(!is_avoided(&state), "not before somebody got no answer");
    probing_ended(&state).await;
    assert!(!is_avoided(&state));
    assert_eq!(list[0].probes(), 1);
}

#[tokio::test]
async fn a_router_with_only_a_report_probes_at_once_when_its_own_request_gets_no_sign_of_life() {
    let list = fleet().await;
    let state = router(&list);
    // Of a thousand routers each would otherwise probe after many seconds.
    state.subscribed().router_counts.push((clock::now(), 1000));
    handle_report(&state, &unresponsive(&id(&list), None));
    raise(&state, 0);
    probing_ended(&state).await;
    assert!(!is_avoided(&state));
    assert_eq!(list[0].probes(), 1, "asked, and it answered");
}

#[tokio::test]
async fn a_response_in_flight_is_not_given_up_because_of_a_report() {
    let list = fleet().await;
    let state = router(&list);
    handle_report(&state, &unresponsive(&id(&list), None));
    assert_eq!(state.engines().engines[0].last_failure_at, 0, "only own questions end an answer");
}
