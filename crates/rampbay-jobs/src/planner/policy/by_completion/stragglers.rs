//! Which runs start again elsewhere, since they hold up their steps.
//!
//! Load: workers of which a quarter needs 0.55 times the work and the others 1.2 times, and workers that turn several
//! times slower for some seconds or stand still for some 6 s. A step ends with its last task, and a gang goes at the
//! pace of its slowest member. So a run that has been slow from its start is stopped and started again, if it then ends
//! sooner even at the late end of the estimate, and the step loses no more work than it gains time.
//!
//! What is slow for some seconds only recovers by itself, and where all is slow nothing is gained elsewhere. After an
//! outage of the reports rates are off. In these cases nothing is moved.

mod calm;
mod peers;
mod units;

use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use crate::job::{EpochMillis, InstanceId, JobId, Submission};
use crate::plan::{JobPlan, Occurrence, TaskPlan};
use crate::planner::completion::durations::Batch;
use crate::planner::fit::{Need, place_all, place_in_rack};
use crate::planner::fleet_state::FleetState;
use crate::planner::policy::StepQuestion;
use crate::planner::policy::{
    PlacementPolicy, RoundEnd, RoundStart, RunChange, RunEvent, StopReason, Straggler,
};
use crate::planner::{PlannerSettings, WorkerIndex};
use crate::record::EndReason;

use calm::Calm;
use peers::GeneralPace;
use units::{StepRuns, Unit};

/// Time between two checks, in which each worker may have been reported once more.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Smallest gain: what callers notice of jobs that take several seconds, and more than a stop and a new start take.
const MIN_GAIN_MS: u64 = 1_000;
/// Part of the remaining time that is gained at least.
const MIN_GAIN_PART: u64 = 4;
/// Time that is gained at least for each second of work that is lost. Other callers miss the room in which work is done
/// twice, and a slow worker may recover.
const MIN_GAIN_PER_LOSS: u64 = 2;
/// Time from the end of a stop until the task runs elsewhere, in milliseconds: a round, the record of its decision and
/// the start.
const START_MS: u64 = 300;
/// Part of the tasks of a step that are its last ones.
const LAST_PART: usize = 4;
/// Most tasks of a step that are moved, at once. More than these are slow for a reason of their own.
const MAX_MOVED: usize = 3;
/// Most steps in which runs are moved in one check, so that the fleet's reports show what came of them first.
const MAX_STEPS: usize = 2;

/// A unit that was moved and hasn't ended.
#[derive(Clone, Debug)]
struct Moved {
    straggler: Straggler,
    /// Number of the run that was stopped.
    attempt: u32,
    at: Duration,
}

/// The moved units of the steps of a job, by occurrence and step. A step stays in the list when they have ended.
type MovedOfJob = BTreeMap<(u32, u32), Vec<Moved>>;

/// Chooses the runs that start again, and keeps what came of it.
#[derive(Debug)]
pub struct Stragglers {
    stop_ms: u64,
    has_begun: bool,
    next_check: Duration,
    is_due: bool,
    calm: Calm,
    /// Workers reserved for urgent work.
    reserved: HashSet<InstanceId>,
    /// Steps of which runs were moved, by job.
    moved: BTreeMap<JobId, MovedOfJob>,
}

impl Stragglers {
    /// Creates the rules without any state from earlier rounds.
    pub fn new(settings: &PlannerSettings) -> Self {
        Self {
            stop_ms: settings.stop_time.as_millis() as u64,
            has_begun: false,
            next_check: Duration::ZERO,
            is_due: false,
            calm: Calm::default(),
            reserved: HashSet::new(),
            moved: BTreeMap::new(),
        }
    }

    /// Records what has happened since the last round, and whether runs are checked in this one.
    pub fn update(&mut self, start: &RoundStart<'_>) {
        let now = start.inputs.now;
        if !std::mem::replace(&mut self.has_begun, true) {
            self.note_earlier_moves(start);
        }
        self.note_events(start);
        self.moved.retain(|job, _| start.inputs.table.active.contains(job));
        self.is_due = now >= self.next_check;
        if self.is_due {
            self.next_check = now + CHECK_INTERVAL;
            self.calm.update(start.inputs);
        }
    }

    /// Takes each step with a worker to avoid as moved: a planner that takes over doesn't know whether a run failed there
    /// or was moved.
    fn note_earlier_moves(&mut self, start: &RoundStart<'_>) {
        let avoids = |tasks: &[TaskPlan]| tasks.iter().any(|task| !task.failed_at.is_empty());
        for id in &start.inputs.table.active {
            let plan = start.inputs.table.jobs.get(id).and_then(|job| job.plan.as_ref());
            for occurrence in plan.iter().flat_map(|plan| &plan.open) {
                let steps = (0_u32..).zip(&occurrence.steps);
                for (step, _) in steps.filter(|(_, tasks)| avoids(tasks)) {
                    let moved = self.moved.entry(id.clone()).or_default();
                    moved.entry((occurrence.number, step)).or_default();
                }
            }
        }
    }

    fn note_events(&mut self, start: &RoundStart<'_>) {
        let now = start.inputs.now;
        for event in start.events {
            match &event.change {
                RunChange::Stopped(StopReason::Straggler(straggler)) => {
                    self.note_move(event, straggler, now);
                }
                RunChange::Ended(EndReason::Done) => self.note_done(event, now),
                _ => {}
            }
        }
    }

    fn note_move(&mut self, event: &RunEvent, straggler: &Straggler, now: Duration) {
        let steps = self.moved.entry(event.task.job.clone()).or_default();
        let units = steps.entry((event.task.occurrence, event.task.step)).or_default();
        if event.task == straggler.task {
            let straggler = straggler.clone();
            units.push(Moved { straggler, attempt: event.attempt, at: now });
        }
    }

    /// Logs what came of a move when the task is done.
    fn note_done(&mut self, event: &RunEvent, now: Duration) {
        let task = &event.task;
        let steps = self.moved.get_mut(&task.job);
        let Some(units) = steps.and_then(|steps| steps.get_mut(&(task.occurrence, task.step)))
        else {
            return;
        };
        for moved in units.extract_if(.., |moved| moved.straggler.task == *task) {
            let took = now.saturating_sub(moved.at).as_millis() as u64;
            moved.straggler.log(match event.attempt == moved.attempt {
                true => "ended_before_stop",
                false if took <= moved.straggler.here_ms => "sooner",
                false => "later",
            });
        }
    }

    fn has_moved(&self, job: &JobId, occurrence: u32, step: u32) -> bool {
        self.moved.get(job).is_some_and(|steps| steps.contains_key(&(occurrence, step)))
    }

    /// Keeps the workers that are reserved for urgent work.
    pub fn note_reserve(&mut self, fleet: &FleetState, reserved: &[WorkerIndex]) {
        let instances = reserved.iter().map(|&place| fleet.workers[place].instance.clone());
        self.reserved = instances.collect();
    }

    /// Chooses the runs that start again elsewhere.
    pub fn choose(&self, end: &RoundEnd<'_>, policy: &dyn PlacementPolicy) -> Vec<Straggler> {
        if !self.is_due || !self.calm.is_calm(end.round.inputs.now) {
            return Vec::new();
        }
        Search { rules: self, end, policy, fleet: None, pace: None }.run()
    }
}

/// The runs that are moved if a step gains by it.
#[derive(Debug)]
struct Plan<'u> {
    units: &'u [Unit],
    /// When the other tasks of the step end, in milliseconds.
    others_ms: u64,
}

/// One check of all steps.
struct Search<'a> {
    rules: &'a Stragglers,
    end: &'a RoundEnd<'a>,
    policy: &'a dyn PlacementPolicy,
    /// State of all workers; computed when a run is slow enough.
    fleet: Option<FleetState>,
    pace: Option<GeneralPace>,
}

impl Search<'_> {
    fn run(mut self) -> Vec<Straggler> {
        let end = self.end;
        let mut chosen = Vec::new();
        let mut steps = 0;
        for (job, submission, plan) in end.jobs() {
            for occurrence in &plan.open {
                for step in steps_of(job, submission, plan, occurrence) {
                    let found = self.check(&step);
                    steps += usize::from(!found.is_empty());
                    chosen.extend(found);
                    if steps >= MAX_STEPS {
                        return chosen;
                    }
                }
            }
        }
        chosen
    }

    fn check(&mut self, step: &StepRuns<'_>) -> Vec<Straggler> {
        if step.step.long_running || self.rules.has_moved(step.job, step.occurrence, step.number) {
            return Vec::new();
        }
        let Some(open) = step.all_running().filter(|open| !open.is_empty()) else {
            return Vec::new();
        };
        let found =
            if step.step.gang { self.check_gang(step, open) } else { self.check_last(step, &open) };
        found.unwrap_or_default()
    }

    fn check_gang(&mut self, step: &StepRuns<'_>, open: Vec<u32>) -> Option<Vec<Straggler>> {
        if open.len() < step.tasks.len() {
            // A member is done, and with it the gang.
            return None;
        }
        let average_ms = self.end.forecast_ms(step.submission, step.number);
        let unit = Unit::of(self.end, step, open, average_ms)?;
        self.decide(step, &Plan { units: &[unit], others_ms: 0 })
    }

    /// Checks the last tasks of a step, from the slowest one on: how many of them have to move so that the step gains.
    fn check_last(&mut self, step: &StepRuns<'_>, open: &[u32]) -> Option<Vec<Straggler>> {
        if open.len() > (step.tasks.len() / LAST_PART).max(1) {
            return None;
        }
        let forecast_ms = || self.end.forecast_ms(step.submission, step.number);
        let average_ms = peers::peer_ms(self.end, step).unwrap_or_else(forecast_ms);
        let mut known = Vec::new();
        let mut unknown_ms = 0;
        for &index in open {
            if let Some(unit) = Unit::of(self.end, step, vec![index], average_ms) {
                known.push(unit);
                continue;
            }
            let remaining = self.end.round.completion.remaining(&[step.task(index)], step.plan)?;
            unknown_ms = remaining.ms.max(unknown_ms);
        }
        known.sort_by_key(|unit| std::cmp::Reverse(unit.remaining_ms));
        (1..=known.len().min(MAX_MOVED)).find_map(|count| {
            let others_ms = known.get(count).map_or(0, |unit| unit.remaining_ms).max(unknown_ms);
            self.decide(step, &Plan { units: &known[..count], others_ms })
        })
    }

    /// Returns the units of a plan if the step gains by their restart and there is room for it.
    fn decide(&mut self, step: &StepRuns<'_>, plan: &Plan<'_>) -> Option<Vec<Straggler>> {
        let here_ms = plan.units.iter().map(|unit| unit.remaining_ms).max()?;
        let stop_ms = self.rules.stop_ms + START_MS;
        let pays = |elsewhere_ms: u64| {
            let gain_ms = here_ms.saturating_sub(elsewhere_ms.max(plan.others_ms));
            let lost_ms = plan.units.iter().map(|unit| unit.unsaved_ms + stop_ms);
            gain_ms >= MIN_GAIN_MS
                && gain_ms * MIN_GAIN_PART >= here_ms
                && lost_ms.sum::<u64>() * MIN_GAIN_PER_LOSS <= gain_ms * plan.units.len() as u64
        };
        // Before workers are searched: whether it pays if the restart takes no time but that of a stop.
        if !pays(stop_ms) || self.ends_in_time(step, here_ms) {
            return None;
        }
        let elsewhere_ms = stop_ms.saturating_add(self.restart_ms(step, plan.units)?);
        if !pays(elsewhere_ms) {
            return None;
        }
        let weight = step.step.demand.weight();
        let stragglers = plan.units.iter().map(|unit| Straggler {
            task: step.task(unit.tasks[0]),
            worker: unit.slow.clone(),
            here_ms: unit.remaining_ms,
            elsewhere_ms,
            lost_work: weight * unit.tasks.len() as u64 * (unit.unsaved_ms + self.rules.stop_ms)
                / 1000,
        });
        Some(stragglers.collect())
    }

    /// Returns whether urgent work ends in time where it is. A restart might break what it is guaranteed.
    fn ends_in_time(&self, step: &StepRuns<'_>, here_ms: u64) -> bool {
        let objective_at: EpochMillis = step.submission.objective_at(step.occurrence);
        step.submission.priority == 0 && self.end.round.inputs.wall + here_ms <= objective_at
    }

    /// Returns how long the restarted units take until the last one ends, at the late end of the range, at the workers
    /// where they fit now; `None` if they don't fit.
    fn restart_ms(&mut self, step: &StepRuns<'_>, units: &[Unit]) -> Option<u64> {
        let places = self.find_places(step, units)?;
        let end = self.end;
        let fleet = self.fleet.as_ref()?;
        let saved = units.iter().map(|unit| unit.saved).min()?;
        let batch = Batch { submission: step.submission, step: step.step, saved };
        let conditions =
            end.round.completion.conditions_at(fleet, step.step, places.iter().copied());
        let peer_ms = peers::peer_ms(end, step);
        let estimate = end.round.completion.restart(&batch, peer_ms, conditions);
        let pace = self.pace.get_or_insert_with(|| GeneralPace::measure(end));
        Some((estimate.late_ms as f64 * pace.without(&step.key())) as u64)
    }

    /// Finds workers for the units in what is free now, and in what a gang frees itself, and takes it.
    fn find_places(&mut self, step: &StepRuns<'_>, units: &[Unit]) -> Option<Vec<WorkerIndex>> {
        let (end, rules, policy) = (self.end, self.rules, self.policy);
        let fleet = self.fleet.get_or_insert_with(|| rules.fleet(end));
        let slow: Vec<InstanceId> = units.iter().map(|unit| unit.slow.clone()).collect();
        let tasks: Vec<u32> = units.iter().flat_map(|unit| unit.tasks.iter().copied()).collect();
        let count = tasks.len();
        let waiting = end.as_waiting(step.submission, &step.task(tasks[0]), tasks);
        let plan = end.plan(&waiting.job);
        let question = StepQuestion { waiting: &waiting, plan, count, fleet, round: &end.round };
        let uses_reserve = policy.may_use_reserve(&question);
        let need = Need::of(&waiting, slow.clone(), uses_reserve, policy);
        let may_take = |&place: &WorkerIndex| {
            let worker = &fleet.workers[place];
            !worker.avoided && !worker.unconfirmed && !slow.contains(&worker.instance)
        };
        let places = need.eligible(fleet).iter().copied().filter(may_take).collect();
        let need = need.at(places);
        let before = fleet.free.clone();
        if step.step.gang {
            free_own(fleet, units, step);
        }
        let found = if step.step.gang && step.step.same_rack && count > 1 {
            place_in_rack(fleet, &need, count)
        } else {
            place_all(fleet, &need, count)
        };
        fleet.free = before;
        found
    }
}

impl Stragglers {
    /// Returns the state of all workers, with the reserve.
    fn fleet(&self, end: &RoundEnd<'_>) -> FleetState {
        let mut fleet = end.fleet();
        for worker in &mut fleet.workers {
            worker.reserved = self.reserved.contains(&worker.instance);
        }
        fleet
    }
}

/// Adds what a gang holds to what is free.
fn free_own(fleet: &mut FleetState, units: &[Unit], step: &StepRuns<'_>) {
    let held = step.step.charge();
    for instance in units.iter().flat_map(|unit| &unit.workers) {
        let place = fleet.workers.iter().position(|worker| worker.instance == *instance);
        let Some(place) = place.filter(|&place| !fleet.is_closed(place)) else { continue };
        let mut owed = fleet.overcommit[place];
        fleet.free[place].give_net_of(&held, &mut owed);
    }
}

/// Lists the steps of an occurrence.
fn steps_of<'a>(
    job: &'a JobId,
    submission: &'a Rc<Submission>,
    plan: &'a JobPlan,
    occurrence: &'a Occurrence,
) -> impl Iterator<Item = StepRuns<'a>> {
    let steps = occurrence.steps.iter().zip(&submission.steps).enumerate();
    steps.map(move |(number, (tasks, step))| StepRuns {
        job,
        submission,
        plan,
        occurrence: occurrence.number,
        number: number as u32,
        step,
        tasks,
    })
}
