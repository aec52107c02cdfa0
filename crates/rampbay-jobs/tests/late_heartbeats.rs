//! Heartbeats that are delayed and arrive after their sender's incarnation has ended.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::record::{Record, STATE_TOPIC};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::store::MemoryStore;
use support::worker::FakeWorker;
use support::{AgentRig, run_in_virtual_time, seed_running_job, table_of, task};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
const OLD: &str = "i-1";
const NEW: &str = "i-2";
/// Longer than an agent takes to find that another incarnation answers.
const SETTLES_WITHIN: Duration = Duration::from_millis(2500);

/// Starts an agent whose worker has crashed and started a second incarnation, in which it runs a
/// task.
async fn second_incarnation() -> AgentRig {
    let store = MemoryStore::new();
    let worker = FakeWorker::new(OLD);
    let rig = AgentRig::start(Rc::clone(&store), Rc::clone(&worker));
    rig.heartbeat(OLD, 1);
    sleep(SETTLES_WITHIN).await;
    worker.replace(NEW);
    rig.heartbeat(NEW, 1);
    sleep(SETTLES_WITHIN).await;
    seed_running_job(&store, JOB, 1, NEW);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(worker.running(), vec![(task(JOB, 0), 1)]);
    rig
}

fn registrations(store: &MemoryStore, instance: &str) -> usize {
    let records = store.all(STATE_TOPIC);
    let records = records.iter().filter(|record| !record.value.is_empty());
    let decoded = records.filter_map(|record| Record::decode(record).ok());
    decoded.filter(|record| matches!(record, Record::Worker(known, _) if known == instance)).count()
}

fn assert_only_new_incarnation(rig: &AgentRig) {
    let table = table_of(&rig.store);
    let known: Vec<&String> = table.workers.keys().collect();
    assert_eq!(known, [NEW]);
    assert_eq!(rig.worker.running(), vec![(task(JOB, 0), 1)]);
}

#[test]
fn late_heartbeat_has_no_effect() {
    run_in_virtual_time(async {
        let rig = second_incarnation().await;
        let records = rig.store.all(STATE_TOPIC).len();
        rig.heartbeat(OLD, 2);
        sleep(SETTLES_WITHIN).await;
        assert_only_new_incarnation(&rig);
        assert_eq!(rig.store.all(STATE_TOPIC).len(), records, "nothing is written for it");
    });
}

/// A restarted agent doesn't know that the old incarnation has ended; its worker's answers show it.
#[test]
fn late_heartbeat_at_restarted_agent() {
    run_in_virtual_time(async {
        let rig = second_incarnation().await;
        let (store, worker) = (Rc::clone(&rig.store), Rc::clone(&rig.worker));
        let before = registrations(&store, OLD);
        rig.kill();
        let rig = AgentRig::start(store, worker);
        rig.heartbeat(OLD, 2);
        rig.heartbeat(NEW, 2);
        sleep(SETTLES_WITHIN).await;
        assert_only_new_incarnation(&rig);
        assert_eq!(registrations(&rig.store, OLD), before);
    });
}

/// A worker that was silent until its leases expired is the same incarnation when it is heard from
/// again.
#[test]
fn silent_incarnation_registered_again() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let worker = FakeWorker::new(OLD);
        let rig = AgentRig::start(store, Rc::clone(&worker));
        rig.heartbeat(OLD, 1);
        sleep(SETTLES_WITHIN).await;
        worker.silent.set(true);
        sleep(Duration::from_secs(12)).await;
        assert!(table_of(&rig.store).workers.is_empty());
        worker.silent.set(false);
        rig.heartbeat(OLD, 9);
        sleep(SETTLES_WITHIN).await;
        assert!(table_of(&rig.store).workers.contains_key(OLD));
    });
}

/// Heartbeats of three incarnations arrive in any order, some twice, some long after their
/// incarnation has ended.
#[rstest]
fn heartbeats_in_any_order(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    const INCARNATIONS: usize = 3;
    run_in_virtual_time(async move {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let name = |incarnation: usize| format!("i-{}", incarnation + 1);
        let worker = FakeWorker::new(&name(0));
        let rig = AgentRig::start(MemoryStore::new(), Rc::clone(&worker));
        for incarnation in 0..INCARNATIONS {
            worker.replace(&name(incarnation));
            for _ in 0..20 {
                let sender = rng.random_range(0..=incarnation);
                rig.heartbeat(&name(sender), rng.random_range(1..10));
                sleep(Duration::from_millis(rng.random_range(0..300))).await;
            }
            rig.heartbeat(&name(incarnation), 10);
        }
        sleep(SETTLES_WITHIN).await;
        let table = table_of(&rig.store);
        assert_eq!(table.workers.keys().collect::<Vec<_>>(), [&name(INCARNATIONS - 1)]);
    });
}
