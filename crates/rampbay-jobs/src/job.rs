//! What a caller submits: a job of steps, each a number of equal tasks.

use serde::{Deserialize, Serialize};

pub mod stored;

/// Number of objectives after which a caller no longer wants a job's result.
pub const USEFUL_OBJECTIVES: u64 = 3;

/// Identifies a job; chosen by its caller, 16 hexadecimal digits.
pub type JobId = String;
/// Identifies one incarnation of a worker process.
pub type InstanceId = String;
/// Name of a process of rampbay.
pub type NodeName = String;
/// Name of a failure domain: machines that may be lost together.
pub type FailureDomain = String;
/// Name of a workspace, the owner of a guarantee.
pub type WorkspaceName = String;
/// Name of a queue, the route through which jobs come.
pub type QueueName = String;
/// Name of a service, the pool of workers that runs a queue's tasks.
pub type ServiceName = String;
/// Milliseconds since the Unix epoch, by the clock of the process that read them.
pub type EpochMillis = u64;
/// Progress that a task has saved; opaque, empty if there is none.
pub type Checkpoint = String;

/// Resources that one task holds, or that a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu_milli: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub devices: u64,
}

/// Processor cores that one accelerator is worth when lost work is compared.
pub const CORES_PER_DEVICE: u64 = 8;

impl Resources {
    /// Returns whether `demand` fits into these resources.
    #[must_use]
    pub const fn fits(&self, demand: &Self) -> bool {
        self.cpu_milli >= demand.cpu_milli
            && self.memory_mb >= demand.memory_mb
            && self.devices >= demand.devices
    }

    /// Returns how many times `demand` fits into these resources.
    #[must_use]
    pub fn count_of(&self, demand: &Self) -> u32 {
        let times = |available: u64, each: u64| available.checked_div(each).unwrap_or(u64::MAX);
        let count = times(self.cpu_milli, demand.cpu_milli)
            .min(times(self.memory_mb, demand.memory_mb))
            .min(times(self.devices, demand.devices));
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Subtracts `demand`, saturating at zero.
    pub const fn take(&mut self, demand: &Self) {
        self.cpu_milli = self.cpu_milli.saturating_sub(demand.cpu_milli);
        self.memory_mb = self.memory_mb.saturating_sub(demand.memory_mb);
        self.devices = self.devices.saturating_sub(demand.devices);
    }

    /// Returns what these resources lack of `demand`.
    #[must_use]
    pub const fn missing_for(&self, demand: &Self) -> Self {
        Self {
            cpu_milli: demand.cpu_milli.saturating_sub(self.cpu_milli),
            memory_mb: demand.memory_mb.saturating_sub(self.memory_mb),
            devices: demand.devices.saturating_sub(self.devices),
        }
    }

    /// Adds the part of `demand` that exceeds `owed`, and subtracts `demand` from `owed`.
    pub const fn give_net_of(&mut self, demand: &Self, owed: &mut Self) {
        let mut excess = *demand;
        excess.take(owed);
        owed.take(demand);
        self.give(&excess);
    }

    /// Adds `demand`.
    pub const fn give(&mut self, demand: &Self) {
        self.cpu_milli += demand.cpu_milli;
        self.memory_mb += demand.memory_mb;
        self.devices += demand.devices;
    }

    /// Returns a single weight in thousandths of a core, an accelerator counted as
    /// [`CORES_PER_DEVICE`] cores.
    #[must_use]
    pub const fn weight(&self) -> u64 {
        self.cpu_milli + self.devices * CORES_PER_DEVICE * 1000
    }
}

/// One step of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of its tasks.
    pub count: u32,
    /// Resources that each task holds.
    pub demand: Resources,
    /// The caller's estimate of a task's duration, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps that must be done before this one starts, numbered from 0.
    pub depends_on: Vec<u32>,
    /// Whether its tasks save their progress.
    pub checkpointing: bool,
    /// Whether its tasks form a gang, which works only as a whole.
    pub gang: bool,
    /// Whether its tasks slow each other down when spread over racks.
    pub same_rack: bool,
    /// Label that a worker must have; empty for none.
    pub required_label: String,
    /// Rack that holds its data; empty for none.
    pub data_rack: String,
    /// Maximum number of its tasks on one worker; 0 for no limit.
    pub max_per_worker: u32,
    /// Whether its tasks run until the job is cancelled.
    pub long_running: bool,
    /// Whether its tasks use only processor time that other tasks leave idle.
    pub fills: bool,
    /// Number of its long-running tasks that may be away at once by the system's doing; `None` for no limit. It is stored
    /// after the job, by [`stored`].
    #[serde(skip)]
    pub optional: Option<u32>,
}

impl Step {
    /// Returns what one of its tasks takes of a worker's capacity.
    #[must_use]
    pub const fn charge(&self) -> Resources {
        let cpu_milli = if self.fills { 0 } else { self.demand.cpu_milli };
        Resources { cpu_milli, ..self.demand }
    }
}

/// A job as it was accepted, with the settings of its queue at that time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The caller's id of the job.
    pub id: JobId,
    /// Workspace whose key the caller presented; empty on a public queue.
    pub workspace: WorkspaceName,
    /// Queue that accepted the job.
    pub queue: QueueName,
    /// Service whose workers run it.
    pub service: ServiceName,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task, or of a gang, after which the job has failed.
    pub attempts: u32,
    /// Factor on the longest chain of dependent steps in the objective, in thousandths.
    pub stretch_permille: u64,
    /// Time added to the objective, in milliseconds.
    pub target_ms: u64,
    /// Text passed to each task.
    pub payload: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// When the first occurrence is due; 0 if the job isn't timed.
    pub first_run_ms: EpochMillis,
    /// Time between occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences; 0 if the job isn't timed.
    pub occurrences: u32,
    /// When it was accepted.
    pub submitted_at: EpochMillis,
}

impl Submission {
    /// Returns about how much memory the job takes, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let step = |step: &Step| {
            let texts = step.required_label.len() + step.data_rack.len();
            size_of::<Step>() + size_of_val(step.depends_on.as_slice()) + texts
        };
        size_of::<Self>() + self.payload.len() + self.steps.iter().map(step).sum::<usize>()
    }

    /// Returns how many times the steps are run.
    #[must_use]
    pub fn occurrence_count(&self) -> u32 {
        self.occurrences.max(1)
    }

    /// Returns when occurrence `number` may start.
    #[must_use]
    pub fn due_at(&self, number: u32) -> EpochMillis {
        if self.occurrences == 0 {
            return self.submitted_at;
        }
        self.first_run_ms + self.interval_ms * u64::from(number)
    }

    /// Returns whether the job is timed: its occurrences are due at set times.
    #[must_use]
    pub fn is_timed(&self) -> bool {
        self.occurrences > 0
    }

    /// Returns the longest chain of dependent steps by the caller's estimates, in milliseconds.
    #[must_use]
    pub fn chain_ms(&self) -> u64 {
        let estimates: Vec<u64> = self.steps.iter().map(|step| step.estimate_ms).collect();
        self.chains_ms(&estimates).into_iter().max().unwrap_or(0)
    }

    /// Returns the longest chain of dependent steps that begins with each step, in milliseconds,
    /// given how long each step takes.
    #[must_use]
    pub fn chains_ms(&self, durations: &[u64]) -> Vec<u64> {
        let mut chains = durations.to_vec();
        let mut longest_after = vec![0; chains.len()];
        for (index, step) in self.steps.iter().enumerate().rev() {
            chains[index] += longest_after[index];
            for &earlier in &step.depends_on {
                if let Some(after) = longest_after.get_mut(earlier as usize) {
                    *after = chains[index].max(*after);
                }
            }
        }
        chains
    }

    /// Returns the time in which an occurrence should end, given its longest chain of steps, both in
    /// milliseconds.
    #[must_use]
    pub fn objective_ms(&self, longest_chain_ms: u64) -> u64 {
        longest_chain_ms * self.stretch_permille.max(1000) / 1000 + self.target_ms
    }

    /// Returns the time by which occurrence `number` should end, by the caller's estimates.
    #[must_use]
    pub fn objective_at(&self, number: u32) -> EpochMillis {
        self.due_at(number) + self.objective_ms(self.chain_ms())
    }

    /// Returns the accelerators that the first step holds.
    #[must_use]
    pub fn first_step_devices(&self) -> u64 {
        self.steps.first().map_or(0, |step| u64::from(step.count) * step.demand.devices)
    }
}

/// Names one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
    /// Index in its step, from 0.
    pub index: u32,
}

impl std::fmt::Display for TaskId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// A text that doesn't name a task.
#[derive(Debug, thiserror::Error)]
#[error("not the name of a task: {0}")]
pub struct TaskIdError(String);

impl std::str::FromStr for TaskId {
    type Err = TaskIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || TaskIdError(text.to_owned());
        let mut parts = text.split('.');
        let job = parts.next().filter(|job| !job.is_empty()).ok_or_else(error)?.to_owned();
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or_else(error);
        let (occurrence, step, index) = (number()?, number()?, number()?);
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(Self { job, occurrence, step, index })
    }
}
