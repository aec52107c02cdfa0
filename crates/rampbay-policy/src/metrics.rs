//! Measures of a policy's simulation.

use std::{collections::BTreeMap, time::Duration};

use rampbay_core::{ids::WorkspaceId, job::Class};
use serde::Serialize;

/// Gang sizes that fragmentation is measured for.
pub const FRAGMENT_SIZES: [u32; 3] = [8, 16, 24];
/// A job within its guarantee that waits longer than this counts as a broken guarantee.
const BROKEN_AFTER: Duration = Duration::from_secs(10);
/// Gangs of at least this size count as large.
const LARGE_GANG: u32 = 16;

/// A job that is done.
#[derive(Debug, Clone)]
pub struct Finished {
    /// Its workspace.
    pub workspace: WorkspaceId,
    /// Its class.
    pub class: Class,
    /// Time from arrival until it was done.
    pub completion: Duration,
    /// How long the job runs on its full gang.
    pub run: Duration,
    /// Devices of its full gang.
    pub devices: u32,
}

/// Collects the measures during a simulation.
#[derive(Debug)]
pub struct Observer {
    devices: u32,
    last: Duration,
    busy: f64,
    total: f64,
    fragmented: [f64; 3],
    free_time: f64,
    finished: Vec<Finished>,
    owned_waits: Vec<f64>,
    urgent_waits: Vec<f64>,
    large_waits: Vec<f64>,
    moves: u64,
    shrinks: u64,
    lost: f64,
    short: u64,
    unfinished: u64,
}

/// What a policy did on a workload. Times are in seconds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Outcome {
    /// Median completion time.
    pub completion_p50: f64,
    /// 99th percentile of the completion time.
    pub completion_p99: f64,
    /// 99th percentile of the completion time by class.
    pub completion_p99_by_class: BTreeMap<String, f64>,
    /// 99th percentile of the completion time by workspace.
    pub completion_p99_by_workspace: BTreeMap<String, f64>,
    /// Median slowdown: completion time divided by run time.
    pub slowdown_p50: f64,
    /// 99th percentile of the slowdown.
    pub slowdown_p99: f64,
    /// Time-weighted share of free devices that no gang of 8, 16, 24 can use.
    pub fragmentation: [f64; 3],
    /// Time-weighted share of devices in use.
    pub utilization: f64,
    /// 99th percentile of the wait of jobs that fit their guarantee.
    pub reclaim_p99: f64,
    /// Jobs that fit their guarantee and waited more than 10 s.
    pub broken: f64,
    /// 99th percentile of the wait of urgent jobs that fit their guarantee.
    pub urgent_p99: f64,
    /// 99th percentile of the wait of gangs of 16 and more.
    pub large_wait_p99: f64,
    /// Jobs that were checkpointed and moved.
    pub moves: f64,
    /// Gangs that shrank.
    pub shrinks: f64,
    /// Device-hours of work that was lost.
    pub lost_device_hours: f64,
    /// How often a guarantee couldn't be met although every worker was present.
    pub short: f64,
    /// Jobs that never ended.
    pub unfinished: f64,
}

impl Observer {
    /// Creates an observer of a fleet.
    #[must_use]
    pub fn new(devices: u32) -> Self {
        Self {
            devices,
            last: Duration::ZERO,
            busy: 0.0,
            total: 0.0,
            fragmented: [0.0; 3],
            free_time: 0.0,
            finished: Vec::new(),
            owned_waits: Vec::new(),
            urgent_waits: Vec::new(),
            large_waits: Vec::new(),
            moves: 0,
            shrinks: 0,
            lost: 0.0,
            short: 0,
            unfinished: 0,
        }
    }

    /// Adds the time up to `now`, during which `free_by_rack` devices were free.
    pub fn advance(&mut self, now: Duration, free_by_rack: &[u32]) {
        let passed = now.saturating_sub(self.last).as_secs_f64();
        self.last = now;
        let free: u32 = free_by_rack.iter().sum();
        self.busy += f64::from(self.devices.saturating_sub(free)) * passed;
        self.total += f64::from(self.devices) * passed;
        self.free_time += f64::from(free) * passed;
        for (at, size) in FRAGMENT_SIZES.iter().enumerate() {
            let usable: u32 = free_by_rack.iter().map(|free| free / size * size).sum();
            self.fragmented[at] += f64::from(free - usable) * passed;
        }
    }

    /// Counts a job that starts for the first time; `owned` if it fits its guarantee.
    pub fn started(&mut self, waited: Duration, devices: u32, owned: bool, class: Class) {
        let seconds = waited.as_secs_f64();
        if owned {
            self.owned_waits.push(seconds);
            if class == Class::Urgent {
                self.urgent_waits.push(seconds);
            }
        }
        if devices >= LARGE_GANG {
            self.large_waits.push(seconds);
        }
    }

    /// Counts a job that is done.
    pub fn finished(&mut self, finished: &Finished) {
        self.finished.push(finished.clone());
    }

    /// Counts a job that was checkpointed and moved.
    pub fn count_move(&mut self) {
        self.moves += 1;
    }

    /// Counts a gang that shrank.
    pub fn count_shrink(&mut self) {
        self.shrinks += 1;
    }

    /// Counts lost work, in device-seconds.
    pub fn count_lost(&mut self, device_seconds: f64) {
        self.lost += device_seconds;
    }

    /// Counts one shortage if guaranteed devices are missing.
    pub fn count_shortage(&mut self, devices: u32) {
        self.short += u64::from(devices > 0);
    }

    /// Counts jobs that never ended.
    pub fn unfinished(&mut self, jobs: usize) {
        self.unfinished = jobs as u64;
    }

    /// Computes the outcome of the run.
    #[must_use]
    pub fn finish(self) -> Outcome {
        let completions: Vec<f64> =
            self.finished.iter().map(|row| row.completion.as_secs_f64()).collect();
        let slowdowns: Vec<f64> = self
            .finished
            .iter()
            .map(|row| row.completion.as_secs_f64() / row.run.as_secs_f64().max(1.0))
            .collect();
        let by = |name: &dyn Fn(&Finished) -> String| {
            let mut groups: BTreeMap<String, Vec<f64>> = BTreeMap::new();
            for row in &self.finished {
                groups.entry(name(row)).or_default().push(row.completion.as_secs_f64());
            }
            groups.into_iter().map(|(name, times)| (name, quantile(&times, 0.99))).collect()
        };
        let broken = BROKEN_AFTER.as_secs_f64();
        Outcome {
            completion_p50: quantile(&completions, 0.5),
            completion_p99: quantile(&completions, 0.99),
            completion_p99_by_class: by(&|row| format!("{:?}", row.class).to_lowercase()),
            completion_p99_by_workspace: by(&|row| row.workspace.to_string()),
            slowdown_p50: quantile(&slowdowns, 0.5),
            slowdown_p99: quantile(&slowdowns, 0.99),
            fragmentation: self.fragmented.map(|time| time / self.free_time.max(1.0)),
            utilization: self.busy / self.total.max(1.0),
            reclaim_p99: quantile(&self.owned_waits, 0.99),
            broken: self.owned_waits.iter().filter(|wait| **wait > broken).count() as f64,
            urgent_p99: quantile(&self.urgent_waits, 0.99),
            large_wait_p99: quantile(&self.large_waits, 0.99),
            moves: self.moves as f64,
            shrinks: self.shrinks as f64,
            lost_device_hours: self.lost / 3_600.0,
            short: self.short as f64,
            unfinished: self.unfinished as f64,
        }
    }
}

/// Returns a quantile of values, 0 for none.
#[must_use]
pub fn quantile(values: &[f64], at: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = ((sorted.len() - 1) as f64 * at).round() as usize;
    sorted[index]
}
