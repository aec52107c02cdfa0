//! When there will be room for tasks if nothing is stopped.
//!
//! Running tasks end as estimated, in that order, and stops under way end after the time of a stop. The ends of all runs
//! are estimated once a round, at the first question. Each question then passes over them in their order until the tasks
//! fit, so it should be asked only for steps that wait.

use std::cell::OnceCell;
use std::ops::Range;

use crate::job::{Resources, TaskId};
use crate::metrics::metrics;
use crate::planner::WorkerIndex;
use crate::planner::fit::Need;
use crate::planner::fleet_state::FleetState;
use crate::planner::running::RunningTask;

use super::durations::Batch;
use super::remaining::Run;
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

/// The end of a run, by its index in [`Ends::runs`].
type EndOf = (u64, u32);

/// A run whose end frees resources.
#[derive(Clone, Debug)]
struct EndingRun {
    place: WorkerIndex,
    held: Resources,
    end: Estimate,
    /// Whether it is being stopped, so that its resources count as those of stops under way.
    is_stopped: bool,
}

/// Estimated ends of all runs.
#[derive(Debug)]
pub struct Ends {
    runs: Vec<EndingRun>,
    /// The runs by their expected ends.
    expected: OnceCell<Vec<EndOf>>,
    /// The runs by the early ends of their ranges.
    early: OnceCell<Vec<EndOf>>,
}

/// Which end of a range counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bound {
    Expected,
    Early,
}

impl Bound {
    const fn of(self, end: &Estimate) -> u64 {
        match self {
            Self::Expected => end.ms,
            Self::Early => end.early_ms,
        }
    }
}

impl Ends {
    fn by(&self, bound: Bound) -> &[EndOf] {
        let known = match bound {
            Bound::Expected => &self.expected,
            Bound::Early => &self.early,
        };
        known.get_or_init(|| {
            let runs = self.runs.iter().enumerate();
            let mut ends: Vec<EndOf> =
                runs.map(|(index, run)| (bound.of(&run.end), index as u32)).collect();
            ends.sort_unstable();
            ends
        })
    }

    fn push(&mut self, run: EndingRun) {
        let index = self.runs.len() as u32;
        for (known, bound) in
            [(&mut self.expected, Bound::Expected), (&mut self.early, Bound::Early)]
        {
            let Some(ends) = known.get_mut() else { continue };
            let end = (bound.of(&run.end), index);
            let at = ends.partition_point(|other| *other < end);
            ends.insert(at, end);
        }
        self.runs.push(run);
    }
}

/// Returns the ranges of the runs that end together. The members of a gang follow each other in the list of runs.
fn units(running: &[RunningTask]) -> impl Iterator<Item = Range<usize>> {
    let is_same_gang = |one: &RunningTask, other: &RunningTask| {
        one.gang
            && one.id.step == other.id.step
            && one.id.occurrence == other.id.occurrence
            && one.id.job == other.id.job
    };
    let mut start = 0;
    running.chunk_by(is_same_gang).map(move |unit| {
        let range = start..start + unit.len();
        start = range.end;
        range
    })
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

    /// Takes into account that this round stops a unit: a gang, or a single run. `unit` is one of its tasks.
    pub fn note_stopped(&mut self, fleet: &FleetState, unit: &TaskId) {
        self.ends(fleet);
        let Some(ends) = self.ends.get_mut() else { return };
        // The runs are listed in the order of their ids.
        let Ok(found) = fleet.running.binary_search_by(|run| run.id.cmp(unit)) else { return };
        let gang = units(&fleet.running).find(|range| range.contains(&found));
        for run in gang.into_iter().flatten() {
            ends.runs[run].is_stopped = true;
        }
    }

    /// Takes into account that this round starts tasks at some workers, one entry a task.
    pub fn note_started(&mut self, fleet: &FleetState, batch: &Batch<'_>, places: &[WorkerIndex]) {
        let end = self.duration(fleet, batch, places);
        let held = batch.step.charge();
        self.ends(fleet);
        let Some(ends) = self.ends.get_mut() else { return };
        if batch.step.long_running {
            return;
        }
        for &place in places {
            ends.push(EndingRun { place, held, end, is_stopped: false });
        }
    }

    fn ends(&self, fleet: &FleetState) -> &Ends {
        self.ends.get_or_init(|| self.estimate_ends(fleet))
    }

    fn estimate_ends(&self, fleet: &FleetState) -> Ends {
        let mut runs = Vec::with_capacity(fleet.running.len());
        for unit in units(&fleet.running) {
            let unit = &fleet.running[unit];
            let end = self.end_of(fleet, unit);
            runs.extend(unit.iter().map(|run| EndingRun {
                place: run.place,
                held: run.held,
                end: end.unwrap_or(NEVER),
                is_stopped: false,
            }));
        }
        Ends { runs, expected: OnceCell::new(), early: OnceCell::new() }
    }

    /// Returns when a unit ends; `None` if it doesn't end by itself.
    fn end_of(&self, fleet: &FleetState, unit: &[RunningTask]) -> Option<Estimate> {
        let first = &unit.first()?.id;
        let job = self.inputs.table.jobs.get(&first.job)?;
        let step = job.submission.steps.get(first.step as usize)?;
        if step.long_running {
            return None;
        }
        let of_unit = unit.iter().filter_map(|run| {
            let plan = job.plan.as_ref()?;
            Some((run.id.clone(), plan.task(&run.id)?))
        });
        let saved =
            self.saved_of(step.gang, of_unit.filter(|(_, task)| !task.checkpoint.is_empty()));
        let places = unit.iter().map(|run| run.place);
        let conditions = self.conditions_at(fleet, step, places);
        let whole =
            self.duration_under(&Batch { submission: &job.submission, step, saved }, conditions);
        let runs = unit.iter().map(|run| Run {
            task: &run.id,
            attempt: run.attempt,
            instance: &fleet.workers[run.place].instance,
            is_gang: run.gang,
        });
        self.remaining_of(whole, runs)
    }
}

/// The end of a run that doesn't end by itself.
const NEVER: Estimate = Estimate::exact(u64::MAX);

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

    fn run(&mut self, bound: Bound, count: usize) -> Option<Found> {
        let count = count as u64;
        if let Some(group) = self.totals.iter().position(|total| *total >= count) {
            return Some(Found { time: Estimate::exact(0), group });
        }
        let ends = self.ends;
        let mut stops_ended = false;
        for &(at_ms, run) in ends.by(bound) {
            if !stops_ended && at_ms > self.stop_ms {
                stops_ended = true;
                if let Some(group) = self.end_stops(count) {
                    return Some(Found { time: Estimate::exact(self.stop_ms), group });
                }
            }
            let run = &ends.runs[run as usize];
            if at_ms == u64::MAX {
                return None;
            }
            if run.is_stopped {
                continue;
            }
            let position = self.positions[run.place];
            if position == NOT_ELIGIBLE {
                continue;
            }
            let group = self.end_run(position as usize, &run.held);
            if self.totals[group] >= count {
                return Some(Found { time: run.end, group });
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
