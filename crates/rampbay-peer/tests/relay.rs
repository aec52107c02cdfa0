//! Access to the store over several ways, against scripted stores on virtual time.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::job::NodeName;
use rampbay_jobs::record::{KeyedRecord, STATE_TOPIC};
use rampbay_jobs::store::{
    AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store,
};
use rampbay_peer::direct::DirectStore;
use rampbay_peer::gateway::{GatewayPeer, GatewayStore, Gateways};
use rampbay_peer::relay::RelayStore;
use rstest::rstest;
use tokio::time::Instant;

/// Time between two probes of a broken way.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// A store that answers as it is told.
struct Scripted {
    append: RefCell<Result<Offset, AppendError>>,
    readable: Cell<bool>,
    delay: Cell<Duration>,
    read_delay: Cell<Duration>,
    appends: Cell<u32>,
    pings: Cell<u32>,
    name: String,
}

impl Scripted {
    fn answering(append: Result<Offset, AppendError>) -> Rc<Self> {
        Rc::new(Self {
            append: RefCell::new(append),
            readable: Cell::new(true),
            delay: Cell::new(Duration::from_millis(4)),
            read_delay: Cell::new(Duration::ZERO),
            appends: Cell::new(0),
            pings: Cell::new(0),
            name: "first".to_owned(),
        })
    }

    fn named(name: &str, append: Result<Offset, AppendError>) -> Rc<Self> {
        let scripted = Rc::into_inner(Self::answering(append)).expect("the only one");
        Rc::new(Self { name: name.to_owned(), ..scripted })
    }
}

#[async_trait(?Send)]
impl Store for Scripted {
    async fn append(
        &self,
        _: &str,
        _: &[KeyedRecord],
        _: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        self.appends.set(self.appends.get() + 1);
        tokio::time::sleep(self.delay.get()).await;
        self.append.borrow().clone()
    }

    async fn read(&self, _: &str, from: Offset, _: Duration) -> Result<Batch, ReadError> {
        tokio::time::sleep(self.read_delay.get()).await;
        if !self.readable.get() {
            return Err(ReadError::Unavailable);
        }
        Ok(Batch { end: from, next: from, ..Batch::default() })
    }

    async fn newest(&self, _: &str) -> Result<Snapshot, ReadError> {
        Err(ReadError::Unavailable)
    }

    async fn stand_for_election(&self, _: &str, _: u64) -> Result<Candidacy, ReadError> {
        Err(ReadError::Unavailable)
    }

    async fn resign(&self, _: &str) {}

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        self.pings.set(self.pings.get() + 1);
        tokio::time::sleep(self.read_delay.get()).await;
        if self.readable.get() { Ok(None) } else { Err(ReadError::Unavailable) }
    }
}

#[async_trait(?Send)]
impl GatewayPeer for Scripted {
    fn name(&self) -> &str {
        &self.name
    }

    async fn responds(&self) -> bool {
        self.readable.get()
    }
}

fn relay(direct: &Rc<Scripted>, peers: &[Rc<Scripted>]) -> RelayStore {
    let direct = DirectStore::new(Rc::clone(direct) as Rc<dyn Store>, PROBE_INTERVAL);
    let peers = peers.to_vec();
    let list = move || peers.iter().map(|peer| Rc::clone(peer) as Rc<dyn Store>).collect();
    RelayStore::new(direct, Box::new(list))
}

fn behind_gateways(store: RelayStore, gateways: Gateways) -> GatewayStore {
    GatewayStore::new(Rc::new(store), gateways)
}

fn on_virtual_time<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

const REFUSED: Result<Offset, AppendError> = Err(AppendError::Refused);
const UNKNOWN: Result<Offset, AppendError> = Err(AppendError::Unknown);

#[rstest]
#[case::direct_serves(Ok(1), REFUSED, Ok(1))]
#[case::peer_serves(REFUSED, Ok(2), Ok(2))]
#[case::all_refuse(REFUSED, REFUSED, REFUSED)]
#[case::one_open(UNKNOWN, REFUSED, UNKNOWN)]
#[case::fenced_is_final(Err(AppendError::Fenced), Ok(2), Err(AppendError::Fenced))]
fn append_outcomes(
    #[case] direct: Result<Offset, AppendError>,
    #[case] peer: Result<Offset, AppendError>,
    #[case] expected: Result<Offset, AppendError>,
) {
    on_virtual_time(async move {
        let store = relay(&Scripted::answering(direct), &[Scripted::answering(peer)]);
        assert_eq!(store.append(STATE_TOPIC, &[], None).await, expected);
    });
}

/// Nobody waits for a time-out when every way turns the call away.
#[test]
fn refusal_comes_at_once() {
    on_virtual_time(async {
        let peers = [Scripted::answering(REFUSED), Scripted::answering(REFUSED)];
        let store = relay(&Scripted::answering(REFUSED), &peers);
        let started = Instant::now();
        assert_eq!(store.append(STATE_TOPIC, &[], None).await, REFUSED);
        assert!(started.elapsed() < Duration::from_millis(50));
    });
}

/// A way that doesn't answer is not waited for alone.
#[test]
fn silent_way_hedged() {
    on_virtual_time(async {
        let silent = Scripted::answering(UNKNOWN);
        silent.delay.set(Duration::from_secs(2));
        let store = relay(&silent, &[Scripted::answering(Ok(5))]);
        let started = Instant::now();
        assert_eq!(store.append(STATE_TOPIC, &[], None).await, Ok(5));
        assert!(started.elapsed() < Duration::from_millis(400));
    });
}

/// Seen on the bench: one lost answer closed a way that served, and while answers were lost all
/// processes turned each other away.
#[test]
fn one_lost_answer_leaves_way_open() {
    on_virtual_time(async {
        let lossy = Scripted::answering(UNKNOWN);
        let direct = DirectStore::new(Rc::clone(&lossy) as Rc<dyn Store>, PROBE_INTERVAL);
        assert_eq!(direct.append(STATE_TOPIC, &[], None).await, UNKNOWN);
        assert!(direct.read(STATE_TOPIC, 0, Duration::ZERO).await.is_ok());
        *lossy.append.borrow_mut() = Ok(3);
        assert_eq!(direct.append(STATE_TOPIC, &[], None).await, Ok(3));
    });
}

#[test]
fn broken_way_closed_then_probed() {
    on_virtual_time(async {
        let store = Scripted::answering(UNKNOWN);
        store.readable.set(false);
        let direct = DirectStore::new(Rc::clone(&store) as Rc<dyn Store>, PROBE_INTERVAL);
        tokio::task::spawn_local(Rc::clone(&direct).probe_for_ever());
        for _ in 0..2 {
            assert!(direct.read(STATE_TOPIC, 0, Duration::ZERO).await.is_err());
        }
        assert_eq!(direct.append(STATE_TOPIC, &[], None).await, REFUSED);
        assert_eq!(store.appends.get(), 0, "a closed way isn't tried");
        store.readable.set(true);
        *store.append.borrow_mut() = Ok(1);
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(direct.append(STATE_TOPIC, &[], None).await, Ok(1));
    });
}

/// Seen on the bench: a slow store was sent every append up to four times, which made its queue
/// longer still.
#[test]
fn slow_store_not_repeated() {
    on_virtual_time(async {
        let slow = Scripted::answering(Ok(5));
        slow.delay.set(Duration::from_millis(900));
        slow.read_delay.set(Duration::from_millis(400));
        let peer = Scripted::answering(Ok(6));
        // It goes to the same store.
        peer.read_delay.set(Duration::from_millis(400));
        let store = relay(&slow, &[Rc::clone(&peer)]);
        assert_eq!(store.append(STATE_TOPIC, &[], None).await, Ok(5));
        assert_eq!((slow.appends.get(), peer.appends.get()), (1, 0));
    });
}

/// A store that is silent to this process alone is reached through a peer within some tenths of a second, and what
/// comes after goes there at once. By its own time-outs alone an append took 0.8 s each.
#[test]
fn silent_way_left_for_peer_that_is_served() {
    on_virtual_time(async {
        let silent = Scripted::answering(Ok(5));
        silent.delay.set(Duration::from_secs(60));
        silent.read_delay.set(Duration::from_secs(60));
        let peer = Scripted::answering(Ok(6));
        peer.read_delay.set(Duration::from_millis(6));
        let store = relay(&silent, &[Rc::clone(&peer)]);
        let started = Instant::now();
        assert_eq!(store.append(STATE_TOPIC, &[], None).await, Ok(6));
        assert!(started.elapsed() < Duration::from_millis(250), "{:?}", started.elapsed());
        let started = Instant::now();
        assert_eq!(store.append(STATE_TOPIC, &[], None).await, Ok(6));
        assert!(started.elapsed() < Duration::from_millis(20), "{:?}", started.elapsed());
        let read = store.read(STATE_TOPIC, 3, Duration::from_millis(300)).await;
        assert_eq!(read.map(|batch| batch.end), Ok(3));
        assert!(started.elapsed() < Duration::from_millis(40), "{:?}", started.elapsed());
    });
}

/// A peer that the store turns away as well says nothing about the own way.
#[test]
fn silent_way_kept_while_peers_are_turned_away() {
    on_virtual_time(async {
        let silent = Scripted::answering(Ok(5));
        silent.delay.set(Duration::from_millis(500));
        silent.read_delay.set(Duration::from_millis(450));
        let peer = Scripted::answering(Ok(6));
        peer.readable.set(false);
        let store = relay(&silent, &[Rc::clone(&peer)]);
        assert_eq!(store.append(STATE_TOPIC, &[], None).await, Ok(5));
        assert_eq!((silent.appends.get(), peer.appends.get()), (1, 0));
    });
}

/// A store that answers a probe has lost the append that it doesn't answer.
#[test]
fn lost_answer_repeated_soon() {
    on_virtual_time(async {
        let lossy = Scripted::answering(Ok(5));
        lossy.delay.set(Duration::from_secs(60));
        let store = relay(&lossy, &[]);
        let healing = Rc::clone(&lossy);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(50)).await;
            healing.delay.set(Duration::from_millis(4));
        });
        let started = Instant::now();
        assert_eq!(store.append(STATE_TOPIC, &[], None).await, Ok(5));
        assert!(started.elapsed() < Duration::from_millis(200));
    });
}

/// An append that was under way when the store fell silent is sent again as soon as it is back.
#[test]
fn silence_over_append_sent_again() {
    on_virtual_time(async {
        let silent = Scripted::answering(Ok(5));
        silent.delay.set(Duration::from_secs(60));
        silent.read_delay.set(Duration::from_secs(60));
        let store = relay(&silent, &[]);
        let healing = Rc::clone(&silent);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(2500)).await;
            healing.delay.set(Duration::from_millis(4));
            healing.read_delay.set(Duration::ZERO);
        });
        let started = Instant::now();
        assert_eq!(store.append(STATE_TOPIC, &[], None).await, Ok(5));
        assert!(started.elapsed() < Duration::from_millis(2700), "{:?}", started.elapsed());
    });
}

/// A gateway that fails is passed over for a while; fenced appends never take it.
#[test]
fn gateway_failed_passed_over() {
    on_virtual_time(async {
        let (direct, gateway) = (Scripted::answering(Ok(1)), Scripted::answering(Ok(2)));
        let way = Rc::clone(&gateway) as Rc<dyn GatewayPeer>;
        let store =
            behind_gateways(relay(&direct, &[]), Box::new(move || Rc::from([Rc::clone(&way)])));
        assert_eq!(store.append(STATE_TOPIC, &[], None).await, Ok(2));
        let fence = Fence { writer: "planner".to_owned(), epoch: 1, sequence: 0 };
        assert_eq!(store.append(STATE_TOPIC, &[], Some(&fence)).await, Ok(1));
        *gateway.append.borrow_mut() = REFUSED;
        let before = gateway.appends.get();
        for _ in 0..3 {
            assert_eq!(store.append(STATE_TOPIC, &[], None).await, Ok(1));
        }
        assert_eq!(gateway.appends.get(), before + 1);
        *gateway.append.borrow_mut() = Ok(2);
        tokio::time::sleep(Duration::from_millis(1100)).await;
        assert_eq!(store.append(STATE_TOPIC, &[], None).await, Ok(2));
    });
}

/// Seen on the bench: agents that had had nothing to ask took their next answer for the store's
/// return, and dropped the reads that they had under way.
#[test]
fn idle_way_not_taken_for_regained() {
    on_virtual_time(async {
        let store = Scripted::answering(Ok(1));
        let direct = DirectStore::new(Rc::clone(&store) as Rc<dyn Store>, PROBE_INTERVAL);
        tokio::task::spawn_local(Rc::clone(&direct).probe_for_ever());
        let watching = Rc::clone(&direct);
        let regained = tokio::task::spawn_local(async move { watching.recovered().await });
        tokio::time::sleep(Duration::from_secs(10)).await;
        assert_eq!(direct.append(STATE_TOPIC, &[], None).await, Ok(1));
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert!(!regained.is_finished());
        assert_eq!(store.pings.get(), 0, "an idle way isn't probed");
        store.readable.set(false);
        assert!(direct.read(STATE_TOPIC, 0, Duration::ZERO).await.is_err());
        store.readable.set(true);
        assert!(direct.read(STATE_TOPIC, 0, Duration::ZERO).await.is_ok());
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert!(regained.is_finished());
    });
}

/// Seen on the bench: while the store was slow, 54 agents went past the gateway that was seeing to
/// their appends, and the store's queue grew to its limit.
#[test]
fn slow_gateway_not_gone_past() {
    on_virtual_time(async {
        let (direct, gateway) = (Scripted::answering(Ok(1)), Scripted::answering(Ok(2)));
        gateway.delay.set(Duration::from_millis(3500));
        let way = Rc::clone(&gateway) as Rc<dyn GatewayPeer>;
        let store =
            behind_gateways(relay(&direct, &[]), Box::new(move || Rc::from([Rc::clone(&way)])));
        assert_eq!(store.append(STATE_TOPIC, &[], None).await, Ok(2));
        assert_eq!((direct.appends.get(), gateway.appends.get()), (0, 1));
    });
}

#[test]
fn gone_gateway_gone_past() {
    on_virtual_time(async {
        let (direct, gateway) = (Scripted::answering(Ok(1)), Scripted::answering(Ok(2)));
        gateway.delay.set(Duration::from_secs(60));
        gateway.readable.set(false);
        let way = Rc::clone(&gateway) as Rc<dyn GatewayPeer>;
        let store =
            behind_gateways(relay(&direct, &[]), Box::new(move || Rc::from([Rc::clone(&way)])));
        let started = Instant::now();
        assert_eq!(store.append(STATE_TOPIC, &[], None).await, Ok(1));
        assert!(started.elapsed() < Duration::from_millis(200));
    });
}

/// A full queue of appends says nothing about the way: reads are answered.
#[test]
fn refused_appends_leave_way_open() {
    on_virtual_time(async {
        let full = Scripted::answering(REFUSED);
        let direct = DirectStore::new(Rc::clone(&full) as Rc<dyn Store>, PROBE_INTERVAL);
        for _ in 0..3 {
            assert_eq!(direct.append(STATE_TOPIC, &[], None).await, REFUSED);
        }
        assert!(direct.read(STATE_TOPIC, 0, Duration::ZERO).await.is_ok());
        assert_eq!(full.appends.get(), 3);
    });
}

/// Seen on the bench: after all processes had been killed, eighty of them probed the store ten times a
/// second with reads of its whole history, and it served nothing else.
#[test]
fn broken_way_probed_at_interval() {
    on_virtual_time(async {
        let store = Scripted::answering(UNKNOWN);
        store.readable.set(false);
        let way = Rc::clone(&store) as Rc<dyn Store>;
        let direct = DirectStore::new(way, Duration::from_millis(1000));
        tokio::task::spawn_local(Rc::clone(&direct).probe_for_ever());
        for _ in 0..2 {
            assert!(direct.read(STATE_TOPIC, 0, Duration::ZERO).await.is_err());
        }
        tokio::time::sleep(Duration::from_millis(10_500)).await;
        assert_eq!(store.pings.get(), 10);
    });
}

/// Seen on the bench: the store turned the leader away, 240 agents appended one by one past it, and the
/// store's queue stayed full for eighteen seconds.
#[test]
fn refusing_gateway_followed_by_another() {
    on_virtual_time(async {
        let direct = Scripted::answering(Ok(1));
        let gateways = [Scripted::named("first", REFUSED), Scripted::named("second", Ok(2))];
        let listed = gateways.clone();
        let list = move || listed.iter().map(|g| Rc::clone(g) as Rc<dyn GatewayPeer>).collect();
        let store = behind_gateways(relay(&direct, &[]), Box::new(list));
        for _ in 0..3 {
            assert_eq!(store.append(STATE_TOPIC, &[], None).await, Ok(2));
        }
        let calls = (gateways[0].appends.get(), gateways[1].appends.get(), direct.appends.get());
        assert_eq!(calls, (1, 3, 0));
    });
}

/// Seen on the bench: where 55 entries append, one append waits its turn behind many, though a probe
/// is answered at once; repeated after eight times the probe's time, appends made the queue longer.
#[rstest]
#[case::few_writers(4, 3)]
#[case::many_writers(56, 1)]
fn queued_append_repeated(#[case] writers: u32, #[case] appends: u32) {
    on_virtual_time(async move {
        let queued = Scripted::answering(Ok(5));
        queued.delay.set(Duration::from_millis(250));
        queued.read_delay.set(Duration::from_millis(6));
        let store = relay(&queued, &[]).among(Box::new(move || writers));
        assert_eq!(store.append(STATE_TOPIC, &[], None).await, Ok(5));
        assert_eq!(queued.appends.get(), appends);
    });
}

/// A gateway that gave no answer may still bring the append to the store: ways that refuse it afterwards
/// don't make it one that surely isn't kept.
#[rstest]
#[case::gateway_unanswered(UNKNOWN, true, UNKNOWN)]
#[case::gateway_gone(Ok(2), false, UNKNOWN)]
#[case::gateway_refuses(REFUSED, true, REFUSED)]
fn gateway_then_refused_elsewhere(
    #[case] gateway: Result<Offset, AppendError>,
    #[case] responds: bool,
    #[case] expected: Result<Offset, AppendError>,
) {
    on_virtual_time(async move {
        let gateway = Scripted::answering(gateway);
        gateway.readable.set(responds);
        if !responds {
            gateway.delay.set(Duration::from_secs(60));
        }
        let way = Rc::clone(&gateway) as Rc<dyn GatewayPeer>;
        let store = relay(&Scripted::answering(REFUSED), &[Scripted::answering(REFUSED)]);
        let store = behind_gateways(store, Box::new(move || Rc::from([Rc::clone(&way)])));
        assert_eq!(store.append(STATE_TOPIC, &[], None).await, expected);
    });
}
