//! Border to the store: an append-only log whose newest record of each key is kept for good.

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

/// Most bytes of one append: a quarter of what the store takes in one call, and 25 ms of a partition's time. A limit
/// by number would bind what a slow store takes: 64 records an append were 270 a second at one 60 times slower.
pub const BYTES_PER_APPEND: usize = 512 << 10;

/// Divides records into appends, each of [`BYTES_PER_APPEND`] at most, of a single record, or of the last records about one
/// job or worker: whoever leads next must not find half of a gang started, nor a job that begins anew since its account alone
/// was removed. The account of 20,000 tasks takes 0.8 MB, and the store two megabytes a call.
pub fn split_into_appends(records: &[KeyedRecord]) -> impl Iterator<Item = &[KeyedRecord]> {
    let mut bytes = 0;
    records.chunk_by(move |before, next| {
        bytes = if bytes == 0 { before.size() } else { bytes };
        bytes += next.size();
        let about = subject(&before.key);
        let is_about_one = about.is_some() && about == subject(&next.key);
        let fits = bytes <= BYTES_PER_APPEND || is_about_one;
        bytes = if fits { bytes } else { 0 };
        fits
    })
}

/// Marks the appends of one writer, so that the store refuses older writers and answers a
/// repeated append again without doing it twice.
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
    #[error("the store turned the append away")]
    Refused,
    /// Nothing was done: a writer with a higher epoch has taken over.
    #[error("a newer writer has taken over")]
    Fenced,
    /// The append may have been done, or may still be.
    #[error("no answer to the append")]
    Unknown,
}

/// Why a read did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ReadError {
    /// The records from this offset on are gone; read the newest of each key instead.
    #[error("the store has dropped these records")]
    Trimmed,
    /// The store can't be reached or turned the call away.
    #[error("the store can't be read")]
    Unavailable,
}

/// An answer to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The offset after the last record that the topic holds.
    pub end: Offset,
    /// The offset up to which the records speak, and from which to read on.
    pub next: Offset,
    /// Records from the asked offset on. Without gaps where `next` follows on the last of them;
    /// otherwise those that concern the reader.
    pub records: Vec<KeyedRecord>,
    /// How old the answer's view of the store was when it was given; zero from the store itself.
    pub age: Duration,
    /// How long ago somebody surely led, as far as whoever gave the answer has heard; `None` from the store itself.
    pub led_age: Option<Duration>,
    /// How long the answer surely waited for a record before it found none. Whoever made the call says
    /// so ([`Self::after_wait`]): a way may wait less than its reader asked for, or be the second one.
    #[serde(skip)]
    pub waited: Duration,
    /// Whether only what concerns the reader was asked for. Whoever made the call says so: an answer with gaps
    /// may have as many records as one without, since jobs come along with their accounts.
    #[serde(skip)]
    pub is_partial: bool,
}

impl Batch {
    /// Takes note that the answer is to a call that was sent at `sent` and told to wait `wait`. One that
    /// is empty comes only after that wait, and speaks for its end; any other speaks for `sent`.
    #[must_use]
    pub fn after_wait(mut self, sent: Instant, wait: Duration) -> Self {
        let waited = self.records.is_empty() && sent.elapsed() >= wait;
        self.waited = if waited { wait } else { Duration::ZERO };
        self
    }

    /// Returns the time for which the answer speaks, to a reader whose call began at `started`: all that
    /// the store had acknowledged by then lies before `end`. `None` if that is too long ago to be told.
    #[must_use]
    pub fn current_as_of(&self, started: Moment) -> Option<Moment> {
        (started + self.waited).checked_sub(self.age)
    }

    /// Returns when somebody surely led, to a reader whose call began at `started`.
    #[must_use]
    pub fn led_at(&self, started: Moment) -> Option<Moment> {
        (started + self.waited).checked_sub(self.led_age?)
    }

    /// Returns the records that a reader who asked from `from` on and has come to `known` meanwhile
    /// hasn't taken in yet. Where some are left out, offsets say nothing, and all are returned: the
    /// newest record of a key counts.
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
    /// The records; not all of one moment.
    pub records: Vec<KeyedRecord>,
    /// From where to read on, so that nothing is missed.
    pub read_from: Offset,
    /// The end when the last part was read.
    pub end: Offset,
    /// How old the view was that it is of; zero from the store itself.
    pub age: Duration,
}

/// An answer to a call for leadership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidacy {
    /// Number of the group's composition; rises with each change.
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
    /// Says whether the records may have been kept.
    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError>;

    /// Hands in reports of the runs' progress; the newest of each key counts. They may be lost on the way.
    ///
    /// # Errors
    ///
    /// Returns an error if nobody took them.
    async fn report(&self, reports: &[KeyedRecord]) -> Result<(), AppendError> {
        self.append(PROGRESS_TOPIC, reports, None).await.map(|_| ())
    }

    /// Reads from an offset on; waits up to `wait` for a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the records are gone or the store can't be read.
    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError>;

    /// Returns how far a topic goes, where records up to `known` are known.
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

    /// Stands, or remains, a candidate for leadership.
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

    /// Returns who leads, if anybody does. The answer is small: it also shows whether the store
    /// answers at all.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached or turned the call away.
    async fn holder(&self) -> Result<Option<NodeName>, ReadError>;

    /// Waits until the store answers again after it didn't; for ever where that isn't observed.
    async fn recovered(&self) {
        std::future::pending::<()>().await;
    }
}
