//! Decides whether a job is refused because the leader's outlook says that it certainly can't be served.
//!
//! Load that this answers: more work than the fleet can do, and jobs that fit no worker. A refusal at once is better for
//! a caller than a wait in vain, and leaves the room to others. But a false refusal costs its caller the whole job, so
//! whatever isn't certain is accepted.

pub mod gate;
pub mod job_calls;
pub(crate) mod sent_jobs;

use std::ops::RangeInclusive;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::job::{EpochMillis, Step, Submission, USEFUL_OBJECTIVES};
use crate::outlook::{Outlook, PriorityOutlook, ServiceOutlook};

/// Age from which an outlook isn't used: two that a leader writes every 3 s have been missed.
pub const MAX_OUTLOOK_AGE: Duration = Duration::from_secs(6);
/// Longest estimate that is calculated with, in milliseconds (11 days), so that no sum overflows. Nothing that takes as
/// long is refused for want of room.
const MAX_ESTIMATE_MS: u64 = 1_000_000_000;
/// Bounds of `Retry-After`, in seconds. The fleet of a caller that waits longer has changed by then.
const RETRY_AFTER_S: RangeInclusive<u64> = 1..=30;

/// Why a job can't be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No worker has the label that a step requires.
    NoSuchLabel,
    /// A task is larger than every worker that may run it.
    TaskTooLarge,
    /// A gang is wider than the service.
    GangTooWide,
    /// There is no room before three times the job's objective has passed.
    NoRoomInTime,
}

impl RefusalReason {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoSuchLabel => "no_such_label",
            Self::TaskTooLarge => "task_too_large",
            Self::GangTooWide => "gang_too_wide",
            Self::NoRoomInTime => "no_room_in_time",
        }
    }
}

/// When a refused caller should come back, in whole seconds. The time is drawn, so that callers who were refused together
/// don't return together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfter {
    from_s: u64,
    to_s: u64,
}

impl RetryAfter {
    /// The longest time, for a job that can never fit.
    pub const LONGEST: Self = Self { from_s: *RETRY_AFTER_S.end(), to_s: *RETRY_AFTER_S.end() };

    /// Returns the times from one that is expected, in milliseconds, to one and a half times as much.
    #[must_use]
    pub fn expected(ms: u64) -> Self {
        let (least, most) = RETRY_AFTER_S.into_inner();
        let from_s = ms.div_ceil(1000).clamp(least, most);
        let to_s = (ms.saturating_add(ms / 2) / 1000).clamp(from_s, most);
        Self { from_s, to_s }
    }

    /// Draws a time.
    #[must_use]
    pub fn draw(self, rng: &mut impl Rng) -> Duration {
        Duration::from_secs(rng.random_range(self.from_s..=self.to_s))
    }
}

/// Whether a job is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is accepted, as far as the outlook goes.
    Admit,
    /// It certainly can't be served.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// Time until room is expected, in milliseconds; `None` if none is.
        expected_ms: Option<u64>,
        /// When its caller should come back.
        retry_after: RetryAfter,
    },
}

/// Decides by an outlook of some age whether a job is accepted. `now` is the time of day in milliseconds.
#[must_use]
pub fn decide(
    outlook: Option<&Outlook>,
    age: Duration,
    submission: &Submission,
    now: EpochMillis,
) -> Decision {
    let Some(outlook) = outlook.filter(|_| age <= MAX_OUTLOOK_AGE) else { return Decision::Admit };
    // The fleet at the time of a later occurrence isn't known, and nobody waits for the end of a long-running task.
    if submission.is_timed() || submission.steps.iter().any(|step| step.long_running) {
        return Decision::Admit;
    }
    let Some(service) = outlook.service(&submission.service) else { return Decision::Admit };
    let steps = || submission.steps.iter().filter(|step| step.count > 0);
    if let Some(reason) = steps().find_map(|step| never_fits(service, step)) {
        let retry_after = RetryAfter::LONGEST;
        return Decision::Refuse { reason, expected_ms: None, retry_after };
    }
    // Its workspace may have what is guaranteed to it at any time.
    if submission.priority == 0 && outlook.guaranteed.contains(&submission.workspace) {
        return Decision::Admit;
    }
    let Some(forecast) = service.priority(submission.priority) else { return Decision::Admit };
    let useful_until = submission.submitted_at.saturating_add(
        USEFUL_OBJECTIVES.saturating_mul(latest_objective_ms(forecast, submission)),
    );
    let left_ms = useful_until.saturating_sub(now);
    let waits = steps().map(|step| Wait::of(forecast, step, age));
    match waits.max_by_key(|wait| wait.at_least_ms) {
        Some(wait) if wait.at_least_ms > left_ms => Decision::Refuse {
            reason: RefusalReason::NoRoomInTime,
            expected_ms: wait.expected_ms,
            retry_after: wait.expected_ms.map_or(RetryAfter::LONGEST, RetryAfter::expected),
        },
        _ => Decision::Admit,
    }
}

/// Returns why a step could never start, even if nothing else ran.
fn never_fits(service: &ServiceOutlook, step: &Step) -> Option<RefusalReason> {
    if !service.has_label(&step.required_label) {
        return Some(RefusalReason::NoSuchLabel);
    }
    let largest = service.largest_gang(step);
    if largest.anywhere == 0 {
        return Some(RefusalReason::TaskTooLarge);
    }
    let is_too_wide = step.gang && u64::from(step.count) > largest.anywhere;
    is_too_wide.then_some(RefusalReason::GangTooWide)
}

/// Returns the job's objective at the late end of the range of its estimates, in milliseconds. An estimate that is too
/// low for its queue is replaced by the queue's mean.
fn latest_objective_ms(forecast: &PriorityOutlook, submission: &Submission) -> u64 {
    let late = |estimate_ms: u64| {
        let longer = u128::from(estimate_ms.max(forecast.mean_ms));
        let late = longer * u128::from(forecast.late_permille) / 1000;
        u64::try_from(late).unwrap_or(u64::MAX).min(MAX_ESTIMATE_MS)
    };
    let durations: Vec<u64> = submission.steps.iter().map(|step| late(step.estimate_ms)).collect();
    let longest = submission.chains_ms(&durations).into_iter().max().unwrap_or(0);
    submission.objective_ms(longest)
}

/// How long a step waits for room from now on, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Wait {
    /// It certainly waits as long, by the early ends of the ranges.
    at_least_ms: u64,
    /// It is expected to; `None` if no room is in sight.
    expected_ms: Option<u64>,
}

impl Wait {
    fn of(forecast: &PriorityOutlook, step: &Step, age: Duration) -> Self {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let devices = step.charge().devices;
        // Tasks that aren't a gang may start one after the other.
        let count = if step.gang { u64::from(step.count) } else { 1 };
        let expected_ms = forecast.expected_room_ms(devices, count);
        Self {
            at_least_ms: forecast.no_room_until_ms(devices, count).saturating_sub(age_ms),
            expected_ms: expected_ms.map(|ms| ms.saturating_sub(age_ms)),
        }
    }
}
