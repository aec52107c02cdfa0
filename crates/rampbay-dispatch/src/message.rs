//! Messages between an entry and a side process about requests, and the outcomes of requests.

use std::fmt;

use bytes::Bytes;
use rampbay_core::ids::{Incarnation, JobId, WorkspaceId};
use serde::{Deserialize, Serialize};

/// One try to run a job; no two attempts of any entry share an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The incarnation of the entry that made the attempt.
    pub entry: Incarnation,
    /// Counts up from 1 within that incarnation.
    pub number: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}.{}", self.entry, self.number)
    }
}

/// Asks a side process to run a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The workspace that the job belongs to.
    pub workspace: WorkspaceId,
    /// The incarnation of the side process that the dispatch is meant for; any other refuses it.
    pub to: Incarnation,
    /// Time from the dispatch's arrival after which the attempt must not start any more, in
    /// milliseconds.
    pub start_within_ms: u64,
    /// Time from the dispatch's arrival for which the caller still waits, in milliseconds.
    pub finish_within_ms: u64,
    /// Every attempt of the sender below this number is settled and must not start.
    pub settled_below: u64,
    /// The caller's opaque body.
    pub body: Bytes,
}

impl Dispatch {
    /// Creates a dispatch of the workspace `default` that may start and finish within a minute.
    #[must_use]
    pub fn new(
        job: impl Into<JobId>,
        attempt: AttemptId,
        to: Incarnation,
        body: impl Into<Bytes>,
    ) -> Self {
        const MINUTE_MS: u64 = 60_000;
        Self {
            job: job.into(),
            attempt,
            workspace: "default".into(),
            to,
            start_within_ms: MINUTE_MS,
            finish_within_ms: MINUTE_MS,
            settled_below: 0,
            body: body.into(),
        }
    }
}

/// Asks a side process not to start an attempt, or to stop it if it has started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The incarnation that the dispatch was meant for.
    pub to: Incarnation,
    /// Every attempt of the sender below this number is settled and must not start.
    pub settled_below: u64,
}

/// What a side process reports about a cancelled attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelResult {
    /// The attempt has not started in this incarnation and never will.
    Tombstoned,
    /// The attempt had started.
    Started,
}

/// Answers a [`Cancel`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelAck {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The incarnation that answers; the answer holds for no other incarnation.
    pub from: Incarnation,
    /// What became of the attempt in this incarnation.
    pub result: CancelResult,
}

/// How an attempt ended at a side process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptResult {
    /// The upstream's whole answer.
    Answered(Answer),
    /// Nothing of the attempt reached the upstream, and nothing will.
    NotRun(NotRun),
    /// The attempt reached the upstream, and how far it ran isn't known.
    Failed(Failure),
}

/// An upstream's whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status that the upstream gave.
    pub status: u16,
    /// The whole body.
    pub body: Bytes,
}

/// Reports how an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The incarnation that reports.
    pub from: Incarnation,
    /// How the attempt ended.
    pub result: AttemptResult,
}

/// Reports that an attempt was accepted and waits or runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The incarnation that accepted the attempt.
    pub from: Incarnation,
}

/// A side process's state, sent at intervals and on every change that matters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The incarnation that reports.
    pub from: Incarnation,
    /// Slots of the side process's upstream.
    pub slots: u32,
    /// Slots in use.
    pub used: u32,
    /// Attempts that wait for a slot.
    pub waiting: u32,
    /// Whether the side process accepts no new work any more.
    pub leaving: bool,
}

/// Why nothing of a request has run. The request can safely be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// The side process has no free slot, and its queue is full.
    Busy,
    /// The upstream is leaving.
    Leaving,
    /// The attempt was meant for another incarnation of the side process.
    OtherIncarnation,
    /// The request was cancelled before it started.
    Cancelled,
    /// The request's time to start ran out while it waited.
    Expired,
    /// The upstream refused the connection.
    UpstreamRefused,
    /// The workspace's queue is full.
    QueueFull,
    /// No known upstream accepts work.
    NoUpstream,
    /// The entry is stopping.
    Stopping,
    /// The log can't be reached to claim work that must run at most once.
    ClaimUnavailable,
    /// A gang could not be placed before the deadline.
    NotPlaced,
    /// Work that can't be stopped doesn't fit into its workspace's guarantee.
    BeyondGuarantee,
    /// The entry has no table yet.
    NoTable,
}

/// Why an attempt that reached the upstream has no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The connection broke before the whole answer was received.
    Cut,
    /// The upstream answered with a server error.
    ServerError,
    /// The answer didn't come in time.
    TimedOut,
    /// The answer was larger than is allowed.
    TooLarge,
    /// The attempt was stopped while it ran.
    Stopped,
}

/// Why it isn't known whether a request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unknown {
    /// The side process can't be reached.
    SideUnreachable,
    /// The side process was restarted meanwhile.
    SideRestarted,
    /// The attempt reached the upstream and failed there.
    UpstreamFailed,
    /// The deadline passed while the request may have been running.
    DeadlinePassed,
    /// Another entry claimed the same job earlier.
    ClaimedElsewhere,
    /// The gang's devices were lost while it ran.
    GangLost,
}

/// How a request ends. Exactly one outcome is given for each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer.
    Answered(Answer),
    /// Nothing of the request ran; it may be sent again.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(Unknown),
}

impl Outcome {
    /// Returns the outcome's name in the callers' interface.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Outcome::Answered(_) => "answered",
            Outcome::NotRun(_) => "not_run",
            Outcome::Unknown(_) => "unknown",
        }
    }
}
