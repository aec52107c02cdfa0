//! Jobs come while the store is slow, or loses answers.
//!
//! On a day of a whole fleet the store was 60 times slower than usual for 4.5 s: of the jobs that came then and in the two seconds after
//! none was served in time, and 49 callers got no answer at all. Each of 183 entries appended what it took in by itself, at a
//! partition that took four appends a second, and so its queue was two seconds long.

use std::time::Duration;

use futures_util::future::join_all;
use rampbay_scale::fleet::Fleet;
use rampbay_scale::machine::Size;
use rampbay_scale::time;
use rstest::rstest;
use tokio::time::{Instant, sleep};

/// Time in which a fleet comes to rest.
const REST: Duration = Duration::from_secs(6);
/// Time between two jobs.
const JOB_GAP: Duration = Duration::from_millis(200);
/// Number of jobs: those of four seconds.
const JOBS: usize = 20;
/// Time that a caller is waited with for the store.
const CALLER_WAITS: Duration = Duration::from_millis(1300);

/// Hands jobs in at entry after entry. Returns how long the one took that the store kept last of all.
async fn slowest_job(fleet: &Fleet) -> Duration {
    let entries = fleet.entries().count();
    let jobs = (0..JOBS).map(|number| async move {
        sleep(JOB_GAP * number as u32).await;
        let began = Instant::now();
        fleet.submit_at(number * 7 % entries, &format!("{number:016}"), 2, 1).await;
        began.elapsed()
    });
    join_all(jobs).await.into_iter().max().unwrap_or_default()
}

/// However many entries there are, a caller has its answer before it is told that none came.
#[rstest]
fn job_kept_in_time_at_slow_store(
    #[values(60, 240, 480)] machines: usize,
    #[values(1, 20, 60)] slowness: u32,
) {
    time::run(async move {
        let fleet = Fleet::start(Size::of(machines)).await;
        sleep(REST).await;
        fleet.store.slowness.set(slowness);
        let slowest = slowest_job(&fleet).await;
        assert!(slowest < CALLER_WAITS, "{slowest:?}");
    });
}

/// The leader keeps its place while a third of the store's answers get lost: each change costs a second in which
/// nothing is started. A join whose answer was lost was waited for until the place had lapsed.
#[rstest]
fn leader_kept_while_answers_get_lost(#[values(60, 240)] machines: usize) {
    time::run(async move {
        let fleet = Fleet::start(Size::of(machines)).await;
        sleep(REST).await;
        let leader = fleet.store.leader();
        fleet.store.lost_percent.set(35);
        let slowest = slowest_job(&fleet).await;
        sleep(REST).await;
        assert_eq!(fleet.store.leader(), leader);
        assert!(slowest < CALLER_WAITS, "{slowest:?}");
    });
}
