//! The simulation: virtual time, simulated workers, and the same events for every policy.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use rampbay_core::shape::Shape;

use crate::{
    metrics::{Finished, Observer, Outcome},
    policy::{Decision, Policy},
    workload::Workload,
};

/// Time in which a worker stops a task.
const STOP_TIME: Duration = Duration::from_millis(300);
/// Time in which a worker writes a checkpoint.
const CHECKPOINT_TIME: Duration = Duration::from_millis(600);
/// How often a policy is asked for decisions when no other event happens.
const TICK: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Finish { job: usize, epoch: u32 },
    Stopped { job: usize, epoch: u32 },
    WorkerLost(usize),
    WorkerBack(usize),
    Edit,
    Tick,
}

#[derive(Debug, Clone)]
struct Job {
    /// Work left, as time on the full gang.
    remaining: Duration,
    full_devices: u32,
    devices: u32,
    changed_at: Duration,
    running: bool,
    /// Counts the changes of the job's state; events of an earlier epoch are outdated.
    epoch: u32,
    checkpoint: bool,
    first_start: Option<Duration>,
    fit_guarantee: bool,
    done: bool,
}

struct Simulation<'a> {
    workload: &'a Workload,
    policy: &'a mut dyn Policy,
    names: HashMap<String, usize>,
    jobs: Vec<Job>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    observer: Observer,
    unfinished: usize,
    held_devices: HashMap<usize, u32>,
    lost_workers: u32,
}

/// Runs a policy on a workload.
pub fn simulate(workload: &Workload, policy: &mut dyn Policy) -> Outcome {
    let devices: u32 = workload.workers.iter().map(|worker| worker.devices).sum();
    let mut simulation = Simulation {
        names: workload
            .arrivals
            .iter()
            .enumerate()
            .map(|(at, arrival)| (arrival.spec.id.to_string(), at))
            .collect(),
        jobs: Vec::new(),
        events: BinaryHeap::new(),
        observer: Observer::new(devices),
        unfinished: workload.arrivals.len(),
        held_devices: HashMap::new(),
        lost_workers: 0,
        workload,
        policy,
    };
    simulation.run();
    simulation.observer.finish()
}

impl Simulation<'_> {
    fn run(&mut self) {
        for (at, arrival) in self.workload.arrivals.iter().enumerate() {
            self.events.push(Reverse((arrival.at, Event::Arrive(at))));
            let full_devices = arrival.spec.gang.as_ref().map_or(1, |gang| gang.devices);
            self.jobs.push(Job {
                remaining: arrival.run,
                full_devices,
                devices: 0,
                changed_at: Duration::ZERO,
                running: false,
                epoch: 0,
                checkpoint: false,
                first_start: None,
                fit_guarantee: false,
                done: false,
            });
        }
        for (at, loss) in self.workload.losses.iter().enumerate() {
            self.events.push(Reverse((loss.at, Event::WorkerLost(at))));
            self.events.push(Reverse((loss.back, Event::WorkerBack(at))));
        }
        self.events.push(Reverse((self.workload.edit.0, Event::Edit)));
        self.events.push(Reverse((TICK, Event::Tick)));
        while self.unfinished > 0 {
            let Some(Reverse((now, event))) = self.events.pop() else { break };
            let last_arrival = self.workload.arrivals.last().map(|arrival| arrival.at);
            if last_arrival.is_some_and(|last| now > last + Duration::from_secs(7 * 86_400)) {
                break;
            }
            self.observer.advance(now, &self.policy.free_by_rack());
            self.handle(event, now);
            for decision in self.policy.decide(now) {
                self.carry_out(&decision, now);
            }
            if self.lost_workers == 0 {
                self.observer.count_shortage(self.policy.missing_devices());
            }
        }
        self.observer.unfinished(self.unfinished);
    }

    fn handle(&mut self, event: Event, now: Duration) {
        match event {
            Event::Arrive(job) => {
                let spec = self.workload.arrivals[job].spec.clone();
                self.jobs[job].fit_guarantee = self.fits_guarantee(job);
                self.policy.submit(spec, now);
            }
            Event::Finish { job, epoch } if self.jobs[job].epoch == epoch => self.finish(job, now),
            Event::Stopped { job, epoch } if self.jobs[job].epoch == epoch => {
                self.interrupt(job, now);
                let name = self.workload.arrivals[job].spec.id.clone();
                self.policy.stopped(&name, now);
            }
            Event::Finish { .. } | Event::Stopped { .. } => {}
            Event::WorkerLost(loss) => {
                self.lost_workers += 1;
                let worker = &self.workload.workers[self.workload.losses[loss].worker];
                for name in self.policy.remove_worker(worker, now) {
                    let job = self.names[&name];
                    self.jobs[job].checkpoint = false;
                    self.interrupt(job, now);
                }
            }
            Event::WorkerBack(loss) => {
                self.lost_workers -= 1;
                let worker = self.workload.workers[self.workload.losses[loss].worker].clone();
                self.policy.restore_worker(worker, now);
            }
            Event::Edit => {
                let (_, name, knobs) = self.workload.edit.clone();
                self.policy.edit(name, knobs, now);
            }
            Event::Tick => {
                self.events.push(Reverse((now + TICK, Event::Tick)));
            }
        }
    }

    /// Returns whether a job fits in the unused part of its workspace's guarantee, counted in
    /// devices.
    fn fits_guarantee(&self, job: usize) -> bool {
        let spec = &self.workload.arrivals[job].spec;
        let row = self.workload.workspaces.iter().position(|(name, _)| *name == spec.workspace);
        let Some(row) = row else { return false };
        let guarantee: Shape = self.workload.workspaces[row].1.guarantee;
        let devices = self.jobs[job].full_devices;
        let held_devices = self.held_devices.get(&row).copied().unwrap_or(0);
        guarantee.holds(&Shape::tightest(devices)) && held_devices + devices <= guarantee.devices()
    }

    /// Adds devices to those that the job's workspace holds, or subtracts them.
    fn count_held(&mut self, job: usize, devices: u32, add: bool) {
        let spec = &self.workload.arrivals[job].spec;
        let row = self.workload.workspaces.iter().position(|(name, _)| *name == spec.workspace);
        let held_devices = self.held_devices.entry(row.unwrap_or(0)).or_default();
        *held_devices = if add { *held_devices + devices } else { *held_devices - devices };
    }

    fn carry_out(&mut self, decision: &Decision, now: Duration) {
        match decision {
            Decision::Start { job, devices } => {
                let at = self.names[job];
                self.start(at, *devices, now);
            }
            Decision::Shrink { job, devices } => {
                let at = self.names[job];
                self.progress(at, now);
                let before = self.jobs[at].devices;
                self.count_held(at, before - devices, false);
                self.jobs[at].devices = *devices;
                self.observer.count_shrink();
                self.schedule_end(at, now);
            }
            Decision::Checkpoint { job } => {
                let at = self.names[job];
                self.jobs[at].checkpoint = true;
                self.schedule_stop(at, now + CHECKPOINT_TIME + STOP_TIME);
            }
            Decision::Stop { job } => {
                let at = self.names[job];
                self.jobs[at].checkpoint = false;
                self.schedule_stop(at, now + STOP_TIME);
            }
        }
    }

    fn start(&mut self, at: usize, devices: u32, now: Duration) {
        let arrival = &self.workload.arrivals[at];
        let job = &mut self.jobs[at];
        job.running = true;
        job.devices = devices;
        job.changed_at = now;
        if job.first_start.is_none() {
            job.first_start = Some(now);
            let waited = now.saturating_sub(arrival.at);
            self.observer.started(waited, job.full_devices, job.fit_guarantee, arrival.spec.class);
        }
        self.count_held(at, devices, true);
        self.schedule_end(at, now);
    }

    /// Subtracts the work that was done since the job last changed.
    fn progress(&mut self, at: usize, now: Duration) {
        let job = &mut self.jobs[at];
        let speed = f64::from(job.devices) / f64::from(job.full_devices);
        let done = now.saturating_sub(job.changed_at).mul_f64(speed);
        job.remaining = job.remaining.saturating_sub(done);
        job.changed_at = now;
    }

    fn schedule_end(&mut self, at: usize, now: Duration) {
        let job = &mut self.jobs[at];
        job.epoch += 1;
        let speed = f64::from(job.devices.max(1)) / f64::from(job.full_devices);
        let end = now + job.remaining.div_f64(speed);
        self.events.push(Reverse((end, Event::Finish { job: at, epoch: job.epoch })));
    }

    /// Schedules the stop of a job; the job may still end before the stop takes effect.
    fn schedule_stop(&mut self, at: usize, when: Duration) {
        let epoch = self.jobs[at].epoch;
        self.events.push(Reverse((when, Event::Stopped { job: at, epoch })));
    }

    fn interrupt(&mut self, at: usize, now: Duration) {
        if !self.jobs[at].running {
            return;
        }
        let devices = self.jobs[at].devices;
        if self.jobs[at].checkpoint {
            self.progress(at, now);
            self.observer.count_move();
        } else {
            let job = &mut self.jobs[at];
            let lost = now.saturating_sub(job.changed_at).as_secs_f64() * f64::from(devices);
            job.remaining = self.workload.arrivals[at].run;
            self.observer.count_lost(lost);
        }
        self.count_held(at, devices, false);
        let job = &mut self.jobs[at];
        job.running = false;
        job.checkpoint = false;
        job.epoch += 1;
    }

    fn finish(&mut self, at: usize, now: Duration) {
        let arrival = &self.workload.arrivals[at];
        let devices = self.jobs[at].devices;
        self.count_held(at, devices, false);
        let job = &mut self.jobs[at];
        job.running = false;
        job.done = true;
        job.epoch += 1;
        self.unfinished -= 1;
        self.observer.finished(&Finished {
            workspace: arrival.spec.workspace.clone(),
            class: arrival.spec.class,
            completion: now.saturating_sub(arrival.at),
            run: arrival.run,
            devices: job.full_devices,
        });
        self.policy.finished(&arrival.spec.id, now);
    }
}
