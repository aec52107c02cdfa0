//! What an answer of a peer proves: by the wait that was sent to it, never by the one that was asked for.

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

/// Wait that a reader asks for.
const ASKED: Duration = Duration::from_millis(1000);
/// Longest wait at a peer that passes records on.
const AT_PEER: Duration = Duration::from_millis(400);

/// How a peer answers reads.
#[derive(Clone, Copy, Debug)]
struct Script {
    /// Whether it waits as long as it is told, or not at all.
    waits: bool,
    /// How many records it answers with.
    records: Offset,
    /// How old it says its view is.
    age: Duration,
}

/// A peer that has no records yet, waits as it is told and says that its view is current.
const SOUND: Script = Script { waits: true, records: 0, age: Duration::ZERO };

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

/// Makes a store that reads the state through peers, and has none of its own.
fn tail_of(peers: Vec<PeerStore>) -> TailStore {
    let addresses: Vec<String> = peers.iter().map(|peer| peer.address().to_owned()).collect();
    let transport: Rc<dyn Transport> = Rc::new(HttpClient::default());
    let sources = move || {
        let peers = addresses.iter();
        let peers = peers.map(|address| PeerStore::new(Rc::clone(&transport), address.clone()));
        Sources { peers: peers.collect(), is_root: false }
    };
    let nowhere = PeerStore::new(Rc::new(HttpClient::default()), "127.0.0.1:1".to_owned());
    TailStore::new(Rc::new(nowhere), STATE_TOPIC, Box::new(sources))
}

fn on_loopback<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Reads as a follower does: again after a read without answer.
async fn answer_of(store: &dyn Store, wait: Duration) -> Batch {
    loop {
        if let Ok(batch) = store.read(STATE_TOPIC, 7, wait).await {
            return batch;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[rstest]
#[case::after_its_wait(SOUND, AT_PEER)]
#[case::with_record(Script { records: 1, ..SOUND }, Duration::ZERO)]
fn tail_waited(#[case] script: Script, #[case] expected: Duration) {
    on_loopback(async move {
        let store = tail_of(vec![peer(script).await]);
        assert_eq!(answer_of(&store, ASKED).await.waited, expected);
    });
}

/// The second peer is asked late: its answer speaks for its own wait, not for both together.
#[test]
fn tail_of_second_peer_waited() {
    on_loopback(async {
        let stale = Script { age: Duration::from_secs(3), ..SOUND };
        let store = tail_of(vec![peer(stale).await, peer(SOUND).await]);
        let batch = answer_of(&store, ASKED).await;
        assert_eq!((batch.age, batch.waited), (Duration::ZERO, AT_PEER));
    });
}

#[rstest]
#[case::after_its_wait(SOUND, 200, 200)]
#[case::empty_at_once(Script { waits: false, ..SOUND }, 5000, 0)]
fn read_of_peer_waited(#[case] script: Script, #[case] asked_ms: u64, #[case] expected_ms: u64) {
    on_loopback(async move {
        let store = peer(script).await;
        // Only whole milliseconds are sent.
        let asked = Duration::from_millis(asked_ms) + Duration::from_micros(900);
        let waited = answer_of(&store, asked).await.waited;
        assert_eq!(waited, Duration::from_millis(expected_ms));
    });
}
