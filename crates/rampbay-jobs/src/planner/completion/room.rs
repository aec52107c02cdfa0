//! When there will be room for tasks if nothing is stopped.
//!
//! Running tasks end as estimated, in that order, and stops under way end after the time of a stop. The ends of all runs
//! are estimated once a round, at the first question. Each question then passes over them in their order until the tasks
//! fit, so it should be asked only for steps that wait.

use std::cell::OnceCell;
use std::ops::Range;

use crate::job::{Resources, Step, TaskId};
use crate::metrics::metrics;
use crate::plan::JobPlan;
use crate::planner::WorkerIndex;
use crate::planner::fit::Need;
use crate::planner::fleet_state::FleetState;
use crate::planner::progress::RunsAt;
use crate::planner::running::RunningTask;

use super::remaining::{Remaining, Run};
use super::saved::Saved;
use super::{Completion, Estimate};

/// Where tasks should fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomScope {
    /// All in one rack, whichever.
    OneRack,
    /// Anywhere.
    Anywhere,
}

/// Room for some tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Room {
    /// Time until they fit. The range is that of the last run which has to end before.
    pub at: Estimate,
    /// Workers where they then fit, one entry a task, the fastest workers first.
    pub places: Vec<WorkerIndex>,
}

/// A run whose end frees resources.
#[derive(Clone, Copy, Debug)]
struct EndingRun {
    place: WorkerIndex,
    held: Resources,
    /// Its unit, as an index into [`Ends::units`].
    unit: u32,
}

/// Runs that end together: the members of a gang, or a single run.
#[derive(Clone, Debug)]
struct EndingUnit {
    end: UnitEnd,
    /// Whether this round stops it, so that its resources count as those of stops under way.
    is_stopped: bool,
}

/// When a unit ends.
#[derive(Clone, Debug)]
enum UnitEnd {
    /// When the last one of these ends, a range of [`Ends::remaining`].
    Last(Range<usize>),
    /// As estimated already.
    Estimated(Estimate),
    /// Not by itself.
    Never,
}

/// Estimated ends of all runs.
#[derive(Debug, Default)]
pub struct Ends {
    /// The runs, those of the fleet first and in the same order.
    runs: Vec<EndingRun>,
    units: Vec<EndingUnit>,
    remaining: Vec<Remaining>,
    /// Capacity of each worker, side by side, since each question passes over them.
    capacities: Vec<Resources>,
    /// The runs in the order of their expected ends.
    expected: OnceCell<Vec<EndOf>>,
    /// The runs in the order of the early ends of their ranges.
    early: OnceCell<Vec<EndOf>>,
}

/// The end of a run and its index in [`Ends::runs`], in one number, which is sorted several times as fast as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EndOf(u64);

impl EndOf {
    /// Bits for the index of a run; enough for ten times the runs of the largest fleet that is planned for.
    const INDEX_BITS: u32 = 20;
    const MAX_MS: u64 = u64::MAX >> Self::INDEX_BITS;

    const fn new(ms: u64, run: usize) -> Self {
        let ms = if ms < Self::MAX_MS { ms } else { Self::MAX_MS };
        Self(ms << Self::INDEX_BITS | run as u64)
    }

    const fn ms(self) -> u64 {
        self.0 >> Self::INDEX_BITS
    }

    const fn run(self) -> usize {
        (self.0 & ((1 << Self::INDEX_BITS) - 1)) as usize
    }
}

/// Which end of a range counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bound {
    Expected,
    Early,
}

impl Ends {
    fn with_capacity(runs: usize) -> Self {
        Self {
            runs: Vec::with_capacity(runs),
            units: Vec::with_capacity(runs),
            remaining: Vec::with_capacity(runs),
            ..Self::default()
        }
    }

    /// Returns when a unit ends; `None` if it doesn't by itself.
    fn end(&self, unit: &EndingUnit) -> Option<Estimate> {
        match &unit.end {
            UnitEnd::Last(range) => {
                let ends = self.remaining[range.clone()].iter().map(Remaining::estimate);
                ends.reduce(Estimate::later)
            }
            UnitEnd::Estimated(end) => Some(*end),
            UnitEnd::Never => None,
        }
    }

    fn end_ms(&self, unit: &EndingUnit, bound: Bound) -> Option<u64> {
        match (bound, &unit.end) {
            (Bound::Expected, UnitEnd::Last(range)) => {
                self.remaining[range.clone()].iter().map(Remaining::ms).max()
            }
            (Bound::Expected, _) => self.end(unit).map(|end| end.ms),
            (Bound::Early, _) => self.end(unit).map(|end| end.early_ms),
        }
    }

    /// Returns the runs in the order of their ends, without those that don't end by themselves.
    fn by(&self, bound: Bound) -> &[EndOf] {
        let known = match bound {
            Bound::Expected => &self.expected,
            Bound::Early => &self.early,
        };
        known.get_or_init(|| {
            let units: Vec<Option<u64>> =
                self.units.iter().map(|unit| self.end_ms(unit, bound)).collect();
            let runs = self.runs.iter().enumerate();
            let ends =
                runs.filter_map(|(index, run)| Some(EndOf::new(units[run.unit as usize]?, index)));
            let mut ends: Vec<EndOf> = ends.collect();
            ends.sort_unstable();
            ends
        })
    }

    /// Adds runs of which nothing more is known.
    fn add_unending(&mut self, runs: &[RunningTask]) {
        let unit = self.units.len() as u32;
        self.units.push(EndingUnit { end: UnitEnd::Never, is_stopped: false });
        let ending = runs.iter().map(|run| EndingRun { place: run.place, held: run.held, unit });
        self.runs.extend(ending);
    }

    /// Returns the index of the unit of a running task.
    fn unit_of(&self, fleet: &FleetState, task: &TaskId) -> Option<usize> {
        // The runs are listed in the order of their ids.
        let run = fleet.running.binary_search_by(|run| run.id.cmp(task)).ok()?;
        Some(self.runs[run].unit as usize)
    }

    /// Stops the unit of a running task, so that its resources count as those of stops under way.
    pub(super) fn stop(&mut self, fleet: &FleetState, task: &TaskId) {
        if let Some(unit) = self.unit_of(fleet, task) {
            self.units[unit].is_stopped = true;
        }
    }

    /// Adds runs that end together at some workers, one entry a run.
    pub(super) fn add(&mut self, places: &[WorkerIndex], held: Resources, end: Estimate) {
        let unit = self.units.len() as u32;
        self.units.push(EndingUnit { end: UnitEnd::Estimated(end), is_stopped: false });
        for &place in places {
            let index = self.runs.len();
            self.runs.push(EndingRun { place, held, unit });
            for (known, ms) in [(&mut self.expected, end.ms), (&mut self.early, end.early_ms)] {
                let Some(ends) = known.get_mut() else { continue };
                let end = EndOf::new(ms, index);
                ends.insert(ends.partition_point(|other| *other < end), end);
            }
        }
    }
}

impl Completion<'_> {
    /// Returns when `count` tasks will fit if nothing is stopped, or `None` if they never do: if the workers are too
    /// small, or are held by runs that don't end.
    #[must_use]
    pub fn room(
        &self,
        fleet: &FleetState,
        need: &Need<'_>,
        count: usize,
        scope: RoomScope,
    ) -> Option<Room> {
        let mut search = Search::new(self, fleet, need, scope);
        let at = search.run(Bound::Expected, count)?;
        let slowness = |place: WorkerIndex| self.slowness(fleet, place);
        Some(Room { at: at.time, places: search.places(at.group, count, slowness) })
    }

    /// Returns the earliest time, in milliseconds, at which `count` tasks could fit if every run ended at the early end
    /// of its range.
    #[must_use]
    pub fn earliest_room_ms(
        &self,
        fleet: &FleetState,
        need: &Need<'_>,
        count: usize,
        scope: RoomScope,
    ) -> Option<u64> {
        Search::new(self, fleet, need, scope).run(Bound::Early, count).map(|at| at.time.early_ms)
    }

    /// Lists when each run of the fleet ends by itself, in the fleet's order: the expected time and the early end of its
    /// range, in milliseconds; `None` where it isn't known to end.
    #[must_use]
    pub fn run_ends(&self, fleet: &FleetState) -> Vec<(Option<u64>, Option<u64>)> {
        let ends = self.ends(fleet);
        let of_unit = |unit: &EndingUnit| {
            (ends.end_ms(unit, Bound::Expected), ends.end_ms(unit, Bound::Early))
        };
        let of_units: Vec<_> = ends.units.iter().map(of_unit).collect();
        let runs = ends.runs.iter().take(fleet.running.len());
        runs.map(|run| of_units[run.unit as usize]).collect()
    }

    fn ends(&self, fleet: &FleetState) -> &Ends {
        self.ends.get_or_init(|| {
            let mut ends = self.estimate_ends(fleet);
            self.apply_changes(fleet, &mut ends);
            ends
        })
    }

    /// Returns when the unit of a running task ends if it isn't stopped: its gang, or the task alone. Returns `None` if
    /// it doesn't end by itself.
    #[must_use]
    pub fn end_of_unit(&self, fleet: &FleetState, task: &TaskId) -> Option<Estimate> {
        let ends = self.ends(fleet);
        ends.end(&ends.units[ends.unit_of(fleet, task)?])
    }

    fn estimate_ends(&self, fleet: &FleetState) -> Ends {
        let instances = fleet.workers.iter().map(|worker| &worker.instance);
        let known = self.inputs.progress.runs_at_each(instances);
        let mut ends = Ends::with_capacity(fleet.running.len());
        ends.capacities = fleet.workers.iter().map(|worker| worker.record.capacity).collect();
        // The tasks of a step follow each other in the list of runs.
        let is_same_step = |one: &RunningTask, other: &RunningTask| {
            one.id.step == other.id.step
                && one.id.occurrence == other.id.occurrence
                && one.id.job == other.id.job
        };
        for runs in fleet.running.chunk_by(is_same_step) {
            self.add_ends_of_step(fleet, &known, runs, &mut ends);
        }
        ends
    }

    /// Adds the ends of the runs of one step.
    fn add_ends_of_step(
        &self,
        fleet: &FleetState,
        known: &[RunsAt<'_>],
        runs: &[RunningTask],
        ends: &mut Ends,
    ) {
        let job = runs.first().and_then(|run| self.inputs.table.jobs.get(&run.id.job));
        let step = job.and_then(|job| job.submission.steps.get(runs[0].id.step as usize));
        let (Some(job), Some(step)) = (job, step) else {
            ends.add_unending(runs);
            return;
        };
        let forecast = self.step_forecast(&job.submission, step);
        let plan = job.plan.as_deref();
        let size = if step.gang { runs.len() } else { 1 };
        for runs in runs.chunks(size) {
            let unit = ends.units.len() as u32;
            let ending = |run: &RunningTask| EndingRun { place: run.place, held: run.held, unit };
            ends.runs.extend(runs.iter().map(ending));
            let saved = self.saved_of_runs(step, plan, runs);
            let conditions = self.conditions_at(fleet, step, runs.iter().map(|run| run.place));
            let whole = self.whole_time(forecast, saved, conditions);
            let first = ends.remaining.len();
            ends.remaining.extend(runs.iter().map(|run| {
                let seen = known[run.place].find(&run.id, run.attempt);
                let run = Run { task: &run.id, attempt: run.attempt, is_gang: step.gang };
                self.remaining_of_run(whole, run, seen)
            }));
            let last = UnitEnd::Last(first..ends.remaining.len());
            let end = if step.long_running { UnitEnd::Never } else { last };
            ends.units.push(EndingUnit { end, is_stopped: false });
        }
    }

    /// Returns what the checkpoints hold from which some runs continue.
    fn saved_of_runs(&self, step: &Step, plan: Option<&JobPlan>, runs: &[RunningTask]) -> Saved {
        if !step.checkpointing {
            return Saved::default();
        }
        let tasks = runs.iter().filter_map(|run| {
            let task = plan?.task(&run.id).filter(|task| !task.checkpoint.is_empty())?;
            Some((run.id.clone(), task))
        });
        self.saved_of(step.gang, tasks)
    }
}

/// When and where tasks fit.
#[derive(Clone, Copy, Debug)]
struct Found {
    time: Estimate,
    group: usize,
}

/// One pass over the ends of the runs. Its lists are indexed by the position of a worker among the eligible ones.
struct Search<'a> {
    fleet: &'a FleetState,
    need: &'a Need<'a>,
    ends: &'a Ends,
    stop_ms: u64,
    eligible: &'a [WorkerIndex],
    /// Position of each worker among the eligible ones.
    positions: Vec<u32>,
    free: Vec<Resources>,
    overcommit: Vec<Resources>,
    members: Option<Vec<u32>>,
    /// Number of tasks that fit at each worker, up to now.
    fitting: Vec<u32>,
    /// Group of each worker in which all tasks have to fit: its rack, or the same for all.
    groups: Vec<usize>,
    /// Number of tasks that fit in each group.
    totals: Vec<u64>,
}

/// Marks a worker that may not run the step.
const NOT_ELIGIBLE: u32 = u32::MAX;

impl<'a> Search<'a> {
    fn new(
        completion: &'a Completion<'_>,
        fleet: &'a FleetState,
        need: &'a Need<'a>,
        scope: RoomScope,
    ) -> Self {
        let eligible = need.eligible(fleet);
        metrics().workers_searched.inc_by(eligible.len() as u64);
        let mut positions = vec![NOT_ELIGIBLE; fleet.workers.len()];
        for (position, &place) in eligible.iter().enumerate() {
            positions[place] = position as u32;
        }
        let group = |&place: &WorkerIndex| match scope {
            RoomScope::OneRack => fleet.workers[place].rack,
            RoomScope::Anywhere => 0,
        };
        let mut search = Self {
            fleet,
            need,
            ends: completion.ends(fleet),
            stop_ms: completion.settings.stop.as_millis() as u64,
            eligible,
            positions,
            free: eligible.iter().map(|&place| fleet.free[place]).collect(),
            overcommit: eligible.iter().map(|&place| fleet.overcommit[place]).collect(),
            members: fleet.members(need.step, &need.key, eligible),
            fitting: vec![0; eligible.len()],
            groups: eligible.iter().map(group).collect(),
            totals: vec![0; fleet.racks.len().max(1)],
        };
        (0..eligible.len()).for_each(|position| {
            search.count(position);
        });
        search
    }

    /// Counts again how many tasks fit at a worker. Returns its group.
    fn count(&mut self, position: usize) -> usize {
        let present = self.members.as_ref().map_or(0, |members| members[position]);
        let fitting = self.need.max_tasks_at(&self.free[position], present);
        let group = self.groups[position];
        self.totals[group] += u64::from(fitting);
        self.totals[group] -= u64::from(std::mem::replace(&mut self.fitting[position], fitting));
        group
    }

    /// Returns whether `count` tasks would fit into one group if nothing ran.
    fn could_hold(&self, count: u64) -> bool {
        let mut totals = vec![0; self.totals.len()];
        for (&place, &group) in self.eligible.iter().zip(&self.groups) {
            let capacity = &self.ends.capacities[place];
            totals[group] += u64::from(self.need.max_tasks_at(capacity, 0));
        }
        totals.into_iter().any(|total: u64| total >= count)
    }

    fn run(&mut self, bound: Bound, count: usize) -> Option<Found> {
        let count = count as u64;
        if let Some(group) = self.totals.iter().position(|total| *total >= count) {
            return Some(Found { time: Estimate::exact(0), group });
        }
        if !self.could_hold(count) {
            return None;
        }
        let ends = self.ends;
        let mut stops_ended = false;
        for end in ends.by(bound) {
            if !stops_ended && end.ms() > self.stop_ms {
                stops_ended = true;
                if let Some(group) = self.end_stops(count) {
                    return Some(Found { time: Estimate::exact(self.stop_ms), group });
                }
            }
            let run = &ends.runs[end.run()];
            let unit = &ends.units[run.unit as usize];
            let position = self.positions[run.place];
            if unit.is_stopped || position == NOT_ELIGIBLE {
                continue;
            }
            let group = self.end_run(position as usize, &run.held);
            if self.totals[group] >= count {
                return Some(Found { time: ends.end(unit)?, group });
            }
        }
        if stops_ended {
            return None;
        }
        let group = self.end_stops(count)?;
        Some(Found { time: Estimate::exact(self.stop_ms), group })
    }

    fn end_run(&mut self, position: usize, held: &Resources) -> usize {
        self.free[position].give_net_of(held, &mut self.overcommit[position]);
        self.count(position)
    }

    /// Ends the stops under way. Returns a group in which `count` tasks then fit.
    fn end_stops(&mut self, count: u64) -> Option<usize> {
        for position in 0..self.eligible.len() {
            let freed = self.fleet.workers[self.eligible[position]].freed_soon;
            if freed != Resources::default() {
                self.free[position].give(&freed);
                self.count(position);
            }
        }
        self.totals.iter().position(|total| *total >= count)
    }

    /// Chooses workers for `count` tasks among those of a group, the fastest first and then the fullest.
    fn places(
        &self,
        group: usize,
        count: usize,
        slowness: impl Fn(WorkerIndex) -> f64,
    ) -> Vec<WorkerIndex> {
        let positions = 0..self.eligible.len();
        let mut fitting: Vec<usize> = positions
            .filter(|&position| self.groups[position] == group && self.fitting[position] > 0)
            .collect();
        fitting.sort_by(|&one, &other| {
            let slowness = |position: usize| slowness(self.eligible[position]);
            let devices = |position: usize| self.free[position].devices;
            slowness(one).total_cmp(&slowness(other)).then(devices(one).cmp(&devices(other)))
        });
        let places = fitting.into_iter().flat_map(|position| {
            let tasks = self.fitting[position] as usize;
            std::iter::repeat_n(self.eligible[position], tasks.min(count))
        });
        places.take(count).collect()
    }
}
