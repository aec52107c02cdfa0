//! The leader: a process elected through the store that plans in rounds and writes each decision to
//! the store.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::candidacy::{Candidate, Term, stand_for_election_forever};
use crate::follower::Pace;
use crate::intake::CurrentRouting;
use crate::metrics::metrics;
use crate::outlook::board::OutlookBoard;
use crate::outlook::forecaster::OutlookForecaster;
use crate::planner::{Planner, ProgressTable, RoundInputs};
use crate::process::follow_progress;
use crate::record::{KeyedRecord, Leader, Record, STATE_TOPIC};
use crate::store::{AppendError, Fence, Offset, Store, StoreLimits, split_into_appends};
use crate::table::JobTable;
use crate::upkeep::driver::{UpkeepParts, WaveService};

/// Writer name shared by all leaders, so that a newer leader fences older ones.
const WRITER: &str = "planner";
/// Bits of an epoch that distinguish processes which saw the same term. Under equal epochs the
/// store would take the decisions of one process for retries of the other's. Among 60 processes,
/// two share 12 bits in a third of all deployments, and 20 bits in one of 600. More bits would
/// leave fewer for the term, since fencing tokens may be read as floating-point numbers (53 bits).
const EPOCH_SALT_BITS: u32 = 20;
/// Longest wait for a change of the table after a round without decisions. Work that becomes due by
/// time alone is found in the round after this wait.
const IDLE_TIMEOUT: Duration = Duration::from_millis(200);
/// Shortest time between the starts of two rounds, so that records are appended in groups.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(10);
/// Shortest time between the starts of two rounds, as a multiple of the time that the first one
/// takes. It limits the share of the leader's thread that rounds take from leadership renewals,
/// reads and callers.
const ROUND_INTERVAL_FACTOR: u32 = 4;
/// Pause before an unanswered append is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Dependencies of a leader.
pub struct LeaderParts {
    /// The candidate through which this process stands for election.
    pub candidate: Candidate,
    /// The job table, kept up to date by a follower.
    pub table: Rc<RefCell<JobTable>>,
    /// The operators' routing settings.
    pub routing: Rc<CurrentRouting>,
    /// How often progress reports are read. Only the leader reads them.
    pub progress_pace: Pace,
    /// Returns the time of day, for due times.
    pub wall_clock: fn() -> u64,
    /// What serves waves of machine maintenance; `None` where they aren't served.
    pub upkeep: Option<UpkeepParts>,
}

/// A leader that has lost leadership.
#[derive(Debug)]
struct Deposed;

/// Why an append of a leader isn't repeated.
#[derive(Debug)]
enum WriteError {
    /// Another process leads.
    Deposed,
    /// The store doesn't take as much.
    TooLarge,
}

/// Stands for election and plans while this process leads; never returns.
pub async fn run(parts: LeaderParts, planner: impl Fn() -> Planner) {
    let term: Term = tokio::sync::watch::channel(None).0;
    let candidacy = stand_for_election_forever(&parts.candidate, &term);
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
    tokio::join!(candidacy, lead);
}

struct Writer<'a> {
    store: &'a dyn Store,
    fence: Fence,
}

impl Writer<'_> {
    /// Appends the records, and retries until the store has answered.
    async fn append(&mut self, records: &[KeyedRecord]) -> Result<Offset, WriteError> {
        loop {
            match self.store.append(STATE_TOPIC, records, Some(&self.fence)).await {
                Ok(end) => {
                    self.fence.sequence += 1;
                    return Ok(end);
                }
                Err(AppendError::Fenced) => return Err(WriteError::Deposed),
                Err(AppendError::TooLarge) => return Err(WriteError::TooLarge),
                Err(AppendError::Refused | AppendError::Unknown) => {
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Appends the records together or, if the store doesn't take as much, one after the other. Returns the offset
    /// after them, and the records that the store doesn't take alone, either.
    async fn append_divided<'r>(
        &mut self,
        records: &'r [KeyedRecord],
    ) -> Result<(Option<Offset>, Vec<&'r KeyedRecord>), Deposed> {
        match self.append(records).await {
            Ok(end) => return Ok((Some(end), Vec::new())),
            Err(WriteError::Deposed) => return Err(Deposed),
            Err(WriteError::TooLarge) => {}
        }
        let (mut end, mut refused) = (None, Vec::new());
        for record in records {
            match self.append(std::slice::from_ref(record)).await {
                Ok(offset) => end = Some(offset),
                Err(WriteError::Deposed) => return Err(Deposed),
                Err(WriteError::TooLarge) => refused.push(record),
            }
        }
        Ok((end, refused))
    }
}

/// Records that the store doesn't take, which are left out of the appends.
#[derive(Debug, Default)]
struct OversizedRecords {
    logged: BTreeSet<String>,
}

impl OversizedRecords {
    /// Leaves out the records that are larger than the store takes, and logs each of their keys once.
    fn leave_out(&mut self, records: Vec<KeyedRecord>, limits: &StoreLimits) -> Vec<KeyedRecord> {
        let (allowed, oversized): (Vec<KeyedRecord>, Vec<KeyedRecord>) =
            records.into_iter().partition(|record| limits.allow_record(record));
        oversized.iter().for_each(|record| self.note(record));
        allowed
    }

    fn note(&mut self, record: &KeyedRecord) {
        if self.logged.insert(record.key.clone()) {
            metrics().count_decision("record_too_large");
            log::error!(
                "event=J230 record left out, it is too large for the store key={} bytes={}",
                record.key,
                record.size()
            );
        }
    }
}

async fn lead_once(parts: &LeaderParts, generation: u64, planner: Planner) -> Deposed {
    let progress = Rc::new(RefCell::new(ProgressTable::default()));
    let followed = Rc::clone(&progress);
    let follow = follow_progress(Rc::clone(&parts.candidate.store), followed, parts.progress_pace);
    let board = OutlookBoard::default();
    let lead = async {
        match try_lead(parts, generation, planner, &progress, &board).await {
            Err(deposed) => deposed,
            Ok(never) => match never {},
        }
    };
    tokio::select! {
        deposed = lead => deposed,
        () = follow => Deposed,
        () = board.publish_forever(parts.candidate.store.as_ref()) => Deposed,
    }
}

async fn try_lead(
    parts: &LeaderParts,
    generation: u64,
    mut planner: Planner,
    progress: &RefCell<ProgressTable>,
    board: &OutlookBoard,
) -> Result<std::convert::Infallible, Deposed> {
    // The new epoch must be higher than the last leader's, which is known once the state is read.
    parts.candidate.freshness.first_read().await;
    let epoch = next_epoch(generation, parts.table.borrow().leader.epoch, parts.candidate.salt);
    let fence = Fence { writer: WRITER.to_owned(), epoch, sequence: 0 };
    let mut writer = Writer { store: parts.candidate.store.as_ref(), fence };
    let leader = Record::Leader(Leader { node: parts.candidate.node.clone(), epoch });
    let end = writer.append(&[leader.encode()]).await.map_err(|_| Deposed)?;
    parts.candidate.freshness.reach(end).await;
    log::info!("event=J120 leadership gained generation={generation} epoch={epoch} position={end}");
    let started = Instant::now();
    let mut waves = WaveService::new(parts.upkeep.as_ref(), epoch);
    let mut outlook = OutlookForecaster::new(epoch);
    let mut oversized = OversizedRecords::default();
    loop {
        let round_started = Instant::now();
        let mut changes = parts.candidate.freshness.subscribe();
        let publish = |planner: &Planner, inputs: &RoundInputs<'_>| {
            let new = outlook.update(planner, inputs, board.is_store_steady());
            new.into_iter().for_each(|new| board.post(new));
        };
        let records = decide(parts, &mut planner, &mut waves, progress, started.elapsed(), publish);
        let records = oversized.leave_out(records, &planner.store_limits());
        let took = round_started.elapsed();
        let interval = MIN_ROUND_INTERVAL.max(took * ROUND_INTERVAL_FACTOR);
        let idle = records.is_empty();
        for group in split_into_appends(&records) {
            let sent = Instant::now();
            let (end, refused) = writer.append_divided(group).await?;
            board.note_append(sent.elapsed());
            if let Some(end) = end {
                parts.candidate.freshness.reach(end).await;
            }
            for record in refused {
                oversized.note(record);
                planner.note_refused_record(record);
            }
        }
        if idle {
            let _ = tokio::time::timeout(IDLE_TIMEOUT, changes.changed()).await;
        }
        tokio::time::sleep_until(round_started + interval).await;
    }
}

fn decide(
    parts: &LeaderParts,
    planner: &mut Planner,
    waves: &mut WaveService,
    progress: &RefCell<ProgressTable>,
    now: Duration,
    after_round: impl FnOnce(&Planner, &RoundInputs<'_>),
) -> Vec<KeyedRecord> {
    let table = parts.table.borrow();
    metrics().active_jobs.set(table.active.len() as i64);
    let progress = progress.borrow();
    let routing = parts.routing.get().unwrap_or_default();
    let orders_freshness = &parts.routing.freshness;
    let drained = parts.routing.drains.view(orders_freshness.position());
    let before = waves.drains();
    let inputs = RoundInputs {
        table: &table,
        routing: &routing,
        drained: &drained,
        drain_orders_age: orders_freshness.age(),
        upkeep: &before,
        progress: &progress,
        now,
        wall: (parts.wall_clock)(),
    };
    let kept = waves.round(planner, &inputs, &parts.candidate.freshness, orders_freshness);
    let upkeep = waves.drains();
    let inputs = RoundInputs { upkeep: &upkeep, ..inputs };
    let round_started = Instant::now();
    let mut records = planner.round(&inputs);
    metrics().round_seconds.observe(round_started.elapsed().as_secs_f64());
    after_round(planner, &inputs);
    records.extend(kept);
    records
}

/// Returns an epoch that is higher than all that were seen and that no other process uses.
fn next_epoch(generation: u64, seen: u64, salt: u64) -> u64 {
    let term = generation.max(term_of(seen) + 1);
    (term << EPOCH_SALT_BITS) | (salt & ((1 << EPOCH_SALT_BITS) - 1))
}

/// Returns the term of an epoch, without the bits that distinguish processes which saw the same
/// term.
pub(crate) const fn term_of(epoch: u64) -> u64 {
    epoch >> EPOCH_SALT_BITS
}
