//! Claims of work that must run at most once, in the log.
//!
//! Two entries may get the same request, for example because a caller sent it again after its
//! entry died. Before an attempt of work that isn't repeatable is sent, its entry appends a claim;
//! the first claim in the log's order wins, and every other entry knows that it didn't. Claims of
//! several requests share one append, so that bursts stay within what the log takes.

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

/// The stream that claims go to.
pub const STREAM: &str = "claims";
/// Claims in one append at most.
const BATCH: usize = 256;
/// Time in which claims gather for one append.
const GATHER: Duration = Duration::from_millis(4);
/// Time after which an unanswered claim counts as unavailable.
const PATIENCE: Duration = Duration::from_secs(5);
/// Records read at once.
const PAGE: usize = 500;

/// One line of a claims record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The job, with its workspace.
    pub job: JobId,
    /// The claiming entry's incarnation.
    pub entry: Incarnation,
    /// Tells the claims of one entry apart: a job that it claimed before isn't its to run again.
    pub number: u64,
    /// Whether the claim is given back because the job provably didn't run.
    #[serde(default)]
    pub released: bool,
}

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claimed {
    /// The job is this entry's to run.
    Won,
    /// Another entry had claimed it.
    Lost,
    /// The log can't be reached; nothing may run.
    Unavailable,
}

/// An entry's incarnation, and the number that it gave the claim.
pub type ClaimId = (Incarnation, u64);

/// The claims that the log holds, folded in its order.
#[derive(Debug, Default)]
pub struct ClaimIndex {
    holders: HashMap<JobId, ClaimId>,
    next: u64,
}

impl ClaimIndex {
    /// Folds one record.
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

    /// Returns who holds a job's claim.
    #[must_use]
    pub fn holder(&self, job: &str) -> Option<ClaimId> {
        self.holders.get(job).copied()
    }

    /// Returns the offset of the next record to fold.
    #[must_use]
    pub const fn next(&self) -> u64 {
        self.next
    }
}

enum Input {
    Claim(JobId, u64, oneshot::Sender<Claimed>),
    Release(JobId, u64),
}

/// The sending end of the claims task.
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
    /// Starts the tasks that append and follow claims.
    #[must_use]
    pub fn start(shared: Arc<Shared>, log: Arc<dyn Log>) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let index = Arc::new(Mutex::new(ClaimIndex::default()));
        let (folded_tx, folded) = watch::channel(None);
        let poll = Duration::from_millis(shared.settings.times.log_poll_ms);
        shared.spawn(follow(log.clone(), index.clone(), folded_tx, poll));
        let task = Appender { shared: shared.clone(), log, index, folded };
        shared.spawn(task.run(rx));
        Self { tx, next: Arc::new(AtomicU64::new(1)) }
    }

    /// Claims a job for this entry; the number releases it.
    pub async fn claim(&self, job: JobId) -> (Claimed, u64) {
        let (tx, rx) = oneshot::channel();
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let _ = self.tx.send(Input::Claim(job, number, tx));
        let claimed = match tokio::time::timeout(PATIENCE, rx).await {
            Ok(Ok(claimed)) => claimed,
            Ok(Err(_)) | Err(_) => Claimed::Unavailable,
        };
        (claimed, number)
    }

    /// Gives a claim back, since the job provably didn't run.
    pub fn release(&self, job: JobId, number: u64) {
        let _ = self.tx.send(Input::Release(job, number));
    }
}

/// Reads new claims, and says how far it is.
async fn follow(
    log: Arc<dyn Log>,
    index: Arc<Mutex<ClaimIndex>>,
    folded: watch::Sender<Option<u64>>,
    poll: Duration,
) {
    loop {
        fold_new(&*log, &index, &folded).await;
        tokio::time::sleep(poll).await;
    }
}

/// Folds every record that is there; returns whether the log answered.
async fn fold_new(
    log: &dyn Log,
    index: &Mutex<ClaimIndex>,
    folded: &watch::Sender<Option<u64>>,
) -> bool {
    loop {
        let from = lock(index).next;
        let Ok(page) = log.read(STREAM, from, PAGE).await else {
            return false;
        };
        let mut index = lock(index);
        for record in &page.records {
            // The appender may have folded it meanwhile.
            if record.offset >= index.next {
                index.apply(record.offset, &record.data);
            }
        }
        let next = index.next;
        if next >= page.next || page.records.is_empty() {
            folded.send_replace(Some(next));
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
    folded: watch::Receiver<Option<u64>>,
}

impl Appender {
    async fn run(self, mut rx: mpsc::UnboundedReceiver<Input>) {
        while let Some(first) = rx.recv().await {
            tokio::time::sleep(GATHER).await;
            let mut batch = vec![first];
            while batch.len() < BATCH
                && let Ok(more) = rx.try_recv()
            {
                batch.push(more);
            }
            self.append(batch).await;
        }
    }

    async fn append(&self, batch: Vec<Input>) {
        let entry = self.shared.incarnation;
        // Until the claims that the log kept have been read once, nobody knows what is claimed.
        if self.folded.borrow().is_none() {
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
            // It may be there: only reading tells.
            Err(LogError::NoAnswer(_)) => self.decide(batch, None, &own).await,
        }
    }

    /// Reads up to the own record and sees who was first.
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
            if let Ok(page) = self.log.read(STREAM, from, PAGE).await {
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
                    // Not there: the append took no effect, or still may.
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
