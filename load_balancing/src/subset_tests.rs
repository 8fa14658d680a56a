use kernel::hashing;

use super::{Subset, SubsetMember, SubsetParams};

fn engines(zones: u32, each: usize) -> Vec<SubsetMember> {
    let id_hash = |at: usize| hashing::hash(format!("i-{at}").as_bytes());
    let member = |at: usize| SubsetMember { engine: at, zone: (at / each) as u32, id_hash: id_hash(at) };
    (0..zones as usize * each).map(member).collect()
}

fn params(at: u32, routers: u32, zones: u32) -> SubsetParams {
    let router_hash = hashing::hash(format!("edge-{at}").as_bytes());
    SubsetParams { router_hash, zone: at % zones, router_count: routers, zone_count: zones }
}

#[test]
fn a_sample_of_a_small_fleet_is_all_of_it() {
    let list = engines(3, 4);
    for at in 0..10 {
        let mut sampled = Subset::build(params(at, 10, 3), &list).sampled;
        sampled.sort_unstable();
        assert_eq!(sampled, (0..12).collect::<Vec<_>>());
    }
}

/// Routers, zones and engines in a zone, small and large.
const FLEETS: [(u32, u32, usize); 5] = [(9, 3, 4), (88, 3, 12), (72, 4, 24), (200, 5, 50), (1600, 10, 486)];

#[test]
fn every_engine_is_in_enough_subsets_of_its_zone_and_none_in_far_too_many() {
    for (routers, zones, each) in FLEETS {
        // Zones are alike: one is looked at, by the routers in it.
        let list: Vec<_> = engines(zones, each).into_iter().filter(|member| member.zone == 0).collect();
        let mut near = vec![0u32; list.len()];
        for at in (0..routers).step_by(zones as usize) {
            let params = params(at, routers, zones);
            for pick in Subset::sample(params, &list) {
                near[pick] += u32::from(list[pick].zone == params.zone);
            }
        }
        let mean = f64::from(near.iter().sum::<u32>()) / near.len() as f64;
        let (low, high) = (*near.iter().min().expect("some"), *near.iter().max().expect("some"));
        assert!(low >= 1, "{routers} routers: an engine that nobody near samples");
        assert!(f64::from(high) <= 2.6 * mean + 1.0, "{routers} routers: {high} at a mean of {mean}");
    }
}

#[test]
fn a_subset_does_not_grow_with_routers_times_engines() {
    for (routers, zones, each) in FLEETS {
        let sampled = Subset::sample(params(1, routers, zones), &engines(zones, each)).len();
        assert!(sampled <= 80, "{routers} routers, {each} engines a zone: {sampled}");
    }
}

#[test]
fn one_engine_more_or_less_moves_only_its_own_prefixes() {
    let list = engines(3, 20);
    let before = Subset::build(params(5, 88, 3), &list);
    for gone in [0, 7, 31, 59] {
        let rest: Vec<_> = list.iter().copied().filter(|member| member.engine != gone).collect();
        let after = Subset::build(params(5, 88, 3), &rest);
        let lost = before.sampled.iter().filter(|at| !after.sampled.contains(at)).count();
        assert!(lost <= 1, "{lost} moved");
        let (mut moved, mut of) = (0, 0);
        for key in (0..500u64).map(|key| hashing::combine(key, 9)) {
            let (old, new) = (before.home_engines(key, 1, |_| true), after.home_engines(key, 1, |_| true));
            of += 1;
            moved += u32::from(old != new);
            assert!(old == new || old == [gone], "a prefix moved that was not at home there");
        }
        assert!(moved * 20 < of, "{moved} of {of}");
    }
}

#[test]
fn all_routers_find_the_same_homes_and_they_are_spread() {
    let list = engines(3, 8);
    let (one, two) = (Subset::build(params(1, 88, 3), &list), Subset::build(params(2, 88, 3), &list));
    let mut count = [0u32; 24];
    for key in (0..4800u64).map(|key| hashing::combine(key, 3)) {
        let homes = one.home_engines(key, 2, |_| true);
        assert_eq!(homes, two.home_engines(key, 2, |_| true));
        assert!(homes.len() == 2 && homes[0] != homes[1]);
        count[homes[0]] += 1;
        let second = one.home_engines(key, 1, |at| at != homes[0]);
        assert_eq!(second, [homes[1]], "the next one, when the first can't be used");
    }
    assert!(count.iter().all(|count| (100..340).contains(count)), "{count:?}");
}
