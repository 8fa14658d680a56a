//! Random runs of the store, and runs with injected defects that the workload must find.

use kernel::{hashing, Rng};

use super::simulated_disk::Faults;
use super::workload::{Run, RunError};

fn run(seed: u64, faults: Faults) -> Result<(), RunError> {
    let strict_names = seed & 1 == 0;
    Run::new(seed, Faults { strict_names, ..faults }).run_operations(60)
}

/// Returns the first seed whose run fails.
fn first_failure(faults: &Faults) -> Option<u64> {
    (0..1000).find(|seed| run(*seed, faults.clone()).is_err())
}

#[test]
fn synced_records_survive_every_fault() {
    for seed in 0..2000 {
        run(seed, Faults::default()).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}

/// Runs the same workload repeatedly and ends the process at each of its operations in turn.
#[test]
fn a_process_may_end_at_every_operation() {
    for seed in 0..10 {
        for operations in 0.. {
            let mut run = Run::new(hashing::combine(seed, operations), Faults::default());
            run.rng = Rng::new(seed + 1);
            run.change_faults(|faults| faults.crash_in = Some(operations));
            let completed = run_workload(&mut run)
                .unwrap_or_else(|error| panic!("seed {seed}, process end after {operations} operations: {error}"));
            if completed {
                break;
            }
        }
    }
}

/// Returns whether the workload completed without a crash.
fn run_workload(run: &mut Run) -> Result<bool, RunError> {
    let mut store = run.open()?;
    for step in 0..12 {
        run.append(&mut store);
        if step % 4 == 3 {
            run.snapshot(&mut store);
        }
        if run.crashed() {
            run.disk.lock().expect("the disk lock").lose_power();
            run.finish()?;
            return Ok(false);
        }
    }
    Ok(run.disk.lock().expect("the disk lock").faults.crash_in.is_some())
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
