//! The age of a view against what the store had acknowledged: a view may be younger than it is taken to
//! be, and never older.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::follower::{Pace, Sink, follow};
use rampbay_jobs::freshness::Freshness;
use rampbay_jobs::job::NodeName;
use rampbay_jobs::record::{KeyedRecord, STATE_TOPIC};
use rampbay_jobs::store::{
    AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store,
};
use support::on_virtual_time;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// How a reader reads: as processes read the state.
const PACE: Pace = Pace { wait: Duration::from_millis(1000), gap: Duration::from_millis(25) };

/// A log that knows when it has acknowledged each record. The value of a record is its offset.
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
        let record = KeyedRecord { key: key.to_owned(), value };
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

    async fn reaches_past(&self, from: Offset, wait: Duration) {
        let deadline = Instant::now() + wait;
        while self.end() <= from && Instant::now() < deadline {
            let appended = self.appended.notified();
            let _ = tokio::time::timeout_at(deadline, appended).await;
        }
    }
}

/// What a reader has taken in, by key.
type Taken = Rc<RefCell<BTreeMap<String, KeyedRecord>>>;

struct TakenSink(Taken);

impl Sink for TakenSink {
    fn reset(&mut self) {
        self.0.borrow_mut().clear();
    }

    fn apply(&mut self, record: &KeyedRecord) {
        self.0.borrow_mut().insert(record.key.clone(), record.clone());
    }
}

/// A reader that follows a store.
struct Reader {
    taken: Taken,
    freshness: Rc<Freshness>,
}

impl Reader {
    fn start(store: Rc<dyn Store>) -> Self {
        let reader = Self { taken: Taken::default(), freshness: Rc::default() };
        let (sink, freshness) = (TakenSink(reader.taken.clone()), Rc::clone(&reader.freshness));
        tokio::task::spawn_local(async move {
            follow(store, STATE_TOPIC, PACE, freshness, sink).await;
        });
        reader
    }

    /// Checks that all is there that the log had acknowledged as long ago as the view is old.
    fn check(&self, log: &Log) {
        let Some(age) = self.freshness.age() else { return };
        let taken = self.taken.borrow();
        for (record, acknowledged) in log.records.borrow().iter() {
            if acknowledged.elapsed() <= age {
                continue;
            }
            let held = taken.get(&record.key).map(|held| &held.value);
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

/// A way to the log: no longer than its limit does it wait for a record, and its answers are late.
#[derive(Default)]
struct Way {
    log: Rc<Log>,
    wait_limit: Cell<Duration>,
    answer_delay: Cell<Duration>,
}

#[async_trait(?Send)]
impl Store for Way {
    async fn append(
        &self,
        _: &str,
        _: &[KeyedRecord],
        _: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        Err(AppendError::Refused)
    }

    async fn read(&self, _: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let sent = Instant::now();
        let wait = wait.min(self.wait_limit.get());
        self.log.reaches_past(from, wait).await;
        let end = self.log.end();
        let records = self.log.slice(from, end);
        sleep(self.answer_delay.get()).await;
        Ok(Batch { end, next: end, records, ..Batch::default() }.after_wait(sent, wait))
    }

    async fn newest(&self, _: &str) -> Result<Snapshot, ReadError> {
        let end = self.log.end();
        Ok(Snapshot { records: self.log.newest(..), read_from: end, end })
    }

    async fn stand(&self, _: &str, _: u64) -> Result<Candidacy, ReadError> {
        Err(ReadError::Unavailable)
    }

    async fn resign(&self, _: &str) {}

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        Err(ReadError::Unavailable)
    }
}

/// A way that waits less than it is asked to says nothing about the rest of the time, however late its
/// answer comes.
#[test]
fn late_empty_answer_after_shorter_wait() {
    on_virtual_time(async {
        let way = Rc::new(Way::default());
        way.wait_limit.set(Duration::from_millis(400));
        way.answer_delay.set(Duration::from_millis(700));
        let log = Rc::clone(&way.log);
        log.put("a");
        let reader = Reader::start(way);
        sleep(Duration::from_millis(500)).await;
        log.put("b");
        reader.check_for(&log, Duration::from_secs(5)).await;
        assert_eq!(reader.freshness.position(), 2, "it does come in");
    });
}
