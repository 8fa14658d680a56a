use super::{Bar, Page, State};

#[test]
fn a_receipt_is_never_changed_and_an_old_owner_changes_nothing() {
    let mut page = Page::new(3);
    page.claim(1, |_| true).expect("first");
    page.begin(0, 1).expect("own");
    page.claim(2, |_| true).expect("rises");
    assert_eq!(page.claim(2, |_| true), Err(Bar::Epoch));
    let done = State::Done { status: 200, body: "a".into() };
    assert_eq!(page.close(0, 1, done.clone()), Err(Bar::Epoch));
    page.close(0, 2, done.clone()).expect("own");
    assert_eq!(page.close(0, 2, State::Missed), Err(Bar::Closed));
    assert_eq!(page.states[0], done);
}

#[test]
fn what_was_sent_is_run_again_only_where_allowed() {
    let mut page = Page::new(2);
    page.claim(1, |_| false).expect("first");
    page.begin(0, 1).expect("own");
    page.begin(1, 1).expect("own");
    page.claim(2, |at| at == 0).expect("rises");
    assert_eq!(page.states, [State::Waiting, State::Unknown]);
}

#[test]
fn pages_and_batches_come_back_from_their_bytes() {
    let mut page = Page::new(2);
    page.claim(7, |_| false).expect("first");
    assert_eq!(Page::from_bytes(&page.to_bytes()), Some(page));
    assert_eq!(Page::from_bytes(&[1, 2, 3]), None);
}
