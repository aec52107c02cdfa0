//! All machines lose power at once, some of them again and again.
//!
//! Seen: after a loss of power of all machines, accepted jobs stood still for seconds beside idle workers, and tasks were
//! started once more whose good end their worker had been told to forget.
//!
//! How jobs came to stand still: each loss of power was held against every task that ran. From the third one on each of
//! them got a worker of its own, and nothing else was started there for five seconds; the fifth one failed their jobs.
//!
//! How a task could run again isn't known. Random plays, with appends that are carried out late, have shown none.

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
use support::{on_virtual_time, step, table_of};
use tokio::time::{Instant, sleep};

const MACHINES: usize = 6;
/// Time in which all agents are registered and a leader is there.
const BEGINS: Duration = Duration::from_millis(1500);
/// Longest time for which a job may have nothing running beside idle workers.
const STANDS: Duration = Duration::from_millis(3000);

/// Three losses of power with lasting runs at all workers, and then a small job.
#[rstest]
#[case::of_leader_too(true)]
#[case::of_workers_and_agents(false)]
fn job_after_losses_of_power_starts_soon(#[case] of_leader: bool) {
    on_virtual_time(async move {
        let site = Site::start(MACHINES);
        sleep(BEGINS).await;
        let spread = Step { max_per_worker: 1, ..step(MACHINES as u32, 1) };
        site.submit("0000000000000001", spread, Work::Ends(Duration::from_secs(60)));
        for salt in 0..3 {
            sleep(Duration::from_secs(8)).await;
            let running: usize = site.machines.iter().map(|m| m.worker.running().len()).sum();
            assert_eq!(running, MACHINES, "all tasks run before the loss");
            let pauses = [Duration::from_millis(100); MACHINES + 1];
            site.lose_power(of_leader.then_some(salt), &pauses).await;
        }
        sleep(BEGINS).await;
        site.submit("0000000000000002", step(1, 1), Work::Ends(Duration::from_secs(1)));
        sleep(STANDS).await;
        assert_eq!(site.starts_of("0000000000000002").len(), 1);
    });
}

/// Losses count against tasks whose machines are the last to be back: these are too few by themselves.
#[test]
fn losses_of_power_forgiven_one_by_one() {
    on_virtual_time(async {
        let machines = 5;
        let site = Site::start(machines);
        sleep(BEGINS).await;
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

/// A job is failed that ran through five losses of power: each was held against its tasks.
#[rstest]
#[case::of_leader_too(true)]
#[case::of_workers_and_agents(false)]
fn job_not_failed_by_losses_of_power(#[case] of_leader: bool) {
    on_virtual_time(async move {
        let site = Site::start(MACHINES);
        sleep(BEGINS).await;
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

/// Losses of power at random moments under load, while some appends have no answer and are carried out late.
#[rstest]
fn task_with_noted_end_never_starts_again(#[values(1, 2, 3, 4)] seed: u64) {
    on_virtual_time(async move {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let site = Site::start(4);
        let mut noted = AcknowledgedEnds::watch(&site);
        tokio::task::spawn_local(Rc::clone(&site.store).apply_late());
        sleep(BEGINS).await;
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
            noted.check(&site);
            assert_runs_once(&site);
        }
        *site.store.late.borrow_mut() = None;
        sleep(Duration::from_secs(40)).await;
        let table = table_of(&site.store);
        let is_over = |id: &String| table.status(id).is_some_and(JobStatus::is_final);
        assert!(jobs > 0 && table.jobs.keys().all(is_over));
    });
}
