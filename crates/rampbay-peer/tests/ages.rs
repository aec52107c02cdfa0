//! How current a peer's answer is: that is computed from the wait that was sent to the peer, never
//! from the wait that the reader asked for.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use rampbay_jobs::record::{KeyedRecord, STATE_TOPIC};
use rampbay_jobs::store::{Batch, Offset, Store};
use rampbay_peer::client::HttpClient;
use rampbay_peer::peer::PeerStore;
use rampbay_peer::protocol::{StoreReply, StoreRequest};
use rampbay_peer::server::{Handler, HttpResponse, ServerState, serve};
use rampbay_peer::tail::{Sources, TailStore};
use rampbay_peer::transport::Transport;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Wait that the reader asks for.
const REQUESTED_WAIT: Duration = Duration::from_millis(1000);
/// Longest wait at a peer that passes records on.
const PEER_WAIT: Duration = Duration::from_millis(400);

/// How a peer answers reads.
#[derive(Clone, Copy, Debug)]
struct Script {
    /// Whether it waits as long as it is asked to, or not at all.
    waits: bool,
    /// How many records it answers with.
    records: Offset,
    /// The age of its view according to its answer.
    age: Duration,
}

/// A peer without new records that waits as it is asked to and whose view is current.
const CURRENT: Script = Script { waits: true, records: 0, age: Duration::ZERO };

fn handler(script: Script) -> Handler {
    Rc::new(move |received| {
        Box::pin(async move {
            let request = postcard::from_bytes(&received.body).expect("a request");
            let (StoreRequest::Tail { from, wait_ms, .. }
            | StoreRequest::Read { from, wait_ms, .. }) = request
            else {
                return HttpResponse::status(StatusCode::BAD_REQUEST);
            };
            if script.waits {
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            }
            let record = KeyedRecord { key: "a".to_owned(), value: vec![1] };
            let next = from + script.records;
            let records = vec![record; script.records as usize];
            let batch = Batch { end: next, next, records, age: script.age, ..Batch::default() };
            let body = postcard::to_allocvec(&StoreReply::Read(Ok(batch))).expect("a reply");
            HttpResponse::with_body(StatusCode::OK, "application/octet-stream", body)
        })
    })
}

/// Serves as a peer until the runtime ends.
async fn peer(script: Script) -> PeerStore {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    drop(listener);
    let (closing, state) = watch::channel(ServerState::Open);
    tokio::task::spawn_local(async move {
        let _closing = closing;
        serve(address, 1 << 20, handler(script), state).await.expect("a server");
    });
    tokio::task::yield_now().await;
    PeerStore::new(Rc::new(HttpClient::default()), address.to_string())
}

/// Creates a store that reads the state through peers, without a reachable store behind it.
fn tail_of(peers: Vec<PeerStore>) -> TailStore {
    let addresses: Vec<String> = peers.iter().map(|peer| peer.address().to_owned()).collect();
    let transport: Rc<dyn Transport> = Rc::new(HttpClient::default());
    let sources = move || {
        let peers = addresses.iter();
        let peers = peers.map(|address| PeerStore::new(Rc::clone(&transport), address.clone()));
        Sources { peers: peers.collect(), is_root: false }
    };
    let unreachable = PeerStore::new(Rc::new(HttpClient::default()), "127.0.0.1:1".to_owned());
    TailStore::new(Rc::new(unreachable), STATE_TOPIC, Box::new(sources))
}

fn run_on_loopback<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Reads like a follower, which tries again after a failed read.
async fn read_until_answered(store: &dyn Store, wait: Duration) -> Batch {
    loop {
        if let Ok(batch) = store.read(STATE_TOPIC, 7, wait).await {
            return batch;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[rstest]
#[case::after_its_wait(CURRENT, PEER_WAIT)]
#[case::with_record(Script { records: 1, ..CURRENT }, Duration::ZERO)]
fn tail_waited(#[case] script: Script, #[case] expected: Duration) {
    run_on_loopback(async move {
        let store = tail_of(vec![peer(script).await]);
        assert_eq!(read_until_answered(&store, REQUESTED_WAIT).await.waited, expected);
    });
}

/// The second peer is asked after the first one: its answer counts its own wait only, not both
/// waits together.
#[test]
fn tail_of_second_peer_waited() {
    run_on_loopback(async {
        let stale = Script { age: Duration::from_secs(3), ..CURRENT };
        let store = tail_of(vec![peer(stale).await, peer(CURRENT).await]);
        let batch = read_until_answered(&store, REQUESTED_WAIT).await;
        assert_eq!((batch.age, batch.waited), (Duration::ZERO, PEER_WAIT));
    });
}

#[rstest]
#[case::after_its_wait(CURRENT, 200, 200)]
#[case::empty_at_once(Script { waits: false, ..CURRENT }, 5000, 0)]
fn read_of_peer_waited(#[case] script: Script, #[case] asked_ms: u64, #[case] expected_ms: u64) {
    run_on_loopback(async move {
        let store = peer(script).await;
        // Only whole milliseconds are sent.
        let asked = Duration::from_millis(asked_ms) + Duration::from_micros(900);
        let waited = read_until_answered(&store, asked).await.waited;
        assert_eq!(waited, Duration::from_millis(expected_ms));
    });
}
