//! Appends of the records that callers bring.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use crate::record::{KeyedRecord, Record, STATE_TOPIC};
use crate::store::{AppendError, Offset, Store};

use super::{Refusal, WaitBudget};

/// Pause before an append that the store didn't accept is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// How long a cancellation that got no answer is sent again after its call was answered: longer than an outage of the
/// store that costs no work (9 s), and the time in which a late call is carried out (12 s).
const CANCEL_PERSISTENCE: Duration = Duration::from_secs(15);

/// Outcome of an append: the offset after the record.
type Outcome = Result<Offset, Refusal>;

/// Appends records for callers. A limited number of calls waits for the store at a time.
pub struct Appends {
    store: Rc<dyn Store>,
    waiting: Slots,
    /// Cancellations whose calls have been answered.
    persisting: Slots,
}

impl Appends {
    /// Creates appends to a store, for which at most `max_waiting` calls wait at a time.
    pub fn new(store: Rc<dyn Store>, max_waiting: usize) -> Rc<Self> {
        let (waiting, persisting) = (Slots::new(max_waiting), Slots::new(max_waiting));
        Rc::new(Self { store, waiting, persisting })
    }

    /// Counts a call as waiting, unless too many wait already.
    pub fn wait_for_store(&self) -> Option<Slot> {
        self.waiting.take()
    }

    /// Appends a record, with retries until the store has it or the call's time is over.
    pub async fn append(&self, record: KeyedRecord, budget: WaitBudget) -> Outcome {
        let _slot = self.wait_for_store().ok_or(Refusal::Unavailable)?;
        self.wait_until_reachable(budget).await?;
        let records = [record];
        let mut refusal = Refusal::Unavailable;
        loop {
            let append = self.store.append(STATE_TOPIC, &records, None);
            match timeout_at(budget.until, append).await {
                Ok(Ok(end)) => return Ok(end),
                Ok(Err(AppendError::TooLarge)) => return Err(Refusal::TooLarge),
                Ok(Err(error)) => refusal = refusal_after(refusal, &error),
                Err(_) => return Err(Refusal::Unknown),
            }
            self.pause(budget.until).await;
            if Instant::now() >= budget.until {
                return Err(refusal);
            }
        }
    }

    /// Appends a cancellation like [`Self::append`]. If it may have been sent when the call's time is over, or its caller
    /// leaves, it is sent again for a while: its caller may not come back.
    pub async fn append_cancel(self: &Rc<Self>, record: &Record, budget: WaitBudget) -> Outcome {
        let slot = self.wait_for_store().ok_or(Refusal::Unavailable)?;
        self.wait_until_reachable(budget).await?;
        let (tx, rx) = oneshot::channel();
        let append = PersistentAppend {
            appends: Rc::clone(self),
            record: record.encode(),
            answer: Answer { tx: Some(tx), slot: Some(slot) },
            persisting: None,
        };
        tokio::task::spawn_local(append.run(budget.until));
        rx.await.unwrap_or(Err(Refusal::Unknown))
    }

    /// Waits for a store that is known to be unreachable. Nothing is sent, so that the caller may be told that nothing was
    /// stored.
    async fn wait_until_reachable(&self, budget: WaitBudget) -> Result<(), Refusal> {
        if budget.may_send {
            return Ok(());
        }
        let recovered = timeout_at(budget.until, self.store.recovered()).await;
        recovered.map_err(|_| Refusal::Unavailable)
    }

    async fn pause(&self, until: Instant) {
        let retry_at = (Instant::now() + RETRY_PAUSE).min(until);
        let _ = timeout_at(retry_at, self.store.recovered()).await;
    }
}

/// Returns how a call is refused after another failed attempt: once one may have been carried out, the outcome isn't known.
const fn refusal_after(before: Refusal, error: &AppendError) -> Refusal {
    match error {
        AppendError::Unknown => Refusal::Unknown,
        AppendError::Refused | AppendError::Fenced | AppendError::TooLarge => before,
    }
}

/// The answer to a call, which counts as waiting until it is answered.
struct Answer {
    tx: Option<oneshot::Sender<Outcome>>,
    slot: Option<Slot>,
}

impl Answer {
    fn give(&mut self, outcome: Outcome) {
        self.slot = None;
        if let Some(tx) = self.tx.take() {
            // A caller that has left needs no answer.
            let _ = tx.send(outcome);
        }
    }
}

/// The append of a cancellation, which outlives its call.
struct PersistentAppend {
    appends: Rc<Appends>,
    record: KeyedRecord,
    answer: Answer,
    /// Counts it among those that go on after their calls, once it does.
    persisting: Option<Slot>,
}

impl PersistentAppend {
    /// Repeats the append until the store has answered it. The caller is answered at `until` at the latest.
    async fn run(mut self, until: Instant) {
        let give_up = until + CANCEL_PERSISTENCE;
        let appends = Rc::clone(&self.appends);
        let records = [self.record.clone()];
        let mut refusal = Refusal::Unavailable;
        loop {
            let append = appends.store.append(STATE_TOPIC, &records, None);
            tokio::pin!(append);
            let mut outcome = timeout_at(until, &mut append).await;
            if outcome.is_err() {
                refusal = Refusal::Unknown;
                if !self.outlive_call(refusal) {
                    return;
                }
                outcome = timeout_at(give_up, append).await;
            }
            match outcome {
                Ok(Ok(end)) => return self.finish(end),
                Ok(Err(error)) => refusal = refusal_after(refusal, &error),
                Err(_) => return,
            }
            let is_answered = Instant::now() >= until;
            appends.pause(if is_answered { give_up } else { until }).await;
            let now = Instant::now();
            if now >= give_up || (now >= until && !self.outlive_call(refusal)) {
                return;
            }
        }
    }

    /// Answers the call, unless that has been done, and returns whether the append goes on: it may have been sent, and not
    /// too many others go on.
    fn outlive_call(&mut self, refusal: Refusal) -> bool {
        self.answer.give(Err(refusal));
        if refusal != Refusal::Unknown {
            return false;
        }
        self.persisting = self.persisting.take().or_else(|| self.appends.persisting.take());
        self.persisting.is_some()
    }

    fn finish(mut self, end: Offset) {
        if self.answer.tx.as_ref().is_none_or(oneshot::Sender::is_closed) {
            log::info!("event=J227 cancellation stored after its call key={}", self.record.key);
        }
        self.answer.give(Ok(end));
    }
}

/// Limits how many calls do something at a time.
struct Slots {
    taken: Rc<Cell<usize>>,
    limit: usize,
}

impl Slots {
    fn new(limit: usize) -> Self {
        Self { taken: Rc::default(), limit }
    }

    fn take(&self) -> Option<Slot> {
        let taken = self.taken.get();
        (taken < self.limit).then(|| {
            self.taken.set(taken + 1);
            Slot(Rc::clone(&self.taken))
        })
    }
}

/// A call that counts towards a limit until this is dropped.
pub struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
