//! The workers that a leader has seen lately, for what can never fit.
//!
//! Load that this answers: workers that restart, lose power or are added in groups. A worker that is gone is often back
//! within seconds, and a job refused for its absence would have been served. So a worker counts for a while after it was
//! last seen, and while many come or go the service isn't described at all.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use crate::job::{InstanceId, ServiceName};
use crate::record::WorkerRecord;
use crate::table::JobTable;

use super::WorkerShape;

/// Time for which workers are remembered, and for which their number must have been steady. All machines are back
/// within this time after a loss of power.
pub const FLEET_MEMORY: Duration = Duration::from_secs(30);
/// Share of the workers, as a divisor, by which their number may differ within [`FLEET_MEMORY`]: a tenth. Single workers
/// come and go all the time.
const STEADY_DIVISOR: usize = 10;

/// A worker as it was last seen with these resources and labels.
#[derive(Clone, Debug)]
struct Seen {
    record: Rc<WorkerRecord>,
    at: Duration,
}

/// The workers of the last while, and their numbers.
#[derive(Debug, Default)]
pub struct FleetMemory {
    seen: BTreeMap<InstanceId, Vec<Seen>>,
    /// Numbers of usable workers since when, by service.
    counts: BTreeMap<ServiceName, VecDeque<(Duration, usize)>>,
}

impl FleetMemory {
    /// Takes note of the workers at a time, which must not go back.
    pub fn update(&mut self, now: Duration, table: &JobTable) {
        for (instance, record) in &table.workers {
            self.note_worker(instance, record, now);
        }
        self.seen.retain(|_, seen| {
            seen.retain(|seen| now.saturating_sub(seen.at) <= FLEET_MEMORY);
            !seen.is_empty()
        });
        self.note_counts(now, table);
    }

    fn note_worker(&mut self, instance: &InstanceId, record: &Rc<WorkerRecord>, now: Duration) {
        if !self.seen.contains_key(instance) {
            self.seen.insert(instance.clone(), Vec::new());
        }
        let Some(seen) = self.seen.get_mut(instance) else { return };
        let is_alike = |seen: &&mut Seen| {
            Rc::ptr_eq(&seen.record, record)
                || (seen.record.capacity == record.capacity
                    && seen.record.labels == record.labels
                    && seen.record.service == record.service)
        };
        match seen.iter_mut().find(is_alike) {
            Some(known) => known.at = now,
            None => seen.push(Seen { record: Rc::clone(record), at: now }),
        }
    }

    fn note_counts(&mut self, now: Duration, table: &JobTable) {
        let mut counts: BTreeMap<&ServiceName, usize> = BTreeMap::new();
        for (instance, record) in &table.workers {
            let is_there = !record.departed && !table.evicted.contains(instance);
            *counts.entry(&record.service).or_default() += usize::from(is_there);
        }
        for (service, history) in &mut self.counts {
            push_count(history, now, counts.remove(service).unwrap_or(0));
        }
        for (service, count) in counts {
            // A service that appears had no workers before.
            let history = VecDeque::from([(now, 0), (now, count)]);
            self.counts.insert(service.clone(), history);
        }
        self.counts.retain(|_, history| history.iter().any(|(_, count)| *count > 0));
    }

    /// Lists the services that have or lately had workers.
    #[must_use]
    pub fn services(&self) -> BTreeSet<&ServiceName> {
        self.seen.values().flatten().map(|seen| &seen.record.service).collect()
    }

    /// Returns whether the number of a service's workers has been steady: within [`FLEET_MEMORY`] it has never differed
    /// from the present one by more than a tenth. That a service just appeared counts as a change.
    #[must_use]
    pub fn is_steady(&self, service: &str) -> bool {
        let Some(history) = self.counts.get(service) else { return false };
        let Some((_, now)) = history.back() else { return false };
        let is_near =
            |count: usize| count.abs_diff(*now) * STEADY_DIVISOR <= count.max(*now) && *now > 0;
        history.iter().all(|(_, count)| is_near(*count))
    }

    /// Groups the workers of a service by resources and labels.
    #[must_use]
    pub fn shapes(&self, service: &str) -> Vec<WorkerShape> {
        let mut shapes: Vec<WorkerShape> = Vec::new();
        let records = self.seen.values().flatten().map(|seen| &seen.record);
        for record in records.filter(|record| record.service == service) {
            let labels = record.labels.iter().enumerate().filter(|(index, _)| *index != 1);
            let labels: Vec<&String> = labels.map(|(_, label)| label).collect();
            let is_same = |shape: &WorkerShape| {
                shape.capacity == record.capacity && shape.labels.iter().eq(labels.iter().copied())
            };
            let index = shapes.iter().position(is_same).unwrap_or(shapes.len());
            if index == shapes.len() {
                let labels = labels.into_iter().cloned().collect();
                let capacity = record.capacity;
                shapes.push(WorkerShape { capacity, labels, racks: BTreeMap::new() });
            }
            *shapes[index].racks.entry(record.rack().to_owned()).or_default() += 1;
        }
        shapes.sort_by(|one, other| {
            let key = |shape: &WorkerShape| {
                let capacity = shape.capacity;
                (capacity.devices, capacity.cpu_milli, capacity.memory_mb)
            };
            key(one).cmp(&key(other)).then_with(|| one.labels.cmp(&other.labels))
        });
        shapes
    }
}

/// Adds a count, and drops those that were replaced before the time that is remembered.
fn push_count(history: &mut VecDeque<(Duration, usize)>, now: Duration, count: usize) {
    if history.back().is_none_or(|(_, last)| *last != count) {
        history.push_back((now, count));
    }
    while history.len() > 1 && now.saturating_sub(history[1].0) > FLEET_MEMORY {
        history.pop_front();
    }
}
