//! What a caller asks for: a job, its class, and the gang that it needs.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{JobId, WorkspaceId};

/// How urgent a job is. The order is the order of service.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Starts within 1.5 s when its workspace's guarantee or limits allow it.
    Urgent,
    /// The usual class.
    #[default]
    Normal,
    /// The first to yield its devices.
    Batch,
}

/// How close a gang's devices must be.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// All on one worker.
    Worker,
    /// All in one rack.
    #[default]
    Rack,
    /// All in one failure domain.
    FailureDomain,
    /// Anywhere.
    Any,
}

/// The gang of accelerators that a job holds while it runs: all of them or none.
///
/// ```
/// use rampbay_core::job::{Adjacency, GangSpec};
/// let gang = GangSpec::new(16).min_devices(8).adjacency(Adjacency::Rack);
/// assert_eq!(gang.min_devices, Some(8));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GangSpec {
    /// Number of devices, at least 1.
    pub devices: u32,
    /// Smallest number of devices that the gang may shrink to; absent means it can't shrink.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub min_devices: Option<u32>,
    /// How close the devices must be.
    #[serde(default)]
    pub adjacency: Adjacency,
    /// Processor cores for each device.
    #[serde(default)]
    pub cores_per_device: u32,
    /// Memory for each device, in MiB.
    #[serde(default)]
    pub memory_mib_per_device: u32,
    /// Whether the work can be checkpointed and resumed later.
    #[serde(default)]
    pub checkpointable: bool,
    /// How long the caller expects the work to run, in milliseconds; a hint for backfill.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_ms: Option<u64>,
}

impl GangSpec {
    /// Creates a gang of `devices` within one rack.
    #[must_use]
    pub fn new(devices: u32) -> Self {
        Self {
            devices,
            min_devices: None,
            adjacency: Adjacency::Rack,
            cores_per_device: 0,
            memory_mib_per_device: 0,
            checkpointable: false,
            expected_ms: None,
        }
    }

    /// Sets the smallest number of devices that the gang may shrink to.
    #[must_use]
    pub const fn min_devices(mut self, devices: u32) -> Self {
        self.min_devices = Some(devices);
        self
    }

    /// Sets how close the devices must be.
    #[must_use]
    pub const fn adjacency(mut self, adjacency: Adjacency) -> Self {
        self.adjacency = adjacency;
        self
    }

    /// Sets whether the work can be checkpointed.
    #[must_use]
    pub const fn checkpointable(mut self, checkpointable: bool) -> Self {
        self.checkpointable = checkpointable;
        self
    }

    /// Sets the expected run time.
    #[must_use]
    pub fn expected(mut self, run: Duration) -> Self {
        self.expected_ms = Some(u64::try_from(run.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Returns the expected run time, if the caller gave one.
    #[must_use]
    pub fn expected_run(&self) -> Option<Duration> {
        self.expected_ms.map(Duration::from_millis)
    }

    /// Returns the fewest devices that the gang can run with.
    #[must_use]
    pub fn smallest(&self) -> u32 {
        self.min_devices.unwrap_or(self.devices).min(self.devices)
    }
}

/// One caller's request, without its opaque body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The caller's id of the request.
    pub id: JobId,
    /// The workspace that it is for.
    pub workspace: WorkspaceId,
    /// How urgent it is.
    #[serde(default)]
    pub class: Class,
    /// Whether it may run more than once.
    #[serde(default = "default_true")]
    pub repeatable: bool,
    /// Whether it may be stopped for the owner of borrowed devices although it isn't repeatable.
    #[serde(default)]
    pub may_be_stopped: bool,
    /// Time from arrival after which the caller no longer needs the answer, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The gang that it needs; absent means that it needs an upstream's slot only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gang: Option<GangSpec>,
}

fn default_true() -> bool {
    true
}

impl JobSpec {
    /// Creates a repeatable job of the normal class, without a gang.
    #[must_use]
    pub fn new(id: impl Into<JobId>, workspace: impl Into<WorkspaceId>) -> Self {
        Self {
            id: id.into(),
            workspace: workspace.into(),
            class: Class::Normal,
            repeatable: true,
            may_be_stopped: false,
            deadline_ms: None,
            gang: None,
        }
    }

    /// Sets the class.
    #[must_use]
    pub const fn class(mut self, class: Class) -> Self {
        self.class = class;
        self
    }

    /// Sets whether the job may run more than once.
    #[must_use]
    pub const fn repeatable(mut self, repeatable: bool) -> Self {
        self.repeatable = repeatable;
        self
    }

    /// Sets whether the job may be stopped although it isn't repeatable.
    #[must_use]
    pub const fn may_be_stopped(mut self, allowed: bool) -> Self {
        self.may_be_stopped = allowed;
        self
    }

    /// Sets the gang that the job needs.
    #[must_use]
    pub fn gang(mut self, gang: GangSpec) -> Self {
        self.gang = Some(gang);
        self
    }

    /// Sets the deadline, counted from arrival.
    #[must_use]
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline_ms = Some(u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Returns whether the work may be stopped so that an owner gets its devices back.
    ///
    /// Work that is neither repeatable nor checkpointable may be stopped only where its caller
    /// allowed it.
    #[must_use]
    pub fn is_reclaimable(&self) -> bool {
        let checkpointable = self.gang.as_ref().is_some_and(|gang| gang.checkpointable);
        self.repeatable || checkpointable || self.may_be_stopped
    }
}
