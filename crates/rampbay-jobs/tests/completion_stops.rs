//! Which runs the policy `by_completion` stops for urgent work, and for which work it stops any.

mod support;

use std::time::Duration;

use rampbay_jobs::job::{Step, Submission};
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::planner::{Placement, ProgressTable};
use rampbay_jobs::record::{EndReason, ProgressReport, Record};
use rstest::rstest;
use support::planner::{PlannerRig, gang, progress};
use support::{job, run_in_virtual_time, running_plan, step, task};
use tokio::time::Instant;

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
const URGENT: &str = "00000000000000cc";

/// Creates a rig whose planner places work by `by_completion`.
fn rig_of_workers(count: usize) -> PlannerRig {
    PlannerRig::of_workers(count).with_placement(Placement::ByCompletion)
}

/// Returns a step that saves checkpoints.
fn checkpointing(step: Step) -> Step {
    Step { checkpointing: true, ..step }
}

/// Submits an urgent job now.
fn submit_urgent(rig: &mut PlannerRig, id: &str, step: Step) {
    rig.submit(Submission { submitted_at: rig.wall, ..job(id, 0, step) });
}

/// Submits an urgent job that takes the only worker, and returns whether the task of `JOB` gave way to it. Afterwards
/// the urgent job is over, and the task of `JOB` is running.
fn stops_for_burst(rig: &mut PlannerRig, number: u32) -> bool {
    let id = format!("{:016x}", 0xc000 + number);
    submit_urgent(rig, &id, step(1, 8));
    rig.plan();
    let gave_way = rig.status_of(&task(JOB, 0)) == TaskStatus::Stopping;
    if gave_way {
        rig.end(&task(JOB, 0), EndReason::Stopped);
        rig.plan();
        rig.end(&task(&id, 0), EndReason::Done);
    } else {
        rig.put(&Record::Cancelled(id));
    }
    rig.plan();
    assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Running);
    gave_way
}

/// A checkpointing run loses the stop and its restart, 650 ms here, whatever its age; any other run loses its age and
/// the stop. Charged its age, a checkpointing run would be spared at the expense of work that is lost.
#[rstest]
#[case::younger_than_a_restart(Duration::from_millis(500), JOB)]
#[case::older_than_a_restart(Duration::from_millis(1500), OTHER)]
fn run_that_loses_less_time_stopped(#[case] ran: Duration, #[case] expected: &str) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(2);
        rig.submit(job(JOB, 2, step(1, 8)));
        rig.submit(job(OTHER, 2, checkpointing(step(1, 8))));
        rig.plan();
        rig.advance(ran).await;
        submit_urgent(&mut rig, URGENT, step(1, 8));
        rig.plan();
        for id in [JOB, OTHER] {
            let is_stopped = rig.status_of(&task(id, 0)) == TaskStatus::Stopping;
            assert_eq!(is_stopped, id == expected, "{id}");
        }
    });
}

/// For the same loss the run of the lower priority is stopped.
#[test]
fn run_of_lower_priority_stopped() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(2);
        rig.submit(job(JOB, 1, checkpointing(step(1, 8))));
        rig.submit(job(OTHER, 2, checkpointing(step(1, 8))));
        rig.plan();
        rig.advance(Duration::from_secs(5)).await;
        submit_urgent(&mut rig, URGENT, step(1, 8));
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Running);
        assert_eq!(rig.status_of(&task(OTHER, 0)), TaskStatus::Stopping);
    });
}

/// Guards against stopping the task that has just been restarted for burst after burst: it has lost nothing yet, so it
/// would always be the cheapest, and its job would never end. Only guaranteed work may stop it again.
#[rstest]
#[case::not_guaranteed(0, false)]
#[case::guaranteed(8, true)]
fn task_stopped_twice_protected(#[case] guaranteed: u64, #[case] expected: bool) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(1);
        rig.submit(job(JOB, 2, checkpointing(step(1, 8))));
        rig.plan();
        assert!(stops_for_burst(&mut rig, 1));
        assert!(stops_for_burst(&mut rig, 2));
        rig.guarantee(guaranteed);
        assert_eq!(stops_for_burst(&mut rig, 3), expected);
    });
}

/// Each stop of a gang counts for all its members, so a gang that was stopped twice goes on whole.
#[test]
fn gang_stopped_twice_protected() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(2);
        rig.submit(job(JOB, 2, gang(2, 8)));
        rig.plan();
        for number in 1..=3 {
            let id = format!("{:016x}", 0xc000 + number);
            submit_urgent(&mut rig, &id, step(1, 8));
            rig.plan();
            if number == 3 {
                break;
            }
            assert_eq!(rig.statuses(JOB), [TaskStatus::Stopping; 2], "burst {number}");
            (0..2).for_each(|index| rig.end(&task(JOB, index), EndReason::Stopped));
            rig.plan();
            rig.end(&task(&id, 0), EndReason::Done);
            rig.plan();
        }
        assert_eq!(rig.statuses(JOB), [TaskStatus::Running; 2]);
    });
}

/// The protected run is passed over while another one may be stopped, also for guaranteed work.
#[test]
fn protected_run_stopped_last() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(1);
        rig.submit(job(JOB, 2, checkpointing(step(1, 8))));
        rig.plan();
        assert!(stops_for_burst(&mut rig, 1));
        assert!(stops_for_burst(&mut rig, 2));
        let worker = support::worker_record("side", "r1", 8);
        rig.put(&Record::Worker("i-1".to_owned(), Box::new(worker)));
        rig.submit(job(OTHER, 1, step(1, 8)));
        rig.plan();
        rig.advance(Duration::from_secs(20)).await;
        rig.guarantee(8);
        submit_urgent(&mut rig, URGENT, step(1, 8));
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Running);
        assert_eq!(rig.status_of(&task(OTHER, 0)), TaskStatus::Stopping);
    });
}

/// Counts are dropped with the job, or the memory of a leader would grow without end, and a later job under the same id
/// would be protected from its start.
#[test]
fn preemptions_forgotten_with_job() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(1);
        rig.submit(job(JOB, 2, checkpointing(step(1, 8))));
        rig.plan();
        assert!(stops_for_burst(&mut rig, 1));
        assert!(stops_for_burst(&mut rig, 2));
        rig.end(&task(JOB, 0), EndReason::Done);
        rig.plan();
        rig.advance(rig.settings.ended_job_retention + Duration::from_secs(5)).await;
        rig.plan();
        assert!(!rig.table.jobs.contains_key(JOB));
        rig.submit(Submission { submitted_at: rig.wall, ..job(JOB, 2, checkpointing(step(1, 8))) });
        rig.plan();
        assert!(stops_for_burst(&mut rig, 3));
    });
}

/// A new leader takes the attempts in the plan, less the failed ones and the one that goes on, for stops. Counted from
/// zero, a task would be stopped twice by each leader.
#[rstest]
#[case::stopped_twice(3, 0, false)]
#[case::stopped_once(2, 0, true)]
#[case::failed_once_stopped_once(3, 1, true)]
fn new_leader_counts_attempts(#[case] attempt: u32, #[case] failures: u32, #[case] expected: bool) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(1);
        rig.submit(job(JOB, 2, checkpointing(step(1, 8))));
        let mut plan = running_plan(1, "i-0", attempt);
        plan.open[0].steps[0][0].failures = failures;
        rig.put(&Record::Plan(JOB.to_owned(), Box::new(plan)));
        rig.advance(Duration::from_secs(1)).await;
        assert_eq!(stops_for_burst(&mut rig, 1), expected);
    });
}

/// The same for a task that waits when the leader changes: each of its runs counts.
#[test]
fn new_leader_counts_attempts_of_waiting_task() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(1);
        rig.submit(job(JOB, 2, checkpointing(step(1, 8))));
        rig.plan();
        assert!(stops_for_burst(&mut rig, 1));
        submit_urgent(&mut rig, URGENT, step(1, 8));
        rig.plan();
        rig.end(&task(JOB, 0), EndReason::Stopped);
        rig.plan();
        rig.replace_planner();
        rig.end(&task(URGENT, 0), EndReason::Done);
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Running);
        assert!(!stops_for_burst(&mut rig, 2));
    });
}

/// Until the first reports, a new leader doesn't know how long runs have gone on. Taken as young, a run that is nearly
/// done would be stopped; so it counts as long as its task is expected to take.
#[test]
fn new_leader_spares_runs_of_unknown_age() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(2);
        rig.submit(job(JOB, 2, step(2, 8)));
        rig.plan();
        rig.advance(Duration::from_secs(4)).await;
        rig.replace_planner();
        rig.progress = ProgressTable::default();
        rig.progress.note_read(Instant::now());
        let young = ProgressReport { silent_ms: 0, runs: vec![progress(JOB, 1, 20, 1_000)] };
        rig.progress.insert(&rig.instance_of(&task(JOB, 1)), young, Instant::now());
        submit_urgent(&mut rig, URGENT, step(1, 8));
        rig.plan();
        assert_eq!(rig.statuses(JOB), [TaskStatus::Running, TaskStatus::Stopping]);
    });
}

/// Only stops for others protect a task. Counted as such, runs that fail, that workers refuse or that are lost with
/// their workers would be protected on a fleet in trouble, and urgent work would find nothing to stop.
#[rstest]
fn other_ends_not_counted(
    #[values(EndReason::NotStarted, EndReason::Failed, EndReason::Lapsed)] reason: EndReason,
) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(1);
        rig.submit(Submission { attempts: 9, ..job(JOB, 2, checkpointing(step(1, 8))) });
        for _ in 0..3 {
            rig.plan();
            rig.end(&task(JOB, 0), reason);
            rig.plan();
            rig.advance(Duration::from_secs(6)).await;
        }
        rig.plan();
        assert_eq!(rig.statuses(JOB), [TaskStatus::Running]);
        assert!(stops_for_burst(&mut rig, 1));
    });
}

/// A gang that has time to wait stopped bulk runs, which made up most of all stops. Under `by_completion` it stops none,
/// and waits for the workers that it holds.
#[rstest]
#[case::by_lost_work(Placement::ByLostWork, TaskStatus::Stopping)]
#[case::by_completion(Placement::ByCompletion, TaskStatus::Running)]
fn gang_of_middle_queue_stops_nothing(#[case] placement: Placement, #[case] expected: TaskStatus) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(2).with_placement(placement);
        rig.submit(job(JOB, 2, checkpointing(step(2, 8))));
        rig.plan();
        let gang = Step { estimate_ms: 10_000, ..gang(2, 8) };
        rig.submit(Submission { submitted_at: rig.wall, ..job(OTHER, 1, gang) });
        rig.advance(Duration::from_secs(3)).await;
        rig.plan();
        assert_eq!(rig.statuses(JOB), [expected; 2]);
    });
}

/// Without stops, a gang of the middle queue would wait for ever behind single tasks that take each accelerator as it
/// becomes free; so workers are held for it.
#[test]
fn gang_of_middle_queue_holds_worker() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(4);
        rig.submit(job(JOB, 2, step(32, 1)));
        rig.plan();
        rig.advance(Duration::from_secs(3)).await;
        rig.submit(Submission { submitted_at: rig.wall, ..job(OTHER, 1, gang(1, 8)) });
        rig.submit(Submission { submitted_at: rig.wall, ..job(URGENT, 2, step(4, 1)) });
        for worker in 0..4 {
            let (done, _) = rig.runs_at(&format!("i-{worker}")).remove(0);
            rig.end(&done, EndReason::Done);
        }
        rig.plan();
        let running = rig.statuses(URGENT).into_iter().filter(|is| *is == TaskStatus::Running);
        assert_eq!(running.count(), 3, "one of four accelerators is kept for the gang");
    });
}

/// Callers still want a job that is late by its own objective, 10.5 s here; after three times that they don't. Urgent
/// jobs that were late by a little waited until the fleet had room.
#[rstest]
#[case::in_time(0, TaskStatus::Stopping)]
#[case::late(20_000, TaskStatus::Stopping)]
#[case::useless(27_000, TaskStatus::Running)]
fn late_urgent_work_stops_runs_while_useful(#[case] late_ms: u64, #[case] expected: TaskStatus) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(1);
        rig.wall = 100_000;
        rig.submit(Submission { submitted_at: rig.wall, ..job(JOB, 1, step(1, 8)) });
        rig.plan();
        rig.submit(Submission { submitted_at: rig.wall - late_ms, ..job(URGENT, 0, step(1, 8)) });
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), expected);
    });
}

/// A guaranteed step may stop whatever it needs, however old that is and however late the step.
#[rstest]
#[case::guaranteed(8, TaskStatus::Stopping)]
#[case::not_guaranteed(0, TaskStatus::Running)]
fn guaranteed_step_stops_whatever_it_needs(#[case] devices: u64, #[case] expected: TaskStatus) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(1);
        rig.guarantee(devices);
        rig.submit(Submission { submitted_at: rig.wall, ..job(JOB, 1, step(1, 8)) });
        rig.plan();
        rig.advance(Duration::from_secs(60)).await;
        rig.submit(Submission { submitted_at: rig.wall - 50_000, ..job(URGENT, 0, step(1, 8)) });
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), expected);
    });
}

/// A stopped task doesn't start again where a more urgent step waits that would fit there. Under both policies the order
/// of placement ensures that: the more urgent step goes first, and in each round keeps the room that its stops free.
/// Otherwise the stopped tasks would take each worker as it becomes free, and be stopped again.
#[rstest]
fn stopped_tasks_wait_for_more_urgent_gang(
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(4).with_placement(placement);
        rig.submit(job(JOB, 2, checkpointing(step(4, 8))));
        rig.plan();
        submit_urgent(&mut rig, URGENT, gang(3, 8));
        rig.plan();
        let stopped =
            (0..4).filter(|&index| rig.status_of(&task(JOB, index)) != TaskStatus::Running);
        let stopped: Vec<u32> = stopped.collect();
        assert_eq!(stopped.len(), 3);
        for &index in &stopped {
            assert_eq!(rig.statuses(URGENT), []);
            rig.end(&task(JOB, index), EndReason::Stopped);
            rig.plan();
            assert_eq!(rig.status_of(&task(JOB, index)), TaskStatus::Waiting);
        }
        assert_eq!(rig.statuses(URGENT), [TaskStatus::Running; 3]);
    });
}
