//! Which workspace's request goes next: stride scheduling by weight, urgent before the rest.

use std::collections::{BTreeMap, VecDeque};

use rampbay_core::{
    ids::{JobId, WorkspaceId},
    job::Class,
};

const STRIDE_ONE: u64 = 1 << 20;

#[derive(Debug, Clone, Default)]
struct Lane {
    jobs: VecDeque<JobId>,
    pass: u64,
}

/// Queues by class and workspace, served by weight.
///
/// ```
/// use rampbay_dispatch::fair::FairQueue;
/// use rampbay_core::job::Class;
/// let mut queue = FairQueue::default();
/// queue.push(Class::Batch, &"a".into(), "a1".into());
/// queue.push(Class::Urgent, &"b".into(), "b1".into());
/// assert_eq!(queue.pop(|_| 100).as_deref(), Some("b1"));
/// ```
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    lanes: BTreeMap<(Class, WorkspaceId), Lane>,
    clock: BTreeMap<Class, u64>,
    len: usize,
}

impl FairQueue {
    /// Adds a job behind its workspace's others.
    pub fn push(&mut self, class: Class, workspace: &WorkspaceId, job: JobId) {
        self.lane(class, workspace).jobs.push_back(job);
        self.len += 1;
    }

    /// Puts a job back before its workspace's others.
    pub fn push_front(&mut self, class: Class, workspace: &WorkspaceId, job: JobId) {
        self.lane(class, workspace).jobs.push_front(job);
        self.len += 1;
    }

    fn lane(&mut self, class: Class, workspace: &WorkspaceId) -> &mut Lane {
        let clock = self.clock.get(&class).copied().unwrap_or(0);
        let lane = self.lanes.entry((class, workspace.clone())).or_default();
        if lane.jobs.is_empty() {
            // A workspace that was idle has no claim on the past.
            lane.pass = lane.pass.max(clock);
        }
        lane
    }

    /// Takes the next job out, given each workspace's weight.
    pub fn pop(&mut self, weight: impl Fn(&WorkspaceId) -> u32) -> Option<JobId> {
        let ((class, workspace), lane) = self
            .lanes
            .iter_mut()
            .filter(|(_, lane)| !lane.jobs.is_empty())
            .min_by_key(|((class, _), lane)| (*class, lane.pass))?;
        let job = lane.jobs.pop_front()?;
        self.clock.insert(*class, lane.pass);
        lane.pass += STRIDE_ONE / u64::from(weight(workspace).max(1));
        self.len -= 1;
        Some(job)
    }

    /// Takes one job out, wherever it stands; returns whether it was there.
    pub fn remove(&mut self, class: Class, workspace: &WorkspaceId, job: &JobId) -> bool {
        let Some(lane) = self.lanes.get_mut(&(class, workspace.clone())) else {
            return false;
        };
        let Some(at) = lane.jobs.iter().position(|queued| queued == job) else {
            return false;
        };
        lane.jobs.remove(at);
        self.len -= 1;
        true
    }

    /// Returns the number of jobs of one workspace, over all classes.
    #[must_use]
    pub fn waiting(&self, workspace: &WorkspaceId) -> usize {
        let classes = [Class::Urgent, Class::Normal, Class::Batch];
        let lanes = classes.iter().filter_map(|class| self.lanes.get(&(*class, workspace.clone())));
        lanes.map(|lane| lane.jobs.len()).sum()
    }

    /// Returns the number of jobs.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no job waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }
}
