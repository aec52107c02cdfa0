//! The history of each job, as read from the log.

use std::collections::BTreeMap;

use serde::Serialize;

use super::line::{EpochMillis, LogLine};

/// Why a job was lost or late. For a late job, this is the phase that took the most time beyond
/// what its work takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// None: the job succeeded within its objective.
    InTime,
    /// It was never accepted.
    Refused,
    /// Its caller cancelled it.
    Cancelled,
    /// It was given up, because the workers that it was started on crashed.
    CrashedWorkers,
    /// It failed, or hadn't ended by the end of the log.
    NotEnded,
    /// It waited for capacity before its first run was assigned.
    WaitedForRoom,
    /// Its first run was ordered late after it was assigned.
    OrderedLate,
    /// A run ended early, and it had to run again.
    RanAgain,
    /// Its last runs took longer than the estimate: a worker was slow, the job was spread over racks,
    /// or the estimate was wrong.
    RanLong,
    /// It was shown as ended late after its last run had ended.
    ToldLate,
}

/// What the log says about one job.
#[derive(Clone, Debug, Default)]
pub struct JobHistory {
    /// Its queue.
    pub queue: String,
    /// Estimate and objective, in milliseconds.
    estimate_ms: u64,
    objective_ms: u64,
    refused_at: Option<EpochMillis>,
    accepted_at: Option<EpochMillis>,
    first_assigned: Option<EpochMillis>,
    last_assigned: Option<EpochMillis>,
    first_ordered: Option<EpochMillis>,
    last_ordered: Option<EpochMillis>,
    last_ended: Option<EpochMillis>,
    succeeded_at: Option<EpochMillis>,
    cancelled: bool,
    given_up: bool,
}

impl JobHistory {
    /// Returns why the job was lost or late.
    #[must_use]
    pub fn loss(&self) -> Loss {
        let Some(accepted) = self.accepted_at else { return Loss::Refused };
        if self.cancelled {
            return Loss::Cancelled;
        }
        if self.given_up {
            return Loss::CrashedWorkers;
        }
        let Some(succeeded) = self.succeeded_at else { return Loss::NotEnded };
        if succeeded.saturating_sub(accepted) <= self.objective_ms {
            return Loss::InTime;
        }
        let span = |from: Option<EpochMillis>, to: Option<EpochMillis>| {
            to.unwrap_or_default().saturating_sub(from.unwrap_or_default())
        };
        let ran = span(self.last_ordered, self.last_ended);
        let parts = [
            (span(Some(accepted), self.first_assigned), Loss::WaitedForRoom),
            (span(self.first_assigned, self.first_ordered), Loss::OrderedLate),
            (span(self.first_assigned, self.last_assigned), Loss::RanAgain),
            (ran.saturating_sub(self.estimate_ms), Loss::RanLong),
            (span(self.last_ended, Some(succeeded)), Loss::ToldLate),
        ];
        parts.into_iter().max_by_key(|(part, _)| *part).map_or(Loss::InTime, |(_, loss)| loss)
    }

    /// Returns when the job was accepted, or else when it was first refused.
    #[must_use]
    pub fn submitted_at(&self) -> Option<EpochMillis> {
        self.accepted_at.or(self.refused_at)
    }
}

/// A stop for urgent work.
#[derive(Clone, Debug)]
pub struct Stop {
    /// The job that the stop made room for.
    pub beneficiary: String,
    /// Work lost by the stop, in thousandths of core-seconds.
    pub lost_work: u64,
}

/// The histories of all jobs, and the stops for urgent work.
#[derive(Debug, Default)]
pub struct JobHistories {
    /// The jobs, by id.
    pub jobs: BTreeMap<String, JobHistory>,
    /// All stops for urgent work.
    pub stops: Vec<Stop>,
}

impl JobHistories {
    /// Applies a line to the history of its job.
    pub fn apply(&mut self, line: &LogLine<'_>) {
        match line.event {
            "J201" => self.apply_call(line),
            "J202" => self.apply_accepted(line),
            "J132" => {
                if let Some(history) = self.history(line.text("job")) {
                    history.cancelled = true;
                }
            }
            "J133" if line.text("status") == Some("Succeeded") => {
                if let Some(history) = self.history(line.text("job")) {
                    history.succeeded_at.get_or_insert(line.time);
                }
            }
            "J147" => {
                if let Some(history) = self.history(line.job_of_task()) {
                    history.given_up = true;
                }
            }
            "J150" => {
                if let Some(history) = self.history(line.job_of_task()) {
                    history.first_assigned.get_or_insert(line.time);
                    history.last_assigned = Some(line.time);
                }
            }
            "J151" => self.apply_stop(line),
            "J165" => {
                if let Some(history) = self.history(line.job_of_task()) {
                    history.last_ended = Some(line.time);
                }
            }
            "J166" => {
                if let Some(history) = self.history(line.job_of_task()) {
                    history.first_ordered.get_or_insert(line.time);
                    history.last_ordered = Some(line.time);
                }
            }
            _ => {}
        }
    }

    /// Returns the history of a job. Any line may create it, since the processes write their lines at
    /// different times.
    fn history(&mut self, job: Option<&str>) -> Option<&mut JobHistory> {
        Some(self.jobs.entry(job?.to_owned()).or_default())
    }

    fn apply_call(&mut self, line: &LogLine<'_>) {
        let is_refusal = matches!(line.text("status"), Some("429" | "503" | "504"));
        if line.text("method") != Some("POST") || !is_refusal {
            return;
        }
        let Some((_, job)) = line.text("path").and_then(|path| path.rsplit_once('/')) else {
            return;
        };
        let history = self.jobs.entry(job.to_owned()).or_default();
        history.refused_at.get_or_insert(line.time);
    }

    fn apply_accepted(&mut self, line: &LogLine<'_>) {
        let Some(job) = line.text("job") else { return };
        let history = self.jobs.entry(job.to_owned()).or_default();
        history.accepted_at.get_or_insert(line.time);
        line.text("queue").unwrap_or_default().clone_into(&mut history.queue);
        history.estimate_ms = line.number("estimate_ms").unwrap_or_default();
        history.objective_ms = line.number("objective_ms").unwrap_or_default();
    }

    fn apply_stop(&mut self, line: &LogLine<'_>) {
        let Some(beneficiary) = line.text("for_job") else { return };
        let lost_work = line.number("lost_work").unwrap_or_default();
        self.stops.push(Stop { beneficiary: beneficiary.to_owned(), lost_work });
    }
}
