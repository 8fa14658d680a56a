//! Spread and stability of the shard owners.

use std::collections::HashMap;

use super::{shard_owners, EligibleOwner, SHARDS};

fn controllers(count: usize, zones: usize) -> Vec<EligibleOwner> {
    (0..count)
        .map(|index| EligibleOwner { ip: format!("10.0.0.{index}"), zone: format!("z{}", index % zones) })
        .collect()
}

#[test]
fn shard_owners_are_in_different_zones_if_there_are_enough() {
    let eligible = controllers(9, 3);
    for tenant in 0..200 {
        let mut zones: Vec<_> =
            shard_owners(&format!("t{tenant}"), &eligible).iter().map(|owner| &owner.zone).collect();
        zones.sort();
        zones.dedup();
        assert_eq!(zones.len(), SHARDS);
    }
    assert_eq!(shard_owners("t", &controllers(5, 1)).len(), SHARDS);
    assert_eq!(shard_owners("t", &controllers(2, 2)).len(), 2);
    assert_eq!(shard_owners("t", &[]).len(), 0);
}

#[test]
fn shards_spread_evenly_over_controllers() {
    let eligible = controllers(6, 3);
    let mut counts = HashMap::new();
    for tenant in 0..3000 {
        for owner in shard_owners(&format!("tenant-{tenant}"), &eligible) {
            *counts.entry(owner.ip.clone()).or_insert(0) += 1;
        }
    }
    assert!(counts.values().all(|owned| (1350..1650).contains(owned)), "{counts:?}");
}

#[test]
fn owners_do_not_depend_on_the_order_of_the_list_and_a_removal_moves_only_its_own_shards() {
    let eligible = controllers(12, 4);
    let reversed: Vec<EligibleOwner> = eligible.iter().rev().cloned().collect();
    let mut moved = 0;
    for tenant in 0..300 {
        let name = format!("t{tenant}");
        let before = shard_owners(&name, &eligible);
        assert_eq!(before, shard_owners(&name, &reversed));
        let remaining: Vec<EligibleOwner> = eligible.iter().filter(|owner| owner.ip != "10.0.0.5").cloned().collect();
        let after = shard_owners(&name, &remaining);
        let kept = before.iter().filter(|owner| after.contains(owner)).count();
        let was_owner = before.iter().any(|owner| owner.ip == "10.0.0.5");
        moved += usize::from(!was_owner && kept < SHARDS);
    }
    assert_eq!(moved, 0);
}
