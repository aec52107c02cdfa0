//! Runs that hold up their steps, and start again elsewhere under the policy `by_completion`.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rampbay_jobs::job::{Step, Submission, TaskId};
use rampbay_jobs::plan::{JobStatus, TaskStatus};
use rampbay_jobs::planner::{Placement, ProgressTable};
use rampbay_jobs::record::{EndReason, ProgressReport, Record, RunProgress};
use rstest::rstest;
use support::planner::{PlannerRig, gang};
use support::{job, run_in_virtual_time, running_plan, step, task};
use tokio::time::Instant;

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
const THIRD: &str = "00000000000000cc";
/// Time between two ticks. Agents report at every second one.
const TICK_MS: u64 = 500;
/// Rates of progress, in percent a second. A task is estimated at 5 s.
const USUAL: f64 = 20.0;
const SLOW: f64 = 4.0;

/// Progress of a run, and the time that it has run.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    percent: f64,
    ran_ms: u64,
}

/// Workers that carry out what a planner decides, at rates that a test sets.
struct Site {
    rig: PlannerRig,
    work: BTreeMap<(TaskId, u32), Work>,
    /// Workers whose agents don't report.
    silent: BTreeSet<String>,
    /// Whether the reports can't be read.
    unreadable: bool,
    /// Whether the agents' counts of the runs' times jump back and forth.
    contradictory: bool,
    ticks: u64,
}

impl Site {
    fn new(workers: usize) -> Self {
        Self::with_placement(workers, Placement::ByCompletion)
    }

    fn with_placement(workers: usize, placement: Placement) -> Self {
        Self {
            rig: PlannerRig::of_workers(workers).with_placement(placement),
            work: BTreeMap::new(),
            silent: BTreeSet::new(),
            unreadable: false,
            contradictory: false,
            ticks: 0,
        }
    }

    fn submit(&mut self, submission: Submission) {
        self.rig.submit(Submission { submitted_at: self.rig.wall, ..submission });
        self.rig.plan();
    }

    /// Lets the runs go on for some time, each at the rate of its task at its worker.
    async fn run(&mut self, time_ms: u64, rate: impl Fn(&TaskId, &str) -> f64) {
        for _ in 0..time_ms / TICK_MS {
            self.tick(&rate).await;
        }
    }

    async fn tick(&mut self, rate: impl Fn(&TaskId, &str) -> f64) {
        tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        self.rig.wall += TICK_MS;
        self.ticks += 1;
        let workers: Vec<String> = self.rig.table.workers.keys().cloned().collect();
        if !self.unreadable {
            self.rig.progress.note_read(Instant::now());
        }
        for worker in workers {
            let mut runs = Vec::new();
            for (task, attempt) in self.rig.runs_at(&worker) {
                if self.rig.status_of(&task) == TaskStatus::Stopping {
                    self.rig.end(&task, EndReason::Stopped);
                    continue;
                }
                let begins = self.begin(&task);
                let work = self.work.entry((task.clone(), attempt)).or_insert(begins);
                work.percent += rate(&task, &worker) * TICK_MS as f64 / 1000.0;
                work.ran_ms += TICK_MS;
                if work.percent >= 100.0 {
                    self.rig.end(&task, EndReason::Done);
                    continue;
                }
                let jump_ms = if self.contradictory { self.ticks * 7919 % 4_000 } else { 0 };
                runs.push(RunProgress {
                    task,
                    attempt,
                    percent: work.percent as u32,
                    ran_ms: work.ran_ms + jump_ms,
                    checkpoint: String::new(),
                });
                self.save(runs.last_mut().expect("a run"));
            }
            let is_reported = !self.unreadable && !self.silent.contains(&worker);
            if self.ticks.is_multiple_of(2) && is_reported {
                let report = ProgressReport { silent_ms: 0, runs };
                self.rig.progress.insert(&worker, report, Instant::now());
            }
        }
        self.rig.plan();
    }

    /// Returns the work with which a run begins: that of the checkpoint, which is the percentage.
    fn begin(&self, id: &TaskId) -> Work {
        let plan = self.rig.table.jobs[&id.job].plan.as_ref().expect("a plan");
        let checkpoint = &plan.task(id).expect("a task").checkpoint;
        Work { percent: checkpoint.parse().unwrap_or(0.0), ran_ms: 0 }
    }

    /// Saves the work of a run if its step saves checkpoints.
    fn save(&self, run: &mut RunProgress) {
        if self.rig.table.jobs[&run.task.job].submission.steps[0].checkpointing {
            run.checkpoint = run.percent.to_string();
        }
    }

    fn attempt_of(&self, id: &TaskId) -> u32 {
        self.rig.latest_run(id).0
    }

    /// Returns the worker of a task.
    fn worker_of(&self, id: &TaskId) -> String {
        self.rig.instance_of(id)
    }

    /// Takes all workers that are free, for good.
    fn fill(&mut self, count: u32) {
        let holder = Step { long_running: true, ..step(count, 8) };
        self.submit(job(THIRD, 0, holder));
        assert!(self.rig.statuses(THIRD).iter().all(|status| *status == TaskStatus::Running));
    }
}

/// Returns rates at which a single worker is slow.
fn slow_at(slow: &str) -> impl Fn(&TaskId, &str) -> f64 {
    let slow = slow.to_owned();
    move |_, worker| if worker == slow { SLOW } else { USUAL }
}

/// Returns a step whose tasks save checkpoints.
fn saving(step: Step) -> Step {
    Step { checkpointing: true, ..step }
}

/// Starts a step of four tasks that save checkpoints on workers of their own, and returns the worker of the last one.
fn start_step(site: &mut Site) -> String {
    site.submit(job(JOB, 1, saving(step(4, 8))));
    site.worker_of(&task(JOB, 3))
}

/// A step ends with its last task. If that is slow, it starts again at a free worker, and without one it goes on: a stop
/// that only loses the work is worse than to wait. `by_lost_work` decides as before.
#[rstest]
#[case::free_worker(Placement::ByCompletion, 0, 2)]
#[case::no_free_worker(Placement::ByCompletion, 4, 1)]
#[case::by_lost_work(Placement::ByLostWork, 0, 1)]
fn slow_last_task(#[case] placement: Placement, #[case] filled: u32, #[case] attempts: u32) {
    run_in_virtual_time(async move {
        let mut site = Site::with_placement(8, placement);
        let slow = start_step(&mut site);
        if filled > 0 {
            site.fill(filled);
            // The workers of the done tasks are taken as well.
            site.submit(job(OTHER, 0, Step { long_running: true, ..step(3, 8) }));
        }
        site.run(15_000, slow_at(&slow)).await;
        let last = task(JOB, 3);
        if attempts == 1 {
            assert_eq!(site.rig.status_of(&last), TaskStatus::Running);
            assert_eq!((site.attempt_of(&last), site.worker_of(&last)), (1, slow));
        } else {
            assert_eq!(site.rig.job_status(JOB), JobStatus::Succeeded);
        }
    });
}

/// Work that isn't saved is lost, and callers miss the room in which it was done. So a task that is slow since the start
/// of its step goes on, and one that has started after the others is moved while it has lost little.
#[rstest]
#[case::started_with_step(4, 1)]
#[case::started_later(5, 2)]
fn unsaved_work_weighed(#[case] tasks: u32, #[case] attempts: u32) {
    run_in_virtual_time(async move {
        let mut site = Site::new(5);
        // One worker of five is in the reserve.
        let step = Step { estimate_ms: 2_500, ..step(tasks, 8) };
        site.submit(Submission { target_ms: 60_000, ..job(JOB, 1, step) });
        let last = task(JOB, tasks - 1);
        while site.rig.status_of(&last) != TaskStatus::Running {
            site.tick(|_, _| 2.0 * USUAL).await;
        }
        let slow = site.worker_of(&last);
        let rate = slow_at(&slow);
        site.run(6_000, |task, worker| 2.0 * rate(task, worker)).await;
        let attempt = site.work.keys().filter(|(id, _)| *id == last).map(|(_, attempt)| *attempt);
        assert_eq!(attempt.max(), Some(attempts));
    });
}

/// The new start avoids the slow worker although that is free again, and the stop counts neither as a failure, which
/// might use up the attempts of the job, nor does it repeat.
#[test]
fn moved_task_avoids_slow_worker() {
    run_in_virtual_time(async {
        let mut site = Site::new(8);
        site.submit(Submission { attempts: 1, ..job(JOB, 1, saving(step(4, 8))) });
        let last = task(JOB, 3);
        let slow = site.worker_of(&last);
        while site.rig.status_of(&last) != TaskStatus::Stopping {
            site.tick(slow_at(&slow)).await;
        }
        assert_eq!(site.rig.statuses(JOB)[..3], [TaskStatus::Done; 3]);
        site.tick(slow_at(&slow)).await;
        assert_eq!(site.rig.status_of(&last), TaskStatus::Running);
        assert_ne!(site.worker_of(&last), slow);
        let plan = site.rig.table.jobs[JOB].plan.as_ref().expect("a plan");
        let moved = plan.task(&last).expect("a task");
        assert_eq!((moved.attempt, moved.failures), (2, 0));
    });
}

/// A new leader takes the earlier runs of a task as stopped for others, but not the one that held up its step. Counted as
/// well, it would protect a task that was stopped for others once from urgent work.
#[rstest]
#[case::stopped_twice("", TaskStatus::Running)]
#[case::stopped_once_and_moved("i-9", TaskStatus::Stopping)]
fn move_not_counted_as_preemption(#[case] avoided: &str, #[case] expected: TaskStatus) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(1).with_placement(Placement::ByCompletion);
        rig.submit(job(JOB, 2, saving(step(1, 8))));
        let mut plan = running_plan(1, "i-0", 3);
        plan.open[0].steps[0][0].failed_at = avoided.to_owned();
        rig.put(&Record::Plan(JOB.to_owned(), Box::new(plan)));
        rig.plan();
        rig.submit(Submission { submitted_at: rig.wall, ..job(OTHER, 0, step(1, 8)) });
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), expected);
    });
}

/// A step is moved at most once. Slow at each worker, it would be started again and again and never end.
#[rstest]
#[case::same_leader(false)]
#[case::new_leader(true)]
fn step_moved_once(#[case] changes_leader: bool) {
    run_in_virtual_time(async move {
        let mut site = Site::new(8);
        start_step(&mut site);
        let last = task(JOB, 3);
        let rate = |task: &TaskId, _: &str| if task.index == 3 { SLOW } else { USUAL };
        site.run(15_000, rate).await;
        assert_eq!(site.attempt_of(&last), 2);
        if changes_leader {
            site.rig.replace_planner();
        }
        site.run(8_000, rate).await;
        assert_eq!((site.attempt_of(&last), site.rig.status_of(&last)), (2, TaskStatus::Running));
    });
}

/// A gang goes at the pace of its slowest member, and starts again as a whole without that member's worker. If all
/// members show the same pace, nobody knows which worker to avoid, and the gang may just take longer than estimated.
#[rstest]
#[case::slow_member_known(true, 2)]
#[case::slow_member_not_known(false, 1)]
fn gang_with_slow_member(#[case] is_known: bool, #[case] attempts: u32) {
    run_in_virtual_time(async move {
        let mut site = Site::new(9);
        site.submit(job(JOB, 1, saving(gang(3, 8))));
        let slow = site.worker_of(&task(JOB, 1));
        let rate = slow_at(&slow);
        let at_one_pace = |_: &TaskId, _: &str| SLOW;
        for _ in 0..8 {
            if is_known {
                site.tick(&rate).await;
            } else {
                site.tick(at_one_pace).await;
            }
        }
        let members: Vec<TaskId> = (0..3).map(|index| task(JOB, index)).collect();
        let statuses: BTreeSet<u32> = members.iter().map(|id| site.attempt_of(id)).collect();
        assert_eq!(statuses, BTreeSet::from([attempts]));
        assert!(members.iter().all(|id| site.rig.status_of(id) == TaskStatus::Running));
        assert_eq!(members.iter().any(|id| site.worker_of(id) == slow), !is_known);
    });
}

/// A run that was at its usual pace before is slow for some seconds only, and ends sooner where it is. That holds also
/// where a stop would lose nothing; only a run that was slow from its start is moved.
#[rstest]
#[case::slow_for_a_while(2_500, false, 1)]
#[case::slow_for_a_while_and_saved(2_500, true, 1)]
#[case::slow_from_start_and_saved(0, true, 2)]
fn slow_down_that_ends_soon(
    #[case] usual_ms: u64,
    #[case] checkpointing: bool,
    #[case] attempts: u32,
) {
    run_in_virtual_time(async move {
        let mut site = Site::new(8);
        site.submit(job(JOB, 1, Step { checkpointing, ..step(4, 8) }));
        let slow = site.worker_of(&task(JOB, 3));
        let usual = |_: &TaskId, _: &str| USUAL;
        site.run(usual_ms, usual).await;
        site.run(6_500 - usual_ms, slow_at(&slow)).await;
        site.run(6_000, usual).await;
        assert_eq!(site.rig.job_status(JOB), JobStatus::Succeeded);
        let last = site.work.keys().map(|(_, attempt)| *attempt).max();
        assert_eq!(last, Some(attempts));
    });
}

/// Where the other steps are slow as well, a task ends no sooner elsewhere: the fleet is slow, or the estimates are low.
#[rstest]
#[case::others_usual(USUAL, 2)]
#[case::others_slow(SLOW, 1)]
fn all_slow_at_once(#[case] others: f64, #[case] attempts: u32) {
    run_in_virtual_time(async move {
        let mut site = Site::new(12);
        site.submit(job(JOB, 1, saving(step(1, 8))));
        let slow = site.worker_of(&task(JOB, 0));
        for id in [OTHER, THIRD] {
            site.submit(job(id, 1, step(1, 8)));
        }
        let rate = |task: &TaskId, worker: &str| {
            let is_first = task.job == JOB && worker == slow;
            if is_first { SLOW } else { others }
        };
        site.run(6_500, rate).await;
        assert_eq!(site.attempt_of(&task(JOB, 0)), attempts);
    });
}

/// How reports fail.
#[derive(Clone, Copy, Debug)]
enum Reports {
    /// All come in time.
    Timely,
    /// The slow worker isn't reported.
    Lost,
    /// Most workers aren't reported.
    ManyLost,
    /// They can't be read for some time, as when the store is down.
    Unreadable,
}

/// While reports are old or missing, the rate of a run isn't known and all seem slow. A run that is stopped then loses
/// its work for nothing.
#[rstest]
#[case::timely(Reports::Timely, true)]
#[case::lost(Reports::Lost, false)]
#[case::many_lost(Reports::ManyLost, false)]
#[case::unreadable(Reports::Unreadable, false)]
fn faulty_reports(#[case] reports: Reports, #[case] is_moved: bool) {
    run_in_virtual_time(async move {
        let mut site = Site::new(8);
        let slow = start_step(&mut site);
        let last = task(JOB, 3);
        site.run(2_500, slow_at(&slow)).await;
        match reports {
            Reports::Timely => site.run(3_000, slow_at(&slow)).await,
            Reports::Lost => {
                site.silent = BTreeSet::from([slow.clone()]);
                site.run(3_000, slow_at(&slow)).await;
            }
            Reports::ManyLost => {
                let workers = site.rig.table.workers.keys().filter(|worker| **worker != slow);
                site.silent = workers.take(3).cloned().collect();
                site.run(3_000, slow_at(&slow)).await;
            }
            Reports::Unreadable => {
                site.unreadable = true;
                site.run(3_000, slow_at(&slow)).await;
                site.unreadable = false;
            }
        }
        site.run(500, slow_at(&slow)).await;
        let goes_on =
            (site.attempt_of(&last), site.rig.status_of(&last)) == (1, TaskStatus::Running);
        assert_eq!(goes_on, !is_moved);
    });
}

/// A last task that takes twice as long as the others ends no sooner elsewhere, and reports whose times contradict each
/// other don't make it seem slower.
#[rstest]
#[case::consistent(false)]
#[case::contradictory(true)]
fn last_task_with_more_work_stays(#[case] contradictory: bool) {
    run_in_virtual_time(async move {
        let mut site = Site::new(8);
        start_step(&mut site);
        site.contradictory = contradictory;
        site.run(11_000, |task, _| if task.index == 3 { USUAL / 2.0 } else { USUAL }).await;
        assert_eq!(site.rig.job_status(JOB), JobStatus::Succeeded);
        assert!(site.work.keys().all(|(_, attempt)| *attempt == 1));
    });
}

/// Once the reports are back, a slow last task is moved. Guards against a fault that ends the rule for good.
#[test]
fn moved_after_outage() {
    run_in_virtual_time(async {
        let mut site = Site::new(8);
        let slow = start_step(&mut site);
        site.run(3_000, slow_at(&slow)).await;
        site.unreadable = true;
        site.run(3_000, slow_at(&slow)).await;
        site.unreadable = false;
        site.run(12_000, slow_at(&slow)).await;
        assert_eq!(site.rig.job_status(JOB), JobStatus::Succeeded);
    });
}

/// A new leader has read no reports, and moves nothing before it knows the rates by reports of its own.
#[test]
fn new_leader_waits_for_rates() {
    run_in_virtual_time(async {
        let mut site = Site::new(8);
        let slow = start_step(&mut site);
        site.run(3_000, slow_at(&slow)).await;
        site.rig.replace_planner();
        site.rig.progress = ProgressTable::default();
        site.rig.started = Instant::now();
        let last = task(JOB, 3);
        site.run(3_000, slow_at(&slow)).await;
        assert_eq!((site.attempt_of(&last), site.rig.status_of(&last)), (1, TaskStatus::Running));
        site.run(10_000, slow_at(&slow)).await;
        assert_eq!(site.rig.job_status(JOB), JobStatus::Succeeded);
    });
}

/// The worker at which the task would start may be gone when its run has stopped. It then takes any other one, and goes
/// back to the slow one only if that is the only one left.
#[rstest]
#[case::another_left(7, false)]
#[case::slow_one_left(8, true)]
fn worker_gone_before_start(#[case] removed: usize, #[case] goes_back: bool) {
    run_in_virtual_time(async move {
        let mut site = Site::new(9);
        let slow = start_step(&mut site);
        let last = task(JOB, 3);
        while site.rig.status_of(&last) != TaskStatus::Stopping {
            site.tick(slow_at(&slow)).await;
        }
        let workers = site.rig.table.workers.keys().filter(|worker| **worker != slow);
        let gone: Vec<String> = workers.take(removed).cloned().collect();
        gone.iter().for_each(|worker| site.rig.remove_worker(worker));
        site.run(1_000, slow_at(&slow)).await;
        assert_eq!((site.attempt_of(&last), site.rig.status_of(&last)), (2, TaskStatus::Running));
        assert_eq!(site.worker_of(&last) == slow, goes_back);
    });
}

/// Urgent work that ends in time where it is isn't put at risk; late work gains by the restart.
#[rstest]
#[case::in_time(60_000, 1)]
#[case::late(500, 2)]
fn urgent_work_moved_only_if_late(#[case] target_ms: u64, #[case] attempts: u32) {
    run_in_virtual_time(async move {
        let mut site = Site::new(8);
        site.submit(Submission { target_ms, ..job(JOB, 0, saving(step(4, 8))) });
        let slow = site.worker_of(&task(JOB, 3));
        site.run(7_500, slow_at(&slow)).await;
        assert_eq!(site.attempt_of(&task(JOB, 3)), attempts);
    });
}

/// A long-running task is never done, so it holds up nothing, whatever its progress.
#[test]
fn long_running_step_stays() {
    run_in_virtual_time(async {
        let mut site = Site::new(8);
        site.submit(job(JOB, 1, Step { long_running: true, ..saving(step(1, 8)) }));
        site.run(12_000, |_, _| SLOW).await;
        assert_eq!(site.attempt_of(&task(JOB, 0)), 1);
    });
}

/// The workers that are kept for urgent work aren't free room for a step that may not use them.
#[test]
fn reserve_left_alone() {
    run_in_virtual_time(async {
        let mut site = Site::new(10);
        site.submit(Submission { target_ms: 60_000, ..job(JOB, 1, saving(step(4, 8))) });
        let slow = site.worker_of(&task(JOB, 3));
        // Two of ten workers stay in the reserve. The others are taken, also those of the done tasks.
        site.submit(job(OTHER, 2, Step { long_running: true, ..step(7, 8) }));
        site.run(9_000, slow_at(&slow)).await;
        assert_eq!(site.attempt_of(&task(JOB, 3)), 1);
    });
}
