//! The interface of a policy, and rampbay's planner as a policy.

use std::{collections::HashMap, time::Duration};

use rampbay_core::{
    ids::{FencingToken, WorkspaceId},
    job::JobSpec,
    knobs::Knobs,
    plan::{Command, PlanSettings, Planner, YieldKind},
    topology::{WorkerSpec, placement_devices},
};

/// A decision of a policy. Jobs are identified by their names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The job starts now on this many devices.
    Start {
        /// The job.
        job: String,
        /// Its devices.
        devices: u32,
    },
    /// The job continues with fewer devices from now on.
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

/// A policy under test. The policy itself counts the free devices.
pub trait Policy {
    /// Returns the policy's name in reports.
    fn name(&self) -> &'static str;
    /// Adds a job to the queue.
    fn submit(&mut self, spec: JobSpec, now: Duration);
    /// Handles the end of a job.
    fn finished(&mut self, job: &str, now: Duration);
    /// Handles the stop of a job, as decided; the job waits again.
    fn stopped(&mut self, job: &str, now: Duration);
    /// Handles the loss of a worker; returns the jobs that lose devices with it.
    fn remove_worker(&mut self, worker: &WorkerSpec, now: Duration) -> Vec<String>;
    /// Handles the return of a lost worker.
    fn restore_worker(&mut self, worker: WorkerSpec, now: Duration);
    /// Applies an edit of the table.
    fn edit(&mut self, workspace: WorkspaceId, knobs: Knobs, now: Duration);
    /// Returns the decisions that are due now.
    fn decide(&mut self, now: Duration) -> Vec<Decision>;
    /// Returns the free devices of each rack.
    fn free_by_rack(&self) -> Vec<u32>;
    /// Returns how many guaranteed devices can't be met while every worker is present.
    fn missing_devices(&self) -> u32 {
        0
    }
}

/// Rampbay's planner as a policy.
#[derive(Debug)]
pub struct Rampbay {
    planner: Planner,
    tokens: HashMap<String, FencingToken>,
}

impl Rampbay {
    /// Creates the planner for a fleet and a table.
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
        // The mixes contain no job that is too large for every placement.
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

    fn remove_worker(&mut self, worker: &WorkerSpec, now: Duration) -> Vec<String> {
        let jobs = self.planner.remove_worker(&worker.id);
        for job in &jobs {
            self.planner.lost(job, now);
            self.tokens.remove(&**job);
        }
        jobs.iter().map(ToString::to_string).collect()
    }

    fn restore_worker(&mut self, worker: WorkerSpec, _now: Duration) {
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

    fn missing_devices(&self) -> u32 {
        self.planner.missing_cells().devices()
    }
}
