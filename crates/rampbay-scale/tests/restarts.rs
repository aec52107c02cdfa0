//! Many processes restart at one moment.
//!
//! Guards against a failure seen when nearly all processes of a whole fleet were killed at once: 0.19 GB were read
//! from the store, an amount that grows with the square of the fleet since each process read the whole state, and
//! for four seconds no call was served.

use std::time::Duration;

use rampbay_scale::fleet::Fleet;
use rampbay_scale::load::{Counts, Purpose};
use rampbay_scale::machine::Size;
use rampbay_scale::process::Process;
use rampbay_scale::time;
use rstest::rstest;
use tokio::time::sleep;

/// Time after which a fleet has settled.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Time for which killed processes are down.
const DOWNTIME: Duration = Duration::from_secs(2);
/// Time after which work is started again and each process knows the state.
const RECOVERY_LIMIT: Duration = Duration::from_millis(2000);

/// The processes that are killed.
#[derive(Clone, Copy, Debug)]
enum Killed {
    /// Every second process, and the leader.
    Half,
    /// All entries.
    Entries,
    /// All processes.
    All,
}

impl Killed {
    fn inject(self, fleet: &mut Fleet) {
        let leader = fleet.leader().map(|leader| leader.name.clone()).unwrap_or_default();
        let is_odd = |name: &str| name.bytes().last().is_some_and(|last| last % 2 == 1);
        fleet.kill(|process: &Process| match self {
            Self::Half => process.name == leader || is_odd(&process.name),
            Self::Entries => process.is_entry(),
            Self::All => true,
        });
    }
}

/// Kills processes and restarts them; returns their calls to the store until the fleet has settled.
async fn restart(fleet: &mut Fleet, killed: Killed) -> Counts {
    killed.inject(fleet);
    sleep(DOWNTIME).await;
    fleet.load.take();
    fleet.restart().await;
    fleet.submit("00000000000000aa", 4, 1).await;
    let recovered = fleet.wait_until(RECOVERY_LIMIT, |fleet| {
        fleet.running() > 0 && fleet.knows_workers() && fleet.oldest_table_age() < RECOVERY_LIMIT
    });
    let recovered = recovered.await;
    assert!(recovered.is_some(), "{killed:?}: not recovered after {RECOVERY_LIMIT:?}");
    sleep(SETTLE_TIME).await;
    fleet.load.take()
}

#[rstest]
fn fleet_recovers_soon(
    #[values(Killed::Half, Killed::Entries, Killed::All)] killed: Killed,
    #[values(60, 240)] machines: usize,
) {
    time::run(async {
        let mut fleet = Fleet::start(Size::of(machines)).await;
        sleep(SETTLE_TIME).await;
        restart(&mut fleet, killed).await;
    });
}

/// A fleet of four times the size, whose state is four times as large, reads some four times as much of it: a few
/// well-provisioned entries read the state, not each process. Between 480 and 983 machines it was ten times as
/// much.
#[rstest]
fn bytes_of_restart_not_as_square_of_size(
    #[values(Killed::Half, Killed::All)] killed: Killed,
    #[values(120, 240)] machines: usize,
) {
    let bytes_at = |machines: usize| {
        let mut bytes = 0;
        time::run(async {
            let mut fleet = Fleet::start(Size::of(machines)).await;
            sleep(SETTLE_TIME).await;
            let counts = restart(&mut fleet, killed).await;
            println!("{machines} {:?}", counts.store);
            bytes = counts.store_bytes();
        });
        bytes
    };
    let (small, large) = (bytes_at(machines), bytes_at(machines * 4));
    assert!(
        large < small * 8,
        "{small} bytes at {machines} machines, {large} at four times as many"
    );
}

/// A single agent that restarts reads nothing of the state from the store.
#[test]
fn snapshot_of_single_agent_through_peers() {
    time::run(async {
        let mut fleet = Fleet::start(Size::of(120)).await;
        sleep(SETTLE_TIME).await;
        let name = fleet.agents().last().map(|agent| agent.name.clone()).unwrap_or_default();
        fleet.kill(|process| process.name == name);
        fleet.load.take();
        fleet.restart().await;
        sleep(SETTLE_TIME).await;
        assert!(fleet.knows_workers());
        assert_eq!(fleet.load.take().calls_for(Purpose::Snapshot), 0);
    });
}

/// Maximum time until jobs are done that were submitted when everything was killed, in addition to the 3 s of
/// their runs.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// Everything is killed repeatedly while jobs are submitted. When killed agents kept running in the model, they
/// stopped the runs of the restarted agents, and no job was ever done.
#[rstest]
fn jobs_done_after_each_kill_of_everything(#[values(63, 240)] machines: usize) {
    time::run(async {
        let mut fleet = Fleet::start(Size::of(machines)).await;
        sleep(SETTLE_TIME).await;
        for round in 0..3 {
            let ids = [format!("{round:015x}a"), format!("{round:015x}b")];
            fleet.submit(&ids[0], 3, 1).await;
            fleet.kill(|_| true);
            sleep(Duration::from_millis(400) * round).await;
            fleet.restart().await;
            fleet.submit(&ids[1], 3, 1).await;
            let are_done = |fleet: &Fleet| ids.iter().all(|id| fleet.is_done(id));
            let done = fleet.wait_until(SETTLE_TIME, are_done).await;
            assert!(done.is_some_and(|done| done < Duration::from_secs(3) + MAX_DELAY), "{done:?}");
        }
    });
}
