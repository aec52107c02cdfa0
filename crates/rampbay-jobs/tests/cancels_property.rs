//! Jobs, their cancellations and late copies of both, removals, tables that are read anew, and leaders, in any order.
//!
//! The log holds what the store has carried out, in its order. An entry decides by a view that lags behind it; the calls
//! of entries are carried out late, and more than once. The leader decides by a view of the whole log, and other records
//! may come between its decision and the record of it.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use rampbay_jobs::cancel::{Canceller, EarlyCancel, number_at};
use rampbay_jobs::job::{JobId, TaskId};
use rampbay_jobs::plan::{JobStatus, TaskPlan, TaskStatus};
use rampbay_jobs::record::{EndReason, KeyedRecord, Record, RunEnd};
use rampbay_jobs::table::JobTable;
use support::planner::PlannerRig;
use support::property::config;
use support::{canceller, job, run_in_virtual_time, step};

const JOBS: [&str; 3] = ["00000000000000aa", "00000000000000bb", "00000000000000cc"];
/// Time between two rounds of a leader.
const TICK: Duration = Duration::from_millis(500);
/// Largest delay of a call, in ticks: 12 s.
const MAX_DELAY: u64 = 24;
/// Ticks after the last event, in which all calls are carried out and all runs end.
const SETTLE_TICKS: u64 = 60;
/// Ticks after that, in which all that has ended is removed: the time that ended jobs are kept for (240 s), then the time
/// that cancellations without jobs are kept for at most.
const QUIET_TICKS: u64 = 1_000;
/// Largest age of an entry's view, in ticks.
const MAX_LAG: u64 = 3;
/// Work of a run, in ticks.
const RUN_TICKS: u64 = 2;
/// Ticks for which an acknowledged cancelling holds for a job that isn't stored: 120 s.
const KEPT_TICKS: u64 = 240;

/// How a call of an entry to the store goes.
#[derive(Clone, Debug)]
struct Carried {
    /// When it is carried out, each time, in ticks after it was sent; none if it is lost.
    after: Vec<u64>,
    /// Age of the entry's view, in ticks.
    view_lag: u64,
}

#[derive(Clone, Debug)]
enum Event {
    /// A caller submits a job.
    Submit(usize, Carried),
    /// A caller cancels a job, one of its own or of another workspace.
    Cancel(usize, bool, Carried),
    /// Another process leads. Its decisions are carried out this many ticks after they were made.
    NewLeader(u64),
    /// All power is lost: the next leader and the agents read the newest record of each key.
    PowerLoss,
}

fn carried() -> impl Strategy<Value = Carried> {
    let at_once = Just(vec![0]);
    let late = vec(0..MAX_DELAY, 0..3);
    (prop_oneof![2 => at_once, 3 => late], 0..MAX_LAG)
        .prop_map(|(after, view_lag)| Carried { after, view_lag })
}

fn event() -> impl Strategy<Value = Event> {
    let job = 0..JOBS.len();
    prop_oneof![
        4 => (job.clone(), carried()).prop_map(|(job, call)| Event::Submit(job, call)),
        4 => (job, prop::bool::weighted(0.8), carried())
            .prop_map(|(job, is_own, call)| Event::Cancel(job, is_own, call)),
        1 => (0_u64..8).prop_map(Event::NewLeader),
        1 => Just(Event::PowerLoss),
    ]
}

/// Draws the ticks between two events: a few, or as many as records are kept for.
fn gap() -> impl Strategy<Value = u64> {
    prop_oneof![8 => 0_u64..6, 1 => KEPT_TICKS - 8..KEPT_TICKS + 16, 1 => 470_u64..500]
}

/// A call that will be carried out.
#[derive(Clone, Debug)]
struct Call {
    due: u64,
    records: Vec<KeyedRecord>,
    /// The job whose cancelling the answer to this call acknowledges.
    acknowledges: Option<JobId>,
    /// The leader that sent it; carried out only while it leads.
    leader: Option<u64>,
}

/// A store, its leader and its agents.
struct World {
    rig: PlannerRig,
    log: Vec<KeyedRecord>,
    /// Length of the log at each tick.
    lengths: Vec<usize>,
    calls: Vec<Call>,
    now: u64,
    leader: u64,
    /// Ticks from a decision of the leader to its record.
    leader_delay: u64,
    /// When the cancelling of each job was acknowledged last.
    acknowledged: BTreeMap<JobId, u64>,
    /// Jobs that were stored while an acknowledged cancelling held; none of them may start.
    cancelled: BTreeSet<JobId>,
    /// Runs, and the tick at which each ends.
    runs: BTreeMap<(TaskId, u32), u64>,
    /// Runs that started after the cancelling of their job was acknowledged.
    violations: Vec<String>,
}

impl World {
    fn new() -> Self {
        let rig = PlannerRig::of_workers(2);
        Self {
            log: Vec::new(),
            rig,
            lengths: Vec::new(),
            calls: Vec::new(),
            now: 0,
            leader: 0,
            leader_delay: 0,
            acknowledged: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            runs: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    /// Returns the view of an entry that is some ticks old, and its position.
    fn view(&self, lag: u64) -> (JobTable, usize) {
        let tick = self.now.saturating_sub(lag) as usize;
        let length = self.lengths.get(tick).copied().unwrap_or(self.log.len());
        let mut table = JobTable::default();
        self.log[..length].iter().for_each(|record| table.apply(record));
        (table, length)
    }

    fn send(&mut self, record: &Record, carried: &Carried, acknowledges: Option<&str>) {
        for after in &carried.after {
            self.calls.push(Call {
                due: self.now + after,
                records: vec![record.encode()],
                // An answer that takes longer doesn't reach the caller.
                acknowledges: acknowledges.filter(|_| *after == 0).map(str::to_owned),
                leader: None,
            });
        }
    }

    fn submit(&mut self, id: &str, carried: &Carried) {
        let (view, _) = self.view(carried.view_lag);
        if !view.jobs.contains_key(id) {
            let submission = job(id, 1, step(2, 1));
            self.send(&Record::Submitted(Box::new(submission)), carried, None);
        }
    }

    /// Cancels a job as `Intake::cancel` does.
    fn cancel(&mut self, id: &str, is_own: bool, carried: &Carried) {
        let (view, position) = self.view(carried.view_lag);
        let other = Canceller { workspace: "other".to_owned(), ..canceller() };
        let canceller = if is_own { canceller() } else { other };
        let acknowledges = is_own.then_some(id);
        match view.status(id) {
            // Another workspace can't cancel a job that is known.
            Some(_) if !is_own => {}
            Some(JobStatus::Queued | JobStatus::Running) => {
                self.send(&Record::Cancelled(id.to_owned()), carried, acknowledges);
            }
            Some(_) => {}
            None if view.keeps_early_cancel(id, &canceller) => {
                let now = self.now;
                self.acknowledged.extend(acknowledges.map(|id| (id.to_owned(), now)));
            }
            None => {
                let number = number_at(position as u64, self.now);
                let cancel = EarlyCancel { job: id.to_owned(), number, canceller };
                self.send(&Record::EarlyCancel(Box::new(cancel)), carried, acknowledges);
            }
        }
    }

    fn happen(&mut self, event: &Event) {
        match event {
            Event::Submit(job, carried) => self.submit(JOBS[*job], carried),
            Event::Cancel(job, is_own, carried) => self.cancel(JOBS[*job], *is_own, carried),
            Event::NewLeader(delay) => {
                self.leader += 1;
                self.leader_delay = *delay;
                self.rig.take_over();
            }
            Event::PowerLoss => {
                self.leader += 1;
                self.rig.table = self.loaded();
                self.rig.take_over();
            }
        }
    }

    /// Returns the table that a process reads anew: the newest record of each key.
    fn loaded(&self) -> JobTable {
        let newest: BTreeMap<&str, &KeyedRecord> =
            self.log.iter().map(|record| (record.key.as_str(), record)).collect();
        let kept = newest.into_values().filter(|record| !record.value.is_empty());
        let mut table = JobTable::default();
        table.load(&kept.cloned().collect::<Vec<_>>());
        // The rig's workers aren't in the log.
        for (instance, worker) in &self.rig.table.workers {
            table.apply(&Record::Worker(instance.clone(), Box::new((**worker).clone())).encode());
        }
        table
    }

    fn apply(&mut self, records: &[KeyedRecord]) {
        for record in records {
            self.log.push(record.clone());
            self.rig.table.apply(record);
        }
        self.note_cancelled();
        self.start_runs();
    }

    fn note_cancelled(&mut self) {
        let jobs = &self.rig.table.jobs;
        let holds = |at: u64| self.now - at <= KEPT_TICKS;
        let held =
            self.acknowledged.iter().filter(|(id, at)| holds(**at) && jobs.contains_key(*id));
        self.cancelled.extend(held.map(|(id, _)| id.clone()));
        self.cancelled.retain(|id| jobs.contains_key(id));
    }

    /// Starts what the table assigns, as agents do whose views are current.
    fn start_runs(&mut self) {
        for (id, task) in self.tasks() {
            let run = (id, task.attempt);
            let is_wanted = self.rig.table.should_run(&task.instance, &run.0, task.attempt);
            if !is_wanted || self.runs.contains_key(&run) {
                continue;
            }
            if self.cancelled.contains(&run.0.job) {
                self.violations.push(format!("{} starts at tick {}", run.0, self.now));
            }
            self.runs.insert(run, self.now + RUN_TICKS);
        }
    }

    fn tasks(&self) -> Vec<(TaskId, TaskPlan)> {
        let planned = self.rig.table.jobs.iter();
        let planned = planned.filter_map(|(id, job)| Some((id, job.plan.as_ref()?)));
        let tasks = planned.flat_map(|(id, plan)| plan.tasks(id));
        tasks.map(|(id, task)| (id, task.clone())).collect()
    }

    /// Ends runs that are done, and those that are to be stopped.
    fn end_runs(&mut self) {
        for (id, task) in self.tasks() {
            let run = (id, task.attempt);
            let is_done = self.runs.get(&run).is_some_and(|end| *end <= self.now);
            let reason = match task.status {
                TaskStatus::Stopping => EndReason::Stopped,
                TaskStatus::Running if is_done => EndReason::Done,
                _ => continue,
            };
            let end = RunEnd {
                task: run.0,
                attempt: run.1,
                reason,
                checkpoint: String::new(),
                instance: task.instance,
            };
            let record = Record::Ended(Box::new(end)).encode();
            if !self.rig.table.ends.contains_key(&record.key) {
                self.apply(&[record]);
            }
        }
    }

    /// Carries out the calls that are due, and lets the leader decide if it isn't waiting for an answer.
    fn tick(&mut self) {
        let now = self.now;
        let due: Vec<Call> = self.calls.extract_if(.., |call| call.due <= now).collect();
        for call in due {
            if call.leader.is_some_and(|leader| leader != self.leader) {
                continue;
            }
            self.apply(&call.records);
            self.acknowledged.extend(call.acknowledges.map(|id| (id, now)));
            self.note_cancelled();
        }
        self.end_runs();
        self.calls.retain(|call| call.leader.is_none_or(|leader| leader == self.leader));
        let is_waiting = self.calls.iter().any(|call| call.leader.is_some());
        if !is_waiting {
            let records = self.rig.round();
            if self.leader_delay == 0 {
                self.apply(&records);
            } else if !records.is_empty() {
                let due = self.now + self.leader_delay;
                let leader = Some(self.leader);
                self.calls.push(Call { due, records, acknowledges: None, leader });
            }
        }
        self.lengths.push(self.log.len());
        self.now += 1;
    }

    fn check_loaded(&self) -> Result<(), TestCaseError> {
        let loaded = self.loaded();
        for id in JOBS {
            let cancelled = |table: &JobTable| table.jobs.get(id).map(|job| job.cancelled);
            prop_assert_eq!(cancelled(&self.rig.table), cancelled(&loaded), "{}", id);
        }
        prop_assert_eq!(self.rig.table.stray_cancels(), loaded.stray_cancels());
        Ok(())
    }
}

async fn pass(world: &mut World, ticks: u64) -> Result<(), TestCaseError> {
    for _ in 0..ticks {
        world.tick();
        world.rig.advance(TICK).await;
        world.check_loaded()?;
    }
    Ok(())
}

async fn play(events: Vec<(u64, Event)>) -> Result<(), TestCaseError> {
    let mut world = World::new();
    for (gap, event) in &events {
        pass(&mut world, *gap).await?;
        world.happen(event);
    }
    pass(&mut world, SETTLE_TICKS).await?;
    let was_asked = |id: &str| {
        events
            .iter()
            .any(|(_, event)| matches!(event, Event::Cancel(job, true, _) if JOBS[*job] == id))
    };
    for (id, job) in &world.rig.table.jobs {
        let status = job.status();
        prop_assert!(status.is_final(), "{} is {:?}", id, status);
        prop_assert!(status != JobStatus::Cancelled || was_asked(id), "{} is cancelled", id);
    }
    world.leader_delay = 0;
    pass(&mut world, QUIET_TICKS).await?;
    prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
    let table = world.loaded();
    prop_assert!(table.jobs.is_empty(), "jobs are left");
    prop_assert!(table.stray_cancels().is_empty(), "{:?}", table.stray_cancels());
    prop_assert!(table.timers.is_empty(), "{:?}", table.timers);
    Ok(())
}

proptest! {
    #![proptest_config(config(192))]

    /// Guards against a start after an acknowledged cancelling, and against a record that is left for ever.
    #[test]
    fn cancelled_job_never_starts_and_leaves_nothing(
        events in vec((gap(), event()), 1..16),
    ) {
        let outcome = std::rc::Rc::new(std::cell::RefCell::new(Ok(())));
        let played = std::rc::Rc::clone(&outcome);
        run_in_virtual_time(async move {
            *played.borrow_mut() = play(events).await;
        });
        outcome.replace(Ok(()))?;
    }
}
