//! Who may cancel which job, and cancellations that come before their jobs.
//!
//! A caller whose job got no definite answer may cancel it while the job's record is still on its way to the store: a
//! call that got no answer may be carried out seconds later. An entry that doesn't know the job stores an
//! [`EarlyCancel`] before it answers, and the job is cancelled as soon as it is stored.

use serde::{Deserialize, Serialize};

use crate::intake::Admission;
use crate::job::{JobId, QueueName, Submission, WorkspaceName};
use crate::store::Offset;

/// A caller who cancels a job, as its call was admitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Canceller {
    /// Workspace whose key the caller presented; empty on a public queue without a key.
    pub workspace: WorkspaceName,
    /// Queue of the call.
    pub queue: QueueName,
    /// Whether callers of that queue need no key.
    pub is_queue_public: bool,
}

impl Canceller {
    /// Returns whether the caller may cancel a job: any job of its own workspace, and at its queue the jobs that belong to
    /// nobody, or all jobs if the queue is public. A caller may present a key there for one call and none for the next,
    /// and its key may have been removed meanwhile.
    #[must_use]
    pub fn may_cancel(&self, submission: &Submission) -> bool {
        let is_unowned = submission.workspace.is_empty();
        if !is_unowned && self.workspace == submission.workspace {
            return true;
        }
        self.queue == submission.queue && (self.is_queue_public || is_unowned)
    }
}

impl From<&Admission> for Canceller {
    fn from(admission: &Admission) -> Self {
        Self {
            workspace: admission.workspace.clone(),
            queue: admission.queue.name.clone(),
            is_queue_public: admission.queue.public,
        }
    }
}

/// Number of an early cancellation. Of two numbers, the higher one was taken when more of the state had been read.
pub type CancelNumber = u64;

/// Bits of a number that distinguish cancellations of one job that were sent at the same position.
const SALT_BITS: u32 = 20;

/// Returns the number of a cancellation that is sent by a process which has read the state up to `position`.
#[must_use]
pub const fn number_at(position: Offset, salt: u64) -> CancelNumber {
    (position << SALT_BITS) | (salt & ((1 << SALT_BITS) - 1))
}

/// A cancellation of a job that wasn't known when it was sent. It binds the job if its caller may cancel it, whether the
/// job is stored before or after it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlyCancel {
    /// The job.
    pub job: JobId,
    /// Its number, with which its key ends: a removal ends only the cancellation that it was decided for.
    pub number: CancelNumber,
    /// The caller.
    pub canceller: Canceller,
}
