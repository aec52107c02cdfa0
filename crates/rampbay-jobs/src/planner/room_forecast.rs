//! The room that a leader expects for work of each priority, for its outlook.
//!
//! All registered workers count, also those that can't be used now: a drained failure domain may be released, and a
//! worker that is silent may answer again. Work that waits isn't counted, since a small job may go before it.

use std::collections::BTreeMap;

use crate::job::ServiceName;
use crate::outlook::PriorityOutlook;
use crate::outlook::room::{HeldDevices, slots_at_horizons};
use crate::routing::Queue;

use super::completion::spread::Spread;
use super::draft::Draft;
use super::fleet_state::FleetState;
use super::workers::WorkerViews;
use super::{Planner, RoundInputs};

/// Factor of a spread in thousandths.
const PERMILLE: u64 = 1000;

/// What the runs of each service hold, and how wrong the estimates of its queues are.
#[derive(Debug, Default)]
pub struct RoomForecast {
    services: BTreeMap<ServiceName, ServiceRoom>,
}

/// The same for one service.
#[derive(Debug, Default)]
struct ServiceRoom {
    /// Accelerators of each worker.
    capacities: Vec<u64>,
    runs: Vec<HeldDevices>,
    /// Greatest mean estimate in milliseconds and greatest spread of the queues, by priority. `None` if too few
    /// estimates of a queue are known.
    queues: BTreeMap<u32, Option<(u64, u64)>>,
}

impl Planner {
    /// Returns whether the policy wants outlooks to be written.
    #[must_use]
    pub fn publishes_outlook(&self) -> bool {
        self.policy.publishes_outlook()
    }

    /// Returns the room that is expected by the runs in the table, by what this planner knew at its last round.
    #[must_use]
    pub fn room_forecast(&self, inputs: &RoundInputs<'_>) -> RoomForecast {
        let mut forecast = RoomForecast::default();
        let draft = Draft::new(inputs.table);
        let workers = WorkerViews::new(inputs, &self.known_since);
        let fleet = FleetState::new(self, &draft, &workers, inputs);
        let mut indices = Vec::with_capacity(fleet.workers.len());
        for worker in &fleet.workers {
            let service = forecast.services.entry(worker.record.service.clone()).or_default();
            indices.push(service.capacities.len());
            service.capacities.push(worker.record.capacity.devices);
        }
        let ends = self.completion(inputs).run_ends(&fleet);
        for (run, (end_ms, early_end_ms)) in fleet.running.iter().zip(ends) {
            let service = &fleet.workers[run.place].record.service;
            let Some(service) = forecast.services.get_mut(service) else { continue };
            service.runs.push(HeldDevices {
                worker: indices[run.place],
                devices: run.held.devices,
                priority: run.priority,
                end_ms,
                early_end_ms,
            });
        }
        for queue in &inputs.routing.queues {
            if let Some(service) = forecast.services.get_mut(&queue.service) {
                service.add_queue(queue, self.estimates_of(queue));
            }
        }
        forecast
    }

    /// Returns the mean estimate of a queue in milliseconds, and the factor to the late end of the range of an estimate,
    /// in thousandths.
    fn estimates_of(&self, queue: &Queue) -> Option<(u64, u64)> {
        let (mean_ms, deviation) = self.forecasts.of_queue(&queue.name)?;
        let spread: Spread = self.completion.spread_of(&queue.name, deviation);
        Some((mean_ms, spread.with_unknown_speed().late_ms(PERMILLE)))
    }
}

impl ServiceRoom {
    fn add_queue(&mut self, queue: &Queue, estimates: Option<(u64, u64)>) {
        let known = self.queues.entry(queue.priority).or_insert(Some((0, PERMILLE)));
        *known = match (*known, estimates) {
            (Some(known), Some(other)) => Some((known.0.max(other.0), known.1.max(other.1))),
            _ => None,
        };
    }
}

impl RoomForecast {
    /// Returns when there will be room at the workers of a service, for the priorities of all of whose queues enough
    /// estimates are known.
    #[must_use]
    pub fn priorities(&self, service: &str) -> Vec<PriorityOutlook> {
        let Some(room) = self.services.get(service) else { return Vec::new() };
        let known = room.queues.iter().filter_map(|(priority, known)| Some((*priority, (*known)?)));
        let slots = |priority, end: fn(&HeldDevices) -> Option<u64>| {
            slots_at_horizons(&room.capacities, &room.runs, priority, end)
        };
        let forecasts = known.map(|(priority, (mean_ms, late_permille))| PriorityOutlook {
            priority,
            mean_ms,
            late_permille,
            expected: slots(priority, |run| run.end_ms),
            early: slots(priority, |run| run.early_end_ms),
        });
        forecasts.collect()
    }
}
