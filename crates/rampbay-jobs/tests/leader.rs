//! Leader election: well-provisioned processes lead, and small ones only while no other does.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::candidacy::PreferredLeaders;
use rampbay_jobs::record::{Leader, Record, STATE_TOPIC};
use rstest::rstest;
use support::leader::start_leader;
use support::store::{MemoryStore, StoreFault};
use support::{run_in_virtual_time, table_of};
use tokio::task::JoinHandle;
use tokio::time::sleep;

const SMALL: &str = "entry-small";
const WELL_PROVISIONED: &str = "entry-ample";

/// The well-provisioned processes, which answer or don't.
struct WellProvisionedPeers {
    answers: Cell<bool>,
}

#[async_trait(?Send)]
impl PreferredLeaders for WellProvisionedPeers {
    async fn any_reachable(&self) -> bool {
        self.answers.get()
    }
}

fn start(
    store: &Rc<MemoryStore>,
    node: &str,
    preferred_leaders: Option<Rc<dyn PreferredLeaders>>,
) -> JoinHandle<()> {
    start_leader(store, node, node.len() as u64, preferred_leaders)
}

fn holder(store: &MemoryStore) -> Option<String> {
    store.leader.borrow().as_ref().map(|(name, _)| name.clone())
}

#[test]
fn small_process_leads_where_nobody_does() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let peer = Rc::new(WellProvisionedPeers { answers: Cell::new(false) });
        start(&store, SMALL, Some(peer));
        sleep(Duration::from_millis(1500)).await;
        assert_eq!(holder(&store), None, "one answer isn't enough");
        sleep(Duration::from_millis(1500)).await;
        assert_eq!(holder(&store).as_deref(), Some(SMALL));
        assert_eq!(table_of(&store).leader.node, SMALL);
    });
}

#[test]
fn small_process_leaves_leadership_to_well_provisioned_one() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let peer = Rc::new(WellProvisionedPeers { answers: Cell::new(true) });
        start(&store, SMALL, Some(peer));
        start(&store, WELL_PROVISIONED, None);
        sleep(Duration::from_secs(10)).await;
        assert_eq!(holder(&store).as_deref(), Some(WELL_PROVISIONED));
        assert_eq!(table_of(&store).leader.node, WELL_PROVISIONED);
    });
}

#[test]
fn small_process_hands_over_once_well_provisioned_one_answers() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let peer = Rc::new(WellProvisionedPeers { answers: Cell::new(false) });
        start(&store, SMALL, Some(Rc::clone(&peer) as Rc<dyn PreferredLeaders>));
        sleep(Duration::from_secs(5)).await;
        assert_eq!(holder(&store).as_deref(), Some(SMALL));
        start(&store, WELL_PROVISIONED, None);
        sleep(Duration::from_secs(5)).await;
        assert_eq!(
            holder(&store).as_deref(),
            Some(SMALL),
            "no well-provisioned process has answered it yet"
        );
        peer.answers.set(true);
        sleep(Duration::from_secs(5)).await;
        assert_eq!(holder(&store).as_deref(), Some(WELL_PROVISIONED));
        assert_eq!(table_of(&store).leader.node, WELL_PROVISIONED);
    });
}

/// Regression: the store reassigned the group when a well-provisioned process joined, and a working
/// leader lost leadership in the middle of a burst.
#[test]
fn well_provisioned_process_that_starts_leaves_leader_in_place() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        store.elects_newcomers.set(true);
        start(&store, WELL_PROVISIONED, None);
        sleep(Duration::from_secs(2)).await;
        let epoch = table_of(&store).leader.epoch;
        start(&store, "entry-second", None);
        start(&store, "entry-third-", None);
        sleep(Duration::from_secs(5)).await;
        assert_eq!(holder(&store).as_deref(), Some(WELL_PROVISIONED));
        assert_eq!(table_of(&store).leader.epoch, epoch, "nobody else has led meanwhile");
    });
}

/// Expired leadership is taken over within one polling interval and a call.
#[test]
fn expired_leadership_taken_over_soon() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let first = start(&store, WELL_PROVISIONED, None);
        sleep(Duration::from_secs(2)).await;
        start(&store, "entry-second", None);
        sleep(Duration::from_secs(2)).await;
        first.abort();
        store.leader.borrow_mut().take();
        sleep(Duration::from_millis(400)).await;
        assert_eq!(holder(&store).as_deref(), Some("entry-second"));
    });
}

/// Regression: the store didn't answer the leader, and another process took over. Half a second
/// later it lost leadership to a hanging join of the first one.
#[test]
fn hanging_join_doesnt_take_leadership_back() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        store.elects_newcomers.set(true);
        start(&store, WELL_PROVISIONED, None);
        sleep(Duration::from_secs(2)).await;
        start(&store, "entry-second", None);
        sleep(Duration::from_secs(1)).await;
        WELL_PROVISIONED.clone_into(&mut store.hanging_candidate.borrow_mut());
        sleep(Duration::from_millis(500)).await;
        store.expire_leader();
        sleep(Duration::from_secs(1)).await;
        let epoch = table_of(&store).leader.epoch;
        assert_eq!(holder(&store).as_deref(), Some("entry-second"));
        sleep(Duration::from_secs(6)).await;
        assert_eq!(holder(&store).as_deref(), Some("entry-second"));
        assert_eq!(table_of(&store).leader.epoch, epoch, "it has led without a break");
    });
}

/// Processes that join at the same time settle on one leader; the others leave the group.
#[test]
fn processes_that_start_together_settle_on_one() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        store.elects_newcomers.set(true);
        for index in 0..5 {
            start(&store, &format!("entry-{}", "x".repeat(index + 1)), None);
        }
        sleep(Duration::from_secs(2)).await;
        let settled = table_of(&store).leader;
        sleep(Duration::from_secs(10)).await;
        assert_eq!(table_of(&store).leader, settled);
        assert_eq!(holder(&store), Some(settled.node));
    });
}

/// An unavailable store doesn't mean that nobody leads.
#[test]
fn small_process_doesnt_stand_for_election_while_store_is_unavailable() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let peer = Rc::new(WellProvisionedPeers { answers: Cell::new(false) });
        let well_provisioned = start(&store, WELL_PROVISIONED, None);
        start(&store, SMALL, Some(peer));
        sleep(Duration::from_secs(2)).await;
        store.fault.set(StoreFault::Refuses);
        sleep(Duration::from_secs(6)).await;
        store.fault.set(StoreFault::None);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(holder(&store).as_deref(), Some(WELL_PROVISIONED));
        well_provisioned.abort();
        store.leader.borrow_mut().take();
        sleep(Duration::from_secs(3)).await;
        assert_eq!(holder(&store).as_deref(), Some(SMALL));
    });
}

/// The salts of two processes agree in their low bits, and the second process hasn't read the first
/// one's term yet. Under equal epochs the store would take the second's first decisions for retries
/// of the first's.
#[test]
fn epochs_of_two_processes_differ() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let before = Leader { node: "entry-before".to_owned(), epoch: 9 << 20 };
        store.put(&Record::Leader(before.clone()));
        let assign_leadership = |node: &str, generation| {
            *store.leader.borrow_mut() = Some((node.to_owned(), generation));
        };
        assign_leadership(&before.node, 1);
        start_leader(&store, "entry-1", 1, None);
        start_leader(&store, "entry-2", 1 + (1 << 12), None);
        sleep(Duration::from_secs(1)).await;
        store.read_delay.set(Duration::from_secs(2));
        assign_leadership("entry-1", 2);
        sleep(Duration::from_millis(500)).await;
        assign_leadership("entry-2", 3);
        sleep(Duration::from_millis(500)).await;
        let records = store.all(STATE_TOPIC);
        let leaders = records.iter().map(|record| Record::decode(record).expect("a record"));
        let epochs = leaders.map(|leader| match leader {
            Record::Leader(leader) => (leader.node, leader.epoch),
            other => panic!("a record of who leads: {other:?}"),
        });
        let epochs: Vec<(String, u64)> = epochs.collect();
        let names: Vec<&str> = epochs.iter().map(|(node, _)| node.as_str()).collect();
        assert_eq!(names, ["entry-before", "entry-1", "entry-2"]);
        assert_ne!(epochs[1].1, epochs[2].1);
    });
}

/// Time in which a restarted leader writes its new term to the state: to read the state, and two
/// calls.
const LEADS_AGAIN_WITHIN: Duration = Duration::from_millis(100);

/// Regression: all machines lose power, and the leader's machine is back before its membership has
/// expired, so its generation is the same as before. It took its epoch before it had read the
/// state; an epoch below its last one kept callers waiting for a third of a second or two until it
/// tried again.
#[rstest]
#[case::of_lower_salt(2, 1)]
#[case::of_higher_salt(1, 2)]
fn leader_that_starts_again_takes_its_epoch_from_the_state(#[case] salt: u64, #[case] next: u64) {
    run_in_virtual_time(async move {
        let store = MemoryStore::new();
        let first = start_leader(&store, WELL_PROVISIONED, salt, None);
        sleep(Duration::from_secs(2)).await;
        first.abort();
        let before = table_of(&store).leader.epoch;
        store.read_delay.set(Duration::from_millis(30));
        start_leader(&store, WELL_PROVISIONED, next, None);
        sleep(LEADS_AGAIN_WITHIN).await;
        let epoch = table_of(&store).leader.epoch;
        assert!(epoch > before, "it doesn't lead after {LEADS_AGAIN_WITHIN:?}");
        assert_eq!(
            epoch >> 20,
            (before >> 20) + 1,
            "the term that follows on the one in the state"
        );
    });
}
