//! The outlook that a leader writes: what it says, when it is written, and who gets it.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::drained::DrainedDomains;
use rampbay_jobs::job::Step;
use rampbay_jobs::outlook::forecaster::OutlookForecaster;
use rampbay_jobs::outlook::{OUTLOOK_KEY, Outlook, PriorityOutlook, ServiceOutlook};
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::planner::Placement;
use rampbay_jobs::recipients::Recipients;
use rampbay_jobs::record::{
    KeyedRecord, Leader, PROGRESS_TOPIC, ProgressReport, Record, STATE_TOPIC, encode,
};
use rampbay_jobs::routing::Queue;
use rampbay_jobs::table::JobTable;
use rstest::rstest;
use serde::Deserialize;
use support::leader::start_leader_with;
use support::outlook::outlook;
use support::planner::{PlannerRig, gang};
use support::store::{MemoryStore, StoreFault};
use support::{job, plan_of, run_in_virtual_time, step, table_of, worker_record};
use tokio::time::{Instant, sleep};

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
/// Queue of the jobs by which estimates are known.
const PRIORITY: u32 = 1;

/// A planner and the forecaster of its outlooks.
struct Rig {
    planner: PlannerRig,
    forecaster: OutlookForecaster,
    is_store_steady: bool,
}

impl Rig {
    fn of_workers(count: usize) -> Self {
        Self::with_placement(count, Placement::ByCompletion)
    }

    fn with_placement(count: usize, placement: Placement) -> Self {
        let mut planner = PlannerRig::of_workers(count).with_placement(placement);
        planner.routing.queues = vec![Queue {
            name: format!("queue-{PRIORITY}"),
            service: "service".to_owned(),
            priority: PRIORITY,
            ..Queue::default()
        }];
        Self { planner, forecaster: OutlookForecaster::new(7), is_store_steady: true }
    }

    /// Runs a round, and returns the outlook if one is due after it.
    fn round(&mut self) -> Option<Outlook> {
        let _ = self.planner.round();
        let inputs = self.planner.inputs();
        self.forecaster.update(&self.planner.planner, &inputs, self.is_store_steady)
    }

    /// Runs rounds for a time while all agents report. Returns the outlooks and when they were due.
    async fn run(&mut self, time: Duration) -> Vec<(Duration, Outlook)> {
        let end = Instant::now() + time;
        let mut due = Vec::new();
        while Instant::now() < end {
            let at = self.planner.started.elapsed();
            due.extend(self.round().map(|outlook| (at, outlook)));
            self.planner.advance(Duration::from_millis(500)).await;
        }
        due
    }

    /// Runs until the fleet is known, and returns the newest outlook.
    async fn settle(&mut self) -> Outlook {
        let due = self.run(Duration::from_secs(40)).await;
        due.into_iter().next_back().expect("an outlook").1
    }
}

fn described(due: &[(Duration, Outlook)]) -> Vec<bool> {
    due.iter().map(|(_, outlook)| !outlook.services.is_empty()).collect()
}

fn the_service(outlook: &Outlook) -> &ServiceOutlook {
    outlook.service("service").expect("the service is described")
}

/// A new leader takes back at once what an earlier one expected, and describes nothing until it knows the fleet.
#[test]
fn new_leader_describes_nothing_for_30_s() {
    run_in_virtual_time(async {
        let mut rig = Rig::of_workers(6);
        let due = rig.run(Duration::from_secs(33)).await;
        assert_eq!(due[0].0, Duration::ZERO);
        assert_eq!((due[0].1.epoch, due[0].1.number), (7, 1));
        let is_early = |(at, _): &(Duration, Outlook)| *at < Duration::from_secs(30);
        let (before, after): (Vec<_>, Vec<_>) = due.into_iter().partition(is_early);
        assert!(!described(&before).contains(&true));
        assert!(described(&after).contains(&true), "{after:?}");
    });
}

/// Entries drop an outlook after 6 s; on a fleet where nothing changes they'd stop refusing without a new one.
#[test]
fn unchanged_outlook_refreshed_every_3_s() {
    run_in_virtual_time(async {
        let mut rig = Rig::of_workers(6);
        rig.settle().await;
        let due = rig.run(Duration::from_secs(30)).await;
        let gaps = due.windows(2).map(|pair| pair[1].0 - pair[0].0);
        let gaps: Vec<Duration> = gaps.collect();
        assert!(gaps.len() >= 8, "{gaps:?}");
        assert!(gaps.iter().all(|gap| *gap <= Duration::from_secs(3)), "{gaps:?}");
        assert!(gaps.iter().all(|gap| *gap > Duration::from_secs(2)), "{gaps:?}");
    });
}

/// Each outlook goes to all entries: on a fleet that changes with each round one comes every 2 s at most.
#[test]
fn changing_outlook_at_most_every_2_s() {
    run_in_virtual_time(async {
        let mut rig = Rig::of_workers(6);
        rig.settle().await;
        let mut at: Vec<Duration> = Vec::new();
        for round in 0..60 {
            let devices = 1 + round % 8;
            rig.planner.put(&Record::Worker(
                "i-0".to_owned(),
                Box::new(worker_record("side", "r0", devices)),
            ));
            at.extend(rig.run(Duration::from_millis(500)).await.iter().map(|(at, _)| *at));
        }
        let gaps: Vec<Duration> = at.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert!(gaps.iter().all(|gap| *gap >= Duration::from_secs(2)), "{gaps:?}");
        assert!(
            gaps.contains(&Duration::from_secs(2)),
            "a material change isn't held back: {gaps:?}"
        );
    });
}

/// Under the other policy no record is written and entries decide as before.
#[test]
fn by_lost_work_writes_nothing() {
    run_in_virtual_time(async {
        let mut rig = Rig::with_placement(6, Placement::ByLostWork);
        assert_eq!(rig.run(Duration::from_secs(60)).await, Vec::new());
    });
}

/// Workers that come or go in numbers make all expectations wrong; single ones come and go all the time.
#[rstest]
#[case::one_of_ten(1, true)]
#[case::two_of_ten(2, false)]
fn leaving_workers_described(#[case] leaving: usize, #[case] is_described: bool) {
    run_in_virtual_time(async move {
        let mut rig = Rig::of_workers(10);
        rig.settle().await;
        (0..leaving).for_each(|index| rig.planner.remove_worker(&format!("i-{index}")));
        let due = rig.run(Duration::from_secs(20)).await;
        assert!(!due.is_empty());
        assert!(due.iter().all(|(_, outlook)| outlook.services.is_empty() != is_described));
        assert!(!rig.settle().await.services.is_empty(), "the smaller fleet is known by now");
    });
}

/// On a fleet that grows, a gang that is too wide now may fit in a moment.
#[test]
fn coming_workers_not_described() {
    run_in_virtual_time(async {
        let mut rig = Rig::of_workers(10);
        rig.settle().await;
        for index in 10..13 {
            let worker = Box::new(worker_record("side", "r9", 8));
            rig.planner.put(&Record::Worker(format!("i-{index}"), worker));
        }
        let due = rig.run(Duration::from_secs(20)).await;
        assert!(!due.is_empty() && due.iter().all(|(_, outlook)| outlook.services.is_empty()));
    });
}

/// The only worker of a rack restarts: a job for that rack is refused falsely if the worker is forgotten at once.
#[test]
fn gone_worker_remembered_for_30_s() {
    run_in_virtual_time(async {
        let mut rig = Rig::of_workers(10);
        rig.settle().await;
        rig.planner.remove_worker("i-9");
        let due = rig.run(Duration::from_secs(25)).await;
        assert!(due.iter().all(|(_, outlook)| the_service(outlook).has_label("r3")));
        assert!(!the_service(&rig.settle().await).has_label("r3"));
    });
}

/// A failure domain that is drained may be released: what only its workers can run isn't certainly unservable.
#[test]
fn drained_workers_count() {
    run_in_virtual_time(async {
        let mut rig = Rig::of_workers(6);
        let names = ["domain-1".to_owned()].into();
        rig.planner.drained = DrainedDomains { read_to: 1, names };
        let outlook = rig.settle().await;
        assert_eq!(the_service(&outlook).largest_gang(&gang(1, 8)).anywhere, 6);
    });
}

/// While the store is slow, jobs may be on their way that entries can't see: a refusal might be a lie.
#[test]
fn unsteady_store_described_as_nothing() {
    run_in_virtual_time(async {
        let mut rig = Rig::of_workers(6);
        assert!(!rig.settle().await.services.is_empty());
        rig.is_store_steady = false;
        let due = rig.run(Duration::from_secs(10)).await;
        assert!(!due.is_empty() && !described(&due).contains(&true));
    });
}

/// Returns the room that is expected while each worker but the reserved one is held by a run of a priority for some 60 s.
/// Jobs that wait make enough estimates known.
fn forecast_of_full_fleet(priority: u32) -> PriorityOutlook {
    let mut rig = Rig::of_workers(6).planner;
    for index in 0..6 {
        // A sixth run would end late without the reserve, and use it.
        if index < 5 {
            let run = Step { estimate_ms: 60_000, ..step(1, 8) };
            rig.submit(job(&format!("{OTHER}{index}"), priority, run));
        }
        let waiting = Step { required_label: "none".to_owned(), ..step(1, 8) };
        rig.submit(job(&format!("{JOB}{index}"), PRIORITY, waiting));
    }
    rig.plan();
    let forecast = rig.planner.room_forecast(&rig.inputs()).priorities("service");
    let [forecast] = forecast.try_into().expect("a forecast for one priority");
    forecast
}

/// Room is expected when runs end, and earlier by the early ends of their ranges. What is kept for urgent work counts as
/// room, since other work may get it, too.
#[test]
fn full_fleet_room_when_runs_end() {
    run_in_virtual_time(async {
        let forecast = forecast_of_full_fleet(PRIORITY);
        let reserved = [8, 4, 2, 1];
        assert_eq!((forecast.expected[0], forecast.early[0]), (reserved, reserved));
        let early_ms = forecast.no_room_until_ms(8, 6);
        let expected_ms = forecast.expected_room_ms(8, 6).expect("room");
        assert!(early_ms > 0 && early_ms <= expected_ms, "{early_ms} {expected_ms}");
        assert!(forecast.late_permille > 1_000 && forecast.mean_ms > 0, "{forecast:?}");
    });
}

/// Less urgent runs may be stopped for a job: what they hold counts as room.
#[test]
fn room_of_less_urgent_runs_counts() {
    run_in_virtual_time(async {
        let forecast = forecast_of_full_fleet(PRIORITY + 1);
        assert_eq!(forecast.expected[0], [48, 24, 12, 6]);
        assert_eq!(forecast.early[0], [48, 24, 12, 6]);
    });
}

/// A queue of which too few estimates are known gives no forecast: how long its jobs may take isn't known.
#[test]
fn unknown_estimates_not_forecast() {
    run_in_virtual_time(async {
        let mut rig = Rig::of_workers(6);
        rig.planner.submit(job(JOB, PRIORITY, step(1, 8)));
        let outlook = rig.settle().await;
        assert_eq!(the_service(&outlook).priorities, Vec::new());
    });
}

/// A leader in whose state a worker is registered, over a store.
fn leader_over(store: &Rc<MemoryStore>) {
    for index in 0..3 {
        let worker = Box::new(worker_record("side-1", "r1", 8));
        store.put(&Record::Worker(format!("i-{index}"), worker));
    }
    tokio::task::spawn_local(report_forever(Rc::clone(store)));
    start_leader_with(store, "entry-1", 1, None, None, Placement::ByCompletion);
}

/// Lets the agents report each second that nothing runs, so that no worker is evicted.
async fn report_forever(store: Rc<MemoryStore>) {
    let report = encode(&ProgressReport::default());
    loop {
        (0..3).for_each(|index| store.put_into(PROGRESS_TOPIC, &format!("i-{index}"), &report));
        sleep(Duration::from_secs(1)).await;
    }
}

fn stored(store: &MemoryStore) -> Vec<Outlook> {
    let records = store.all(STATE_TOPIC).into_iter().filter(|record| record.key == OUTLOOK_KEY);
    let outlooks = records.map(|record| match Record::decode(&record) {
        Ok(Record::Outlook(outlook)) => *outlook,
        other => panic!("an outlook: {other:?}"),
    });
    outlooks.collect()
}

/// The store holds the outlooks of the leader, and those of the next one replace them.
#[test]
fn leaders_outlooks_stored() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        leader_over(&store);
        sleep(Duration::from_secs(1)).await;
        let first = table_of(&store).outlook.expect("the first outlook");
        assert_eq!((first.epoch, first.services.len()), (table_of(&store).leader.epoch, 0));
        *store.leader.borrow_mut() = Some(("entry-2".to_owned(), 2));
        start_leader_with(&store, "entry-2", 2, None, None, Placement::ByCompletion);
        sleep(Duration::from_secs(1)).await;
        let next = table_of(&store).outlook.expect("the next leader's outlook");
        assert_eq!(next.epoch, table_of(&store).leader.epoch);
        assert!(next.epoch > first.epoch);
    });
}

/// The store doesn't answer the append of an outlook: runs are assigned as before.
#[test]
fn unanswered_outlook_planning_goes_on() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        store.holds_appends.set(true);
        leader_over(&store);
        sleep(Duration::from_secs(1)).await;
        store.put(&Record::Submitted(Box::new(job(JOB, 1, step(2, 1)))));
        sleep(Duration::from_millis(300)).await;
        assert_eq!(plan_of(&store, JOB).status, TaskStatus::Running);
        assert_eq!(stored(&store), Vec::new());
    });
}

/// The first outlook is sent until the store takes it: without it, that of an earlier leader would stay in the store.
#[test]
fn refused_first_outlook_sent_again() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        store.holds_appends.set(true);
        leader_over(&store);
        sleep(Duration::from_secs(5)).await;
        store.holds_appends.set(false);
        sleep(Duration::from_secs(3)).await;
        assert!(!stored(&store).is_empty());
    });
}

/// After the store was away, nothing is described until all late calls have been carried out.
#[test]
fn outage_nothing_described_for_15_s() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        leader_over(&store);
        sleep(Duration::from_secs(40)).await;
        assert!(stored(&store).last().is_some_and(|last| !last.services.is_empty()));
        store.fault.set(StoreFault::Refuses);
        sleep(Duration::from_secs(4)).await;
        store.fault.set(StoreFault::None);
        let before = stored(&store).len();
        sleep(Duration::from_secs(12)).await;
        let after = stored(&store).split_off(before);
        assert!(!after.is_empty() && after.iter().all(|outlook| outlook.services.is_empty()));
        sleep(Duration::from_secs(10)).await;
        assert!(stored(&store).last().is_some_and(|last| !last.services.is_empty()));
    });
}

/// A store that takes long for each append may have jobs on their way that their callers have given up.
#[test]
fn slow_store_nothing_described() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        store.append_delay.set(Duration::from_millis(500));
        leader_over(&store);
        sleep(Duration::from_secs(40)).await;
        assert!(stored(&store).iter().all(|outlook| outlook.services.is_empty()));
        store.append_delay.set(Duration::ZERO);
        sleep(Duration::from_secs(20)).await;
        assert!(stored(&store).last().is_some_and(|last| !last.services.is_empty()));
    });
}

/// A copy of an older outlook that is carried out late doesn't replace the newer one.
#[rstest]
#[case::older_number(7, 1, false)]
#[case::same(7, 2, false)]
#[case::newer_number(7, 3, true)]
#[case::older_leader(6, 9, false)]
#[case::newer_leader(8, 1, true)]
fn late_copy_ignored(#[case] epoch: u64, #[case] number: u64, #[case] replaces: bool) {
    let mut table = JobTable::default();
    let put = |table: &mut JobTable, epoch, number| {
        let outlook = Outlook { epoch, number, ..outlook(0) };
        table.apply(&Record::Outlook(Box::new(outlook)).encode());
    };
    put(&mut table, 7, 2);
    put(&mut table, epoch, number);
    let version = table.outlook.map(|known| known.version());
    assert_eq!(version, Some(if replaces { (epoch, number) } else { (7, 2) }));
}

/// Agents don't need the outlook; sent to each, it would fill small links.
#[test]
fn agents_dont_receive_outlook() {
    let mut table = JobTable::default();
    let worker = Record::Worker("i-1".to_owned(), Box::new(worker_record("side-1", "r1", 8)));
    table.apply(&worker.encode());
    let addressed = table.apply_and_address(&Record::Outlook(Box::new(outlook(0))).encode());
    assert_eq!(addressed.recipients, Recipients::Agents([].into()));
    assert!(!table.concerns(OUTLOOK_KEY, "side-1"));
    assert!(table.outlook.is_some(), "entries apply it");
}

/// The records of releases without an outlook, in their order; only their numbers matter here.
#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "only decoded")]
enum EarlierRecord {
    Submitted,
    Cancelled,
    Plan,
    Ended,
    Worker,
    Evicted,
    Leader,
    Member,
    Drained,
    Over,
    LifeOver,
    Losses,
    Part,
    Unanswered,
}

/// An earlier release must skip the record as unreadable (J104), and not take it for one of its own.
#[test]
fn earlier_releases_skip_outlook() {
    let KeyedRecord { value, .. } = Record::Outlook(Box::new(outlook(0))).encode();
    assert!(postcard::from_bytes::<EarlierRecord>(&value).is_err());
    let leader = Record::Leader(Leader::default()).encode().value;
    assert!(matches!(postcard::from_bytes(&leader), Ok(EarlierRecord::Leader)));
    let unanswered = [13];
    assert!(matches!(postcard::from_bytes(&unanswered), Ok(EarlierRecord::Unanswered)));
}

/// The record of a large fleet stays small: it goes to every entry every 2 to 3 s.
#[test]
fn large_fleet_record_small() {
    run_in_virtual_time(async {
        let mut rig = Rig::of_workers(2_500);
        for index in 0..5 {
            let waiting = Step { required_label: "none".to_owned(), ..step(1, 8) };
            rig.planner.submit(job(&format!("{JOB}{index}"), PRIORITY, waiting));
        }
        rig.planner.advance(Duration::from_secs(1)).await;
        assert!(rig.round().is_some());
        rig.planner.started -= Duration::from_secs(29);
        rig.planner.advance(Duration::from_secs(31)).await;
        let known = rig.run(Duration::from_secs(35)).await;
        let (_, outlook) = known.last().expect("an outlook");
        assert_eq!(the_service(outlook).priorities.len(), 1);
        let size = Record::Outlook(Box::new(outlook.clone())).encode().size();
        assert!(size < 8_000, "{size} bytes");
    });
}
