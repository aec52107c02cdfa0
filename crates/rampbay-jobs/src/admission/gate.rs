//! Refuses jobs at an entry, where the refusal is certainly true.
//!
//! A refused job must never run, also if an earlier attempt of it got no answer. The record of such an attempt may still
//! be on its way to the store, so an entry refuses only while it has no sign of that: it has not sent the job itself and isn't about to, its
//! view has been current without a break for longer than a late call takes, none of its own appends went unanswered or
//! was slow in that time, and the view, as of a moment after the call arrived, doesn't show the job. The outlook itself is withheld
//! while the leader finds the store slow. docs/design/hard-load.md names the case that remains.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock::Moment;
use crate::freshness::Freshness;
use crate::job::{EpochMillis, JobId, Submission};
use crate::outlook::board::SLOW_APPEND;
use crate::outlook::received::ReceivedOutlook;
use crate::process::LiveTable;
use crate::table::JobTable;

use super::job_calls::{JobCall, JobCalls};
use super::sent_jobs::SentJobs;
use super::{Decision, RefusalReason, RetryAfter, decide};

/// Time for which an entry must have had no trouble with the store before it refuses. A call without an answer was seen
/// to be carried out up to 12 s later.
const SETTLE_TIME: Duration = Duration::from_secs(15);
/// Longest wait for a view as of a moment after the call: reads of a store without news take a second.
const MAX_CONFIRM_WAIT: Duration = Duration::from_millis(1100);
/// Part of the call's time that is left for the append where the view can't be confirmed.
const APPEND_TIME: Duration = Duration::from_millis(250);
/// Time between two looks at the age of the view: as long as the shortest gap between reads.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A refusal by the outlook.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForecastRefusal {
    /// Why the job is refused.
    pub reason: RefusalReason,
    /// Time until room is expected, in milliseconds; `None` if none is.
    pub expected_ms: Option<u64>,
    /// When its caller should come back.
    pub retry_after: RetryAfter,
    /// Age of the outlook.
    pub outlook_age: Duration,
}

/// Refuses jobs by the outlook in an entry's table.
pub struct AdmissionGate {
    table: Rc<RefCell<JobTable>>,
    freshness: Rc<Freshness>,
    outlook: Rc<ReceivedOutlook>,
    sent: RefCell<SentJobs>,
    /// Calls that submit jobs.
    calls: JobCalls,
    /// When an append of this entry last went unanswered, or was slow.
    trouble_at: Cell<Option<Moment>>,
}

impl AdmissionGate {
    /// Creates a gate over a table that is kept up to date elsewhere.
    #[must_use]
    pub fn new(live: &LiveTable) -> Self {
        Self {
            table: Rc::clone(&live.table),
            freshness: Rc::clone(&live.freshness),
            outlook: Rc::clone(&live.outlook),
            sent: RefCell::default(),
            calls: JobCalls::default(),
            trouble_at: Cell::new(None),
        }
    }

    /// Counts a call that submits a job, until the guard is dropped. While there is another one for the same job, which
    /// may yet send it, neither is refused.
    #[must_use]
    pub fn enter(&self, job: &JobId) -> JobCall<'_> {
        self.calls.enter(job)
    }

    /// Records that a job's record is about to be sent to the store.
    pub fn note_sent(&self, job: &JobId) {
        self.sent.borrow_mut().note(job);
    }

    /// Takes note of an append of a job: whether the store may have it without having answered, and how long it took.
    pub fn note_append(&self, is_unanswered: bool, took: Duration) {
        if is_unanswered || took >= SLOW_APPEND {
            self.trouble_at.set(Some(Moment::now()));
        }
    }

    /// Returns why a job is refused, if it is; `now` is the time of day. The table doesn't hold the job.
    #[must_use]
    pub fn refusal(&self, submission: &Submission, now: EpochMillis) -> Option<ForecastRefusal> {
        let table = self.table.borrow();
        // Another leader expects something else, or hasn't seen the fleet yet.
        let is_in_force = |epoch: u64| epoch == table.leader.epoch;
        let outlook = table.outlook.as_deref().filter(|outlook| is_in_force(outlook.epoch))?;
        // The record may have been on its way for long, and the clocks of two machines may differ.
        let computed = Duration::from_millis(now.saturating_sub(outlook.at));
        let outlook_age = self.outlook.age(outlook)?.max(computed);
        match decide(Some(outlook), outlook_age, submission, now) {
            Decision::Refuse { reason, expected_ms, retry_after }
                if self.is_certainly_unsent(&submission.id) =>
            {
                Some(ForecastRefusal { reason, expected_ms, retry_after, outlook_age })
            }
            _ => None,
        }
    }

    fn is_certainly_unsent(&self, job: &JobId) -> bool {
        let is_long = |time: Duration| time >= SETTLE_TIME;
        self.freshness.current_for().is_some_and(is_long)
            && self.trouble_at.get().is_none_or(|at| is_long(at.elapsed()))
            && self.sent.borrow_mut().is_not_sent(job)
            && self.calls.count(job) <= 1
    }

    /// Waits until the table holds all that the store had acknowledged at a moment, but not so long that a call that may
    /// wait until `until` could no longer append. Returns whether the table does.
    pub async fn confirm_view(&self, as_of: Moment, until: Instant) -> bool {
        let latest = until.checked_sub(APPEND_TIME).unwrap_or(until);
        let latest = latest.min(Instant::now() + MAX_CONFIRM_WAIT);
        while !self.freshness.is_within(as_of.elapsed()) {
            if Instant::now() >= latest {
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        true
    }
}
