//! The registrations of workers, each under its own number and key.
//!
//! An unanswered call may be carried out seconds later, after newer ones. If all registrations of a
//! worker shared one key, a late copy of a removal would undo the registration that followed, and
//! the planner would start elsewhere what still runs at that worker. With a key per registration, a
//! removal ends only the registration that it was sent for.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::job::{EpochMillis, InstanceId};
use crate::keys::worker_key;
use crate::record::WorkerRecord;
use crate::store::Offset;

/// Number of a registration of one worker; the highest one is in force. An agent's process takes a
/// number for each incarnation that it serves, and the next number each time that the worker is
/// registered again. Registrations by releases without numbers count as 0.
pub type RegistrationNumber = u64;

/// Bits of a number that count how often one process registers the worker again: a handful of
/// times.
const REREGISTRATION_BITS: u32 = 8;

/// Bits of a number that hold the time of day, in milliseconds: a quarter of an hour, which is
/// longer than a call may be in flight.
const TIME_BITS: u32 = 20;

/// Returns a number that no other process takes for the worker. `position` is how far the process
/// has read the state; of two processes at the same position, the later one has the later time.
#[must_use]
pub const fn number_at(position: Offset, wall: EpochMillis) -> RegistrationNumber {
    (((position << TIME_BITS) | (wall & ((1 << TIME_BITS) - 1))) + 1) << REREGISTRATION_BITS
}

/// Returns the next number of the same process. The planner may decide to give up a worker just
/// before it is registered again, and that decision may be appended after the registration: with a
/// number of its own, the new registration isn't ended by it.
#[must_use]
pub const fn next_number(number: RegistrationNumber) -> RegistrationNumber {
    number + 1
}

const fn process_of(number: RegistrationNumber) -> u64 {
    number >> REREGISTRATION_BITS
}

/// The registrations that the state holds, and records of ended ones.
#[derive(Clone, Debug, Default)]
pub struct Registrations {
    numbered: BTreeMap<InstanceId, BTreeMap<RegistrationNumber, Rc<WorkerRecord>>>,
    ended_up_to: BTreeMap<InstanceId, RegistrationNumber>,
    /// Registrations that were appended after the record of their end; their keys are to be removed.
    late: BTreeSet<(InstanceId, RegistrationNumber)>,
}

impl Registrations {
    /// Inserts a registration. A departure is final: an earlier record of the worker that is
    /// appended later doesn't undo it.
    pub fn insert(&mut self, instance: &str, number: RegistrationNumber, mut record: WorkerRecord) {
        if self.ended_up_to.get(instance).is_some_and(|ended_up_to| number <= *ended_up_to) {
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

    /// Removes a registration.
    pub fn remove(&mut self, instance: &str, number: RegistrationNumber) {
        self.late.remove(&(instance.to_owned(), number));
        let Some(numbered) = self.numbered.get_mut(instance) else { return };
        numbered.remove(&number);
        if numbered.is_empty() {
            self.numbered.remove(instance);
        }
    }

    /// Ends all registrations up to a number, including those that are appended later.
    pub fn end(&mut self, instance: &str, number: RegistrationNumber) {
        let known = self.ended_up_to.entry(instance.to_owned()).or_default();
        *known = number.max(*known);
        let ended: Vec<RegistrationNumber> =
            self.numbers(instance).filter(|other| *other <= number).collect();
        ended.into_iter().for_each(|other| self.remove(instance, other));
    }

    /// Forgets that registrations of a worker have ended, once none of them can be appended any
    /// more.
    pub fn forget_end(&mut self, instance: &str) {
        self.ended_up_to.remove(instance);
    }

    /// Iterates over the registrations that were appended after the record of their end.
    pub fn late(&self) -> impl Iterator<Item = &(InstanceId, RegistrationNumber)> {
        self.late.iter()
    }

    /// Iterates over the workers some of whose registrations have ended.
    pub fn workers_with_ended(&self) -> impl Iterator<Item = &InstanceId> {
        self.ended_up_to.keys()
    }

    /// Returns `taken`, or a higher number if registrations up to `taken` have ended.
    #[must_use]
    pub fn above_ended(&self, instance: &str, taken: RegistrationNumber) -> RegistrationNumber {
        let ended_up_to =
            self.ended_up_to.get(instance).copied().filter(|ended_up_to| *ended_up_to >= taken);
        ended_up_to
            .map_or(taken, |ended_up_to| (process_of(ended_up_to) + 1) << REREGISTRATION_BITS)
    }

    /// Returns the registration of a worker that is in force.
    #[must_use]
    pub fn newest(&self, instance: &str) -> Option<(RegistrationNumber, &Rc<WorkerRecord>)> {
        let (number, record) = self.numbered.get(instance)?.last_key_value()?;
        Some((*number, record))
    }

    /// Returns whether the newest registration of a worker is by the process that took a number.
    #[must_use]
    pub fn is_newest_by_process_of(&self, instance: &str, number: RegistrationNumber) -> bool {
        self.newest(instance).is_some_and(|(newest, _)| process_of(newest) == process_of(number))
    }

    /// Returns whether the process that took a number has registered the worker.
    #[must_use]
    pub fn is_registered_by_process_of(&self, instance: &str, number: RegistrationNumber) -> bool {
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
