//! The workers as one round sees them.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::job::InstanceId;
use crate::record::WorkerRecord;

use super::RoundInputs;

/// One worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerView<'a> {
    /// Its id.
    pub instance: &'a InstanceId,
    /// What its agent says of it.
    pub record: &'a Rc<WorkerRecord>,
    /// How long its agent hasn't reported, since this planner knows the worker.
    pub report_age: Duration,
    /// How long it hadn't answered its agent at the last report.
    pub silent: Duration,
    /// Whether its agent has reported since reports could last be read again.
    pub is_heard: bool,
}

/// All workers, in the order of their ids.
#[derive(Debug)]
pub struct WorkerViews<'a> {
    /// The workers.
    pub views: Vec<WorkerView<'a>>,
    places: HashMap<&'a str, usize>,
}

impl<'a> WorkerViews<'a> {
    /// Looks at all workers. `known_since` says since when this planner has known each.
    pub fn new(inputs: &RoundInputs<'a>, known_since: &BTreeMap<InstanceId, Duration>) -> Self {
        let now = Instant::now();
        let views = inputs.table.workers.iter().map(|(instance, record)| {
            let report = inputs.progress.report(instance, now);
            let known = known_since.get(instance).copied().unwrap_or(inputs.now);
            WorkerView {
                instance,
                record,
                report_age: report.age.min(inputs.now.saturating_sub(known)),
                silent: report.silent,
                is_heard: report.is_heard,
            }
        });
        let views: Vec<WorkerView<'a>> = views.collect();
        let places = views.iter().enumerate();
        let places = places.map(|(place, view)| (view.instance.as_str(), place)).collect();
        Self { views, places }
    }

    /// Returns the place of a worker in the list.
    pub fn place(&self, instance: &str) -> Option<usize> {
        self.places.get(instance).copied()
    }

    /// Returns a worker.
    pub fn get(&self, instance: &str) -> Option<&WorkerView<'a>> {
        self.place(instance).map(|place| &self.views[place])
    }
}
