//! Appends that a process gathers for others, and finds only after a stop.

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
use rampbay_peer::service::{Followed, PeerService, handler};
use rstest::rstest;
use tokio::sync::{Notify, watch};

/// Time in which a server on the same machine has done what it was sent.
const DONE: Duration = Duration::from_millis(300);

/// A store that notes what is appended, and may hold an append back.
#[derive(Default)]
struct NotingStore {
    keys: RefCell<Vec<String>>,
    holds: Cell<bool>,
    released: Notify,
}

#[async_trait(?Send)]
impl Store for NotingStore {
    async fn append(
        &self,
        _: &str,
        records: &[KeyedRecord],
        _: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        self.keys.borrow_mut().extend(records.iter().map(|record| record.key.clone()));
        if self.holds.get() {
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

/// Sends an append to be gathered. The connection stays open until it is dropped.
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

/// Runs a test beside a process that gathers appends for a store.
fn beside_gateway<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr, Rc<NotingStore>) -> F) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = free.local_addr().expect("an address");
        drop(free);
        let store = Rc::new(NotingStore::default());
        let shared: Rc<dyn Store> = store.clone();
        let gathers: Rc<dyn Store> = Rc::new(GroupStore::new(Rc::clone(&shared)));
        let served = PeerService {
            direct: shared,
            gathers,
            followed: Followed::new(),
            reports: None,
            snapshots: None,
        };
        let never = watch::channel(ServerState::Open);
        tokio::select! {
            served = serve(address, 1 << 20, handler(served), never.1) => {
                panic!("the gateway serves: {served:?}")
            }
            () = async {
                // The server listens once it has been polled.
                tokio::time::sleep(DONE).await;
                test(address, store).await;
            } => {}
        }
    });
}

#[test]
fn gather_caller_there_appended() {
    beside_gateway(async |address, store| {
        let _connection = send(address, "there");
        tokio::time::sleep(DONE).await;
        assert_eq!(*store.keys.borrow(), ["there"]);
    });
}

/// A process that was stopped finds calls of agents that have long gone past it: done now, they would land
/// after what these agents have written since.
#[rstest]
#[case::one(1)]
#[case::many(60)]
fn gather_callers_gone_left_out(#[case] count: usize) {
    beside_gateway(async move |address, store| {
        // This thread is the server's as well: it finds the calls and their ends at once.
        (0..count).for_each(|_| drop(send(address, "gone")));
        tokio::time::sleep(DONE).await;
        assert!(store.keys.borrow().is_empty(), "{:?}", store.keys.borrow());
    });
}

/// The same behind an append that was under way when the process was stopped.
#[test]
fn gather_caller_gone_behind_another_left_out() {
    beside_gateway(async |address, store| {
        store.holds.set(true);
        let _first = send(address, "first");
        tokio::time::sleep(DONE).await;
        let second = send(address, "second");
        tokio::time::sleep(DONE).await;
        drop(second);
        store.released.notify_one();
        store.holds.set(false);
        tokio::time::sleep(DONE).await;
        assert_eq!(*store.keys.borrow(), ["first"]);
    });
}
