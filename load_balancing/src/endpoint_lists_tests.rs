use kernel::Rng;
use protocol::message::{EndpointList, EndpointUpdate, Engine, VersionEntry};

use super::{EndpointLists, ObservedVersion};
use crate::cold_spells::END_TOLERANCE_MS;
use crate::testing::engines::engine;

/// Polls without delay: nothing becomes known between the start and the end of the poll.
fn poll(lists: &mut EndpointLists, term: &mut u64, replica_id: u64, engines: Vec<Engine>) -> Option<EndpointList> {
    let known = lists.observed_version("a");
    lists.publish("a", term, replica_id, engines, known, 0)
}

#[test]
fn pollers_that_alternate_always_publish_a_higher_version() {
    let (mut poller_a, mut poller_b) = (EndpointLists::default(), EndpointLists::default());
    let mut term = 0;
    let first = poll(&mut poller_a, &mut term, 1, vec![engine("i-1", 0)]).expect("a new list");
    assert!(poller_b.update(&first, 0) && !poller_b.update(&first, 0));
    let mut other_term = 0;
    let second = poll(&mut poller_b, &mut other_term, 2, vec![]).expect("a new list");
    assert!((second.term, second.sequence) > (first.term, first.sequence));
    assert!(poller_a.update(&second, 0));
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
            0,
        );
    }
    // After a restart the poller holds no list and no term. The peer sends its newer lists before the next poll is
    // published.
    let (mut restarted, mut new_term) = (EndpointLists::default(), 0);
    let rejected = poll(&mut restarted, &mut new_term, 1, vec![]).expect("a new list");
    assert!(!peer.update(&rejected, 0));
    for list in peer.newer_than(&restarted.versions(), 0) {
        assert!(restarted.update(&list, 0));
    }
    let next = poll(&mut restarted, &mut new_term, 1, vec![]).expect("a new list");
    assert!(peer.update(&next, 0) && peer.newer_than(&restarted.versions(), 0).is_empty());
}

#[test]
fn a_poller_publishes_above_the_list_that_a_router_kept_while_all_controllers_were_down() {
    let (mut before_restart, mut router) = (EndpointLists::default(), EndpointLists::default());
    let mut term = 0;
    router.update(&poll(&mut before_restart, &mut term, 9, vec![engine("i-1", 0)]).expect("a new list"), 0);
    let (mut restarted, mut new_term) = (EndpointLists::default(), 0);
    assert!(!router.update(&poll(&mut restarted, &mut new_term, 1, vec![]).expect("a new list"), 0));
    restarted.observe_terms(&router.versions());
    assert!(router.update(&poll(&mut restarted, &mut new_term, 1, vec![]).expect("a new list"), 0));
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
    other.update(&first, 0);
    // It reads the platform and freezes before it publishes. Meanwhile an engine begins to drain.
    let known = frozen.observed_version("a");
    let mut draining = engine("i-1", 0);
    draining.up = false;
    let newer = poll(&mut other, &mut other_term, 2, vec![draining.clone()]).expect("a new list");
    // It resumes: the newer list arrives first, then the old poll ends.
    assert!(frozen.update(&newer, 0));
    assert_eq!(frozen.publish("a", &mut term, 1, vec![engine("i-1", 0)], known, 0), None);
    assert!(frozen.iter().all(|list| list.engines == [draining.clone()]), "a stale poll must not replace a newer list");
    // The next poll is published again, above the other's list.
    let next = poll(&mut frozen, &mut term, 1, vec![draining]).expect("a new list");
    assert!(other.update(&next, 0));
}

#[test]
fn a_poll_is_dropped_when_only_the_term_of_a_newer_list_became_known() {
    let mut lists = EndpointLists::default();
    let mut term = 0;
    let first = poll(&mut lists, &mut term, 1, vec![engine("i-1", 0)]).expect("a new list");
    let known = lists.observed_version("a");
    lists.observe_terms(&[VersionEntry::new("a", first.term, 0)]);
    let second =
        lists.publish("a", &mut term, 1, vec![], known, 0).expect("the poller's own term does not invalidate its poll");
    assert!((second.term, second.sequence) > (first.term, first.sequence));
    let known = lists.observed_version("a");
    lists.observe_terms(&[VersionEntry::new("a", first.term << 1, 0)]);
    assert_eq!(lists.publish("a", &mut term, 1, vec![engine("i-1", 0)], known, 0), None);
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
                        0,
                    );
                    let Some(list) = list else { continue };
                    if router.update(&list, 0) {
                        assert!(
                            read_version >= newest_version,
                            "seed {seed}: version {read_version} replaced {newest_version}"
                        );
                        newest_version = read_version;
                    }
                    (0..3).filter(|other| *other != poller).for_each(|other| {
                        pollers[other].update(&list, 0);
                    });
                }
                frozen => in_progress[poller] = frozen,
            }
        }
        assert!(newest_version > 20, "seed {seed}: too few lists were published");
    }
}

/// Polls at `now`, and delivers what was published to the others as each update follows from the list before.
fn poll_and_deliver(
    poller: &mut EndpointLists,
    term: &mut u64,
    engines: Vec<Engine>,
    receiver: &mut EndpointLists,
    now: u64,
) -> bool {
    let known = poller.observed_version("a");
    let Some(list) = poller.publish("a", term, 1, engines, known, now) else { return false };
    let spells = poller.cold_spells("a").expect("published");
    let update = match receiver.list("a") {
        Some(held) => {
            EndpointUpdate::between_with(held, &list, |engine| spells.is_announced_after(engine, held.version()))
        }
        None => EndpointUpdate::whole(&list),
    };
    receiver.apply(&update, now).expect("the update applies");
    true
}

/// Returns when the spell of an engine ends by the list that is held.
fn end_of_spell(lists: &EndpointLists, now: u64) -> u64 {
    let list = lists.newer_than(&[], now).pop().expect("a list");
    now + u64::from(list.engines[0].cold_ms)
}

/// Guards against a cold engine that is taken for warm as its first spell would have ended (FAILBACK).
#[test]
fn a_spell_that_ends_later_is_published_and_received() {
    let (mut poller, mut receiver) = (EndpointLists::default(), EndpointLists::default());
    let mut term = 0;
    assert!(poll_and_deliver(&mut poller, &mut term, vec![engine("i-1", 3000)], &mut receiver, 0));
    assert!(!poll_and_deliver(&mut poller, &mut term, vec![engine("i-1", 2000)], &mut receiver, 1000));
    assert!(poll_and_deliver(&mut poller, &mut term, vec![engine("i-1", 3000)], &mut receiver, 2000));
    assert!(end_of_spell(&receiver, 2000) >= 5000);
    assert!(!poll_and_deliver(&mut poller, &mut term, vec![engine("i-1", 2000)], &mut receiver, 3000));
    assert!(poll_and_deliver(&mut poller, &mut term, vec![engine("i-1", 2500)], &mut receiver, 4000));
    assert!(end_of_spell(&receiver, 4000) >= 6500);
    // Warm for a long time, then cold again.
    assert!(poll_and_deliver(&mut poller, &mut term, vec![engine("i-1", 0)], &mut receiver, 7000));
    assert!(poll_and_deliver(&mut poller, &mut term, vec![engine("i-1", 3000)], &mut receiver, 900_000));
    assert!(end_of_spell(&receiver, 900_000) >= 903_000);
}

/// Guards against lists that are published again only because time has passed.
#[test]
fn one_spell_is_published_once_however_long_the_responses_of_polls_take() {
    for seed in 1..=50 {
        let mut rng = Rng::new(seed);
        let mut lists = EndpointLists::default();
        let mut term = 0;
        let mut published = 0;
        for now in (0..3000).step_by(250) {
            let response_ms = rng.below(u64::from(END_TOLERANCE_MS));
            let left = vec![engine("i-1", 3000 - now as u32)];
            let known = lists.observed_version("a");
            published += usize::from(lists.publish("a", &mut term, 1, left, known, now + response_ms).is_some());
        }
        assert_eq!(published, 1, "seed {seed}");
    }
}

/// Guards a change of the poller: others may have heard of an earlier end than the new poller did.
#[test]
fn the_first_list_of_a_poller_announces_every_spell_again() {
    let (mut poller, mut other) = (EndpointLists::default(), EndpointLists::default());
    let (mut term, mut other_term) = (0, 0);
    let known = poller.observed_version("a");
    let first = poller.publish("a", &mut term, 1, vec![engine("i-1", 3000)], known, 0).expect("a new list");
    // The other controller was suspended and reads the list 4 s late. Meanwhile the engine became cold again.
    other.update(&first, 4000);
    let known = other.observed_version("a");
    let next = other.publish("a", &mut other_term, 2, vec![engine("i-1", 2500)], known, 4001).expect("a new list");
    let spells = other.cold_spells("a").expect("published");
    assert!(spells.is_announced_after(&next.engines[0], first.version()));
    assert!(next.engines[0].cold_ms >= 2500);
}
