//! What a policy is, and the core as one.

use std::{collections::HashMap, time::Duration};

use rampbay_core::{
    ids::{FencingToken, WorkspaceId},
    job::JobSpec,
    knobs::Knobs,
    plan::{Command, PlanSettings, Planner, YieldKind},
    topology::{WorkerSpec, placement_devices},
};

/// What a policy wants done. Jobs go by name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The job starts now on this many devices.
    Start {
        /// The job.
        job: String,
        /// Its devices.
        devices: u32,
    },
    /// The job runs on with fewer devices from now on.
    Shrink {
        /// The job.
        job: String,
        /// Devices that it has left.
        devices: u32,
    },
    /// The job stops once it has been checkpointed, and waits again.
    Checkpoint {
        /// The job.
        job: String,
    },
    /// The job stops, loses its work and waits again.
    Stop {
        /// The job.
        job: String,
    },
}

/// A policy under test. Devices are counted by the policy; the simulation checks the counts.
pub trait Policy {
    /// Returns its name in reports.
    fn name(&self) -> &'static str;
    /// Takes a job into the queue.
    fn submit(&mut self, spec: JobSpec, now: Duration);
    /// Takes in that a job is done.
    fn finished(&mut self, job: &str, now: Duration);
    /// Takes in that a job was stopped as decided, and waits again.
    fn stopped(&mut self, job: &str, now: Duration);
    /// Takes in that a worker is gone; returns the jobs that lose devices with it.
    fn lose(&mut self, worker: &WorkerSpec, now: Duration) -> Vec<String>;
    /// Takes in that a worker is back.
    fn bring_back(&mut self, worker: WorkerSpec, now: Duration);
    /// Takes in an edit of the table.
    fn edit(&mut self, workspace: WorkspaceId, knobs: Knobs, now: Duration);
    /// Decides.
    fn decide(&mut self, now: Duration) -> Vec<Decision>;
    /// Returns the free devices of each rack.
    fn free_by_rack(&self) -> Vec<u32>;
    /// Returns how many guaranteed devices can't be met while every worker is there.
    fn short(&self) -> u32 {
        0
    }
}

/// The decision core.
#[derive(Debug)]
pub struct Rampbay {
    planner: Planner,
    tokens: HashMap<String, FencingToken>,
}

impl Rampbay {
    /// Creates the core over a fleet and a table.
    #[must_use]
    pub fn new(workers: &[WorkerSpec], workspaces: &[(WorkspaceId, Knobs)]) -> Self {
        let mut planner = Planner::new(0).settings(PlanSettings::default());
        for worker in workers {
            planner.add_worker(worker.clone());
        }
        for (name, knobs) in workspaces {
            planner.set_workspace(name.clone(), knobs.clone());
        }
        Self { planner, tokens: HashMap::new() }
    }
}

impl Policy for Rampbay {
    fn name(&self) -> &'static str {
        "rampbay"
    }

    fn submit(&mut self, spec: JobSpec, now: Duration) {
        // A job that no place could hold can't be drawn from the mixes.
        let _ = self.planner.submit(spec, now);
    }

    fn finished(&mut self, job: &str, now: Duration) {
        self.planner.finished(job, now);
        self.tokens.remove(job);
    }

    fn stopped(&mut self, job: &str, now: Duration) {
        if let Some(token) = self.tokens.remove(job) {
            self.planner.stopped(token, now);
        }
    }

    fn lose(&mut self, worker: &WorkerSpec, now: Duration) -> Vec<String> {
        let jobs = self.planner.remove_worker(&worker.id);
        for job in &jobs {
            self.planner.lost(job, now);
            self.tokens.remove(&**job);
        }
        jobs.iter().map(ToString::to_string).collect()
    }

    fn bring_back(&mut self, worker: WorkerSpec, _now: Duration) {
        self.planner.add_worker(worker);
    }

    fn edit(&mut self, workspace: WorkspaceId, knobs: Knobs, _now: Duration) {
        self.planner.set_workspace(workspace, knobs);
    }

    fn decide(&mut self, now: Duration) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for command in self.planner.tick(now) {
            match command {
                Command::Start { job, meta, placement } => {
                    self.planner.started(&job, now);
                    self.tokens.insert(job.to_string(), meta.token);
                    let devices = placement_devices(&placement);
                    decisions.push(Decision::Start { job: job.to_string(), devices });
                }
                Command::Yield { token, job, how, .. } => match how {
                    YieldKind::Shrink { keep } => {
                        let devices = placement_devices(&keep);
                        self.planner.shrunk(token, &keep, now);
                        decisions.push(Decision::Shrink { job: job.to_string(), devices });
                    }
                    YieldKind::Checkpoint => {
                        decisions.push(Decision::Checkpoint { job: job.to_string() });
                    }
                    YieldKind::Stop => decisions.push(Decision::Stop { job: job.to_string() }),
                },
                Command::Expire { .. } => {}
            }
        }
        decisions
    }

    fn free_by_rack(&self) -> Vec<u32> {
        self.planner.free_by_rack()
    }

    fn short(&self) -> u32 {
        self.planner.missing_cells().devices()
    }
}
