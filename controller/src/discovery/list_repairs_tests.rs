//! Which controllers send a peer the lists that it lacks.

use super::{ListRepairs, INITIAL_REPAIRERS};

const CONTROLLERS: u32 = 24;

fn controllers() -> Vec<String> {
    (0..CONTROLLERS).map(|number| format!("10.0.0.{number}")).collect()
}

#[test]
fn the_number_of_repairers_doubles_with_each_heartbeat_that_shows_a_peer_behind() {
    let all = controllers();
    let peer = "10.9.9.9";
    let mut repairs: Vec<ListRepairs> = all.iter().map(|_| ListRepairs::default()).collect();
    let mut repairers_after_heartbeat = || {
        let should_send = |(repairs, own): (&mut ListRepairs, &String)| repairs.record_behind(own, peer, &all);
        repairs.iter_mut().zip(&all).map(should_send).filter(|sends| *sends).count()
    };
    let counts: Vec<usize> = (0..5).map(|_| repairers_after_heartbeat()).collect();
    assert_eq!(counts, [INITIAL_REPAIRERS as usize, 4, 8, 16, CONTROLLERS as usize]);
}

#[test]
fn the_heartbeat_count_restarts_after_a_peer_caught_up() {
    let all = controllers();
    let last = all.iter().max_by_key(|own| super::rank(own, "10.9.9.9", &all)).expect("the list is not empty");
    let mut repairs = ListRepairs::default();
    let sends = |repairs: &mut ListRepairs| repairs.record_behind(last, "10.9.9.9", &all);
    assert_eq!((0..6).map(|_| sends(&mut repairs)).collect::<Vec<_>>(), [false, false, false, false, true, true]);
    repairs.record_current("10.9.9.9");
    assert!(!sends(&mut repairs));
}

#[test]
fn with_two_live_controllers_both_repair_at_once() {
    let pair = ["10.0.0.1".to_string(), "10.0.0.2".to_string(), "10.9.9.9".to_string()];
    for own in &pair[..2] {
        assert!(ListRepairs::default().record_behind(own, "10.9.9.9", &pair));
    }
}
