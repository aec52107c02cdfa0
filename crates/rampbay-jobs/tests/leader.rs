//! Who leads: processes with room, and others only while nobody else does.

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
use support::{on_virtual_time, table_of};
use tokio::task::JoinHandle;
use tokio::time::sleep;

const SMALL: &str = "entry-small";
const AMPLE: &str = "entry-ample";

/// An ample process that answers or doesn't.
struct Peer {
    answers: Cell<bool>,
}

#[async_trait(?Send)]
impl PreferredLeaders for Peer {
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
    on_virtual_time(async {
        let store = MemoryStore::new();
        let peer = Rc::new(Peer { answers: Cell::new(false) });
        start(&store, SMALL, Some(peer));
        sleep(Duration::from_millis(1500)).await;
        assert_eq!(holder(&store), None, "one answer isn't enough");
        sleep(Duration::from_millis(1500)).await;
        assert_eq!(holder(&store).as_deref(), Some(SMALL));
        assert_eq!(table_of(&store).leader.node, SMALL);
    });
}

#[test]
fn small_process_leaves_leadership_to_ample_one() {
    on_virtual_time(async {
        let store = MemoryStore::new();
        let peer = Rc::new(Peer { answers: Cell::new(true) });
        start(&store, SMALL, Some(peer));
        start(&store, AMPLE, None);
        sleep(Duration::from_secs(10)).await;
        assert_eq!(holder(&store).as_deref(), Some(AMPLE));
        assert_eq!(table_of(&store).leader.node, AMPLE);
    });
}

#[test]
fn small_process_hands_over_once_ample_one_answers() {
    on_virtual_time(async {
        let store = MemoryStore::new();
        let peer = Rc::new(Peer { answers: Cell::new(false) });
        start(&store, SMALL, Some(Rc::clone(&peer) as Rc<dyn PreferredLeaders>));
        sleep(Duration::from_secs(5)).await;
        assert_eq!(holder(&store).as_deref(), Some(SMALL));
        start(&store, AMPLE, None);
        sleep(Duration::from_secs(5)).await;
        assert_eq!(holder(&store).as_deref(), Some(SMALL), "nobody has answered it yet");
        peer.answers.set(true);
        sleep(Duration::from_secs(5)).await;
        assert_eq!(holder(&store).as_deref(), Some(AMPLE));
        assert_eq!(table_of(&store).leader.node, AMPLE);
    });
}

/// Seen on the bench: the store dealt the group anew when an ample process joined, and a leader that
/// worked lost its place in the middle of a burst.
#[test]
fn ample_process_that_starts_leaves_leader_in_place() {
    on_virtual_time(async {
        let store = MemoryStore::new();
        store.elects_newcomers.set(true);
        start(&store, AMPLE, None);
        sleep(Duration::from_secs(2)).await;
        let epoch = table_of(&store).leader.epoch;
        start(&store, "entry-second", None);
        start(&store, "entry-third-", None);
        sleep(Duration::from_secs(5)).await;
        assert_eq!(holder(&store).as_deref(), Some(AMPLE));
        assert_eq!(table_of(&store).leader.epoch, epoch, "nobody else has led meanwhile");
    });
}

/// Leadership that lapses is taken up within one interval between two questions, and a call.
#[test]
fn lapsed_leadership_taken_up_soon() {
    on_virtual_time(async {
        let store = MemoryStore::new();
        let first = start(&store, AMPLE, None);
        sleep(Duration::from_secs(2)).await;
        start(&store, "entry-second", None);
        sleep(Duration::from_secs(2)).await;
        first.abort();
        store.leader.borrow_mut().take();
        sleep(Duration::from_millis(400)).await;
        assert_eq!(holder(&store).as_deref(), Some("entry-second"));
    });
}

/// Seen on the bench: the store was silent to the leader; another took over, and lost its place half a
/// second later to the first one's join, which had hung.
#[test]
fn join_that_hangs_takes_nothing_back() {
    on_virtual_time(async {
        let store = MemoryStore::new();
        store.elects_newcomers.set(true);
        start(&store, AMPLE, None);
        sleep(Duration::from_secs(2)).await;
        start(&store, "entry-second", None);
        sleep(Duration::from_secs(1)).await;
        AMPLE.clone_into(&mut store.hanging_candidate.borrow_mut());
        sleep(Duration::from_millis(500)).await;
        store.expire_leader();
        sleep(Duration::from_secs(1)).await;
        let epoch = table_of(&store).leader.epoch;
        assert_eq!(holder(&store).as_deref(), Some("entry-second"));
        sleep(Duration::from_secs(6)).await;
        assert_eq!(holder(&store).as_deref(), Some("entry-second"));
        assert_eq!(table_of(&store).leader.epoch, epoch, "it has led all the while");
    });
}

/// Processes that join at the same moment settle on one; the others leave the group.
#[test]
fn processes_that_start_together_settle_on_one() {
    on_virtual_time(async {
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

/// A store that is away doesn't say that nobody leads.
#[test]
fn small_process_doesnt_stand_while_store_is_away() {
    on_virtual_time(async {
        let store = MemoryStore::new();
        let peer = Rc::new(Peer { answers: Cell::new(false) });
        let ample = start(&store, AMPLE, None);
        start(&store, SMALL, Some(peer));
        sleep(Duration::from_secs(2)).await;
        store.fault.set(StoreFault::Refuses);
        sleep(Duration::from_secs(6)).await;
        store.fault.set(StoreFault::None);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(holder(&store).as_deref(), Some(AMPLE));
        ample.abort();
        store.leader.borrow_mut().take();
        sleep(Duration::from_secs(3)).await;
        assert_eq!(holder(&store).as_deref(), Some(SMALL));
    });
}

/// Two processes whose salts agree in their low bits, the second of which hasn't read the first one's term
/// yet: under one epoch the store would take the second's first decisions for repeats of the first's.
#[test]
fn epochs_of_two_processes_differ() {
    on_virtual_time(async {
        let store = MemoryStore::new();
        let before = Leader { node: "entry-before".to_owned(), epoch: 9 << 20 };
        store.put(&Record::Leader(before.clone()));
        let deal = |node: &str, generation| {
            *store.leader.borrow_mut() = Some((node.to_owned(), generation));
        };
        deal(&before.node, 1);
        start_leader(&store, "entry-1", 1, None);
        start_leader(&store, "entry-2", 1 + (1 << 12), None);
        sleep(Duration::from_secs(1)).await;
        store.read_delay.set(Duration::from_secs(2));
        deal("entry-1", 2);
        sleep(Duration::from_millis(500)).await;
        deal("entry-2", 3);
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

/// Time from its start until a process that finds itself in charge has said so in the state: to read the state, and two
/// calls.
const LEADS_AGAIN: Duration = Duration::from_millis(100);

/// All machines lose power, and the leader's is back before its place has lapsed, so that its generation is the one from
/// before. It took its epoch before it had read the state: where that was below its last one, callers waited for a third of
/// a second, or two, until it tried again.
#[rstest]
#[case::of_lower_salt(2, 1)]
#[case::of_higher_salt(1, 2)]
fn leader_that_starts_again_takes_its_epoch_from_the_state(#[case] salt: u64, #[case] next: u64) {
    on_virtual_time(async move {
        let store = MemoryStore::new();
        let first = start_leader(&store, AMPLE, salt, None);
        sleep(Duration::from_secs(2)).await;
        first.abort();
        let before = table_of(&store).leader.epoch;
        store.read_delay.set(Duration::from_millis(30));
        start_leader(&store, AMPLE, next, None);
        sleep(LEADS_AGAIN).await;
        let epoch = table_of(&store).leader.epoch;
        assert!(epoch > before, "it doesn't lead after {LEADS_AGAIN:?}");
        assert_eq!(
            epoch >> 20,
            (before >> 20) + 1,
            "the term that follows on the one in the state"
        );
    });
}
