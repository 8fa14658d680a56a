//! Guards against charges that are not returned, and against large bodies that leave nothing to small ones.

use std::sync::Arc;

use proptest::prelude::*;

use super::{MemoryBudget, Purpose, Reservation, CONTENTION_MS, LARGE_BYTES, UNCHARGED_BYTES};

const MEMORY_MB: u64 = 4;
/// A quarter of the memory.
const BODY_LIMIT: usize = 1_000_000;

fn body(budget: &Arc<MemoryBudget>) -> Reservation {
    budget.reservation(Purpose::RequestBodies)
}

#[test]
fn large_reservations_leave_a_quarter_to_small_ones() {
    let budget = MemoryBudget::new(MEMORY_MB);
    let (mut first, mut second, mut small) = (body(&budget), body(&budget), body(&budget));
    assert!(first.try_grow_to(BODY_LIMIT / 2, 0).is_ok());
    assert!(second.try_grow_to(BODY_LIMIT / 2, 0).is_err(), "large ones get three quarters");
    assert!(small.try_grow_to(LARGE_BYTES, 0).is_ok(), "a small one gets the rest");
    assert_eq!(second.bytes(), 0);
    assert_eq!(budget.refusals(Purpose::RequestBodies), 1);
}

#[test]
fn a_reservation_that_is_alone_may_exceed_the_limit() {
    let budget = MemoryBudget::new(MEMORY_MB);
    let (mut large, mut small) = (body(&budget), body(&budget));
    assert!(large.try_grow_to(BODY_LIMIT, 0).is_ok() && large.try_grow_to(3 * BODY_LIMIT, 0).is_ok());
    assert!(small.try_grow_to(1, 0).is_err());
    assert!(small.try_hold_buffer(UNCHARGED_BYTES, 0).is_ok(), "a small buffer takes nothing");
}

#[test]
fn purposes_do_not_take_the_memory_of_others() {
    let budget = MemoryBudget::new(MEMORY_MB);
    let mut large = body(&budget);
    assert!(large.try_grow_to(3 * BODY_LIMIT, 0).is_ok());
    assert!(budget.reservation(Purpose::Responses).try_grow_to(LARGE_BYTES, 0).is_ok());
}

#[test]
fn a_refusal_makes_a_purpose_contended_for_a_while() {
    let budget = MemoryBudget::new(MEMORY_MB);
    let (mut large, mut other) = (body(&budget), body(&budget));
    assert!(!large.is_contended(0));
    assert!(large.try_grow_to(BODY_LIMIT, 0).is_ok() && other.try_grow_to(1, 100).is_err());
    assert!(large.is_contended(100) && !large.is_contended(100 + CONTENTION_MS));
}

proptest! {
    #[test]
    fn any_order_of_growth_and_drops_returns_the_account_to_zero(
        steps in prop::collection::vec((0usize..6, prop::option::of(0usize..2 * BODY_LIMIT)), 1..80)
    ) {
        let budget = MemoryBudget::new(MEMORY_MB);
        let mut reservations: Vec<Reservation> = (0..6).map(|_| body(&budget)).collect();
        for (index, step) in steps {
            match step {
                Some(bytes) => drop(reservations[index].try_grow_to(bytes, 0)),
                None => reservations[index] = body(&budget),
            }
            let sum: usize = reservations.iter().map(Reservation::bytes).sum();
            prop_assert_eq!(budget.used_bytes(Purpose::RequestBodies), sum);
            let others_than_largest = sum - reservations.iter().map(Reservation::bytes).max().unwrap_or(0);
            prop_assert!(others_than_largest <= BODY_LIMIT);
        }
        drop(reservations);
        prop_assert_eq!(budget.used_bytes(Purpose::RequestBodies), 0);
    }
}
