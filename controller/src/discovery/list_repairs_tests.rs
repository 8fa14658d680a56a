//! Who sends a peer the lists that it lacks.

use super::{ListRepairs, FIRST_REPAIRERS};

const CONTROLLERS: u32 = 24;

fn controllers() -> Vec<String> {
    (0..CONTROLLERS).map(|number| format!("10.0.0.{number}")).collect()
}

#[test]
fn two_controllers_repair_at_first_and_all_of_them_after_a_few_heartbeats() {
    let all = controllers();
    let peer = "10.9.9.9";
    let mut repairs: Vec<ListRepairs> = all.iter().map(|_| ListRepairs::default()).collect();
    let mut count_of_heartbeat = || {
        let of_one = |(repairs, own): (&mut ListRepairs, &String)| repairs.record_behind(own, peer, &all);
        repairs.iter_mut().zip(&all).map(of_one).filter(|sends| *sends).count()
    };
    let counts: Vec<usize> = (0..5).map(|_| count_of_heartbeat()).collect();
    assert_eq!(counts, [FIRST_REPAIRERS as usize, 4, 8, 16, CONTROLLERS as usize]);
}

#[test]
fn a_peer_that_caught_up_begins_anew() {
    let all = controllers();
    let last = all.iter().max_by_key(|own| super::rank(own, "10.9.9.9", &all)).expect("there are some");
    let mut repairs = ListRepairs::default();
    let sends = |repairs: &mut ListRepairs| repairs.record_behind(last, "10.9.9.9", &all);
    assert_eq!((0..6).map(|_| sends(&mut repairs)).collect::<Vec<_>>(), [false, false, false, false, true, true]);
    repairs.record_current("10.9.9.9");
    assert!(!sends(&mut repairs));
}

#[test]
fn where_few_controllers_live_each_of_them_repairs_at_once() {
    let pair = ["10.0.0.1".to_string(), "10.0.0.2".to_string(), "10.9.9.9".to_string()];
    for own in &pair[..2] {
        assert!(ListRepairs::default().record_behind(own, "10.9.9.9", &pair));
    }
}
