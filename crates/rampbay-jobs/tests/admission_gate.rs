//! Refusals by the outlook at an entry: they are given before anything is sent, and only where they are certainly true.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::intake::Refusal;
use rampbay_jobs::job::Submission;
use rampbay_jobs::metrics::metrics;
use rampbay_jobs::outlook::Outlook;
use rampbay_jobs::record::{Leader, Member, Record, STATE_TOPIC};
use rstest::rstest;
use support::intake::IntakeRig;
use support::outlook::outlook;
use support::planner::gang;
use support::store::StoreFault;
use support::{job, run_in_virtual_time, step, table_of, virtual_wall_clock};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
/// How long callers wait.
const CALLER_WAIT: Duration = Duration::from_millis(2000);
/// Time without trouble after which an entry refuses.
const SETTLE_TIME: Duration = Duration::from_secs(16);
const EPOCH: u64 = 7;

/// A gang that no fleet of the tests can ever run.
fn too_wide() -> Submission {
    Submission { submitted_at: virtual_wall_clock(), ..job(JOB, 1, gang(7, 8)) }
}

fn is_refused(outcome: Result<(), Refusal>) -> bool {
    match outcome {
        Ok(()) => false,
        Err(Refusal::NoRoom { .. }) => true,
        Err(other) => panic!("neither accepted nor refused by the outlook: {other:?}"),
    }
}

fn is_stored(rig: &IntakeRig) -> bool {
    table_of(&rig.store).jobs.contains_key(JOB)
}

fn put_outlook(rig: &IntakeRig, number: u64) {
    let at = virtual_wall_clock();
    rig.store.put(&Record::Outlook(Box::new(Outlook { epoch: EPOCH, number, at, ..outlook(0) })));
}

/// An entry with the outlooks of a leader, one every 2 s, and the other records of a busy fleet.
struct Rig {
    intake: Rc<IntakeRig>,
    leader: JoinHandle<()>,
    others: JoinHandle<()>,
}

impl Rig {
    /// Starts an entry, which has heard of the leader for some time.
    async fn settled() -> Self {
        let rig = Self::start();
        sleep(SETTLE_TIME).await;
        rig
    }

    fn start() -> Self {
        let intake = Rc::new(IntakeRig::start());
        let leader = Leader { node: "entry-1".to_owned(), epoch: EPOCH };
        intake.store.put(&Record::Leader(leader));
        let at_leader = Rc::clone(&intake);
        let leader = tokio::task::spawn_local(async move {
            for number in 1.. {
                put_outlook(&at_leader, number);
                sleep(Duration::from_secs(2)).await;
            }
        });
        let of_others = Rc::clone(&intake);
        let others = tokio::task::spawn_local(async move {
            loop {
                of_others.store.put(&Record::Member(Member::default()));
                sleep(Duration::from_millis(50)).await;
            }
        });
        Self { intake, leader, others }
    }

    async fn submit(&self, submission: Submission) -> Result<(), Refusal> {
        self.intake.submit(submission, CALLER_WAIT).await
    }

    /// Submits the gang that fits nowhere. Returns whether it is refused.
    async fn refuses(&self) -> bool {
        is_refused(self.submit(too_wide()).await)
    }
}

/// A refusal says that the job never runs, so nothing may have been sent; it is given soon.
#[test]
fn never_fits_refused_with_nothing_sent() {
    run_in_virtual_time(async {
        let rig = Rig::settled().await;
        let started = Instant::now();
        let outcome = rig.submit(too_wide()).await;
        let retry_after = Duration::from_secs(30);
        assert_eq!(outcome, Err(Refusal::NoRoom { retry_after }));
        assert!(started.elapsed() < Duration::from_millis(200), "{:?}", started.elapsed());
        sleep(Duration::from_secs(20)).await;
        let records = rig.intake.store.all(STATE_TOPIC);
        assert!(records.iter().all(|record| !record.key.starts_with("job/")));
        let metrics = metrics().render();
        assert!(metrics.contains("rampbay_refusals_total{reason=\"gang_too_wide\"} "), "{metrics}");
    });
}

/// A job that fits is stored as before.
#[test]
fn fitting_job_stored() {
    run_in_virtual_time(async {
        let rig = Rig::settled().await;
        assert_eq!(rig.submit(job(JOB, 1, step(1, 1))).await, Ok(()));
        assert!(is_stored(&rig.intake));
    });
}

/// A refused caller may try as often as it likes; a refusal isn't taken for an attempt that may be on its way.
#[test]
fn refused_job_refused_again() {
    run_in_virtual_time(async {
        let rig = Rig::settled().await;
        assert!(rig.refuses().await);
        assert!(rig.refuses().await);
    });
}

/// The leader is lost: once its last outlook is 6 s old, all is accepted.
#[test]
fn leader_lost_accepted_after_6_s() {
    run_in_virtual_time(async {
        let rig = Rig::settled().await;
        rig.leader.abort();
        sleep(Duration::from_secs(2)).await;
        assert!(rig.refuses().await);
        sleep(Duration::from_secs(5)).await;
        assert!(!rig.refuses().await);
        assert!(is_stored(&rig.intake));
    });
}

/// Another leader is in force and hasn't written an outlook yet: that of the one before says nothing any more.
#[test]
fn new_leader_accepted_at_once() {
    run_in_virtual_time(async {
        let rig = Rig::settled().await;
        rig.leader.abort();
        let next = Leader { node: "entry-2".to_owned(), epoch: EPOCH + 1 };
        rig.intake.store.put(&Record::Leader(next));
        sleep(Duration::from_millis(100)).await;
        assert!(!rig.refuses().await);
    });
}

/// The leader's clock is far ahead, or the record was on its way for long: of both ages the greater one counts.
#[rstest]
#[case::just_computed(0, true)]
#[case::clock_ahead(-60_000, true)]
#[case::long_on_its_way(7_000, false)]
fn age_by_clock_and_arrival(#[case] age_ms: i64, #[case] refuses: bool) {
    run_in_virtual_time(async move {
        let rig = Rig::settled().await;
        rig.leader.abort();
        let at = virtual_wall_clock().saturating_add_signed(-age_ms);
        let outlook = Outlook { epoch: EPOCH, number: 99, at, ..outlook(0) };
        rig.intake.store.put(&Record::Outlook(Box::new(outlook)));
        sleep(Duration::from_millis(100)).await;
        assert_eq!(rig.refuses().await, refuses);
        sleep(Duration::from_secs(8)).await;
        assert!(!rig.refuses().await, "it is old by its arrival, too");
    });
}

/// The whole state was read anew: an outlook in it may be of any age.
#[test]
fn outlook_of_whole_state_not_used() {
    run_in_virtual_time(async {
        let rig = Rig::settled().await;
        rig.leader.abort();
        sleep(Duration::from_millis(100)).await;
        rig.intake.store.fault.set(StoreFault::Refuses);
        sleep(Duration::from_millis(1100)).await;
        rig.intake.store.put(&Record::Cancelled(OTHER.to_owned()));
        rig.intake.store.forget_history(STATE_TOPIC);
        rig.intake.store.fault.set(StoreFault::None);
        sleep(Duration::from_millis(500)).await;
        assert!(rig.intake.live.table.borrow().outlook.is_some());
        assert!(!rig.refuses().await);
    });
}

/// A job that is known is accepted again, also if it could no longer be served.
#[test]
fn known_job_accepted() {
    run_in_virtual_time(async {
        let rig = Rig::settled().await;
        rig.intake.store.put(&Record::Submitted(Box::new(too_wide())));
        sleep(Duration::from_millis(100)).await;
        assert!(!rig.refuses().await);
    });
}

/// Another entry has stored the job, whose caller got no answer and comes here at once: the table may not show it yet,
/// and a refusal would be a lie.
#[test]
fn job_just_stored_elsewhere_accepted() {
    run_in_virtual_time(async {
        let rig = Rig::settled().await;
        rig.intake.store.read_delay.set(Duration::from_millis(200));
        sleep(Duration::from_secs(3)).await;
        rig.intake.store.put(&Record::Submitted(Box::new(too_wide())));
        assert!(!rig.refuses().await);
        let records = rig.intake.store.all(STATE_TOPIC).into_iter();
        assert_eq!(records.filter(|record| record.key.starts_with("job/")).count(), 1);
    });
}

/// This entry sent the job itself while no outlook spoke against it, and the store hasn't answered. The record may still be
/// on its way when the view has long been current again.
#[test]
fn job_sent_here_before_accepted() {
    run_in_virtual_time(async {
        let rig = Rig::start();
        sleep(Duration::from_millis(100)).await;
        rig.intake.store.holds_appends.set(true);
        assert_eq!(rig.submit(too_wide()).await, Err(Refusal::Unknown));
        rig.intake.store.holds_appends.set(false);
        sleep(SETTLE_TIME).await;
        let other = Submission { id: OTHER.to_owned(), ..too_wide() };
        assert!(is_refused(rig.submit(other).await), "other jobs are refused by now");
        assert!(!rig.refuses().await);
    });
}

/// A caller that got no answer submits the job again while its first call is still under way, which may yet store the job:
/// neither call may be told that the job never runs.
#[test]
fn job_submitted_twice_at_once_accepted() {
    run_in_virtual_time(async {
        let rig = Rig::settled().await;
        let (first, second) = tokio::join!(rig.refuses(), rig.refuses());
        assert!(!first && !second);
        assert!(is_stored(&rig.intake));
    });
}

/// The call before has ended, also if its caller has hung up: it stores nothing any more.
#[test]
fn job_of_abandoned_call_refused() {
    run_in_virtual_time(async {
        let rig = Rig::settled().await;
        let abandoned = tokio::time::timeout(Duration::from_millis(1), rig.refuses()).await;
        assert!(abandoned.is_err(), "it waited for a view as of the call");
        assert!(rig.refuses().await);
    });
}

/// An append of this entry went unanswered or was slow: so may one of another entry be, with any job.
#[rstest]
#[case::unanswered(true, 0, Err(Refusal::Unknown))]
#[case::slow(false, 500, Ok(()))]
fn append_in_trouble_here_accepted(
    #[case] holds_appends: bool,
    #[case] delay_ms: u64,
    #[case] expected: Result<(), Refusal>,
) {
    run_in_virtual_time(async move {
        let rig = Rig::settled().await;
        rig.intake.store.holds_appends.set(holds_appends);
        rig.intake.store.append_delay.set(Duration::from_millis(delay_ms));
        assert_eq!(rig.submit(job(OTHER, 1, step(1, 1))).await, expected);
        rig.intake.store.holds_appends.set(false);
        rig.intake.store.append_delay.set(Duration::ZERO);
        sleep(Duration::from_secs(10)).await;
        assert!(!rig.refuses().await);
    });
}

/// The view was stale a moment ago, as it is when the store was away: calls of that time may be carried out late.
#[test]
fn view_stale_before_accepted() {
    run_in_virtual_time(async {
        let rig = Rig::settled().await;
        rig.intake.store.fault.set(StoreFault::Refuses);
        sleep(Duration::from_secs(4)).await;
        rig.intake.store.fault.set(StoreFault::None);
        sleep(Duration::from_secs(10)).await;
        assert!(!rig.refuses().await);
    });
}

/// The view can't be brought up to the call, since a read of a store without news takes a second: the job is stored while
/// its caller still waits.
#[test]
fn view_not_confirmed_accepted_in_time() {
    run_in_virtual_time(async {
        let rig = Rig::settled().await;
        rig.others.abort();
        sleep(Duration::from_millis(100)).await;
        let started = Instant::now();
        assert!(!rig.refuses().await);
        assert!(started.elapsed() < Duration::from_millis(800), "{:?}", started.elapsed());
    });
}

/// An entry that has just started knows neither what was sent before nor how steady the store is.
#[test]
fn entry_just_started_accepted() {
    run_in_virtual_time(async {
        let rig = Rig::start();
        sleep(Duration::from_secs(5)).await;
        assert!(!rig.refuses().await);
    });
}
