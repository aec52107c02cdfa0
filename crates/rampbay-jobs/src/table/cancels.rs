//! The cancellations that the state holds.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::cancel::{CancelNumber, Canceller, EarlyCancel};
use crate::job::{JobId, Submission, WorkspaceName};
use crate::keys::{STRAY_CANCELS_TIMER, cancel_key, early_cancel_key};

use super::JobTable;

/// Largest number of early cancellations of one workspace. A store that is silent for some seconds leaves as many jobs
/// without an answer as their callers hand in meanwhile.
pub const MAX_EARLY_CANCELS_PER_WORKSPACE: usize = 1024;
/// Largest number of early cancellations of all workspaces, some 100 bytes each.
pub const MAX_EARLY_CANCELS: usize = 8192;

/// The cancellations that the state holds, of jobs that are known or not.
#[derive(Clone, Debug, Default)]
pub struct Cancels {
    /// Jobs that were known where they were cancelled.
    plain: BTreeSet<JobId>,
    /// Cancellations of jobs that weren't known.
    early: BTreeMap<JobId, BTreeMap<CancelNumber, Rc<EarlyCancel>>>,
    early_by_workspace: BTreeMap<WorkspaceName, usize>,
}

impl Cancels {
    pub(super) fn insert(&mut self, job: JobId) {
        self.plain.insert(job);
    }

    pub(super) fn remove(&mut self, job: &str) {
        self.plain.remove(job);
    }

    pub(super) fn insert_early(&mut self, cancel: EarlyCancel) {
        let of_job = self.early.entry(cancel.job.clone()).or_default();
        let workspace = cancel.canceller.workspace.clone();
        if of_job.insert(cancel.number, Rc::new(cancel)).is_none() {
            *self.early_by_workspace.entry(workspace).or_default() += 1;
        }
    }

    pub(super) fn remove_early(&mut self, job: &str, number: CancelNumber) {
        let Some(of_job) = self.early.get_mut(job) else { return };
        let Some(removed) = of_job.remove(&number) else { return };
        if of_job.is_empty() {
            self.early.remove(job);
        }
        let workspace = &removed.canceller.workspace;
        if let Some(count) = self.early_by_workspace.get_mut(workspace) {
            *count -= 1;
            if *count == 0 {
                self.early_by_workspace.remove(workspace);
            }
        }
    }

    /// Returns whether a job is cancelled.
    #[must_use]
    pub fn binds(&self, submission: &Submission) -> bool {
        let is_bound = |cancel: &Rc<EarlyCancel>| cancel.canceller.may_cancel(submission);
        self.plain.contains(&submission.id) || self.early_of(&submission.id).any(is_bound)
    }

    /// Iterates over the early cancellations of a job, by any caller.
    pub fn early_of(&self, job: &str) -> impl Iterator<Item = &Rc<EarlyCancel>> {
        self.early.get(job).into_iter().flat_map(BTreeMap::values)
    }

    /// Returns whether no more early cancellations of a workspace are taken.
    #[must_use]
    pub fn is_full_for(&self, workspace: &str) -> bool {
        let of_workspace = self.early_by_workspace.get(workspace).copied().unwrap_or_default();
        let all: usize = self.early_by_workspace.values().sum();
        of_workspace >= MAX_EARLY_CANCELS_PER_WORKSPACE || all >= MAX_EARLY_CANCELS
    }
}

/// A cancellation that cancels no known job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StrayCancel {
    /// Its key.
    pub key: String,
    /// Its number; 0 for the cancellation of a job that was known, and has been removed since.
    pub number: CancelNumber,
}

impl JobTable {
    /// Returns the cancellations.
    #[must_use]
    pub const fn cancels(&self) -> &Cancels {
        &self.cancels
    }

    /// Updates whether a job counts as cancelled, after a change of its cancellations.
    pub(super) fn update_cancelled(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancelled = self.cancels.binds(&job.submission);
        }
    }

    /// Lists the cancellations that cancel no known job. The others are removed with their jobs.
    #[must_use]
    pub fn stray_cancels(&self) -> Vec<StrayCancel> {
        let plain = self.cancels.plain.iter().filter(|job| !self.jobs.contains_key(*job));
        let plain = plain.map(|job| StrayCancel { key: cancel_key(job), number: 0 });
        let early = self.cancels.early.values().flat_map(BTreeMap::values);
        let is_stray = |cancel: &&Rc<EarlyCancel>| {
            let job = self.jobs.get(&cancel.job);
            job.is_none_or(|job| !cancel.canceller.may_cancel(&job.submission))
        };
        let early = early.filter(is_stray).map(|cancel| StrayCancel {
            key: early_cancel_key(&cancel.job, cancel.number),
            number: cancel.number,
        });
        plain.chain(early).collect()
    }

    /// Returns whether a caller's early cancellation of a job is stored, and will be kept for as long as one that is stored
    /// now: the leader's timer for the next removal doesn't cover it.
    #[must_use]
    pub fn keeps_early_cancel(&self, job: &str, canceller: &Canceller) -> bool {
        let covered = self.timers.iter().find_map(|timer| {
            timer.name.strip_prefix(STRAY_CANCELS_TIMER)?.parse::<CancelNumber>().ok()
        });
        let is_kept = |cancel: &Rc<EarlyCancel>| {
            cancel.canceller == *canceller && covered.is_none_or(|covered| cancel.number > covered)
        };
        self.cancels.early_of(job).any(is_kept)
    }
}
