//! How often a round asks the estimate, and the log of what it has changed.
//!
//! Load: hundreds of waiting steps on a large fleet. A question about room passes over all workers and runs, so a round
//! asks only a limited number of them, for the most urgent steps first. The other steps are decided by the constants.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

use crate::job::JobId;
use crate::metrics::metrics;
use crate::planner::completion::options::ExpectedTimes;
use crate::planner::policy::{RoundStart, StepQuestion};

/// Largest number of questions about room in a round.
const MAX_QUESTIONS: u32 = 12;
/// Largest number of workers that these questions examine, counted for each question: three questions on 2,500 workers, so
/// that the estimate stays under a tenth of a round.
const MAX_EXAMINED: u32 = 7_500;

/// What the estimate has changed for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Nothing is stopped for it, since it finds room in time.
    RoomInTime,
    /// Nothing is stopped for it, since its caller would gain less than others would lose.
    StopsDontPay,
    /// It waits for one rack for longer than the constants allow.
    RackSoon,
    /// It is spread over racks earlier than the constants demand.
    RackLate,
    /// It doesn't start on slow workers, since it ends in time on others that become free.
    FasterWorkersSoon,
    /// It may use the reserve.
    LateWithoutReserve,
}

impl Reason {
    /// Returns its label in logs and metrics.
    const fn label(self) -> &'static str {
        match self {
            Self::RoomInTime => "room_in_time",
            Self::StopsDontPay => "stops_dont_pay",
            Self::RackSoon => "rack_soon",
            Self::RackLate => "rack_late",
            Self::FasterWorkersSoon => "faster_workers_soon",
            Self::LateWithoutReserve => "late_without_reserve",
        }
    }
}

/// The steps of a job for which a line was logged, by occurrence, step and reason.
type Logged = BTreeSet<(u32, u32, Reason)>;

/// The questions of a round, and what was logged of the answers.
#[derive(Debug, Default)]
pub struct Questions {
    asked: Cell<u32>,
    logged: RefCell<BTreeMap<JobId, Logged>>,
}

impl Questions {
    /// Begins a round, and forgets jobs that have ended.
    pub fn begin_round(&mut self, start: &RoundStart<'_>) {
        self.asked.set(0);
        let active = &start.inputs.table.active;
        self.logged.get_mut().retain(|job, _| active.contains(job));
    }

    /// Returns whether `count` more questions may be asked in this round, and counts them.
    pub fn may_ask(&self, question: &StepQuestion<'_>, count: u32) -> bool {
        let workers = question.fleet.workers.len().max(1) as u32;
        let asked = self.asked.get() + count;
        let may_ask = asked <= MAX_QUESTIONS.min(MAX_EXAMINED / workers);
        if may_ask {
            self.asked.set(asked);
        }
        may_ask
    }

    /// Counts and logs a decision that the estimate has changed, once for each step and reason. `chosen` are the times
    /// that are expected by it, `other` those without it.
    pub fn note(
        &self,
        question: &StepQuestion<'_>,
        reason: Reason,
        chosen: Option<ExpectedTimes>,
        other: Option<ExpectedTimes>,
    ) {
        let waiting = question.waiting;
        let mut logged = self.logged.borrow_mut();
        let of_job = logged.entry(waiting.job.clone()).or_default();
        if !of_job.insert((waiting.occurrence, waiting.step, reason)) {
            return;
        }
        metrics().count_decision(reason.label());
        let start_ms =
            |times: Option<ExpectedTimes>| times.map_or(-1, |times| times.start.ms as i64);
        let end_ms = |times: Option<ExpectedTimes>| times.map_or(-1, |times| times.end.ms as i64);
        let wall = question.inputs().wall;
        log::info!(
            "event=J196 estimate changes decision job={} occurrence={} step={} reason={} tasks={} waited_ms={} left_ms={} start_ms={} end_ms={} late_end_ms={} other_start_ms={} other_end_ms={} measured={}",
            waiting.job,
            waiting.occurrence,
            waiting.step,
            reason.label(),
            question.count,
            question.waited_ms(),
            question.deadline().in_time as i64 - wall as i64,
            start_ms(chosen),
            end_ms(chosen),
            chosen.map_or(-1, |times| times.end.late_ms as i64),
            start_ms(other),
            end_ms(other),
            question.is_measured()
        );
    }
}
