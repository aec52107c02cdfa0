//! The outlook: what a leader expects of the fleet, so that entries can refuse at once what certainly can't be served.
//!
//! A leader writes it under the policies that ask for it ([`PlacementPolicy::publishes_outlook`]). It holds the shapes of
//! the workers, from which follows what can never fit, and for each priority how many tasks are expected to fit at some
//! times from now. [`crate::admission`] decides by it.
//!
//! The record isn't fenced, so that a slow store delays no decision of the leader. A copy that is carried out late is
//! recognized by the leader's epoch and a number, and ignored.
//!
//! [`PlacementPolicy::publishes_outlook`]: crate::planner::policy::PlacementPolicy::publishes_outlook

pub mod board;
pub mod fleet;
pub mod forecaster;
pub mod received;
pub mod room;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::job::{EpochMillis, Resources, ServiceName, Step, WorkspaceName};
use room::{DEVICES_OF_SLOT, HORIZONS_MS, Slots};

/// Key under which the outlook is kept.
pub const OUTLOOK_KEY: &str = "outlook";

/// What a leader expects of the fleet. Services that aren't described are unknown: their jobs are accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outlook {
    /// Epoch of the leader.
    pub epoch: u64,
    /// Number of the outlook in that epoch, from 1.
    pub number: u64,
    /// When it was computed, by the leader's clock.
    pub at: EpochMillis,
    /// Workspaces with a guarantee.
    pub guaranteed: Vec<WorkspaceName>,
    /// The services.
    pub services: Vec<ServiceOutlook>,
}

/// What a leader expects of the workers of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceOutlook {
    /// The service.
    pub service: ServiceName,
    /// The workers, also those that can't be used now but may be again.
    pub shapes: Vec<WorkerShape>,
    /// When there will be room, by priority. A priority that isn't listed isn't forecast.
    pub priorities: Vec<PriorityOutlook>,
}

/// Workers of the same resources and labels.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerShape {
    /// Total resources of each of them.
    pub capacity: Resources,
    /// Their labels without that of the rack.
    pub labels: Vec<String>,
    /// Number of workers in each rack.
    pub racks: BTreeMap<String, u32>,
}

/// When there will be room for work of a priority. What less urgent work holds counts as room, since it may be stopped.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PriorityOutlook {
    /// The priority.
    pub priority: u32,
    /// Mean estimate of a task in the queues of this priority, in milliseconds; the greatest of them.
    pub mean_ms: u64,
    /// Factor from an estimate to the late end of its range, in thousandths; the greatest of the queues.
    pub late_permille: u64,
    /// Tasks that are expected to fit at each of [`HORIZONS_MS`].
    pub expected: Vec<Slots>,
    /// Tasks that fit then if all runs end at the early ends of their ranges.
    pub early: Vec<Slots>,
}

/// The largest gang of a step's tasks that would fit if nothing else ran, in tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LargestGang {
    /// In one rack.
    pub in_rack: u64,
    /// Anywhere.
    pub anywhere: u64,
}

impl Outlook {
    /// Returns the epoch and the number, by which a newer outlook replaces an older one.
    #[must_use]
    pub const fn version(&self) -> (u64, u64) {
        (self.epoch, self.number)
    }

    /// Returns what is expected of a service, if it is described.
    #[must_use]
    pub fn service(&self, service: &str) -> Option<&ServiceOutlook> {
        self.services.iter().find(|described| described.service == service)
    }
}

impl WorkerShape {
    fn has_label(&self, label: &str) -> bool {
        label.is_empty() || self.labels.iter().any(|known| known == label)
    }

    /// Counts the workers in each rack that may run tasks with a label; a rack is a label, too.
    fn racks_with<'a>(&'a self, label: &'a str) -> impl Iterator<Item = (&'a str, u64)> {
        let has_label = self.has_label(label);
        let racks = self.racks.iter().filter(move |(rack, _)| has_label || *rack == label);
        racks.map(|(rack, count)| (rack.as_str(), u64::from(*count)))
    }

    fn max_tasks(&self, step: &Step) -> u64 {
        let fitting = self.capacity.count_of(&step.charge());
        u64::from(if step.max_per_worker == 0 { fitting } else { fitting.min(step.max_per_worker) })
    }
}

impl ServiceOutlook {
    /// Returns whether a worker has a label; each has the empty one.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.shapes.iter().any(|shape| shape.racks_with(label).next().is_some())
    }

    /// Returns whether one task of a step fits a worker with its label on which nothing else runs.
    #[must_use]
    pub fn fits_a_worker(&self, step: &Step) -> bool {
        self.largest_gang(step).anywhere > 0
    }

    /// Returns the largest gang of a step's tasks that would fit if nothing else ran.
    #[must_use]
    pub fn largest_gang(&self, step: &Step) -> LargestGang {
        let mut by_rack: BTreeMap<&str, u64> = BTreeMap::new();
        for shape in &self.shapes {
            let each = shape.max_tasks(step);
            for (rack, count) in shape.racks_with(&step.required_label) {
                let tasks = by_rack.entry(rack).or_default();
                *tasks = tasks.saturating_add(each.saturating_mul(count));
            }
        }
        LargestGang {
            in_rack: by_rack.values().copied().max().unwrap_or(0),
            anywhere: by_rack.values().fold(0, |sum, tasks| sum.saturating_add(*tasks)),
        }
    }

    /// Returns when there will be room for work of a priority, if that is forecast.
    #[must_use]
    pub fn priority(&self, priority: u32) -> Option<&PriorityOutlook> {
        self.priorities.iter().find(|forecast| forecast.priority == priority)
    }
}

impl PriorityOutlook {
    /// Returns a time, in milliseconds from the outlook on, before which `count` tasks of `devices` accelerators each
    /// don't fit even if all runs end at the early ends of their ranges. Fewer resources than the tasks take are
    /// compared, so the time may be too early but never too late; 0 for tasks without accelerators.
    #[must_use]
    pub fn no_room_until_ms(&self, devices: u64, count: u64) -> u64 {
        let known = self.early.len().min(HORIZONS_MS.len());
        let fits_at = first_fit(&self.early, devices, count).unwrap_or(known);
        fits_at.checked_sub(1).map_or(0, |last_without| HORIZONS_MS[last_without])
    }

    /// Returns the time, in milliseconds from the outlook on, at which `count` tasks of `devices` accelerators each are
    /// expected to fit; `None` if it lies beyond the last horizon.
    #[must_use]
    pub fn expected_room_ms(&self, devices: u64, count: u64) -> Option<u64> {
        first_fit(&self.expected, devices, count).map(|horizon| HORIZONS_MS[horizon])
    }
}

/// Returns the index of the first horizon at which tasks fit. A task of a number of accelerators between those that are
/// counted is compared by the next lower one.
fn first_fit(slots: &[Slots], devices: u64, count: u64) -> Option<usize> {
    let Some(slot) = DEVICES_OF_SLOT.iter().rposition(|&of_slot| of_slot <= devices) else {
        return Some(0);
    };
    let at_horizons = slots.iter().take(HORIZONS_MS.len());
    at_horizons.into_iter().position(|slots| u64::from(slots[slot]) >= count)
}
