//! Workers in racks in failure domains, and the devices on them.

use serde::{Deserialize, Serialize};

use crate::{ids::WorkerId, shape::DEVICES_PER_WORKER};

/// Devices of one worker as a set of bits; bit 0 is device 0.
pub type DeviceMask = u64;

/// A worker's resources and its location.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// The worker's name.
    pub id: WorkerId,
    /// The name of the worker's rack; unique over all failure domains.
    pub rack: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The region.
    pub region: String,
    /// Number of accelerators, at most 64.
    pub devices: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
}

impl WorkerSpec {
    /// Creates a worker with 128 cores and 256 GiB.
    #[must_use]
    pub fn new(id: &str, rack: &str, failure_domain: &str, region: &str, devices: u32) -> Self {
        Self {
            id: id.into(),
            rack: rack.to_owned(),
            failure_domain: failure_domain.to_owned(),
            region: region.to_owned(),
            devices: devices.min(DeviceMask::BITS),
            cores: 128,
            memory_mib: 256 * 1024,
        }
    }

    /// Sets the processor cores.
    #[must_use]
    pub const fn cores(mut self, cores: u32) -> Self {
        self.cores = cores;
        self
    }

    /// Sets the memory in MiB.
    #[must_use]
    pub const fn memory_mib(mut self, memory_mib: u32) -> Self {
        self.memory_mib = memory_mib;
        self
    }

    /// Returns the mask with a bit for each device.
    #[must_use]
    pub const fn all_devices(&self) -> DeviceMask {
        if self.devices >= DeviceMask::BITS { DeviceMask::MAX } else { (1 << self.devices) - 1 }
    }

    /// Returns whether the worker makes up a worker cell.
    #[must_use]
    pub const fn is_full_size(&self) -> bool {
        self.devices >= DEVICES_PER_WORKER
    }
}

/// One worker's part of a gang.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Part {
    /// The worker.
    pub worker: WorkerId,
    /// The devices on it.
    pub devices: DeviceMask,
}

/// Where a whole gang runs.
pub type Placement = Vec<Part>;

/// Returns the number of devices in a placement.
#[must_use]
pub fn placement_devices(placement: &[Part]) -> u32 {
    placement.iter().map(|part| part.devices.count_ones()).sum()
}
