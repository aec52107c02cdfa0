//! Plans of wide jobs, and of jobs of many steps, stored in parts.
//!
//! The fault: each end of one of 360 tasks wrote the plans of all 360, and sent them to every entry and to every agent with
//! one of these tasks: 4.3 MB to each entry for one job, without checkpoints.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use rampbay_jobs::job::Submission;
use rampbay_jobs::losses::{JobLosses, LostRun, UnitKey};
use rampbay_jobs::parts::{PlanLayout, TASKS_PER_PART, changes, changes_to_whole};
use rampbay_jobs::plan::{JobPlan, JobStatus, Occurrence, TaskPlan, TaskStatus};
use rampbay_jobs::planner::Planner;
use rampbay_jobs::record::{KeyedRecord, Record};
use rampbay_jobs::settings::Settings;
use rampbay_jobs::store::{BYTES_PER_APPEND, StoreLimits, split_into_appends};
use rampbay_jobs::table::JobTable;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::leader::start_leader;
use support::planner::PlannerRig;
use support::store::MemoryStore;
use support::{
    job, plan_of, property, run_in_virtual_time, running_plan, settings, step, table_of, task,
    worker_record,
};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";

/// A job of a wide step, and a narrow one after it.
fn wide_job(width: u32) -> Submission {
    let steps = vec![step(width, 1), step(2, 1)];
    Submission { steps, occurrences: 3, interval_ms: 10, ..job(JOB, 1, step(1, 1)) }
}

/// The store as one process sees it: the newest record of each key, and a table that follows.
struct StoreView {
    newest: std::collections::BTreeMap<String, KeyedRecord>,
    table: JobTable,
}

impl StoreView {
    fn new(submission: Submission) -> Self {
        let mut view = Self { newest: Default::default(), table: JobTable::default() };
        view.append(&[Record::Submitted(Box::new(submission)).encode()]);
        view
    }

    fn append(&mut self, records: &[KeyedRecord]) {
        for record in records {
            self.table.apply(record);
            if record.value.is_empty() {
                self.newest.remove(&record.key);
            } else {
                self.newest.insert(record.key.clone(), record.clone());
            }
        }
    }

    /// Writes the records that turn the stored plan into `plan`, and returns them.
    fn write(&mut self, plan: &JobPlan) -> Vec<KeyedRecord> {
        let job = &self.table.jobs[JOB];
        let records = changes(&JOB.to_owned(), job.plan.as_deref(), job.plan_layout, plan);
        self.append(&records);
        records
    }

    fn plan(&self) -> JobPlan {
        self.table.jobs[JOB].plan.as_deref().cloned().unwrap_or_default()
    }

    /// Returns the plan as a process reads it that starts now and gets the records in another order.
    fn plan_after_reload(&self, seed: u64) -> JobPlan {
        let mut records: Vec<KeyedRecord> = self.newest.values().cloned().collect();
        records.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
        let mut table = JobTable::default();
        table.load(&records);
        table.jobs[JOB].plan.as_deref().cloned().unwrap_or_default()
    }
}

fn running(width: u32) -> JobPlan {
    let mut plan = running_plan(width, "i-1", 1);
    plan.open[0].steps.push(vec![TaskPlan::default(); 2]);
    plan
}

fn bytes(records: &[KeyedRecord]) -> usize {
    records.iter().map(KeyedRecord::size).sum()
}

/// The end of one task writes about as many bytes, however wide the task's step is.
#[rstest]
fn bytes_of_one_end_independent_of_width(#[values(60, 360, 2400)] width: u32) {
    let of_end = |width: u32| {
        let mut view = StoreView::new(wide_job(width));
        let mut plan = running(width);
        view.write(&plan);
        plan.open[0].steps[0][width as usize / 2].status = TaskStatus::Done;
        bytes(&view.write(&plan))
    };
    let narrow = of_end(2 * TASKS_PER_PART as u32);
    assert!(of_end(width) <= narrow + 8, "{} bytes, {narrow} in a narrow step", of_end(width));
}

#[test]
fn unchanged_plan_writes_nothing() {
    let mut view = StoreView::new(wide_job(40));
    view.write(&running(40));
    assert_eq!(view.write(&running(40)), []);
}

#[test]
fn occurrence_without_started_tasks_writes_no_parts() {
    let submission = wide_job(40);
    let mut view = StoreView::new(submission.clone());
    let open = vec![Occurrence::not_started(&submission, 0)];
    let plan = JobPlan { open, next_occurrence: 1, ..JobPlan::default() };
    let keys: Vec<String> = view.write(&plan).into_iter().map(|record| record.key).collect();
    assert_eq!(keys, [format!("plan/{JOB}")]);
    assert_eq!(view.plan(), plan);
}

#[test]
fn parts_of_closed_occurrence_removed() {
    let mut view = StoreView::new(wide_job(40));
    view.write(&running(40));
    let over = JobPlan { status: JobStatus::Succeeded, next_occurrence: 3, open: Vec::new() };
    view.write(&over);
    let left: Vec<&String> = view.newest.keys().collect();
    assert_eq!(left, [&format!("job/{JOB}"), &format!("plan/{JOB}")]);
    assert_eq!(view.plan_after_reload(1), over);
}

/// A plan that an earlier release wrote whole is read, and is written with all its parts at the first change.
#[test]
fn whole_plan_converted_to_parts() {
    let mut view = StoreView::new(wide_job(40));
    let mut plan = running(40);
    view.append(&[Record::Plan(JOB.to_owned(), Box::new(plan.clone())).encode()]);
    assert_eq!(view.plan(), plan);
    assert_eq!(view.table.jobs[JOB].plan_layout, PlanLayout::Whole);
    plan.open[0].steps[0][7].status = TaskStatus::Done;
    view.write(&plan);
    assert_eq!(view.table.jobs[JOB].plan_layout, PlanLayout::InParts);
    assert_eq!(view.plan(), plan);
    assert_eq!(view.plan_after_reload(1), plan);
}

/// While releases are mixed, plans are written whole: the record that an earlier release reads has all tasks, and no parts
/// remain. Afterwards plans are written in parts again.
#[test]
fn plan_in_parts_converted_to_whole_and_back() {
    let mut view = StoreView::new(wide_job(40));
    let mut plan = running(40);
    view.write(&plan);
    plan.open[0].steps[0][7].status = TaskStatus::Done;
    let records = changes_to_whole(&JOB.to_owned(), Some(&running(40)), PlanLayout::InParts, &plan);
    assert_eq!(records[0], Record::Plan(JOB.to_owned(), Box::new(plan.clone())).encode());
    for record in &records {
        view.append(std::slice::from_ref(record));
        assert_eq!(view.plan(), plan);
    }
    let left: Vec<&String> = view.newest.keys().collect();
    assert_eq!(left, [&format!("job/{JOB}"), &format!("plan/{JOB}")]);
    assert_eq!(view.plan_after_reload(1), plan);
    plan.open[0].steps[0][8].status = TaskStatus::Done;
    view.write(&plan);
    assert_eq!(view.table.jobs[JOB].plan_layout, PlanLayout::InParts);
    assert_eq!(view.plan(), plan);
    assert_eq!(view.plan_after_reload(2), plan);
}

/// A planner writes wide plans as its settings say.
#[rstest]
#[case::in_parts("\"in_parts\"", true)]
#[case::whole("\"whole\"", false)]
fn planner_writes_plans_as_set(#[case] setting: &str, #[case] has_parts: bool) {
    run_in_virtual_time(async {
        let wide_accounts = serde_json::from_str(setting).expect("a layout");
        let settings = Settings { wide_accounts, ..settings() };
        let mut rig = PlannerRig::of_workers(6);
        rig.planner = Planner::new(settings.planner());
        rig.submit(job(JOB, 1, step(40, 1)));
        let records = rig.round();
        assert!(records.iter().any(|record| record.key == format!("plan/{JOB}")));
        assert_eq!(records.iter().any(|record| record.key.starts_with("part/")), has_parts);
    });
}

#[test]
fn settings_without_plan_layout_write_parts() {
    assert_eq!(settings().wide_accounts, PlanLayout::InParts);
    assert!(serde_json::from_str::<PlanLayout>("\"half\"").is_err());
}

/// A reader that has applied only some records of a change sees each task as it was before the change or as it is after it,
/// and doesn't see an occurrence that has ended open again.
#[test]
fn change_read_halfway_shows_no_third_state() {
    let mut view = StoreView::new(wide_job(40));
    let before = running(40);
    view.write(&before);
    let mut after = before.clone();
    after.open[0].steps[0].iter_mut().for_each(|task| task.attempt = 2);
    after.next_occurrence = 2;
    let records = changes(&JOB.to_owned(), Some(&before), PlanLayout::InParts, &after);
    for record in &records {
        view.append(std::slice::from_ref(record));
        let seen = view.plan();
        let tasks = seen.open[0].steps[0].iter().zip(&before.open[0].steps[0]);
        let mut tasks = tasks.zip(&after.open[0].steps[0]);
        assert!(tasks.all(|((seen, before), after)| seen == before || seen == after));
    }
    let over = JobPlan { status: JobStatus::Succeeded, next_occurrence: 3, open: Vec::new() };
    let records = changes(&JOB.to_owned(), Some(&after), PlanLayout::InParts, &over);
    for record in &records {
        view.append(std::slice::from_ref(record));
        assert_eq!(view.plan(), over);
    }
}

/// An agent is sent the part with its worker's tasks, and the job before it.
#[test]
fn part_passed_on_to_its_own_agents() {
    let mut table = JobTable::default();
    let mut plan = running(40);
    for (place, task) in plan.open[0].steps[0].iter_mut().enumerate() {
        task.instance = format!("i-{}", place / TASKS_PER_PART);
    }
    for worker in 0..5 {
        let record = worker_record(&format!("side-{worker}"), "r1", 8);
        table.apply(&Record::Worker(format!("i-{worker}"), Box::new(record)).encode());
    }
    table.apply(&Record::Submitted(Box::new(wide_job(40))).encode());
    let records = changes(&JOB.to_owned(), None, PlanLayout::InParts, &plan);
    let passed = records.iter().map(|record| table.apply_and_address(record));
    let sent: Vec<String> = passed
        .flat_map(|passed| passed.records_for("side-2").collect::<Vec<_>>())
        .map(|record| record.key)
        .collect();
    let part = format!("part/{}", task(JOB, 16));
    assert_eq!(sent, [format!("job/{JOB}"), part, format!("plan/{JOB}")]);
}

/// The records of a wide job that an agent is sent suffice to tell what its worker should run, and what no longer.
#[test]
fn agent_sees_its_runs_by_parts_alone() {
    let submission = wide_job(40);
    let mut agent = JobTable::default();
    agent.apply(&Record::Submitted(Box::new(submission)).encode());
    let worker = Box::new(worker_record("side-1", "r1", 8));
    agent.apply(&Record::Worker("i-1".to_owned(), worker).encode());
    let plan = running(40);
    let records = changes(&JOB.to_owned(), None, PlanLayout::InParts, &plan);
    let part = format!("part/{}", task(JOB, 16));
    let own = records.iter().find(|record| record.key == part).expect("a part");
    agent.apply(own);
    assert!(agent.should_run("i-1", &task(JOB, 17), 1));
    assert!(!agent.should_run("i-1", &task(JOB, 3), 1));
    let mut stopping = plan.clone();
    stopping.open[0].steps[0][17].status = TaskStatus::Stopping;
    let records = changes(&JOB.to_owned(), Some(&plan), PlanLayout::InParts, &stopping);
    records.iter().for_each(|record| agent.apply(record));
    assert!(!agent.should_run("i-1", &task(JOB, 17), 1));
    assert!(agent.should_run("i-1", &task(JOB, 18), 1));
}

/// The next leader must not find half of a change: a gang of which only some members are started.
#[rstest]
#[case::after_others(4)]
#[case::after_many_others(6000)]
fn plan_appended_at_once(#[case] others: usize) {
    let other = |number: usize| KeyedRecord { key: format!("end/{number}"), value: vec![1; 90] };
    let mut records: Vec<KeyedRecord> = (0..others).map(other).collect();
    let plan_records = changes(&JOB.to_owned(), None, PlanLayout::InParts, &running(4000));
    let first = records.len();
    records.extend(plan_records);
    assert!(records.len() > first + 400);
    records.extend((0..others).map(other));
    let mut at = 0;
    let groups = split_into_appends(&records).map(|group| {
        at += group.len();
        at - group.len()..at
    });
    let groups: Vec<std::ops::Range<usize>> = groups.collect();
    let last = records.iter().rposition(|record| record.key.starts_with("plan/")).expect("a plan");
    let holds = |group: &&std::ops::Range<usize>| group.contains(&first) && group.contains(&last);
    assert_eq!(groups.iter().filter(holds).count(), 1);
    let most = BYTES_PER_APPEND + bytes(&records[first..=last]);
    assert!(groups.iter().all(|group| bytes(&records[group.clone()]) <= most));
}

/// A job of many narrow steps.
fn narrow_job(steps: usize, width: u32) -> Submission {
    let steps = vec![step(width, 1); steps];
    Submission { steps, occurrences: 3, interval_ms: 10, ..job(JOB, 1, step(1, 1)) }
}

fn done_plan(submission: &Submission, occurrences: u32) -> JobPlan {
    let mut open = Vec::new();
    for number in 0..occurrences {
        let mut occurrence = Occurrence::not_started(submission, number);
        for task in occurrence.steps.iter_mut().flatten() {
            task.status = TaskStatus::Done;
            task.attempt = 3;
            task.instance = "i-0123456789abcdef~1700000000000".to_owned();
            task.failed_at = task.instance.clone();
            task.checkpoint = "0123456789abcdef".to_owned();
        }
        open.push(occurrence);
    }
    JobPlan { status: JobStatus::Running, open, next_occurrence: occurrences }
}

/// Guards against a plan that outgrows the largest record of the store, so that no job starts any more (LOST).
#[rstest]
#[case::many_narrow_steps(1250, 8, 1)]
#[case::narrower_steps(2400, 4, 1)]
#[case::steps_of_one(10_000, 1, 1)]
#[case::one_wide_step(1, 10_000, 1)]
#[case::occurrences(40, 8, 3)]
#[case::many_occurrences(1, 1, 2048)]
#[case::lasting_occurrences(1, 1, 10_000)]
fn records_of_large_plan_fit(#[case] steps: usize, #[case] width: u32, #[case] occurrences: u32) {
    let limits = StoreLimits::default();
    let submission = Submission { occurrences, ..narrow_job(steps, width) };
    let mut view = StoreView::new(submission.clone());
    let plan = done_plan(&submission, occurrences);
    let records = view.write(&plan);
    let largest = records.iter().map(KeyedRecord::size).max();
    assert!(records.iter().all(|record| limits.allow_record(record)), "{largest:?} bytes");
    assert!(split_into_appends(&records).all(|group| limits.allow_append(group)));
    assert_eq!(view.plan(), plan);
    assert_eq!(view.plan_after_reload(1), plan);
}

/// The end of one task writes about as many bytes, however many narrow steps the job has.
#[rstest]
fn bytes_of_one_end_independent_of_steps(#[values(1, 8, 9, 1250)] steps: usize) {
    const MAX_BYTES: usize = 6 << 10;
    let submission = narrow_job(steps, 8);
    let mut view = StoreView::new(submission.clone());
    let mut plan = done_plan(&submission, 1);
    plan.open[0].steps[steps / 2][3].status = TaskStatus::Running;
    view.write(&plan);
    plan.open[0].steps[steps / 2][3].status = TaskStatus::Done;
    let written = bytes(&view.write(&plan));
    println!("{steps} steps: {written} bytes");
    assert!(written < MAX_BYTES, "{written} bytes");
}

/// A plan whose narrow steps an earlier release has written into the head is read, and written in parts at its next
/// change.
#[test]
fn narrow_steps_of_earlier_release_converted() {
    let submission = narrow_job(1000, 8);
    let mut view = StoreView::new(submission.clone());
    let mut plan = done_plan(&submission, 1);
    plan.open[0].steps[7][3].status = TaskStatus::Running;
    view.append(&[Record::Plan(JOB.to_owned(), Box::new(plan.clone())).encode()]);
    assert_eq!(view.plan(), plan);
    plan.open[0].steps[7][3].status = TaskStatus::Done;
    let records = view.write(&plan);
    assert!(records.iter().all(|record| StoreLimits::default().allow_record(record)));
    assert_eq!(view.plan(), plan);
    assert_eq!(view.plan_after_reload(2), plan);
}

/// A leader of an earlier release writes narrow steps into the head, and leaves their parts behind. They don't replace
/// what the head holds when the state is read anew.
#[rstest]
fn parts_left_by_earlier_release_ignored(#[values(1, 2, 3, 4)] seed: u64) {
    let submission = narrow_job(20, 8);
    let mut view = StoreView::new(submission.clone());
    let mut plan = done_plan(&submission, 1);
    plan.open[0].steps[7][3].status = TaskStatus::Running;
    view.write(&plan);
    assert!(view.newest.keys().any(|key| key.starts_with("part/")));
    plan.open[0].steps[7][3].status = TaskStatus::Done;
    view.append(&[Record::Plan(JOB.to_owned(), Box::new(plan.clone())).encode()]);
    assert_eq!(view.plan(), plan);
    assert_eq!(view.plan_after_reload(seed), plan);
}

/// Guards against a leader that repeats an append for ever because one job's plan is too large: that job fails, and the
/// others go on.
#[test]
fn job_with_too_large_plan_given_up() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        rig.settings.store_limits.record_bytes = 500;
        rig.replace_planner();
        let narrow = Submission { occurrences: 0, ..narrow_job(8, 8) };
        rig.submit(narrow);
        rig.submit(job(OTHER, 1, step(1, 1)));
        rig.plan();
        assert_eq!(rig.job_status(JOB), JobStatus::Failed);
        assert_eq!(rig.statuses(OTHER), [TaskStatus::Running]);
    });
}

/// As above, where only the store knows its limit.
#[test]
fn leader_passes_over_record_that_store_refuses() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        store.max_record_bytes.set(Some(500));
        store.put(&Record::Worker("i-1".to_owned(), Box::new(worker_record("side-1", "r1", 8))));
        store.put(&Record::Submitted(Box::new(Submission { occurrences: 0, ..narrow_job(8, 8) })));
        store.put(&Record::Submitted(Box::new(job(OTHER, 1, step(1, 1)))));
        start_leader(&store, "entry-1", 1, None);
        sleep(Duration::from_secs(5)).await;
        assert_eq!(plan_of(&store, OTHER).status, TaskStatus::Running);
        assert_eq!(table_of(&store).status(JOB), Some(JobStatus::Failed));
        assert!(store.too_large.get() <= 4, "{} refused", store.too_large.get());
    });
}

/// Guards against one job whose due times slow down every round, and fill its plan: few of them are open at a time.
#[rstest]
fn due_occurrences_opened_a_few_at_a_time(#[values(1, 40)] steps: usize) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(200);
        let times = Submission { occurrences: 1_000_000, interval_ms: 1, ..narrow_job(steps, 8) };
        rig.submit(Submission { first_run_ms: 1, ..times });
        rig.wall = 2_000_000_000;
        rig.plan();
        rig.plan();
        let plan = rig.table.jobs[JOB].plan.clone().expect("the job is planned");
        let tasks: usize = plan.open.iter().flat_map(|open| &open.steps).map(Vec::len).sum();
        assert!((8 * steps..=2048).contains(&tasks), "{tasks} tasks are open");
    });
}

/// The losses of a job fit into a record, whatever it has lost; the most suspect ones are kept.
#[test]
fn losses_of_wide_job_fit() {
    let lost = |attempt: u32, at: u64| LostRun {
        attempt,
        instance: "i".repeat(150),
        node: "side".repeat(10),
        at,
        ..LostRun::default()
    };
    let mut losses = JobLosses::default();
    for index in 0..10_000 {
        let unit = losses.0.entry(UnitKey { occurrence: 0, step: 0, index }).or_default();
        let count = if index == 77 { 5 } else { 1 };
        for attempt in 1..=count {
            let lost = lost(attempt, u64::from(index));
            unit.add(LostRun { may_have_begun: true, ..lost });
        }
    }
    losses.drop_least_suspect();
    assert!(losses.0.contains_key(&UnitKey { occurrence: 0, step: 0, index: 77 }));
    let record = Record::Losses(JOB.to_owned(), Box::new(losses)).encode();
    assert!(StoreLimits::default().allow_record(&record), "{} bytes", record.size());
}

/// A change that a round may make to a plan.
#[derive(Clone, Debug)]
enum Change {
    Task(usize, u8, u32),
    AllTasks(u8),
    Open,
    Close(usize),
    Status(bool),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        6 => (0_usize..200, 0_u8..5, 0_u32..3).prop_map(|(at, to, by)| Change::Task(at, to, by)),
        1 => (0_u8..5).prop_map(Change::AllTasks),
        2 => Just(Change::Open),
        1 => (0_usize..3).prop_map(Change::Close),
        1 => any::<bool>().prop_map(Change::Status),
    ]
}

fn status(number: u8) -> TaskStatus {
    let all = [
        TaskStatus::Waiting,
        TaskStatus::Running,
        TaskStatus::Stopping,
        TaskStatus::Done,
        TaskStatus::Failed,
    ];
    all[number as usize % all.len()]
}

fn apply_change(change: &Change, plan: &mut JobPlan, submission: &Submission) {
    let all = |plan: &mut JobPlan, act: &mut dyn FnMut(usize, &mut TaskPlan)| {
        let tasks = plan.open.iter_mut().flat_map(|open| open.steps.iter_mut().flatten());
        tasks.enumerate().for_each(|(place, task)| act(place, task));
    };
    match *change {
        Change::Task(at, to, by) => all(plan, &mut |place, task| {
            if place == at {
                task.status = status(to);
                task.attempt += by;
                task.instance = format!("i-{at}");
            }
        }),
        Change::AllTasks(to) => all(plan, &mut |_, task| task.status = status(to)),
        Change::Open if plan.open.len() < 3 => {
            plan.open.push(Occurrence::not_started(submission, plan.next_occurrence));
            plan.next_occurrence += 1;
        }
        Change::Open => {}
        Change::Close(at) => {
            if at < plan.open.len() {
                plan.open.remove(at);
            }
        }
        Change::Status(runs) => {
            plan.status = if runs { JobStatus::Running } else { JobStatus::Queued };
        }
    }
}

/// Plays rounds, and checks after each of them that the plan is read as it was written, and that no part is left once the
/// job is over.
fn check_rounds(
    submission: &Submission,
    rounds: &[Vec<Change>],
    seed: u64,
) -> Result<(), TestCaseError> {
    let mut view = StoreView::new(submission.clone());
    let mut plan = JobPlan::default();
    for round in rounds {
        round.iter().for_each(|change| apply_change(change, &mut plan, submission));
        view.write(&plan);
        prop_assert_eq!(&view.plan(), &plan);
        prop_assert_eq!(&view.plan_after_reload(seed), &plan);
    }
    plan.open.clear();
    view.write(&plan);
    let parts = view.newest.keys().filter(|key| key.starts_with("part/")).count();
    prop_assert_eq!(parts, 0);
    Ok(())
}

fn rounds() -> impl Strategy<Value = Vec<Vec<Change>>> {
    prop::collection::vec(prop::collection::vec(change(), 1..6), 1..12)
}

proptest! {
    #![proptest_config(property::config(300))]

    /// Whatever rounds do to a plan, a reader that follows and one that reloads the state, in any order, have the plan as
    /// it was written.
    #[test]
    fn any_rounds_read_as_written(width in 1_u32..60, rounds in rounds(), seed in any::<u64>()) {
        check_rounds(&wide_job(width), &rounds, seed)?;
    }

    /// As above, with steps that are stored in the head or in parts, depending on how many tasks are open.
    #[test]
    fn any_rounds_of_narrow_steps_read_as_written(
        steps in 1_usize..9,
        width in 1_u32..9,
        rounds in rounds(),
        seed in any::<u64>(),
    ) {
        check_rounds(&narrow_job(steps, width), &rounds, seed)?;
    }
}
