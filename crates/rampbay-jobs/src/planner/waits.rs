//! The reasons why steps wait, logged when they change.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::queue::WaitingStep;
use super::{RoundInputs, StepKey};

/// Smallest time between two log lines on one step.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Reason why a step that may start has to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// Other runs are being stopped for it.
    StopsUnderWay,
    /// It is to be placed in one rack, and none has enough free capacity.
    NoRack,
    /// It is suspected of crashing its workers, and waits for an idle one.
    NoIdleWorker,
    /// A start of one of its tasks got no answer and may still be carried out, and the worker that rejects it can't
    /// take the task.
    UnansweredStart,
    /// It would end late on the workers that are free, and others become free soon.
    BetterWorkers,
    /// No capacity is free, and the runs that would have to be stopped are worth more.
    NoRoom,
}

impl WaitReason {
    /// Returns its label in logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::StopsUnderWay => "stops_under_way",
            Self::NoRack => "no_rack",
            Self::NoIdleWorker => "no_idle_worker",
            Self::UnansweredStart => "unanswered_start",
            Self::BetterWorkers => "better_workers",
            Self::NoRoom => "no_room",
        }
    }
}

/// A step that waits, and why.
#[derive(Clone, Debug)]
pub struct Wait {
    /// The step.
    pub key: StepKey,
    /// Number of its tasks that wait.
    pub tasks: usize,
    /// Time that it has waited, in milliseconds.
    pub waited_ms: u64,
    /// The reason.
    pub reason: WaitReason,
}

impl Wait {
    /// Creates the entry for a step of which `tasks` tasks wait.
    #[must_use]
    pub fn new(
        waiting: &WaitingStep,
        tasks: usize,
        reason: WaitReason,
        inputs: &RoundInputs<'_>,
    ) -> Self {
        let key = (waiting.job.clone(), waiting.occurrence, waiting.step);
        Self { key, tasks, waited_ms: waiting.waited_ms(inputs.wall), reason }
    }
}

/// The waiting steps, with the reasons that were logged last.
#[derive(Debug, Default)]
pub struct WaitLog {
    logged: BTreeMap<StepKey, (WaitReason, Duration)>,
}

impl WaitLog {
    /// Updates the waiting steps after a round, and logs the changes.
    pub fn update(&mut self, waits: &[Wait], now: Duration) {
        let keys: BTreeSet<&StepKey> = waits.iter().map(|wait| &wait.key).collect();
        self.logged.retain(|key, _| keys.contains(key));
        for wait in waits {
            let logged = self.logged.get(&wait.key);
            let should_log = logged.is_none_or(|(reason, at)| {
                *reason != wait.reason && now.saturating_sub(*at) >= MIN_LOG_INTERVAL
            });
            if !should_log {
                continue;
            }
            self.logged.insert(wait.key.clone(), (wait.reason, now));
            let (job, occurrence, step) = &wait.key;
            log::info!(
                "event=J152 step waits job={job} occurrence={occurrence} step={step} reason={} tasks={} waited_ms={}",
                wait.reason.label(),
                wait.tasks,
                wait.waited_ms
            );
        }
    }

    /// Returns the reason that was last logged for a waiting step.
    #[must_use]
    pub fn reason(&self, key: &StepKey) -> Option<WaitReason> {
        self.logged.get(key).map(|(reason, _)| *reason)
    }
}
