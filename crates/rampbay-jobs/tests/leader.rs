//! Who leads: processes with room, and others only while nobody else does.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::candidacy::Successors;
use support::leader::start_leader;
use support::store::{MemoryStore, Trouble};
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
impl Successors for Peer {
    async fn any_answers(&self) -> bool {
        self.answers.get()
    }
}

fn start(
    store: &Rc<MemoryStore>,
    node: &str,
    successors: Option<Rc<dyn Successors>>,
) -> JoinHandle<()> {
    start_leader(store, node, node.len() as u64, successors)
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
        start(&store, SMALL, Some(Rc::clone(&peer) as Rc<dyn Successors>));
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

/// A store that is away doesn't say that nobody leads.
#[test]
fn small_process_doesnt_stand_while_store_is_away() {
    on_virtual_time(async {
        let store = MemoryStore::new();
        let peer = Rc::new(Peer { answers: Cell::new(false) });
        let ample = start(&store, AMPLE, None);
        start(&store, SMALL, Some(peer));
        sleep(Duration::from_secs(2)).await;
        store.trouble.set(Trouble::Refuses);
        sleep(Duration::from_secs(6)).await;
        store.trouble.set(Trouble::None);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(holder(&store).as_deref(), Some(AMPLE));
        ample.abort();
        store.leader.borrow_mut().take();
        sleep(Duration::from_secs(3)).await;
        assert_eq!(holder(&store).as_deref(), Some(SMALL));
    });
}
