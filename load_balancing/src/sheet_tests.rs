use kernel::clock::Rng;
use protocol::message::{EndpointList, Engine, VersionEntry};

use super::{Known, Sheets};

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
fn poll(list: &mut Sheets, turn: &mut u64, seat: u64, engines: Vec<Engine>) -> Option<EndpointList> {
    let known = list.known("a");
    list.poll("a", turn, seat, engines, known)
}

#[test]
fn a_successor_goes_above_and_the_first_never_goes_back() {
    let (mut one, mut two) = (Sheets::default(), Sheets::default());
    let mut turn = 0;
    let first = poll(&mut one, &mut turn, 1, vec![engine("i-1", 0)]).expect("new");
    assert!(two.take(&first) && !two.take(&first));
    let mut other = 0;
    let second = poll(&mut two, &mut other, 2, vec![]).expect("new");
    assert!((second.term, second.sequence) > (first.term, first.sequence));
    assert!(one.take(&second));
    let third = poll(&mut one, &mut turn, 1, vec![engine("i-1", 0)]).expect("new");
    assert!((third.term, third.sequence) > (second.term, second.sequence));
}

#[test]
fn one_that_starts_anew_goes_above_what_it_made_before() {
    let (mut old, mut far) = (Sheets::default(), Sheets::default());
    let mut turn = 0;
    for count in 0..4 {
        far.take(&poll(&mut old, &mut turn, 1, vec![engine(&format!("i-{count}"), 0)]).expect("new"));
    }
    // A restart: nothing held, no turn. The fellow sends what is newer before the next poll counts.
    let (mut new, mut again) = (Sheets::default(), 0);
    let lost = poll(&mut new, &mut again, 1, vec![]).expect("new");
    assert!(!far.take(&lost));
    for sheet in far.newer(&new.versions()) {
        assert!(new.take(&sheet));
    }
    let next = poll(&mut new, &mut again, 1, vec![]).expect("new");
    assert!(far.take(&next) && far.newer(&new.versions()).is_empty());
}

#[test]
fn a_poller_goes_above_what_a_router_kept_from_before_all_controllers_fell() {
    let (mut old, mut router) = (Sheets::default(), Sheets::default());
    let mut turn = 0;
    router.take(&poll(&mut old, &mut turn, 9, vec![engine("i-1", 0)]).expect("new"));
    let (mut new, mut again) = (Sheets::default(), 0);
    assert!(!router.take(&poll(&mut new, &mut again, 1, vec![]).expect("new")));
    new.raise(&router.versions());
    assert!(router.take(&poll(&mut new, &mut again, 1, vec![]).expect("new")));
}

#[test]
fn only_a_change_makes_a_sheet() {
    let mut list = Sheets::default();
    let mut turn = 0;
    assert!(poll(&mut list, &mut turn, 1, vec![engine("i-1", 900)]).is_some());
    assert!(poll(&mut list, &mut turn, 1, vec![engine("i-1", 400)]).is_none());
    assert!(poll(&mut list, &mut turn, 1, vec![engine("i-1", 0)]).is_some());
}

#[test]
fn a_poll_that_another_overtook_is_dropped() {
    let (mut frozen, mut other) = (Sheets::default(), Sheets::default());
    let (mut turn, mut other_turn) = (0, 0);
    let first = poll(&mut frozen, &mut turn, 1, vec![engine("i-1", 0)]).expect("new");
    other.take(&first);
    // It asks the platform, and stands still with the answer in hand. Meanwhile an engine leaves.
    let known = frozen.known("a");
    let mut draining = engine("i-1", 0);
    draining.up = false;
    let newer = poll(&mut other, &mut other_turn, 2, vec![draining.clone()]).expect("new");
    // It wakes: first it hears of the newer list, then it gets to its answer.
    assert!(frozen.take(&newer));
    assert_eq!(frozen.poll("a", &mut turn, 1, vec![engine("i-1", 0)], known), None);
    assert!(frozen.all().all(|sheet| sheet.engines == [draining.clone()]), "an old list never replaces a newer one");
    // The next poll is its own again, above the other's.
    let next = poll(&mut frozen, &mut turn, 1, vec![draining]).expect("new");
    assert!(other.take(&next));
}

#[test]
fn a_poll_is_dropped_when_only_the_turn_of_a_newer_list_became_known() {
    let mut list = Sheets::default();
    let mut turn = 0;
    let first = poll(&mut list, &mut turn, 1, vec![engine("i-1", 0)]).expect("new");
    let known = list.known("a");
    list.raise(&[VersionEntry::new("a", first.term, 0)]);
    let second = list.poll("a", &mut turn, 1, vec![], known).expect("its own turn is no news");
    assert!((second.term, second.sequence) > (first.term, first.sequence));
    let known = list.known("a");
    list.raise(&[VersionEntry::new("a", first.term << 1, 0)]);
    assert_eq!(list.poll("a", &mut turn, 1, vec![engine("i-1", 0)], known), None);
}

/// Pollers that overlap and stand still in mid-poll for any time; each hears of the others' lists
/// before it goes on. A router never gets an older reading of the platform after a newer one.
#[test]
fn no_list_goes_back_in_time_whatever_overlaps() {
    for seed in 1..=200 {
        let mut dice = Rng::new(seed * 7919);
        let mut pollers: Vec<Sheets> = (0..3).map(|_| Sheets::default()).collect();
        let mut router = Sheets::default();
        let mut turns = [0u64; 3];
        // What each poll under way has read: the platform's version at that time.
        let mut under_way: [Option<(Known, u32)>; 3] = [None; 3];
        let (mut platform, mut shown) = (0u32, 0u32);
        for _ in 0..400 {
            platform += u32::from(dice.below(4) == 0);
            let at = dice.below(3) as usize;
            match under_way[at].take() {
                None => under_way[at] = Some((pollers[at].known("a"), platform)),
                Some((known, seen)) if dice.below(3) > 0 => {
                    let sheet = pollers[at].poll("a", &mut turns[at], at as u64 + 1, vec![engine("i", seen)], known);
                    let Some(sheet) = sheet else { continue };
                    if router.take(&sheet) {
                        assert!(seen >= shown, "seed {seed}: version {seen} replaced {shown}");
                        shown = seen;
                    }
                    (0..3).filter(|other| *other != at).for_each(|other| {
                        pollers[other].take(&sheet);
                    });
                }
                frozen => under_way[at] = frozen,
            }
        }
        assert!(shown > 20, "seed {seed}: lists go on");
    }
}
