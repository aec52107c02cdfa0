//! Values that are kept for workers under the numbers of their registrations.

use std::collections::BTreeMap;

use crate::job::InstanceId;
use crate::keys::split_worker_key;
use crate::registrations::RegistrationNumber;

/// Values by worker and registration.
#[derive(Clone, Debug)]
pub struct ByRegistration<T>(BTreeMap<InstanceId, BTreeMap<RegistrationNumber, T>>);

impl<T> Default for ByRegistration<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<T> ByRegistration<T> {
    /// Inserts the value under a key of the state, which names the worker and the registration.
    pub fn insert(&mut self, key: &str, value: T) {
        let (instance, number) = split_worker_key(key);
        self.0.entry(instance.to_owned()).or_default().insert(number, value);
    }

    /// Removes the value under a key of the state.
    pub fn remove(&mut self, key: &str) {
        let (instance, number) = split_worker_key(key);
        let Some(numbered) = self.0.get_mut(instance) else { return };
        numbered.remove(&number);
        if numbered.is_empty() {
            self.0.remove(instance);
        }
    }

    /// Returns whether there is a value for a worker under a registration.
    pub fn contains(&self, instance: &str, number: RegistrationNumber) -> bool {
        self.0.get(instance).is_some_and(|numbered| numbered.contains_key(&number))
    }

    /// Returns the value of a worker under its highest registration that has one.
    pub fn newest(&self, instance: &str) -> Option<(RegistrationNumber, &T)> {
        let (number, value) = self.0.get(instance)?.last_key_value()?;
        Some((*number, value))
    }

    /// Iterates over the registrations of a worker that have a value.
    pub fn numbers(&self, instance: &str) -> impl Iterator<Item = RegistrationNumber> {
        self.0.get(instance).into_iter().flat_map(BTreeMap::keys).copied()
    }

    /// Iterates over the workers and registrations that have a value.
    pub fn keys(&self) -> impl Iterator<Item = (&InstanceId, RegistrationNumber)> {
        let all = self.0.iter();
        all.flat_map(|(instance, numbered)| numbered.keys().map(move |number| (instance, *number)))
    }
}
