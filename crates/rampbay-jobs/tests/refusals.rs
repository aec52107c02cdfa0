//! Workers that refuse starts although they seem to have free capacity.
//!
//! Guards against assigning gangs again and again to a worker that refuses each time: they were assigned up to ten
//! times a second, their other members were stopped as often, and the gangs never started.

mod support;

use std::time::Duration;

use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::record::EndReason;
use support::planner::{PlannerRig, gang};
use support::{job, run_in_virtual_time, step, task};

const JOB: &str = "00000000000000aa";
/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(25);
/// Rounds in two seconds.
const ROUNDS: u32 = 80;

/// Ends the runs at a worker whose tasks have a given status.
fn end_at(rig: &mut PlannerRig, worker: &str, status: TaskStatus, reason: EndReason) {
    for (task, _) in rig.runs_at(worker) {
        if rig.status_of(&task) == status {
            rig.end(&task, reason);
        }
    }
}

/// Runs rounds in which the first of some workers refuses every start, and the others start and stop runs as ordered.
async fn refuse_at_first_worker(rig: &mut PlannerRig, workers: &[&str]) {
    for _ in 0..ROUNDS {
        rig.plan();
        for worker in workers {
            end_at(rig, worker, TaskStatus::Stopping, EndReason::Stopped);
        }
        end_at(rig, workers[0], TaskStatus::Running, EndReason::NotStarted);
        tokio::time::sleep(ROUND).await;
        rig.wall += ROUND.as_millis() as u64;
    }
}

/// Guards against assigning a task again at once to the worker that has just refused it: ten times a second,
/// without end.
#[test]
fn refused_task_assigned_twice_a_second_at_most() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.submit(job(JOB, 1, step(1, 1)));
        refuse_at_first_worker(&mut rig, &["i-0"]).await;
        let (attempts, _) = rig.latest_run(&task(JOB, 0));
        assert!((2..=4).contains(&attempts), "{attempts} attempts");
    });
}

/// Guards against stopping and starting the other members of a gang ten times a second if it needs a refusing worker.
#[test]
fn gang_with_refusing_worker_assigned_twice_a_second_at_most() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(3);
        rig.submit(job(JOB, 1, gang(3, 8)));
        refuse_at_first_worker(&mut rig, &["i-0", "i-1", "i-2"]).await;
        let (attempts, _) = rig.latest_run(&task(JOB, 0));
        assert!((2..=4).contains(&attempts), "{attempts} attempts");
    });
}

/// A worker that refused once, since its capacity had shrunk, gets work again soon.
#[test]
fn worker_that_refused_once_used_again() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.submit(job(JOB, 1, step(1, 1)));
        rig.plan();
        rig.end(&task(JOB, 0), EndReason::NotStarted);
        for _ in 0..20 {
            rig.plan();
            tokio::time::sleep(ROUND).await;
        }
        assert_eq!(rig.latest_run(&task(JOB, 0)).0, 2);
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Running);
    });
}
