//! Failure domains that operators drain: nothing is started there, whichever leader decided it and however late the
//! start arrives.

mod support;

use std::time::Duration;

use rampbay_jobs::drained::DrainedDomains;
use rampbay_jobs::job::Step;
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::record::{EndReason, Record, STATE_TOPIC, WorkerRecord};
use rstest::rstest;
use support::leader::{OPERATOR_TOPIC, start_leader};
use support::planner::{PlannerRig, gang};
use support::store::{MemoryStore, StoreFault};
use support::worker::{FakeWorker, StartFault};
use support::{
    AgentRig, job, run_in_virtual_time, running_plan, seed_running_job, step, table_of,
    worker_record,
};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";

fn drained(names: &[&str], read_to: u64) -> DrainedDomains {
    DrainedDomains { names: names.iter().map(|name| (*name).to_owned()).collect(), read_to }
}

/// Creates a rig with two workers of eight accelerators in each of two failure domains, and one rack per domain.
fn rig() -> PlannerRig {
    let worker = |domain: &str, rack: &str| WorkerRecord {
        failure_domain: domain.to_owned(),
        ..worker_record("side", rack, 8)
    };
    PlannerRig::new(&[
        ("i-east-1", worker("east", "r1")),
        ("i-east-2", worker("east", "r1")),
        ("i-west-1", worker("west", "r2")),
        ("i-west-2", worker("west", "r2")),
    ])
}

fn running_at(rig: &PlannerRig, domain: &str) -> usize {
    let instances = rig.table.workers.iter();
    let there = instances.filter(|(_, worker)| worker.failure_domain == domain);
    there.map(|(instance, _)| rig.runs_at(instance).len()).sum()
}

#[test]
fn plan_drained_domain_gets_nothing() {
    run_in_virtual_time(async {
        let mut rig = rig();
        rig.drained = drained(&["east"], 5);
        rig.submit(job(JOB, 2, step(4, 8)));
        rig.plan();
        assert_eq!((running_at(&rig, "east"), running_at(&rig, "west")), (0, 2));
        assert_eq!(rig.table.drained, rig.drained, "agents read it in the state topic");
    });
}

#[test]
fn plan_runs_in_drained_domain_go_on() {
    run_in_virtual_time(async {
        let mut rig = rig();
        rig.submit(job(JOB, 2, step(4, 8)));
        rig.plan();
        rig.drained = drained(&["east"], 5);
        rig.plan();
        assert_eq!(rig.statuses(JOB), vec![TaskStatus::Running; 4]);
    });
}

#[test]
fn plan_two_drained_domains_restored_one_by_one() {
    run_in_virtual_time(async {
        let mut rig = rig();
        rig.drained = drained(&["east", "west"], 5);
        rig.submit(job(JOB, 2, step(4, 8)));
        rig.plan();
        assert_eq!((running_at(&rig, "east"), running_at(&rig, "west")), (0, 0));
        rig.drained = drained(&["east"], 6);
        rig.plan();
        assert_eq!((running_at(&rig, "east"), running_at(&rig, "west")), (0, 2));
        rig.drained = drained(&[], 7);
        rig.plan();
        assert_eq!((running_at(&rig, "east"), running_at(&rig, "west")), (2, 2));
    });
}

/// A leader that takes over may have read less of the operators' topic than the previous one.
#[test]
fn plan_older_view_restores_nothing() {
    run_in_virtual_time(async {
        let mut rig = rig();
        rig.put(&Record::Drained(drained(&["east"], 9)));
        rig.drained = drained(&[], 8);
        rig.submit(job(JOB, 2, step(4, 8)));
        rig.plan();
        assert_eq!(running_at(&rig, "east"), 0);
        assert_eq!(rig.table.drained, drained(&["east"], 9));
    });
}

/// A restored domain is used only once the state topic shows it: agents refuse starts before that.
#[test]
fn round_restores_before_it_assigns() {
    run_in_virtual_time(async {
        let mut rig = rig();
        rig.put(&Record::Drained(drained(&["east", "west"], 5)));
        rig.drained = drained(&[], 6);
        rig.submit(job(JOB, 2, step(1, 8)));
        let records = rig.round();
        let keys: Vec<&str> = records.iter().map(|record| record.key.as_str()).collect();
        assert_eq!(keys, ["drained"]);
    });
}

#[rstest]
#[case::never_read(None, 0)]
#[case::too_old(Some(Duration::from_millis(2751)), 0)]
#[case::current(Some(Duration::from_millis(2750)), 1)]
fn plan_assigns_only_with_known_orders(#[case] age: Option<Duration>, #[case] running: usize) {
    run_in_virtual_time(async move {
        let mut rig = rig();
        rig.drain_orders_age = age;
        rig.submit(job(JOB, 2, step(1, 8)));
        rig.plan();
        assert_eq!(running_at(&rig, "east") + running_at(&rig, "west"), running);
    });
}

/// A gang that only a rack in a drained domain could hold doesn't wait for that rack.
#[test]
fn plan_gang_spread_where_its_rack_is_drained() {
    run_in_virtual_time(async {
        let worker = |domain: &str, rack: &str| WorkerRecord {
            failure_domain: domain.to_owned(),
            ..worker_record("side", rack, 8)
        };
        let mut rig = PlannerRig::new(&[
            ("i-east-1", worker("east", "r1")),
            ("i-east-2", worker("east", "r1")),
            ("i-west-1", worker("west", "r2")),
            ("i-west-2", worker("west", "r3")),
        ]);
        rig.drained = drained(&["east"], 5);
        rig.submit(job(JOB, 1, Step { same_rack: true, ..gang(2, 8) }));
        rig.plan();
        assert_eq!(running_at(&rig, "west"), 2);
    });
}

/// A drain that was in force before the leader started, and one whose record was dropped with the history while
/// the store was unavailable: both stay in force until their key is removed.
#[test]
fn leader_drain_outlasts_restart_and_dropped_history() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        store.put_into(OPERATOR_TOPIC, "east", b"{}");
        start_leader(&store, "entry-1", 1, None);
        sleep(Duration::from_millis(500)).await;
        assert!(table_of(&store).drained.contains("east"));
        store.fault.set(StoreFault::Refuses);
        sleep(Duration::from_millis(1500)).await;
        store.put_into(OPERATOR_TOPIC, "west", b"{}");
        store.forget_history(OPERATOR_TOPIC);
        store.fault.set(StoreFault::None);
        sleep(Duration::from_secs(2)).await;
        let drained = table_of(&store).drained;
        assert!(drained.contains("east") && drained.contains("west"), "{drained:?}");
        store.put_into(OPERATOR_TOPIC, "east", b"");
        store.forget_history(OPERATOR_TOPIC);
        sleep(Duration::from_secs(2)).await;
        let drained = table_of(&store).drained;
        assert!(!drained.contains("east") && drained.contains("west"), "{drained:?}");
    });
}

fn reasons(store: &MemoryStore) -> Vec<EndReason> {
    let records = store.all(STATE_TOPIC);
    let records = records.iter().filter(|record| !record.value.is_empty());
    let ends = records.filter_map(|record| match Record::decode(record) {
        Ok(Record::Ended(end)) => Some(end.reason),
        _ => None,
    });
    ends.collect()
}

/// An agent checks each start against the drains that it knows, whichever leader assigned it.
#[rstest]
#[case::drained("domain-1", vec![EndReason::NotStarted], 0)]
#[case::other_domain("domain-2", vec![], 1)]
fn agent_start_in_drained_domain(
    #[case] domain: &'static str,
    #[case] expected: Vec<EndReason>,
    #[case] running: usize,
) {
    run_in_virtual_time(async move {
        let store = MemoryStore::new();
        store.put(&Record::Drained(drained(&[domain], 3)));
        seed_running_job(&store, JOB, 1, "i-1");
        let rig = AgentRig::start(store, FakeWorker::new("i-1"));
        rig.heartbeat("i-1", 1);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(reasons(&rig.store), expected);
        assert_eq!(rig.worker.running().len(), running);
    });
}

/// A start without an answer isn't ordered again after the drain; it is settled by a stop order.
#[test]
fn agent_unanswered_start_not_repeated_in_drained_domain() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let worker = FakeWorker::new("i-1");
        worker.start_fault.set(StartFault::FirstOrderLost);
        seed_running_job(&store, JOB, 1, "i-1");
        let rig = AgentRig::start(store, worker);
        rig.heartbeat("i-1", 1);
        sleep(Duration::from_millis(200)).await;
        rig.store.put(&Record::Drained(drained(&["domain-1"], 3)));
        sleep(Duration::from_secs(3)).await;
        assert_eq!(rig.worker.starts(), vec![]);
        assert_eq!(reasons(&rig.store), vec![EndReason::NotStarted]);
    });
}

#[test]
fn agent_run_in_drained_domain_goes_on() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        seed_running_job(&store, JOB, 2, "i-1");
        let rig = AgentRig::start(store, FakeWorker::new("i-1"));
        rig.heartbeat("i-1", 1);
        sleep(Duration::from_millis(300)).await;
        rig.store.put(&Record::Drained(drained(&["domain-1"], 3)));
        rig.store.put(&Record::Plan(JOB.to_owned(), Box::new(running_plan(2, "i-1", 1))));
        sleep(Duration::from_secs(8)).await;
        assert_eq!(rig.worker.running().len(), 2);
        assert_eq!(reasons(&rig.store), vec![]);
    });
}

#[test]
fn agent_starts_again_after_drain() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        store.put(&Record::Drained(drained(&["domain-1"], 3)));
        let rig = AgentRig::start(store, FakeWorker::new("i-1"));
        rig.heartbeat("i-1", 1);
        sleep(Duration::from_millis(300)).await;
        rig.store.put(&Record::Drained(drained(&[], 4)));
        seed_running_job(&rig.store, JOB, 1, "i-1");
        sleep(Duration::from_millis(300)).await;
        assert_eq!(rig.worker.running().len(), 1);
    });
}
