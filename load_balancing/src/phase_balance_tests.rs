use super::EngineObservation;

fn observation(prefill: bool, in_flight: u32) -> EngineObservation {
    EngineObservation { id: format!("i-{prefill}-{in_flight}"), prefill, slots: 10, in_flight, eligible: true }
}

fn list(prefill_counts: &[u32], decode_counts: &[u32]) -> Vec<EngineObservation> {
    prefill_counts
        .iter()
        .map(|in_flight| observation(true, *in_flight))
        .chain(decode_counts.iter().map(|in_flight| observation(false, *in_flight)))
        .collect()
}

/// The only engine that is to change, and whether it is to be a prefill engine.
fn plan(list: &[EngineObservation]) -> Option<(usize, bool)> {
    let change = super::plan_phase_change(list)?;
    assert_eq!(change.engines.len(), 1, "one at a time in a small fleet");
    Some((change.engines[0], change.prefill))
}

#[test]
fn the_least_loaded_of_the_idle_phase_helps_the_overloaded_one() {
    assert_eq!(plan(&list(&[5, 4], &[2, 1, 3])), Some((3, true)));
    assert_eq!(plan(&list(&[0, 1, 0, 0], &[9, 8])), Some((0, false)));
}

#[test]
fn nothing_changes_while_both_are_well_or_neither_can_help() {
    assert_eq!(plan(&list(&[1, 1], &[3, 3])), None);
    assert_eq!(plan(&list(&[1, 1], &[5, 5])), None);
    assert_eq!(plan(&list(&[6, 6], &[8, 8])), None);
    assert_eq!(plan(&list(&[6], &[1])), None);
}

#[test]
fn a_change_does_not_call_for_its_own_undoing() {
    for prefill_counts in 0..12u32 {
        for decode_counts in 0..40u32 {
            for prefill_engines in 1..6usize {
                for decode_engines in 1..6usize {
                    let all = |prefill_engines: usize, decode_engines: usize| {
                        let part = |sum: u32, count: usize, at: usize| {
                            (sum as usize / count + usize::from(at < sum as usize % count)) as u32
                        };
                        let prefill_counts: Vec<u32> =
                            (0..prefill_engines).map(|at| part(prefill_counts, prefill_engines, at)).collect();
                        let decode_counts: Vec<u32> =
                            (0..decode_engines).map(|at| part(decode_counts, decode_engines, at)).collect();
                        list(&prefill_counts, &decode_counts)
                    };
                    let Some((_, prefill)) = plan(&all(prefill_engines, decode_engines)) else { continue };
                    let (more, less) = if prefill {
                        (prefill_engines + 1, decode_engines - 1)
                    } else {
                        (prefill_engines - 1, decode_engines + 1)
                    };
                    let back = plan(&all(more, less));
                    assert!(
                        back.is_none_or(|(_, next)| next == prefill),
                        "{prefill_counts} {decode_counts} {prefill_engines} {decode_engines}"
                    );
                }
            }
        }
    }
}

#[test]
fn a_large_fleet_changes_several_at_once_and_no_more_than_are_wanted() {
    let (overloaded, idle) = (vec![3; 90], vec![0; 166]);
    let change = super::plan_phase_change(&list(&overloaded, &idle)).expect("a change");
    assert_eq!((change.engines.len(), change.prefill), (10, true));
    assert!(change.engines.iter().all(|at| *at >= 90));
    // 110 requests at 96 engines are 1.15 each: from 100 on they are no more than wanted.
    let mut some = vec![1; 82];
    some.extend([2; 14]);
    let change = super::plan_phase_change(&list(&some, &[0; 160])).expect("a change");
    assert_eq!(change.engines.len(), 4);
}

#[test]
fn a_missing_phase_is_created() {
    assert_eq!(plan(&list(&[0, 1], &[])), Some((0, false)));
    assert_eq!(plan(&list(&[], &[1, 2])), Some((0, true)));
}
