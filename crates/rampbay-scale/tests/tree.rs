//! How recent the operators' orders are at the entries, which pass them down a tree, when parts of the tree fail.

use std::time::Duration;

use rampbay_scale::connection::StoreAccess;
use rampbay_scale::fleet::Fleet;
use rampbay_scale::load::Role;
use rampbay_scale::machine::Size;
use rampbay_scale::process::Process;
use rampbay_scale::time;
use rstest::rstest;
use tokio::time::sleep;

/// A fleet with inner and outer entries, and small ones below them.
const SIZE: Size = Size { well_provisioned: 40, small: 24, agents: 24 };
/// Time after which a fleet has settled.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Maximum time until a configuration takes effect everywhere, on the deployments with the tightest limit.
const MAX_CONFIGURATION_DELAY: Duration = Duration::from_millis(2000);
/// Age of the orders from which on an entry answers no calls (0.55 of the 5 s after which a key is refused).
const MAX_ORDERS_AGE: Duration = Duration::from_millis(2750);
/// Age of the state from which on a job isn't reported as unknown (half of the 3 s after which it must be known).
const MAX_STATE_AGE: Duration = Duration::from_millis(1500);
/// Size of a configuration, in bytes.
const CONFIGURATION_BYTES: usize = 16_000;

/// The part of the fleet that fails.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// Nothing.
    Nothing,
    /// The leader loses power.
    Leader,
    /// The store is silent to the leader, which still serves its peers.
    LeaderCutOff,
    /// A third of the well-provisioned entries lose power.
    ThirdOfWellProvisioned,
    /// All inner entries, which the leader serves, lose power.
    AllInner,
    /// The store refuses the calls of half of the entries.
    HalfRefused,
}

impl Failure {
    fn inject(self, fleet: &mut Fleet) {
        let leader = fleet.leader().map(|leader| leader.name.clone()).unwrap_or_default();
        let leads = |process: &Process| process.name == leader;
        match self {
            Self::Nothing => {}
            Self::Leader => fleet.power_off(leads),
            Self::LeaderCutOff => {
                let leader = fleet.leader().expect("a leader");
                leader.connection.access.set(StoreAccess::Silent);
            }
            Self::ThirdOfWellProvisioned => {
                let hit = |process: &Process| {
                    process.role == Role::WellProvisionedEntry
                        && !leads(process)
                        && is_in_third(&process.name)
                };
                fleet.power_off(hit);
            }
            Self::AllInner => {
                let inner = fleet.inner();
                fleet.power_off(|process| inner.contains(&process.name));
            }
            Self::HalfRefused => {
                let others = fleet.entries().filter(|entry| !leads(entry)).step_by(2);
                others.for_each(|entry| entry.connection.access.set(StoreAccess::Refused));
            }
        }
    }
}

fn is_in_third(name: &str) -> bool {
    name.bytes().map(usize::from).sum::<usize>() % 3 == 0
}

/// A configuration that is written at the time of a failure takes effect everywhere in time.
#[rstest]
#[case::nothing(Failure::Nothing)]
#[case::leader(Failure::Leader)]
#[case::leader_cut_off(Failure::LeaderCutOff)]
#[case::third_of_well_provisioned(Failure::ThirdOfWellProvisioned)]
#[case::all_inner(Failure::AllInner)]
#[case::half_refused(Failure::HalfRefused)]
fn configuration_in_force_in_time(#[case] failure: Failure) {
    time::run(async move {
        let mut fleet = Fleet::start(SIZE).await;
        sleep(SETTLE_TIME).await;
        failure.inject(&mut fleet);
        for version in 1..=4 {
            fleet.publish(version, CONFIGURATION_BYTES);
            let spread =
                fleet.wait_until(SETTLE_TIME, |fleet| fleet.has_configuration(version)).await;
            assert!(
                spread.is_some_and(|time| time < MAX_CONFIGURATION_DELAY),
                "version {version}: {spread:?}"
            );
            sleep(Duration::from_millis(333)).await;
        }
    });
}

/// Callers are answered all the time: the entries' view of the operators' orders stays recent enough.
#[rstest]
#[case::nothing(Failure::Nothing)]
#[case::leader(Failure::Leader)]
#[case::leader_cut_off(Failure::LeaderCutOff)]
#[case::third_of_well_provisioned(Failure::ThirdOfWellProvisioned)]
#[case::all_inner(Failure::AllInner)]
#[case::half_refused(Failure::HalfRefused)]
fn orders_recent_enough(#[case] failure: Failure) {
    time::run(async move {
        let mut fleet = Fleet::start(SIZE).await;
        sleep(SETTLE_TIME).await;
        failure.inject(&mut fleet);
        let mut oldest = Duration::ZERO;
        for _ in 0..400 {
            sleep(Duration::from_millis(20)).await;
            oldest = oldest.max(fleet.oldest_orders_age());
        }
        assert!(oldest < MAX_ORDERS_AGE, "{oldest:?}");
    });
}

/// While nothing fails, every view of the state is recent enough to report a job as unknown.
#[test]
fn state_recent_enough() {
    time::run(async {
        let fleet = Fleet::start(SIZE).await;
        sleep(SETTLE_TIME).await;
        for _ in 0..200 {
            sleep(Duration::from_millis(20)).await;
            let oldest = fleet.oldest_table_age();
            assert!(oldest < MAX_STATE_AGE, "{oldest:?}");
        }
    });
}
