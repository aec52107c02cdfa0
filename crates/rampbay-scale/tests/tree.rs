//! What the operators' orders rest on while they travel down the tree of the entries, when parts of it fail.

use std::time::Duration;

use rampbay_scale::connection::Way;
use rampbay_scale::fleet::Fleet;
use rampbay_scale::load::Role;
use rampbay_scale::machine::Size;
use rampbay_scale::process::Process;
use rampbay_scale::time;
use rstest::rstest;
use tokio::time::sleep;

/// A fleet with inner and outer entries, and small ones below them.
const SIZE: Size = Size { ample: 40, small: 24, agents: 24 };
/// Time in which a fleet comes to rest.
const REST: Duration = Duration::from_secs(6);
/// Time after which a configuration is in force everywhere, on the deployments that allow least.
const IN_FORCE: Duration = Duration::from_millis(2000);
/// Age of the orders from which on an entry answers no calls (0.55 of the 5 s after which a key is refused).
const OLDEST_ORDERS: Duration = Duration::from_millis(2750);
/// Age of the state from which on a job isn't said to be unknown (half of the 3 s after which it has to be known).
const OLDEST_STATE: Duration = Duration::from_millis(1500);
/// Bytes of a configuration.
const CONFIGURATION: usize = 16_000;

/// What fails.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// Nothing.
    Nothing,
    /// The leader has no power any more.
    Leader,
    /// The store is silent to the leader, which serves its peers.
    LeaderCutOff,
    /// A third of the ample entries have no power any more.
    ThirdOfAmple,
    /// All inner entries have no power any more: whatever the leader serves.
    AllInner,
    /// The store turns half of all entries away.
    HalfTurnedAway,
}

impl Failure {
    fn strike(self, fleet: &mut Fleet) {
        let leader = fleet.leader().map(|leader| leader.name.clone()).unwrap_or_default();
        let leads = |process: &Process| process.name == leader;
        match self {
            Self::Nothing => {}
            Self::Leader => fleet.power_off(leads),
            Self::LeaderCutOff => {
                let leader = fleet.leader().expect("somebody leads");
                leader.connection.way.set(Way::Silent);
            }
            Self::ThirdOfAmple => {
                let hit = |process: &Process| {
                    process.role == Role::AmpleEntry && !leads(process) && third(&process.name)
                };
                fleet.power_off(hit);
            }
            Self::AllInner => {
                let inner = fleet.inner();
                fleet.power_off(|process| inner.contains(&process.name));
            }
            Self::HalfTurnedAway => {
                let others = fleet.entries().filter(|entry| !leads(entry)).step_by(2);
                others.for_each(|entry| entry.connection.way.set(Way::Refused));
            }
        }
    }
}

fn third(name: &str) -> bool {
    name.bytes().map(usize::from).sum::<usize>() % 3 == 0
}

/// A configuration that is written as something fails is in force everywhere in time.
#[rstest]
#[case::nothing(Failure::Nothing)]
#[case::leader(Failure::Leader)]
#[case::leader_cut_off(Failure::LeaderCutOff)]
#[case::third_of_ample(Failure::ThirdOfAmple)]
#[case::all_inner(Failure::AllInner)]
#[case::half_turned_away(Failure::HalfTurnedAway)]
fn configuration_in_force_in_time(#[case] failure: Failure) {
    time::run(async move {
        let mut fleet = Fleet::start(SIZE).await;
        sleep(REST).await;
        failure.strike(&mut fleet);
        for version in 1..=4 {
            fleet.publish(version, CONFIGURATION);
            let spread = fleet.until(REST, |fleet| fleet.has_configuration(version)).await;
            assert!(spread.is_some_and(|time| time < IN_FORCE), "version {version}: {spread:?}");
            sleep(Duration::from_millis(333)).await;
        }
    });
}

/// Callers are answered all the while: what entries know of the operators' orders stays young enough.
#[rstest]
#[case::nothing(Failure::Nothing)]
#[case::leader(Failure::Leader)]
#[case::leader_cut_off(Failure::LeaderCutOff)]
#[case::third_of_ample(Failure::ThirdOfAmple)]
#[case::all_inner(Failure::AllInner)]
#[case::half_turned_away(Failure::HalfTurnedAway)]
fn orders_known_well_enough(#[case] failure: Failure) {
    time::run(async move {
        let mut fleet = Fleet::start(SIZE).await;
        sleep(REST).await;
        failure.strike(&mut fleet);
        let mut oldest = Duration::ZERO;
        for _ in 0..400 {
            sleep(Duration::from_millis(20)).await;
            oldest = oldest.max(fleet.oldest_orders());
        }
        assert!(oldest < OLDEST_ORDERS, "{oldest:?}");
    });
}

/// While nothing fails, every view of the state is young enough to say that a job is unknown.
#[test]
fn state_known_well_enough() {
    time::run(async {
        let fleet = Fleet::start(SIZE).await;
        sleep(REST).await;
        for _ in 0..200 {
            sleep(Duration::from_millis(20)).await;
            let oldest = fleet.oldest_table();
            assert!(oldest < OLDEST_STATE, "{oldest:?}");
        }
    });
}
