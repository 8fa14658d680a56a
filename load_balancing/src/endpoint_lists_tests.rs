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

/// A poll that takes no time.
fn poll(lists: &mut EndpointLists, term: &mut u64, replica_id: u64, engines: Vec<Engine>) -> Option<EndpointList> {
    let known = lists.observed_version("a");
    lists.publish("a", term, replica_id, engines, known)
}

#[test]
fn a_successor_goes_above_and_the_first_never_goes_back() {
    let (mut one, mut two) = (EndpointLists::default(), EndpointLists::default());
    let mut term = 0;
    let first = poll(&mut one, &mut term, 1, vec![engine("i-1", 0)]).expect("new");
    assert!(two.update(&first) && !two.update(&first));
    let mut other = 0;
    let second = poll(&mut two, &mut other, 2, vec![]).expect("new");
    assert!((second.term, second.sequence) > (first.term, first.sequence));
    assert!(one.update(&second));
    let third = poll(&mut one, &mut term, 1, vec![engine("i-1", 0)]).expect("new");
    assert!((third.term, third.sequence) > (second.term, second.sequence));
}

#[test]
fn a_restarted_poller_goes_above_what_it_made_before() {
    let (mut old, mut remote) = (EndpointLists::default(), EndpointLists::default());
    let mut term = 0;
    for count in 0..4 {
        remote.update(&poll(&mut old, &mut term, 1, vec![engine(&format!("i-{count}"), 0)]).expect("new"));
    }
    // A restart: nothing held, no term. The other poller sends what is newer before the next poll counts.
    let (mut new, mut again) = (EndpointLists::default(), 0);
    let lost = poll(&mut new, &mut again, 1, vec![]).expect("new");
    assert!(!remote.update(&lost));
    for list in remote.newer_than(&new.versions()) {
        assert!(new.update(&list));
    }
    let next = poll(&mut new, &mut again, 1, vec![]).expect("new");
    assert!(remote.update(&next) && remote.newer_than(&new.versions()).is_empty());
}

#[test]
fn a_poller_goes_above_what_a_router_kept_while_all_controllers_were_down() {
    let (mut old, mut router) = (EndpointLists::default(), EndpointLists::default());
    let mut term = 0;
    router.update(&poll(&mut old, &mut term, 9, vec![engine("i-1", 0)]).expect("new"));
    let (mut new, mut again) = (EndpointLists::default(), 0);
    assert!(!router.update(&poll(&mut new, &mut again, 1, vec![]).expect("new")));
    new.observe_terms(&router.versions());
    assert!(router.update(&poll(&mut new, &mut again, 1, vec![]).expect("new")));
}

#[test]
fn only_a_change_makes_a_list() {
    let mut lists = EndpointLists::default();
    let mut term = 0;
    assert!(poll(&mut lists, &mut term, 1, vec![engine("i-1", 900)]).is_some());
    assert!(poll(&mut lists, &mut term, 1, vec![engine("i-1", 400)]).is_none());
    assert!(poll(&mut lists, &mut term, 1, vec![engine("i-1", 0)]).is_some());
}

#[test]
fn a_poll_that_another_overtook_is_dropped() {
    let (mut frozen, mut other) = (EndpointLists::default(), EndpointLists::default());
    let (mut term, mut other_term) = (0, 0);
    let first = poll(&mut frozen, &mut term, 1, vec![engine("i-1", 0)]).expect("new");
    other.update(&first);
    // It asks the platform, and stands still with the answer in hand. Meanwhile an engine leaves.
    let known = frozen.observed_version("a");
    let mut draining = engine("i-1", 0);
    draining.up = false;
    let newer = poll(&mut other, &mut other_term, 2, vec![draining.clone()]).expect("new");
    // It wakes: first it hears of the newer list, then it gets to its answer.
    assert!(frozen.update(&newer));
    assert_eq!(frozen.publish("a", &mut term, 1, vec![engine("i-1", 0)], known), None);
    assert!(frozen.iter().all(|list| list.engines == [draining.clone()]), "an old list never replaces a newer one");
    // The next poll is its own again, above the other's.
    let next = poll(&mut frozen, &mut term, 1, vec![draining]).expect("new");
    assert!(other.update(&next));
}

#[test]
fn a_poll_is_dropped_when_only_the_term_of_a_newer_list_became_known() {
    let mut lists = EndpointLists::default();
    let mut term = 0;
    let first = poll(&mut lists, &mut term, 1, vec![engine("i-1", 0)]).expect("new");
    let known = lists.observed_version("a");
    lists.observe_terms(&[VersionEntry::new("a", first.term, 0)]);
    let second = lists.publish("a", &mut term, 1, vec![], known).expect("its own term changes nothing");
    assert!((second.term, second.sequence) > (first.term, first.sequence));
    let known = lists.observed_version("a");
    lists.observe_terms(&[VersionEntry::new("a", first.term << 1, 0)]);
    assert_eq!(lists.publish("a", &mut term, 1, vec![engine("i-1", 0)], known), None);
}

/// Pollers that overlap and stand still in mid-poll for any time; each hears of the others' lists
/// before it goes on. A router never gets an older reading of the platform after a newer one.
#[test]
fn no_list_goes_back_in_time_whatever_overlaps() {
    for seed in 1..=200 {
        let mut rng = Rng::new(seed * 7919);
        let mut pollers: Vec<EndpointLists> = (0..3).map(|_| EndpointLists::default()).collect();
        let mut router = EndpointLists::default();
        let mut terms = [0u64; 3];
        // What each poll under way has read: the platform's version at that time.
        let mut under_way: [Option<(ObservedVersion, u32)>; 3] = [None; 3];
        let (mut platform, mut newest_seen) = (0u32, 0u32);
        for _ in 0..400 {
            platform += u32::from(rng.below(4) == 0);
            let at = rng.below(3) as usize;
            match under_way[at].take() {
                None => under_way[at] = Some((pollers[at].observed_version("a"), platform)),
                Some((known, seen)) if rng.below(3) > 0 => {
                    let list = pollers[at].publish("a", &mut terms[at], at as u64 + 1, vec![engine("i", seen)], known);
                    let Some(list) = list else { continue };
                    if router.update(&list) {
                        assert!(seen >= newest_seen, "seed {seed}: version {seen} replaced {newest_seen}");
                        newest_seen = seen;
                    }
                    (0..3).filter(|other| *other != at).for_each(|other| {
                        pollers[other].update(&list);
                    });
                }
                frozen => under_way[at] = frozen,
            }
        }
        assert!(newest_seen > 20, "seed {seed}: lists go on");
    }
}
