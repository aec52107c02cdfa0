//! The jobs whose records an entry has sent to the store.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Moment;
use crate::job::JobId;

/// Time for which a job is remembered, from when its record was last sent: several times the latest time (12 s) at which
/// a call without an answer was seen to be carried out.
const RETENTION: Duration = Duration::from_secs(60);
/// Largest number of jobs that are remembered, 2 MB of memory: 270 jobs a second, the most that an entry was seen to
/// take. While there are more, no job counts as not sent.
const MAX_JOBS: usize = 16_384;

/// Remembers for a while which jobs were sent.
#[derive(Debug, Default)]
pub struct SentJobs {
    last_sent: BTreeMap<JobId, Moment>,
    in_order: VecDeque<(Moment, JobId)>,
}

impl SentJobs {
    /// Records that a job is being sent.
    pub fn note(&mut self, job: &JobId) {
        self.expire();
        let now = Moment::now();
        if self.in_order.len() <= MAX_JOBS {
            self.last_sent.insert(job.clone(), now);
            self.in_order.push_back((now, job.clone()));
        } else if let Some((at, _)) = self.in_order.back_mut() {
            // The list stays full for as long as this job would be remembered.
            *at = now;
        }
    }

    /// Returns whether a job has certainly not been sent within the time that is remembered.
    pub fn is_not_sent(&mut self, job: &JobId) -> bool {
        self.expire();
        self.in_order.len() <= MAX_JOBS && !self.last_sent.contains_key(job)
    }

    fn expire(&mut self) {
        while self.in_order.front().is_some_and(|(at, _)| at.elapsed() > RETENTION) {
            let Some((at, job)) = self.in_order.pop_front() else { return };
            if self.last_sent.get(&job) == Some(&at) {
                self.last_sent.remove(&job);
            }
        }
    }
}
