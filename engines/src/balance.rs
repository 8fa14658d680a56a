//! How many engines should read prompts and how many make tokens: a pure judgement on pressure.

#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub prefill: bool,
    pub slots: u32,
    /// Requests under way there, from all routers.
    pub busy: u32,
    /// Up, answering, not under an order.
    pub fit: bool,
}

/// Reads under way per reader from which readers are pressed: prompts are read one after another.
const READ_HIGH: f64 = 2.2;
/// What the remaining readers may come to when one is taken away.
const READ_LOW: f64 = 0.8;
/// The share of slots from which makers are pressed, and what the others may come to.
const MAKE_HIGH: f64 = 0.35;
const MAKE_LOW: f64 = 0.55;

/// The engine to change and whether it shall read from then on. None: leave all as they are.
pub fn judge(list: &[Seen]) -> Option<(usize, bool)> {
    let half = |prefill: bool| list.iter().filter(move |seen| seen.fit && seen.prefill == prefill);
    let (readers, makers) = (half(true).count(), half(false).count());
    let reads: f64 = half(true).map(|seen| f64::from(seen.busy)).sum();
    let makes: f64 = half(false).map(|seen| f64::from(seen.busy)).sum();
    let slots: f64 = half(false).map(|seen| f64::from(seen.slots)).sum();
    if readers + makers < 2 {
        return None;
    }
    let pick = |prefill: bool| {
        let fit = list.iter().enumerate().filter(|(_, seen)| seen.fit && seen.prefill == prefill);
        fit.min_by_key(|(_, seen)| (seen.busy, seen.id.clone())).map(|(at, _)| at)
    };
    if makers == 0 {
        return pick(true).map(|at| (at, false));
    }
    let left = slots * (makers as f64 - 1.0) / makers as f64;
    let spare_make = makers > 1 && makes < MAKE_LOW * left;
    if readers == 0 {
        return spare_make.then(|| pick(false)).flatten().map(|at| (at, true));
    }
    let read = reads / readers as f64;
    let spare_read = readers > 1 && reads / (readers as f64 - 1.0) < READ_LOW;
    if read > READ_HIGH && spare_make {
        return pick(false).map(|at| (at, true));
    }
    if makes > MAKE_HIGH * slots && spare_read {
        return pick(true).map(|at| (at, false));
    }
    None
}

#[cfg(test)]
mod tests {
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
}
