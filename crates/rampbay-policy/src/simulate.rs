//! The simulation: virtual time, a fake of the workers, and the same events for every policy.

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
const STOP: Duration = Duration::from_millis(300);
/// Time in which a worker writes a checkpoint.
const CHECKPOINT: Duration = Duration::from_millis(600);
/// How often a policy is asked although nothing happened.
const TICK: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Finish { job: usize, epoch: u32 },
    Stopped { job: usize, epoch: u32 },
    Lose(usize),
    Back(usize),
    Edit,
    Tick,
}

#[derive(Debug, Clone)]
struct Job {
    /// Work left, as time on the full gang.
    left: Duration,
    full: u32,
    devices: u32,
    since: Duration,
    running: bool,
    /// Tells an end that is due from one that was overtaken.
    epoch: u32,
    checkpoint: bool,
    first_start: Option<Duration>,
    was_owned: bool,
    done: bool,
}

struct Simulation<'a> {
    workload: &'a Workload,
    policy: &'a mut dyn Policy,
    names: HashMap<String, usize>,
    jobs: Vec<Job>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    observer: Observer,
    open: usize,
    held: HashMap<usize, u32>,
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
        open: workload.arrivals.len(),
        held: HashMap::new(),
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
            let full = arrival.spec.gang.as_ref().map_or(1, |gang| gang.devices);
            self.jobs.push(Job {
                left: arrival.run,
                full,
                devices: 0,
                since: Duration::ZERO,
                running: false,
                epoch: 0,
                checkpoint: false,
                first_start: None,
                was_owned: false,
                done: false,
            });
        }
        for (at, loss) in self.workload.losses.iter().enumerate() {
            self.events.push(Reverse((loss.at, Event::Lose(at))));
            self.events.push(Reverse((loss.back, Event::Back(at))));
        }
        self.events.push(Reverse((self.workload.edit.0, Event::Edit)));
        self.events.push(Reverse((TICK, Event::Tick)));
        while self.open > 0 {
            let Some(Reverse((now, event))) = self.events.pop() else { break };
            let last_arrival = self.workload.arrivals.last().map(|arrival| arrival.at);
            if last_arrival.is_some_and(|last| now > last + Duration::from_secs(7 * 86_400)) {
                break;
            }
            self.observer.advance(now, &self.policy.free_by_rack());
            self.take(event, now);
            for decision in self.policy.decide(now) {
                self.carry_out(&decision, now);
            }
            if self.lost_workers == 0 {
                self.observer.short(self.policy.short());
            }
        }
        self.observer.unfinished(self.open);
    }

    fn take(&mut self, event: Event, now: Duration) {
        match event {
            Event::Arrive(job) => {
                let spec = self.workload.arrivals[job].spec.clone();
                self.jobs[job].was_owned = self.fits_guarantee(job);
                self.policy.submit(spec, now);
            }
            Event::Finish { job, epoch } if self.jobs[job].epoch == epoch => self.finish(job, now),
            Event::Stopped { job, epoch } if self.jobs[job].epoch == epoch => {
                self.interrupt(job, now);
                let name = self.workload.arrivals[job].spec.id.clone();
                self.policy.stopped(&name, now);
            }
            Event::Finish { .. } | Event::Stopped { .. } => {}
            Event::Lose(loss) => {
                self.lost_workers += 1;
                let worker = &self.workload.workers[self.workload.losses[loss].worker];
                for name in self.policy.lose(worker, now) {
                    let job = self.names[&name];
                    self.jobs[job].checkpoint = false;
                    self.interrupt(job, now);
                }
            }
            Event::Back(loss) => {
                self.lost_workers -= 1;
                let worker = self.workload.workers[self.workload.losses[loss].worker].clone();
                self.policy.bring_back(worker, now);
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

    /// Whether a job fits what its workspace's guarantee has left, counted in devices.
    fn fits_guarantee(&self, job: usize) -> bool {
        let spec = &self.workload.arrivals[job].spec;
        let row = self.workload.workspaces.iter().position(|(name, _)| *name == spec.workspace);
        let Some(row) = row else { return false };
        let guarantee: Shape = self.workload.workspaces[row].1.guarantee;
        let devices = self.jobs[job].full;
        let held = self.held.get(&row).copied().unwrap_or(0);
        guarantee.holds(&Shape::tightest(devices)) && held + devices <= guarantee.devices()
    }

    fn hold(&mut self, job: usize, devices: u32, take: bool) {
        let spec = &self.workload.arrivals[job].spec;
        let row = self.workload.workspaces.iter().position(|(name, _)| *name == spec.workspace);
        let held = self.held.entry(row.unwrap_or(0)).or_default();
        *held = if take { *held + devices } else { *held - devices };
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
                self.hold(at, before - devices, false);
                self.jobs[at].devices = *devices;
                self.observer.count_shrink();
                self.schedule_end(at, now);
            }
            Decision::Checkpoint { job } => {
                let at = self.names[job];
                self.jobs[at].checkpoint = true;
                self.schedule_stop(at, now + CHECKPOINT + STOP);
            }
            Decision::Stop { job } => {
                let at = self.names[job];
                self.jobs[at].checkpoint = false;
                self.schedule_stop(at, now + STOP);
            }
        }
    }

    fn start(&mut self, at: usize, devices: u32, now: Duration) {
        let arrival = &self.workload.arrivals[at];
        let job = &mut self.jobs[at];
        job.running = true;
        job.devices = devices;
        job.since = now;
        if job.first_start.is_none() {
            job.first_start = Some(now);
            let waited = now.saturating_sub(arrival.at);
            self.observer.started(waited, job.full, job.was_owned, arrival.spec.class);
        }
        self.hold(at, devices, true);
        self.schedule_end(at, now);
    }

    /// Counts the work that was done since the job last changed.
    fn progress(&mut self, at: usize, now: Duration) {
        let job = &mut self.jobs[at];
        let speed = f64::from(job.devices) / f64::from(job.full);
        let done = now.saturating_sub(job.since).mul_f64(speed);
        job.left = job.left.saturating_sub(done);
        job.since = now;
    }

    fn schedule_end(&mut self, at: usize, now: Duration) {
        let job = &mut self.jobs[at];
        job.epoch += 1;
        let speed = f64::from(job.devices.max(1)) / f64::from(job.full);
        let end = now + job.left.div_f64(speed);
        self.events.push(Reverse((end, Event::Finish { job: at, epoch: job.epoch })));
    }

    /// The job may still end before its stop takes effect.
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
            let lost = now.saturating_sub(job.since).as_secs_f64() * f64::from(devices);
            job.left = self.workload.arrivals[at].run;
            self.observer.count_lost(lost);
        }
        self.hold(at, devices, false);
        let job = &mut self.jobs[at];
        job.running = false;
        job.checkpoint = false;
        job.epoch += 1;
    }

    fn finish(&mut self, at: usize, now: Duration) {
        let arrival = &self.workload.arrivals[at];
        let devices = self.jobs[at].devices;
        self.hold(at, devices, false);
        let job = &mut self.jobs[at];
        job.running = false;
        job.done = true;
        job.epoch += 1;
        self.open -= 1;
        self.observer.finished(&Finished {
            workspace: arrival.spec.workspace.clone(),
            class: arrival.spec.class,
            completion: now.saturating_sub(arrival.at),
            run: arrival.run,
            devices: job.full,
        });
        self.policy.finished(&arrival.spec.id, now);
    }
}
