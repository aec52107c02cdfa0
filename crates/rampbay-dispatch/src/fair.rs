//! Choice of the next request: the most urgent class first, and stride scheduling by weight among the
//! workspaces of a class.

use std::collections::{BTreeMap, VecDeque};

use rampbay_core::{
    ids::{JobId, WorkspaceId},
    job::Class,
};

/// Stride of a workspace with weight 1.
const UNIT_WEIGHT_STRIDE: u64 = 1 << 20;

#[derive(Debug, Clone, Default)]
struct WorkspaceQueue {
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
    queues: BTreeMap<(Class, WorkspaceId), WorkspaceQueue>,
    virtual_time: BTreeMap<Class, u64>,
    len: usize,
}

impl FairQueue {
    /// Adds a job behind the others of its class and workspace.
    pub fn push(&mut self, class: Class, workspace: &WorkspaceId, job: JobId) {
        self.queue(class, workspace).jobs.push_back(job);
        self.len += 1;
    }

    /// Puts a job back before the others of its class and workspace.
    pub fn push_front(&mut self, class: Class, workspace: &WorkspaceId, job: JobId) {
        self.queue(class, workspace).jobs.push_front(job);
        self.len += 1;
    }

    fn queue(&mut self, class: Class, workspace: &WorkspaceId) -> &mut WorkspaceQueue {
        let virtual_time = self.virtual_time.get(&class).copied().unwrap_or(0);
        let queue = self.queues.entry((class, workspace.clone())).or_default();
        if queue.jobs.is_empty() {
            // A workspace gets no credit for the time in which it had no jobs.
            queue.pass = queue.pass.max(virtual_time);
        }
        queue
    }

    /// Removes and returns the next job, given each workspace's weight.
    pub fn pop(&mut self, weight: impl Fn(&WorkspaceId) -> u32) -> Option<JobId> {
        let ((class, workspace), queue) = self
            .queues
            .iter_mut()
            .filter(|(_, queue)| !queue.jobs.is_empty())
            .min_by_key(|((class, _), queue)| (*class, queue.pass))?;
        let job = queue.jobs.pop_front()?;
        self.virtual_time.insert(*class, queue.pass);
        queue.pass += UNIT_WEIGHT_STRIDE / u64::from(weight(workspace).max(1));
        self.len -= 1;
        Some(job)
    }

    /// Removes a job from any position; returns whether it was queued.
    pub fn remove(&mut self, class: Class, workspace: &WorkspaceId, job: &JobId) -> bool {
        let Some(queue) = self.queues.get_mut(&(class, workspace.clone())) else {
            return false;
        };
        let Some(at) = queue.jobs.iter().position(|queued| queued == job) else {
            return false;
        };
        queue.jobs.remove(at);
        self.len -= 1;
        true
    }

    /// Returns the number of jobs of one workspace, over all classes.
    #[must_use]
    pub fn waiting(&self, workspace: &WorkspaceId) -> usize {
        let classes = [Class::Urgent, Class::Normal, Class::Batch];
        let queues =
            classes.iter().filter_map(|class| self.queues.get(&(*class, workspace.clone())));
        queues.map(|queue| queue.jobs.len()).sum()
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
