//! Access to the store through peers while this process's direct path is unavailable.
//!
//! A store may reject the calls of one machine and serve the others. [`RelayStore`] tries the
//! direct path first. When that fails it tries peers in turn, and stays with one that succeeds
//! until a probe finds the direct path available again. A peer serves others only over its own
//! direct path, so that a call takes one hop at most, and rejects calls at once while that path is
//! unavailable ([`DirectStore`]).

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

use crate::direct::{DirectStore, PROBE_TIMEOUT};

/// Largest number of peers that are tried for one call.
const PEERS_PER_CALL: usize = 2;
/// Multiple of the usual append time after which a pending append is checked.
const CHECK_DELAY_FACTOR: u32 = 3;
/// Bounds of the time after which a pending append is checked. The lower one is about ten times the
/// usual append time.
const MIN_CHECK_DELAY: Duration = Duration::from_millis(100);
const MAX_CHECK_DELAY: Duration = Duration::from_millis(2000);
/// An append takes at most this many times as long as a probe where few processes append: it may
/// have to queue behind two appends of the leader and those of a few processes that bypass the
/// leader.
const MIN_QUEUE_FACTOR: u32 = 8;
/// Longest queue of appends at the store, which rejects further ones (PROTOCOL: over 2 s waiting).
const MAX_QUEUE_TIME: Duration = Duration::from_millis(2000);
/// Duration from which on an append is logged: a hundred times the usual.
const SLOW_APPEND: Duration = Duration::from_millis(400);
/// The direct path is marked unavailable if it hasn't answered within this multiple of a peer's
/// response time plus a margin: of two machines that use the same store, neither is that much
/// slower by chance.
const PEER_COMPARISON_FACTOR: u32 = 3;
const PEER_COMPARISON_MARGIN: Duration = Duration::from_millis(30);
/// Pause before the next peer is asked whether the store serves it.
const COMPARISON_PAUSE: Duration = Duration::from_millis(100);

/// Lists the stores of the peers, the nearest peer first.
pub type PeerList = Box<dyn Fn() -> Rc<[Rc<dyn Store>]>>;

/// Returns the number of processes that may append directly.
pub type WriterCount = Box<dyn Fn() -> u32>;

/// The store, over the direct path or through peers.
pub struct RelayStore {
    direct: Rc<DirectStore>,
    peers: PeerList,
    writers: WriterCount,
    /// Index in the list of the peer that last succeeded.
    preferred: Cell<usize>,
    /// Moving average of the append time.
    append_time: Cell<Duration>,
}

impl RelayStore {
    /// Creates a store over a direct path and peers.
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

    /// Sets how many processes append directly: an append may have to queue at the store behind as
    /// many others.
    #[must_use]
    pub fn with_writer_count(mut self, writers: WriterCount) -> Self {
        self.writers = writers;
        self
    }

    /// Lists the peers to try with their indexes, the one that last succeeded first.
    fn peers_to_try(&self) -> Vec<(usize, Rc<dyn Store>)> {
        let peers = (self.peers)();
        let first = self.preferred.get();
        let count = peers.len();
        let order = (0..count).map(|step| (first + step) % count);
        order.take(PEERS_PER_CALL).map(|index| (index, Rc::clone(&peers[index]))).collect()
    }

    /// Waits until the direct path is unavailable. A store may stop answering one machine only,
    /// which on its own would notice after its timeouts (2 s for an append). So when a call takes
    /// long, a small call is made over the direct path and through a peer, and the response times
    /// are compared: a slow store is slow over both.
    async fn direct_path_lost(&self) {
        loop {
            let Some((index, peer)) = self.peers_to_try().into_iter().next() else {
                return std::future::pending().await;
            };
            let own = self.direct.probe();
            tokio::pin!(own);
            let sent = Instant::now();
            let peer_is_served = tokio::select! {
                () = self.direct.unavailable() => return,
                answer = &mut own => match answer {
                    // The direct path works. The caller handles a call that was lost on it.
                    Some(_) => return std::future::pending().await,
                    None => false,
                },
                holder = peer.holder() => holder.is_ok(),
            };
            if !peer_is_served {
                self.prefer(index + 1);
                tokio::time::sleep(COMPARISON_PAUSE).await;
                continue;
            }
            let max_wait = sent.elapsed() * (PEER_COMPARISON_FACTOR - 1) + PEER_COMPARISON_MARGIN;
            if let Ok(Some(_)) = tokio::time::timeout(max_wait, own).await {
                return std::future::pending().await;
            }
            self.prefer(index);
            self.direct.mark_unavailable();
            return;
        }
    }

    /// Waits until the direct path is unavailable, or a comparison that starts after `time` finds
    /// that it is.
    async fn direct_path_lost_after(&self, time: Duration) {
        tokio::select! {
            () = self.direct.unavailable() => return,
            () = tokio::time::sleep(time) => {}
        }
        self.direct_path_lost().await;
    }

    /// Makes a call over the direct path, and abandons the call once the path is found to be
    /// unavailable. `wait` is how long the store is asked to wait.
    async fn over_direct_path<T>(
        &self,
        wait: Duration,
        call: impl Future<Output = Result<T, ReadError>>,
    ) -> Result<T, ReadError> {
        tokio::select! {
            outcome = call => outcome,
            () = self.direct_path_lost_after(wait + self.check_delay()) =>
                Err(ReadError::Unavailable),
        }
    }

    /// Returns the outcome of a read over the direct path, or tries the read through peers in turn
    /// if the store was unavailable.
    async fn or_through_peers<T>(
        &self,
        direct: Result<T, ReadError>,
        call: impl AsyncFn(&dyn Store) -> Result<T, ReadError>,
    ) -> Result<T, ReadError> {
        let mut outcome = direct;
        if !matches!(outcome, Err(ReadError::Unavailable)) {
            return outcome;
        }
        for (index, peer) in self.peers_to_try() {
            outcome = call(peer.as_ref()).await;
            if !matches!(outcome, Err(ReadError::Unavailable)) {
                self.prefer(index);
                break;
            }
            self.prefer(index + 1);
        }
        outcome
    }

    fn prefer(&self, index: usize) {
        self.preferred.set(index);
    }

    /// Lists the paths to try for one append: the direct one, those through peers, and the direct
    /// one once more if there are peers.
    fn append_paths(&self) -> Vec<CallPath> {
        let direct =
            CallPath { kind: PathKind::Direct, store: Rc::clone(&self.direct) as Rc<dyn Store> };
        let peers = self.peers_to_try();
        let again = (!peers.is_empty()).then(|| self.direct_again());
        let peers = peers.into_iter();
        let peers = peers.map(|(index, store)| CallPath { kind: PathKind::Peer(index), store });
        std::iter::once(direct).chain(peers).chain(again).collect()
    }

    /// Returns the direct path, even if it counts as unavailable.
    fn direct_again(&self) -> CallPath {
        CallPath { kind: PathKind::Direct, store: self.direct.unchecked() }
    }

    /// Waits until an unanswered append should be sent again. Slowness alone is no reason: a retry
    /// would only lengthen the queue at the store. A store that answers a probe but not the append
    /// within several times the probe's time has lost the append. A store that doesn't answer the
    /// probe may be reachable over another path, if there is one left.
    async fn retry_due(&self, sent: Instant, paths_left: bool) {
        tokio::time::sleep(self.check_delay()).await;
        let time_to_answer = self.direct.time_to_answer();
        let took = if paths_left {
            tokio::time::timeout(PROBE_TIMEOUT, time_to_answer).await.unwrap_or_default()
        } else {
            time_to_answer.await
        };
        let factor = (self.writers)().max(MIN_QUEUE_FACTOR);
        let queue_time = (took * factor).min(MAX_QUEUE_TIME + took);
        tokio::time::sleep_until(sent + queue_time).await;
    }

    fn check_delay(&self) -> Duration {
        check_delay_after(self.append_time.get())
    }

    fn record_append(&self, path: PathKind, took: Duration) {
        if took > SLOW_APPEND {
            log::info!("event=J107 slow append way={path:?} took_ms={}", took.as_millis());
        }
        if let PathKind::Peer(index) = path {
            self.prefer(index);
        }
        let before = self.append_time.get();
        self.append_time.set((before * 3 + took) / 4);
    }
}

/// Returns how long an append may take before it is checked, given how long one usually takes.
pub(crate) fn check_delay_after(usual: Duration) -> Duration {
    (usual * CHECK_DELAY_FACTOR).clamp(MIN_CHECK_DELAY, MAX_CHECK_DELAY)
}

/// The kind of path that a call takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PathKind {
    /// Directly.
    Direct,
    /// Through the peer at this index of the list.
    Peer(usize),
}

/// One path of a call.
struct CallPath {
    kind: PathKind,
    store: Rc<dyn Store>,
}

#[async_trait(?Send)]
impl Store for RelayStore {
    /// Appends over one path, and over the next ones when that path fails or loses the call. The
    /// first definite outcome counts. Returns [`AppendError::Refused`] only if every path refused
    /// the append.
    ///
    /// The other copies may still be applied, seconds after this one and after later appends. A
    /// fenced copy is then answered again without being applied twice, or rejected. An unfenced
    /// copy is applied again, which does no harm while nothing newer was written under its keys. A
    /// writer that later changes or removes a key must be able to recognize an old record by its
    /// content.
    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        let mut failure = AppendError::Refused;
        let send = |path: CallPath| async move {
            let started = Instant::now();
            let outcome = path.store.append(topic, records, fence).await;
            (path, started.elapsed(), outcome)
        };
        let mut paths = self.append_paths().into_iter();
        let mut sent = FuturesUnordered::new();
        sent.extend(paths.next().map(send));
        let mut may_compare = self.direct.is_available();
        while !sent.is_empty() {
            let sent_at = Instant::now();
            let next = tokio::select! {
                Some((path, took, outcome)) = sent.next() => match outcome {
                    Err(AppendError::Refused) => paths.next(),
                    Err(AppendError::Unknown) => {
                        failure = AppendError::Unknown;
                        paths.next()
                    }
                    settled => {
                        self.record_append(path.kind, took);
                        return settled;
                    }
                },
                () = self.retry_due(sent_at, paths.len() > 0) => {
                    paths.next().or_else(|| Some(self.direct_again()))
                }
                () = self.direct_path_lost_after(self.check_delay()), if may_compare => {
                    may_compare = false;
                    paths.next()
                }
            };
            sent.extend(next.map(send));
        }
        Err(failure)
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let direct = self.over_direct_path(wait, self.direct.read(topic, from, wait)).await;
        self.or_through_peers(direct, async |peer| peer.read(topic, from, wait).await).await
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        let direct = self.over_direct_path(Duration::ZERO, self.direct.newest(topic)).await;
        self.or_through_peers(direct, async |peer| peer.newest(topic).await).await
    }

    async fn stand_for_election(
        &self,
        member: &str,
        generation: u64,
    ) -> Result<Candidacy, ReadError> {
        let direct = self
            .over_direct_path(Duration::ZERO, self.direct.stand_for_election(member, generation))
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
        let direct = self.over_direct_path(Duration::ZERO, self.direct.holder()).await;
        self.or_through_peers(direct, async |peer| peer.holder().await).await
    }

    async fn recovered(&self) {
        self.direct.recovered().await;
    }
}
