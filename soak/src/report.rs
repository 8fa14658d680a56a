//! Evaluates a run by what was observed on sockets and by how processes exited.

use std::fmt;
use std::time::{Duration, Instant};

use crate::application::TallyHistory;
use crate::client::{Attempt, Outcome};
use crate::engine::{AttemptRecord, EngineLog};
use crate::evacuations::{self, Evacuation};
use crate::operator::OperatorLog;
use crate::process::Incarnation;
use crate::scenario::Target;
use crate::usage::UsageLog;
use crate::versions;

/// A request that was not forwarded may end without a response up to this long after its last byte was sent.
const CLOSE_RACE_MARGIN: Duration = Duration::from_millis(200);
/// Margin beyond the grace period for the exit of a process on a busy machine.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Maximum time until a new process has installed its signal handlers: usually 1 ms, longer on a busy machine.
const SIGNAL_SETUP_TIME: Duration = Duration::from_millis(20);
/// Fraction of the grace period after SIGTERM within which a request must be sent for its abandonment to be excused.
const ACCEPT_FRACTION: f64 = 3.0 / 8.0;
/// Fraction of the grace period during which engines may still work on a request; abandoning it later is excused.
const ABANDON_FRACTION: f64 = 5.0 / 6.0;

/// A violation of a guarantee that the fleet gives.
#[derive(Clone, Debug)]
pub enum Violation {
    /// An accepted request ended without a complete response.
    Lost(String),
    /// A request ran more than once.
    Twice(String),
    /// A response with status 200 had a wrong body, such as that of another request.
    Mixed(String),
    /// A process exited unexpectedly, without success or after its grace period.
    End(String),
    /// An acknowledged configuration change was lost, or a valid one rejected.
    Config(String),
    /// Usage was reported with conflicting values, by conflicting holders, or with wrong counts.
    Usage(String),
    /// A request reached an evacuated zone after the bound.
    Evacuation(String),
    /// A request reached an engine of a version that no rollout names.
    Version(String),
    /// A tally total includes more than was sent or less than was acknowledged, or controllers did not converge.
    Tally(String),
}

/// The result of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// All violations.
    pub violations: Vec<Violation>,
    /// Number of attempts of clients.
    pub attempts: usize,
    /// Attempts with a complete and correct response.
    pub answered: usize,
    /// Attempts refused with status 429 or 503 without having run.
    pub refused: usize,
    /// Attempts answered with another status.
    pub failed: usize,
    /// Attempts without a complete response that were not accepted or whose loss is excused.
    pub unanswered: usize,
    /// Number of processes that were sent SIGTERM.
    pub terminations: usize,
    /// Number of acknowledged configuration changes.
    pub changes: u64,
    /// Number of acknowledged adds to tallies.
    pub adds: usize,
    /// Number of reported usage windows.
    pub usage_windows: usize,
    /// Number of evacuations.
    pub evacuations: usize,
}

/// What clients, stubs, the operator and applications observed.
pub struct Observations<'a> {
    /// The attempts of all clients.
    pub attempts: &'a [Attempt],
    /// What the engines received.
    pub engines: &'a EngineLog,
    /// What the operator observed.
    pub operator: &'a OperatorLog,
    /// The usage reports that the platform received.
    pub usage: &'a UsageLog,
    /// What the applications sent and observed.
    pub tallies: &'a TallyHistory,
    /// The evacuations of zones.
    pub evacuations: &'a [Evacuation],
    /// The number of engines of the version in force, which come first.
    pub first_version_engines: usize,
    /// Whether reported counts must be right. With more controllers down than the fleet tolerates, a window is reported
    /// when it is due, without the routers that have not reported again (`docs/usage.md`).
    pub checks_usage_counts: bool,
}

/// A daemon with all incarnations of its process.
pub struct DaemonHistory {
    /// The daemon.
    pub target: Target,
    /// The incarnations of its process, the oldest first.
    pub incarnations: Vec<Incarnation>,
}

impl DaemonHistory {
    /// Returns the incarnation that was running at a time.
    fn at(&self, time: Instant) -> Option<&Incarnation> {
        let was_running = |incarnation: &&Incarnation| {
            incarnation.started <= time && incarnation.exited.is_none_or(|(exit, _)| time <= exit)
        };
        self.incarnations.iter().rev().find(was_running)
    }
}

impl Report {
    /// Evaluates a run.
    pub fn evaluate(grace_s: f64, histories: &[DaemonHistory], observations: &Observations) -> Report {
        let grace = Duration::from_secs_f64(grace_s);
        let Observations {
            attempts,
            engines,
            operator,
            usage,
            tallies,
            evacuations,
            first_version_engines,
            checks_usage_counts,
        } = observations;
        let (changes, adds) = (operator.acknowledged, tallies.acknowledged());
        let mut report = Report {
            attempts: attempts.len(),
            changes,
            adds,
            usage_windows: usage.window_count(),
            evacuations: evacuations.len(),
            ..Report::default()
        };
        for history in histories {
            report.check_exits(history, grace);
        }
        for attempt in *attempts {
            let history = histories.iter().find(|history| history.target == Target::Router(attempt.router));
            let incarnation = history.and_then(|history| history.at(attempt.sent)).copied();
            report.check_attempt(attempt, &engines.attempt(&attempt.id), incarnation, grace);
        }
        report.violations.extend(operator.violations.iter().cloned().map(Violation::Config));
        let usage_violations = if *checks_usage_counts { usage.violations(engines) } else { usage.conflicts() };
        report.violations.extend(usage_violations.into_iter().map(Violation::Usage));
        let late_arrivals = evacuations::violations(evacuations, &engines.arrivals());
        report.violations.extend(late_arrivals.into_iter().map(Violation::Evacuation));
        let unnamed_runs = versions::violations(*first_version_engines, &engines.arrivals());
        report.violations.extend(unnamed_runs.into_iter().map(Violation::Version));
        report.violations.extend(tallies.violations.iter().cloned().map(Violation::Tally));
        report
    }

    fn check_exits(&mut self, history: &DaemonHistory, grace: Duration) {
        for incarnation in &history.incarnations {
            self.terminations += usize::from(incarnation.terminated.is_some());
            let problem = match (incarnation.terminated, incarnation.exited) {
                (_, Some(_)) if incarnation.killed => continue,
                // SIGHUP before the process has installed its signal handlers ends it.
                (None, Some((exit, _))) if was_ended_by_early_sighup(incarnation, exit) => continue,
                (None, Some(_)) => "exited without SIGTERM".to_string(),
                (Some(sigterm), Some((exit, _))) if exit - sigterm > grace + EXIT_MARGIN => {
                    format!("exited {} ms after SIGTERM", (exit - sigterm).as_millis())
                }
                // SIGTERM before the process has installed its signal handlers ends it without success.
                (Some(sigterm), Some((_, false))) if sigterm - incarnation.started > Duration::from_secs(1) => {
                    "exited without success".to_string()
                }
                _ => continue,
            };
            self.violations.push(Violation::End(format!("{:?} {problem}", history.target)));
        }
    }

    fn check_attempt(
        &mut self,
        attempt: &Attempt,
        record: &AttemptRecord,
        incarnation: Option<Incarnation>,
        grace: Duration,
    ) {
        if record.runs.len() > 1 {
            self.violations.push(Violation::Twice(format!("{attempt} ran {} times", record.runs.len())));
        }
        match attempt.outcome {
            Outcome::Answered => self.answered += 1,
            Outcome::WrongBody => self.violations.push(Violation::Mixed(attempt.to_string())),
            Outcome::Status(429 | 503) if !record.runs.is_empty() => {
                self.violations.push(Violation::Lost(format!("refused although it ran: {attempt}")));
            }
            Outcome::Status(429 | 503) => self.refused += 1,
            Outcome::Status(_) => self.failed += 1,
            Outcome::Cut | Outcome::Silent if is_lost(attempt, record, incarnation, grace) => {
                let timing = incarnation.and_then(|incarnation| incarnation.terminated).map(|sigterm| {
                    let ms = |time: Instant| time.saturating_duration_since(sigterm).as_millis();
                    format!("sent {} ms and ended {} ms after SIGTERM", ms(attempt.sent), ms(attempt.ended))
                });
                let timing = timing.unwrap_or_else(|| "no SIGTERM".into());
                let AttemptRecord { prefills, runs, .. } = record;
                let description = format!("{timing}: {attempt}; {prefills} prefills, {} runs", runs.len());
                self.violations.push(Violation::Lost(description));
            }
            Outcome::Cut | Outcome::Silent => self.unanswered += 1,
        }
    }
}

/// Returns whether a process was ended by a SIGHUP that arrived before it could handle signals.
fn was_ended_by_early_sighup(incarnation: &Incarnation, exit: Instant) -> bool {
    let is_early = |reloaded: Instant| reloaded.saturating_duration_since(incarnation.started) < SIGNAL_SETUP_TIME;
    incarnation.reloaded.is_some_and(is_early) && exit - incarnation.started < 2 * SIGNAL_SETUP_TIME
}

/// Returns whether a request without a complete response had been accepted and its loss is not excused.
fn is_lost(attempt: &Attempt, record: &AttemptRecord, incarnation: Option<Incarnation>, grace: Duration) -> bool {
    let was_forwarded = record.prefills > 0 || !record.runs.is_empty();
    if !was_forwarded {
        return attempt.ended - attempt.sent > CLOSE_RACE_MARGIN;
    }
    let Some(sigterm) = incarnation.and_then(|incarnation| incarnation.terminated) else { return true };
    let was_sent_early = attempt.sent.saturating_duration_since(sigterm) <= grace.mul_f64(ACCEPT_FRACTION);
    let ended_late = attempt.ended.saturating_duration_since(sigterm) >= grace.mul_f64(ABANDON_FRACTION);
    !(was_sent_early && ended_late)
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let Report {
            attempts,
            answered,
            refused,
            failed,
            unanswered,
            terminations,
            changes,
            adds,
            usage_windows,
            evacuations,
            violations,
        } = self;
        write!(
            out,
            "{attempts} attempts: {answered} answered, {refused} refused, {failed} failed, {unanswered} not accepted; \
             {terminations} terminations, {changes} changes, {adds} adds, {usage_windows} usage windows, {evacuations} evacuations; \
             {} violations",
            violations.len()
        )
    }
}

#[cfg(test)]
#[path = "report_tests.rs"]
mod tests;
