//! Starts without an answer that are carried out late, possibly by the next incarnation of a worker,
//! which its agent may not have reached yet.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::plan::JobStatus;
use rstest::rstest;
use support::acknowledged::{AcknowledgedEnds, assert_runs_once};
use support::site::{Machine, Site, Work};
use support::store::MemoryStore;
use support::worker::{FakeWorker, LateCalls};
use support::{AgentRig, plan_of, run_in_virtual_time, seed_running_job, step, table_of, task};
use tokio::time::{Instant, sleep};

const JOB: &str = "00000000000000aa";
const MACHINES: usize = 3;
/// Time in which all agents register and a leader is elected.
const STARTS_WITHIN: Duration = Duration::from_millis(1500);
/// Time in which a start is ordered.
const ORDERED_WITHIN: Duration = Duration::from_millis(150);
/// Time for which a worker's starts are late.
const LATE_FOR: Duration = Duration::from_millis(2500);
/// Longer than the time in which a late start can overlap with another run of its task.
const WORK: Duration = Duration::from_secs(16);
/// Time in which the job ends.
const ENDS_WITHIN: Duration = Duration::from_secs(60);
/// Time from a worker's notice to its departure; longer than a case takes.
const LEAVES_AFTER: Duration = Duration::from_secs(120);
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// When the faults of a case occur, in milliseconds after the start was ordered.
#[derive(Clone, Copy, Debug)]
struct Case {
    /// For how long the worker's starts are late.
    late_for: Duration,
    /// When the late start is carried out.
    late: u64,
    /// When the worker restarts, and how often.
    restarts: &'static [u64],
    /// For how long the agent can't reach a new incarnation.
    unreached_for: u64,
    /// When the agent's process ends, and another one takes its place.
    agent_restart: Option<u64>,
    /// When the worker gives notice that it leaves.
    notice: Option<u64>,
}

/// Returns the machine where the job's first task was assigned.
fn assigned_machine(site: &Site) -> Rc<Machine> {
    let instance = plan_of(&site.store, JOB).instance;
    let is_assigned = |machine: &&Rc<Machine>| *machine.worker.instance.borrow() == instance;
    Rc::clone(site.machines.iter().find(is_assigned).expect("the task was assigned"))
}

/// Lets the starts of the job's first task be late, and its worker restart. Returns how long the job
/// took.
async fn play(case: Case, tasks: u32, gang: bool) -> Duration {
    let site = Site::start(MACHINES);
    let mut acknowledged = AcknowledgedEnds::watch(&site);
    sleep(STARTS_WITHIN).await;
    let late = LateCalls::Starts(Duration::from_millis(case.late));
    site.machines.iter().for_each(|machine| machine.worker.late_calls.set(Some(late)));
    let mut definition = step(tasks, 5);
    definition.gang = gang;
    site.submit(JOB, definition, Work::Ends(WORK));
    sleep(ORDERED_WITHIN).await;
    let faulty = assigned_machine(&site);
    for machine in &site.machines {
        if !Rc::ptr_eq(machine, &faulty) {
            machine.worker.late_calls.set(None);
        }
    }
    let faults = tokio::task::spawn_local(inject(Rc::clone(&site), faulty, case));
    let submitted = Instant::now();
    while site.status(JOB) != JobStatus::Succeeded {
        assert!(submitted.elapsed() < ENDS_WITHIN, "the job doesn't end: {case:?}");
        sleep(CHECK_INTERVAL).await;
        acknowledged.check(&site);
        assert_runs_once(&site);
    }
    faults.await.expect("the faults end");
    submitted.elapsed()
}

async fn inject(site: Rc<Site>, faulty: Rc<Machine>, case: Case) {
    let began = Instant::now();
    let after_start = |ms: u64| began + Duration::from_millis(ms) - ORDERED_WITHIN;
    let worker = Rc::clone(&faulty.worker);
    let end_late = async {
        sleep(case.late_for).await;
        worker.late_calls.set(None);
    };
    let restart = async {
        for &at in case.restarts {
            tokio::time::sleep_until(after_start(at)).await;
            faulty.worker.silent.set(true);
            site.restart_worker(&faulty, Duration::from_millis(20));
            let reached = Instant::now() + Duration::from_millis(case.unreached_for);
            tokio::time::sleep_until(reached).await;
            faulty.worker.silent.set(false);
        }
    };
    let restart_agent = async {
        if let Some(at) = case.agent_restart {
            tokio::time::sleep_until(after_start(at)).await;
            site.restart_agent(&faulty);
        }
    };
    let give_notice = async {
        if let Some(at) = case.notice {
            tokio::time::sleep_until(after_start(at)).await;
            site.give_notice(&faulty, LEAVES_AFTER);
        }
    };
    tokio::join!(end_late, restart, restart_agent, give_notice);
}

/// Guards against a task that runs twice: its start got no answer, it was started elsewhere, and the
/// first start was carried out late by an incarnation that its agent hadn't reached.
#[rstest]
fn task_runs_once(
    #[values(1_000, 3_000, 6_000, 9_000, 11_500)] late: u64,
    #[values(&[400], &[900], &[2_000], &[5_000], &[8_500], &[10_900], &[4_000, 8_000])]
    restarts: &'static [u64],
    #[values(0, 900, 7_500)] unreached_for: u64,
) {
    run_in_virtual_time(async move {
        play(
            Case {
                late_for: LATE_FOR,
                late,
                restarts,
                unreached_for,
                agent_restart: None,
                notice: None,
            },
            1,
            false,
        )
        .await;
    });
}

/// Guards against a task that runs twice at one worker: the starts of two attempts got no answer, and
/// an incarnation that its agent hadn't reached carried out both.
#[test]
fn two_late_attempts_not_carried_out_together() {
    run_in_virtual_time(async {
        let case = Case {
            late_for: Duration::from_millis(3_000),
            late: 6_000,
            restarts: &[5_500],
            unreached_for: 7_500,
            agent_restart: None,
            notice: None,
        };
        play(case, 1, false).await;
    });
}

/// As above, when the agent's process ends before its start was answered or given up.
#[rstest]
fn task_runs_once_despite_agent_restart(
    #[values(2_000, 6_000, 11_500)] late: u64,
    #[values(&[2_900], &[5_000], &[8_500], &[4_000, 8_000])] restarts: &'static [u64],
    #[values(900, 7_500)] unreached_for: u64,
    #[values(200, 1_000, 2_200)] agent_restart: u64,
) {
    run_in_virtual_time(async move {
        let agent_restart = Some(agent_restart);
        play(
            Case { late_for: LATE_FOR, late, restarts, unreached_for, agent_restart, notice: None },
            1,
            false,
        )
        .await;
    });
}

/// Guards against a task that runs twice: the agent's process ends before its start was answered, and
/// the next process, whose worker drains, reports the run as not started. The late start is then
/// carried out.
#[rstest]
fn task_runs_once_despite_notice_and_agent_restart(
    #[values(3_000, 6_000)] late: u64,
    #[values(500, 1_000)] notice: u64,
    #[values(20, 200)] until_restart: u64,
) {
    run_in_virtual_time(async move {
        let agent_restart = Some(notice + until_restart);
        let case = Case {
            late_for: LATE_FOR,
            late,
            restarts: &[],
            unreached_for: 0,
            agent_restart,
            notice: Some(notice),
        };
        play(case, 1, false).await;
    });
}

/// As above, for a gang, whose members start together.
#[rstest]
fn gang_runs_once(
    #[values(1_000, 4_000, 9_000, 11_500)] late: u64,
    #[values(&[900], &[3_000], &[8_500], &[4_000, 8_000])] restarts: &'static [u64],
    #[values(0, 7_500)] unreached_for: u64,
) {
    run_in_virtual_time(async move {
        play(
            Case {
                late_for: LATE_FOR,
                late,
                restarts,
                unreached_for,
                agent_restart: None,
                notice: None,
            },
            2,
            true,
        )
        .await;
    });
}

/// A worker that goes on after a start without an answer runs the task at once.
#[test]
fn task_starts_at_same_worker_at_once() {
    run_in_virtual_time(async {
        let case = Case {
            late_for: LATE_FOR,
            late: 6_000,
            restarts: &[],
            unreached_for: 0,
            agent_restart: None,
            notice: None,
        };
        let took = play(case, 1, false).await;
        assert!(took < WORK + Duration::from_secs(5), "{took:?}");
    });
}

/// A task whose start got no answer starts soon after its worker has been reached again, and doesn't
/// wait until the start has expired.
#[test]
fn task_starts_soon_after_worker_is_reached_again() {
    run_in_virtual_time(async {
        const RESTART: u64 = 3_000;
        // Longer than the agent takes to end a silent incarnation.
        let unreached_for = 11_000;
        let case = Case {
            late_for: LATE_FOR,
            late: 6_000,
            restarts: &[RESTART],
            unreached_for,
            agent_restart: None,
            notice: None,
        };
        let took = play(case, 1, false).await;
        let reached_again = Duration::from_millis(RESTART + unreached_for);
        assert!(took < reached_again + WORK + Duration::from_secs(3), "{took:?}");
    });
}

/// Guards against a task that starts elsewhere although its start may still be carried out: several
/// runs were stopped at one moment, the listings that followed showed each of their ends more than
/// once, and the ends were stored without the records of the unanswered starts.
#[rstest]
fn unanswered_starts_recorded_when_given_up_together(#[values(1, 2, 4, 8)] tasks: u32) {
    run_in_virtual_time(async move {
        const INSTANCE: &str = "i-1~1000";
        let store = MemoryStore::new();
        let rig = AgentRig::start(Rc::clone(&store), FakeWorker::new(INSTANCE));
        rig.heartbeat(INSTANCE, 1);
        // By then, a start that was sent when the process began couldn't be carried out any more.
        sleep(Duration::from_secs(20)).await;
        rig.worker.late_calls.set(Some(LateCalls::Starts(Duration::from_secs(8))));
        seed_running_job(&store, JOB, tasks, INSTANCE);
        sleep(Duration::from_secs(5)).await;
        let table = table_of(&store);
        for index in 0..tasks {
            let task = task(JOB, index);
            assert!(table.has_refusal(&task, 1), "{task} was given up");
            assert!(table.unanswered.contains_key(&task), "{task} has no record of its start");
        }
    });
}
