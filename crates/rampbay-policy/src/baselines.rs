//! Baselines: policies that an operator could use without rampbay.

use std::{collections::VecDeque, time::Duration};

use rampbay_core::{ids::WorkspaceId, job::JobSpec, knobs::Knobs, topology::WorkerSpec};

use crate::policy::{Decision, Policy};

/// Which baseline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Strictly in order of arrival, on the first rack that fits.
    FirstInFirstOut,
    /// Any job that fits, on the rack that it fits best; no guarantees.
    BestFit,
    /// Each workspace has its own workers, in proportion to its guarantee, and never more.
    StaticPartition,
}

#[derive(Debug, Clone)]
struct Running {
    job: String,
    spec: JobSpec,
    parts: Vec<(usize, u32)>,
}

/// A baseline.
#[derive(Debug)]
pub struct Baseline {
    kind: Kind,
    racks: Vec<usize>,
    names: Vec<String>,
    free: Vec<u32>,
    present: Vec<bool>,
    /// The workspace that each worker belongs to, for the static partition.
    owners: Vec<usize>,
    workspaces: Vec<WorkspaceId>,
    queue: VecDeque<JobSpec>,
    running: Vec<Running>,
}

const DEVICES_PER_WORKER: u32 = 8;

impl Baseline {
    /// Creates a baseline over a fleet and a table.
    #[must_use]
    pub fn new(kind: Kind, workers: &[WorkerSpec], table: &[(WorkspaceId, Knobs)]) -> Self {
        let mut rack_names: Vec<&str> = Vec::new();
        let racks = workers
            .iter()
            .map(|worker| {
                rack_names.iter().position(|name| *name == worker.rack).unwrap_or_else(|| {
                    rack_names.push(&worker.rack);
                    rack_names.len() - 1
                })
            })
            .collect();
        Self {
            kind,
            racks,
            names: workers.iter().map(|worker| worker.id.to_string()).collect(),
            free: vec![DEVICES_PER_WORKER; workers.len()],
            present: vec![true; workers.len()],
            owners: partition(workers.len(), table),
            workspaces: table.iter().map(|(name, _)| name.clone()).collect(),
            queue: VecDeque::new(),
            running: Vec::new(),
        }
    }

    fn usable(&self, worker: usize, spec: &JobSpec) -> u32 {
        let own = self.workspaces.iter().position(|name| *name == spec.workspace);
        let foreign = self.kind == Kind::StaticPartition && own != Some(self.owners[worker]);
        if foreign || !self.present[worker] { 0 } else { self.free[worker] }
    }

    /// Finds devices within one rack; the static partition may place a gang across racks, since
    /// the workers of a workspace may be in several.
    fn place(&self, spec: &JobSpec, devices: u32) -> Option<Vec<(usize, u32)>> {
        let rack_count = self.racks.iter().max().map_or(0, |last| last + 1);
        let across_racks = self.kind == Kind::StaticPartition;
        let groups: Vec<Vec<usize>> = if across_racks {
            vec![(0..self.free.len()).collect()]
        } else {
            (0..rack_count)
                .map(|rack| (0..self.free.len()).filter(|w| self.racks[*w] == rack).collect())
                .collect()
        };
        let capacity =
            |group: &Vec<usize>| -> u32 { group.iter().map(|w| self.usable(*w, spec)).sum() };
        let fitting = groups.into_iter().filter(|group| capacity(group) >= devices);
        let group = match self.kind {
            Kind::BestFit => fitting.min_by_key(|group| capacity(group)),
            Kind::FirstInFirstOut | Kind::StaticPartition => fitting.into_iter().next(),
        }?;
        let mut order = group;
        if self.kind == Kind::BestFit {
            let fits = |w: &usize| {
                let usable = self.usable(*w, spec);
                if usable >= devices { (0, usable) } else { (1, DEVICES_PER_WORKER - usable) }
            };
            order.sort_by_key(fits);
        }
        let mut left = devices;
        let mut parts = Vec::new();
        for worker in order {
            let take = left.min(self.usable(worker, spec));
            if take > 0 {
                parts.push((worker, take));
            }
            left -= take;
        }
        (left == 0).then_some(parts)
    }

    fn free_parts(&mut self, parts: &[(usize, u32)]) {
        for (worker, devices) in parts {
            self.free[*worker] += devices;
        }
    }

    fn take_out(&mut self, job: &str) -> Option<Running> {
        let at = self.running.iter().position(|running| running.job == job)?;
        let running = self.running.swap_remove(at);
        self.free_parts(&running.parts);
        Some(running)
    }
}

/// Divides the workers among the workspaces in proportion to their guarantees.
fn partition(workers: usize, table: &[(WorkspaceId, Knobs)]) -> Vec<usize> {
    let devices: Vec<u32> = table.iter().map(|(_, knobs)| knobs.guarantee.devices()).collect();
    let total: u32 = devices.iter().sum::<u32>().max(1);
    let mut owners = Vec::new();
    let mut cumulative = 0;
    for (at, own) in devices.iter().enumerate() {
        cumulative += own;
        let until = workers * cumulative as usize / total as usize;
        while owners.len() < until.max(owners.len()).min(workers) {
            owners.push(at);
        }
        if !owners.contains(&at) && owners.len() < workers {
            owners.push(at);
        }
    }
    owners.resize(workers, table.len().saturating_sub(1));
    owners
}

impl Policy for Baseline {
    fn name(&self) -> &'static str {
        match self.kind {
            Kind::FirstInFirstOut => "first-in-first-out",
            Kind::BestFit => "best fit, unguarded",
            Kind::StaticPartition => "static partition",
        }
    }

    fn submit(&mut self, spec: JobSpec, _now: Duration) {
        self.queue.push_back(spec);
    }

    fn finished(&mut self, job: &str, _now: Duration) {
        self.take_out(job);
    }

    fn stopped(&mut self, job: &str, _now: Duration) {
        if let Some(running) = self.take_out(job) {
            self.queue.push_front(running.spec);
        }
    }

    fn remove_worker(&mut self, worker: &WorkerSpec, now: Duration) -> Vec<String> {
        let Some(at) = self.names.iter().position(|name| **name == *worker.id) else {
            return Vec::new();
        };
        self.present[at] = false;
        let uses_worker =
            |running: &&Running| running.parts.iter().any(|(worker, _)| *worker == at);
        let jobs: Vec<String> =
            self.running.iter().filter(uses_worker).map(|r| r.job.clone()).collect();
        for job in &jobs {
            self.stopped(job, now);
        }
        jobs
    }

    fn restore_worker(&mut self, worker: WorkerSpec, _now: Duration) {
        if let Some(at) = self.names.iter().position(|name| **name == *worker.id) {
            self.present[at] = true;
        }
    }

    fn edit(&mut self, _workspace: WorkspaceId, _knobs: Knobs, _now: Duration) {}

    fn decide(&mut self, _now: Duration) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut at = 0;
        while at < self.queue.len() {
            let spec = self.queue[at].clone();
            let gang = spec.gang.as_ref();
            let devices = gang.map_or(0, |gang| gang.devices);
            let own = self.workspaces.iter().position(|name| *name == spec.workspace);
            let partition_devices = DEVICES_PER_WORKER
                * self.owners.iter().filter(|owner| Some(**owner) == own).count() as u32;
            // A gang larger than its partition runs on the whole partition: otherwise it would
            // never start.
            let devices = if self.kind == Kind::StaticPartition {
                devices.min(partition_devices)
            } else {
                devices
            };
            match self.place(&spec, devices) {
                Some(parts) => {
                    for (worker, taken) in &parts {
                        self.free[*worker] -= taken;
                    }
                    let job = spec.id.to_string();
                    decisions.push(Decision::Start { job: job.clone(), devices });
                    self.running.push(Running { job, spec, parts });
                    self.queue.remove(at);
                }
                None if self.kind == Kind::FirstInFirstOut => break,
                None => at += 1,
            }
        }
        decisions
    }

    fn free_by_rack(&self) -> Vec<u32> {
        let rack_count = self.racks.iter().max().map_or(0, |last| last + 1);
        let mut free = vec![0; rack_count];
        for (worker, rack) in self.racks.iter().enumerate() {
            free[*rack] += if self.present[worker] { self.free[worker] } else { 0 };
        }
        free
    }
}
