use kernel::hashing;

use super::{Subset, SubsetMember, SubsetParams};

fn engines(zones: u32, engines_per_zone: usize) -> Vec<SubsetMember> {
    let id_hash = |index: usize| hashing::hash(format!("i-{index}").as_bytes());
    let member =
        |index: usize| SubsetMember { engine: index, zone: (index / engines_per_zone) as u32, id_hash: id_hash(index) };
    (0..zones as usize * engines_per_zone).map(member).collect()
}

fn params(router: u32, routers: u32, zones: u32) -> SubsetParams {
    let router_hash = hashing::hash(format!("edge-{router}").as_bytes());
    SubsetParams { router_hash, zone: router % zones, router_count: routers, zone_count: zones }
}

#[test]
fn a_small_fleet_is_sampled_whole() {
    let members = engines(3, 4);
    for router in 0..10 {
        let mut sampled = Subset::build(params(router, 10, 3), &members).sampled;
        sampled.sort_unstable();
        assert_eq!(sampled, (0..12).collect::<Vec<_>>());
    }
}

/// Small to large fleets: the number of routers, of zones, and of engines per zone.
const FLEETS: [(u32, u32, usize); 5] = [(9, 3, 4), (88, 3, 12), (72, 4, 24), (200, 5, 50), (1600, 10, 486)];

#[test]
fn every_engine_is_sampled_by_routers_of_its_zone_and_none_by_far_too_many() {
    for (routers, zones, engines_per_zone) in FLEETS {
        // All zones are alike, so one is tested, with the routers in it.
        let members: Vec<_> = engines(zones, engines_per_zone).into_iter().filter(|member| member.zone == 0).collect();
        let mut sampled_by = vec![0u32; members.len()];
        for router in (0..routers).step_by(zones as usize) {
            let params = params(router, routers, zones);
            for index in Subset::sample(params, &members) {
                sampled_by[index] += u32::from(members[index].zone == params.zone);
            }
        }
        let mean = f64::from(sampled_by.iter().sum::<u32>()) / sampled_by.len() as f64;
        let (low, high) = (
            *sampled_by.iter().min().expect("a non-empty fleet"),
            *sampled_by.iter().max().expect("a non-empty fleet"),
        );
        assert!(low >= 1, "{routers} routers: an engine is sampled by no router of its zone");
        assert!(
            f64::from(high) <= 2.6 * mean + 1.0,
            "{routers} routers: an engine is sampled by {high}, the mean is {mean}"
        );
    }
}

#[test]
fn the_sample_size_is_bounded_for_any_number_of_routers_and_engines() {
    for (routers, zones, engines_per_zone) in FLEETS {
        let sampled = Subset::sample(params(1, routers, zones), &engines(zones, engines_per_zone)).len();
        assert!(sampled <= 80, "{routers} routers, {engines_per_zone} engines per zone: {sampled}");
    }
}

#[test]
fn removing_an_engine_moves_only_its_own_prefixes() {
    let members = engines(3, 20);
    let before = Subset::build(params(5, 88, 3), &members);
    for removed in [0, 7, 31, 59] {
        let rest: Vec<_> = members.iter().copied().filter(|member| member.engine != removed).collect();
        let after = Subset::build(params(5, 88, 3), &rest);
        let dropped = before.sampled.iter().filter(|index| !after.sampled.contains(index)).count();
        assert!(dropped <= 1, "{dropped} other engines left the sample");
        let (mut moved, mut checked) = (0, 0);
        for key in (0..500u64).map(|key| hashing::combine(key, 9)) {
            let (old, new) = (before.home_engines(key, 1, |_| true), after.home_engines(key, 1, |_| true));
            checked += 1;
            moved += u32::from(old != new);
            assert!(old == new || old == [removed], "a prefix of another engine moved");
        }
        assert!(moved * 20 < checked, "{moved} of {checked} prefixes moved");
    }
}

#[test]
fn all_routers_find_the_same_home_engines_and_prefixes_are_spread_evenly() {
    let members = engines(3, 8);
    let (first_router, second_router) =
        (Subset::build(params(1, 88, 3), &members), Subset::build(params(2, 88, 3), &members));
    let mut count = [0u32; 24];
    for key in (0..4800u64).map(|key| hashing::combine(key, 3)) {
        let homes = first_router.home_engines(key, 2, |_| true);
        assert_eq!(homes, second_router.home_engines(key, 2, |_| true));
        assert!(homes.len() == 2 && homes[0] != homes[1]);
        count[homes[0]] += 1;
        let second = first_router.home_engines(key, 1, |index| index != homes[0]);
        assert_eq!(second, [homes[1]], "the second home engine follows if the first is unusable");
    }
    assert!(count.iter().all(|count| (100..340).contains(count)), "{count:?}");
}
