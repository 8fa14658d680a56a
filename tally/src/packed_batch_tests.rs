//! Packing, unpacking and consistency of packed batches.

use proptest::prelude::*;
use protocol::tally::{KeyDigest, Origin, PackedAmounts};

use super::{entry, is_consistent, pack, skip_entries, PackedEntry};

fn digest(number: u8) -> KeyDigest {
    KeyDigest([number; 16])
}

proptest! {
    #[test]
    fn packing_keeps_all_entries(entries in prop::collection::vec((0..4_u8, any::<u8>(), any::<u64>()), 0..20)) {
        let names: Vec<String> = entries.iter().map(|(tally, ..)| format!("t{tally}")).collect();
        let packed = pack(Origin(3), 7, entries.iter().zip(&names).map(|((_, key, amount), tally)| {
            PackedEntry { tally, digest: digest(*key), amount: *amount }
        }));
        prop_assert!(is_consistent(&packed));
        for (index, ((_, key, amount), tally)) in entries.iter().zip(&names).enumerate() {
            prop_assert_eq!(entry(&packed, index), Some(PackedEntry { tally, digest: digest(*key), amount: *amount }));
        }
        prop_assert_eq!(entry(&packed, entries.len()), None);
        let suffix = skip_entries(&packed, entries.len() / 2);
        prop_assert_eq!(suffix.start, 7 + (entries.len() / 2) as u64);
        for index in 0..suffix.digests.len() {
            prop_assert_eq!(entry(&suffix, index), entry(&packed, entries.len() / 2 + index));
        }
    }
}

#[test]
fn amounts_are_stored_in_64_bits_only_if_one_needs_them() {
    let packed_amounts = |amount| {
        let entries = [1, amount].map(|amount| PackedEntry { tally: "t", digest: digest(1), amount });
        pack(Origin(1), 0, entries.into_iter()).amounts
    };
    assert_eq!(packed_amounts(u64::from(u32::MAX)), PackedAmounts::Narrow(vec![1, u32::MAX]));
    assert_eq!(packed_amounts(1 << 32), PackedAmounts::Wide(vec![1, 1 << 32]));
}

#[test]
fn inconsistent_columns_are_detected() {
    let good = pack(Origin(1), 0, [PackedEntry { tally: "t", digest: digest(1), amount: 1 }].into_iter());
    let mut without_tally = good.clone();
    without_tally.tallies.clear();
    let mut short = good.clone();
    short.amounts = PackedAmounts::Narrow(Vec::new());
    let mut long = good.clone();
    long.tally_of.push(0);
    assert!(is_consistent(&good));
    assert!(![without_tally, short, long].iter().any(is_consistent));
}
