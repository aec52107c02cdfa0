//! What found no place earlier in a round: what asks for as much or more finds none either.
//!
//! Under load most of what waits fits nowhere. Looked for anew for each step, that is the number of waiting steps times
//! the fleet: on 2,500 workers each worker was looked at some 100 times a round. Free room only shrinks in a round, so
//! one look for each demand is enough.

use crate::job::{Resources, ServiceName};

use super::gang::Need;

/// Demands for which no room is left.
#[derive(Debug, Default)]
pub struct Exhausted(Vec<Demand>);

/// So many tasks at once that found no place.
#[derive(Clone, Debug)]
struct Demand {
    service: ServiceName,
    label: String,
    of_task: Resources,
    count: usize,
    /// More urgent work may go where this may not.
    priority: u32,
    uses_reserve: bool,
}

impl Demand {
    /// Returns whether `count` tasks of a step ask for as much or more, of no other workers.
    fn is_within(&self, need: &Need<'_>, count: usize) -> bool {
        count >= self.count
            && need.priority >= self.priority
            && (self.uses_reserve || !need.uses_reserve)
            && need.demand.fits(&self.of_task)
            && need.service == self.service
            && need.step.required_label == self.label
    }
}

impl Exhausted {
    /// Returns whether `count` tasks of a step can't be placed, since as many or fewer that ask for no more couldn't.
    pub fn holds(&self, need: &Need<'_>, count: usize) -> bool {
        self.0.iter().any(|demand| demand.is_within(need, count))
    }

    /// Takes note that `count` tasks of a step found no place among all workers that may run them. Steps that avoid
    /// workers of their own say nothing about others.
    pub fn note(&mut self, need: &Need<'_>, count: usize) {
        if need.is_choosy() || self.holds(need, count) {
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

    /// Forgets all: room has become free.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
