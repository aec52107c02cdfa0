//! Heartbeats that are held up and arrive after their sender's life is over.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::record::{Record, STATE_TOPIC};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::store::MemoryStore;
use support::worker::FakeWorker;
use support::{AgentRig, on_virtual_time, seed_running_job, table_of, task};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
const OLD: &str = "i-1";
const NEW: &str = "i-2";
/// Longer than an agent takes to find that another life answers.
const SETTLES: Duration = Duration::from_millis(2500);

/// Starts an agent whose worker has crashed and begun a second life, in which it runs a task.
async fn second_life() -> AgentRig {
    let store = MemoryStore::new();
    let worker = FakeWorker::new(OLD);
    let rig = AgentRig::start(Rc::clone(&store), Rc::clone(&worker));
    rig.heartbeat(OLD, 1);
    sleep(SETTLES).await;
    worker.replace(NEW);
    rig.heartbeat(NEW, 1);
    sleep(SETTLES).await;
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

fn assert_only_new_life(rig: &AgentRig) {
    let table = table_of(&rig.store);
    let known: Vec<&String> = table.workers.keys().collect();
    assert_eq!(known, [NEW]);
    assert_eq!(rig.worker.running(), vec![(task(JOB, 0), 1)]);
}

#[test]
fn late_heartbeat_revives_nothing() {
    on_virtual_time(async {
        let rig = second_life().await;
        let records = rig.store.all(STATE_TOPIC).len();
        rig.heartbeat(OLD, 2);
        sleep(SETTLES).await;
        assert_only_new_life(&rig);
        assert_eq!(rig.store.all(STATE_TOPIC).len(), records, "nothing is written for it");
    });
}

/// An agent that has just started doesn't know that the old life is over; its worker says so.
#[test]
fn late_heartbeat_at_restarted_agent() {
    on_virtual_time(async {
        let rig = second_life().await;
        let (store, worker) = (Rc::clone(&rig.store), Rc::clone(&rig.worker));
        let before = registrations(&store, OLD);
        rig.kill();
        let rig = AgentRig::start(store, worker);
        rig.heartbeat(OLD, 2);
        rig.heartbeat(NEW, 2);
        sleep(SETTLES).await;
        assert_only_new_life(&rig);
        assert_eq!(registrations(&rig.store, OLD), before);
    });
}

/// A worker that was silent until its leases lapsed is the same life when it is heard again.
#[test]
fn silent_life_returns() {
    on_virtual_time(async {
        let store = MemoryStore::new();
        let worker = FakeWorker::new(OLD);
        let rig = AgentRig::start(store, Rc::clone(&worker));
        rig.heartbeat(OLD, 1);
        sleep(SETTLES).await;
        worker.silent.set(true);
        sleep(Duration::from_secs(12)).await;
        assert!(table_of(&rig.store).workers.is_empty());
        worker.silent.set(false);
        rig.heartbeat(OLD, 9);
        sleep(SETTLES).await;
        assert!(table_of(&rig.store).workers.contains_key(OLD));
    });
}

/// Heartbeats of three lives arrive in any order, some twice, some long after their life.
#[rstest]
fn heartbeats_in_any_order(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    const LIVES: usize = 3;
    on_virtual_time(async move {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let name = |life: usize| format!("i-{}", life + 1);
        let worker = FakeWorker::new(&name(0));
        let rig = AgentRig::start(MemoryStore::new(), Rc::clone(&worker));
        for life in 0..LIVES {
            worker.replace(&name(life));
            for _ in 0..20 {
                let sender = rng.random_range(0..=life);
                rig.heartbeat(&name(sender), rng.random_range(1..10));
                sleep(Duration::from_millis(rng.random_range(0..300))).await;
            }
            rig.heartbeat(&name(life), 10);
        }
        sleep(SETTLES).await;
        let table = table_of(&rig.store);
        assert_eq!(table.workers.keys().collect::<Vec<_>>(), [&name(LIVES - 1)]);
    });
}
