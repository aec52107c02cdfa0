//! What the table says of agents that are silent or gone.

use crate::job::InstanceId;
use crate::keys::eviction_key;
use crate::record::AgentStop;
use crate::registrations::RegistrationNumber;

use super::JobTable;

impl JobTable {
    pub(super) fn remove_eviction(&mut self, key: &str) {
        self.evictions.remove(key);
        let evictions = &self.evictions;
        self.evicted.retain(|instance| evictions.newest(instance).is_some());
    }

    /// Returns the newest registration under which a worker is evicted; 0 if there is none.
    #[must_use]
    pub fn eviction_number(&self, instance: &str) -> RegistrationNumber {
        self.evictions.newest(instance).map_or(0, |(number, ())| number)
    }

    /// Lists the keys of a worker's evictions. A call that removes them may be carried out late, when the worker has
    /// returned and is evicted again, under another registration: that eviction stays in force.
    pub fn eviction_keys<'a>(&'a self, instance: &'a str) -> impl Iterator<Item = String> + 'a {
        self.evictions.numbers(instance).map(move |number| eviction_key(instance, number))
    }

    /// Returns the stop of the agent's process that registered a worker last, and the registration that it names;
    /// `None` if that process hasn't stopped, as far as is known.
    #[must_use]
    pub fn stop_in_force(&self, instance: &str) -> Option<(RegistrationNumber, &AgentStop)> {
        let newest = self.stops.newest(instance);
        newest.filter(|(number, _)| self.registrations.is_newest_by_process_of(instance, *number))
    }

    /// Iterates over all stops, also those that aren't in force any more: the worker and the registration of each.
    pub fn stops(&self) -> impl Iterator<Item = (&InstanceId, RegistrationNumber)> {
        self.stops.keys()
    }

    /// Returns whether a worker is suspected under its newest registration.
    #[must_use]
    pub fn is_suspected(&self, instance: &str) -> bool {
        let newest = self.registrations.newest(instance);
        newest.is_some_and(|(number, _)| self.suspicions.contains(instance, number))
    }

    /// Returns whether a worker is suspected under a registration, which is its newest one.
    #[must_use]
    pub fn is_suspected_under(&self, instance: &str, registration: RegistrationNumber) -> bool {
        let newest = self.registrations.newest(instance);
        newest.is_some_and(|(number, _)| number == registration) && self.is_suspected(instance)
    }

    /// Iterates over all suspicions, also those that newer registrations have answered: the worker and the registration of
    /// each.
    pub fn suspicions(&self) -> impl Iterator<Item = (&InstanceId, RegistrationNumber)> {
        self.suspicions.keys()
    }
}
