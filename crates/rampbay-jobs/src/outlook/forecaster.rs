//! Decides what a leader's outlook says, and when a new one is due.
//!
//! Load that this answers: bursts in which the room changes with each round. Entries need an outlook that is younger than
//! 6 s, and each costs a record to all of them, so one is due every 2 to 3 s.

use std::time::Duration;

use crate::planner::{Planner, RoundInputs};

use super::fleet::{FLEET_MEMORY, FleetMemory};
use super::room::Slots;
use super::{Outlook, PriorityOutlook, ServiceOutlook};

/// Shortest time between two outlooks.
pub const MIN_INTERVAL: Duration = Duration::from_secs(2);
/// Longest time between two outlooks: one may be lost without that entries' knowledge becomes too old. Those that describe
/// nothing are repeated as well, since their appends show whether the store answers at once.
pub const MAX_INTERVAL: Duration = Duration::from_secs(3);
/// Time between two looks at the fleet. A forecast takes as long as a round, so it isn't made in each.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the accelerators of a service, as a divisor, by which the room must change at a horizon before the change
/// counts as material: a twentieth. What changes less is in the next outlook, a second later at most.
const MATERIAL_DIVISOR: u32 = 20;

/// Keeps what the outlooks of one leader are made from.
#[derive(Debug)]
pub struct OutlookForecaster {
    epoch: u64,
    fleet: FleetMemory,
    /// The last outlook and when it was made; `None` before the first.
    last: Option<(Duration, Outlook)>,
    checked_at: Option<Duration>,
}

impl OutlookForecaster {
    /// Creates the forecaster of a leader that has just taken over.
    #[must_use]
    pub fn new(epoch: u64) -> Self {
        Self { epoch, fleet: FleetMemory::default(), last: None, checked_at: None }
    }

    /// Returns a new outlook if one is due. The first one describes no service, so that entries drop what an earlier
    /// leader expected. `is_store_steady` tells whether the store has lately answered at once: where it hasn't, jobs may
    /// be on their way to it that entries can't see, and nothing is described.
    pub fn update(
        &mut self,
        planner: &Planner,
        inputs: &RoundInputs<'_>,
        is_store_steady: bool,
    ) -> Option<Outlook> {
        let now = inputs.now;
        let is_early = |at: Duration| now.saturating_sub(at) < CHECK_INTERVAL;
        if !planner.publishes_outlook() || self.checked_at.is_some_and(is_early) {
            return None;
        }
        self.checked_at = Some(now);
        self.fleet.update(now, inputs.table);
        let Some((made_at, last)) = &self.last else {
            return Some(self.keep(now, Outlook { at: inputs.wall, ..Outlook::default() }));
        };
        let age = now.saturating_sub(*made_at);
        if age < MIN_INTERVAL {
            return None;
        }
        let knows_fleet = now >= FLEET_MEMORY && is_store_steady;
        let services = if knows_fleet { self.services(planner, inputs) } else { Vec::new() };
        let is_refresh = age + CHECK_INTERVAL >= MAX_INTERVAL;
        let guaranteed = guaranteed_workspaces(inputs);
        let is_material = has_changed(&last.services, &services)
            || (!services.is_empty() && last.guaranteed != guaranteed);
        if !is_refresh && !is_material {
            return None;
        }
        Some(
            self.keep(now, Outlook { at: inputs.wall, guaranteed, services, ..Outlook::default() }),
        )
    }

    fn keep(&mut self, now: Duration, outlook: Outlook) -> Outlook {
        let before = self.last.take().map(|(_, last)| last).unwrap_or_default();
        let outlook = Outlook { epoch: self.epoch, number: before.number + 1, ..outlook };
        let names = |outlook: &Outlook| -> Vec<String> {
            outlook.services.iter().map(|described| described.service.clone()).collect()
        };
        let described = names(&outlook);
        if before.number == 0 || names(&before) != described {
            log::info!(
                "event=J205 outlook changed epoch={} number={} services={described:?}",
                outlook.epoch,
                outlook.number
            );
        }
        self.last = Some((now, outlook.clone()));
        outlook
    }

    fn services(&self, planner: &Planner, inputs: &RoundInputs<'_>) -> Vec<ServiceOutlook> {
        let steady = self.fleet.services().into_iter();
        let steady: Vec<_> = steady.filter(|service| self.fleet.is_steady(service)).collect();
        if steady.is_empty() {
            return Vec::new();
        }
        let forecast = planner.room_forecast(inputs);
        let described = steady.into_iter().map(|service| ServiceOutlook {
            service: service.clone(),
            shapes: self.fleet.shapes(service),
            priorities: forecast.priorities(service),
        });
        described.collect()
    }
}

fn guaranteed_workspaces(inputs: &RoundInputs<'_>) -> Vec<String> {
    let workspaces = inputs.routing.workspaces.iter();
    let guaranteed = workspaces.filter(|workspace| workspace.guaranteed_devices > 0);
    guaranteed.map(|workspace| workspace.name.clone()).collect()
}

/// Returns whether entries would decide differently for more than a few jobs.
fn has_changed(before: &[ServiceOutlook], after: &[ServiceOutlook]) -> bool {
    before.len() != after.len()
        || before.iter().zip(after).any(|(before, after)| {
            before.service != after.service
                || before.shapes != after.shapes
                || before.priorities.len() != after.priorities.len()
                || before.priorities.iter().zip(&after.priorities).any(has_priority_changed)
        })
}

fn has_priority_changed((before, after): (&PriorityOutlook, &PriorityOutlook)) -> bool {
    let differs = |before: &[Slots], after: &[Slots]| {
        // The first slot counts single accelerators; all are free at the last horizon at the latest, or never.
        let most = before.iter().chain(after).map(|slots| slots[0]).max().unwrap_or(0);
        before
            .iter()
            .zip(after)
            .any(|(before, after)| before[0].abs_diff(after[0]) > most / MATERIAL_DIVISOR)
    };
    before.priority != after.priority
        || differs(&before.expected, &after.expected)
        || differs(&before.early, &after.early)
}
