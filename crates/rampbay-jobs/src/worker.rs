//! Border to the worker beside an agent.

use std::time::Duration;

use async_trait::async_trait;

use crate::fencing::FencingToken;
use crate::job::{Checkpoint, InstanceId, TaskId};
use crate::record::{EndReason, RunProgress};

/// Milliseconds of a worker's own steady clock.
pub type WorkerMillis = u64;

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub attempt: u32,
    /// Text for the task.
    pub payload: String,
    /// Until when everything at the worker is leased.
    pub lease_until: WorkerMillis,
    /// Fencing token.
    pub fencing_token: FencingToken,
    /// What to continue from.
    pub checkpoint: Checkpoint,
}

/// An order to stop a run.
#[derive(Clone, Debug)]
pub struct StopOrder {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub attempt: u32,
    /// Fencing token.
    pub fencing_token: FencingToken,
}

/// A call that renews leases and lists runs and ends.
#[derive(Clone, Copy, Debug)]
pub struct RenewOrder {
    /// Until when everything at the worker is leased; `None` only looks.
    pub lease_until: Option<WorkerMillis>,
    /// Fencing token.
    pub fencing_token: FencingToken,
    /// Number of the last end that is kept in the store.
    pub last_seen: u64,
    /// How long the worker waits for a new end.
    pub wait: Duration,
}

/// Why a worker did not start a run, with certainty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A higher fencing token was there.
    Fenced,
    /// The run, or a later one, has ended there.
    Superseded,
    /// The lease had already ended.
    Late,
    /// It doesn't fit.
    NoRoom,
    /// The worker isn't well, or doesn't know the order.
    Unhealthy,
}

/// Why a call to a worker has no answer of use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WorkerError {
    /// Another life of the worker answered, with its name if it told that: the intended one is over.
    #[error("another life of the worker answered")]
    OtherLife(Option<InstanceId>),
    /// No answer; the order may still be carried out.
    #[error("no answer from the worker")]
    NoAnswer,
    /// Nobody listens at the worker's address.
    #[error("nobody listens at the worker's address")]
    Refused,
}

/// Outcome of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Started {
    /// The run is there.
    Yes,
    /// It never starts by this order.
    No(Refusal),
}

/// An end that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEnd {
    /// Its number at this life of the worker, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub attempt: u32,
    /// Why it ended.
    pub reason: EndReason,
    /// What it saved.
    pub checkpoint: Checkpoint,
}

/// What a worker lists.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Its clock.
    pub clock: WorkerMillis,
    /// What runs.
    pub running: Vec<RunProgress>,
    /// Ends above the number last seen.
    pub ended: Vec<ListedEnd>,
}

/// One life of a worker.
#[async_trait(?Send)]
pub trait Worker {
    /// Orders a start.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came or another life answered.
    async fn start(&self, order: &StartOrder) -> Result<Started, WorkerError>;

    /// Ends a run at whichever life answers at the worker's address: an order that was meant for the life before may
    /// have been carried out by the next one, where that goes by the same name. Returns whether it is surely over, or never
    /// starts. Lives that no order can mix up have nothing to end.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    async fn stop_in_any_incarnation(&self, _order: &StopOrder) -> Result<bool, WorkerError> {
        Ok(true)
    }

    /// Orders a stop. Once it is answered, the run ends, and never starts if it hasn't.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came or another life answered.
    async fn stop(&self, order: &StopOrder) -> Result<(), WorkerError>;

    /// Renews leases and looks.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came or another life answered.
    async fn renew(&self, order: &RenewOrder) -> Result<Listing, WorkerError>;
}
