//! What a run showed, judged by what was seen on sockets and by the ends of processes.

use std::fmt;
use std::time::{Duration, Instant};

use crate::application::TallyHistory;
use crate::client::{Attempt, Outcome};
use crate::engine::{EngineLog, Sightings};
use crate::operator::OperatorLog;
use crate::process::Incarnation;
use crate::scenario::Target;
use crate::usage::UsageLog;

/// A request that was not passed on may end without an answer for so long after its last byte.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// What the end of a process may take beyond its grace, where the machine is busy.
const END_MARGIN: Duration = Duration::from_millis(500);
/// How long a process may take from its start until it takes signals over: 1 ms is usual, more where the machine is busy.
const EXEC_TIME: Duration = Duration::from_millis(20);
/// The share of the grace, from SIGTERM, in which a request may still be sent and then be given up at the end.
const ACCEPT_SHARE: f64 = 3.0 / 8.0;
/// The share of the grace at whose end an engine may still be at work.
const LAST_SHARE: f64 = 5.0 / 6.0;

/// Something that must not happen.
#[derive(Clone, Debug)]
pub enum Violation {
    /// A request was accepted and ended without a complete answer.
    Lost(String),
    /// A request ran more than once.
    Twice(String),
    /// An answer belongs to another request.
    Mixed(String),
    /// A process ended otherwise than it should, or not in its grace.
    End(String),
    /// An acknowledged change was forgotten, or a proper one refused.
    Config(String),
    /// Usage was told with two values, by two holders, or wrong.
    Usage(String),
    /// A tally shows more than was sent, or less than was acknowledged.
    Tally(String),
}

/// The result of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// What must not happen and did.
    pub violations: Vec<Violation>,
    /// Tries of clients.
    pub attempts: usize,
    /// Those that were answered with success.
    pub answered: usize,
    /// Those that were answered with a refusal (429 or 503).
    pub refused: usize,
    /// Those that were answered with another status.
    pub failed: usize,
    /// Those that ended without an answer and were not accepted, or were excused.
    pub unanswered: usize,
    /// Processes that got SIGTERM.
    pub terminations: usize,
    /// Changes of the configuration that were acknowledged.
    pub changes: u64,
    /// Adds to tallies that were acknowledged.
    pub adds: usize,
    /// Windows of usage that were told.
    pub windows: usize,
}

/// What was seen on sockets.
pub struct Observed<'a> {
    /// The tries of all clients.
    pub attempts: &'a [Attempt],
    /// What reached engines.
    pub engines: &'a EngineLog,
    /// What the operator saw.
    pub operator: &'a OperatorLog,
    /// What the platform was told.
    pub usage: &'a UsageLog,
    /// What applications saw.
    pub tallies: &'a TallyHistory,
}

/// A daemon with all incarnations of its process.
pub struct History {
    /// Which daemon.
    pub target: Target,
    /// Its incarnations in their order.
    pub incarnations: Vec<Incarnation>,
}

impl History {
    /// Returns the incarnation that ran at a moment.
    fn at(&self, moment: Instant) -> Option<&Incarnation> {
        let ran = |one: &&Incarnation| one.started <= moment && one.ended.is_none_or(|(end, _)| moment <= end);
        self.incarnations.iter().rev().find(ran)
    }
}

impl Report {
    /// Judges a run.
    pub fn judge(grace_s: f64, histories: &[History], observed: &Observed) -> Report {
        let grace = Duration::from_secs_f64(grace_s);
        let Observed { attempts, engines, operator, usage, tallies } = observed;
        let (changes, adds) = (operator.acknowledged, tallies.acknowledged());
        let mut report =
            Report { attempts: attempts.len(), changes, adds, windows: usage.windows(), ..Report::default() };
        for history in histories {
            report.judge_ends(history, grace);
        }
        for attempt in *attempts {
            let history = histories.iter().find(|history| history.target == Target::Router(attempt.router));
            let incarnation = history.and_then(|history| history.at(attempt.sent)).copied();
            report.judge_attempt(attempt, &engines.of(&attempt.id), incarnation, grace);
        }
        report.violations.extend(operator.faults.iter().cloned().map(Violation::Config));
        report.violations.extend(usage.faults(engines).into_iter().map(Violation::Usage));
        report.violations.extend(tallies.faults.iter().cloned().map(Violation::Tally));
        report
    }

    fn judge_ends(&mut self, history: &History, grace: Duration) {
        for one in &history.incarnations {
            self.terminations += usize::from(one.terminated.is_some());
            let story = match (one.terminated, one.ended) {
                (_, Some(_)) if one.killed => continue,
                // No program can take a signal over before it runs: SIGHUP ends it then.
                (None, Some((end, _))) if was_reloaded_at_start(one, end) => continue,
                (None, Some(_)) => "ended by itself".to_string(),
                (Some(told), Some((end, _))) if end - told > grace + END_MARGIN => {
                    format!("ended {} ms after SIGTERM", (end - told).as_millis())
                }
                // SIGTERM before the process could take signals over ends it, as it would any program.
                (Some(told), Some((_, false))) if told - one.started > Duration::from_secs(1) => {
                    "ended without success".to_string()
                }
                _ => continue,
            };
            self.violations.push(Violation::End(format!("{:?} {story}", history.target)));
        }
    }

    fn judge_attempt(&mut self, attempt: &Attempt, seen: &Sightings, by: Option<Incarnation>, grace: Duration) {
        if seen.runs.len() > 1 {
            self.violations.push(Violation::Twice(format!("{attempt} ran {} times", seen.runs.len())));
        }
        match attempt.outcome {
            Outcome::Answered => self.answered += 1,
            Outcome::WrongBody => self.violations.push(Violation::Mixed(attempt.to_string())),
            Outcome::Status(429 | 503) if !seen.runs.is_empty() => {
                self.violations.push(Violation::Lost(format!("refused, yet it ran: {attempt}")));
            }
            Outcome::Status(429 | 503) => self.refused += 1,
            Outcome::Status(_) => self.failed += 1,
            Outcome::Cut | Outcome::Silent if is_lost(attempt, seen, by, grace) => {
                let since = by.and_then(|by| by.terminated).map(|told| {
                    let ms = |moment: Instant| moment.saturating_duration_since(told).as_millis();
                    format!("sent {} ms and ended {} ms after SIGTERM", ms(attempt.sent), ms(attempt.ended))
                });
                let story = since.unwrap_or_else(|| "no SIGTERM".into());
                let Sightings { prefills, runs, .. } = seen;
                let story = format!("{story}: {attempt}; {prefills} prefills, {} runs", runs.len());
                self.violations.push(Violation::Lost(story));
            }
            Outcome::Cut | Outcome::Silent => self.unanswered += 1,
        }
    }
}

/// Returns whether a process ended at SIGHUP that came before it can have run.
fn was_reloaded_at_start(incarnation: &Incarnation, end: Instant) -> bool {
    let came_at_start = |reloaded: Instant| reloaded.saturating_duration_since(incarnation.started) < EXEC_TIME;
    incarnation.reloaded.is_some_and(came_at_start) && end - incarnation.started < 2 * EXEC_TIME
}

/// Returns whether a request that got no complete answer had been accepted, and its end is not excused.
fn is_lost(attempt: &Attempt, seen: &Sightings, by: Option<Incarnation>, grace: Duration) -> bool {
    let was_passed_on = seen.prefills > 0 || !seen.runs.is_empty();
    if !was_passed_on {
        return attempt.ended - attempt.sent > LOSS_SLACK;
    }
    let Some(told) = by.and_then(|by| by.terminated) else { return true };
    let was_sent_early = attempt.sent.saturating_duration_since(told) <= grace.mul_f64(ACCEPT_SHARE);
    let ended_late = attempt.ended.saturating_duration_since(told) >= grace.mul_f64(LAST_SHARE);
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
            windows,
            violations,
        } = self;
        write!(
            out,
            "{attempts} tries: {answered} answered, {refused} refused, {failed} failed, {unanswered} not accepted; \
             {terminations} terminations, {changes} changes, {adds} adds, {windows} windows told; {} violations",
            violations.len()
        )
    }
}

#[cfg(test)]
#[path = "report_tests.rs"]
mod tests;
