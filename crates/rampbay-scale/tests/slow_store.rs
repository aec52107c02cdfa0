//! Jobs are submitted while the store is slow or loses answers.
//!
//! Guards against a failure seen in a run of a whole fleet: the store was 60 times slower than usual for 4.5 s. Of
//! the jobs submitted then and in the two seconds after, none was served in time, and 49 callers got no answer at
//! all. Each of 183 entries appended its jobs separately to a partition that took four appends a second, and so
//! the partition's queue was two seconds long.

use std::time::Duration;

use futures_util::future::join_all;
use rampbay_scale::fleet::Fleet;
use rampbay_scale::machine::Size;
use rampbay_scale::time;
use rstest::rstest;
use tokio::time::{Instant, sleep};

/// Time after which a fleet has settled.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Time between two jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(200);
/// Number of jobs: those of four seconds.
const JOBS: usize = 20;
/// Time that a caller waits for the store.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1300);

/// Submits jobs at one entry after another. Returns the longest time until the store had a job.
async fn slowest_job(fleet: &Fleet) -> Duration {
    let entries = fleet.entries().count();
    let jobs = (0..JOBS).map(|number| async move {
        sleep(JOB_INTERVAL * number as u32).await;
        let began = Instant::now();
        fleet.submit_at(number * 7 % entries, &format!("{number:016}"), 2, 1).await;
        began.elapsed()
    });
    join_all(jobs).await.into_iter().max().unwrap_or_default()
}

/// Whatever the number of entries, a job is stored before its caller would be told that the store hasn't answered.
#[rstest]
fn job_stored_in_time_at_slow_store(
    #[values(60, 240, 480)] machines: usize,
    #[values(1, 20, 60)] slowness: u32,
) {
    time::run(async move {
        let fleet = Fleet::start(Size::of(machines)).await;
        sleep(SETTLE_TIME).await;
        fleet.store.slowness.set(slowness);
        let slowest = slowest_job(&fleet).await;
        assert!(slowest < CALLER_TIMEOUT, "{slowest:?}");
    });
}

/// The leader remains leader while a third of the store's answers are lost: each change costs a second in which
/// nothing is started. Before, a join whose answer was lost was waited for until the leader's membership had
/// expired.
#[rstest]
fn leader_kept_while_answers_get_lost(#[values(60, 240)] machines: usize) {
    time::run(async move {
        let fleet = Fleet::start(Size::of(machines)).await;
        sleep(SETTLE_TIME).await;
        let leader = fleet.store.leader();
        fleet.store.lost_answer_percent.set(35);
        let slowest = slowest_job(&fleet).await;
        sleep(SETTLE_TIME).await;
        assert_eq!(fleet.store.leader(), leader);
        assert!(slowest < CALLER_TIMEOUT, "{slowest:?}");
    });
}
