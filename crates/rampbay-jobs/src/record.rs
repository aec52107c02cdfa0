//! The records in the store, each under a key. The newest record of a key counts.

use serde::{Deserialize, Serialize};

use crate::cancel::EarlyCancel;
use crate::drained::DrainedDomains;
use crate::job::{
    Checkpoint, EpochMillis, InstanceId, JobId, NodeName, Resources, ServiceName, Submission,
    TaskId,
};
use crate::keys::{
    TIMERS_KEY, cancel_key, early_cancel_key, end_key, eviction_key, life_key, losses_key,
    part_key, plan_key, registrations_end_key, split_number, stop_key, suspicion_key,
    unanswered_key, upkeep_key, worker_key,
};
use crate::losses::{IncarnationEnd, JobLosses};
use crate::outlook::{OUTLOOK_KEY, Outlook};
use crate::plan::{JobPlan, TaskPlan};
use crate::registrations::RegistrationNumber;
use crate::upkeep::record::WaveProgress;

/// Topic of the state, which must be durable.
pub const STATE_TOPIC: &str = "keyed.rampbay";
/// Topic of the workers' progress, which only planners read.
pub const PROGRESS_TOPIC: &str = "keyed.progress";

/// Why a run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// The run has done its work.
    Done,
    /// The run failed, by its own fault or its worker's.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The run's lease expired, or its worker is gone.
    Lapsed,
    /// Another member of the run's gang ended.
    Broken,
    /// The run waited too long for the other members of its gang.
    Alone,
    /// The run never started.
    NotStarted,
}

impl EndReason {
    /// Returns the label of the reason in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
            Self::NotStarted => "not_started",
        }
    }
}

/// The end of a run, as the agent of its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub attempt: u32,
    /// Why the run has ended.
    pub reason: EndReason,
    /// Progress that the run saved.
    pub checkpoint: Checkpoint,
    /// The worker.
    pub instance: InstanceId,
}

/// A start that got no answer. It may still be carried out for a while, also by a later incarnation of the worker
/// under the same id that hasn't received an order of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnansweredStart {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub attempt: u32,
    /// The incarnation that certainly rejects the start. The task may be started there, and nowhere else: should that
    /// incarnation end, the new run ends with it before the old start can be carried out.
    pub instance: InstanceId,
    /// Address of that incarnation, `IP:PORT`.
    pub address: String,
    /// Time for which the start may still be carried out, or its run go on, counted from this record, in milliseconds.
    pub remaining_ms: u64,
}

/// The stop of an agent's process. The process renews no lease and orders no start any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStop {
    /// The worker.
    pub instance: InstanceId,
    /// Time after which all leases that the process ordered have ended, and none of its starts can be carried out any
    /// more, counted from this record, in milliseconds.
    pub remaining_ms: u64,
}

/// The time that a leader has waited for something.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTimer {
    /// What is waited for.
    pub name: String,
    /// Time that had elapsed when the record was written, in milliseconds.
    pub elapsed_ms: u64,
}

/// A worker, as its agent knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Name of its agent.
    pub node: NodeName,
    /// Its service.
    pub service: ServiceName,
    /// Where its agent calls it, `IP:PORT`.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its total resources, free or in use.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Earliest time at which a draining worker leaves; 0 if it isn't draining.
    pub leaves_at: EpochMillis,
    /// Whether the worker has announced that it ends now. Its leases are never renewed again.
    pub departed: bool,
    /// Whether the worker may be suspected: its agent renews no lease meanwhile, as agents of earlier releases do, and no
    /// other incarnation can come under its id and carry out a late start after it was given up.
    pub may_be_suspected: bool,
}

impl WorkerRecord {
    /// Returns the rack, the second label.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.labels.get(1).map_or("", String::as_str)
    }
}

/// A record of [`STATE_TOPIC`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A job was accepted.
    Submitted(#[serde(with = "crate::job::stored")] Box<Submission>),
    /// A job was cancelled by a caller whose entry knew it.
    Cancelled(JobId),
    /// The plan of a job; wide steps are empty.
    Plan(JobId, Box<JobPlan>),
    /// A run has ended; the planner removes the record once the job's plan includes the end.
    Ended(Box<RunEnd>),
    /// A worker is registered.
    Worker(InstanceId, Box<WorkerRecord>),
    /// A worker's runs are given up; its agent may not renew their leases.
    Evicted(InstanceId),
    /// Which process leads, under which epoch.
    Leader(Leader),
    /// A process that peers can reach.
    Member(Member),
    /// The failure domains in which nothing is started.
    Drained(DrainedDomains),
    /// A worker's registrations up to this number have ended, also those that are appended later.
    Over(InstanceId, RegistrationNumber),
    /// How an incarnation of a worker ended; kept as long as the end of its registrations.
    LifeOver(InstanceId, Box<IncarnationEnd>),
    /// The runs of a job that were lost with their workers.
    Losses(JobId, Box<JobLosses>),
    /// The plans of tasks of a wide step, from this task on.
    Part(TaskId, Vec<TaskPlan>),
    /// A start got no answer; the planner removes the record once the start can't be carried out any more.
    Unanswered(Box<UnansweredStart>),
    /// What has been done of a wave of machine maintenance.
    Upkeep(Box<WaveProgress>),
    /// What the leader expects of the fleet.
    Outlook(Box<Outlook>),
    /// The agent's process that registered a worker has stopped. The record is in force until another process registers
    /// the worker.
    Stopped(AgentStop),
    /// A worker's agent is silent; it renews no lease before it has registered the worker anew.
    Suspected(InstanceId),
    /// The times that the leader has waited for things that can't happen any more after a while.
    Timers(Vec<StoredTimer>),
    /// A job was cancelled by a caller whose entry didn't know it.
    EarlyCancel(Box<EarlyCancel>),
}

/// The process that leads, and runs the planner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// Name of the process.
    pub node: NodeName,
    /// Its epoch, which is the fencing token of its orders.
    pub epoch: u64,
}

/// A process that peers can reach.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub node: NodeName,
    /// Where peers reach it, `IP:PORT`.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it passes on the records that it follows.
    pub passes_on: bool,
    /// Bandwidth of its machine's link, in megabits a second; 0 if it isn't known.
    pub link_mbps: u32,
    /// Processor power of its machine, in thousandths of a core; 0 if it isn't known.
    pub cpu_milli: u32,
}

/// Minimum bandwidth of a machine that serves many others, in megabits a second: all records for eight entries can fill a
/// link of 10 Mbit/s.
const WELL_PROVISIONED_LINK_MBPS: u32 = 100;
/// Minimum processor power of a machine that serves many others, in thousandths of a core: every entry
/// on the smallest sites has as much, and a leader of 240 workers lags by a second with half of it.
const WELL_PROVISIONED_CPU_MILLI: u32 = 250;

impl Member {
    /// Returns whether the machine has the bandwidth and processor power to lead, and to pass records
    /// on to many others.
    #[must_use]
    pub const fn is_well_provisioned(&self) -> bool {
        self.link_mbps >= WELL_PROVISIONED_LINK_MBPS && self.cpu_milli >= WELL_PROVISIONED_CPU_MILLI
    }

    /// Returns whether the process passes records on, and its machine can serve many others.
    #[must_use]
    pub const fn is_well_provisioned_relay(&self) -> bool {
        self.passes_on && self.is_well_provisioned()
    }
}

/// Progress of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunProgress {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub attempt: u32,
    /// Progress, 0 to 100.
    pub percent: u32,
    /// How long the agent had seen the run running when it reached this progress, in milliseconds.
    pub ran_ms: u64,
    /// Checkpoint that the run saved last.
    pub checkpoint: Checkpoint,
}

/// A record of [`PROGRESS_TOPIC`], under the worker's id: what an agent observes of its worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressReport {
    /// How long the worker hasn't answered, in milliseconds.
    pub silent_ms: u64,
    /// All runs at the worker.
    pub runs: Vec<RunProgress>,
}

/// A key and the bytes under it; no bytes removes the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value; empty to remove the key.
    pub value: Vec<u8>,
}

impl KeyedRecord {
    /// Returns the size of key and value, in bytes.
    #[must_use]
    pub const fn size(&self) -> usize {
        self.key.len() + self.value.len()
    }
}

/// Errors of decoding a record.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The bytes aren't a record.
    #[error("a record under the key {key} can't be read: {source}")]
    Unreadable {
        /// The key.
        key: String,
        /// The decoding error.
        source: postcard::Error,
    },
    /// The bytes are a record that belongs under another key.
    #[error("a record under the key {key} belongs under {own}")]
    Misplaced {
        /// The key.
        key: String,
        /// The key under which the record belongs.
        own: String,
    },
}

impl Record {
    /// Returns the key under which the record is kept, without the number that the keys of registrations, refusals,
    /// evictions, stops and suspicions end with.
    #[must_use]
    pub fn key(&self) -> String {
        match self {
            Self::Submitted(submission) => format!("job/{}", submission.id),
            Self::Cancelled(job) => cancel_key(job),
            Self::Plan(job, _) => plan_key(job),
            Self::Ended(end) => end_key(end),
            Self::Worker(instance, _) => worker_key(instance, 0),
            Self::Evicted(instance) => eviction_key(instance, 0),
            Self::Leader(_) => "leader".to_owned(),
            Self::Member(member) => format!("member/{}", member.node),
            Self::Drained(_) => "drained".to_owned(),
            Self::Over(instance, _) => registrations_end_key(instance),
            Self::LifeOver(instance, _) => life_key(instance),
            Self::Losses(job, _) => losses_key(job),
            Self::Part(first, _) => part_key(first),
            Self::Unanswered(start) => unanswered_key(&start.task, start.attempt),
            Self::Upkeep(progress) => upkeep_key(progress.wave),
            Self::Outlook(_) => OUTLOOK_KEY.to_owned(),
            Self::Stopped(stop) => stop_key(&stop.instance, 0),
            Self::Suspected(instance) => suspicion_key(instance, 0),
            Self::Timers(_) => TIMERS_KEY.to_owned(),
            Self::EarlyCancel(cancel) => early_cancel_key(&cancel.job, cancel.number),
        }
    }

    /// Encodes the record with its key.
    #[must_use]
    pub fn encode(&self) -> KeyedRecord {
        KeyedRecord { key: self.key(), value: encode(self) }
    }

    /// Decodes the value under a key.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes aren't a record that belongs under the key. Bytes of another writer may decode to
    /// a record by chance, but hardly to one that belongs under this key.
    pub fn decode(record: &KeyedRecord) -> Result<Self, RecordError> {
        let key = &record.key;
        let value = Self::decode_value(record)
            .map_err(|source| RecordError::Unreadable { key: key.clone(), source })?;
        let own = value.key();
        let may_be_numbered = matches!(
            value,
            Self::Worker(..)
                | Self::Ended(_)
                | Self::Evicted(_)
                | Self::Stopped(_)
                | Self::Suspected(_)
        );
        let is_numbered = |base: &str| base == own && may_be_numbered;
        if *key == own || is_numbered(split_number(key).0) {
            return Ok(value);
        }
        Err(RecordError::Misplaced { key: key.clone(), own })
    }

    fn decode_value(record: &KeyedRecord) -> Result<Self, postcard::Error> {
        let decoded = postcard::from_bytes(&record.value);
        if decoded.is_ok() || !record.key.starts_with("worker/") {
            return decoded;
        }
        // Registrations by earlier releases end before `may_be_suspected`.
        let with_last_field = [record.value.as_slice(), &[0]].concat();
        postcard::from_bytes(&with_last_field).or(decoded)
    }
}

/// Returns a record that removes `key`.
#[must_use]
pub const fn removal(key: String) -> KeyedRecord {
    KeyedRecord { key, value: Vec::new() }
}

/// Encodes a value of this module.
///
/// # Panics
///
/// Doesn't panic: these types have no part that can't be encoded.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).expect("records can be encoded")
}
