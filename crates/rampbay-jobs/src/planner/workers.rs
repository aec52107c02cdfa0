//! The workers and the ages of their agents' reports in one round.

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
    /// Its record, written by its agent.
    pub record: &'a Rc<WorkerRecord>,
    /// Time since its agent's last report; at most the time for which this planner has known the worker.
    pub report_age: Duration,
    /// Time for which it hadn't answered its agent at the last report.
    pub silent: Duration,
    /// Whether its agent has reported since the end of the last outage of the reports.
    pub has_reported: bool,
}

/// All workers, in the order of their ids.
#[derive(Debug)]
pub struct WorkerViews<'a> {
    /// The workers.
    pub views: Vec<WorkerView<'a>>,
    indices: HashMap<&'a str, usize>,
}

impl<'a> WorkerViews<'a> {
    /// Collects all workers. `known_since` holds the times since which this planner has known each.
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
                has_reported: report.has_reported,
            }
        });
        let views: Vec<WorkerView<'a>> = views.collect();
        let indices = views.iter().enumerate();
        let indices = indices.map(|(index, view)| (view.instance.as_str(), index)).collect();
        Self { views, indices }
    }

    /// Returns the index of a worker in the list.
    pub fn index(&self, instance: &str) -> Option<usize> {
        self.indices.get(instance).copied()
    }

    /// Returns a worker.
    pub fn get(&self, instance: &str) -> Option<&WorkerView<'a>> {
        self.index(instance).map(|index| &self.views[index])
    }
}
