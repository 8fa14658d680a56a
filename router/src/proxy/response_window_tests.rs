//! Guards against responses that pile up for clients that do not read, and against slow clients that are cut off although
//! there is memory for them.

use std::sync::Arc;

use futures_util::FutureExt;
use ingress::{MemoryBudget, Purpose};

use super::{ResponseWindow, TooSlow, CHARGE_BYTES, WINDOW_BYTES};

const PIECE: usize = 16 * 1024;

fn window(budget: &Arc<MemoryBudget>) -> ResponseWindow {
    ResponseWindow::new(budget.reservation(Purpose::Responses))
}

/// Returns a budget without memory for a response.
fn used_up() -> (Arc<MemoryBudget>, ingress::Reservation) {
    let budget = MemoryBudget::new(1);
    let mut other = budget.reservation(Purpose::Responses);
    other.try_grow_to(1 << 20, 0).expect("it is alone");
    (budget, other)
}

#[tokio::test]
async fn a_client_that_reads_is_never_charged() {
    let (budget, other) = used_up();
    let window = window(&budget);
    for _ in 0..100 {
        window.acquire(PIECE).await.expect("the client has read everything so far");
        window.release(PIECE);
    }
    assert_eq!(budget.used_bytes(Purpose::Responses), other.bytes());
}

#[tokio::test]
async fn a_client_that_falls_behind_is_charged_once_and_holds_up_the_engine() {
    let budget = MemoryBudget::new(64);
    let window = window(&budget);
    for _ in 0..WINDOW_BYTES / PIECE {
        window.acquire(PIECE).await.expect("there is room");
    }
    assert!(window.acquire(PIECE).now_or_never().is_none(), "it waits for the client");
    assert_eq!(budget.used_bytes(Purpose::Responses), CHARGE_BYTES);
    window.release(PIECE);
    window.acquire(PIECE).await.expect("the client has read something");
    drop(window);
    assert_eq!(budget.used_bytes(Purpose::Responses), 0);
}

#[tokio::test(start_paused = true)]
async fn a_client_that_reads_nothing_is_cut_off_only_without_memory_for_it() {
    let (budget, _other) = used_up();
    let window = window(&budget);
    window.acquire(PIECE).await.expect("the first piece needs none");
    assert_eq!(window.acquire(PIECE).await, Err(TooSlow));
}
