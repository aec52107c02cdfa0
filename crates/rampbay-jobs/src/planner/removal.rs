//! Removes workers whose agents renew no leases any more, once all leases have ended. What ran there starts elsewhere.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::job::InstanceId;
use crate::keys::{stop_key, suspicion_key};
use crate::losses::IncarnationEnd;
use crate::record::Record;
use crate::registrations::RegistrationNumber;
use crate::table::JobTable;

use super::draft::Draft;
use super::{Planner, PlannerSettings, RoundInputs};

/// Why the leases of a worker aren't renewed any more, or only for a limited time.
#[derive(Clone, Copy, Debug)]
enum Cause {
    /// The worker has deregistered, and its agent couldn't record the end of the incarnation.
    Departed,
    /// The agent's process has stopped.
    Stopped,
    /// The worker is suspected, and its agent doesn't answer.
    Suspected,
    /// The worker is evicted.
    Evicted,
}

impl Cause {
    const fn label(self) -> &'static str {
        match self {
            Self::Departed => "departed",
            Self::Stopped => "stopped",
            Self::Suspected => "suspected",
            Self::Evicted => "evicted",
        }
    }

    /// Returns whether the agent was silent, so that a new registration shows that it is back.
    const fn is_silence(self) -> bool {
        matches!(self, Self::Suspected | Self::Evicted)
    }
}

/// A worker whose leases end.
#[derive(Clone, Debug)]
struct EndingWorker {
    instance: InstanceId,
    cause: Cause,
    /// The registration that the cause is about; 0 if it is about the incarnation.
    registration: RegistrationNumber,
    /// Time after which all leases have certainly ended, from when a leader learned of the cause.
    wait: Duration,
}

impl EndingWorker {
    /// Lists the workers whose leases end. One of them may be listed for several causes.
    fn list(table: &JobTable, settings: &PlannerSettings) -> Vec<Self> {
        let mut ending = Vec::new();
        let mut add = |instance: &InstanceId, cause, registration, wait| {
            ending.push(Self { instance: instance.clone(), cause, registration, wait });
        };
        for instance in &table.evicted {
            let registration = table.eviction_number(instance);
            add(instance, Cause::Evicted, registration, settings.remove_evicted_after);
        }
        for (instance, number) in table.suspicions() {
            if table.is_suspected_under(instance, number) {
                add(instance, Cause::Suspected, number, settings.remove_evicted_after);
            }
        }
        for (instance, _) in table.workers.iter().filter(|(_, worker)| worker.departed) {
            add(instance, Cause::Departed, 0, settings.remove_departed_after);
        }
        for (instance, number) in table.stops() {
            let stop = table.stop_in_force(instance).filter(|(in_force, _)| *in_force == number);
            if let Some((_, stop)) = stop {
                let wait = Duration::from_millis(stop.remaining_ms) + settings.stop_slack;
                add(instance, Cause::Stopped, number, wait);
            }
        }
        ending
    }

    /// Returns the name of the timer that measures the wait.
    fn timer(&self) -> String {
        format!("{}/{}/{}", self.cause.label(), self.instance, self.registration)
    }

    fn log_removal(&self, waited: Duration) {
        let (worker, waited_ms) = (&self.instance, waited.as_millis());
        match self.cause {
            Cause::Evicted => {
                log::warn!(
                    "event=J141 evicted worker removed worker={worker} waited_ms={waited_ms}"
                );
            }
            Cause::Departed => {
                log::warn!(
                    "event=J144 departed worker removed worker={worker} waited_ms={waited_ms}"
                );
            }
            Cause::Stopped => {
                log::warn!(
                    "event=J219 worker without an agent removed worker={worker} number={} waited_ms={waited_ms}",
                    self.registration
                );
            }
            Cause::Suspected => {
                log::warn!(
                    "event=J221 suspected worker removed worker={worker} number={} waited_ms={waited_ms}",
                    self.registration
                );
            }
        }
    }
}

/// Removes the workers all of whose leases have ended, and the records that don't count any more.
pub fn remove_ended(planner: &mut Planner, draft: &mut Draft<'_>, inputs: &RoundInputs<'_>) {
    let ending = EndingWorker::list(inputs.table, &planner.settings);
    let silent = ending.iter().filter(|worker| worker.cause.is_silence());
    silent.for_each(|worker| planner.silent.note(&worker.instance, worker.registration));
    let mut removed = BTreeSet::new();
    for worker in &ending {
        let waited = planner.timers.elapsed(worker.timer(), inputs.now);
        if waited >= worker.wait && removed.insert(&worker.instance) {
            worker.log_removal(waited);
            remove_worker(draft, &worker.instance, worker.cause);
        }
    }
    remove_outdated(draft, inputs.table);
}

fn remove_worker(draft: &mut Draft<'_>, instance: &str, cause: Cause) {
    let registrations = draft.table.registrations();
    let newest = registrations.newest(instance).map(|(number, _)| number);
    let keys: Vec<String> = registrations.keys(instance).collect();
    for key in keys {
        draft.remove(key);
    }
    if let Some(number) = newest {
        draft.add(Record::Over(instance.to_owned(), number).encode());
    }
    let evictions: Vec<String> = draft.table.eviction_keys(instance).collect();
    evictions.into_iter().for_each(|key| draft.remove(key));
    // What was planned counts as no loss of the tasks.
    let gave_notice = matches!(cause, Cause::Departed | Cause::Stopped);
    let end = IncarnationEnd { gave_notice, runs: None };
    draft.add(Record::LifeOver(instance.to_owned(), Box::new(end)).encode());
}

/// Removes the stops and suspicions of agents' processes that other registrations have replaced.
fn remove_outdated(draft: &mut Draft<'_>, table: &JobTable) {
    for (instance, number) in table.stops() {
        if table.stop_in_force(instance).is_none_or(|(in_force, _)| in_force != number) {
            draft.remove(stop_key(instance, number));
        }
    }
    for (instance, number) in table.suspicions() {
        if !table.is_suspected_under(instance, number) {
            draft.remove(suspicion_key(instance, number));
        }
    }
}
