//! Access to the store through peers, while this process's own way is broken.
//!
//! A store may turn one machine away and serve the others. [`RelayStore`] tries the direct way
//! first; when that fails it asks peers in turn, and stays with one that serves it, until a probe
//! finds the direct way open again. A peer serves others out of its direct way only, so that a call
//! takes one hop at most, and at once says no while that way is broken ([`DirectStore`]).

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::stream::{FuturesUnordered, StreamExt};
use rampbay_jobs::job::NodeName;
use rampbay_jobs::record::KeyedRecord;
use rampbay_jobs::store::{
    AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store,
};
use tokio::time::Instant;

use crate::direct::{DirectStore, PROBE_PATIENCE};

/// Peers that are asked for one call, at most.
const PEERS_PER_CALL: usize = 2;
/// An append that takes so many times the usual time is looked into.
const PATIENCE_FACTOR: u32 = 3;
/// Shortest and longest time until then. The shortest is some ten times a usual append.
const SHORTEST_PATIENCE: Duration = Duration::from_millis(100);
const LONGEST_PATIENCE: Duration = Duration::from_millis(2000);
/// An append takes at most so many times as long as a probe where few write: it may have to wait its
/// turn behind two of the leader, and those of a few processes that go past it.
const LEAST_TURN_FACTOR: u32 = 8;
/// Longest queue of appends at the store; it turns more away (PROTOCOL: over 2 s waiting).
const LONGEST_QUEUE: Duration = Duration::from_millis(2000);
/// Time from which on an append is told of: a hundred times the usual.
const SLOW_APPEND: Duration = Duration::from_millis(400);
/// A peer's answer counts against the own way once that hasn't answered in so many times the peer's time, and a
/// little more: of two machines at one store neither is so much slower by chance.
const CUT_OFF_FACTOR: u32 = 3;
const CUT_OFF_SLACK: Duration = Duration::from_millis(30);
/// Time between two questions whether peers are served.
const COMPARISON_PAUSE: Duration = Duration::from_millis(100);

/// Lists the ways through peers, the nearest first.
pub type PeerList = Box<dyn Fn() -> Rc<[Rc<dyn Store>]>>;

/// Counts the processes that may append on their own.
pub type Writers = Box<dyn Fn() -> u32>;

/// The store over whichever way is open.
pub struct RelayStore {
    direct: Rc<DirectStore>,
    peers: PeerList,
    writers: Writers,
    /// Place in the list of the peer that served last.
    preferred: Cell<usize>,
    /// How long an append usually takes.
    append_time: Cell<Duration>,
}

impl RelayStore {
    /// Makes a store over a direct way and peers.
    #[must_use]
    pub fn new(direct: Rc<DirectStore>, peers: PeerList) -> Self {
        Self {
            direct,
            peers,
            writers: Box::new(|| 0),
            preferred: Cell::new(0),
            append_time: Cell::new(Duration::ZERO),
        }
    }

    /// Knows how many processes append on their own: so many appends may wait at the store before one.
    #[must_use]
    pub fn among(mut self, writers: Writers) -> Self {
        self.writers = writers;
        self
    }

    /// Lists peers to ask, the one that served last first.
    fn candidates(&self) -> Vec<(usize, Rc<dyn Store>)> {
        let peers = (self.peers)();
        let first = self.preferred.get();
        let count = peers.len();
        let order = (0..count).map(|step| (first + step) % count);
        order.take(PEERS_PER_CALL).map(|place| (place, Rc::clone(&peers[place]))).collect()
    }

    /// Waits until the direct way is broken: a store may be silent to one machine alone, which would learn it only by
    /// its own time-outs (2 s an append). So a call that takes long is compared: the store is asked for something
    /// small over the own way and through a peer. Where it is slow, both ways show it.
    async fn cut_off(&self) {
        loop {
            let Some((place, peer)) = self.candidates().into_iter().next() else {
                return std::future::pending().await;
            };
            let own = self.direct.probe();
            tokio::pin!(own);
            let sent = Instant::now();
            let is_served = tokio::select! {
                () = self.direct.closed() => return,
                answer = &mut own => match answer {
                    // The way is open. A call that was lost on it is its caller's matter.
                    Some(_) => return std::future::pending().await,
                    None => false,
                },
                holder = peer.holder() => holder.is_ok(),
            };
            if !is_served {
                self.prefer(place + 1);
                tokio::time::sleep(COMPARISON_PAUSE).await;
                continue;
            }
            let patience = sent.elapsed() * (CUT_OFF_FACTOR - 1) + CUT_OFF_SLACK;
            if let Ok(Some(_)) = tokio::time::timeout(patience, own).await {
                return std::future::pending().await;
            }
            self.prefer(place);
            self.direct.close();
            return;
        }
    }

    /// Waits until the direct way is broken, or is found to be after some time.
    async fn cut_off_after(&self, time: Duration) {
        tokio::select! {
            () = self.direct.closed() => return,
            () = tokio::time::sleep(time) => {}
        }
        self.cut_off().await;
    }

    /// Makes a call over the direct way, and gives it up where only that way is broken. `wait` is how long the store
    /// is asked to wait.
    async fn unless_cut_off<T>(
        &self,
        wait: Duration,
        call: impl Future<Output = Result<T, ReadError>>,
    ) -> Result<T, ReadError> {
        tokio::select! {
            outcome = call => outcome,
            () = self.cut_off_after(wait + self.patience()) => Err(ReadError::Unavailable),
        }
    }

    /// Makes a call that reads through peers in turn, where the direct way is broken.
    async fn or_through_peers<T>(
        &self,
        direct: Result<T, ReadError>,
        call: impl AsyncFn(&dyn Store) -> Result<T, ReadError>,
    ) -> Result<T, ReadError> {
        let mut outcome = direct;
        if !matches!(outcome, Err(ReadError::Unavailable)) {
            return outcome;
        }
        for (place, peer) in self.candidates() {
            outcome = call(peer.as_ref()).await;
            if !matches!(outcome, Err(ReadError::Unavailable)) {
                self.prefer(place);
                break;
            }
            self.prefer(place + 1);
        }
        outcome
    }

    fn prefer(&self, place: usize) {
        self.preferred.set(place);
    }

    /// Lists the ways of one append: direct, through peers, and direct once more where peers have
    /// been asked meanwhile.
    fn append_ways(&self) -> Vec<Way> {
        let direct = Way { kind: WayKind::Direct, store: Rc::clone(&self.direct) as Rc<dyn Store> };
        let peers = self.candidates();
        let again = (!peers.is_empty()).then(|| self.direct_again());
        let peers = peers.into_iter();
        let peers = peers.map(|(place, store)| Way { kind: WayKind::Peer(place), store });
        std::iter::once(direct).chain(peers).chain(again).collect()
    }

    /// Returns the direct way, whether it is taken to be open or not.
    fn direct_again(&self) -> Way {
        Way { kind: WayKind::Direct, store: self.direct.unchecked() }
    }

    /// Waits until an append without answer should be sent once more. Slowness is no reason: a
    /// repeat would only make the queue at the store longer. A store that answers a probe, but not
    /// the append within several times as long, has lost it. A store that doesn't answer the probe
    /// may be reached another way, if there is one left.
    async fn repeat_due(&self, sent: Instant, ways_left: bool) {
        tokio::time::sleep(self.patience()).await;
        let answered = self.direct.answered();
        let took = if ways_left {
            tokio::time::timeout(PROBE_PATIENCE, answered).await.unwrap_or_default()
        } else {
            answered.await
        };
        let factor = (self.writers)().max(LEAST_TURN_FACTOR);
        let turn = (took * factor).min(LONGEST_QUEUE + took);
        tokio::time::sleep_until(sent + turn).await;
    }

    fn patience(&self) -> Duration {
        patience_after(self.append_time.get())
    }

    fn note_append(&self, way: WayKind, took: Duration) {
        if took > SLOW_APPEND {
            log::info!("event=J107 append took long way={way:?} took_ms={}", took.as_millis());
        }
        if let WayKind::Peer(place) = way {
            self.prefer(place);
        }
        let before = self.append_time.get();
        self.append_time.set((before * 3 + took) / 4);
    }
}

/// Returns how long an append may take before it is looked into, given how long one usually takes.
pub(crate) fn patience_after(usual: Duration) -> Duration {
    (usual * PATIENCE_FACTOR).clamp(SHORTEST_PATIENCE, LONGEST_PATIENCE)
}

/// Which way a call takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WayKind {
    /// Direct.
    Direct,
    /// Through the peer at this place of the list.
    Peer(usize),
}

/// One way of a call.
struct Way {
    kind: WayKind,
    store: Rc<dyn Store>,
}

#[async_trait(?Send)]
impl Store for RelayStore {
    /// Appends over one way, and over the next ones when that fails or loses the call; the first
    /// that is settled counts. It is refused only if every way refused it.
    ///
    /// The other copies may still be done, seconds after this one and after later appends. A fenced append is
    /// then answered again, or turned away. An unfenced one is done again: that does no harm while nothing
    /// newer was written under its keys. Whoever changes or removes a key later has to tell an old record
    /// by what it says.
    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        let mut failure = AppendError::Refused;
        let send = |way: Way| async move {
            let started = Instant::now();
            let outcome = way.store.append(topic, records, fence).await;
            (way, started.elapsed(), outcome)
        };
        let mut ways = self.append_ways().into_iter();
        let mut sent = FuturesUnordered::new();
        sent.extend(ways.next().map(send));
        let mut is_compared = self.direct.is_open();
        while !sent.is_empty() {
            let sent_at = Instant::now();
            let next = tokio::select! {
                Some((way, took, outcome)) = sent.next() => match outcome {
                    Err(AppendError::Refused) => ways.next(),
                    Err(AppendError::Unknown) => {
                        failure = AppendError::Unknown;
                        ways.next()
                    }
                    settled => {
                        self.note_append(way.kind, took);
                        return settled;
                    }
                },
                () = self.repeat_due(sent_at, ways.len() > 0) => {
                    ways.next().or_else(|| Some(self.direct_again()))
                }
                () = self.cut_off_after(self.patience()), if is_compared => {
                    is_compared = false;
                    ways.next()
                }
            };
            sent.extend(next.map(send));
        }
        Err(failure)
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let direct = self.unless_cut_off(wait, self.direct.read(topic, from, wait)).await;
        self.or_through_peers(direct, async |peer| peer.read(topic, from, wait).await).await
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        let direct = self.unless_cut_off(Duration::ZERO, self.direct.newest(topic)).await;
        self.or_through_peers(direct, async |peer| peer.newest(topic).await).await
    }

    async fn stand_for_election(
        &self,
        member: &str,
        generation: u64,
    ) -> Result<Candidacy, ReadError> {
        let direct = self
            .unless_cut_off(Duration::ZERO, self.direct.stand_for_election(member, generation))
            .await;
        self.or_through_peers(direct, async |peer| {
            peer.stand_for_election(member, generation).await
        })
        .await
    }

    async fn resign(&self, member: &str) {
        self.direct.resign(member).await;
    }

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        let direct = self.unless_cut_off(Duration::ZERO, self.direct.holder()).await;
        self.or_through_peers(direct, async |peer| peer.holder().await).await
    }

    async fn recovered(&self) {
        self.direct.recovered().await;
    }
}
