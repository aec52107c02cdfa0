//! Registers a worker in the state, keeps the registration up to date and removes it at the end.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::keys::worker_key;
use crate::losses::IncarnationEnd;
use crate::record::{KeyedRecord, Record, STATE_TOPIC, encode, removal};
use crate::registrations::{RegistrationNumber, next_number, number_at};
use crate::store::{AppendError, Offset, split_into_appends};
use crate::table::JobTable;

use super::incarnation::Incarnation;

/// Largest number of runs that the end of an incarnation names. Of more, it is left open which had begun.
const MAX_IN_FLIGHT_RUNS: usize = 1024;
/// Pause before a failed append is retried.
const REGISTER_RETRY: Duration = Duration::from_millis(300);
/// How long this process leaves the registration to a later process of the same machine: longer
/// than a process takes to end, shorter than the 3.5 s of silence after which a worker gets no more
/// runs.
const YIELD_TIME: Duration = Duration::from_millis(2000);

impl Incarnation {
    /// Keeps the worker's registration in line with its heartbeats; returns only when the process
    /// shuts down.
    pub(super) async fn register_forever(&self) {
        let mut changes = self.parts.freshness.subscribe();
        loop {
            changes.borrow_and_update();
            self.log_missing_registration();
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
                    self.stored_registration_number.set(self.registration_number.get());
                    self.log_registered(end, records.len());
                    self.parts.freshness.reach(end).await;
                }
                Err(AppendError::TooLarge) => {
                    log::error!(
                        "event=J230 record left out, it is too large for the store key=worker/{}",
                        self.instance
                    );
                    let _ = changes.changed().await;
                }
                Err(_) => tokio::time::sleep(REGISTER_RETRY).await,
            }
        }
    }

    /// Returns the records that register the worker and remove registrations by other processes.
    /// The registration of a release without registration numbers stays until the incarnation ends:
    /// a leader of that release would take its removal to mean that the worker is gone.
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
        if table.is_suspected(&self.instance) {
            log::info!("event=J222 suspicion answered worker={} number={number}", self.instance);
        }
        records
    }

    fn log_registered(&self, position: Offset, records: usize) {
        log::info!(
            "event=J173 worker registered worker={} number={} position={position} records={records}",
            self.instance,
            self.registration_number.get().unwrap_or_default()
        );
    }

    /// Takes a registration number for this incarnation, or the next one if the worker is
    /// registered again.
    fn take_number(&self, table: &JobTable) -> RegistrationNumber {
        let is_returning = table.evicted.contains(&self.instance)
            || table.is_suspected(&self.instance)
            || !table.workers.contains_key(&self.instance);
        let number = match self.registration_number.get() {
            None => number_at(self.parts.freshness.position(), (self.parts.wall_clock)()),
            Some(number)
                if is_returning && self.stored_registration_number.get() == Some(number) =>
            {
                next_number(number)
            }
            Some(number) => number,
        };
        let number = table.registrations().above_ended(&self.instance, number);
        self.registration_number.set(Some(number));
        number
    }

    /// Waits if a later process of this machine has registered the worker. Two processes may exist
    /// for a moment, and would replace each other's registration as fast as the store answers.
    async fn yield_to_later_process(&self) {
        let newest = {
            let table = self.parts.table.borrow();
            table.registrations().newest(&self.instance).map(|(number, _)| number)
        };
        let own = self.registration_number.get();
        if own.is_some() && newest > own {
            log::warn!(
                "event=J175 worker registered by another process worker={} number={newest:?} own={own:?}",
                self.instance
            );
            tokio::time::sleep(YIELD_TIME).await;
        }
    }

    /// Returns whether this process has registered the worker. Nothing is started before that:
    /// appends of an earlier process that are still in flight may be about the runs that are
    /// assigned.
    pub(super) fn is_registered(&self) -> bool {
        self.is_registered_in(&self.parts.table.borrow())
    }

    pub(super) fn is_registered_in(&self, table: &JobTable) -> bool {
        let newest = table.registrations().newest(&self.instance);
        newest.is_some_and(|(number, _)| Some(number) == self.registration_number.get())
    }

    /// Logs once when the table no longer holds the worker although the incarnation goes on.
    fn log_missing_registration(&self) {
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
        let is_known = self.listed.get() && self.parts.freshness.age().is_some();
        if self.has_ended() || self.has_ceased() || !is_known {
            return false;
        }
        let table = self.parts.table.borrow();
        let is_empty = !self.has_runs() && !self.listed_append_in_flight.get();
        if table.evicted.contains(&self.instance) {
            return is_empty;
        }
        if table.is_suspected(&self.instance) {
            return true;
        }
        match table.workers.get(&self.instance) {
            Some(known) => **known != *self.record.borrow() || !self.is_sole_registration(&table),
            // The registration is gone, so the leader is reassigning the worker's runs. The worker
            // is registered again only once it has no runs and no job's plan names it: otherwise
            // the runs that are still to be reassigned would be started here too.
            None => {
                is_empty
                    && !table.has_runs_assigned_to(&self.instance)
                    && self.registered_predecessor(&table).is_none()
            }
        }
    }

    fn is_sole_registration(&self, table: &JobTable) -> bool {
        let mut numbers = table.registrations().numbers(&self.instance);
        let own = self.registration_number.get();
        self.is_registered_in(table) && numbers.all(|number| number == 0 || Some(number) == own)
    }

    /// Returns the records that end all known registrations of the worker, including any of them
    /// that are appended later. Ends of runs come first: the planner gives up what is still assigned once the
    /// registration is gone.
    fn removal_records(&self) -> Vec<KeyedRecord> {
        let table = self.parts.table.borrow();
        let known = table.registrations().numbers(&self.instance);
        let numbers: BTreeSet<RegistrationNumber> =
            known.chain(self.registration_number.get()).collect();
        let newest = numbers.last().copied();
        let registrations_end =
            newest.map(|number| Record::Over(self.instance.clone(), number).encode());
        // Written only with the record that ends the registrations, since both are removed
        // together.
        let incarnation_end =
            || Record::LifeOver(self.instance.clone(), Box::new(self.describe_end())).encode();
        let incarnation_end = registrations_end.is_some().then(incarnation_end);
        let keys = numbers.into_iter().map(|number| worker_key(&self.instance, number));
        let removals = keys.chain(table.eviction_keys(&self.instance)).map(removal);
        let mut records = self.unanswered_start_records();
        records.extend(self.end_records_of_successor());
        records.extend(removals.chain(registrations_end).chain(incarnation_end));
        records
    }

    /// Returns how the incarnation ended and which runs may have crashed it, for the leader.
    fn describe_end(&self) -> IncarnationEnd {
        let runs = self.listed.get().then(|| self.runs.borrow().unfinished());
        let runs = runs.filter(|runs| runs.len() <= MAX_IN_FLIGHT_RUNS);
        IncarnationEnd { gave_notice: self.is_draining(), runs }
    }

    async fn append_removal(&self) -> Result<Offset, AppendError> {
        let records = self.removal_records();
        let mut end = 0;
        for group in split_into_appends(&records) {
            end = self.parts.store.append(STATE_TOPIC, group, None).await?;
        }
        Ok(end)
    }

    /// Ends all registrations of the worker, and waits until the table shows that.
    pub(super) async fn unregister(&self) {
        loop {
            if let Ok(end) = self.append_removal().await {
                let report = removal(self.instance.clone());
                // If this fails, the remaining report is ignored, since its worker is gone.
                let _ = self.parts.store.report(&[report]).await;
                // Until the table shows the removal, the host would adopt the incarnation again.
                self.parts.freshness.reach(end).await;
                return;
            }
            tokio::time::sleep(REGISTER_RETRY).await;
        }
    }
}
