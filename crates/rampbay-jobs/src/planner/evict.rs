//! Suspects and evicts workers whose agents are silent.
//!
//! A suspicion is a question: an agent that reads it renews no lease before it has registered its worker anew, which it
//! does at once. So nothing is lost by a suspicion of an agent that can reach the store, and the time after which an agent
//! renews no lease by an old view of the state counts from there. An eviction is final for the runs of the worker.

use std::collections::BTreeMap;

use crate::job::InstanceId;
use crate::keys::{eviction_key, suspicion_key};
use crate::metrics::metrics;
use crate::record::{KeyedRecord, Record};
use crate::registrations::RegistrationNumber;
use crate::table::JobTable;

use super::draft::Draft;
use super::workers::{WorkerView, WorkerViews};
use super::{Planner, RoundInputs};

/// Workers that were suspected or evicted, and under which registration.
#[derive(Debug, Default)]
pub struct SilentWorkers(BTreeMap<InstanceId, RegistrationNumber>);

impl SilentWorkers {
    /// Records that a worker was suspected or evicted under a registration.
    pub fn note(&mut self, instance: &InstanceId, registration: RegistrationNumber) {
        self.0.insert(instance.clone(), registration);
    }

    /// Removes the workers that were registered anew, and returns them.
    pub fn take_returned(&mut self, table: &JobTable) -> Vec<InstanceId> {
        let newest = |instance: &str| table.registrations().newest(instance);
        self.0.retain(|instance, _| newest(instance).is_some());
        let returned = self.0.extract_if(.., |instance, number| {
            newest(instance).is_some_and(|(registered, _)| registered > *number)
        });
        returned.map(|(instance, _)| instance).collect()
    }
}

/// What is decided about a worker whose agent is silent.
#[derive(Clone, Copy, Debug)]
enum Verdict {
    /// The agent has to register the worker anew.
    Suspected,
    /// The worker's runs are given up.
    Evicted,
}

impl Verdict {
    /// Returns what is decided about a worker in this round, if anything is.
    fn of(view: &WorkerView<'_>, planner: &Planner, table: &JobTable) -> Option<Self> {
        let settings = &planner.settings;
        if view.record.departed || table.evicted.contains(view.instance) {
            return None;
        }
        if view.report_age >= settings.evict_after {
            return Some(Self::Evicted);
        }
        let is_suspected = view.report_age >= settings.suspect_after && is_unsuspected(view, table);
        is_suspected.then_some(Self::Suspected)
    }

    /// Returns the record of the verdict on a worker under a registration.
    fn record(self, instance: &InstanceId, number: RegistrationNumber) -> KeyedRecord {
        let (key, record) = match self {
            Self::Suspected => {
                (suspicion_key(instance, number), Record::Suspected(instance.clone()))
            }
            Self::Evicted => (eviction_key(instance, number), Record::Evicted(instance.clone())),
        };
        KeyedRecord { key, value: record.encode().value }
    }

    fn report(self, view: &WorkerView<'_>) {
        let (event, label) = match self {
            Self::Suspected => ("event=J220 worker suspected", "suspect"),
            Self::Evicted => ("event=J140 worker evicted", "evict"),
        };
        log::warn!(
            "{event} worker={} agent={} report_age_ms={}",
            view.instance,
            view.record.node,
            view.report_age.as_millis()
        );
        metrics().count_decision(label);
    }
}

/// Suspects and evicts the workers whose agents' reports are old enough for it.
pub fn evict(
    planner: &mut Planner,
    draft: &mut Draft<'_>,
    workers: &WorkerViews<'_>,
    inputs: &RoundInputs<'_>,
) {
    for view in &workers.views {
        let Some(verdict) = Verdict::of(view, planner, inputs.table) else { continue };
        let newest = inputs.table.registrations().newest(view.instance);
        let number = newest.map_or(0, |(number, _)| number);
        verdict.report(view);
        planner.silent.note(view.instance, number);
        draft.add(verdict.record(view.instance, number));
    }
}

/// Returns whether a worker may be suspected, and isn't yet.
fn is_unsuspected(view: &WorkerView<'_>, table: &JobTable) -> bool {
    view.record.may_be_suspected
        && !table.is_suspected(view.instance)
        && table.stop_in_force(view.instance).is_none()
}
