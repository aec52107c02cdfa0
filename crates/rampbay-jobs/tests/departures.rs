//! Workers that deregister: the departure is stored before their agents end.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::site::{Site, Work};
use support::store::{MemoryStore, StoreFault};
use support::worker::FakeWorker;
use support::{AgentRig, run_in_virtual_time, seed_running_job, step, table_of, task};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
const WORKER: &str = "i-1";

/// Starts an agent whose worker runs a task and deregisters.
async fn departing_rig() -> AgentRig {
    let store = MemoryStore::new();
    let worker = FakeWorker::new(WORKER);
    seed_running_job(&store, JOB, 1, WORKER);
    let rig = AgentRig::start(store, worker);
    rig.heartbeat(WORKER, 1);
    sleep(Duration::from_millis(300)).await;
    rig.host.deregister(|instance| instance == WORKER);
    rig
}

/// Regression: the agent's machine was removed a second after the deregistration, and the store
/// recorded neither for 25 s.
#[test]
fn departure_stored_at_once() {
    run_in_virtual_time(async {
        let rig = departing_rig().await;
        sleep(Duration::from_millis(100)).await;
        let table = table_of(&rig.store);
        assert!(
            table.workers[WORKER].departed,
            "the worker still answers, and its departure is stored"
        );
    });
}

#[rstest]
#[case::gone(true, false)]
#[case::still_answering(false, true)]
fn departed_worker_removed_once_connections_refused(#[case] gone: bool, #[case] is_known: bool) {
    run_in_virtual_time(async move {
        let rig = departing_rig().await;
        rig.worker.gone.set(gone);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(table_of(&rig.store).workers.contains_key(WORKER), is_known);
    });
}

#[test]
fn silent_departed_worker_kept_until_its_leases_have_expired() {
    run_in_virtual_time(async {
        let rig = departing_rig().await;
        rig.worker.silent.set(true);
        sleep(Duration::from_secs(4)).await;
        assert!(table_of(&rig.store).workers.contains_key(WORKER));
        sleep(Duration::from_secs(5)).await;
        assert!(!table_of(&rig.store).workers.contains_key(WORKER));
    });
}

#[test]
fn departed_worker_never_renewed_by_successor() {
    run_in_virtual_time(async {
        let rig = departing_rig().await;
        sleep(Duration::from_millis(100)).await;
        let (store, worker) = (rig.store.clone(), rig.worker.clone());
        rig.kill();
        let _successor = AgentRig::start(store, worker.clone());
        sleep(Duration::from_secs(7)).await;
        assert_eq!(worker.running(), vec![], "the last lease has expired");
    });
}

#[test]
fn agent_unsettled_until_departure_stored() {
    run_in_virtual_time(async {
        let rig = departing_rig().await;
        rig.store.fault.set(StoreFault::Refuses);
        rig.worker.gone.set(true);
        sleep(Duration::from_secs(2)).await;
        assert!(!rig.host.is_settled(), "the store doesn't hold the departure yet");
        rig.store.fault.set(StoreFault::None);
        sleep(Duration::from_secs(2)).await;
        assert!(rig.host.is_settled());
        assert!(!table_of(&rig.store).workers.contains_key(WORKER));
    });
}

#[test]
fn agent_unsettled_until_end_stored() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let worker = FakeWorker::new(WORKER);
        seed_running_job(&store, JOB, 1, WORKER);
        let rig = AgentRig::start(store, worker);
        rig.heartbeat(WORKER, 1);
        sleep(Duration::from_millis(300)).await;
        assert!(rig.host.is_settled(), "a run goes on without its agent");
        rig.store.fault.set(StoreFault::Refuses);
        rig.worker.end(&task(JOB, 0), 1, rampbay_jobs::record::EndReason::Done);
        sleep(Duration::from_millis(500)).await;
        assert!(!rig.host.is_settled());
    });
}

/// Regression: workers got two seconds' notice and ended without deregistering. Their machines were
/// removed 3.4 s later, before the agents could be sure that all leases had expired. The leader
/// evicted the workers after 7 s and gave them up 15.7 s after that, so their tasks didn't run for
/// 22.7 s.
#[test]
fn worker_gone_after_notice_given_up_by_its_last_lease() {
    run_in_virtual_time(async {
        let site = Site::start(3);
        sleep(Duration::from_millis(1500)).await;
        site.submit(JOB, step(1, 1), Work::Ends(Duration::from_secs(30)));
        sleep(Duration::from_millis(500)).await;
        let machine = &site.machines[site.starts_of(JOB)[0].machine];
        // The run is stopped, to be moved elsewhere, and hasn't ended when the worker ends.
        machine.worker.ignores_stops.set(true);
        site.give_notice(machine, Duration::from_secs(2));
        sleep(Duration::from_secs(2)).await;
        site.remove_worker(machine);
        sleep(Duration::from_millis(1500)).await;
        site.remove_agent(machine);
        sleep(Duration::from_secs(8)).await;
        assert_eq!(site.starts_of(JOB).len(), 2, "the task runs elsewhere within a lease");
    });
}

/// A worker isn't marked as departed if its listener refuses calls before its notice period is
/// over, nor if it still answers after that period.
#[rstest]
#[case::refuses_before(Duration::from_secs(60), true)]
#[case::answers_after(Duration::from_millis(500), false)]
fn worker_after_notice_kept(#[case] notice: Duration, #[case] refuses: bool) {
    run_in_virtual_time(async move {
        let site = Site::start(1);
        sleep(Duration::from_millis(1500)).await;
        let machine = &site.machines[0];
        site.give_notice(machine, notice);
        sleep(Duration::from_millis(1100)).await;
        machine.worker.gone.set(refuses);
        sleep(Duration::from_secs(2)).await;
        let table = table_of(&site.store);
        assert!(table.workers.values().all(|worker| worker.draining && !worker.departed));
    });
}
