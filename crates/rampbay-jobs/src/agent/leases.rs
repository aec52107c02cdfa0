//! The leases of a worker's runs: whether they may be renewed, when they end, and the record that this process renews them no
//! more.

use crate::keys::stop_key;
use crate::record::{AgentStop, KeyedRecord, Record, encode};
use crate::worker::WorkerMillis;

use super::incarnation::Incarnation;

impl Incarnation {
    /// Returns whether leases may be renewed. They aren't renewed before this process has registered the worker, since
    /// the stop of the process before it may be stored at any moment, and the leader then waits for that process's leases
    /// only.
    pub(super) fn may_renew(&self) -> bool {
        let table = self.parts.table.borrow();
        !self.has_ceased()
            && self.is_registered_in(&table)
            && !table.evicted.contains(&self.instance)
            && !table.is_suspected(&self.instance)
            && self.departed_since.get().is_none()
            && self.parts.freshness.is_within(self.parts.settings.max_renewal_table_age)
            && self.last_contact.get().elapsed() < self.parts.settings.silence_timeout
    }

    /// Returns whether all leases that this process ordered have certainly ended.
    pub(super) fn leases_have_expired(&self) -> bool {
        self.lease_sent.get().elapsed() > self.parts.settings.lease_expiry
    }

    /// Returns the time, by the worker's clock, at which a lease that is granted now ends; `None`
    /// before the worker has listed its runs for the first time.
    pub(super) fn lease_until(&self) -> Option<WorkerMillis> {
        let (clock, at) = self.clock.get()?;
        let now = clock + at.elapsed().as_millis() as u64;
        Some(now + self.parts.settings.lease.as_millis() as u64)
    }

    /// Ceases to renew leases and to order starts, for good: this process is about to end.
    pub(super) fn cease(&self) {
        self.has_ceased.set(true);
    }

    /// Returns whether this process has ceased to renew leases and to order starts.
    pub(super) fn has_ceased(&self) -> bool {
        self.has_ceased.get()
    }

    /// Returns the record of this process's stop; `None` if it has ordered nothing that could go on, or if the leader
    /// learns of the end in another way.
    pub(super) fn stop_record(&self) -> Option<KeyedRecord> {
        let number = self.stored_registration_number.get()?;
        if self.has_ended() || self.departed_since.get().is_some() {
            return None;
        }
        let expiry = self.parts.settings.lease_expiry;
        let of_leases = expiry.saturating_sub(self.lease_sent.get().elapsed());
        let of_starts = self.own_unanswered_starts().into_values().max().unwrap_or_default();
        let remaining = of_leases.max(of_starts);
        log::info!(
            "event=J217 agent stops worker={} number={number} runs={} remaining_ms={}",
            self.instance,
            self.runs.borrow().open.len(),
            remaining.as_millis()
        );
        let stop = AgentStop {
            instance: self.instance.clone(),
            remaining_ms: remaining.as_millis() as u64,
        };
        let value = encode(&Record::Stopped(stop));
        Some(KeyedRecord { key: stop_key(&self.instance, number), value })
    }
}
