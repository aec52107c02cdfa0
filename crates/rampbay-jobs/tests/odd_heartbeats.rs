//! One heartbeat under a worker's id that the worker hasn't sent, with a number that is too large. What the worker answers
//! itself decides, and the odd heartbeat has no lasting effect.

mod support;

use std::time::Duration;

use rampbay_jobs::agent::Heartbeat;
use rampbay_jobs::record::EndReason;
use rstest::rstest;
use support::store::MemoryStore;
use support::worker::FakeWorker;
use support::{AgentRig, run_in_virtual_time, seed_running_job, table_of, task, worker_record};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
const OLD: &str = "i-1~1000";
const NEW: &str = "i-1~2000";
const DEVICES: u64 = 8;
const FEWER_DEVICES: u64 = 4;
/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// Time in which the agent registers its worker, and starts what is assigned.
const SETTLES_WITHIN: Duration = Duration::from_millis(300);
/// Age of the last heartbeat by which runs are started.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(3);

async fn registered_worker() -> AgentRig {
    let rig = AgentRig::start(MemoryStore::new(), FakeWorker::new(OLD));
    rig.heartbeat(OLD, 4);
    sleep(HEARTBEAT_INTERVAL).await;
    rig.heartbeat(OLD, 5);
    sleep(SETTLES_WITHIN).await;
    assert!(is_registered(&rig, OLD));
    rig.stop_heartbeats();
    rig
}

/// Sends a heartbeat once, without repeating it.
fn send(rig: &AgentRig, instance: &str, sequence: u64, devices: u64) -> bool {
    rig.host.heartbeat(Heartbeat {
        instance: instance.to_owned(),
        sequence,
        record: worker_record("", "r1", devices),
        remaining: None,
    })
}

fn is_registered(rig: &AgentRig, instance: &str) -> bool {
    table_of(&rig.store).workers.contains_key(instance)
}

fn registered_devices(rig: &AgentRig) -> u64 {
    table_of(&rig.store).workers[OLD].capacity.devices
}

/// Guards against a worker whose heartbeats all count as old after a single one with a high number (LOST).
#[rstest]
fn high_sequence_number_forgotten(#[values(u64::MAX, 900_000, 60)] sequence: u64) {
    run_in_virtual_time(async move {
        let rig = registered_worker().await;
        send(&rig, OLD, sequence, DEVICES);
        for number in 6..=8 {
            sleep(HEARTBEAT_INTERVAL.min(MAX_HEARTBEAT_AGE / 2)).await;
            send(&rig, OLD, number, FEWER_DEVICES);
        }
        sleep(SETTLES_WITHIN).await;
        assert_eq!(registered_devices(&rig), FEWER_DEVICES);
    });
}

/// Heartbeats that a cut has held up arrive together, after newer ones, and don't count.
#[test]
fn late_heartbeats_dont_count() {
    run_in_virtual_time(async {
        let rig = registered_worker().await;
        send(&rig, OLD, 9, FEWER_DEVICES);
        for number in 6..=8 {
            sleep(Duration::from_millis(100)).await;
            send(&rig, OLD, number, DEVICES);
        }
        sleep(HEARTBEAT_INTERVAL).await;
        send(&rig, OLD, 10, FEWER_DEVICES);
        send(&rig, OLD, 8, DEVICES);
        sleep(SETTLES_WITHIN).await;
        assert_eq!(registered_devices(&rig), FEWER_DEVICES);
    });
}

/// Guards against a worker that is never registered again after a heartbeat of an incarnation that doesn't exist (LOST).
/// The agent's calls to that incarnation must not raise the fencing token of the real one.
#[rstest]
#[case::in_the_future(u64::MAX, false)]
#[case::plausible(900_000, true)]
fn unknown_incarnation_ends_nothing(#[case] started_at: u64, #[case] is_plausible: bool) {
    run_in_virtual_time(async move {
        let rig = registered_worker().await;
        assert_eq!(send(&rig, &format!("i-1~{started_at}"), 1, DEVICES), is_plausible);
        for number in 6..12 {
            sleep(HEARTBEAT_INTERVAL).await;
            send(&rig, OLD, number, DEVICES);
            assert!(is_registered(&rig, OLD));
        }
        assert_eq!(table_of(&rig.store).workers.len(), 1);
        seed_running_job(&rig.store, JOB, 1, OLD);
        sleep(SETTLES_WITHIN).await;
        assert_eq!(rig.worker.running(), [(task(JOB, 0), 1)]);
        rig.worker.end(&task(JOB, 0), 1, EndReason::Done);
        sleep(HEARTBEAT_INTERVAL).await;
        assert!(table_of(&rig.store).has_end(&task(JOB, 0), 1));
    });
}

/// The next incarnation is found as before, and an earlier one's late heartbeat loses against it.
#[test]
fn next_incarnation_replaces_earlier_one_after_odd_heartbeat() {
    run_in_virtual_time(async {
        let rig = registered_worker().await;
        send(&rig, "i-1~900000", 1, DEVICES);
        sleep(SETTLES_WITHIN).await;
        rig.worker.replace(NEW);
        send(&rig, NEW, 1, DEVICES);
        sleep(SETTLES_WITHIN).await;
        assert!(is_registered(&rig, NEW) && !is_registered(&rig, OLD));
        send(&rig, OLD, 6, DEVICES);
        sleep(SETTLES_WITHIN).await;
        assert!(is_registered(&rig, NEW) && !is_registered(&rig, OLD));
    });
}

/// A notice of a draining worker whose time overflows.
#[test]
fn endless_notice_read() {
    run_in_virtual_time(async {
        let rig = registered_worker().await;
        let mut record = worker_record("", "r1", DEVICES);
        record.draining = true;
        let remaining = Some(Duration::from_millis(u64::MAX));
        rig.host.heartbeat(Heartbeat { instance: OLD.to_owned(), sequence: 6, record, remaining });
        sleep(SETTLES_WITHIN).await;
        assert_eq!(table_of(&rig.store).workers[OLD].leaves_at, u64::MAX);
    });
}
