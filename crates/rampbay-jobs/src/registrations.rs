//! The registrations of workers, each under a number and a key of its own.
//!
//! A call without answer may be carried out seconds later, after newer ones. Were all registrations of a worker
//! kept under one key, a late copy of a removal would undo the registration that came after it, and the planner
//! would start elsewhere what still runs there: in the case that was played, all runs of a worker twice within 20 ms
//! of the late copy. Under keys of their own a removal ends only the registration that it was sent for, and a
//! registration that lands late is older than the one that counts.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::job::InstanceId;
use crate::record::{WorkerRecord, worker_key};

/// Numbers the registrations of one worker; the highest counts. 0 is that of a release that knew none.
pub type Registration = u64;

/// The registrations that the state holds.
#[derive(Clone, Debug, Default)]
pub struct Registrations(BTreeMap<InstanceId, BTreeMap<Registration, Rc<WorkerRecord>>>);

impl Registrations {
    /// Takes in a registration.
    pub fn insert(&mut self, instance: &str, number: Registration, record: Rc<WorkerRecord>) {
        self.0.entry(instance.to_owned()).or_default().insert(number, record);
    }

    /// Takes in that a registration is over.
    pub fn remove(&mut self, instance: &str, number: Registration) {
        let Some(numbered) = self.0.get_mut(instance) else { return };
        numbered.remove(&number);
        if numbered.is_empty() {
            self.0.remove(instance);
        }
    }

    /// Returns the registration of a worker that counts.
    #[must_use]
    pub fn newest(&self, instance: &str) -> Option<(Registration, &Rc<WorkerRecord>)> {
        let (number, record) = self.0.get(instance)?.last_key_value()?;
        Some((*number, record))
    }

    /// Lists the keys of all registrations of a worker.
    pub fn keys<'a>(&'a self, instance: &'a str) -> impl Iterator<Item = String> + 'a {
        let numbers = self.0.get(instance).into_iter().flat_map(BTreeMap::keys);
        numbers.map(move |number| worker_key(instance, *number))
    }
}
