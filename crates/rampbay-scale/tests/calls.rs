//! Calls of an idle fleet to its store and between its processes, by size.

use std::time::Duration;

use rampbay_peer::tree::FAN_OUT;
use rampbay_scale::fleet::Fleet;
use rampbay_scale::load::{Counts, Purpose};
use rampbay_scale::machine::Size;
use rampbay_scale::time;
use rstest::rstest;
use tokio::time::sleep;

/// Time after which a fleet has settled.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Time for which the fleet is measured.
const MEASURED_TIME: Duration = Duration::from_secs(10);

/// Counts the calls of an idle fleet.
fn idle(size: Size) -> Counts {
    let mut counts = Counts::default();
    time::run(async {
        let fleet = Fleet::start(size).await;
        sleep(SETTLE_TIME).await;
        assert!(fleet.knows_workers());
        fleet.load.take();
        sleep(MEASURED_TIME).await;
        counts = fleet.load.take();
    });
    counts
}

/// Calls of an idle fleet cost as much as any others. A fleet of 983 machines made 598 of them a second: each
/// entry polled the leader and read the operators' orders itself, and each report was an append.
#[rstest]
#[case::dozens(60)]
#[case::hundreds(240)]
#[case::more(480)]
fn calls_of_idle_fleet_independent_of_size(#[case] machines: usize) {
    let counts = idle(Size::of(machines));
    let per_second = counts.calls() as f64 / MEASURED_TIME.as_secs_f64();
    assert!(per_second < 40.0, "{per_second} calls a second: {:?}", counts.store);
}

/// Only the leader reads from the store, three times a second per topic.
#[rstest]
#[case::state(Purpose::ReadState)]
#[case::orders(Purpose::ReadOperators)]
fn reads_of_idle_fleet_by_leader_only(#[case] purpose: Purpose) {
    let counts = idle(Size { well_provisioned: 40, small: 40, agents: 20 });
    let per_second = counts.calls_for(purpose) as f64 / MEASURED_TIME.as_secs_f64();
    assert!(per_second < 4.0, "{per_second} reads a second");
}

/// Whatever the number of processes, the busiest one answers a bounded number of calls: as an inner entry or as
/// the leader it serves [`FAN_OUT`] others, which read two topics and pass reports on (some twelve calls a second
/// each).
#[rstest]
#[case::dozens(60)]
#[case::hundreds(480)]
fn calls_of_busiest_peer_independent_of_size(#[case] machines: usize) {
    let counts = idle(Size::of(machines));
    let per_second = counts.busiest_by_calls().calls as f64 / MEASURED_TIME.as_secs_f64();
    assert!(per_second < 12.0 * FAN_OUT as f64, "{per_second} calls a second");
}
