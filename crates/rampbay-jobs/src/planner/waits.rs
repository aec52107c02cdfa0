//! Why steps wait, told when it changes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::queue::WaitingStep;
use super::{RoundInputs, StepKey};

/// Least time between two lines of one step.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why a step that may start doesn't.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// Other runs are being stopped for it.
    StopsUnderWay,
    /// It goes into one rack, and none has room for it.
    NoRack,
    /// It is suspected to crash its workers, and waits for one of its own.
    NoIdleWorker,
    /// There is no room, and what would have to be stopped is worth more.
    NoRoom,
}

impl WaitReason {
    /// Returns its name in logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::StopsUnderWay => "stops_under_way",
            Self::NoRack => "no_rack",
            Self::NoIdleWorker => "no_idle_worker",
            Self::NoRoom => "no_room",
        }
    }
}

/// A step that waits, and why.
#[derive(Clone, Debug)]
pub struct Wait {
    /// The step.
    pub key: StepKey,
    /// Its tasks that wait.
    pub tasks: usize,
    /// How long it has waited, in milliseconds.
    pub waited_ms: u64,
    /// Why.
    pub reason: WaitReason,
}

impl Wait {
    /// Makes the account of a step that `tasks` tasks of wait.
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

/// The steps that wait, as they were told last.
#[derive(Debug, Default)]
pub struct WaitLog {
    logged: BTreeMap<StepKey, (WaitReason, Duration)>,
}

impl WaitLog {
    /// Takes in what waits after a round, and tells what has changed.
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

    /// Returns why a step waits, as it was told last.
    #[must_use]
    pub fn reason(&self, key: &StepKey) -> Option<WaitReason> {
        self.logged.get(key).map(|(reason, _)| *reason)
    }
}
