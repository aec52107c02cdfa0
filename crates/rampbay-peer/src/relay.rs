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
use rampbay_jobs::record::{KeyedRecord, STATE_TOPIC};
use rampbay_jobs::store::{
    AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store,
};
use tokio::time::Instant;

/// Time between two probes of a broken direct way.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Calls that fail in a row before the direct way is taken to be broken.
const FAILURES_TO_CLOSE: u32 = 2;
/// Peers that are asked for one call, at most.
const PEERS_PER_CALL: usize = 2;
/// An append that takes so many times the usual time is sent another way as well.
const HEDGE_FACTOR: u32 = 3;
/// Shortest and longest time until then.
const SHORTEST_HEDGE: Duration = Duration::from_millis(300);
const LONGEST_HEDGE: Duration = Duration::from_millis(1200);

/// This process's own way to the store, and whether it is open.
pub struct DirectStore {
    store: Rc<dyn Store>,
    open: Cell<bool>,
    /// Calls that have failed since the last that was served.
    failures: Cell<u32>,
}

impl DirectStore {
    /// Takes the way to be open until a call fails.
    #[must_use]
    pub fn new(store: Rc<dyn Store>) -> Rc<Self> {
        Rc::new(Self { store, open: Cell::new(true), failures: Cell::new(0) })
    }

    /// Probes the way for ever, while it is broken.
    pub async fn probe_for_ever(self: Rc<Self>) {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            if self.open.get() {
                continue;
            }
            // A topic's history may be gone; that is an answer all the same.
            let answer = self.store.read(STATE_TOPIC, 0, Duration::ZERO).await;
            if answer != Err(ReadError::Unavailable) {
                self.note(true);
            }
        }
    }

    /// Takes note of a call. One lost answer says little; several in a row close the way.
    fn note(&self, served: bool) {
        let failures = if served { 0 } else { self.failures.get() + 1 };
        self.failures.set(failures);
        let open = failures < FAILURES_TO_CLOSE && (served || self.open.get());
        if self.open.replace(open) != open {
            let number = if open { "J105" } else { "J106" };
            log::info!("event={number} direct way to the store open={open}");
        }
    }

    fn note_read<T>(&self, outcome: Result<T, ReadError>) -> Result<T, ReadError> {
        self.note(!matches!(outcome, Err(ReadError::Unavailable)));
        outcome
    }
}

#[async_trait(?Send)]
impl Store for DirectStore {
    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        if !self.open.get() {
            return Err(AppendError::Refused);
        }
        let outcome = self.store.append(topic, records, fence).await;
        self.note(matches!(outcome, Ok(_) | Err(AppendError::Fenced)));
        outcome
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        if !self.open.get() {
            return Err(ReadError::Unavailable);
        }
        self.note_read(self.store.read(topic, from, wait).await)
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        if !self.open.get() {
            return Err(ReadError::Unavailable);
        }
        self.note_read(self.store.newest(topic).await)
    }

    async fn stand(&self, member: &str, generation: u64) -> Result<Candidacy, ReadError> {
        if !self.open.get() {
            return Err(ReadError::Unavailable);
        }
        self.note_read(self.store.stand(member, generation).await)
    }

    async fn resign(&self, member: &str) {
        self.store.resign(member).await;
    }
}

/// Lists the ways through peers, the nearest first.
pub type PeerList = Box<dyn Fn() -> Vec<Rc<dyn Store>>>;

/// The store over whichever way is open.
pub struct RelayStore {
    direct: Rc<DirectStore>,
    peers: PeerList,
    /// Place in the list of the peer that served last.
    preferred: Cell<usize>,
    /// How long an append usually takes.
    append_time: Cell<Duration>,
}

impl RelayStore {
    /// Makes a store over a direct way and peers.
    #[must_use]
    pub fn new(direct: Rc<DirectStore>, peers: PeerList) -> Self {
        Self { direct, peers, preferred: Cell::new(0), append_time: Cell::new(Duration::ZERO) }
    }

    /// Lists peers to ask, the one that served last first.
    fn candidates(&self) -> Vec<(usize, Rc<dyn Store>)> {
        let peers = (self.peers)();
        let first = self.preferred.get();
        let count = peers.len();
        let order = (0..count).map(|step| (first + step) % count);
        order.take(PEERS_PER_CALL).map(|place| (place, Rc::clone(&peers[place]))).collect()
    }

    fn prefer(&self, place: usize) {
        self.preferred.set(place);
    }

    /// Lists the ways of one append: direct, through peers, and direct once more.
    fn append_ways(&self) -> Vec<Way> {
        let direct = Way { place: None, store: Rc::clone(&self.direct) as Rc<dyn Store> };
        let peers = self.candidates().into_iter();
        let peers = peers.map(|(place, store)| Way { place: Some(place), store });
        let again = Way { place: None, store: Rc::clone(&direct.store) };
        std::iter::once(direct).chain(peers).chain(std::iter::once(again)).collect()
    }

    /// Returns how long an append may take before it is sent another way as well.
    fn hedge_delay(&self) -> Duration {
        (self.append_time.get() * HEDGE_FACTOR).clamp(SHORTEST_HEDGE, LONGEST_HEDGE)
    }

    fn note_append(&self, way: &Way, took: Duration) {
        if let Some(place) = way.place {
            self.prefer(place);
        }
        let before = self.append_time.get();
        self.append_time.set((before * 3 + took) / 4);
    }
}

/// One way of a call.
struct Way {
    /// Place in the list of peers; `None` for the direct way.
    place: Option<usize>,
    store: Rc<dyn Store>,
}

#[async_trait(?Send)]
impl Store for RelayStore {
    /// Appends over one way, and over the next ones when that fails or takes too long; the first
    /// that is settled counts. Sending the same records again does no harm: the newest record of a
    /// key counts, and a fenced append is answered again.
    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        let send = |way: Way| async move {
            let started = Instant::now();
            let outcome = way.store.append(topic, records, fence).await;
            (way, started.elapsed(), outcome)
        };
        let mut waiting = self.append_ways().into_iter();
        let mut sent = FuturesUnordered::new();
        sent.extend(waiting.next().map(send));
        let mut failure = AppendError::Refused;
        loop {
            let next = tokio::select! {
                Some((way, took, outcome)) = sent.next() => match outcome {
                    Err(AppendError::Refused) => waiting.next(),
                    Err(AppendError::Unknown) => {
                        failure = AppendError::Unknown;
                        waiting.next()
                    }
                    settled => {
                        self.note_append(&way, took);
                        return settled;
                    }
                },
                () = tokio::time::sleep(self.hedge_delay()), if waiting.len() > 0 => waiting.next(),
                else => return Err(failure),
            };
            sent.extend(next.map(send));
        }
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let mut outcome = self.direct.read(topic, from, wait).await;
        for (place, peer) in self.candidates() {
            if !matches!(outcome, Err(ReadError::Unavailable)) {
                break;
            }
            outcome = peer.read(topic, from, wait).await;
            self.prefer(if outcome.is_ok() { place } else { place + 1 });
        }
        outcome
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        let mut outcome = self.direct.newest(topic).await;
        for (place, peer) in self.candidates() {
            if outcome.is_ok() {
                break;
            }
            outcome = peer.newest(topic).await;
            self.prefer(if outcome.is_ok() { place } else { place + 1 });
        }
        outcome
    }

    async fn stand(&self, member: &str, generation: u64) -> Result<Candidacy, ReadError> {
        let mut outcome = self.direct.stand(member, generation).await;
        for (place, peer) in self.candidates() {
            if outcome.is_ok() {
                break;
            }
            outcome = peer.stand(member, generation).await;
            self.prefer(if outcome.is_ok() { place } else { place + 1 });
        }
        outcome
    }

    async fn resign(&self, member: &str) {
        self.direct.resign(member).await;
    }
}
