//! Reads of a topic through processes that follow it anyway, to spare the store's calls.
//!
//! Every process needs every record of the state soon, and every entry the operators' orders. A read of its own for
//! each costs a call to the store, and at a slow store its time too. So the leader reads from the store, and the
//! others through the [`tree`](crate::tree) below it, each with the age of the view. A view that is too old, or a
//! peer that doesn't answer, sends the reader to the next peer, and where none answers to the store.
//!
//! Reports of the runs' progress go the other way through the same peers ([`Reports`](crate::reports::Reports)).
//!
//! An agent gets only what concerns its worker. Before it reads on from the store itself, it has to
//! read the newest record of each key: what wasn't sent to it would be missing.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::job::NodeName;
use rampbay_jobs::layer::Layer;
use rampbay_jobs::record::KeyedRecord;
use rampbay_jobs::store::{AppendError, Batch, Offset, ReadError, Snapshot, Store};
use tokio::time::Instant;

use crate::peer::PeerStore;
use crate::routes::Routes;

/// Oldest view that is taken from a peer; more than the time that its own reads take.
const OLDEST_VIEW: Duration = Duration::from_millis(1500);
/// Longest wait for a record at a peer: so late is a peer that says nothing noticed, and a little more.
const LONGEST_WAIT: Duration = Duration::from_millis(400);
/// Longest wait for a record of the process that all others read through. By so much each view below it is older;
/// it costs three calls a second and topic, whatever the fleet's size.
const ROOT_WAIT: Duration = Duration::from_millis(300);
/// How long peers are left alone after none of them could pass records on, and the longest where that happens again
/// and again: to try two that have no power costs 1.2 s in which the view grows older. The shortest is longer than
/// a lost leader's place takes to pass on (1.4 s): whoever takes it reads from the store then.
const PEERS_PAUSE: Duration = Duration::from_millis(2000);
const LONGEST_PAUSE: Duration = Duration::from_millis(8000);
/// The same after peers have said so at once.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);
/// How long a process that has started reads past the tree through the peer that it has the state from: until all that
/// started with it pass records on (1.5 s). Read from the store meanwhile, what they all wrote made most of its bytes.
const STARTING_TIME: Duration = Duration::from_millis(1500);
/// Pause before peers are asked again for the state as a whole.
const STARTING_PAUSE: Duration = Duration::from_millis(60);
/// Peers that are asked for one read, at most.
const PEERS_PER_READ: usize = 2;

/// What a process reads through.
#[derive(Clone)]
pub struct Sources {
    /// The peers that pass records on, the nearest first; none where it reads from the store.
    pub peers: Rc<[PeerStore]>,
    /// Whether all others read through this process.
    pub is_root: bool,
}

/// Tells what a process reads through now.
pub type TailSources = Box<dyn Fn() -> Sources>;

/// A store whose reads of one topic go through peers where they can.
pub struct TailStore {
    store: Rc<dyn Store>,
    topic: String,
    sources: TailSources,
    /// The agent that reads, if it wants only what concerns it.
    agent: Option<NodeName>,
    preferred: Cell<usize>,
    /// Up to when the last answer of a peer proved its view.
    proven: Cell<Option<Instant>>,
    paused_until: Cell<Option<Instant>>,
    /// How long peers are left alone when none of them can pass records on the next time.
    pause: Cell<Duration>,
    /// The peers as they were at the last read.
    known: RefCell<Option<Rc<[PeerStore]>>>,
    /// Whether records may have been left out since the newest of each key were read.
    is_partial: Cell<bool>,
    /// Where the newest of each key are read first, if peers pass them on.
    starting: Option<Starting>,
    /// The peer that the state as a whole came from, and until when it is read through where the tree fails.
    origin: RefCell<Option<(PeerStore, Instant)>>,
    /// Where the last answer came from: the address of a peer, or none for the store.
    source: RefCell<Option<String>>,
}

/// How a process that starts reads the state as a whole.
pub struct Starting {
    /// How it finds peers before it knows the state.
    pub routes: Routes,
    /// How long it goes to peers before it reads from the store.
    pub patience: Duration,
}

impl TailStore {
    /// Makes a store over peers that follow a topic, and the ways to the store itself.
    #[must_use]
    pub fn new(store: Rc<dyn Store>, topic: &str, sources: TailSources) -> Self {
        Self {
            store,
            topic: topic.to_owned(),
            sources,
            agent: None,
            preferred: Cell::new(0),
            proven: Cell::new(None),
            paused_until: Cell::new(None),
            pause: Cell::new(PEERS_PAUSE),
            known: RefCell::default(),
            is_partial: Cell::new(false),
            starting: None,
            origin: RefCell::default(),
            source: RefCell::default(),
        }
    }

    /// Tells when the topic is read through another source than before.
    fn note_source(&self, source: Option<&str>, from: Offset) {
        let before = self.source.borrow().clone();
        if before.as_deref() != source {
            log::info!(
                "event=J109 topic read through another source topic={} source={} before={} position={from} partial={}",
                self.topic,
                source.unwrap_or("store"),
                before.as_deref().unwrap_or("store"),
                self.is_partial.get()
            );
            *self.source.borrow_mut() = source.map(str::to_owned);
        }
    }

    /// Reads the newest record of each key through peers as well.
    #[must_use]
    pub fn starting(mut self, starting: Starting) -> Self {
        self.starting = Some(starting);
        self
    }

    /// Reads only what concerns an agent.
    #[must_use]
    pub fn for_agent(mut self, agent: NodeName) -> Self {
        self.agent = Some(agent);
        self
    }

    /// Reads from the first peer whose view is current. An agent takes an older one where no better
    /// is at hand; its age is told.
    async fn read_from_peers(
        &self,
        peers: &[PeerStore],
        from: Offset,
        wait: Duration,
    ) -> Option<Batch> {
        let wait = wait.min(LONGEST_WAIT);
        let started = Instant::now();
        let mut older = None;
        for (tried, peer) in self.preferred_first(peers).enumerate() {
            if tried > 0 && self.agent.is_none() && self.has_grown_old() {
                break;
            }
            match peer.tail(&self.topic, from, wait, self.agent.clone()).await {
                Ok(batch) if batch.age <= OLDEST_VIEW => {
                    self.note_source(Some(peer.address()), from);
                    self.pause.set(PEERS_PAUSE);
                    self.proven.set(Instant::now().checked_sub(batch.age));
                    return Some(batch);
                }
                Ok(batch) => older = Some(batch),
                Err(_) => {}
            }
            self.preferred.set(self.preferred.get() + 1);
        }
        if self.agent.is_some() && older.is_some() {
            return older;
        }
        self.leave_peers_alone(started.elapsed());
        None
    }

    /// Returns whether the view is so old by now that the store has to be asked.
    fn has_grown_old(&self) -> bool {
        self.proven.get().is_some_and(|proven| proven.elapsed() > OLDEST_VIEW)
    }

    /// Leaves peers alone after a try that took so long. Those that say at once that they can't pass records on, as
    /// one does that has just started, are asked again soon.
    fn leave_peers_alone(&self, took: Duration) {
        if took < LONGEST_WAIT {
            self.paused_until.set(Some(Instant::now() + REFUSED_PAUSE));
            return;
        }
        let pause = self.pause.get();
        self.paused_until.set(Some(Instant::now() + pause));
        self.pause.set((pause * 2).min(LONGEST_PAUSE));
    }

    /// Tries peers at once where there are others now: processes have come, or another one leads.
    fn note_peers(&self, peers: &Rc<[PeerStore]>) {
        let mut known = self.known.borrow_mut();
        if known.as_ref().is_some_and(|known| Rc::ptr_eq(known, peers)) {
            return;
        }
        *known = Some(Rc::clone(peers));
        self.preferred.set(0);
        self.paused_until.set(None);
        self.pause.set(PEERS_PAUSE);
    }

    fn are_paused(&self) -> bool {
        self.paused_until.get().is_some_and(|until| Instant::now() < until)
    }

    /// Iterates over some peers, the one that served last first.
    fn preferred_first<'a>(
        &self,
        peers: &'a [PeerStore],
    ) -> impl Iterator<Item = &'a PeerStore> + use<'a> {
        let first = self.preferred.get();
        let count = PEERS_PER_READ.min(peers.len());
        (first..first + count).map(|place| &peers[place % peers.len()])
    }

    async fn read_followed(&self, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let Sources { peers, is_root } = (self.sources)();
        if peers.is_empty() {
            let wait = if is_root { wait.min(ROOT_WAIT) } else { wait };
            return self.read_from_store(from, wait).await;
        }
        self.note_peers(&peers);
        if self.are_paused() {
            return self.read_past_tree(from, wait.min(LONGEST_WAIT)).await;
        }
        if let Some(batch) = self.read_from_peers(&peers, from, wait).await {
            self.is_partial.set(self.agent.is_some());
            return Ok(batch);
        }
        // The view has grown old meanwhile, and others read through this process: an answer at once proves it.
        self.read_past_tree(from, Duration::ZERO).await
    }

    /// Reads through the peer that the state came from, for a while after a start, or from the store.
    async fn read_past_tree(&self, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let origin = self.origin.take().filter(|(_, until)| Instant::now() < *until);
        if let Some((peer, until)) = origin {
            let outcome = peer.tail(&self.topic, from, wait, self.agent.clone()).await;
            if let Some(batch) = outcome.ok().filter(|batch| batch.age <= OLDEST_VIEW) {
                self.note_source(Some(peer.address()), from);
                self.proven.set(Instant::now().checked_sub(batch.age));
                self.is_partial.set(self.agent.is_some());
                *self.origin.borrow_mut() = Some((peer, until));
                return Ok(batch);
            }
        }
        self.read_from_store(from, wait).await
    }

    /// Reads the newest record of each key from peers; `None` where none of them knows the state in time.
    async fn newest_from_peers(&self) -> Option<Snapshot> {
        let starting = self.starting.as_ref()?;
        let deadline = Instant::now() + starting.patience;
        loop {
            if let Some(snapshot) = self.newest_from_some(&starting.routes).await {
                return Some(snapshot);
            }
            if Instant::now() >= deadline {
                return None;
            }
            tokio::time::sleep_until((Instant::now() + STARTING_PAUSE).min(deadline)).await;
        }
    }

    async fn newest_from_some(&self, routes: &Routes) -> Option<Snapshot> {
        let mut peers = (self.sources)().peers;
        if peers.is_empty() {
            peers = Rc::from(routes.first_peers().await);
        }
        for peer in self.preferred_first(&peers) {
            if let Ok(snapshot) = peer.snapshot(self.agent.clone()).await {
                let until = Instant::now() + STARTING_TIME;
                *self.origin.borrow_mut() = Some((peer.clone(), until));
                return Some(snapshot);
            }
            self.preferred.set(self.preferred.get() + 1);
        }
        None
    }

    async fn read_from_store(&self, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        if self.is_partial.get() {
            return Err(ReadError::Trimmed);
        }
        self.note_source(None, from);
        self.store.read(&self.topic, from, wait).await
    }
}

#[async_trait(?Send)]
impl Layer for TailStore {
    fn inner(&self) -> &dyn Store {
        self.store.as_ref()
    }

    async fn report(&self, reports: &[KeyedRecord]) -> Result<(), AppendError> {
        let peers = (self.sources)().peers;
        for peer in self.preferred_first(&peers) {
            if peer.report(reports).await.is_ok() {
                return Ok(());
            }
        }
        self.store.report(reports).await
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        if topic == self.topic {
            return self.read_followed(from, wait).await;
        }
        self.store.read(topic, from, wait).await
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        if topic != self.topic {
            return self.store.newest(topic).await;
        }
        if let Some(snapshot) = self.newest_from_peers().await {
            self.is_partial.set(self.agent.is_some());
            return Ok(snapshot);
        }
        let snapshot = self.store.newest(topic).await?;
        self.is_partial.set(false);
        Ok(snapshot)
    }
}
