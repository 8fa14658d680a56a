use kernel::Rng;
use protocol::message::{EndpointList, Engine, VersionEntry};

use super::{EndpointLists, ObservedVersion};

fn engine(id: &str, cold_ms: u32) -> Engine {
    Engine {
        id: id.into(),
        service: "s".into(),
        addr: "10.1.1.1:80".into(),
        zone: "a".into(),
        phase: "decode".into(),
        model: String::new(),
        slots: 1,
        up: true,
        cold_ms,
    }
}

/// Polls without delay: nothing becomes known between the start and the end of the poll.
fn poll(lists: &mut EndpointLists, term: &mut u64, replica_id: u64, engines: Vec<Engine>) -> Option<EndpointList> {
    let known = lists.observed_version("a");
    lists.publish("a", term, replica_id, engines, known)
}

#[test]
fn pollers_that_alternate_always_publish_a_higher_version() {
    let (mut poller_a, mut poller_b) = (EndpointLists::default(), EndpointLists::default());
    let mut term = 0;
    let first = poll(&mut poller_a, &mut term, 1, vec![engine("i-1", 0)]).expect("a new list");
    assert!(poller_b.update(&first) && !poller_b.update(&first));
    let mut other_term = 0;
    let second = poll(&mut poller_b, &mut other_term, 2, vec![]).expect("a new list");
    assert!((second.term, second.sequence) > (first.term, first.sequence));
    assert!(poller_a.update(&second));
    let third = poll(&mut poller_a, &mut term, 1, vec![engine("i-1", 0)]).expect("a new list");
    assert!((third.term, third.sequence) > (second.term, second.sequence));
}

#[test]
fn a_restarted_poller_publishes_above_its_earlier_lists_once_it_has_received_them() {
    let (mut before_restart, mut peer) = (EndpointLists::default(), EndpointLists::default());
    let mut term = 0;
    for count in 0..4 {
        peer.update(
            &poll(&mut before_restart, &mut term, 1, vec![engine(&format!("i-{count}"), 0)]).expect("a new list"),
        );
    }
    // After a restart the poller holds no list and no term. The peer sends its newer lists before the next poll is
    // published.
    let (mut restarted, mut new_term) = (EndpointLists::default(), 0);
    let rejected = poll(&mut restarted, &mut new_term, 1, vec![]).expect("a new list");
    assert!(!peer.update(&rejected));
    for list in peer.newer_than(&restarted.versions()) {
        assert!(restarted.update(&list));
    }
    let next = poll(&mut restarted, &mut new_term, 1, vec![]).expect("a new list");
    assert!(peer.update(&next) && peer.newer_than(&restarted.versions()).is_empty());
}

#[test]
fn a_poller_publishes_above_the_list_that_a_router_kept_while_all_controllers_were_down() {
    let (mut before_restart, mut router) = (EndpointLists::default(), EndpointLists::default());
    let mut term = 0;
    router.update(&poll(&mut before_restart, &mut term, 9, vec![engine("i-1", 0)]).expect("a new list"));
    let (mut restarted, mut new_term) = (EndpointLists::default(), 0);
    assert!(!router.update(&poll(&mut restarted, &mut new_term, 1, vec![]).expect("a new list")));
    restarted.observe_terms(&router.versions());
    assert!(router.update(&poll(&mut restarted, &mut new_term, 1, vec![]).expect("a new list")));
}

#[test]
fn a_list_is_published_only_when_an_engine_changed() {
    let mut lists = EndpointLists::default();
    let mut term = 0;
    assert!(poll(&mut lists, &mut term, 1, vec![engine("i-1", 900)]).is_some());
    assert!(poll(&mut lists, &mut term, 1, vec![engine("i-1", 400)]).is_none());
    assert!(poll(&mut lists, &mut term, 1, vec![engine("i-1", 0)]).is_some());
}

#[test]
fn a_poll_is_dropped_when_a_newer_list_arrived_during_it() {
    let (mut frozen, mut other) = (EndpointLists::default(), EndpointLists::default());
    let (mut term, mut other_term) = (0, 0);
    let first = poll(&mut frozen, &mut term, 1, vec![engine("i-1", 0)]).expect("a new list");
    other.update(&first);
    // It reads the platform and freezes before it publishes. Meanwhile an engine begins to drain.
    let known = frozen.observed_version("a");
    let mut draining = engine("i-1", 0);
    draining.up = false;
    let newer = poll(&mut other, &mut other_term, 2, vec![draining.clone()]).expect("a new list");
    // It resumes: the newer list arrives first, then the old poll ends.
    assert!(frozen.update(&newer));
    assert_eq!(frozen.publish("a", &mut term, 1, vec![engine("i-1", 0)], known), None);
    assert!(frozen.iter().all(|list| list.engines == [draining.clone()]), "a stale poll must not replace a newer list");
    // The next poll is published again, above the other's list.
    let next = poll(&mut frozen, &mut term, 1, vec![draining]).expect("a new list");
    assert!(other.update(&next));
}

#[test]
fn a_poll_is_dropped_when_only_the_term_of_a_newer_list_became_known() {
    let mut lists = EndpointLists::default();
    let mut term = 0;
    let first = poll(&mut lists, &mut term, 1, vec![engine("i-1", 0)]).expect("a new list");
    let known = lists.observed_version("a");
    lists.observe_terms(&[VersionEntry::new("a", first.term, 0)]);
    let second =
        lists.publish("a", &mut term, 1, vec![], known).expect("the poller's own term does not invalidate its poll");
    assert!((second.term, second.sequence) > (first.term, first.sequence));
    let known = lists.observed_version("a");
    lists.observe_terms(&[VersionEntry::new("a", first.term << 1, 0)]);
    assert_eq!(lists.publish("a", &mut term, 1, vec![engine("i-1", 0)], known), None);
}

/// Pollers overlap and freeze in mid-poll for any length of time, and receive each other's lists before they go on. A
/// router must never take an older state of the platform after a newer one.
#[test]
fn overlapping_polls_never_replace_a_newer_list_with_an_older_one() {
    for seed in 1..=200 {
        let mut rng = Rng::new(seed * 7919);
        let mut pollers: Vec<EndpointLists> = (0..3).map(|_| EndpointLists::default()).collect();
        let mut router = EndpointLists::default();
        let mut terms = [0u64; 3];
        // The platform version that each poll in progress has read.
        let mut in_progress: [Option<(ObservedVersion, u32)>; 3] = [None; 3];
        let (mut platform, mut newest_version) = (0u32, 0u32);
        for _ in 0..400 {
            platform += u32::from(rng.below(4) == 0);
            let poller = rng.below(3) as usize;
            match in_progress[poller].take() {
                None => in_progress[poller] = Some((pollers[poller].observed_version("a"), platform)),
                Some((known, read_version)) if rng.below(3) > 0 => {
                    let list = pollers[poller].publish(
                        "a",
                        &mut terms[poller],
                        poller as u64 + 1,
                        vec![engine("i", read_version)],
                        known,
                    );
                    let Some(list) = list else { continue };
                    if router.update(&list) {
                        assert!(
                            read_version >= newest_version,
                            "seed {seed}: version {read_version} replaced {newest_version}"
                        );
                        newest_version = read_version;
                    }
                    (0..3).filter(|other| *other != poller).for_each(|other| {
                        pollers[other].update(&list);
                    });
                }
                frozen => in_progress[poller] = frozen,
            }
        }
        assert!(newest_version > 20, "seed {seed}: too few lists were published");
    }
}
