//! The workers that the policy `by_completion` keeps idle for urgent work, and when other work may use them.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use rampbay_jobs::drained::DrainedDomains;
use rampbay_jobs::job::{Step, Submission};
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::planner::Placement;
use rampbay_jobs::record::{EndReason, Record, WorkerRecord};
use rstest::rstest;
use support::planner::{PlannerRig, gang};
use support::{job, run_in_virtual_time, step, task, worker_record};

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
const URGENT: &str = "00000000000000cc";
const BULK: &str = "00000000000000dd";
/// Accelerators of a worker.
const DEVICES: u32 = 8;

/// Creates a rig whose planner places work by `by_completion`.
fn rig_of_workers(count: usize) -> PlannerRig {
    PlannerRig::of_workers(count).with_placement(Placement::ByCompletion)
}

/// Submits a job now. Jobs of lower priority have a minute to spare, so that they don't count as nearly late.
fn submit(rig: &mut PlannerRig, id: &str, priority: u32, step: Step) {
    let target_ms = if priority == 0 { 500 } else { 60_000 };
    let submission = Submission { target_ms, submitted_at: rig.wall, ..job(id, priority, step) };
    rig.submit(submission);
}

/// Returns the workers at which nothing runs.
fn idle(rig: &PlannerRig) -> BTreeSet<String> {
    let workers = rig.table.workers.keys();
    workers.filter(|instance| rig.runs_at(instance).is_empty()).cloned().collect()
}

/// Lets a bulk job fill all workers that it may use, and returns those that are left idle.
fn reserved(rig: &mut PlannerRig) -> BTreeSet<String> {
    let count = rig.table.workers.len() as u32 * DEVICES;
    submit(rig, BULK, 2, step(count, 1));
    rig.plan();
    idle(rig)
}

fn names<const N: usize>(numbers: [usize; N]) -> BTreeSet<String> {
    numbers.into_iter().map(|number| format!("i-{number}")).collect()
}

/// Runs urgent jobs to their end, one after the other, each with `tasks` single tasks that take a worker.
fn run_urgent_jobs(rig: &mut PlannerRig, jobs: u32, tasks: u32) {
    for number in 0..jobs {
        let id = format!("{:016x}", 0xc000 + number);
        submit(rig, &id, 0, step(tasks, 8));
        rig.plan();
        assert_eq!(rig.statuses(&id), vec![TaskStatus::Running; tasks as usize]);
        (0..tasks).for_each(|index| rig.end(&task(&id, index), EndReason::Done));
        rig.plan();
    }
}

/// A leader that has seen less than five urgent jobs doesn't know the demand, and keeps a fifth. Without it, the first
/// bursts after a change of the leader would have to wait for stops.
#[rstest]
#[case::no_job(0, 4)]
#[case::four_jobs(4, 4)]
#[case::five_jobs(5, 2)]
fn fifth_reserved_until_demand_known(#[case] jobs: u32, #[case] expected: usize) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(20);
        run_urgent_jobs(&mut rig, jobs, 1);
        assert_eq!(reserved(&mut rig).len(), expected);
    });
}

/// The demand is lost with the leader, so the next one keeps a fifth again.
#[test]
fn new_leader_keeps_fifth() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(20);
        run_urgent_jobs(&mut rig, 5, 1);
        rig.replace_planner();
        assert_eq!(reserved(&mut rig).len(), 4);
    });
}

/// The reserve is as large as the largest demand of late, within 10% and 30%, and half of that 10 s later. Smaller, the
/// next burst would wait for stops; larger, or kept for longer, other work would wait beside idle workers.
#[rstest]
#[case::at_once(5, 0, 5)]
#[case::half_after_half_life(5, 10, 3)]
#[case::least_after_long(5, 40, 2)]
#[case::at_most_30_percent(12, 0, 6)]
fn reserve_follows_urgent_demand(
    #[case] workers: u32,
    #[case] later_s: u64,
    #[case] expected: usize,
) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(20);
        run_urgent_jobs(&mut rig, 5, workers);
        rig.advance(Duration::from_secs(later_s)).await;
        assert_eq!(reserved(&mut rig).len(), expected);
    });
}

/// The widest urgent gang of the last 20 s fits into the reserve, though it runs alone and rarely. A gang starts whole
/// or not at all, so a smaller reserve would serve none of its members.
#[rstest]
#[case::just_seen(0, 4)]
#[case::seen_within_20_s(19, 4)]
#[case::forgotten(21, 2)]
fn reserve_holds_widest_gang(#[case] later_s: u64, #[case] expected: usize) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(20);
        run_urgent_jobs(&mut rig, 5, 1);
        // It never starts, so only its width counts: two tasks fit on a worker.
        submit(&mut rig, URGENT, 0, Step { required_label: "none".to_owned(), ..gang(8, 4) });
        rig.plan();
        rig.put(&Record::Cancelled(URGENT.to_owned()));
        rig.advance(Duration::from_secs(later_s)).await;
        assert_eq!(reserved(&mut rig).len(), expected);
    });
}

/// An urgent gang starts at once beside a full fleet, and nothing is stopped for it.
#[test]
fn urgent_gang_starts_on_reserve() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(20);
        assert_eq!(reserved(&mut rig).len(), 4);
        submit(&mut rig, URGENT, 0, gang(4, 8));
        rig.plan();
        assert_eq!(rig.statuses(URGENT), [TaskStatus::Running; 4]);
        assert!(!rig.statuses(BULK).contains(&TaskStatus::Stopping));
    });
}

/// Workers that run urgent work already aren't part of the reserve: the next burst needs idle ones.
#[test]
fn workers_in_use_not_reserved() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(10);
        submit(&mut rig, URGENT, 0, step(2, 2));
        rig.plan();
        let reserved = reserved(&mut rig);
        assert_eq!(reserved.len(), 2);
        assert!(!reserved.contains(&rig.instance_of(&task(URGENT, 0))));
    });
}

/// Whole racks are reserved rather than single workers of many, so that gangs that want one rack fit there.
#[test]
fn whole_rack_reserved() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(15);
        // One worker of each rack but the last is in use.
        for rack in 0..4 {
            let step = Step { required_label: format!("r{rack}"), ..step(1, 8) };
            submit(&mut rig, &format!("{:016x}", 0xe000 + rack), 0, step);
        }
        rig.plan();
        rig.replace_planner();
        assert_eq!(reserved(&mut rig), names([12, 13, 14]));
    });
}

/// An idle worker stays in the reserve. Chosen anew each time, the reserve would move to workers that have just become
/// idle, and other work would fill the racks that it kept free.
#[test]
fn reserve_stays_where_it_is() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(12);
        submit(&mut rig, JOB, 0, Step { required_label: "r0".to_owned(), ..step(3, 8) });
        rig.plan();
        submit(&mut rig, OTHER, 1, Step { required_label: "r3".to_owned(), ..step(1, 8) });
        rig.plan();
        (0..3).for_each(|index| rig.end(&task(JOB, index), EndReason::Done));
        rig.plan();
        assert_eq!(reserved(&mut rig), names([3, 4]));
    });
}

/// A reserved worker that leaves is replaced in the next round, or the reserve would be gone after a wave of leaving
/// workers.
#[rstest]
#[case::gives_notice(true)]
#[case::vanishes(false)]
fn leaving_worker_replaced(#[case] gives_notice: bool) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(12);
        submit(&mut rig, JOB, 1, step(1, 8));
        rig.plan();
        let worker = rig.table.workers["i-0"].as_ref().clone();
        if gives_notice {
            let worker = WorkerRecord { draining: true, leaves_at: rig.wall + 60_000, ..worker };
            rig.put(&Record::Worker("i-0".to_owned(), Box::new(worker)));
        } else {
            rig.table.apply(&rampbay_jobs::record::removal("worker/i-0".to_owned()));
        }
        let mut reserved = reserved(&mut rig);
        reserved.remove("i-0");
        assert_eq!(reserved.len(), 2, "{reserved:?}");
    });
}

/// Nothing may be started in a drained failure domain, so a reserve there would serve nobody, and the workers of the
/// others would be left without one.
#[test]
fn drained_domain_has_no_reserve() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(10);
        for number in 0..10 {
            let worker = worker_record("side", &format!("s{}", number / 3), 8);
            let worker = WorkerRecord { failure_domain: "domain-2".to_owned(), ..worker };
            rig.put(&Record::Worker(format!("a-{number}"), Box::new(worker)));
        }
        rig.drained = DrainedDomains { names: BTreeSet::from(["domain-2".to_owned()]), read_to: 5 };
        let reserved = reserved(&mut rig);
        let in_use = reserved.iter().filter(|instance| instance.starts_with("i-"));
        assert_eq!(in_use.count(), 2, "a fifth of the ten workers that may be used");
    });
}

/// A worker at which a run has just failed isn't reserved, since an urgent gang would fail there as a whole.
#[test]
fn avoided_worker_not_reserved() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(10);
        submit(&mut rig, JOB, 0, Step { required_label: "r0".to_owned(), ..step(1, 8) });
        rig.plan();
        let failed_at = rig.instance_of(&task(JOB, 0));
        rig.end(&task(JOB, 0), EndReason::Failed);
        rig.put(&Record::Cancelled(JOB.to_owned()));
        rig.plan();
        assert!(!reserved(&mut rig).contains(&failed_at));
    });
}

/// The fastest workers are reserved: an urgent gang runs at the pace of its slowest member.
#[test]
fn fast_workers_reserved() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(10);
        rig.measure_speeds(&[6, 6, 6, 6, 12, 6, 6, 6, 12, 6]).await;
        assert_eq!(reserved(&mut rig), names([4, 8]));
    });
}

/// Work that would end late without the reserve may use it.
#[rstest]
#[case::has_time(60_000, TaskStatus::Waiting)]
#[case::nearly_late(3_000, TaskStatus::Running)]
fn nearly_late_work_uses_reserve(#[case] target_ms: u64, #[case] expected: TaskStatus) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(10);
        reserved(&mut rig);
        rig.submit(Submission {
            target_ms,
            stretch_permille: 1000,
            submitted_at: rig.wall,
            ..job(JOB, 1, step(1, 8))
        });
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), expected);
    });
}

/// A fleet that is half idle has room for both: any work that has waited for 0.8 s may use the reserve. Otherwise a job
/// would wait beside free workers for as long as it has time, which the users don't allow.
#[rstest]
#[case::half_idle(5, true)]
#[case::in_use(6, false)]
fn waiting_work_uses_reserve_of_idle_fleet(#[case] used: u32, #[case] expected: bool) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(10);
        submit(&mut rig, OTHER, 1, step(used, 8));
        rig.plan();
        submit(&mut rig, JOB, 1, gang(10 - used, 8));
        rig.advance(Duration::from_millis(500)).await;
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Waiting, "it has just come");
        rig.advance(Duration::from_millis(500)).await;
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)) == TaskStatus::Running, expected);
    });
}

/// A gang that was stopped for urgent work doesn't start again on the reserve at once, where the next burst would find
/// it in the way. It does before it would end late, and before it has stood still for the 3 s that the users allow on a
/// fleet that is half idle.
#[rstest]
#[case::has_time(60_000, 0, TaskStatus::Waiting)]
#[case::has_time_but_stands_still(60_000, 2_500, TaskStatus::Running)]
#[case::nearly_late(3_000, 0, TaskStatus::Running)]
fn preempted_gang_leaves_reserve(
    #[case] target_ms: u64,
    #[case] later_ms: u64,
    #[case] expected: TaskStatus,
) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(10);
        let gang = Step { checkpointing: true, ..gang(6, 8) };
        rig.submit(Submission {
            target_ms,
            stretch_permille: 1000,
            submitted_at: rig.wall,
            ..job(JOB, 2, gang)
        });
        submit(&mut rig, OTHER, 1, step(2, 8));
        rig.plan();
        rig.advance(Duration::from_secs(4)).await;
        // Waiting for the gang's end, it would be so late that its caller loses more than that of the gang.
        rig.submit(Submission {
            stretch_permille: 1000,
            submitted_at: rig.wall,
            ..job(URGENT, 0, step(3, 8))
        });
        rig.plan();
        assert_eq!(rig.statuses(JOB), [TaskStatus::Stopping; 6], "two of three fit the reserve");
        (0..6).for_each(|index| rig.end(&task(JOB, index), EndReason::Stopped));
        (0..2).for_each(|index| rig.end(&task(OTHER, index), EndReason::Done));
        rig.plan();
        rig.advance(Duration::from_millis(later_ms)).await;
        rig.plan();
        assert_eq!(rig.statuses(URGENT), [TaskStatus::Running; 3]);
        assert_eq!(rig.statuses(JOB), [expected; 6], "it needs one of the two reserved workers");
    });
}
