//! The leader: elected through the store, it plans round after round and keeps each decision.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::time::Instant;

use crate::follower::Pace;
use crate::freshness::Freshness;
use crate::intake::CurrentRouting;
use crate::job::NodeName;
use crate::metrics::metrics;
use crate::planner::{Planner, ProgressTable, RoundInputs};
use crate::process::follow_progress;
use crate::record::{KeyedRecord, Leader, Record, STATE_TOPIC};
use crate::store::{AppendError, Fence, Offset, Store};
use crate::table::JobTable;

/// Writer name that all leaders share, so that a newer one fences the older ones.
const WRITER: &str = "planner";
/// Bits of an epoch that tell apart processes which saw the same generation.
const EPOCH_SALT_BITS: u32 = 12;
/// Longest time between two rounds, for what is due by time alone.
const IDLE_ROUND: Duration = Duration::from_millis(200);
/// Least time between two rounds, so that records come in groups.
const ROUND_GAP: Duration = Duration::from_millis(10);
/// Rounds take at most one part in so many of the leader's time, as the clock shows it: renewals of
/// leadership, reads and callers share its thread.
const ROUND_SHARE: u32 = 4;
/// Pause before an append without answer is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);
/// Time between two questions of a process with little room whether anybody leads.
const VACANCY_INTERVAL: Duration = Duration::from_millis(1000);
/// Answers in a row that nobody leads after which such a process stands: between two leaders there is
/// nobody for a second, the least time to live that the store knows.
const VACANT_ANSWERS: u32 = 2;
/// Time between two looks of such a process, while it leads, for one with more room.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(2000);
/// Most records of one append.
const RECORDS_PER_APPEND: usize = 64;

/// What a leader works with.
pub struct LeaderParts {
    /// Name of this process.
    pub node: NodeName,
    /// The store.
    pub store: Rc<dyn Store>,
    /// The table, which a follower keeps current.
    pub table: Rc<RefCell<JobTable>>,
    /// Age and position of the table.
    pub freshness: Rc<Freshness>,
    /// The configuration.
    pub routing: Rc<CurrentRouting>,
    /// How the runs' progress is followed. Only whoever leads needs it.
    pub progress_pace: Pace,
    /// Reads the clock for due times.
    pub wall_clock: fn() -> u64,
    /// Time between two calls for leadership.
    pub candidacy_interval: Duration,
    /// A number that differs between processes and starts.
    pub salt: u64,
    /// Processes with more room, where this one has little.
    pub successors: Option<Rc<dyn Successors>>,
}

/// Processes that have more room to lead than this one.
#[async_trait(?Send)]
pub trait Successors {
    /// Returns whether one of them answers.
    async fn any_answers(&self) -> bool;
}

/// A leader that has lost its place.
#[derive(Debug)]
struct Deposed;

/// Stands for leadership for ever, and plans while it has it.
pub async fn run(parts: LeaderParts, planner: impl Fn() -> Planner) {
    let term = tokio::sync::watch::channel(None::<u64>).0;
    let stand = stand_for_ever(&parts, &term);
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
                    tokio::time::sleep(parts.candidacy_interval).await;
                }
            }
        }
    };
    tokio::join!(stand, lead);
}

type Term = tokio::sync::watch::Sender<Option<u64>>;

/// Ends a process's term, if it has one.
fn end_term(term: &Term) {
    term.send_if_modified(|current| current.take().is_some());
}

/// Stands for leadership. A process with little room stands only while nobody leads, and hands over
/// once a process with more room answers.
async fn stand_for_ever(parts: &LeaderParts, term: &Term) {
    let mut generation = 0;
    loop {
        if let Some(successors) = &parts.successors {
            wait_for_vacancy(parts).await;
            log::info!("event=J123 nobody leads, a process with little room stands");
            tokio::select! {
                () = stand(parts, term, &mut generation) => {}
                () = successor_answers(successors.as_ref(), term) => {
                    log::info!("event=J124 leadership handed over to a process with more room");
                }
            }
            end_term(term);
            parts.store.resign(&parts.node).await;
        } else {
            stand(parts, term, &mut generation).await;
        }
    }
}

/// Stands until somebody else leads, or for ever where this process has room enough.
async fn stand(parts: &LeaderParts, term: &Term, generation: &mut u64) {
    loop {
        if let Ok(answer) = parts.store.stand(&parts.node, *generation).await {
            let held = *term.borrow();
            // A leader keeps the generation under which it began.
            let next = if answer.leads { held.or(Some(answer.generation)) } else { None };
            term.send_if_modified(|current| std::mem::replace(current, next) != next);
            *generation = answer.generation;
            if !answer.leads && parts.successors.is_some() && is_led_by_other(parts).await {
                return;
            }
        }
        tokio::time::sleep(parts.candidacy_interval).await;
    }
}

async fn is_led_by_other(parts: &LeaderParts) -> bool {
    let holder = parts.store.holder().await;
    holder.is_ok_and(|holder| holder.is_some_and(|holder| holder != parts.node))
}

/// Waits until the store has said several times in a row that nobody leads.
async fn wait_for_vacancy(parts: &LeaderParts) {
    let mut vacant = 0;
    while vacant < VACANT_ANSWERS {
        tokio::time::sleep(VACANCY_INTERVAL).await;
        match parts.store.holder().await {
            Ok(None) => vacant += 1,
            Ok(Some(holder)) if holder == parts.node => vacant += 1,
            Ok(Some(_)) => vacant = 0,
            // A store that is away says nothing about who leads.
            Err(_) => {}
        }
    }
}

/// Waits until a process with more room answers while this one leads.
async fn successor_answers(successors: &dyn Successors, term: &Term) {
    loop {
        tokio::time::sleep(HANDOVER_INTERVAL).await;
        let leads = term.borrow().is_some();
        if leads && successors.any_answers().await {
            return;
        }
    }
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
    let follow = follow_progress(Rc::clone(&parts.store), followed, parts.progress_pace);
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
    let epoch = next_epoch(generation, parts.table.borrow().leader.epoch, parts.salt);
    let fence = Fence { writer: WRITER.to_owned(), epoch, sequence: 0 };
    let mut writer = Writer { store: parts.store.as_ref(), fence };
    let leader = Record::Leader(Leader { node: parts.node.clone(), epoch });
    let end = writer.append(&[leader.encode()]).await?;
    parts.freshness.reach(end).await;
    log::info!("event=J120 leadership gained generation={generation} epoch={epoch} position={end}");
    let started = Instant::now();
    loop {
        let round_started = Instant::now();
        let mut changes = parts.freshness.subscribe();
        let records = decide(parts, &mut planner, progress, started.elapsed());
        let gap = ROUND_GAP.max(round_started.elapsed() * ROUND_SHARE);
        let idle = records.is_empty();
        for group in records.chunks(RECORDS_PER_APPEND) {
            let end = writer.append(group).await?;
            parts.freshness.reach(end).await;
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
    planner.round(&RoundInputs {
        table: &table,
        routing: &routing,
        progress: &progress,
        now,
        wall: (parts.wall_clock)(),
    })
}

/// Returns an epoch above all that were seen, which no other process takes.
fn next_epoch(generation: u64, seen: u64, salt: u64) -> u64 {
    let term = generation.max((seen >> EPOCH_SALT_BITS) + 1);
    (term << EPOCH_SALT_BITS) | (salt & ((1 << EPOCH_SALT_BITS) - 1))
}
