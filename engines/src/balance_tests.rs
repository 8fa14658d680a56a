fn seen(prefill: bool, busy: u32) -> super::Seen {
    super::Seen { id: format!("i-{prefill}-{busy}"), prefill, slots: 10, busy, fit: true }
}

fn list(reads: &[u32], makes: &[u32]) -> Vec<super::Seen> {
    reads.iter().map(|busy| seen(true, *busy)).chain(makes.iter().map(|busy| seen(false, *busy))).collect()
}

#[test]
fn the_least_busy_of_the_idle_half_helps_the_pressed_one() {
    assert_eq!(super::judge(&list(&[5, 4], &[2, 1, 3])), Some((3, true)));
    assert_eq!(super::judge(&list(&[0, 1, 0], &[9, 8])), Some((0, false)));
}

#[test]
fn nothing_changes_while_both_do_or_neither_can_help() {
    assert_eq!(super::judge(&list(&[1, 1], &[3, 3])), None);
    assert_eq!(super::judge(&list(&[1, 1], &[5, 5])), None);
    assert_eq!(super::judge(&list(&[6, 6], &[8, 8])), None);
    assert_eq!(super::judge(&list(&[6], &[1])), None);
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
                    let Some((_, prefill)) = super::judge(&all(readers, makers)) else { continue };
                    let (more, less) = if prefill { (readers + 1, makers - 1) } else { (readers - 1, makers + 1) };
                    let back = super::judge(&all(more, less));
                    assert!(back.is_none_or(|(_, next)| next == prefill), "{reads} {makes} {readers} {makers}");
                }
            }
        }
    }
}

#[test]
fn a_half_that_is_missing_is_made() {
    assert_eq!(super::judge(&list(&[0, 1], &[])), Some((0, false)));
    assert_eq!(super::judge(&list(&[], &[1, 2])), Some((0, true)));
}
