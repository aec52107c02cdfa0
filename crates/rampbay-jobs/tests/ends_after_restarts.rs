//! A worker that restarts under its id carries out a start that was meant for its earlier incarnation, and ends it before
//! its agent knows of the restart.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::job::Step;
use rampbay_jobs::plan::{JobStatus, TaskStatus};
use rampbay_jobs::record::{EndReason, Record, UnansweredStart};
use rstest::rstest;
use support::acknowledged::EndChecker;
use support::site::{DEVICES, Site, Work};
use support::store::MemoryStore;
use support::worker::FakeWorker;
use support::{
    AgentRig, job, plan_of, run_in_virtual_time, running_plan, seed_running_job, step, table_of,
    task,
};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
const OLD: &str = "i-1~1000";
const NEW: &str = "i-1~2000";
const MACHINES: usize = 6;
/// Time in which all agents register and a leader is elected.
const STARTS_WITHIN: Duration = Duration::from_millis(1500);
/// Time that a task works.
const WORK: Duration = Duration::from_millis(100);
/// Time from a worker's restart to the submission.
const SUBMITTED_AFTER: Duration = Duration::from_millis(50);
/// Time from a worker's restart to the end of a process.
const PROCESS_ENDS_AFTER: Duration = Duration::from_millis(400);
/// Longer than the acknowledgement of an end is withheld.
const OVER_AFTER: Duration = Duration::from_secs(18);

/// A process that ends soon after the worker's restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LostProcess {
    None,
    Agent,
    Leader,
}

/// Guards against a task that starts again after its end as done at a restarted worker (TWICE): the agent asked the
/// next incarnation only whether the run went on there.
#[rstest]
fn task_starts_once_beside_worker_restart(
    #[values(250, 500, 1200)] first_heartbeat_ms: u64,
    #[values(false, true)] gang: bool,
    #[values(LostProcess::None, LostProcess::Agent, LostProcess::Leader)] lost: LostProcess,
) {
    run_in_virtual_time(async move {
        let site = Site::start(MACHINES);
        let ends = EndChecker::watch(&site, WORK, gang);
        sleep(STARTS_WITHIN).await;
        let restarted = Rc::clone(&site.machines[0]);
        restarted.restart_at_once(Duration::from_millis(first_heartbeat_ms));
        sleep(SUBMITTED_AFTER).await;
        let definition = Step { gang, ..step(MACHINES as u32, DEVICES) };
        site.submit(JOB, definition, Work::Ends(WORK));
        sleep(PROCESS_ENDS_AFTER - SUBMITTED_AFTER).await;
        match lost {
            LostProcess::None => {}
            LostProcess::Agent => site.restart_agent(&restarted),
            LostProcess::Leader => site.replace_leader(),
        }
        sleep(OVER_AFTER).await;
        assert_eq!(site.status(JOB), JobStatus::Succeeded);
        assert!(ends.forgotten() > 0, "the ends are acknowledged");
        ends.check();
    });
}

fn is_registered(store: &MemoryStore, instance: &str) -> bool {
    table_of(store).workers.contains_key(instance)
}

/// Starts an agent whose worker has restarted, and has carried out a start for its earlier incarnation. The worker
/// sends no heartbeat.
async fn after_restart() -> AgentRig {
    let store = MemoryStore::new();
    let rig = AgentRig::start(Rc::clone(&store), FakeWorker::new(OLD));
    rig.heartbeat(OLD, 1);
    sleep(STARTS_WITHIN).await;
    rig.stop_heartbeats();
    rig.worker.replace(NEW);
    seed_running_job(&store, JOB, 1, OLD);
    rig.worker.start_without_agent(&task(JOB, 0), 1);
    rig
}

/// Guards against a registration that is removed before the store holds the end: the leader would give the run up.
#[rstest]
fn end_at_next_incarnation_stored_before_removal(
    #[values(EndReason::Done, EndReason::Failed, EndReason::Broken)] reason: EndReason,
    #[values(false, true)] by_next_process: bool,
) {
    run_in_virtual_time(async move {
        let mut rig = after_restart().await;
        rig.worker.end(&task(JOB, 0), 1, reason);
        if by_next_process {
            let (store, worker) = (Rc::clone(&rig.store), Rc::clone(&rig.worker));
            rig.kill();
            rig = AgentRig::start(store, worker);
        }
        while is_registered(&rig.store, OLD) {
            sleep(Duration::from_millis(1)).await;
        }
        let table = table_of(&rig.store);
        let end = table.ends.values().find(|end| end.task == task(JOB, 0));
        assert_eq!(end.map(|end| (end.attempt, end.reason)), Some((1, reason)));
    });
}

/// Guards against a lease at the next incarnation that is renewed, so that its ends stay valid, while the runs of the
/// earlier one aren't settled.
#[test]
fn next_incarnation_not_registered_before_runs_are_settled() {
    run_in_virtual_time(async {
        let rig = after_restart().await;
        rig.worker.loses_stops.set(true);
        // The agent reads the plan meanwhile.
        sleep(Duration::from_millis(100)).await;
        rig.worker.end(&task(JOB, 0), 1, EndReason::Stopped);
        rig.heartbeat(NEW, 1);
        sleep(Duration::from_secs(3)).await;
        assert!(is_registered(&rig.store, OLD));
        assert!(!is_registered(&rig.store, NEW));
        rig.worker.loses_stops.set(false);
        sleep(Duration::from_secs(3)).await;
        assert!(!is_registered(&rig.store, OLD));
        assert!(is_registered(&rig.store, NEW));
    });
}

/// Guards against an end that is passed over when the next incarnation takes over an unanswered start: the task would
/// start again.
#[test]
fn end_of_unanswered_start_stored_by_next_incarnation() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        store.put(&Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))));
        let mut plan = running_plan(1, OLD, 1);
        plan.open[0].steps[0][0].status = TaskStatus::Waiting;
        store.put(&Record::Plan(JOB.to_owned(), Box::new(plan)));
        let worker = FakeWorker::new(NEW);
        worker.start_without_agent(&task(JOB, 0), 1);
        worker.end(&task(JOB, 0), 1, EndReason::Done);
        let start = UnansweredStart {
            task: task(JOB, 0),
            attempt: 1,
            instance: OLD.to_owned(),
            address: String::new(),
            remaining_ms: 10_000,
        };
        store.put(&Record::Unanswered(Box::new(start)));
        let rig = AgentRig::start(Rc::clone(&store), worker);
        rig.heartbeat(NEW, 1);
        while !is_registered(&store, NEW) {
            sleep(Duration::from_millis(1)).await;
        }
        assert!(table_of(&store).has_end(&task(JOB, 0), 1));
        assert_eq!(plan_of(&store, JOB).status, TaskStatus::Waiting);
    });
}
