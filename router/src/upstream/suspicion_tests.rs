//! Engines in doubt: who asks them, and whose word is taken.

use std::time::Duration;

use kernel::clock;
use tokio::{task, time};

use super::{handle_report, raise};
use crate::state::State;
use crate::testing::engine::{answer, engines, Act, Engine};
use crate::testing::router::router;
use crate::upstream::suspicion_report::SuspicionReport;

async fn fleet() -> Vec<Engine> {
    engines("decode", 1, |seen, _| Act::Send(answer(seen, "200 OK", "{}"))).await
}

fn id(engines: &[Engine]) -> String {
    engines[0].id.clone()
}

/// Is the engine left alone?
fn is_left_alone(state: &State) -> bool {
    state.engines().engines[0].suspected_until > clock::now()
}

fn is_probing(state: &State) -> bool {
    state.engines().engines[0].is_probing
}

/// Until the asker has ended.
async fn probing_ended(state: &State) {
    let done = async {
        while is_probing(state) {
            task::yield_now().await;
        }
    };
    time::timeout(Duration::from_secs(20), done).await.expect("it ends");
}

#[test]
fn words_are_read_as_they_were_written_and_the_plain_name_is_a_doubt() {
    for report in
        [SuspicionReport::Suspected("i-1"), SuspicionReport::Unresponsive("i-1"), SuspicionReport::Responded("i-1")]
    {
        assert_eq!((SuspicionReport::decode(&report.encode()), report.engine()), (report, "i-1"));
    }
    assert_eq!(SuspicionReport::Suspected("i-1").encode(), "i-1", "as earlier versions tell it");
}

#[tokio::test]
async fn what_others_found_dark_is_left_alone_without_asking_until_it_answers_one_of_them() {
    let list = fleet().await;
    let state = router(&list);
    handle_report(&state, &SuspicionReport::Unresponsive(&id(&list)).encode());
    assert!(is_left_alone(&state) && is_probing(&state));
    handle_report(&state, &SuspicionReport::Responded(&id(&list)).encode());
    probing_ended(&state).await;
    assert!(!is_left_alone(&state));
    assert_eq!(list[0].probes(), 0, "nobody asked it");
}

#[tokio::test]
async fn a_doubt_alone_stops_nothing_and_one_that_is_drawn_asks() {
    let list = fleet().await;
    let state = router(&list);
    // A fleet of one: it is always drawn.
    handle_report(&state, &SuspicionReport::Suspected(&id(&list)).encode());
    assert!(!is_left_alone(&state), "not before somebody got no answer");
    probing_ended(&state).await;
    assert!(!is_left_alone(&state));
    assert_eq!(list[0].probes(), 1);
}

#[tokio::test]
async fn one_that_was_only_told_asks_at_once_when_a_request_of_its_own_gets_no_sign_of_life() {
    let list = fleet().await;
    let state = router(&list);
    // Of a thousand routers each would else ask after many seconds.
    state.subscribed().router_counts.push((clock::now(), 1000));
    handle_report(&state, &SuspicionReport::Unresponsive(&id(&list)).encode());
    raise(&state, 0);
    probing_ended(&state).await;
    assert!(!is_left_alone(&state));
    assert_eq!(list[0].probes(), 1, "asked, and it answered");
}

#[tokio::test]
async fn an_answer_under_way_is_not_given_up_for_what_others_found() {
    let list = fleet().await;
    let state = router(&list);
    handle_report(&state, &SuspicionReport::Unresponsive(&id(&list)).encode());
    assert_eq!(state.engines().engines[0].last_failure_at, 0, "only own questions end an answer");
}
