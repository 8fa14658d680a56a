//! Changes to a page by its owners, and its stored format.

use super::{JobPage, JobState, PageError};

#[test]
fn final_states_and_pages_of_a_later_owner_are_not_changed() {
    let mut page = JobPage::new(3);
    page.claim(1, |_| true).expect("the page was never claimed");
    page.start(0, 1).expect("the page belongs to this owner");
    page.claim(2, |_| true).expect("the epoch is later");
    assert_eq!(page.claim(2, |_| true), Err(PageError::StaleEpoch { given: 2, current: 2 }));
    let completed = JobState::Completed { status: 200, body: "a".into() };
    assert_eq!(page.finish(0, 1, completed.clone()), Err(PageError::StaleEpoch { given: 1, current: 2 }));
    page.finish(0, 2, completed.clone()).expect("the page belongs to this owner");
    assert_eq!(page.finish(0, 2, JobState::DeadlineMissed), Err(PageError::JobNotOpen { index: 0 }));
    assert_eq!(page.states[0], completed);
}

#[test]
fn a_started_job_is_requeued_by_the_next_owner_only_if_repeatable() {
    let mut page = JobPage::new(2);
    page.claim(1, |_| false).expect("the page was never claimed");
    page.start(0, 1).expect("the page belongs to this owner");
    page.start(1, 1).expect("the page belongs to this owner");
    page.claim(2, |index| index == 0).expect("the epoch is later");
    assert_eq!(page.states, [JobState::Waiting, JobState::OutcomeUnknown]);
}

#[test]
fn a_page_survives_serialization() {
    let mut page = JobPage::new(2);
    page.claim(7, |_| false).expect("the page was never claimed");
    assert_eq!(JobPage::from_bytes(&page.to_bytes()), Some(page));
    assert_eq!(JobPage::from_bytes(&[1, 2, 3]), None);
}
