//! What an entry and a side process tell each other about requests, and how a request ends.

use std::fmt;

use bytes::Bytes;
use rampbay_core::ids::{Incarnation, JobId, WorkspaceId};
use serde::{Deserialize, Serialize};

/// One try to run a job; no two attempts of any entry share an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The incarnation of the entry that made it.
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
    /// The workspace that it is for.
    pub workspace: WorkspaceId,
    /// The incarnation of the side process that it is meant for; any other refuses it.
    pub to: Incarnation,
    /// Time after which it must not start any more, from arrival, in milliseconds.
    pub start_within_ms: u64,
    /// Time that the caller still waits, from arrival, in milliseconds.
    pub finish_within_ms: u64,
    /// Every attempt of the sender below this number is settled and must not start.
    pub settled_below: u64,
    /// The caller's opaque body.
    pub body: Bytes,
}

impl Dispatch {
    /// Creates a dispatch with generous times.
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

/// Asks that an attempt doesn't start, or stops if it has.
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

/// What a side process says about a cancelled attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelResult {
    /// It has not started here and never will.
    Tombstoned,
    /// It had started.
    Started,
}

/// Answers a [`Cancel`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelAck {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The incarnation that answers; it speaks for no other.
    pub from: Incarnation,
    /// What became of the attempt here.
    pub result: CancelResult,
}

/// How an attempt ended at a side process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptResult {
    /// The upstream's whole answer.
    Answered(Answer),
    /// Nothing of it reached the upstream, and nothing will.
    NotRun(NotRun),
    /// It reached the upstream, and how far it ran isn't known.
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
    /// How it ended.
    pub result: AttemptResult,
}

/// Says that an attempt was taken in and waits or runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The incarnation that took it in.
    pub from: Incarnation,
}

/// A side process's state, sent at intervals and on every change that matters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The incarnation that reports.
    pub from: Incarnation,
    /// Slots of its upstream.
    pub slots: u32,
    /// Slots in use.
    pub used: u32,
    /// Attempts that wait for a slot.
    pub waiting: u32,
    /// Whether it takes no new work any more.
    pub leaving: bool,
}

/// Why nothing of a request has run. Safe to send again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// The side process has no slot and no room to wait.
    Busy,
    /// The upstream is leaving.
    Leaving,
    /// It was meant for an earlier incarnation of the side process.
    OtherIncarnation,
    /// It was cancelled before it started.
    Cancelled,
    /// Its time to start ran out while it waited.
    Expired,
    /// The upstream refused the connection.
    UpstreamRefused,
    /// The workspace's queue is full.
    QueueFull,
    /// No upstream is known that takes work.
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
    /// The connection broke before the whole answer was there.
    Cut,
    /// The upstream answered with a server error.
    ServerError,
    /// The answer didn't come in time.
    TimedOut,
    /// The answer was larger than is allowed.
    TooLarge,
    /// It was stopped while it ran.
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
    /// The upstream broke off.
    UpstreamFailed,
    /// The deadline passed while it ran.
    DeadlinePassed,
    /// Another entry claimed the same job earlier.
    ClaimedElsewhere,
    /// Its devices were lost while it ran.
    GangLost,
}

/// How a request ends. Exactly one outcome is given for each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer.
    Answered(Answer),
    /// Nothing of it ran; it may be sent again.
    NotRun(NotRun),
    /// It may have run.
    Unknown(Unknown),
}

impl Outcome {
    /// Returns the outcome's word in the callers' interface.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Outcome::Answered(_) => "answered",
            Outcome::NotRun(_) => "not_run",
            Outcome::Unknown(_) => "unknown",
        }
    }
}
