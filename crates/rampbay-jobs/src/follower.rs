//! Follows a topic of the store into a [`Sink`].

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock::Moment;
use crate::freshness::Freshness;
use crate::recipients::AddressedRecord;
use crate::record::KeyedRecord;
use crate::store::{Batch, Offset, ReadError, Store};

/// Pause after a read that failed, so that a store that is down isn't overloaded.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Maximum pause after several failed reads.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Timeout of a read of a whole topic to close a gap. The view isn't advanced meanwhile.
const GAP_READ_TIMEOUT: Duration = Duration::from_millis(2000);
/// Minimum time between two such reads. A gap that the topic itself has can't be closed.
const GAP_READ_INTERVAL: Duration = Duration::from_millis(3000);

/// How a topic is followed.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// How long a read waits at the store for a record.
    pub wait: Duration,
    /// Minimum time between two reads, so that records arrive in groups.
    pub gap: Duration,
}

/// Receives the records of a topic that is followed.
pub trait Sink {
    /// Forgets everything.
    fn reset(&mut self);
    /// Replaces everything by the newest record of each key.
    fn load(&mut self, records: &[KeyedRecord]) {
        self.reset();
        records.iter().for_each(|record| self.apply(record));
    }
    /// Applies one record.
    fn apply(&mut self, record: &KeyedRecord);
    /// Applies one record that is to be passed on, and returns it with its recipients.
    fn apply_and_address(&mut self, record: &KeyedRecord) -> AddressedRecord {
        self.apply(record);
        AddressedRecord::for_all(record.clone())
    }
    /// Records that the topic could be read.
    fn note_read(&mut self) {}
    /// Returns whether a record was skipped that can't be applied without another one, which hasn't arrived.
    fn has_gap(&self) -> bool {
        false
    }
}

/// Follows `topic` forever.
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
        let closes_gap =
            sink.has_gap() && gap_read_at.is_none_or(|at| at.elapsed() >= GAP_READ_INTERVAL);
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
            // A read that was sent before the store recovered may never be answered.
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
                    log::info!("event=J101 store reachable again topic={topic}");
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
                    log::warn!(
                        "event=J102 store unreachable topic={topic} age_ms={}",
                        age_ms(&freshness)
                    );
                }
                reachable = false;
                let _ = tokio::time::timeout(pause, store.recovered()).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

/// Reads the whole topic to close a gap in the view. Returns whether it could be read: if not, the view with its gap is
/// still advanced, so that all other records arrive.
async fn close_gap(
    store: &dyn Store,
    topic: &str,
    pace: Pace,
    freshness: &Freshness,
    sink: &mut impl Sink,
) -> bool {
    log::warn!("event=J184 view has a gap topic={topic} position={}", freshness.position());
    let read = reload(store, topic, pace.wait, freshness, sink);
    tokio::time::timeout(GAP_READ_TIMEOUT, read).await.is_ok_and(|outcome| outcome.is_ok())
}

fn age_ms(freshness: &Freshness) -> i128 {
    freshness.age().map_or(-1, |age| age.as_millis() as i128)
}

/// Reads the newest record of each key, and the records that were appended while the parts of this snapshot
/// were read. Reads up to an offset that covers all parts, and the records that this process has appended and
/// applied in the meantime: a view never goes back.
async fn reload(
    store: &dyn Store,
    topic: &str,
    wait: Duration,
    freshness: &Freshness,
    sink: &mut impl Sink,
) -> Result<(), ReadError> {
    let started = Moment::now();
    let snapshot = store.newest(topic).await?;
    let mut current_as_of = started.checked_sub(snapshot.age).ok_or(ReadError::Unavailable)?;
    let mut later = Vec::new();
    let mut position = snapshot.read_from;
    while position < snapshot.end.max(freshness.position()) {
        let started = Moment::now();
        let batch = store.read(topic, position, wait).await?;
        if batch.next <= position {
            // The answer is from a view that is older than the parts: this view would have gaps.
            return Err(ReadError::Unavailable);
        }
        if let Some(at) = view_current_as_of(&batch, batch.next, started) {
            current_as_of = current_as_of.max(at);
        }
        position = batch.next;
        later.extend(batch.records);
    }
    log::info!(
        "event=J100 topic read in full topic={topic} records={} from={} later={} position={position} known={}",
        snapshot.records.len(),
        snapshot.read_from,
        later.len(),
        freshness.position()
    );
    sink.load(&snapshot.records);
    freshness.restart(position, &[&snapshot.records, &later]);
    later.iter().for_each(|record| sink.apply(record));
    freshness.note_current_as_of(current_as_of);
    freshness.move_to(position);
    Ok(())
}

/// Returns the time as of which an answer shows that a view that has reached `position` is current; `None` if
/// the topic goes on after that position.
fn view_current_as_of(batch: &Batch, position: Offset, started: Moment) -> Option<Moment> {
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
    // This process may have applied records that it appended in the meantime.
    let known = freshness.position();
    let new = if known >= batch.next { &[] } else { batch.new_since(from, known) };
    for record in new {
        apply_record(sink, freshness, record);
    }
    let position = known.max(batch.next);
    if let Some(at) = view_current_as_of(&batch, position, started) {
        freshness.note_current_as_of(at);
    }
    if position > known || count > 0 {
        freshness.move_to(position);
    }
    Ok(())
}

/// Applies one record to a sink, and keeps it if records are passed on.
pub(crate) fn apply_record(sink: &mut impl Sink, freshness: &Freshness, record: &KeyedRecord) {
    if freshness.keeps() {
        freshness.keep(sink.apply_and_address(record));
    } else {
        sink.apply(record);
    }
}
