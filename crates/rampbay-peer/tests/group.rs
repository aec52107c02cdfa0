//! Group commit, against a store that applies appends one after the other, in virtual time.

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
use rampbay_peer::group::GroupStore;
use rampbay_peer::relay::RelayStore;
use rstest::rstest;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

/// Time that one append takes at a store of usual speed.
const APPEND_TIME: Duration = Duration::from_millis(4);
/// Longest queue of appends; further ones are rejected.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(2);

/// A store that applies appends one after the other.
#[derive(Default)]
struct SerialStore {
    append_lock: Mutex<()>,
    queued: Cell<u32>,
    slowness: Cell<u32>,
    kept: RefCell<Vec<KeyedRecord>>,
    appends: Cell<u32>,
    /// Larger values are refused, in bytes.
    max_value_bytes: Cell<Option<usize>>,
}

impl SerialStore {
    fn append_time(&self) -> Duration {
        APPEND_TIME * self.slowness.get().max(1)
    }
}

#[async_trait(?Send)]
impl Store for SerialStore {
    async fn append(
        &self,
        _: &str,
        records: &[KeyedRecord],
        _: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        if self.append_time() * self.queued.get() > MAX_QUEUE_TIME {
            return Err(AppendError::Refused);
        }
        self.queued.set(self.queued.get() + 1);
        let append_lock = self.append_lock.lock().await;
        sleep(self.append_time()).await;
        drop(append_lock);
        self.queued.set(self.queued.get() - 1);
        self.appends.set(self.appends.get() + 1);
        let is_too_large = |max: usize| records.iter().any(|record| record.value.len() > max);
        if self.max_value_bytes.get().is_some_and(is_too_large) {
            return Err(AppendError::TooLarge);
        }
        self.kept.borrow_mut().extend_from_slice(records);
        Ok(self.kept.borrow().len() as Offset)
    }

    async fn read(&self, _: &str, from: Offset, _: Duration) -> Result<Batch, ReadError> {
        sleep(self.append_time()).await;
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
        sleep(self.append_time()).await;
        Ok(None)
    }
}

fn run_in_virtual_time<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// The layers of one process over the store.
fn process(store: &Rc<SerialStore>) -> Rc<dyn Store> {
    let direct = DirectStore::new(Rc::clone(store) as Rc<dyn Store>, APPEND_TIME * 25);
    Rc::new(GroupStore::new(Rc::new(RelayStore::new(direct, Box::new(|| Rc::from([]))))))
}

fn record(number: u32) -> KeyedRecord {
    KeyedRecord { key: format!("key/{number}"), value: vec![1] }
}

#[test]
fn concurrent_appends_batched() {
    run_in_virtual_time(async {
        let store = Rc::new(SerialStore::default());
        let group = process(&store);
        let appends = (0..20).map(|number| {
            let group = Rc::clone(&group);
            async move { group.append(STATE_TOPIC, &[record(number)], None).await }
        });
        let outcomes = futures_util::future::join_all(appends).await;
        assert!(outcomes.iter().all(Result::is_ok));
        assert_eq!(store.kept.borrow().len(), 20);
        assert!(store.appends.get() <= 2, "appends during another one are batched");
    });
}

/// Records of a caller that gave up before they were sent are never appended.
#[test]
fn abandoned_append_skipped() {
    run_in_virtual_time(async {
        let store = Rc::new(SerialStore::default());
        store.slowness.set(50);
        let group = process(&store);
        let first = Rc::clone(&group);
        tokio::task::spawn_local(
            async move { first.append(STATE_TOPIC, &[record(1)], None).await },
        );
        sleep(Duration::from_millis(10)).await;
        let records = [record(2)];
        let second = group.append(STATE_TOPIC, &records, None);
        assert!(tokio::time::timeout(Duration::from_millis(50), second).await.is_err());
        sleep(Duration::from_secs(2)).await;
        assert_eq!(store.kept.borrow().clone(), vec![record(1)]);
    });
}

/// Four processes make five appends a second each while the store is slow for five seconds. Seen on
/// the bench: the store's queue grew past two seconds, and nearly all appends were rejected.
#[rstest]
#[case::sixty_times(60)]
#[case::ninety_six_times(96)]
fn slow_store_goodput(#[case] slowness: u32) {
    run_in_virtual_time(async move {
        let store = Rc::new(SerialStore::default());
        store.slowness.set(slowness);
        let (kept, slowest) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(Duration::ZERO)));
        for process in [process(&store), process(&store), process(&store), process(&store)] {
            for number in 0..25 {
                let (process, kept) = (Rc::clone(&process), Rc::clone(&kept));
                let slowest = Rc::clone(&slowest);
                tokio::task::spawn_local(async move {
                    sleep(Duration::from_millis(200) * number).await;
                    let sent = Instant::now();
                    if process.append(STATE_TOPIC, &[record(number)], None).await.is_ok() {
                        kept.set(kept.get() + 1);
                        slowest.set(slowest.get().max(sent.elapsed()));
                    }
                });
            }
        }
        sleep(Duration::from_secs(5)).await;
        store.slowness.set(1);
        sleep(Duration::from_secs(5)).await;
        assert_eq!(kept.get(), 100, "no append is rejected");
        // An append waits for the batch in progress of its process and for its own batch, each
        // behind those of three others.
        let max_time = APPEND_TIME * slowness * 9;
        assert!(slowest.get() < max_time, "{:?}", slowest.get());
        assert!(store.appends.get() < 100, "appends are batched");
    });
}

/// Each caller gets the offset after its own records. With the end of the whole batch, a process
/// whose table ends within the batch would take its own records for the last ones, and skip those
/// of others.
#[test]
fn batched_append_returns_own_end() {
    run_in_virtual_time(async {
        let store = Rc::new(SerialStore::default());
        let group = process(&store);
        let appends = (0..5).map(|number| {
            let group = Rc::clone(&group);
            let records = [record(number), record(100 + number)];
            async move { group.append(STATE_TOPIC, &records, None).await }
        });
        let outcomes = futures_util::future::join_all(appends).await;
        assert!(store.appends.get() <= 2, "they are batched");
        let kept = store.kept.borrow();
        for (number, outcome) in (0..).zip(outcomes) {
            let end = outcome.expect("kept") as usize;
            assert_eq!(kept[end - 2..end], [record(number), record(100 + number)]);
        }
    });
}

/// Guards against callers whose records aren't stored because those of another one in the same batch are too large.
#[test]
fn record_too_large_refused_alone() {
    run_in_virtual_time(async {
        let store = Rc::new(SerialStore::default());
        store.max_value_bytes.set(Some(8));
        let group = process(&store);
        let appends = (0..6).map(|number| {
            let group = Rc::clone(&group);
            let value = if number == 3 { vec![1; 9] } else { vec![1] };
            async move {
                let records = [KeyedRecord { value, ..record(number) }];
                group.append(STATE_TOPIC, &records, None).await
            }
        });
        let outcomes = futures_util::future::join_all(appends).await;
        for (number, outcome) in outcomes.iter().enumerate() {
            assert_eq!(*outcome == Err(AppendError::TooLarge), number == 3, "{outcomes:?}");
        }
        assert_eq!(store.kept.borrow().len(), 5);
    });
}
