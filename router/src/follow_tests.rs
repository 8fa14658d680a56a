#[test]
fn each_home_that_was_waited_for_in_vain_is_followed_by_more_patience() {
    let mut held = super::FIRST_MS;
    let mut sum = 0;
    for _ in 0..4 {
        held = super::patience(held, super::Left::Slow);
        sum += held;
        assert!(held <= super::FIRST_MOST_MS);
    }
    assert!(held == super::FIRST_MOST_MS && sum > 10_000, "a slow link gets its time");
    assert_eq!(super::patience(held, super::Left::Better), super::FIRST_MS);
}

#[test]
fn dials_that_fail_during_a_cut_leave_no_long_wait_at_a_frozen_home_after_it() {
    let mut held = super::FIRST_MS;
    for _ in 0..20 {
        held = super::patience(held, super::Left::Unreached);
    }
    assert_eq!(held, super::FIRST_MS);
    assert_eq!(super::patience(super::FIRST_MOST_MS, super::Left::Silent), super::FIRST_MS, "it had answered before");
}

#[test]
fn a_silent_keeper_is_passed_over_until_all_are() {
    let list: Vec<String> = ["a", "b", "c"].iter().map(|ip| ip.to_string()).collect();
    let mut shunned = std::collections::HashMap::new();
    let pick = |shunned: &std::collections::HashMap<String, u64>, now| super::pick(&list, shunned, now);
    assert_eq!(pick(&shunned, 10).as_deref(), Some("a"));
    shunned.insert("a".to_string(), 5000);
    shunned.insert("b".to_string(), 2500);
    assert_eq!(pick(&shunned, 10).as_deref(), Some("c"), "no second is spent on one that was just silent");
    shunned.insert("c".to_string(), 6000);
    assert_eq!(pick(&shunned, 20).as_deref(), Some("b"), "all were: the one left first");
    assert_eq!(pick(&shunned, 5000).as_deref(), Some("a"), "its own zone again, once it may be back");
    assert_eq!(super::pick(&[], &shunned, 0), None);
}
