//! Appends that a process batches for others, and reads only after it was suspended.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::job::NodeName;
use rampbay_jobs::record::{KeyedRecord, STATE_TOPIC};
use rampbay_jobs::store::{
    AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store,
};
use rampbay_peer::group::GroupStore;
use rampbay_peer::protocol::StoreRequest;
use rampbay_peer::server::{ServerState, serve};
use rampbay_peer::service::{FollowedTopics, PeerService, handler};
use rstest::rstest;
use tokio::sync::{Notify, watch};

/// Time in which a server on the same machine handles what it was sent.
const HANDLING_TIME: Duration = Duration::from_millis(300);

/// A store that records what is appended, and may delay an append.
#[derive(Default)]
struct RecordingStore {
    keys: RefCell<Vec<String>>,
    delays: Cell<bool>,
    released: Notify,
}

#[async_trait(?Send)]
impl Store for RecordingStore {
    async fn append(
        &self,
        _: &str,
        records: &[KeyedRecord],
        _: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        self.keys.borrow_mut().extend(records.iter().map(|record| record.key.clone()));
        if self.delays.get() {
            self.released.notified().await;
        }
        Ok(self.keys.borrow().len() as Offset)
    }

    async fn read(&self, _: &str, _: Offset, _: Duration) -> Result<Batch, ReadError> {
        Err(ReadError::Unavailable)
    }

    async fn newest(&self, _: &str) -> Result<Snapshot, ReadError> {
        Err(ReadError::Unavailable)
    }

    async fn stand_for_election(&self, _: &str, _: u64) -> Result<Candidacy, ReadError> {
        Err(ReadError::Unavailable)
    }

    async fn resign(&self, _: &str) {}

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        Err(ReadError::Unavailable)
    }
}

/// Sends an append to be batched. The connection stays open until the returned stream is dropped.
fn send(address: SocketAddr, key: &str) -> TcpStream {
    let record = KeyedRecord { key: key.to_owned(), value: vec![1] };
    let request = StoreRequest::Gather { topic: STATE_TOPIC.to_owned(), records: vec![record] };
    let body = postcard::to_allocvec(&request).expect("a request");
    let head = format!(
        "POST /peer/store HTTP/1.1\r\nhost: peer\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut connection = TcpStream::connect(address).expect("a connection");
    connection.write_all(head.as_bytes()).expect("sent");
    connection.write_all(&body).expect("sent");
    connection
}

/// Runs a test with a process that batches appends to a store.
fn with_gateway<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr, Rc<RecordingStore>) -> F) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = free.local_addr().expect("an address");
        drop(free);
        let store = Rc::new(RecordingStore::default());
        let shared_store: Rc<dyn Store> = store.clone();
        let batching: Rc<dyn Store> = Rc::new(GroupStore::new(Rc::clone(&shared_store)));
        let served = PeerService {
            direct: shared_store,
            batching,
            followed: FollowedTopics::new(),
            reports: None,
            snapshots: None,
        };
        let never = watch::channel(ServerState::Open);
        tokio::select! {
            served = serve(address, 1 << 20, handler(served), never.1) => {
                panic!("the gateway's server ended: {served:?}")
            }
            () = async {
                // The server listens once it has been polled.
                tokio::time::sleep(HANDLING_TIME).await;
                test(address, store).await;
            } => {}
        }
    });
}

#[test]
fn gather_connected_caller_appended() {
    with_gateway(async |address, store| {
        let _connection = send(address, "there");
        tokio::time::sleep(HANDLING_TIME).await;
        assert_eq!(*store.keys.borrow(), ["there"]);
    });
}

/// A process that was suspended finds calls of agents that have used another path in the meantime.
/// If it made these appends now, they would come after the newer records of the same agents.
#[rstest]
#[case::one(1)]
#[case::many(60)]
fn gather_disconnected_callers_skipped(#[case] count: usize) {
    with_gateway(async move |address, store| {
        // The server runs on this thread as well: it finds the calls and their ends at the same
        // time.
        (0..count).for_each(|_| drop(send(address, "gone")));
        tokio::time::sleep(HANDLING_TIME).await;
        assert!(store.keys.borrow().is_empty(), "{:?}", store.keys.borrow());
    });
}

/// As above, behind an append that was in progress when the process was suspended.
#[test]
fn gather_disconnected_caller_behind_another_skipped() {
    with_gateway(async |address, store| {
        store.delays.set(true);
        let _first = send(address, "first");
        tokio::time::sleep(HANDLING_TIME).await;
        let second = send(address, "second");
        tokio::time::sleep(HANDLING_TIME).await;
        drop(second);
        store.released.notify_one();
        store.delays.set(false);
        tokio::time::sleep(HANDLING_TIME).await;
        assert_eq!(*store.keys.borrow(), ["first"]);
    });
}
