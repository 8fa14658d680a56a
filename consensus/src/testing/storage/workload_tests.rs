//! Random runs of the store, and runs with defects that the workload must find.

use kernel::{hashing, Rng};

use super::simulated_disk::Faults;
use super::workload::{Run, RunError};

fn run(seed: u64, faults: Faults) -> Result<(), RunError> {
    let strict_names = seed & 1 == 0;
    Run::new(seed, Faults { strict_names, ..faults }).steps(60)
}

/// The first seed at which a run fails.
fn first_failure(faults: &Faults) -> Option<u64> {
    (0..1000).find(|seed| run(*seed, faults.clone()).is_err())
}

#[test]
fn what_was_synced_is_there_after_any_fault() {
    for seed in 0..2000 {
        run(seed, Faults::default()).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}

/// The same work, with the process ended at each of its operations in turn.
#[test]
fn a_process_may_end_at_every_operation() {
    for seed in 0..10 {
        for ahead in 0.. {
            let mut run = Run::new(hashing::combine(seed, ahead), Faults::default());
            run.rng = Rng::new(seed + 1);
            run.faults(|faults| faults.crash_in = Some(ahead));
            let completed =
                run_workload(&mut run).unwrap_or_else(|error| panic!("seed {seed}, operation {ahead}: {error}"));
            if completed {
                break;
            }
        }
    }
}

/// True: it came to its end without a crash.
fn run_workload(run: &mut Run) -> Result<bool, RunError> {
    let mut store = run.open()?;
    for step in 0..12 {
        run.append(&mut store);
        if step % 4 == 3 {
            run.snapshot(&mut store);
        }
        if run.crashed() {
            run.disk.lock().expect("disk").lose_power();
            run.finish()?;
            return Ok(false);
        }
    }
    Ok(run.disk.lock().expect("disk").faults.crash_in.is_some())
}

#[test]
fn the_model_finds_a_store_without_directory_sync() {
    assert!(first_failure(&Faults { directory_sync_ignored: true, ..Faults::default() }).is_some());
}

#[test]
fn the_model_finds_a_snapshot_that_is_renamed_before_its_sync() {
    assert!(first_failure(&Faults { file_sync_ignored: Some("draft"), ..Faults::default() }).is_some());
}

#[test]
fn the_model_finds_a_log_that_is_not_synced() {
    assert!(first_failure(&Faults { file_sync_ignored: Some("log-"), ..Faults::default() }).is_some());
}

#[test]
fn the_model_finds_a_tail_that_is_read_but_not_on_disk() {
    assert!(first_failure(&Faults { rewrites_ignored: true, ..Faults::default() }).is_some());
}

#[test]
fn the_model_finds_a_failed_write_that_is_not_cut_off() {
    assert!(first_failure(&Faults { truncations_ignored: true, ..Faults::default() }).is_some());
}
