//! Claims of work that must run at most once, in the log.
//!
//! Two entries may get the same request, for example because a caller sent it again after its
//! entry died. Before an attempt of work that isn't repeatable is sent, its entry appends a claim
//! and reads it back: the first claim in the log's order wins, and every other entry sees that its
//! own claim lost. Claims of several requests share one append, so that bursts stay within what the
//! log can take.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rampbay_core::ids::{Incarnation, JobId};
use rampbay_platform::log::{Log, LogError};
use rampbay_wire::event::Code;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};

use crate::shared::Shared;

/// The log stream that holds the claims.
pub const STREAM: &str = "claims";
/// Most claims in one append.
const MAX_BATCH: usize = 256;
/// Time for which claims are collected for one append.
const BATCH_WINDOW: Duration = Duration::from_millis(4);
/// Time after which a claim without a result counts as unavailable.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Most records in one read of the log.
const MAX_PAGE_RECORDS: usize = 500;

/// One claim or release in a record of the claims stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The job, with its workspace.
    pub job: JobId,
    /// The claiming entry's incarnation.
    pub entry: Incarnation,
    /// Distinguishes the claims of one entry: a job that the entry has claimed before must not run
    /// again under a new claim.
    pub number: u64,
    /// Whether this releases the claim because the job provably didn't run.
    #[serde(default)]
    pub released: bool,
}

/// The result of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claimed {
    /// This entry may run the job.
    Won,
    /// An earlier claim holds the job, so this entry must not run it.
    Lost,
    /// The log can't be reached, so the job must not run.
    Unavailable,
}

/// An entry's incarnation, and the number that it gave the claim.
pub type ClaimId = (Incarnation, u64);

/// The claims that the log holds, applied in its order.
#[derive(Debug, Default)]
pub struct ClaimIndex {
    holders: HashMap<JobId, ClaimId>,
    next: u64,
}

impl ClaimIndex {
    /// Applies one record; a record that can't be decoded is skipped.
    pub fn apply(&mut self, offset: u64, data: &[u8]) {
        self.next = offset + 1;
        let Ok(claims) = serde_json::from_slice::<Vec<Claim>>(data) else {
            return;
        };
        for claim in claims {
            if !claim.released {
                self.holders.entry(claim.job).or_insert((claim.entry, claim.number));
            } else if self.holders.get(&claim.job) == Some(&(claim.entry, claim.number)) {
                self.holders.remove(&claim.job);
            }
        }
    }

    /// Returns the claim that holds a job.
    #[must_use]
    pub fn holder(&self, job: &str) -> Option<ClaimId> {
        self.holders.get(job).copied()
    }

    /// Returns the offset of the next record to apply.
    #[must_use]
    pub const fn next(&self) -> u64 {
        self.next
    }
}

enum Input {
    Claim(JobId, u64, oneshot::Sender<Claimed>),
    Release(JobId, u64),
}

/// A handle to the task that appends claims.
#[derive(Debug, Clone)]
pub struct Claims {
    tx: mpsc::UnboundedSender<Input>,
    next: Arc<AtomicU64>,
}

impl std::fmt::Debug for Input {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Input::Claim(job, number, _) => write!(f, "Claim({job}, {number})"),
            Input::Release(job, number) => write!(f, "Release({job}, {number})"),
        }
    }
}

impl Claims {
    /// Starts the tasks that append claims and follow them in the log.
    #[must_use]
    pub fn start(shared: Arc<Shared>, log: Arc<dyn Log>) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let index = Arc::new(Mutex::new(ClaimIndex::default()));
        let (applied_tx, applied) = watch::channel(None);
        let poll = Duration::from_millis(shared.settings.times.log_poll_ms);
        shared.spawn(follow(log.clone(), index.clone(), applied_tx, poll));
        let task = Appender { shared: shared.clone(), log, index, applied };
        shared.spawn(task.run(rx));
        Self { tx, next: Arc::new(AtomicU64::new(1)) }
    }

    /// Claims a job for this entry; returns the result and the number that releases the claim.
    pub async fn claim(&self, job: JobId) -> (Claimed, u64) {
        let (tx, rx) = oneshot::channel();
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let _ = self.tx.send(Input::Claim(job, number, tx));
        let claimed = match tokio::time::timeout(CLAIM_TIMEOUT, rx).await {
            Ok(Ok(claimed)) => claimed,
            Ok(Err(_)) | Err(_) => Claimed::Unavailable,
        };
        (claimed, number)
    }

    /// Releases a claim whose job provably didn't run.
    pub fn release(&self, job: JobId, number: u64) {
        let _ = self.tx.send(Input::Release(job, number));
    }
}

/// Polls the log for new claims and publishes the offset up to which they are applied.
async fn follow(
    log: Arc<dyn Log>,
    index: Arc<Mutex<ClaimIndex>>,
    applied: watch::Sender<Option<u64>>,
    poll: Duration,
) {
    loop {
        apply_new(&*log, &index, &applied).await;
        tokio::time::sleep(poll).await;
    }
}

/// Applies every new record of the log; returns whether the log answered.
async fn apply_new(
    log: &dyn Log,
    index: &Mutex<ClaimIndex>,
    applied: &watch::Sender<Option<u64>>,
) -> bool {
    loop {
        let from = lock(index).next;
        let Ok(page) = log.read(STREAM, from, MAX_PAGE_RECORDS).await else {
            return false;
        };
        let mut index = lock(index);
        for record in &page.records {
            // The appender may have applied this record in the meantime.
            if record.offset >= index.next {
                index.apply(record.offset, &record.data);
            }
        }
        let next = index.next;
        if next >= page.next || page.records.is_empty() {
            applied.send_replace(Some(next));
            return true;
        }
    }
}

fn lock(index: &Mutex<ClaimIndex>) -> std::sync::MutexGuard<'_, ClaimIndex> {
    index.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Appender {
    shared: Arc<Shared>,
    log: Arc<dyn Log>,
    index: Arc<Mutex<ClaimIndex>>,
    applied: watch::Receiver<Option<u64>>,
}

impl Appender {
    async fn run(self, mut rx: mpsc::UnboundedReceiver<Input>) {
        while let Some(first) = rx.recv().await {
            tokio::time::sleep(BATCH_WINDOW).await;
            let mut batch = vec![first];
            while batch.len() < MAX_BATCH
                && let Ok(more) = rx.try_recv()
            {
                batch.push(more);
            }
            self.append(batch).await;
        }
    }

    async fn append(&self, batch: Vec<Input>) {
        let entry = self.shared.incarnation;
        // Until this entry has read all claims in the log once, it can't tell what is claimed.
        if self.applied.borrow().is_none() {
            return answer_all(batch, Claimed::Unavailable);
        }
        let claims: Vec<Claim> = batch
            .iter()
            .map(|input| match input {
                Input::Claim(job, number, _) => {
                    Claim { job: job.clone(), entry, number: *number, released: false }
                }
                Input::Release(job, number) => {
                    Claim { job: job.clone(), entry, number: *number, released: true }
                }
            })
            .collect();
        let Ok(record) = serde_json::to_vec(&claims) else {
            return;
        };
        let own = record.clone();
        match self.log.append(STREAM, record).await {
            Ok(offset) => self.decide(batch, Some(offset), &own).await,
            Err(LogError::Refused(_)) => answer_all(batch, Claimed::Unavailable),
            // The append may have taken effect; only reading the log shows whether it did.
            Err(LogError::NoAnswer(_)) => self.decide(batch, None, &own).await,
        }
    }

    /// Reads the log up to this entry's own record and answers each claim by which came first.
    async fn decide(&self, batch: Vec<Input>, offset: Option<u64>, own: &[u8]) {
        let seen = self.read_until(offset, own).await;
        for input in batch {
            let Input::Claim(job, number, tx) = input else {
                continue;
            };
            let holder = lock(&self.index).holder(&job);
            let claimed = match holder {
                _ if !seen => Claimed::Unavailable,
                Some(holder) if holder == (self.shared.incarnation, number) => Claimed::Won,
                Some(_) => Claimed::Lost,
                None => Claimed::Unavailable,
            };
            match claimed {
                Claimed::Won => self.shared.event(Code::ClaimMade, Some(&job), None, ""),
                Claimed::Lost => self.shared.event(Code::ClaimLost, Some(&job), None, ""),
                Claimed::Unavailable => {}
            }
            let _ = tx.send(claimed);
        }
    }

    async fn read_until(&self, offset: Option<u64>, own: &[u8]) -> bool {
        const TRIES: u32 = 40;
        const PAUSE: Duration = Duration::from_millis(50);
        for _ in 0..TRIES {
            let from = lock(&self.index).next;
            if offset.is_some_and(|offset| from > offset) {
                return true;
            }
            if let Ok(page) = self.log.read(STREAM, from, MAX_PAGE_RECORDS).await {
                let mut index = lock(&self.index);
                let mut found = false;
                for record in &page.records {
                    if record.offset >= index.next {
                        index.apply(record.offset, &record.data);
                    }
                    found |= record.data == own;
                }
                if found || offset.is_some_and(|offset| index.next > offset) {
                    return true;
                }
                if offset.is_none() && index.next >= page.next {
                    // The record isn't in the log: the append had no effect, or may still have one.
                    return false;
                }
                continue;
            }
            tokio::time::sleep(PAUSE).await;
        }
        false
    }
}

fn answer_all(batch: Vec<Input>, claimed: Claimed) {
    for input in batch {
        if let Input::Claim(_, _, tx) = input {
            let _ = tx.send(claimed);
        }
    }
}
