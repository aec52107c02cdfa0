//! Follows a topic of the store and knows how old its view is.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::record::KeyedRecord;
use crate::store::{Batch, Offset, ReadError, Store};

/// Pause after a read that failed, so that a store that is down isn't pressed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after reads that failed again and again.
const LONGEST_RETRY_PAUSE: Duration = Duration::from_millis(400);

/// How a topic is followed.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// How long a read waits at the store for a record.
    pub wait: Duration,
    /// Least time between two reads, so that records come in groups.
    pub gap: Duration,
}

/// What the followed records go into.
pub trait Sink {
    /// Forgets everything: the newest records of all keys follow.
    fn reset(&mut self);
    /// Takes in one record.
    fn apply(&mut self, record: &KeyedRecord);
    /// Takes note that the topic could be read.
    fn read(&mut self) {}
}

/// How current the view is.
#[derive(Debug)]
pub struct Freshness {
    proven_at: Cell<Option<Instant>>,
    position: Cell<Offset>,
    changed: watch::Sender<u64>,
    recent: RefCell<Recent>,
}

impl Default for Freshness {
    fn default() -> Self {
        Self {
            proven_at: Cell::new(None),
            position: Cell::new(0),
            changed: watch::channel(0).0,
            recent: RefCell::default(),
        }
    }
}

/// Most records that are kept to be passed on.
const MOST_RECENT: usize = 2048;

/// The latest records, to be passed on.
#[derive(Debug, Default)]
struct Recent {
    first: Offset,
    records: VecDeque<KeyedRecord>,
    kept: bool,
}

impl Freshness {
    /// Returns the age of the view: all that the store had acknowledged so long ago is in it.
    /// `None` before the first read of the whole topic.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.proven_at.get().map(|at| at.elapsed())
    }

    /// Returns whether the view is at most so old.
    #[must_use]
    pub fn is_within(&self, limit: Duration) -> bool {
        self.age().is_some_and(|age| age <= limit)
    }

    /// Returns the offset up to which records are taken in.
    #[must_use]
    pub fn position(&self) -> Offset {
        self.position.get()
    }

    /// Returns a receiver that is told of each change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Tells all who subscribed to look again.
    pub fn notify(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

    /// Waits until records up to `offset` are taken in.
    pub async fn reach(&self, offset: Offset) {
        let mut changes = self.subscribe();
        while self.position.get() < offset {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Begins to keep the latest records, so that they can be passed on.
    pub fn keep_recent(&self) {
        self.recent.borrow_mut().kept = true;
    }

    /// Passes on records from an offset on; waits up to `wait` for one.
    ///
    /// # Errors
    ///
    /// Returns an error if nothing is known yet, or these records aren't kept.
    pub async fn pass_on(&self, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let deadline = Instant::now() + wait;
        let mut changes = self.subscribe();
        while self.position.get() <= from && Instant::now() < deadline {
            let _ = tokio::time::timeout_at(deadline, changes.changed()).await;
        }
        let age = self.age().ok_or(ReadError::Unavailable)?;
        let recent = self.recent.borrow();
        let end = self.position.get();
        if !recent.kept || from < recent.first || from > end {
            return Err(ReadError::Unavailable);
        }
        let skipped = (from - recent.first) as usize;
        let records = recent.records.iter().skip(skipped).cloned().collect();
        Ok(Batch { end, records, age })
    }

    fn keep(&self, at: Offset, records: &[KeyedRecord]) {
        let mut recent = self.recent.borrow_mut();
        if !recent.kept {
            return;
        }
        if recent.records.is_empty() {
            recent.first = at;
        }
        recent.records.extend(records.iter().cloned());
        while recent.records.len() > MOST_RECENT {
            recent.records.pop_front();
            recent.first += 1;
        }
    }

    fn restart(&self, position: Offset) {
        let mut recent = self.recent.borrow_mut();
        recent.records.clear();
        recent.first = position;
    }

    fn prove(&self, at: Instant) {
        if self.proven_at.get().is_none_or(|before| before < at) {
            self.proven_at.set(Some(at));
        }
    }

    fn move_to(&self, position: Offset) {
        self.position.set(position);
        self.notify();
    }
}

/// Follows `topic` for ever.
pub async fn follow(
    store: Rc<dyn Store>,
    topic: &str,
    pace: Pace,
    freshness: Rc<Freshness>,
    mut sink: impl Sink,
) {
    let mut reloads = true;
    let mut pause = RETRY_PAUSE;
    let mut reachable = true;
    loop {
        let started = Instant::now();
        let result = if reloads {
            reload(store.as_ref(), topic, &freshness, &mut sink).await
        } else {
            // The first read after a failure doesn't wait: it shows how current the view is.
            let wait = if reachable { pace.wait } else { Duration::ZERO };
            advance(store.as_ref(), topic, wait, &freshness, &mut sink).await
        };
        match result {
            Ok(()) => {
                if !reachable {
                    log::info!("event=J101 store regained topic={topic}");
                }
                reachable = true;
                reloads = false;
                sink.read();
                pause = RETRY_PAUSE;
                tokio::time::sleep_until(started + pace.gap).await;
            }
            Err(ReadError::Trimmed) => {
                log::info!(
                    "event=J103 history dropped topic={topic} position={}",
                    freshness.position()
                );
                reloads = true;
            }
            Err(ReadError::Unavailable) => {
                if reachable {
                    log::warn!("event=J102 store lost topic={topic} age_ms={}", age_ms(&freshness));
                }
                reachable = false;
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_RETRY_PAUSE);
            }
        }
    }
}

fn age_ms(freshness: &Freshness) -> i128 {
    freshness.age().map_or(-1, |age| age.as_millis() as i128)
}

async fn reload(
    store: &dyn Store,
    topic: &str,
    freshness: &Freshness,
    sink: &mut impl Sink,
) -> Result<(), ReadError> {
    let mut started = Instant::now();
    let snapshot = store.newest(topic).await?;
    // What came while the parts were read is read again, up to an end that covers all of them.
    let mut later = Vec::new();
    let mut position = snapshot.read_from;
    while position < snapshot.end {
        started = Instant::now();
        let batch = store.read(topic, position, Duration::ZERO).await?;
        if batch.records.is_empty() {
            break;
        }
        position += batch.records.len() as u64;
        later.extend(batch.records);
    }
    sink.reset();
    freshness.restart(position);
    snapshot.records.iter().chain(&later).for_each(|record| sink.apply(record));
    freshness.prove(started);
    freshness.move_to(position);
    Ok(())
}

async fn advance(
    store: &dyn Store,
    topic: &str,
    wait: Duration,
    freshness: &Freshness,
    sink: &mut impl Sink,
) -> Result<(), ReadError> {
    let started = Instant::now();
    let batch = store.read(topic, freshness.position(), wait).await?;
    freshness.keep(freshness.position(), &batch.records);
    let count = batch.records.len() as u64;
    batch.records.iter().for_each(|record| sink.apply(record));
    let position = freshness.position() + count;
    if position >= batch.end {
        // An empty answer comes only after the whole wait, and speaks for its end.
        let waited = count == 0 && started.elapsed() >= wait;
        let answered = if waited { started + wait } else { started };
        freshness.prove(answered.checked_sub(batch.age).unwrap_or(answered));
    }
    if count > 0 {
        freshness.move_to(position);
    }
    Ok(())
}
