//! What is taken and what is not.

use protocol::tally::TallyEntry;

use super::{check_entry, max_entries, InvalidEntry, MAX_AMOUNT, MAX_NAME_BYTES};

fn entry(tally: &str, instance_id: &str, amount: u64) -> TallyEntry {
    TallyEntry { tally: tally.into(), instance_id: instance_id.into(), amount }
}

#[test]
fn names_keys_and_amounts_have_limits() {
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

#[test]
fn the_smaller_of_memory_and_disk_bounds_the_number_of_entries() {
    assert_eq!(max_entries(160, 64), 69_905);
    assert_eq!(max_entries(160, 0), 131_072);
    assert_eq!(max_entries(16, 6400), 13_107);
}
