//! The registrations of workers, each under a number and a key of its own.
//!
//! A call without answer may be carried out seconds later, after newer ones. Were all registrations of a worker
//! kept under one key, a late copy of a removal would undo the registration that came after it, and the planner
//! would start elsewhere what still runs there: in the case that was played, all runs of a worker twice within 20 ms
//! of the late copy. Under keys of their own a removal ends only the registration that it was sent for.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::job::{EpochMillis, InstanceId};
use crate::record::{WorkerRecord, worker_key};
use crate::store::Offset;

/// Names a registration of one worker; the highest counts. An agent's process takes one for each life that it serves
/// and keeps it as long. 0 is that of a release that knew none.
pub type RegistrationNumber = u64;

/// Bits of a number that hold the time of day, in milliseconds: a quarter of an hour, and longer than a call may be
/// under way.
const TIME_BITS: u32 = 20;

/// Returns a number that no other process takes for the worker: `position` is how far its view of the state has
/// come, and of two processes at the same position the later one has the later time.
#[must_use]
pub const fn number_at(position: Offset, wall: EpochMillis) -> RegistrationNumber {
    ((position << TIME_BITS) | (wall & ((1 << TIME_BITS) - 1))) + 1
}

/// The registrations that the state holds.
#[derive(Clone, Debug, Default)]
pub struct Registrations(BTreeMap<InstanceId, BTreeMap<RegistrationNumber, Rc<WorkerRecord>>>);

impl Registrations {
    /// Takes in a registration. A departure is final: an account of the worker from before it, which lands late,
    /// doesn't take it back.
    pub fn insert(&mut self, instance: &str, number: RegistrationNumber, mut record: WorkerRecord) {
        let numbered = self.0.entry(instance.to_owned()).or_default();
        if numbered.get(&number).is_some_and(|known| known.departed) {
            record.departed = true;
            record.draining = true;
        }
        numbered.insert(number, Rc::new(record));
    }

    /// Takes in that a registration is over.
    pub fn remove(&mut self, instance: &str, number: RegistrationNumber) {
        let Some(numbered) = self.0.get_mut(instance) else { return };
        numbered.remove(&number);
        if numbered.is_empty() {
            self.0.remove(instance);
        }
    }

    /// Returns the registration of a worker that counts.
    #[must_use]
    pub fn newest(&self, instance: &str) -> Option<(RegistrationNumber, &Rc<WorkerRecord>)> {
        let (number, record) = self.0.get(instance)?.last_key_value()?;
        Some((*number, record))
    }

    /// Returns whether a registration of a worker is there.
    #[must_use]
    pub fn contains(&self, instance: &str, number: RegistrationNumber) -> bool {
        self.0.get(instance).is_some_and(|numbered| numbered.contains_key(&number))
    }

    /// Lists the numbers of all registrations of a worker.
    pub fn numbers(&self, instance: &str) -> impl Iterator<Item = RegistrationNumber> {
        self.0.get(instance).into_iter().flat_map(BTreeMap::keys).copied()
    }

    /// Lists the keys of all registrations of a worker.
    pub fn keys<'a>(&'a self, instance: &'a str) -> impl Iterator<Item = String> + 'a {
        self.numbers(instance).map(move |number| worker_key(instance, number))
    }
}
