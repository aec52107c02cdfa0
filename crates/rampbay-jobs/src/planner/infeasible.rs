//! Demands that couldn't be placed earlier in a round. A demand for as much or more can't be placed either.
//!
//! Under load most waiting steps fit nowhere. A search for each step costs the number of waiting steps times the
//! size of the fleet: on 2,500 workers each worker was examined some 100 times a round. Free capacity only shrinks
//! in a round, so one search for each demand is enough.

use crate::job::{Resources, ServiceName};

use super::fit::Need;

/// Demands for which no capacity is left.
#[derive(Debug, Default)]
pub struct InfeasibleDemands(Vec<Demand>);

/// A number of tasks that couldn't be placed at once.
#[derive(Clone, Debug)]
struct Demand {
    service: ServiceName,
    label: String,
    of_task: Resources,
    count: usize,
    /// Priority of the demand. It rules out only work as urgent or less: more urgent work may use more workers.
    priority: u32,
    uses_reserve: bool,
}

impl Demand {
    /// Returns whether `count` tasks of a step ask for as much or more, and may use no workers beyond those searched.
    fn rules_out(&self, need: &Need<'_>, count: usize) -> bool {
        count >= self.count
            && need.priority >= self.priority
            && (self.uses_reserve || !need.uses_reserve)
            && need.demand.fits(&self.of_task)
            && need.service == self.service
            && need.step.required_label == self.label
    }
}

impl InfeasibleDemands {
    /// Returns whether `count` tasks of a step can't be placed, since as many or fewer with demands no greater
    /// couldn't.
    pub fn covers(&self, need: &Need<'_>, count: usize) -> bool {
        self.0.iter().any(|demand| demand.rules_out(need, count))
    }

    /// Records that `count` tasks of a step couldn't be placed on any worker that may run them. A step that excludes
    /// workers for itself isn't recorded, since other steps may use those workers.
    pub fn note(&mut self, need: &Need<'_>, count: usize) {
        if need.excludes_workers() || self.covers(need, count) {
            return;
        }
        self.0.push(Demand {
            service: need.service.to_owned(),
            label: need.step.required_label.clone(),
            of_task: need.demand,
            count,
            priority: need.priority,
            uses_reserve: need.uses_reserve,
        });
    }

    /// Removes all demands, since capacity has become free.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
