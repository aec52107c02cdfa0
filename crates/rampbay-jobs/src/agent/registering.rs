//! Keeps the state's registration of a worker, from its first to its certain end.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::keys::worker_key;
use crate::losses::LifeOver;
use crate::record::{KeyedRecord, Record, STATE_TOPIC, encode, removal};
use crate::registrations::{RegistrationNumber, next_number, number_at};
use crate::store::Offset;
use crate::table::JobTable;

use super::incarnation::Incarnation;

/// Pause before the store is asked again to keep a registration.
const REGISTER_RETRY: Duration = Duration::from_millis(300);
/// How long a later process of the same machine is left alone that has registered the worker: more than a process
/// takes to end, less than the 3.5 s of silence after which a worker gets nothing.
const YIELD_TIME: Duration = Duration::from_millis(2000);

impl Incarnation {
    /// Keeps the store's record of the worker like the worker's own account.
    pub(super) async fn register_for_ever(&self) {
        let mut changes = self.parts.freshness.subscribe();
        loop {
            changes.borrow_and_update();
            self.tell_missing_registration();
            if !self.needs_registration() {
                if changes.changed().await.is_err() {
                    return;
                }
                continue;
            }
            self.yield_to_later_process().await;
            let records = self.registration_records();
            match self.parts.store.append(STATE_TOPIC, &records, None).await {
                Ok(end) => {
                    self.kept_number.set(self.number.get());
                    self.tell_registered(end, records.len());
                    self.parts.freshness.reach(end).await;
                }
                Err(_) => tokio::time::sleep(REGISTER_RETRY).await,
            }
        }
    }

    /// Returns what registers the worker in place of what other processes wrote. The registration of a release
    /// that knew no numbers stays until the life ends: to a leader of that release its removal would mean that
    /// the worker is gone.
    fn registration_records(&self) -> Vec<KeyedRecord> {
        let table = self.parts.table.borrow();
        let number = self.take_number(&table);
        let record = Box::new(self.record.borrow().clone());
        let value = encode(&Record::Worker(self.instance.clone(), record));
        let mut records = vec![KeyedRecord { key: worker_key(&self.instance, number), value }];
        let others = table.registrations().numbers(&self.instance);
        let others = others.filter(|other| *other != number && *other > 0);
        records.extend(others.map(|other| removal(worker_key(&self.instance, other))));
        if table.evicted.contains(&self.instance) {
            log::info!("event=J164 worker returns after eviction worker={}", self.instance);
            records.extend(table.eviction_keys(&self.instance).map(removal));
        }
        records
    }

    fn tell_registered(&self, position: Offset, records: usize) {
        log::info!(
            "event=J173 worker registered worker={} number={} position={position} records={records}",
            self.instance,
            self.number.get().unwrap_or_default()
        );
    }

    /// Takes a number for this life, or the one that follows where the worker comes back.
    fn take_number(&self, table: &JobTable) -> RegistrationNumber {
        let comes_back =
            table.evicted.contains(&self.instance) || !table.workers.contains_key(&self.instance);
        let number = match self.number.get() {
            None => number_at(self.parts.freshness.position(), (self.parts.wall_clock)()),
            Some(number) if comes_back && self.kept_number.get() == Some(number) => {
                next_number(number)
            }
            Some(number) => number,
        };
        let number = table.registrations().above_ended(&self.instance, number);
        self.number.set(Some(number));
        number
    }

    /// Waits if a later process of this machine has registered the worker: for a moment two may be there, and
    /// would take the registration from each other as fast as the store answers.
    async fn yield_to_later_process(&self) {
        let newest = {
            let table = self.parts.table.borrow();
            table.registrations().newest(&self.instance).map(|(number, _)| number)
        };
        let own = self.number.get();
        if own.is_some() && newest > own {
            log::warn!(
                "event=J175 worker registered by another process worker={} number={newest:?} own={own:?}",
                self.instance
            );
            tokio::time::sleep(YIELD_TIME).await;
        }
    }

    /// Returns whether the worker is registered by this process. Before that nothing is started: what an
    /// earlier process wrote and the store hasn't carried out yet may be about the runs that are assigned.
    pub(super) fn is_registered(&self) -> bool {
        self.is_registered_in(&self.parts.table.borrow())
    }

    fn is_registered_in(&self, table: &JobTable) -> bool {
        let newest = table.registrations().newest(&self.instance);
        newest.is_some_and(|(number, _)| Some(number) == self.number.get())
    }

    /// Tells once when the state no longer holds the worker, though its life goes on here.
    fn tell_missing_registration(&self) {
        let is_known = self.parts.table.borrow().workers.contains_key(&self.instance);
        let was_known = self.was_registered.replace(is_known);
        if was_known && !is_known {
            log::warn!(
                "event=J172 registration missing worker={} runs={} position={}",
                self.instance,
                self.runs.borrow().open.len(),
                self.parts.freshness.position()
            );
        }
    }

    fn needs_registration(&self) -> bool {
        if self.is_over() || !self.listed.get() || self.parts.freshness.age().is_none() {
            return false;
        }
        let table = self.parts.table.borrow();
        let is_empty = !self.has_runs() && !self.storing.get();
        if table.evicted.contains(&self.instance) {
            return is_empty;
        }
        match table.workers.get(&self.instance) {
            Some(known) => **known != *self.record.borrow() || !self.is_registered_alone(&table),
            // Its runs are being given up. It comes back without any, and only once no account names it:
            // what is still to be given up would be started here as well.
            None => is_empty && !table.has_runs_assigned_to(&self.instance),
        }
    }

    fn is_registered_alone(&self, table: &JobTable) -> bool {
        let mut numbers = table.registrations().numbers(&self.instance);
        let own = self.number.get();
        self.is_registered_in(table) && numbers.all(|number| number == 0 || Some(number) == own)
    }

    /// Returns what ends all registrations of the worker that are known, also those of them that land later.
    fn removal_records(&self) -> Vec<KeyedRecord> {
        let table = self.parts.table.borrow();
        let known = table.registrations().numbers(&self.instance);
        let numbers: BTreeSet<RegistrationNumber> = known.chain(self.number.get()).collect();
        let newest = numbers.last().copied();
        let over = newest.map(|number| Record::Over(self.instance.clone(), number).encode());
        // It goes when that end goes.
        let life = || Record::LifeOver(self.instance.clone(), Box::new(self.life_over())).encode();
        let life = over.is_some().then(life);
        let keys = numbers.into_iter().map(|number| worker_key(&self.instance, number));
        keys.chain(table.eviction_keys(&self.instance))
            .map(removal)
            .chain(over)
            .chain(life)
            .collect()
    }

    /// Returns how the life ended, for the leader: what may have crashed it.
    fn life_over(&self) -> LifeOver {
        let runs = self.listed.get().then(|| self.runs.borrow().begun());
        LifeOver { gave_notice: self.is_draining(), runs }
    }

    /// Ends all registrations of the worker, and waits until the table shows it.
    pub(super) async fn unregister(&self) {
        loop {
            let records = self.removal_records();
            if let Ok(end) = self.parts.store.append(STATE_TOPIC, &records, None).await {
                let report = removal(self.instance.clone());
                // A report that stays is passed over: its worker is gone.
                let _ = self.parts.store.report(&[report]).await;
                // Until the table shows it, the life would be taken up again.
                self.parts.freshness.reach(end).await;
                return;
            }
            tokio::time::sleep(REGISTER_RETRY).await;
        }
    }
}
