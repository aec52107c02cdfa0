//! The runs that an agent knows of at one life of its worker.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time::Instant;

use crate::job::{Checkpoint, TaskId};
use crate::losses::InFlightRun;

/// Names a run: the task and its attempt.
pub type RunKey = (TaskId, u32);

/// Where a run stands, as far as the agent knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A start is on its way.
    Starting,
    /// A start got no answer at this time.
    Unanswered(Instant),
    /// It runs.
    Running,
}

/// A run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Where it stands.
    pub phase: Phase,
    /// Whether it may have begun: an order was sent whose fate isn't known, or the worker has shown it.
    pub may_have_begun: bool,
    /// Whether the worker is being looked at for it, before a start without answer is given up.
    pub look_in_flight: bool,
    /// Whether a stop is on its way.
    pub stop_in_flight: bool,
    /// When a stop was answered first.
    pub stop_answered: Option<Instant>,
    /// How far it was when it was listed last, 0 to 100.
    pub percent: u32,
    /// When it was heard of first.
    pub known_since: Instant,
    /// When it was listed last.
    pub listed_at: Instant,
    /// What it saved last.
    pub checkpoint: Checkpoint,
    /// Whether the log was told that the worker lists neither it nor its end.
    pub told_unlisted: bool,
}

impl Run {
    /// Makes a run in a phase.
    pub fn new(phase: Phase) -> Self {
        let now = Instant::now();
        Self {
            phase,
            may_have_begun: phase != Phase::Starting,
            known_since: now,
            listed_at: now,
            look_in_flight: false,
            stop_in_flight: false,
            stop_answered: None,
            percent: 0,
            checkpoint: String::new(),
            told_unlisted: false,
        }
    }
}

/// All runs of a life.
#[derive(Debug, Default)]
pub struct Runs {
    /// Runs that may exist.
    pub open: BTreeMap<RunKey, Run>,
    /// Runs that have ended, or will never start; never started again.
    pub over: BTreeSet<RunKey>,
    /// Those of them that were reported as never started. One that shows up all the same is stopped: the planner
    /// has started it elsewhere.
    pub never_started: BTreeSet<RunKey>,
}

/// Most runs that one line of the log names.
const MOST_NAMED: usize = 8;

impl Runs {
    /// Lists the runs that may have begun and whose end isn't known, with their ages.
    pub fn begun(&self) -> Vec<InFlightRun> {
        let begun =
            self.open.iter().filter(|(key, run)| run.may_have_begun && !self.over.contains(*key));
        let begun = begun.map(|((task, attempt), run)| InFlightRun {
            task: task.clone(),
            attempt: *attempt,
            age_ms: run.known_since.elapsed().as_millis() as u64,
            listed_ms: (run.listed_at - run.known_since).as_millis() as u64,
        });
        begun.collect()
    }

    /// Iterates over the runs that may hold room beside one. An end that is listed has freed its room, also while it is
    /// on its way to the store.
    pub fn beside<'a>(&'a self, key: &'a RunKey) -> impl Iterator<Item = &'a RunKey> {
        self.open.keys().filter(move |other| *other != key && !self.over.contains(*other))
    }

    /// Describes runs that may exist, for the log: task, attempt, phase, and milliseconds since it was heard of.
    pub fn describe_open(&self) -> Vec<String> {
        let runs = self.open.iter().take(MOST_NAMED);
        let describe = |((task, attempt), run): (&RunKey, &Run)| {
            let age_ms = run.known_since.elapsed().as_millis();
            format!("{task}/{attempt} {:?} {age_ms}", run.phase)
        };
        runs.map(describe).collect()
    }
}
