//! The registrations of workers, each under a number and a key of its own.
//!
//! A call without answer may be carried out seconds later, after newer ones. Were all registrations of a worker
//! kept under one key, a late copy of a removal would undo the registration that came after it, and the planner
//! would start elsewhere what still runs there: in the case that was played, all runs of a worker twice within 20 ms
//! of the late copy. Under keys of their own a removal ends only the registration that it was sent for.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::job::{EpochMillis, InstanceId};
use crate::keys::worker_key;
use crate::record::WorkerRecord;
use crate::store::Offset;

/// Names a registration of one worker; the highest counts. An agent's process takes one for each life that it serves,
/// and the one that follows each time that the worker comes back. 0 is that of a release that knew none.
pub type RegistrationNumber = u64;

/// Bits of a number that count the returns of a worker to the same process; it makes a handful.
const RETURN_BITS: u32 = 8;

/// Bits of a number that hold the time of day, in milliseconds: a quarter of an hour, and longer than a call may be
/// under way.
const TIME_BITS: u32 = 20;

/// Returns a number that no other process takes for the worker: `position` is how far its view of the state has
/// come, and of two processes at the same position the later one has the later time.
#[must_use]
pub const fn number_at(position: Offset, wall: EpochMillis) -> RegistrationNumber {
    (((position << TIME_BITS) | (wall & ((1 << TIME_BITS) - 1))) + 1) << RETURN_BITS
}

/// Returns the number of the same process that follows. A decision to give the worker up that was made before it
/// came back, and lands after, ends the number before only.
#[must_use]
pub const fn next_number(number: RegistrationNumber) -> RegistrationNumber {
    number + 1
}

const fn process_of(number: RegistrationNumber) -> u64 {
    number >> RETURN_BITS
}

/// The registrations that the state holds, and their ends.
#[derive(Clone, Debug, Default)]
pub struct Registrations {
    numbered: BTreeMap<InstanceId, BTreeMap<RegistrationNumber, Rc<WorkerRecord>>>,
    over: BTreeMap<InstanceId, RegistrationNumber>,
    /// Registrations that landed after their end: their keys are to be removed.
    late: BTreeSet<(InstanceId, RegistrationNumber)>,
}

impl Registrations {
    /// Takes in a registration. A departure is final: an account of the worker from before it, which lands late,
    /// doesn't take it back.
    pub fn insert(&mut self, instance: &str, number: RegistrationNumber, mut record: WorkerRecord) {
        if self.over.get(instance).is_some_and(|over| number <= *over) {
            self.late.insert((instance.to_owned(), number));
            return;
        }
        let numbered = self.numbered.entry(instance.to_owned()).or_default();
        if numbered.get(&number).is_some_and(|known| known.departed) {
            record.departed = true;
            record.draining = true;
        }
        numbered.insert(number, Rc::new(record));
    }

    /// Takes in that a registration is over.
    pub fn remove(&mut self, instance: &str, number: RegistrationNumber) {
        self.late.remove(&(instance.to_owned(), number));
        let Some(numbered) = self.numbered.get_mut(instance) else { return };
        numbered.remove(&number);
        if numbered.is_empty() {
            self.numbered.remove(instance);
        }
    }

    /// Takes in that all registrations up to a number are over, also those that land later.
    pub fn end(&mut self, instance: &str, number: RegistrationNumber) {
        let known = self.over.entry(instance.to_owned()).or_default();
        *known = number.max(*known);
        let ended: Vec<RegistrationNumber> =
            self.numbers(instance).filter(|other| *other <= number).collect();
        ended.into_iter().for_each(|other| self.remove(instance, other));
    }

    /// Forgets that registrations are over: none of them lands any more.
    pub fn forget_end(&mut self, instance: &str) {
        self.over.remove(instance);
    }

    /// Iterates over the registrations that landed after their end.
    pub fn late(&self) -> impl Iterator<Item = &(InstanceId, RegistrationNumber)> {
        self.late.iter()
    }

    /// Iterates over the workers some of whose registrations are over.
    pub fn workers_with_ended(&self) -> impl Iterator<Item = &InstanceId> {
        self.over.keys()
    }

    /// Returns a number that counts, no lower than one that was taken.
    #[must_use]
    pub fn above_ended(&self, instance: &str, taken: RegistrationNumber) -> RegistrationNumber {
        let over = self.over.get(instance).copied().filter(|over| *over >= taken);
        over.map_or(taken, |over| (process_of(over) + 1) << RETURN_BITS)
    }

    /// Returns the registration of a worker that counts.
    #[must_use]
    pub fn newest(&self, instance: &str) -> Option<(RegistrationNumber, &Rc<WorkerRecord>)> {
        let (number, record) = self.numbered.get(instance)?.last_key_value()?;
        Some((*number, record))
    }

    /// Returns whether a worker is registered by the process that took a number.
    #[must_use]
    pub fn is_by_process_of(&self, instance: &str, number: RegistrationNumber) -> bool {
        self.numbers(instance).any(|known| process_of(known) == process_of(number))
    }

    /// Lists the numbers of all registrations of a worker.
    pub fn numbers(&self, instance: &str) -> impl Iterator<Item = RegistrationNumber> {
        self.numbered.get(instance).into_iter().flat_map(BTreeMap::keys).copied()
    }

    /// Lists the keys of all registrations of a worker.
    pub fn keys<'a>(&'a self, instance: &'a str) -> impl Iterator<Item = String> + 'a {
        self.numbers(instance).map(move |number| worker_key(instance, number))
    }
}
