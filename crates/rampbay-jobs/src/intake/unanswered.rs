//! The jobs that may be on their way to the store, because an append of theirs got no answer.

use std::cell::RefCell;

use crate::admission::job_calls::{JobCall, JobCalls};
use crate::admission::sent_jobs::SentJobs;
use crate::job::JobId;

/// The jobs that an attempt of this entry may still store: the attempt is under way, or got no answer.
#[derive(Debug, Default)]
pub struct UnansweredJobs {
    under_way: JobCalls,
    unanswered: RefCell<SentJobs>,
}

impl UnansweredJobs {
    /// Begins an attempt to store a job. The job counts as unanswered if the attempt is dropped, as when its caller
    /// leaves, before [`Attempt::settle`].
    pub fn begin(&self, job: &JobId) -> Attempt<'_> {
        Attempt { jobs: self, call: self.under_way.enter(job), is_settled: false }
    }

    /// Returns whether a job may still be stored by an attempt of this entry.
    pub fn may_be_stored(&self, job: &JobId) -> bool {
        self.under_way.count(job) > 0 || !self.unanswered.borrow_mut().is_not_sent(job)
    }
}

/// An attempt to store a job, under way until it is dropped.
pub struct Attempt<'a> {
    jobs: &'a UnansweredJobs,
    call: JobCall<'a>,
    is_settled: bool,
}

impl Attempt<'_> {
    /// Ends the attempt with a definite outcome: the job was stored, or nothing was done.
    pub fn settle(mut self) {
        self.is_settled = true;
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if !self.is_settled {
            self.jobs.unanswered.borrow_mut().note(self.call.job());
        }
    }
}
