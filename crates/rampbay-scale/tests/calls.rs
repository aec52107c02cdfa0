//! What a fleet asks of its store and of itself while nothing happens, by size.

use std::time::Duration;

use rampbay_peer::tree::FAN_OUT;
use rampbay_scale::fleet::Fleet;
use rampbay_scale::load::{Counts, Purpose};
use rampbay_scale::machine::Size;
use rampbay_scale::time;
use rstest::rstest;
use tokio::time::sleep;

/// Time in which a fleet comes to rest.
const REST: Duration = Duration::from_secs(8);
/// Time for which it is watched.
const WATCHED: Duration = Duration::from_secs(10);

/// Counts what a fleet asks for while nothing happens.
fn idle(size: Size) -> Counts {
    let mut counts = Counts::default();
    time::run(async {
        let fleet = Fleet::start(size).await;
        sleep(REST).await;
        assert!(fleet.knows_workers());
        fleet.load.take();
        sleep(WATCHED).await;
        counts = fleet.load.take();
    });
    counts
}

/// A call in which nothing happens is paid for all the same. A second of a fleet of 983 had 598 of them: each entry
/// asked who leads and read the operators' orders for itself, and each report was an append.
#[rstest]
#[case::dozens(60)]
#[case::hundreds(240)]
#[case::more(480)]
fn calls_of_idle_fleet_independent_of_size(#[case] machines: usize) {
    let counts = idle(Size::of(machines));
    let a_second = counts.calls() as f64 / WATCHED.as_secs_f64();
    assert!(a_second < 40.0, "{a_second} calls a second: {:?}", counts.store);
}

/// Only the leader reads from the store, three times a second each topic.
#[rstest]
#[case::state(Purpose::ReadState)]
#[case::orders(Purpose::ReadOperators)]
fn reads_of_idle_fleet_by_leader_alone(#[case] purpose: Purpose) {
    let counts = idle(Size { ample: 40, small: 40, agents: 20 });
    let a_second = counts.calls_for(purpose) as f64 / WATCHED.as_secs_f64();
    assert!(a_second < 4.0, "{a_second} reads a second");
}

/// However many processes there are, the busiest answers its share: as an inner entry, or the leader, [`FAN_OUT`]
/// others, which read two topics and pass reports on (some twelve calls a second each).
#[rstest]
#[case::dozens(60)]
#[case::hundreds(480)]
fn served_of_busiest_independent_of_size(#[case] machines: usize) {
    let counts = idle(Size::of(machines));
    let a_second = counts.busiest().calls as f64 / WATCHED.as_secs_f64();
    assert!(a_second < 12.0 * FAN_OUT as f64, "{a_second} calls a second");
}
