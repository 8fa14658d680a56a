//! Short soak with real processes in which engines of a version that no rollout names stand beside the others, twice as
//! many, while controllers fail in overlapping series and one disk is lost, and a zone loses its engines of the first version.
//!
//! Guards against controllers that infer after a restart, or from the list of one zone, which version is in force
//! (`docs/incidents/unnamed-version-after-a-restart.md`).

use std::{env, fs, process};

use soak::{Programs, Scenario};
use tokio::task::JoinSet;

/// Seeds, run concurrently; each run takes about a minute.
const SEEDS: [u64; 2] = [902, 904];

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_version_that_no_rollout_names_gets_nothing() {
    let mut runs = JoinSet::new();
    for seed in SEEDS {
        runs.spawn(async move {
            let dir = env::temp_dir().join(format!("tidepoint-soak-versions-{}-{seed}", process::id()));
            fs::create_dir_all(&dir).expect("failed to create the run directory");
            let programs = Programs::Own(env!("CARGO_BIN_EXE_soak").into());
            let scenario = Scenario::short_with_unnamed_version(seed);
            let report = soak::run(&scenario, &programs, &dir).await.expect("the run failed to start");
            println!("seed {seed}: {report}");
            assert!(report.violations.is_empty(), "seed {seed}: {:#?}, logs in {}", report.violations, dir.display());
            assert!(report.answered > 200, "seed {seed}: too little activity: {report}");
            let _ = fs::remove_dir_all(dir);
        });
    }
    runs.join_all().await;
}
