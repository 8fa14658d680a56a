//! The `experiment` command: simulates randomly drawn rollouts in virtual time and prints their outcomes.

use experiment::rollout::{run, standard_scenarios, Ablation, Disturbance, Fleet, Scenario, Summary, Version};

use crate::error::CommandError;
use crate::flags::Experiment;

/// Default number of simulated rollout terms per scenario.
const DEFAULT_TERMS: u64 = 100;
/// Default duration of a rollout term, in seconds.
const DEFAULT_DURATION_S: f64 = 12.0;
/// Default fleet: decode engines per version, slots per engine, and requests per second.
const DEFAULT_FLEET: Fleet = Fleet { engines: 36, slots: 64, requests_per_s: 310.0 };

/// Runs an experiment and prints a table, or one JSON object per line with `--json`.
///
/// # Errors
///
/// Fails if the experiment or the `--without` part is unknown, or if a number is not positive.
pub fn run_experiment(flags: &Experiment) -> Result<(), CommandError> {
    match flags.subject.as_str() {
        "rollout" => run_rollouts(flags),
        _ => Err(CommandError::InvalidFlag { flag: "experiment", allowed: "rollout" }),
    }
}

fn run_rollouts(flags: &Experiment) -> Result<(), CommandError> {
    let duration_ms =
        (require_positive("--duration-s", flags.duration_s.unwrap_or(DEFAULT_DURATION_S))? * 1000.0) as u64;
    let fleet = Fleet {
        engines: require_positive("--engines", flags.engines.unwrap_or(DEFAULT_FLEET.engines))?,
        slots: require_positive("--slots", flags.slots.unwrap_or(DEFAULT_FLEET.slots))?,
        requests_per_s: require_positive("--per-s", flags.per_s.unwrap_or(DEFAULT_FLEET.requests_per_s))?,
    };
    let ablation = parse_ablation(flags.without.as_deref())?;
    let (terms, seed) = (flags.terms.unwrap_or(DEFAULT_TERMS), flags.seed.unwrap_or(1));
    if !flags.json {
        println!(
            "{:<14} {:<24} {:>6} {:>9} {:>9} {:>9} {:>8}",
            "version", "beside", "terms", "complete", "reverted", "over-exp.", "largest"
        );
    }
    for scenario in standard_scenarios(fleet, duration_ms, ablation) {
        let summary = run(&scenario, terms, seed);
        match flags.json {
            true => println!("{}", serde_json::to_string(&summary)?),
            false => println!("{}", format_row(&summary)),
        }
    }
    Ok(())
}

fn format_row(summary: &Summary) -> String {
    let Scenario { version, disturbance, .. } = summary.scenario;
    format!(
        "{:<14} {:<24} {:>6} {:>9} {:>9} {:>9} {:>8.3}",
        version_name(version),
        disturbance_name(disturbance),
        summary.terms,
        summary.complete,
        summary.reverted,
        summary.over_exposed,
        summary.largest_share
    )
}

fn version_name(version: Version) -> String {
    match version {
        Version::Good => "good".into(),
        Version::Errors(share) => format!("errors {share}"),
        Version::Slow(times) => format!("slow x {times}"),
        Version::UnderLoad => "under load".into(),
        Version::OneRoute => "one route".into(),
        Version::Late(before_end_ms) => format!("late -{} s", before_end_ms as f64 / 1000.0),
    }
}

fn disturbance_name(disturbance: Disturbance) -> String {
    match disturbance {
        Disturbance::Nothing => "nothing".into(),
        Disturbance::GreyErrors(share) => format!("grey errors {share}"),
        Disturbance::GreyErrorsAtLoad(share) => format!("grey errors {share} at load"),
        Disturbance::FailAll(share) => format!("failing all {share}"),
        Disturbance::GreySlow(share) => format!("grey slow {share}"),
        Disturbance::ZoneLost => "a lost zone".into(),
        Disturbance::Everywhere(rate) => format!("errors {rate} everywhere"),
    }
}

fn parse_ablation(name: Option<&str>) -> Result<Ablation, CommandError> {
    match name {
        None => Ok(Ablation::Complete),
        Some("baseline") => Ok(Ablation::NoBaseline),
        Some("engines") => Ok(Ablation::EnginesNotToldApart),
        Some("load") => Ok(Ablation::NoLoad),
        Some(_) => Err(CommandError::InvalidFlag { flag: "--without", allowed: "baseline, engines or load" }),
    }
}

fn require_positive<T: PartialOrd + Default>(flag: &'static str, value: T) -> Result<T, CommandError> {
    if value > T::default() {
        Ok(value)
    } else {
        Err(CommandError::InvalidFlag { flag, allowed: "a number above 0" })
    }
}

#[cfg(test)]
#[path = "experiment_tests.rs"]
mod tests;
