//! How many workers urgent work has needed lately.
//!
//! Load: urgent gangs in bursts, on a fleet where other work takes all that is free. The demand is what the next burst
//! is expected to need: as many workers as urgent steps used at the same time, and enough for the widest gang alone,
//! which starts whole or not at all.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::job::{InstanceId, JobId, Resources};
use crate::planner::policy::{RoundStart, WaitingStep};

/// Time in which the largest number of workers used counts half: a burst is followed by the next one within some ten
/// seconds, or the load has changed.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(10);
/// Time for which the width of a gang counts: a few times between two bursts, since wide gangs are rare.
const GANG_RETENTION: Duration = Duration::from_secs(20);
/// Number of urgent jobs from which the demand is known; fewer may not have shown a usual one.
const MIN_JOBS: usize = 5;

/// The urgent demand, measured in each round.
#[derive(Debug, Default)]
pub struct UrgentDemand {
    /// Largest number of workers that urgent steps used at the same time, decayed until the last round.
    peak: f64,
    /// Time of the last round.
    sampled_at: Duration,
    /// Workers that waiting gangs would take alone, and when they were last seen. Later entries are smaller.
    gangs: VecDeque<(Duration, usize)>,
    /// The first [`MIN_JOBS`] urgent jobs.
    jobs: BTreeSet<JobId>,
}

impl UrgentDemand {
    /// Measures the demand at the start of a round.
    pub fn update(&mut self, start: &RoundStart<'_>) {
        let now = start.inputs.now;
        let urgent = start.running().filter(|run| run.submission.priority == 0);
        let mut used: BTreeSet<&InstanceId> = BTreeSet::new();
        for run in urgent {
            used.insert(&run.plan.instance);
            self.note_job(run.job);
        }
        let elapsed = now.saturating_sub(self.sampled_at);
        let decay = (-elapsed.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64()).exp2();
        self.peak = (self.peak * decay).max(used.len() as f64);
        self.sampled_at = now;
        self.gangs.retain(|(seen_at, _)| now.saturating_sub(*seen_at) < GANG_RETENTION);
        let mut usual = UsualWorkers::new(start);
        for waiting in start.waiting.iter().filter(|waiting| waiting.submission.priority == 0) {
            self.note_job(&waiting.job);
            if waiting.definition().gang
                && let Some(workers) = usual.workers_for(waiting)
            {
                self.note_gang(workers, now);
            }
        }
    }

    fn note_job(&mut self, job: &JobId) {
        if self.jobs.len() < MIN_JOBS && !self.jobs.contains(job) {
            self.jobs.insert(job.clone());
        }
    }

    fn note_gang(&mut self, workers: usize, now: Duration) {
        while self.gangs.back().is_some_and(|(_, narrower)| *narrower <= workers) {
            self.gangs.pop_back();
        }
        self.gangs.push_back((now, workers));
    }

    /// Returns the number of workers that the next burst is expected to need; `None` before enough jobs were seen.
    pub fn workers(&self) -> Option<usize> {
        (self.jobs.len() >= MIN_JOBS).then(|| self.peak().max(self.widest_gang()))
    }

    /// Returns the largest number of workers that urgent steps used at the same time, decayed.
    pub fn peak(&self) -> usize {
        self.peak.ceil() as usize
    }

    /// Returns the number of workers that the widest recent gang takes alone.
    pub fn widest_gang(&self) -> usize {
        self.gangs.front().map_or(0, |(_, workers)| *workers)
    }
}

/// The most frequent capacity among the workers of each service.
struct UsualWorkers<'a> {
    start: &'a RoundStart<'a>,
    /// Found at the first access: most rounds have no waiting urgent gang.
    by_service: BTreeMap<&'a str, Resources>,
}

impl<'a> UsualWorkers<'a> {
    fn new(start: &'a RoundStart<'a>) -> Self {
        Self { start, by_service: BTreeMap::new() }
    }

    /// Returns how many usual workers the waiting tasks of a step take; `None` if none fits there.
    fn workers_for(&mut self, waiting: &'a WaitingStep) -> Option<usize> {
        let service = waiting.submission.service.as_str();
        let start = self.start;
        let usual =
            self.by_service.entry(service).or_insert_with(|| usual_capacity(start, service));
        let step = waiting.definition();
        let fitting = match step.max_per_worker {
            0 => usual.count_of(&step.charge()),
            most => usual.count_of(&step.charge()).min(most),
        };
        (fitting > 0).then(|| waiting.tasks.len().div_ceil(fitting as usize))
    }
}

fn usual_capacity(start: &RoundStart<'_>, service: &str) -> Resources {
    let workers = start.inputs.table.workers.values();
    let mut counts: BTreeMap<(u64, u64, u64), usize> = BTreeMap::new();
    for worker in workers.filter(|worker| worker.service == service && !worker.draining) {
        let Resources { cpu_milli, memory_mb, devices } = worker.capacity;
        *counts.entry((devices, cpu_milli, memory_mb)).or_default() += 1;
    }
    let usual = counts.into_iter().max_by_key(|(_, count)| *count);
    usual.map_or_else(Resources::default, |((devices, cpu_milli, memory_mb), _)| Resources {
        cpu_milli,
        memory_mb,
        devices,
    })
}
