//! All machines lose power at once, some of them repeatedly.
//!
//! Regression: after a power loss of all machines, accepted jobs made no progress for seconds
//! although workers were idle, and tasks were started again after their end as done had been
//! acknowledged to their worker.
//!
//! The stalls came from counting each power loss against every running task. From the third loss
//! on, each task got a worker of its own, on which nothing else was started for five seconds; the
//! fifth loss failed their jobs.
//!
//! How a task could run again isn't known. Randomized runs with late appends haven't reproduced it.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::job::Step;
use rampbay_jobs::plan::JobStatus;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::acknowledged::{AcknowledgedEnds, assert_runs_once};
use support::site::{Site, Work};
use support::{run_in_virtual_time, step, table_of};
use tokio::time::{Instant, sleep};

const MACHINES: usize = 6;
/// Time in which all agents register and a leader is elected.
const STARTS_WITHIN: Duration = Duration::from_millis(1500);
/// Longest time for which a job may have nothing running while workers are idle.
const MAX_STALL: Duration = Duration::from_millis(3000);

/// Three power losses with long-running tasks at all workers, followed by a small job.
#[rstest]
#[case::of_leader_too(true)]
#[case::of_workers_and_agents(false)]
fn job_after_power_losses_starts_soon(#[case] of_leader: bool) {
    run_in_virtual_time(async move {
        let site = Site::start(MACHINES);
        sleep(STARTS_WITHIN).await;
        let spread = Step { max_per_worker: 1, ..step(MACHINES as u32, 1) };
        site.submit("0000000000000001", spread, Work::Ends(Duration::from_secs(60)));
        for salt in 0..3 {
            sleep(Duration::from_secs(8)).await;
            let running: usize = site.machines.iter().map(|m| m.worker.running().len()).sum();
            assert_eq!(running, MACHINES, "all tasks run before the loss");
            let pauses = [Duration::from_millis(100); MACHINES + 1];
            site.lose_power(of_leader.then_some(salt), &pauses).await;
        }
        sleep(STARTS_WITHIN).await;
        site.submit("0000000000000002", step(1, 1), Work::Ends(Duration::from_secs(1)));
        sleep(MAX_STALL).await;
        assert_eq!(site.starts_of("0000000000000002").len(), 1);
    });
}

/// A power loss counts against tasks whose machines return last, since those are too few to be
/// recognized as a power loss by themselves.
#[test]
fn power_losses_removed_one_by_one() {
    run_in_virtual_time(async {
        let machines = 5;
        let site = Site::start(machines);
        sleep(STARTS_WITHIN).await;
        let spread = Step { max_per_worker: 1, ..step(machines as u32, 1) };
        site.submit("0000000000000001", spread, Work::Ends(Duration::from_secs(60)));
        let pauses = [100, 100, 100, 100, 1000, 1900].map(Duration::from_millis);
        for _ in 0..3 {
            sleep(Duration::from_secs(8)).await;
            site.lose_power(None, &pauses).await;
        }
        sleep(Duration::from_secs(4)).await;
        let table = table_of(&site.store);
        let left: Vec<_> = table.losses.values().flat_map(|known| known.iter()).collect();
        assert!(left.is_empty(), "{left:?}");
    });
}

/// Regression: a job that ran through five power losses was failed, since each was counted against
/// its tasks.
#[rstest]
#[case::of_leader_too(true)]
#[case::of_workers_and_agents(false)]
fn job_not_failed_by_power_losses(#[case] of_leader: bool) {
    run_in_virtual_time(async move {
        let site = Site::start(MACHINES);
        sleep(STARTS_WITHIN).await;
        let id = "0000000000000001";
        let spread = Step { max_per_worker: 1, ..step(MACHINES as u32, 1) };
        site.submit(id, spread, Work::Ends(Duration::from_secs(20)));
        for salt in 0..6 {
            sleep(Duration::from_secs(8)).await;
            let pauses = [Duration::from_millis(100); MACHINES + 1];
            site.lose_power(of_leader.then_some(salt), &pauses).await;
        }
        sleep(Duration::from_secs(30)).await;
        assert_eq!(site.status(id), JobStatus::Succeeded);
    });
}

/// Power losses at random times under load, while some appends get no answer and are carried out
/// late.
#[rstest]
fn task_with_acknowledged_end_never_starts_again(#[values(1, 2, 3, 4)] seed: u64) {
    run_in_virtual_time(async move {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let site = Site::start(4);
        let mut acknowledged = AcknowledgedEnds::watch(&site);
        tokio::task::spawn_local(Rc::clone(&site.store).apply_late());
        sleep(STARTS_WITHIN).await;
        *site.store.late.borrow_mut() = Some(ChaCha8Rng::seed_from_u64(seed));
        let mut jobs = 0;
        let mut next_loss = Instant::now() + Duration::from_millis(rng.random_range(500..6000));
        let until = Instant::now() + Duration::from_secs(40);
        while Instant::now() < until {
            sleep(Duration::from_millis(20)).await;
            if rng.random_range(0..100) < 4 {
                jobs += 1;
                let work = Work::Ends(Duration::from_millis(rng.random_range(50..2500)));
                site.submit(&format!("{jobs:016x}"), step(rng.random_range(1..5), 1), work);
            }
            if Instant::now() >= next_loss {
                let pause = |_| Duration::from_millis(rng.random_range(20..300));
                let pauses: Vec<Duration> = (0..5).map(pause).collect();
                site.lose_power(Some(rng.random()), &pauses).await;
                next_loss = Instant::now() + Duration::from_millis(rng.random_range(300..9000));
            }
            acknowledged.check(&site);
            assert_runs_once(&site);
        }
        *site.store.late.borrow_mut() = None;
        sleep(Duration::from_secs(40)).await;
        let table = table_of(&site.store);
        let is_over = |id: &String| table.status(id).is_some_and(JobStatus::is_final);
        assert!(jobs > 0 && table.jobs.keys().all(is_over));
    });
}
