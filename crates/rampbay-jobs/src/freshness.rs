//! How old a view of the store is, and the latest records of it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::clock::Moment;
use crate::recipients::AddressedRecord;
use crate::record::KeyedRecord;
use crate::store::{Batch, Offset, ReadError, Snapshot};

/// How current the view is.
#[derive(Debug)]
pub struct Freshness {
    proven_at: Cell<Option<Moment>>,
    position: Cell<Offset>,
    changed: watch::Sender<u64>,
    recent: RefCell<Recent>,
    /// When somebody surely led last, as far as this process has heard.
    led_at: Cell<Option<Moment>>,
}

impl Default for Freshness {
    fn default() -> Self {
        Self {
            proven_at: Cell::new(None),
            position: Cell::new(0),
            changed: watch::channel(0).0,
            recent: RefCell::default(),
            led_at: Cell::new(None),
        }
    }
}

/// Age from which on a view isn't read without pause any more: reads wait a second at most.
const STALE_AFTER: Duration = Duration::from_millis(1500);
/// Most bytes of records that are kept to be passed on, but for the latest one: a configuration may be a quarter of a
/// megabyte, and an entry with little memory has 160 MB. Whoever reads more slowly than so much comes reads from the
/// store. All processes and workers of 2,510 machines, which tell of themselves at once after a loss of power, take 2 MB.
const MOST_RECENT_BYTES: usize = 4 << 20;

/// The latest records, and the newest of each key, to be passed on.
#[derive(Debug, Default)]
struct Recent {
    first: Offset,
    records: VecDeque<AddressedRecord>,
    bytes: usize,
    kept: bool,
    /// The newest record of each key, if all were kept since the topic was read as a whole.
    newest: Option<BTreeMap<String, Rc<KeyedRecord>>>,
}

impl Recent {
    fn push(&mut self, passed: AddressedRecord) {
        self.note_newest(&passed.record);
        self.bytes += passed.size();
        self.records.push_back(passed);
        while self.bytes > MOST_RECENT_BYTES && self.records.len() > 1 {
            self.pop();
        }
    }

    fn note_newest(&mut self, record: &Rc<KeyedRecord>) {
        let Some(newest) = &mut self.newest else { return };
        if record.value.is_empty() {
            newest.remove(&record.key);
        } else {
            newest.insert(record.key.clone(), Rc::clone(record));
        }
    }

    fn pop(&mut self) {
        if let Some(oldest) = self.records.pop_front() {
            self.bytes -= oldest.size();
            self.first += 1;
        }
    }

    fn restart(&mut self, first: Offset, records: &[&[KeyedRecord]]) {
        self.records.clear();
        self.bytes = 0;
        self.first = first;
        self.newest = self.kept.then(BTreeMap::new);
        if self.kept {
            let records = records.iter().copied().flatten();
            records.for_each(|record| self.note_newest(&Rc::new(record.clone())));
        }
    }
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

    /// Returns how long ago somebody surely led, as far as this process has heard; `None` before it has.
    #[must_use]
    pub fn led_age(&self) -> Option<Duration> {
        self.led_at.get().map(|at| at.elapsed())
    }

    /// Takes note that somebody led at this time.
    pub fn note_led(&self, at: Moment) {
        if self.led_at.get().is_none_or(|before| before < at) {
            self.led_at.set(Some(at));
        }
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

    /// Waits until the whole topic has been read once.
    pub async fn first_read(&self) {
        let mut changes = self.subscribe();
        while self.age().is_none() {
            if changes.changed().await.is_err() {
                return;
            }
        }
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

    /// Begins to keep the latest records, so that they can be passed on. A process that nobody reads
    /// through needn't: the first reader makes it begin, and is served from its next read on.
    pub fn keep_recent(&self) {
        let mut recent = self.recent.borrow_mut();
        if !recent.kept {
            recent.kept = true;
            recent.first = self.position.get();
        }
    }

    /// Returns whether the latest records are kept.
    #[must_use]
    pub fn keeps(&self) -> bool {
        self.recent.borrow().kept
    }

    /// Passes on records from an offset on: all, or those that an agent needs. Waits up to `wait`
    /// for one.
    ///
    /// # Errors
    ///
    /// Returns an error if nothing is known yet, or these records aren't kept.
    pub async fn pass_on(
        &self,
        from: Offset,
        wait: Duration,
        agent: Option<&str>,
    ) -> Result<Batch, ReadError> {
        let deadline = Instant::now() + wait;
        let mut changes = self.subscribe();
        loop {
            changes.borrow_and_update();
            // Before the look: an empty answer speaks for the end of the wait, also where the process is
            // stopped between the two.
            let is_over = Instant::now() >= deadline;
            let batch = self.batch(from, agent)?;
            if let Some(batch) = batch.filter(|batch| is_over || !batch.records.is_empty()) {
                return Ok(batch);
            }
            if is_over {
                return Err(ReadError::Unavailable);
            }
            let _ = tokio::time::timeout_at(deadline, changes.changed()).await;
        }
    }

    /// Returns the kept records from an offset on; `None` before they are there.
    fn batch(&self, from: Offset, agent: Option<&str>) -> Result<Option<Batch>, ReadError> {
        let age = self.age().ok_or(ReadError::Unavailable)?;
        let recent = self.recent.borrow();
        let end = self.position.get();
        if !recent.kept || from < recent.first {
            drop(recent);
            self.keep_recent();
            return Err(ReadError::Unavailable);
        }
        if from > end {
            return Ok(None);
        }
        let new = recent.records.iter().skip((from - recent.first) as usize);
        let records = match agent {
            Some(agent) => new.flat_map(|passed| passed.records_for(agent)).collect(),
            None => new.map(|passed| passed.record.as_ref().clone()).collect(),
        };
        Ok(Some(Batch {
            end,
            next: end,
            records,
            age,
            led_age: self.led_age(),
            is_partial: agent.is_some(),
            ..Batch::default()
        }))
    }

    /// Keeps the record that follows on the kept ones, to pass it on.
    pub(crate) fn keep(&self, passed: AddressedRecord) {
        self.recent.borrow_mut().push(passed);
    }

    /// Forgets the kept records; the next ones begin at `position`. The newest record of each key up to there is in
    /// the lists, the later ones behind.
    pub(crate) fn restart(&self, position: Offset, records: &[&[KeyedRecord]]) {
        self.recent.borrow_mut().restart(position, records);
    }

    /// Passes on the newest record of each key that is wanted.
    ///
    /// # Errors
    ///
    /// Returns an error if nothing is known yet, or not all of them were kept.
    pub fn pass_on_newest(
        &self,
        is_wanted: impl Fn(&KeyedRecord) -> bool,
    ) -> Result<Snapshot, ReadError> {
        let age = self.age().ok_or(ReadError::Unavailable)?;
        let recent = self.recent.borrow();
        let newest = recent.newest.as_ref().ok_or(ReadError::Unavailable)?;
        let wanted = newest.values().filter(|record| is_wanted(record));
        let records = wanted.map(|record| record.as_ref().clone()).collect();
        let end = self.position.get();
        Ok(Snapshot { records, read_from: end, end, age })
    }

    /// Takes note that the view holds all that the store had acknowledged at this time. Whoever
    /// waits for a view that is current is told.
    pub(crate) fn note_current_as_of(&self, at: Moment) {
        let was_stale = !self.is_within(STALE_AFTER);
        if self.proven_at.get().is_none_or(|before| before < at) {
            self.proven_at.set(Some(at));
        }
        if was_stale {
            self.notify();
        }
    }

    /// Takes note that records up to `position` are taken in.
    pub(crate) fn move_to(&self, position: Offset) {
        self.position.set(position);
        self.notify();
    }
}
