//! Validation of entries, and the capacity of a machine.

use protocol::tally::TallyEntry;

use super::{check_entry, Capacity, EntryCounts, InvalidEntry, MAX_AMOUNT, MAX_NAME_BYTES};

fn entry(tally: &str, instance_id: &str, amount: u64) -> TallyEntry {
    TallyEntry { tally: tally.into(), instance_id: instance_id.into(), amount }
}

#[test]
fn names_keys_and_amounts_outside_the_limits_are_rejected() {
    let longest = "x".repeat(MAX_NAME_BYTES);
    assert_eq!(check_entry(&entry(&longest, &longest, MAX_AMOUNT)), Ok(()));
    assert_eq!(check_entry(&entry("t", "1", 0)), Ok(()));
    let longer = format!("{longest}x");
    for name in ["", "a b", "a/b", "\u{e9}", "a\n", longer.as_str()] {
        assert_eq!(check_entry(&entry(name, "1", 1)), Err(InvalidEntry::Name { field: "tally" }), "{name:?}");
        assert_eq!(check_entry(&entry("t", name, 1)), Err(InvalidEntry::Name { field: "instance_id" }), "{name:?}");
    }
    assert_eq!(check_entry(&entry("t", "1", MAX_AMOUNT + 1)), Err(InvalidEntry::Amount(MAX_AMOUNT + 1)));
}

/// Returns the number of entries that fill a machine if all of them are sealed, or if none are.
fn max_entries(memory_mb: u64, disk_mb: u64, is_sealed: bool) -> usize {
    let capacity = Capacity::of_machine(memory_mb, disk_mb);
    let counts = |entries| match is_sealed {
        true => EntryCounts { sealed: entries, unsealed: 0, tallies: 0 },
        false => EntryCounts { sealed: 0, unsealed: entries, tallies: 0 },
    };
    let (mut fits, mut full) = (0, 100_000_000);
    while fits + 1 < full {
        let candidate = (fits + full) / 2;
        if capacity.used_share(counts(candidate)) < 1.0 {
            fits = candidate;
        } else {
            full = candidate;
        }
    }
    full
}

#[test]
fn the_scarcer_of_memory_and_disk_limits_the_number_of_entries() {
    assert_eq!(
        max_entries(160, 64, true),
        1_094_167,
        "a million keys must fit on a machine with 160 MB of memory and 64 MB of disk"
    );
    assert_eq!(max_entries(160, 0, true), 1_310_720);
    assert_eq!(max_entries(160, 64, false), 251_659);
    assert_eq!(max_entries(160, 0, false), 327_680);
    assert_eq!(max_entries(16, 6400, false), 32_768);
}

#[test]
fn many_tallies_use_capacity_too() {
    let capacity = Capacity::of_machine(160, 0);
    let used_share = |tallies| capacity.used_share(EntryCounts { sealed: 1000, unsealed: 0, tallies });
    assert!(used_share(300_000) > 0.9, "{}", used_share(300_000));
    assert!(used_share(10) < 0.01);
}
