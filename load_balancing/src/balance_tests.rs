use super::Seen;

fn seen(prefill: bool, busy: u32) -> Seen {
    Seen { id: format!("i-{prefill}-{busy}"), prefill, slots: 10, busy, fit: true }
}

fn list(reads: &[u32], makes: &[u32]) -> Vec<Seen> {
    reads.iter().map(|busy| seen(true, *busy)).chain(makes.iter().map(|busy| seen(false, *busy))).collect()
}

/// The only engine that is to change, and whether it is to be a prefill engine.
fn judge(list: &[Seen]) -> Option<(usize, bool)> {
    let change = super::judge(list)?;
    assert_eq!(change.engines.len(), 1, "one at a time in a small fleet");
    Some((change.engines[0], change.prefill))
}

#[test]
fn the_least_busy_of_the_idle_half_helps_the_pressed_one() {
    assert_eq!(judge(&list(&[5, 4], &[2, 1, 3])), Some((3, true)));
    assert_eq!(judge(&list(&[0, 1, 0, 0], &[9, 8])), Some((0, false)));
}

#[test]
fn nothing_changes_while_both_do_or_neither_can_help() {
    assert_eq!(judge(&list(&[1, 1], &[3, 3])), None);
    assert_eq!(judge(&list(&[1, 1], &[5, 5])), None);
    assert_eq!(judge(&list(&[6, 6], &[8, 8])), None);
    assert_eq!(judge(&list(&[6], &[1])), None);
}

#[test]
fn a_change_does_not_call_for_its_own_undoing() {
    for reads in 0..12u32 {
        for makes in 0..40u32 {
            for readers in 1..6usize {
                for makers in 1..6usize {
                    let all = |readers: usize, makers: usize| {
                        let part = |sum: u32, count: usize, at: usize| {
                            (sum as usize / count + usize::from(at < sum as usize % count)) as u32
                        };
                        let reads: Vec<u32> = (0..readers).map(|at| part(reads, readers, at)).collect();
                        let makes: Vec<u32> = (0..makers).map(|at| part(makes, makers, at)).collect();
                        list(&reads, &makes)
                    };
                    let Some((_, prefill)) = judge(&all(readers, makers)) else { continue };
                    let (more, less) = if prefill { (readers + 1, makers - 1) } else { (readers - 1, makers + 1) };
                    let back = judge(&all(more, less));
                    assert!(back.is_none_or(|(_, next)| next == prefill), "{reads} {makes} {readers} {makers}");
                }
            }
        }
    }
}

#[test]
fn a_large_fleet_changes_several_at_once_and_no_more_than_are_wanted() {
    let (pressed, idle) = (vec![3; 90], vec![0; 166]);
    let change = super::judge(&list(&pressed, &idle)).expect("a change");
    assert_eq!((change.engines.len(), change.prefill), (10, true));
    assert!(change.engines.iter().all(|at| *at >= 90));
    // 110 requests at 96 engines are 1.15 each: from 100 on they are no more than wanted.
    let mut some = vec![1; 82];
    some.extend([2; 14]);
    let change = super::judge(&list(&some, &[0; 160])).expect("a change");
    assert_eq!(change.engines.len(), 4);
}

#[test]
fn a_half_that_is_missing_is_made() {
    assert_eq!(judge(&list(&[0, 1], &[])), Some((0, false)));
    assert_eq!(judge(&list(&[], &[1, 2])), Some((0, true)));
}
