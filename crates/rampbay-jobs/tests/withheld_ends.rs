//! Ends whose acknowledgement waits, because an unanswered start of the same task may still be carried
//! out by the next incarnation of the worker.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::job::Step;
use rampbay_jobs::plan::JobStatus;
use rampbay_jobs::record::{EndReason, STATE_TOPIC};
use rstest::rstest;
use support::acknowledged::EndChecker;
use support::site::{Machine, Site, Work};
use support::store::MemoryStore;
use support::worker::{FakeWorker, LateCalls};
use support::{AgentRig, plan_of, run_in_virtual_time, seed_running_job, step, table_of, task};
use tokio::time::{Instant, sleep, sleep_until};

const JOB: &str = "00000000000000aa";
const OTHER_JOB: &str = "00000000000000bb";
const INSTANCE: &str = "i-1~1000";
const MACHINES: usize = 3;
/// Time in which all agents register and a leader is elected.
const STARTS_WITHIN: Duration = Duration::from_millis(1500);
/// Time in which a start is ordered.
const ORDERED_WITHIN: Duration = Duration::from_millis(150);
/// Time after which an agent repeats a start that got no answer.
const START_TIMEOUT: Duration = Duration::from_millis(700);
/// The shortest objective of a queue: the time from a job's submission to its end, beyond its work.
const OBJECTIVE: Duration = Duration::from_millis(250);
/// Time that a task works.
const WORK: Duration = Duration::from_millis(300);
/// Time in which ends are acknowledged where all is calm.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(4);
/// Time for which a member of a gang waits for the others.
const GANG_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that a member of a gang works: longer than its late start keeps the others waiting.
const GANG_WORK: Duration = Duration::from_millis(1_500);
/// Time after which no late call is carried out any more: orders take up to three seconds, calls are
/// late by 12 s at most.
const OVER_AFTER: Duration = Duration::from_secs(18);
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Submits a job the starts of whose first task are late by `late` for a time. Returns the machine.
async fn submit_with_late_starts(
    site: &Rc<Site>,
    definition: Step,
    work: Duration,
    late: Duration,
    late_for: Duration,
) -> Rc<Machine> {
    let calls = Some(LateCalls::Starts(late));
    site.machines.iter().for_each(|machine| machine.worker.late_calls.set(calls));
    site.submit(JOB, definition, Work::Ends(work));
    sleep(ORDERED_WITHIN).await;
    let instance = plan_of(&site.store, JOB).instance;
    let is_assigned = |machine: &&Rc<Machine>| *machine.worker.instance.borrow() == instance;
    let faulty = Rc::clone(site.machines.iter().find(is_assigned).expect("the task was assigned"));
    for machine in site.machines.iter().filter(|machine| !Rc::ptr_eq(machine, &faulty)) {
        machine.worker.late_calls.set(None);
    }
    let worker = Rc::clone(&faulty.worker);
    tokio::task::spawn_local(async move {
        sleep(late_for).await;
        worker.late_calls.set(None);
    });
    faulty
}

async fn succeeded(site: &Site, checker: &EndChecker, job: &str) {
    while site.status(job) != JobStatus::Succeeded {
        sleep(CHECK_INTERVAL).await;
        checker.check();
    }
}

/// Faults after the end of the task, in milliseconds after the job was submitted.
#[derive(Clone, Copy, Debug)]
struct Case {
    /// For how long starts are late: the first one only, or all of an attempt.
    late_for: u64,
    /// By how much they are late.
    late: u64,
    /// When the worker restarts, and how often.
    restarts: &'static [u64],
    /// For how long the agent can't reach a new incarnation.
    unreached_for: u64,
    /// When the agent's process ends, and another one takes its place.
    agent_restart: Option<u64>,
    /// Whether the processes of all agents end then.
    all_agents: bool,
}

async fn play(case: Case, definition: Step, work: Duration) {
    let site = Site::start(MACHINES);
    let checker = EndChecker::watch(&site, work, definition.gang);
    sleep(STARTS_WITHIN).await;
    let submitted = Instant::now();
    let after = |ms: u64| submitted + Duration::from_millis(ms);
    let late_for = Duration::from_millis(case.late_for);
    let faulty = submit_with_late_starts(
        &site,
        definition,
        work,
        Duration::from_millis(case.late),
        late_for,
    )
    .await;
    let restart = async {
        for &at in case.restarts {
            sleep_until(after(at)).await;
            faulty.worker.silent.set(true);
            site.restart_worker(&faulty, Duration::from_millis(20));
            sleep_until(after(at + case.unreached_for)).await;
            faulty.worker.silent.set(false);
        }
    };
    let restart_agent = async {
        if let Some(at) = case.agent_restart {
            sleep_until(after(at)).await;
            let is_restarted =
                |machine: &&Rc<Machine>| case.all_agents || Rc::ptr_eq(machine, &faulty);
            site.machines
                .iter()
                .filter(is_restarted)
                .for_each(|machine| site.restart_agent(machine));
        }
    };
    let watch = async {
        while submitted.elapsed() < OVER_AFTER {
            sleep(CHECK_INTERVAL).await;
            checker.check();
        }
    };
    tokio::join!(restart, restart_agent, watch);
    assert_eq!(site.status(JOB), JobStatus::Succeeded, "{case:?}");
}

/// Guards against a task that starts again after its acknowledged end: its start got no answer, a repeat or
/// a later attempt did, the task was done, and the worker restarted under its id. The next incarnation
/// carried out the first start before its agent had reached it.
#[rstest]
fn done_task_not_started_again(
    #[values(150, 2_500)] late_for: u64,
    #[values(3_500, 6_000, 9_000, 11_900)] late: u64,
    #[values(&[3_300], &[5_000], &[8_500], &[3_300, 8_500])] restarts: &'static [u64],
    #[values(0, 900, 4_900)] unreached_for: u64,
) {
    run_in_virtual_time(async move {
        play(
            Case {
                late_for,
                late,
                restarts,
                unreached_for,
                agent_restart: None,
                all_agents: false,
            },
            step(1, 5),
            WORK,
        )
        .await;
    });
}

/// As above, when the agent's process ends before or after the end of the task.
#[rstest]
fn done_task_not_started_again_despite_agent_restart(
    #[values(150, 2_500)] late_for: u64,
    #[values(6_000, 9_000, 11_900)] late: u64,
    #[values(&[3_300], &[5_000], &[8_500])] restarts: &'static [u64],
    #[values(900, 4_900)] unreached_for: u64,
    #[values(400, 900, 1_500, 3_100)] agent_restart: u64,
) {
    run_in_virtual_time(async move {
        let agent_restart = Some(agent_restart);
        play(
            Case { late_for, late, restarts, unreached_for, agent_restart, all_agents: false },
            step(1, 5),
            WORK,
        )
        .await;
    });
}

/// Guards against a gang whose member starts again after the acknowledged end of another member at another
/// worker, which counts for all of them.
#[rstest]
fn done_gang_not_started_again(
    #[values(150, 2_500)] late_for: u64,
    #[values(6_000, 9_000, 11_900)] late: u64,
    #[values(&[5_500], &[8_500])] restarts: &'static [u64],
    #[values(900, 4_900)] unreached_for: u64,
    #[values(None, Some(400), Some(900), Some(2_500))] agent_restart: Option<u64>,
    #[values(false, true)] all_agents: bool,
) {
    run_in_virtual_time(async move {
        let gang = Step { gang: true, ..step(2, 5) };
        let case = Case { late_for, late, restarts, unreached_for, agent_restart, all_agents };
        play(case, gang, GANG_WORK).await;
    });
}

/// Guards against a gang whose members wait in vain: the record of an unanswered start isn't stored, because the
/// store doesn't answer, and the start is held back for it.
#[test]
fn gang_complete_although_store_is_slow() {
    run_in_virtual_time(async {
        let site = Site::start(MACHINES);
        sleep(STARTS_WITHIN).await;
        let gang = Step { gang: true, ..step(2, 5) };
        let late = Duration::from_secs(11);
        submit_with_late_starts(&site, gang, GANG_WORK, late, ORDERED_WITHIN).await;
        site.store.append_delay.set(GANG_TIMEOUT * 2);
        sleep(GANG_TIMEOUT).await;
        assert_eq!(site.starts_of(JOB).len(), 2);
    });
}

/// Guards against callers that wait for an acknowledgement: the end of the task, and those of other tasks
/// of its worker, reach the planner at once. In the end, all of them are acknowledged.
#[test]
fn withheld_end_delays_no_task() {
    run_in_virtual_time(async {
        let site = Site::start(1);
        let checker = EndChecker::watch(&site, WORK, false);
        sleep(STARTS_WITHIN).await;
        let submitted = Instant::now();
        submit_with_late_starts(&site, step(1, 5), WORK, Duration::from_secs(11), ORDERED_WITHIN)
            .await;
        succeeded(&site, &checker, JOB).await;
        let took = submitted.elapsed();
        assert!(took < START_TIMEOUT + WORK + OBJECTIVE, "{took:?}");
        for number in 0..20_u32 {
            let submitted = Instant::now();
            let job = format!("{number:016x}");
            site.submit(&job, step(1, 8), Work::Ends(WORK));
            succeeded(&site, &checker, &job).await;
            let took = submitted.elapsed();
            assert!(took < WORK + OBJECTIVE, "{job}: {took:?}");
        }
        assert_eq!(checker.forgotten(), 0, "the first end isn't acknowledged yet");
        sleep_until(submitted + OVER_AFTER).await;
        checker.check();
        assert_eq!(checker.forgotten(), 21);
    });
}

/// Guards against callers that wait where all is calm: the acknowledgement of a gang's end waits for a view of the
/// state, and the ends of other tasks don't.
#[test]
fn done_gang_delays_no_task() {
    run_in_virtual_time(async {
        let site = Site::start(1);
        let checker = EndChecker::watch(&site, WORK, true);
        sleep(STARTS_WITHIN).await;
        for number in 0..20_u32 {
            let job = format!("{number:016x}");
            let is_gang = number % 2 == 0;
            let submitted = Instant::now();
            site.submit(&job, Step { gang: is_gang, ..step(2, 4) }, Work::Ends(WORK));
            succeeded(&site, &checker, &job).await;
            let took = submitted.elapsed();
            assert!(took < WORK + OBJECTIVE, "{job}: {took:?}");
        }
        sleep(ACKNOWLEDGED_WITHIN).await;
        assert_eq!(checker.forgotten(), 40);
    });
}

/// Guards against an end that is stored twice: an agent's process takes over a worker that still lists
/// the ends which the process before it has stored and not acknowledged.
#[rstest]
fn withheld_end_stored_once(#[values(1_500, 2_500, 6_000)] agent_restart: u64) {
    run_in_virtual_time(async move {
        let site = Site::start(1);
        let checker = EndChecker::watch(&site, WORK, false);
        sleep(STARTS_WITHIN).await;
        let submitted = Instant::now();
        let late = Duration::from_secs(11);
        let machine = submit_with_late_starts(&site, step(1, 5), WORK, late, ORDERED_WITHIN).await;
        succeeded(&site, &checker, JOB).await;
        site.submit(OTHER_JOB, step(3, 1), Work::Ends(WORK));
        sleep_until(submitted + Duration::from_millis(agent_restart)).await;
        site.restart_agent(&machine);
        succeeded(&site, &checker, OTHER_JOB).await;
        // The next process doesn't know which starts of the process before it got an answer.
        sleep_until(submitted + Duration::from_millis(agent_restart) + OVER_AFTER).await;
        let records = site.store.all(STATE_TOPIC);
        let ends = records
            .iter()
            .filter(|record| record.key.starts_with("end/") && !record.value.is_empty());
        assert_eq!(ends.count(), 4);
        assert_eq!(checker.forgotten(), 4);
    });
}

/// Returns an agent whose worker runs the job's task after a repeat of its start; the first one may be carried out late.
async fn agent_with_late_start() -> AgentRig {
    let rig = AgentRig::start(MemoryStore::new(), FakeWorker::new(INSTANCE));
    rig.heartbeat(INSTANCE, 1);
    sleep(STARTS_WITHIN).await;
    rig.worker.late_calls.set(Some(LateCalls::Starts(Duration::from_secs(11))));
    seed_running_job(&rig.store, JOB, 1, INSTANCE);
    sleep(ORDERED_WITHIN).await;
    rig.worker.late_calls.set(None);
    rig
}

/// Guards against an end that reaches the planner late: while another end was withheld, the agent polled its worker
/// more often, and each poll without an answer held up the next one.
#[test]
fn lost_poll_delays_no_end() {
    run_in_virtual_time(async {
        let rig = agent_with_late_start().await;
        seed_running_job(&rig.store, OTHER_JOB, 1, INSTANCE);
        sleep(Duration::from_secs(1)).await;
        rig.worker.end(&task(JOB, 0), 1, EndReason::Done);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(rig.worker.last_acknowledged(), 0, "the end is withheld");
        rig.worker.silent.set(true);
        sleep(Duration::from_millis(150)).await;
        rig.worker.silent.set(false);
        rig.worker.end(&task(OTHER_JOB, 0), 1, EndReason::Done);
        sleep(OBJECTIVE).await;
        assert!(table_of(&rig.store).has_end(&task(OTHER_JOB, 0), 1));
    });
}

/// Guards against ends that a worker doesn't list any more: it lists 500 at once, and sends later ones
/// only after earlier ones were acknowledged.
#[test]
fn withheld_ends_stay_below_length_of_list() {
    run_in_virtual_time(async {
        const LISTED_AT_ONCE: u64 = 500;
        let rig = agent_with_late_start().await;
        sleep(Duration::from_secs(1)).await;
        rig.worker.end(&task(JOB, 0), 1, EndReason::Done);
        for number in 0..1_000_u32 {
            rig.worker.end(&task(OTHER_JOB, number), 1, EndReason::Stopped);
            sleep(CHECK_INTERVAL).await;
            let ends = u64::from(number) + 2;
            let unacknowledged = ends - rig.worker.last_acknowledged();
            assert!(unacknowledged < LISTED_AT_ONCE, "{unacknowledged}");
        }
    });
}
