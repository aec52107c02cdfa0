//! The age of a view, compared with what the store had acknowledged: a view may be more current than its
//! age says, but never less.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::follower::{Pace, Sink, follow};
use rampbay_jobs::freshness::Freshness;
use rampbay_jobs::job::NodeName;
use rampbay_jobs::layer::Layer;
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::read_your_writes::ReadYourWritesStore;
use rampbay_jobs::record::{KeyedRecord, Record, STATE_TOPIC};
use rampbay_jobs::store::{
    AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::{run_in_virtual_time, worker_record};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// How a reader follows the log: as processes follow the state.
const PACE: Pace = Pace { wait: Duration::from_millis(1000), gap: Duration::from_millis(25) };

/// First key of the second of the two parts in which the newest records are returned.
const PAGE_END: &str = "m";
/// Time between two parts.
const PAGE_DELAY: Duration = Duration::from_millis(100);

/// A log that stores when it acknowledged each record. The value of a record is its offset.
#[derive(Default)]
struct Log {
    records: RefCell<Vec<(KeyedRecord, Instant)>>,
    appended: Notify,
}

impl Log {
    fn end(&self) -> Offset {
        self.records.borrow().len() as Offset
    }

    fn put(&self, key: &str) {
        let value = self.end().to_be_bytes().to_vec();
        self.push(KeyedRecord { key: key.to_owned(), value });
    }

    fn push(&self, record: KeyedRecord) {
        self.records.borrow_mut().push((record, Instant::now()));
        self.appended.notify_waiters();
    }

    fn slice(&self, from: Offset, end: Offset) -> Vec<KeyedRecord> {
        let records = self.records.borrow();
        let range = (from.min(end) as usize)..(end as usize);
        records[range].iter().map(|(record, _)| record.clone()).collect()
    }

    /// Lists the newest record of each key within a range of keys.
    fn newest(&self, keys: impl std::ops::RangeBounds<String>) -> Vec<KeyedRecord> {
        let all = self.slice(0, self.end()).into_iter();
        let all: BTreeMap<String, KeyedRecord> =
            all.map(|record| (record.key.clone(), record)).collect();
        all.range(keys).map(|(_, record)| record.clone()).collect()
    }

    async fn wait_past(&self, from: Offset, wait: Duration) {
        let deadline = Instant::now() + wait;
        while self.end() <= from && Instant::now() < deadline {
            let appended = self.appended.notified();
            let _ = tokio::time::timeout_at(deadline, appended).await;
        }
    }
}

/// The records that a reader has applied, by key.
type Applied = Rc<RefCell<BTreeMap<String, KeyedRecord>>>;

struct AppliedSink(Applied);

impl Sink for AppliedSink {
    fn reset(&mut self) {
        self.0.borrow_mut().clear();
    }

    fn apply(&mut self, record: &KeyedRecord) {
        self.0.borrow_mut().insert(record.key.clone(), record.clone());
    }
}

/// A reader that follows a store.
struct Reader {
    applied: Applied,
    freshness: Rc<Freshness>,
    following: JoinHandle<()>,
}

impl Reader {
    fn start(store: Rc<dyn Store>) -> Self {
        let (applied, freshness) = (Applied::default(), Rc::<Freshness>::default());
        freshness.keep_recent();
        let (sink, followed) = (AppliedSink(applied.clone()), Rc::clone(&freshness));
        let following = tokio::task::spawn_local(async move {
            follow(store, STATE_TOPIC, PACE, followed, sink).await;
        });
        Self { applied, freshness, following }
    }

    /// Stops following for good: the view stays as it is.
    fn stop(&self) {
        self.following.abort();
    }

    /// Checks that the view holds all that the log had acknowledged as long ago as the view is old.
    fn check(&self, log: &Log) {
        let Some(age) = self.freshness.age() else { return };
        let applied = self.applied.borrow();
        for (record, acknowledged) in log.records.borrow().iter() {
            if acknowledged.elapsed() <= age {
                continue;
            }
            let held = applied.get(&record.key).map(|held| &held.value);
            assert!(
                held >= Some(&record.value),
                "a view of age {age:?} lacks a record that is {:?} old",
                acknowledged.elapsed()
            );
        }
    }

    async fn check_for(&self, log: &Log, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            sleep(Duration::from_millis(5)).await;
            self.check(log);
        }
    }
}

/// A store over the log that limits how long reads wait, and delays its answers.
struct LogStore {
    log: Rc<Log>,
    wait_limit: Cell<Duration>,
    answer_delay: Cell<Duration>,
    /// Maximum time that is added to each part of a call, and the generator that draws it.
    jitter: Cell<Duration>,
    rng: RefCell<ChaCha8Rng>,
    /// Time between the two parts in which the newest records are returned, and after them.
    page_delay: Cell<Duration>,
    /// The end of a view that isn't kept current any more, and the time when it was current; reads return this view.
    stale_view: Cell<Option<(Offset, Instant)>>,
    /// Maximum number of records in one answer.
    max_records: Cell<usize>,
    /// Whether the next read is answered that its records are gone.
    trims_next: Cell<bool>,
    /// The fenced append whose answer was lost, and that answer, which a repeated append receives.
    first_answer: RefCell<Option<(Fence, Offset)>>,
}

impl Default for LogStore {
    fn default() -> Self {
        Self {
            log: Rc::default(),
            wait_limit: Cell::new(PACE.wait),
            answer_delay: Cell::default(),
            jitter: Cell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(0)),
            page_delay: Cell::default(),
            stale_view: Cell::default(),
            max_records: Cell::new(usize::MAX),
            trims_next: Cell::default(),
            first_answer: RefCell::default(),
        }
    }
}

impl LogStore {
    /// Waits for a random time, which a part of a call takes.
    async fn random_delay(&self) {
        let share = self.rng.borrow_mut().random::<f64>();
        sleep(self.jitter.get().mul_f64(share)).await;
    }

    /// Returns the end of what reads see, and its age.
    fn view(&self) -> (Offset, Duration) {
        let stale = self.stale_view.get();
        stale.map_or((self.log.end(), Duration::ZERO), |(end, at)| (end, at.elapsed()))
    }
}

#[async_trait(?Send)]
impl Store for LogStore {
    async fn append(
        &self,
        _: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        let repeated = self.first_answer.borrow().clone();
        let repeated = repeated.filter(|(known, _)| fence == Some(known));
        if let Some((_, end)) = repeated {
            return Ok(end);
        }
        records.iter().for_each(|record| self.log.push(record.clone()));
        let end = self.log.end();
        if let Some(fence) = fence {
            *self.first_answer.borrow_mut() = Some((fence.clone(), end));
            return Err(AppendError::Unknown);
        }
        Ok(end)
    }

    async fn read(&self, _: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        if self.trims_next.take() {
            return Err(ReadError::Trimmed);
        }
        let sent = Instant::now();
        self.random_delay().await;
        let wait = wait.min(self.wait_limit.get());
        self.log.wait_past(from, wait).await;
        let (end, age) = self.view();
        let mut records = self.log.slice(from, end);
        records.truncate(self.max_records.get());
        let next = from + records.len() as Offset;
        sleep(self.answer_delay.get()).await;
        self.random_delay().await;
        Ok(Batch { end, next, records, age, ..Batch::default() }.after_wait(sent, wait))
    }

    async fn newest(&self, _: &str) -> Result<Snapshot, ReadError> {
        let read_from = self.log.end();
        let mut records = self.log.newest(..PAGE_END.to_owned());
        sleep(self.page_delay.get()).await;
        self.random_delay().await;
        records.extend(self.log.newest(PAGE_END.to_owned()..));
        let end = self.log.end();
        sleep(self.page_delay.get()).await;
        Ok(Snapshot { records, read_from, end, age: Duration::ZERO })
    }

    async fn stand_for_election(&self, _: &str, _: u64) -> Result<Candidacy, ReadError> {
        Err(ReadError::Unavailable)
    }

    async fn resign(&self, _: &str) {}

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        Err(ReadError::Unavailable)
    }
}

/// Maximum wait at a peer that passes records on.
const PEER_WAIT: Duration = Duration::from_millis(400);

/// A store that reads the log through a peer that passes records on. If the peer can't, a reload is required,
/// which is made without the peer.
struct PeerStore {
    log_store: LogStore,
    peer: Rc<Freshness>,
    is_partial: Cell<bool>,
}

#[async_trait(?Send)]
impl Layer for PeerStore {
    fn inner(&self) -> &dyn Store {
        &self.log_store
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let sent = Instant::now();
        let peer_wait = wait.min(PEER_WAIT);
        self.log_store.random_delay().await;
        let passed = self.peer.pass_on(from, peer_wait, None).await;
        self.log_store.random_delay().await;
        match passed {
            Ok(batch) => {
                self.is_partial.set(true);
                Ok(batch.after_wait(sent, peer_wait))
            }
            Err(_) if self.is_partial.get() => Err(ReadError::Trimmed),
            Err(_) => self.log_store.read(topic, from, wait).await,
        }
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        self.is_partial.set(false);
        self.log_store.newest(topic).await
    }
}

/// An empty answer of a store that waits less than requested says nothing about the rest of the time, however
/// late the answer arrives.
#[test]
fn late_empty_answer_after_shorter_wait() {
    run_in_virtual_time(async {
        let log_store = Rc::new(LogStore::default());
        log_store.wait_limit.set(Duration::from_millis(400));
        log_store.answer_delay.set(Duration::from_millis(700));
        let log = Rc::clone(&log_store.log);
        log.put("a");
        let reader = Reader::start(log_store);
        sleep(Duration::from_millis(500)).await;
        log.put("b");
        reader.check_for(&log, Duration::from_secs(5)).await;
        assert_eq!(reader.freshness.position(), 2, "the record arrives");
    });
}

/// Records that were written while the parts of a reload were read have to come from a view that includes
/// them: a view that ends before leaves the reader without them, and isn't as current as the call.
#[test]
fn reload_through_stale_view() {
    run_in_virtual_time(async {
        let log_store = Rc::new(LogStore::default());
        let log = Rc::clone(&log_store.log);
        ["a", "z"].iter().for_each(|key| log.put(key));
        log_store.page_delay.set(PAGE_DELAY);
        log_store.stale_view.set(Some((log.end(), Instant::now())));
        let reader = Reader::start(log_store.clone());
        sleep(PAGE_DELAY / 2).await;
        log.put("a");
        reader.check_for(&log, Duration::from_secs(2)).await;
        log_store.stale_view.set(None);
        reader.check_for(&log, Duration::from_secs(2)).await;
        assert_eq!(reader.freshness.position(), 3, "the record arrives");
    });
}

/// A read that covers the parts of a reload, but ends before the log does, says nothing about the rest.
#[test]
fn reload_by_truncated_read() {
    run_in_virtual_time(async {
        let log_store = Rc::new(LogStore::default());
        let log = Rc::clone(&log_store.log);
        ["a", "z"].iter().for_each(|key| log.put(key));
        log_store.page_delay.set(PAGE_DELAY);
        log_store.max_records.set(2);
        log_store.answer_delay.set(Duration::from_millis(20));
        let reader = Reader::start(log_store);
        sleep(PAGE_DELAY / 2).await;
        log.put("a");
        sleep(PAGE_DELAY).await;
        ["b", "c", "d"].iter().for_each(|key| log.put(key));
        reader.check_for(&log, Duration::from_secs(2)).await;
        assert_eq!(reader.freshness.position(), 6, "all records arrive");
    });
}

/// A process appends while it reloads: the records that it has applied already stay, and the view is as old
/// as the records that it was built from.
#[test]
fn reload_keeps_own_append() {
    run_in_virtual_time(async {
        let log_store = Rc::new(LogStore::default());
        log_store
            .log
            .push(Record::Worker("i-1".to_owned(), Box::new(worker_record("a", "r", 8))).encode());
        let live = LiveTable::default();
        let store: Rc<dyn Store> =
            Rc::new(ReadYourWritesStore::new(log_store.clone(), live.clone()));
        tokio::task::spawn_local(live.clone().follow(Rc::clone(&store), PACE));
        sleep(PACE.wait / 2).await;
        log_store.page_delay.set(PAGE_DELAY);
        log_store.answer_delay.set(Duration::from_millis(20));
        log_store.trims_next.set(true);
        // Until the pending read has ended, and the last part of the reload has been read.
        sleep(PACE.wait / 2 + PAGE_DELAY * 2).await;
        let other = Record::Worker("i-2".to_owned(), Box::new(worker_record("b", "r", 8)));
        let end = store.append(STATE_TOPIC, &[other.encode()], None).await.expect("an end");
        assert_eq!(live.freshness.position(), end, "it is applied at once");
        for _ in 0..100 {
            assert_eq!(live.freshness.position(), end);
            assert!(live.table.borrow().workers.contains_key("i-2"), "it is gone again");
            sleep(Duration::from_millis(5)).await;
        }
    });
}

/// A peer that was stopped for a while gives the age as of its answer, not as of the call.
#[test]
fn pass_on_after_stop() {
    run_in_virtual_time(async {
        let log_store = Rc::new(LogStore::default());
        log_store.log.put("a");
        let peer = Reader::start(log_store);
        sleep(Duration::from_millis(100)).await;
        peer.stop();
        let followed = Rc::clone(&peer.freshness);
        let call = async move { followed.pass_on(1, PEER_WAIT, None).await };
        let call = tokio::task::spawn_local(call);
        sleep(PEER_WAIT / 2).await;
        tokio::time::advance(Duration::from_secs(5)).await;
        let batch = call.await.expect("no panic").expect("an answer");
        assert!(batch.records.is_empty());
        assert_eq!(Some(batch.age), peer.freshness.age());
        assert!(batch.age > Duration::from_secs(5));
    });
}

/// However long a read through a peer takes to the peer, at the peer and back, and however long the peer's
/// own reads take, no view of the chain is older than its age says.
#[rstest]
#[case::quick(5)]
#[case::slow(300)]
#[case::very_slow(1500)]
fn chain_of_late_answers(#[case] jitter_ms: u64, #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    run_in_virtual_time(async move {
        let log = Rc::new(Log::default());
        let log_store = |salt| LogStore {
            log: Rc::clone(&log),
            jitter: Cell::new(Duration::from_millis(jitter_ms)),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed * 10 + salt)),
            page_delay: Cell::new(PAGE_DELAY),
            max_records: Cell::new(3),
            ..LogStore::default()
        };
        let own_store = Rc::new(log_store(1));
        let peer = Reader::start(own_store.clone());
        let followed = Rc::clone(&peer.freshness);
        let peer_store =
            PeerStore { log_store: log_store(2), peer: followed, is_partial: Cell::new(false) };
        let reader = Reader::start(Rc::new(peer_store));
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..200 {
            let pause = if rng.random_bool(0.1) { 3000 } else { 100 };
            let pause = Duration::from_millis(rng.random_range(0..pause));
            let end = Instant::now() + pause;
            while Instant::now() < end {
                sleep(Duration::from_millis(5)).await;
                peer.check(&log);
                reader.check(&log);
            }
            let key = ["a", "b", "y", "z"][rng.random_range(0..4)];
            log.put(key);
            own_store.trims_next.set(rng.random_bool(0.05));
        }
        sleep(Duration::from_secs(600)).await;
        assert_eq!((peer.freshness.position(), reader.freshness.position()), (200, 200));
    });
}

/// A repeated append gets its first answer again, which says nothing about records appended after the first.
#[test]
fn own_append_answered_again() {
    run_in_virtual_time(async {
        let log_store = Rc::new(LogStore::default());
        let worker = |name: &str| {
            Record::Worker(name.to_owned(), Box::new(worker_record(name, "r", 8))).encode()
        };
        log_store.log.push(worker("i-1"));
        let live = LiveTable::default();
        let store: Rc<dyn Store> =
            Rc::new(ReadYourWritesStore::new(log_store.clone(), live.clone()));
        let follower = tokio::task::spawn_local(live.clone().follow(Rc::clone(&store), PACE));
        sleep(Duration::from_millis(50)).await;
        follower.abort();
        let own = worker("i-2");
        let fence = Fence { writer: "planner".to_owned(), epoch: 1, sequence: 0 };
        let append = || store.append(STATE_TOPIC, std::slice::from_ref(&own), Some(&fence));
        assert_eq!(append().await, Err(AppendError::Unknown));
        sleep(Duration::from_millis(50)).await;
        log_store.log.push(worker("i-3"));
        let acknowledged = Instant::now();
        sleep(Duration::from_secs(2)).await;
        assert_eq!(append().await, Ok(2));
        assert!(live.table.borrow().workers.contains_key("i-2"), "it is applied at once");
        assert!(!live.table.borrow().workers.contains_key("i-3"));
        assert!(live.freshness.age() > Some(acknowledged.elapsed()), "{:?}", live.freshness.age());
    });
}
