//! Short soak of planned maintenance with real processes.
//!
//! Guards against truncated responses. Seven seconds after SIGTERM a router still accepted requests, because the
//! platform sends traffic to routers that are not ready when fewer than half of a zone are ready, and it abandoned the
//! latest ones at the end of its grace period. On a build from before routers stopped listening, each of these seeds
//! shows dozens of streams that were requested long after SIGTERM and cut off together when the process exited
//! (`docs/incidents/soak-of-planned-work.md`).

use std::{env, fs, process};

use soak::{Programs, Scenario};
use tokio::task::JoinSet;

/// Seeds, run concurrently; each run takes about 20 seconds.
const SEEDS: [u64; 3] = [61, 62, 63];

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn planned_maintenance_abandons_no_accepted_request_and_loses_no_acknowledged_change() {
    let mut runs = JoinSet::new();
    for seed in SEEDS {
        runs.spawn(async move {
            let dir = env::temp_dir().join(format!("tidepoint-soak-test-{}-{seed}", process::id()));
            fs::create_dir_all(&dir).expect("failed to create the run directory");
            let programs = Programs::Own(env!("CARGO_BIN_EXE_soak").into());
            let report = soak::run(&Scenario::short(seed), &programs, &dir).await.expect("the run failed to start");
            println!("seed {seed}: {report}");
            assert!(report.violations.is_empty(), "seed {seed}: {:#?}, logs in {}", report.violations, dir.display());
            assert!(
                report.terminations >= 5 && report.answered > 200 && report.adds > 50,
                "seed {seed}: too little activity: {report}"
            );
            let _ = fs::remove_dir_all(dir);
        });
    }
    runs.join_all().await;
}
