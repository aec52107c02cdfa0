//! Follows a topic of the store into a [`Sink`].

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock::Moment;
use crate::freshness::Freshness;
use crate::recipients::AddressedRecord;
use crate::record::KeyedRecord;
use crate::store::{Batch, Offset, ReadError, Store};

/// Pause after a read that failed, so that a store that is down isn't pressed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after reads that failed again and again.
const LONGEST_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Longest time for a read of a whole topic to close a gap. The view isn't advanced meanwhile.
const GAP_READ_TIME: Duration = Duration::from_millis(2000);
/// Least time between two such reads. A gap that the topic has itself stays.
const GAP_PAUSE: Duration = Duration::from_millis(3000);

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
    /// Forgets everything.
    fn reset(&mut self);
    /// Takes in the newest record of each key in place of all that was known.
    fn load(&mut self, records: &[KeyedRecord]) {
        self.reset();
        records.iter().for_each(|record| self.apply(record));
    }
    /// Takes in one record.
    fn apply(&mut self, record: &KeyedRecord);
    /// Takes in one record that is to be passed on, and tells whom it concerns.
    fn apply_and_address(&mut self, record: &KeyedRecord) -> AddressedRecord {
        self.apply(record);
        AddressedRecord::for_all(record.clone())
    }
    /// Takes note that the topic could be read.
    fn note_read(&mut self) {}
    /// Returns whether a record was passed over that can't be taken in without another one, which hasn't come.
    fn has_gap(&self) -> bool {
        false
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
    let mut gap_read_at: Option<Instant> = None;
    loop {
        let started = Instant::now();
        // The first read after a failure doesn't wait: it shows how current the view is.
        let wait = if reachable { pace.wait } else { Duration::ZERO };
        let closes_gap = sink.has_gap() && gap_read_at.is_none_or(|at| at.elapsed() >= GAP_PAUSE);
        let read = async {
            if reloads {
                return reload(store.as_ref(), topic, pace.wait, &freshness, &mut sink).await;
            }
            if closes_gap && close_gap(store.as_ref(), topic, pace, &freshness, &mut sink).await {
                return Ok(());
            }
            advance(store.as_ref(), topic, wait, &freshness, &mut sink).await
        };
        let result = tokio::select! {
            result = read => result,
            // A read from before the store came back may never be answered.
            () = store.recovered() => {
                reachable = false;
                continue;
            }
        };
        if closes_gap {
            gap_read_at = Some(Instant::now());
        }
        match result {
            Ok(()) => {
                if !reachable {
                    log::info!("event=J101 store regained topic={topic}");
                }
                reachable = true;
                reloads = false;
                sink.note_read();
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
                let _ = tokio::time::timeout(pause, store.recovered()).await;
                pause = (pause * 2).min(LONGEST_RETRY_PAUSE);
            }
        }
    }
}

/// Reads the whole topic to close a gap in the view. Returns whether it could be read: if not, the view is followed on as it
/// is, and with it all that it doesn't lack.
async fn close_gap(
    store: &dyn Store,
    topic: &str,
    pace: Pace,
    freshness: &Freshness,
    sink: &mut impl Sink,
) -> bool {
    log::warn!("event=J184 view has a gap topic={topic} position={}", freshness.position());
    let read = reload(store, topic, pace.wait, freshness, sink);
    tokio::time::timeout(GAP_READ_TIME, read).await.is_ok_and(|outcome| outcome.is_ok())
}

fn age_ms(freshness: &Freshness) -> i128 {
    freshness.age().map_or(-1, |age| age.as_millis() as i128)
}

/// Reads the newest record of each key, and what came while the parts were read, up to an end that covers
/// all of them, and what this process has taken in of its own meanwhile: a view never goes back.
async fn reload(
    store: &dyn Store,
    topic: &str,
    wait: Duration,
    freshness: &Freshness,
    sink: &mut impl Sink,
) -> Result<(), ReadError> {
    let started = Moment::now();
    let snapshot = store.newest(topic).await?;
    let mut proven_at = started.checked_sub(snapshot.age).ok_or(ReadError::Unavailable)?;
    let mut later = Vec::new();
    let mut position = snapshot.read_from;
    while position < snapshot.end.max(freshness.position()) {
        let started = Moment::now();
        let batch = store.read(topic, position, wait).await?;
        if batch.next <= position {
            // Read through a view that is older than the parts, this one would have gaps.
            return Err(ReadError::Unavailable);
        }
        if let Some(at) = proven_by(&batch, batch.next, started) {
            proven_at = proven_at.max(at);
        }
        position = batch.next;
        later.extend(batch.records);
    }
    log::info!(
        "event=J100 topic read as a whole topic={topic} records={} from={} later={} position={position} known={}",
        snapshot.records.len(),
        snapshot.read_from,
        later.len(),
        freshness.position()
    );
    sink.load(&snapshot.records);
    freshness.restart(position, &[&snapshot.records, &later]);
    later.iter().for_each(|record| sink.apply(record));
    freshness.note_current_as_of(proven_at);
    freshness.move_to(position);
    Ok(())
}

/// Returns the time up to which an answer proves a view that has come to `position`: none if the log goes
/// on behind it.
fn proven_by(batch: &Batch, position: Offset, started: Moment) -> Option<Moment> {
    if position < batch.end {
        return None;
    }
    batch.current_as_of(started)
}

async fn advance(
    store: &dyn Store,
    topic: &str,
    wait: Duration,
    freshness: &Freshness,
    sink: &mut impl Sink,
) -> Result<(), ReadError> {
    let started = Moment::now();
    let from = freshness.position();
    let batch = store.read(topic, from, wait).await?;
    if let Some(at) = batch.led_at(started) {
        freshness.note_led(at);
    }
    let count = batch.records.len() as u64;
    // This process may have taken in records of its own meanwhile.
    let known = freshness.position();
    let new = if known >= batch.next { &[] } else { batch.new_since(from, known) };
    for record in new {
        apply_record(sink, freshness, record);
    }
    let position = known.max(batch.next);
    if let Some(at) = proven_by(&batch, position, started) {
        freshness.note_current_as_of(at);
    }
    if position > known || count > 0 {
        freshness.move_to(position);
    }
    Ok(())
}

/// Takes one record into a sink, and keeps it where records are passed on.
pub(crate) fn apply_record(sink: &mut impl Sink, freshness: &Freshness, record: &KeyedRecord) {
    if freshness.keeps() {
        freshness.keep(sink.apply_and_address(record));
    } else {
        sink.apply(record);
    }
}
