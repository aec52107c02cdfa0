//! Jobs have begun once a worker has started one of their runs, not once they are assigned.

mod support;

use std::time::Duration;

use rampbay_jobs::losses::{InFlightRun, IncarnationEnd};
use rampbay_jobs::plan::{JobStatus, TaskStatus};
use rampbay_jobs::record::{EndReason, ProgressReport, Record};
use rstest::rstest;
use support::planner::{PlannerRig, progress};
use support::site::{Site, Work};
use support::{job, plan_of, run_in_virtual_time, step, table_of, task};
use tokio::time::{Instant, sleep};

const JOB: &str = "00000000000000aa";
const QUEUE: &str = "queue-1";
/// Time within which entries know what has begun.
const KNOWN_WITHIN: Duration = Duration::from_secs(2);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

fn assigned_job() -> PlannerRig {
    let mut rig = PlannerRig::of_workers(1);
    rig.submit(job(JOB, 1, step(1, 1)));
    rig.plan();
    assert_eq!(rig.statuses(JOB), [TaskStatus::Running]);
    rig
}

fn report(rig: &mut PlannerRig) {
    let (instance, run) = (rig.instance_of(&task(JOB, 0)), progress(JOB, 0, 10, 500));
    rig.progress.insert(
        &instance,
        ProgressReport { silent_ms: 0, runs: vec![run] },
        Instant::now(),
    );
    rig.plan();
}

/// Guards against a count of pending jobs that leaves out jobs whose starts never arrived (MIXED).
#[test]
fn assigned_job_is_pending_until_reported() {
    run_in_virtual_time(async {
        let mut rig = assigned_job();
        assert_eq!((rig.job_status(JOB), rig.table.pending(QUEUE)), (JobStatus::Queued, 1));
        report(&mut rig);
        assert_eq!((rig.job_status(JOB), rig.table.pending(QUEUE)), (JobStatus::Running, 0));
    });
}

/// A job that has begun stays so when its run is given up.
#[test]
fn begun_job_without_runs_is_not_pending() {
    run_in_virtual_time(async {
        let mut rig = assigned_job();
        report(&mut rig);
        let instance = rig.instance_of(&task(JOB, 0));
        rig.remove_worker(&instance);
        rig.replace_planner();
        rig.plan();
        assert_eq!(rig.statuses(JOB), [TaskStatus::Waiting]);
        assert_eq!((rig.job_status(JOB), rig.table.pending(QUEUE)), (JobStatus::Running, 0));
    });
}

#[rstest]
#[case::rejected(EndReason::NotStarted, JobStatus::Queued)]
#[case::failed(EndReason::Failed, JobStatus::Running)]
#[case::stopped(EndReason::Stopped, JobStatus::Running)]
#[case::done(EndReason::Done, JobStatus::Succeeded)]
fn status_after_end(#[case] reason: EndReason, #[case] status: JobStatus) {
    run_in_virtual_time(async move {
        let mut rig = assigned_job();
        rig.end(&task(JOB, 0), reason);
        rig.plan();
        assert_eq!(rig.job_status(JOB), status);
    });
}

/// Guards against a job that has ended and is shown as queued until the leader updates its plan.
#[test]
fn end_as_done_shown_before_leader_acts() {
    run_in_virtual_time(async {
        let mut rig = assigned_job();
        rig.end(&task(JOB, 0), EndReason::Done);
        assert_eq!(rig.table.status(JOB), Some(JobStatus::Succeeded));
    });
}

/// Of the runs that were in flight when a worker's incarnation ended, those count that the worker had listed.
#[rstest]
#[case::never_listed(0, JobStatus::Queued)]
#[case::listed(300, JobStatus::Running)]
fn status_after_loss_of_worker(#[case] listed_ms: u64, #[case] status: JobStatus) {
    run_in_virtual_time(async move {
        let mut rig = assigned_job();
        let (attempt, instance) = rig.latest_run(&task(JOB, 0));
        let run = InFlightRun { task: task(JOB, 0), attempt, age_ms: 400, listed_ms };
        let end = IncarnationEnd { gave_notice: false, runs: Some(vec![run]) };
        rig.put(&Record::LifeOver(instance.clone(), Box::new(end)));
        rig.remove_worker(&instance);
        rig.plan();
        assert_eq!(rig.job_status(JOB), status);
    });
}

/// A process that ends soon after a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LostProcess {
    None,
    Agent,
    Leader,
}

/// What has begun is known soon, also where agent or leader change.
#[rstest]
fn begun_job_known_in_time(
    #[values(LostProcess::None, LostProcess::Agent, LostProcess::Leader)] lost: LostProcess,
) {
    run_in_virtual_time(async move {
        let site = Site::start(2);
        sleep(KNOWN_WITHIN).await;
        site.submit(JOB, step(1, 1), Work::Ends(Duration::from_secs(20)));
        while site.starts.borrow().is_empty() {
            sleep(CHECK_INTERVAL).await;
        }
        let started = Instant::now();
        let machine = site.starts.borrow()[0].machine;
        match lost {
            LostProcess::None => {}
            LostProcess::Agent => site.restart_agent(&site.machines[machine]),
            LostProcess::Leader => site.replace_leader(),
        }
        while site.status(JOB) != JobStatus::Running {
            assert!(started.elapsed() < Duration::from_secs(20));
            sleep(CHECK_INTERVAL).await;
        }
        println!("{lost:?}: known after {:?}", started.elapsed());
        assert!(started.elapsed() <= KNOWN_WITHIN, "{:?}", started.elapsed());
    });
}

/// Guards against jobs that count as begun because they were assigned to workers that don't answer.
#[test]
fn job_at_silent_worker_is_pending() {
    run_in_virtual_time(async {
        let site = Site::start(1);
        sleep(KNOWN_WITHIN).await;
        site.machines[0].worker.silent.set(true);
        site.submit(JOB, step(1, 1), Work::Ends(Duration::from_secs(20)));
        sleep(Duration::from_millis(300)).await;
        assert_eq!(plan_of(&site.store, JOB).status, TaskStatus::Running);
        for _ in 0..100 {
            assert_eq!(table_of(&site.store).pending(QUEUE), 1);
            sleep(CHECK_INTERVAL * 5).await;
        }
    });
}
