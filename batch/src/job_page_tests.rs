//! Changes of a page by its owners, and its stored form.

use super::{JobPage, JobState, PageError};

#[test]
fn a_final_state_is_never_changed_and_an_old_owner_changes_nothing() {
    let mut page = JobPage::new(3);
    page.claim(1, |_| true).expect("first");
    page.start(0, 1).expect("own");
    page.claim(2, |_| true).expect("rises");
    assert_eq!(page.claim(2, |_| true), Err(PageError::StaleEpoch { given: 2, current: 2 }));
    let done = JobState::Completed { status: 200, body: "a".into() };
    assert_eq!(page.finish(0, 1, done.clone()), Err(PageError::StaleEpoch { given: 1, current: 2 }));
    page.finish(0, 2, done.clone()).expect("own");
    assert_eq!(page.finish(0, 2, JobState::DeadlineMissed), Err(PageError::JobNotOpen { index: 0 }));
    assert_eq!(page.states[0], done);
}

#[test]
fn a_started_job_is_run_again_only_if_repeatable() {
    let mut page = JobPage::new(2);
    page.claim(1, |_| false).expect("first");
    page.start(0, 1).expect("own");
    page.start(1, 1).expect("own");
    page.claim(2, |at| at == 0).expect("rises");
    assert_eq!(page.states, [JobState::Waiting, JobState::OutcomeUnknown]);
}

#[test]
fn a_page_survives_serialization() {
    let mut page = JobPage::new(2);
    page.claim(7, |_| false).expect("first");
    assert_eq!(JobPage::from_bytes(&page.to_bytes()), Some(page));
    assert_eq!(JobPage::from_bytes(&[1, 2, 3]), None);
}
