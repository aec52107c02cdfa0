//! The runs that an agent knows of at one incarnation of its worker.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time::Instant;

use crate::job::{Checkpoint, TaskId};
use crate::losses::InFlightRun;

/// Identifies a run: its task and the number of the attempt.
pub type RunKey = (TaskId, u32);

/// State of a run, as far as the agent knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A start has been ordered.
    Starting,
    /// A start may have been carried out without an answer to this process; since when.
    Unanswered(Instant),
    /// The worker has started the run or lists it.
    Running,
}

/// A run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its state.
    pub phase: Phase,
    /// Whether the run may have begun: a start is unanswered, or the worker has confirmed or listed
    /// it.
    pub may_have_begun: bool,
    /// When the last start was sent that got no definite answer, so that it may be carried out late.
    pub unanswered_start: Option<Instant>,
    /// Whether a record of an unanswered start was sent to the store before the run's end.
    pub is_announced: bool,
    /// Whether the run may hold resources. One that only an earlier process may have ordered, and that the worker
    /// doesn't list, holds none.
    pub may_hold_resources: bool,
    /// Whether the worker is being polled for the run, before its unanswered start is given up.
    pub poll_in_flight: bool,
    /// Whether a stop is in flight.
    pub stop_in_flight: bool,
    /// Whether the run's end is being appended to the store.
    pub append_in_flight: bool,
    /// When the run's stop was answered, or the worker said that the run has ended.
    pub stop_answered: Option<Instant>,
    /// Progress in percent, 0 to 100, when the run was listed last.
    pub percent: u32,
    /// When the agent first knew of the run.
    pub known_since: Instant,
    /// When the run was listed last.
    pub listed_at: Instant,
    /// The checkpoint that the run saved last.
    pub checkpoint: Checkpoint,
    /// Whether it was logged that the worker lists neither the run nor its end.
    pub logged_lost_end: bool,
}

impl Run {
    /// Creates a run in a phase.
    pub fn new(phase: Phase) -> Self {
        let now = Instant::now();
        Self {
            phase,
            may_have_begun: phase != Phase::Starting,
            known_since: now,
            listed_at: now,
            unanswered_start: None,
            is_announced: false,
            may_hold_resources: true,
            poll_in_flight: false,
            stop_in_flight: false,
            append_in_flight: false,
            stop_answered: None,
            percent: 0,
            checkpoint: String::new(),
            logged_lost_end: false,
        }
    }

    /// Creates a run in a phase that an earlier process, or an order for an earlier incarnation, may have begun without
    /// an answer. Such orders were sent before `sent_before`.
    pub fn of_earlier_process(phase: Phase, sent_before: Instant) -> Self {
        Self { unanswered_start: Some(sent_before), ..Self::new(phase) }
    }
}

/// All runs of an incarnation.
#[derive(Debug, Default)]
pub struct Runs {
    /// Runs that may exist.
    pub open: BTreeMap<RunKey, Run>,
    /// Runs that have ended, or will never start; never started again.
    pub ended: BTreeSet<RunKey>,
    /// Ended runs that were reported as never started. If the worker lists one as running, it is
    /// stopped: the planner has started it elsewhere.
    pub never_started: BTreeSet<RunKey>,
}

/// Most runs that one log line names.
const MAX_LOGGED_RUNS: usize = 8;

impl Runs {
    /// Lists the runs that may have begun and whose end isn't known.
    pub fn unfinished(&self) -> Vec<InFlightRun> {
        let unfinished =
            self.open.iter().filter(|(key, run)| run.may_have_begun && !self.ended.contains(*key));
        let unfinished = unfinished.map(|((task, attempt), run)| InFlightRun {
            task: task.clone(),
            attempt: *attempt,
            age_ms: run.known_since.elapsed().as_millis() as u64,
            listed_ms: (run.listed_at - run.known_since).as_millis() as u64,
        });
        unfinished.collect()
    }

    /// Iterates over the runs other than `key` that may hold resources. A run whose end is listed
    /// has freed them, even if the store doesn't hold the end yet.
    pub fn others<'a>(&'a self, key: &'a RunKey) -> impl Iterator<Item = &'a RunKey> {
        let others = self.open.iter().filter(move |(other, run)| {
            *other != key && run.may_hold_resources && !self.ended.contains(*other)
        });
        others.map(|(other, _)| other)
    }

    /// Describes runs that may exist, for the log: task, attempt, phase, and milliseconds since the
    /// agent first knew of them.
    pub fn describe_open(&self) -> Vec<String> {
        let runs = self.open.iter().take(MAX_LOGGED_RUNS);
        let describe = |((task, attempt), run): (&RunKey, &Run)| {
            let age_ms = run.known_since.elapsed().as_millis();
            format!("{task}/{attempt} {:?} {age_ms}", run.phase)
        };
        runs.map(describe).collect()
    }
}
