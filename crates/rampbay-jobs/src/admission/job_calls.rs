//! The calls under way for each job.

use std::cell::RefCell;
use std::collections::BTreeMap;

use crate::job::JobId;

/// Counts the calls under way for each job.
#[derive(Debug, Default)]
pub struct JobCalls(RefCell<BTreeMap<JobId, usize>>);

impl JobCalls {
    /// Counts a call for a job until the guard is dropped.
    #[must_use]
    pub fn enter(&self, job: &JobId) -> JobCall<'_> {
        *self.0.borrow_mut().entry(job.clone()).or_default() += 1;
        JobCall { calls: self, job: job.clone() }
    }

    /// Returns the number of calls under way for a job.
    #[must_use]
    pub fn count(&self, job: &JobId) -> usize {
        self.0.borrow().get(job).copied().unwrap_or_default()
    }
}

/// A call for a job; it counts until it is dropped.
pub struct JobCall<'a> {
    calls: &'a JobCalls,
    job: JobId,
}

impl JobCall<'_> {
    /// Returns the job.
    #[must_use]
    pub const fn job(&self) -> &JobId {
        &self.job
    }
}

impl Drop for JobCall<'_> {
    fn drop(&mut self) {
        let mut calls = self.calls.0.borrow_mut();
        if let Some(count) = calls.get_mut(&self.job) {
            *count -= 1;
            if *count == 0 {
                calls.remove(&self.job);
            }
        }
    }
}
