//! Workers that say good-bye: the store learns of it before their agents are gone.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::site::{Site, Work};
use support::store::{MemoryStore, StoreFault};
use support::worker::FakeWorker;
use support::{AgentRig, on_virtual_time, seed_running_job, step, table_of, task};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
const WORKER: &str = "i-1";

/// Starts an agent whose worker runs a task and says good-bye.
async fn departing_rig() -> AgentRig {
    let store = MemoryStore::new();
    let worker = FakeWorker::new(WORKER);
    seed_running_job(&store, JOB, 1, WORKER);
    let rig = AgentRig::start(store, worker);
    rig.heartbeat(WORKER, 1);
    sleep(Duration::from_millis(300)).await;
    rig.host.deregister(|life| life == WORKER);
    rig
}

/// Seen on the bench: the agent's machine was taken away a second after the good-bye, and the
/// store learned of neither for 25 s.
#[test]
fn departure_kept_at_once() {
    on_virtual_time(async {
        let rig = departing_rig().await;
        sleep(Duration::from_millis(100)).await;
        let table = table_of(&rig.store);
        assert!(table.workers[WORKER].departed, "the worker still answers, and is known to go");
    });
}

#[rstest]
#[case::gone(true, false)]
#[case::still_answering(false, true)]
fn departed_worker_over_once_nobody_listens(#[case] gone: bool, #[case] is_known: bool) {
    on_virtual_time(async move {
        let rig = departing_rig().await;
        rig.worker.gone.set(gone);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(table_of(&rig.store).workers.contains_key(WORKER), is_known);
    });
}

#[test]
fn silent_departed_worker_kept_until_its_leases_have_lapsed() {
    on_virtual_time(async {
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
    on_virtual_time(async {
        let rig = departing_rig().await;
        sleep(Duration::from_millis(100)).await;
        let (store, worker) = (rig.store.clone(), rig.worker.clone());
        rig.kill();
        let _successor = AgentRig::start(store, worker.clone());
        sleep(Duration::from_secs(7)).await;
        assert_eq!(worker.running(), vec![], "the last lease has lapsed");
    });
}

#[test]
fn agent_unsettled_until_departure_kept() {
    on_virtual_time(async {
        let rig = departing_rig().await;
        rig.store.fault.set(StoreFault::Refuses);
        rig.worker.gone.set(true);
        sleep(Duration::from_secs(2)).await;
        assert!(!rig.host.is_settled(), "the store hasn't kept the departure");
        rig.store.fault.set(StoreFault::None);
        sleep(Duration::from_secs(2)).await;
        assert!(rig.host.is_settled());
        assert!(!table_of(&rig.store).workers.contains_key(WORKER));
    });
}

#[test]
fn agent_unsettled_until_end_kept() {
    on_virtual_time(async {
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

/// Seen on the bench: workers got two seconds' notice and went without good-bye, and their machines 3.4 s later, before
/// the agents could be sure that all leases had lapsed. The leader evicted them after 7 s, and gave them up 15.7 s
/// after that; their tasks had nothing running for 22.7 s.
#[test]
fn worker_gone_after_notice_given_up_by_its_last_lease() {
    on_virtual_time(async {
        let site = Site::start(3);
        sleep(Duration::from_millis(1500)).await;
        site.submit(JOB, step(1, 1), Work::Ends(Duration::from_secs(30)));
        sleep(Duration::from_millis(500)).await;
        let machine = &site.machines[site.starts_of(JOB)[0].machine];
        // It is stopped, to go elsewhere, and hasn't ended when the worker goes.
        machine.worker.ignores_stops.set(true);
        site.give_notice(machine, Duration::from_secs(2));
        sleep(Duration::from_secs(2)).await;
        site.remove_worker(machine);
        sleep(Duration::from_millis(1500)).await;
        site.remove_agent(machine);
        sleep(Duration::from_secs(8)).await;
        assert_eq!(site.starts_of(JOB).len(), 2, "it goes on elsewhere within a lease");
    });
}

/// A worker that has given notice, and whose listener refuses calls before its time is over, isn't taken as leaving;
/// nor is one that answers after it.
#[rstest]
#[case::refuses_before(Duration::from_secs(60), true)]
#[case::answers_after(Duration::from_millis(500), false)]
fn worker_after_notice_kept(#[case] notice: Duration, #[case] refuses: bool) {
    on_virtual_time(async move {
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
