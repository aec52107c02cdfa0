//! The age of a view of the store, and the latest records of the view.

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

/// Tracks how current a view is, and keeps the records to be passed on.
#[derive(Debug)]
pub struct Freshness {
    current_as_of: Cell<Option<Moment>>,
    /// When the view became current after it had been stale.
    current_from: Cell<Option<Moment>>,
    position: Cell<Offset>,
    changed: watch::Sender<u64>,
    recent: RefCell<Recent>,
    /// The latest time at which a process is known to have led.
    led_at: Cell<Option<Moment>>,
}

impl Default for Freshness {
    fn default() -> Self {
        Self {
            current_as_of: Cell::new(None),
            current_from: Cell::new(None),
            position: Cell::new(0),
            changed: watch::channel(0).0,
            recent: RefCell::default(),
            led_at: Cell::new(None),
        }
    }
}

/// Age at which a view is stale: it isn't being read without pause any more, since reads wait a second at most.
const STALE_AFTER: Duration = Duration::from_millis(1500);
/// Maximum bytes of records that are kept to be passed on; the latest record is kept in any case. A configuration may be
/// a quarter of a megabyte, and an entry with little memory has 160 MB. A reader that falls behind by more than this reads
/// from the store. The records of all processes and workers of 2,510 machines, which are all written at once after a loss
/// of power, take 2 MB.
const MAX_RECENT_BYTES: usize = 4 << 20;

/// The latest records, and the newest record of each key, to be passed on.
#[derive(Debug, Default)]
struct Recent {
    first: Offset,
    records: VecDeque<AddressedRecord>,
    bytes: usize,
    /// Whether records are kept.
    is_enabled: bool,
    /// The newest record of each key, if all were kept since the topic was last read in full.
    newest: Option<BTreeMap<String, Rc<KeyedRecord>>>,
}

impl Recent {
    fn push(&mut self, addressed: AddressedRecord) {
        self.note_newest(&addressed.record);
        self.bytes += addressed.size();
        self.records.push_back(addressed);
        while self.bytes > MAX_RECENT_BYTES && self.records.len() > 1 {
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
        self.newest = self.is_enabled.then(BTreeMap::new);
        if self.is_enabled {
            let records = records.iter().copied().flatten();
            records.for_each(|record| self.note_newest(&Rc::new(record.clone())));
        }
    }
}

impl Freshness {
    /// Returns the age of the view: it holds all that the store had acknowledged that long ago.
    /// `None` before the first read of the whole topic.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.current_as_of.get().map(|at| at.elapsed())
    }

    /// Returns the time for which the view has been read without pause; `None` if it is stale now.
    #[must_use]
    pub fn current_for(&self) -> Option<Duration> {
        let current_from = self.current_from.get()?;
        self.is_within(STALE_AFTER).then(|| current_from.elapsed())
    }

    /// Returns whether the view is no older than a limit.
    #[must_use]
    pub fn is_within(&self, limit: Duration) -> bool {
        self.age().is_some_and(|age| age <= limit)
    }

    /// Returns how long ago a process is known to have led; `None` if that isn't known of any.
    #[must_use]
    pub fn led_age(&self) -> Option<Duration> {
        self.led_at.get().map(|at| at.elapsed())
    }

    /// Records that a process led at this time.
    pub fn note_led(&self, at: Moment) {
        if self.led_at.get().is_none_or(|before| before < at) {
            self.led_at.set(Some(at));
        }
    }

    /// Returns the offset up to which records have been applied.
    #[must_use]
    pub fn position(&self) -> Offset {
        self.position.get()
    }

    /// Returns a receiver that is notified of each change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Notifies all subscribers.
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

    /// Waits until records up to `offset` have been applied.
    pub async fn reach(&self, offset: Offset) {
        let mut changes = self.subscribe();
        while self.position.get() < offset {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Starts to keep the latest records, so that they can be passed on. A process through which no other
    /// reads needn't keep them: the first reader causes it to start, and is served from its next read on.
    pub fn keep_recent(&self) {
        let mut recent = self.recent.borrow_mut();
        if !recent.is_enabled {
            recent.is_enabled = true;
            recent.first = self.position.get();
        }
    }

    /// Returns whether the latest records are kept.
    #[must_use]
    pub fn keeps(&self) -> bool {
        self.recent.borrow().is_enabled
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
            // The time is checked before the records: an empty answer counts as current as of the end of the
            // wait, also if the process is stopped between the two.
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

    /// Returns the kept records from an offset on; `None` if the view hasn't reached the offset.
    fn batch(&self, from: Offset, agent: Option<&str>) -> Result<Option<Batch>, ReadError> {
        let age = self.age().ok_or(ReadError::Unavailable)?;
        let recent = self.recent.borrow();
        let end = self.position.get();
        if !recent.is_enabled || from < recent.first {
            drop(recent);
            self.keep_recent();
            return Err(ReadError::Unavailable);
        }
        if from > end {
            return Ok(None);
        }
        let new = recent.records.iter().skip((from - recent.first) as usize);
        let records = match agent {
            Some(agent) => new.flat_map(|addressed| addressed.records_for(agent)).collect(),
            None => new.map(|addressed| addressed.record.as_ref().clone()).collect(),
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

    /// Keeps the record that follows the kept ones, to be passed on.
    pub(crate) fn keep(&self, addressed: AddressedRecord) {
        self.recent.borrow_mut().push(addressed);
    }

    /// Forgets the kept records; the next one will be that at `position`. The lists hold the newest record of each key up
    /// to there, after older records of the key.
    pub(crate) fn restart(&self, position: Offset, records: &[&[KeyedRecord]]) {
        self.recent.borrow_mut().restart(position, records);
    }

    /// Returns the newest record of each key, if it is wanted.
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

    /// Records that the view holds all that the store had acknowledged at this time. Subscribers are
    /// notified if the view was stale, since they may be waiting for a current one.
    pub(crate) fn note_current_as_of(&self, at: Moment) {
        let was_stale = !self.is_within(STALE_AFTER);
        if self.current_as_of.get().is_none_or(|before| before < at) {
            self.current_as_of.set(Some(at));
        }
        if was_stale {
            self.current_from.set(Some(Moment::now()));
            self.notify();
        }
    }

    /// Sets the offset up to which records have been applied, and notifies subscribers.
    pub(crate) fn move_to(&self, position: Offset) {
        self.position.set(position);
        self.notify();
    }
}
