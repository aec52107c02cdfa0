//! The leader: elected through the store, it plans round after round and keeps each decision.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::candidacy::{Candidate, Term, stand_for_ever};
use crate::follower::Pace;
use crate::intake::CurrentRouting;
use crate::metrics::metrics;
use crate::planner::{Planner, ProgressTable, RoundInputs};
use crate::process::follow_progress;
use crate::record::{KeyedRecord, Leader, Record, STATE_TOPIC};
use crate::store::{AppendError, Fence, Offset, Store, split_into_appends};
use crate::table::JobTable;

/// Writer name that all leaders share, so that a newer one fences the older ones.
const WRITER: &str = "planner";
/// Bits of an epoch that tell apart processes which saw the same term. Under one epoch the store would
/// take the decisions of one for repeats of the other's. Of 60 processes some two share 12 bits in a third
/// of all deployments, and 20 bits in one of 600; more would leave less for the term, since fencing tokens
/// may be read as floating-point numbers (53 bits).
const EPOCH_SALT_BITS: u32 = 20;
/// Longest time between two rounds, for what is due by time alone.
const IDLE_ROUND: Duration = Duration::from_millis(200);
/// Least time between two rounds, so that records come in groups.
const ROUND_GAP: Duration = Duration::from_millis(10);
/// Rounds take at most one part in so many of the leader's time, as the clock shows it: renewals of
/// leadership, reads and callers share its thread.
const ROUND_SHARE: u32 = 4;
/// Pause before an append without answer is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// What a leader works with.
pub struct LeaderParts {
    /// What stands for leadership: this process, over its store.
    pub candidate: Candidate,
    /// The table, which a follower keeps current.
    pub table: Rc<RefCell<JobTable>>,
    /// What operators want.
    pub routing: Rc<CurrentRouting>,
    /// How the runs' progress is followed. Only whoever leads needs it.
    pub progress_pace: Pace,
    /// Reads the clock for due times.
    pub wall_clock: fn() -> u64,
}

/// A leader that has lost its place.
#[derive(Debug)]
struct Deposed;

/// Stands for leadership for ever, and plans while it has it.
pub async fn run(parts: LeaderParts, planner: impl Fn() -> Planner) {
    let term: Term = tokio::sync::watch::channel(None).0;
    let stand = stand_for_ever(&parts.candidate, &term);
    let lead = async {
        let mut terms = term.subscribe();
        loop {
            let generation = *terms.borrow_and_update();
            let Some(generation) = generation else {
                if terms.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let term_end = async {
                while terms.changed().await.is_ok() {
                    if *terms.borrow() != Some(generation) {
                        return;
                    }
                }
            };
            tokio::select! {
                () = term_end => log::info!("event=J121 leadership lost generation={generation}"),
                Deposed = lead_once(&parts, generation, planner()) => {
                    log::info!("event=J122 leadership fenced generation={generation}");
                    tokio::time::sleep(parts.candidate.interval).await;
                }
            }
        }
    };
    tokio::join!(stand, lead);
}

struct Writer<'a> {
    store: &'a dyn Store,
    fence: Fence,
}

impl Writer<'_> {
    /// Appends until the store has answered.
    async fn append(&mut self, records: &[KeyedRecord]) -> Result<Offset, Deposed> {
        loop {
            match self.store.append(STATE_TOPIC, records, Some(&self.fence)).await {
                Ok(end) => {
                    self.fence.sequence += 1;
                    return Ok(end);
                }
                Err(AppendError::Fenced) => return Err(Deposed),
                Err(AppendError::Refused | AppendError::Unknown) => {
                    tokio::time::sleep(REPEAT_PAUSE).await;
                }
            }
        }
    }
}

async fn lead_once(parts: &LeaderParts, generation: u64, planner: Planner) -> Deposed {
    let progress = Rc::new(RefCell::new(ProgressTable::default()));
    let followed = Rc::clone(&progress);
    let follow = follow_progress(Rc::clone(&parts.candidate.store), followed, parts.progress_pace);
    let lead = async {
        match try_lead(parts, generation, planner, &progress).await {
            Err(deposed) => deposed,
            Ok(never) => match never {},
        }
    };
    tokio::select! {
        deposed = lead => deposed,
        () = follow => Deposed,
    }
}

async fn try_lead(
    parts: &LeaderParts,
    generation: u64,
    mut planner: Planner,
    progress: &RefCell<ProgressTable>,
) -> Result<std::convert::Infallible, Deposed> {
    // Taken before the state is read, the epoch may lie below the last leader's.
    parts.candidate.freshness.first_read().await;
    let epoch = next_epoch(generation, parts.table.borrow().leader.epoch, parts.candidate.salt);
    let fence = Fence { writer: WRITER.to_owned(), epoch, sequence: 0 };
    let mut writer = Writer { store: parts.candidate.store.as_ref(), fence };
    let leader = Record::Leader(Leader { node: parts.candidate.node.clone(), epoch });
    let end = writer.append(&[leader.encode()]).await?;
    parts.candidate.freshness.reach(end).await;
    log::info!("event=J120 leadership gained generation={generation} epoch={epoch} position={end}");
    let started = Instant::now();
    loop {
        let round_started = Instant::now();
        let mut changes = parts.candidate.freshness.subscribe();
        let records = decide(parts, &mut planner, progress, started.elapsed());
        let took = round_started.elapsed();
        metrics().round_seconds.observe(took.as_secs_f64());
        let gap = ROUND_GAP.max(took * ROUND_SHARE);
        let idle = records.is_empty();
        for group in split_into_appends(&records) {
            let end = writer.append(group).await?;
            parts.candidate.freshness.reach(end).await;
        }
        if idle {
            let _ = tokio::time::timeout(IDLE_ROUND, changes.changed()).await;
        }
        tokio::time::sleep_until(round_started + gap).await;
    }
}

fn decide(
    parts: &LeaderParts,
    planner: &mut Planner,
    progress: &RefCell<ProgressTable>,
    now: Duration,
) -> Vec<KeyedRecord> {
    let table = parts.table.borrow();
    metrics().active_jobs.set(table.active.len() as i64);
    let progress = progress.borrow();
    let routing = parts.routing.get().unwrap_or_default();
    let operators = &parts.routing.freshness;
    let drained = parts.routing.drains.view(operators.position());
    planner.round(&RoundInputs {
        table: &table,
        routing: &routing,
        drained: &drained,
        drain_orders_age: operators.age(),
        progress: &progress,
        now,
        wall: (parts.wall_clock)(),
    })
}

/// Returns an epoch above all that were seen, which no other process takes.
fn next_epoch(generation: u64, seen: u64, salt: u64) -> u64 {
    let term = generation.max(term_of(seen) + 1);
    (term << EPOCH_SALT_BITS) | (salt & ((1 << EPOCH_SALT_BITS) - 1))
}

/// Returns the term of an epoch, without what tells apart processes that saw the same one.
pub(crate) const fn term_of(epoch: u64) -> u64 {
    epoch >> EPOCH_SALT_BITS
}
