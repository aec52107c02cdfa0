//! Interface between an agent and its worker.

use std::time::Duration;

use async_trait::async_trait;

use crate::fencing::FencingToken;
use crate::job::{Checkpoint, InstanceId, TaskId};
use crate::record::{EndReason, RunProgress};

/// Milliseconds of a worker's own monotonic clock.
pub type WorkerMillis = u64;

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Payload that is passed to the task.
    pub payload: String,
    /// Time at which the leases of all runs at the worker end, by the worker's clock.
    pub lease_until: WorkerMillis,
    /// Fencing token of the order.
    pub fencing_token: FencingToken,
    /// Checkpoint to continue from.
    pub checkpoint: Checkpoint,
}

/// An order to stop a run.
#[derive(Clone, Debug)]
pub struct StopOrder {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Fencing token of the order.
    pub fencing_token: FencingToken,
}

/// A call that renews leases, acknowledges ends, and lists runs and ends.
#[derive(Clone, Copy, Debug)]
pub struct RenewOrder {
    /// Time at which the leases of all runs at the worker end, by the worker's clock; `None` renews
    /// no lease.
    pub lease_until: Option<WorkerMillis>,
    /// Fencing token of the order.
    pub fencing_token: FencingToken,
    /// Number of the last listed end that the store holds; the worker may forget ends up to it.
    pub last_seen: u64,
    /// How long the worker may wait for a new end before it answers.
    pub wait: Duration,
}

/// Why a worker certainly did not start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// This attempt, or a later one, has ended at the worker.
    Superseded,
    /// The lease had already ended when the order arrived.
    Late,
    /// The worker has too little free capacity.
    NoRoom,
    /// The worker is unhealthy, or doesn't know the order.
    Unhealthy,
}

/// Why a call to a worker got no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WorkerError {
    /// Another incarnation of the worker answered, so the intended one has ended. Holds the id of
    /// the one that answered, if its answer contains it.
    #[error("another incarnation of the worker answered")]
    OtherLife(Option<InstanceId>),
    /// No answer arrived; the order may still be carried out.
    #[error("no answer from the worker")]
    NoAnswer,
    /// The worker's address refuses connections.
    #[error("connection refused at the worker's address")]
    Refused,
}

/// Outcome of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Started {
    /// The worker has the run.
    Yes,
    /// The order never starts the run.
    No(Refusal),
}

/// The end of a run, as its worker lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEnd {
    /// Number of the end at this incarnation of the worker, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Why the run ended.
    pub reason: EndReason,
    /// The checkpoint that the run saved last.
    pub checkpoint: Checkpoint,
}

/// A worker's list of running and ended runs.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The worker's clock when it answered.
    pub clock: WorkerMillis,
    /// The running tasks.
    pub running: Vec<RunProgress>,
    /// Ends with numbers above the one last seen.
    pub ended: Vec<ListedEnd>,
}

/// State of a run after its stop, by the list of the incarnation that answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoppedRun {
    /// The run may go on, or its end may not be listed yet.
    Unsettled,
    /// The run has ended.
    Ended(ListedEnd),
    /// The run never started there, and never will.
    NotThere,
}

impl StoppedRun {
    /// Returns the state of a run by a list that was requested after its stop was answered. `max_ends` is the number of
    /// ends that the worker lists at most.
    #[must_use]
    pub fn from_listing(order: &StopOrder, listing: Listing, max_ends: usize) -> Self {
        let is_running = listing
            .running
            .iter()
            .any(|run| run.task == order.task && run.attempt == order.attempt);
        let is_cut_off = listing.ended.len() >= max_ends;
        let mut ends = listing.ended.into_iter();
        let end = ends.find(|end| end.task == order.task && end.attempt == order.attempt);
        match end {
            _ if is_running => Self::Unsettled,
            Some(end) => Self::Ended(end),
            None if is_cut_off => Self::Unsettled,
            None => Self::NotThere,
        }
    }
}

/// Maximum length of a checkpoint, in bytes. A longer one isn't kept: its task would start anew, and the records with
/// it would be too large for the store.
pub const MAX_CHECKPOINT_BYTES: usize = 2048;

/// Returns a checkpoint if it isn't too long to be kept; otherwise an empty one.
#[must_use]
pub fn checkpoint_to_keep(checkpoint: &str) -> &str {
    if checkpoint.len() <= MAX_CHECKPOINT_BYTES { checkpoint } else { "" }
}

/// One incarnation of a worker.
#[async_trait(?Send)]
pub trait Worker {
    /// Orders a start.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came or another incarnation answered.
    async fn start(&self, order: &StartOrder) -> Result<Started, WorkerError>;

    /// Stops a run at whichever incarnation answers at the worker's address, and then reads that
    /// incarnation's list: an order meant for the previous incarnation may have been carried out by
    /// the next one, if both share an id. The default implementation is for workers that carry out an
    /// order only in the incarnation that it is meant for: there is nothing to stop then.
    ///
    /// # Errors
    ///
    /// Returns an error if the stop or the list got no answer.
    async fn stop_in_any_incarnation(&self, _order: &StopOrder) -> Result<StoppedRun, WorkerError> {
        Ok(StoppedRun::NotThere)
    }

    /// Orders a stop. Once the stop is answered, the run ends, or never starts if it hasn't
    /// started.
    async fn stop(&self, order: &StopOrder) -> Result<(), WorkerError>;

    /// Renews leases, acknowledges ends, and returns the worker's list of runs.
    async fn renew(&self, order: &RenewOrder) -> Result<Listing, WorkerError>;
}
