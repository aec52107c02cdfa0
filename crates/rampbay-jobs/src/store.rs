//! Interface to the store: an append-only log that keeps the newest record of each key permanently.

use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::clock::Moment;
use crate::job::NodeName;
use crate::keys::subject;
use crate::record::{KeyedRecord, PROGRESS_TOPIC};

/// Offset of a record in its topic.
pub type Offset = u64;

/// Maximum bytes of one append: a quarter of what the store accepts in one call, and 25 ms of a partition's time. A limit
/// on the number of records would limit a slow store's throughput: 64 records an append were 270 records a second at a
/// store 60 times slower.
pub const BYTES_PER_APPEND: usize = 512 << 10;

/// Maximum bytes of an append of records that stay together: three quarters of what the store accepts in one call.
const MAX_BYTES_TOGETHER: usize = 3 * BYTES_PER_APPEND;

/// Divides records into appends of at most [`BYTES_PER_APPEND`]. An append may be larger if it is a single record, or if it
/// ends with records about one job or worker, which stay together up to three times as many bytes: the next leader must not
/// find half of a gang started, nor a job that starts again because only its plan was removed. The plan of 20,000 tasks
/// takes 0.8 MB.
pub fn split_into_appends(records: &[KeyedRecord]) -> impl Iterator<Item = &[KeyedRecord]> {
    let mut bytes = 0;
    records.chunk_by(move |before, next| {
        bytes = if bytes == 0 { before.size() } else { bytes };
        bytes += next.size();
        let about = subject(&before.key);
        let is_about_one = about.is_some() && about == subject(&next.key);
        let fits = bytes <= BYTES_PER_APPEND || (is_about_one && bytes <= MAX_BYTES_TOGETHER);
        bytes = if fits { bytes } else { 0 };
        fits
    })
}

/// The sizes that a store takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Maximum size of a record, in bytes, with its key.
    pub record_bytes: usize,
    /// Maximum size of an append, in bytes.
    pub append_bytes: usize,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self { record_bytes: 256 << 10, append_bytes: 2 << 20 }
    }
}

/// Bytes that a record takes beside its key and its value: the length of both, and of the key.
const RECORD_HEADER_BYTES: usize = 5;

impl StoreLimits {
    /// Returns whether the store takes a record.
    #[must_use]
    pub const fn allow_record(&self, record: &KeyedRecord) -> bool {
        record.size() + RECORD_HEADER_BYTES <= self.record_bytes
    }

    /// Returns whether the store takes records in one append.
    #[must_use]
    pub fn allow_append(&self, records: &[KeyedRecord]) -> bool {
        let bytes = records.iter().map(|record| record.size() + RECORD_HEADER_BYTES);
        bytes.sum::<usize>() <= self.append_bytes
            && records.iter().all(|record| self.allow_record(record))
    }
}

/// Marks the appends of one writer, so that the store refuses older writers and answers a
/// repeated append again without carrying it out twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// Name that all writers of one kind share.
    pub writer: String,
    /// Epoch of this writer.
    pub epoch: u64,
    /// Number of the append in its epoch, from 0.
    pub sequence: u64,
}

/// Why an append did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum AppendError {
    /// Nothing was done; try again later.
    #[error("the store refused the append")]
    Refused,
    /// Nothing was done: a writer with a higher epoch has taken over.
    #[error("a newer writer has taken over")]
    Fenced,
    /// The append may have been carried out, or may still be.
    #[error("no answer to the append")]
    Unknown,
    /// Nothing was done: a record, or the whole append, is larger than the store takes. A repetition would fail, too.
    #[error("the append is larger than the store takes")]
    TooLarge,
}

/// Why a read did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ReadError {
    /// The records from this offset on are gone; read the newest of each key instead.
    #[error("the store has dropped these records")]
    Trimmed,
    /// The store can't be reached or refused the call.
    #[error("the store can't be read")]
    Unavailable,
}

/// An answer to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The offset after the last record that the topic holds.
    pub end: Offset,
    /// The offset up to which the answer covers the topic, and from which to read on.
    pub next: Offset,
    /// Records from the requested offset on: all of them if `next` follows the last one, otherwise those
    /// that concern the reader.
    pub records: Vec<KeyedRecord>,
    /// Age of the answering process's view when it answered; zero if the store itself answered.
    pub age: Duration,
    /// How long ago a process is known to have led, by the answering process; `None` if the store itself answered.
    pub led_age: Option<Duration>,
    /// How long the call is known to have waited for a record before it found none. The caller sets it
    /// ([`Self::after_wait`]), since a layer may wait less than its reader asked for, or be the second one that was
    /// called.
    #[serde(skip)]
    pub waited: Duration,
    /// Whether only records that concern the reader were requested. The caller sets it, since an answer with gaps may
    /// have as many records as one without: jobs are sent along with their plans.
    #[serde(skip)]
    pub is_partial: bool,
}

impl Batch {
    /// Records that the answer is to a call that was sent at `sent` and asked to wait `wait`. An empty
    /// answer comes only after that wait and is current as of its end; any other is current as of `sent`.
    #[must_use]
    pub fn after_wait(mut self, sent: Instant, wait: Duration) -> Self {
        let waited = self.records.is_empty() && sent.elapsed() >= wait;
        self.waited = if waited { wait } else { Duration::ZERO };
        self
    }

    /// Returns the time as of which the answer is current, for a reader whose call started at `started`: all
    /// that the store had acknowledged by then is before `end`. `None` if that time can't be represented.
    #[must_use]
    pub fn current_as_of(&self, started: Moment) -> Option<Moment> {
        (started + self.waited).checked_sub(self.age)
    }

    /// Returns when a process is known to have led, for a reader whose call started at `started`.
    #[must_use]
    pub fn led_at(&self, started: Moment) -> Option<Moment> {
        (started + self.waited).checked_sub(self.led_age?)
    }

    /// Returns the records that a reader hasn't applied yet, which requested them from `from` on and has
    /// reached `known` in the meantime. If the answer may leave records out, their offsets aren't known, and
    /// all records are returned: the newest record of a key counts.
    #[must_use]
    pub fn new_since(&self, from: Offset, known: Offset) -> &[KeyedRecord] {
        let is_whole = !self.is_partial && from + self.records.len() as Offset == self.next;
        let known = if is_whole { known.saturating_sub(from) as usize } else { 0 };
        &self.records[known.min(self.records.len())..]
    }
}

/// The newest record of each key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The records; not all of them were read at the same moment.
    pub records: Vec<KeyedRecord>,
    /// Offset from which to read on, so that nothing is missed.
    pub read_from: Offset,
    /// End of the topic when the last part of the snapshot was read.
    pub end: Offset,
    /// Age of the view that the snapshot was taken of; zero if the store itself answered.
    pub age: Duration,
}

/// An answer to a candidate for leadership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidacy {
    /// Number of the composition of the group of candidates; rises with each change.
    pub generation: u64,
    /// Whether this member leads.
    pub leads: bool,
}

/// The store.
#[async_trait(?Send)]
pub trait Store {
    /// Appends records, all or none, and returns the offset after them.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the records may have been stored.
    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError>;

    /// Sends reports of the runs' progress; the newest of each key counts. Reports may be lost on the way.
    ///
    /// # Errors
    ///
    /// Returns an error if no process accepted them.
    async fn report(&self, reports: &[KeyedRecord]) -> Result<(), AppendError> {
        self.append(PROGRESS_TOPIC, reports, None).await.map(|_| ())
    }

    /// Reads from an offset on; waits up to `wait` for a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the records are gone or the store can't be read.
    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError>;

    /// Returns the end of a topic, whose records up to `known` the caller knows.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be read.
    async fn end(&self, topic: &str, known: Offset) -> Result<Offset, ReadError> {
        Ok(self.read(topic, known, Duration::ZERO).await?.end)
    }

    /// Reads the newest record of each key.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be read.
    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError>;

    /// Becomes, or remains, a candidate for leadership.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached.
    async fn stand_for_election(
        &self,
        member: &str,
        generation: u64,
    ) -> Result<Candidacy, ReadError>;

    /// Gives leadership up.
    async fn resign(&self, member: &str);

    /// Returns the process that leads, if any. The answer is small, so that the call also serves to check
    /// whether the store answers at all.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached or refused the call.
    async fn holder(&self) -> Result<Option<NodeName>, ReadError>;

    /// Waits until the store answers again after it didn't; forever where that isn't observed.
    async fn recovered(&self) {
        std::future::pending::<()>().await;
    }
}
