//! What an entry knows about the side processes, and which one gets the next attempt.

use std::{collections::BTreeMap, time::Duration};

use rampbay_core::ids::{Incarnation, ProcessId};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::message::Load;

/// One side process.
#[derive(Debug, Clone)]
pub struct SideRow {
    /// The side process's failure domain.
    pub failure_domain: String,
    /// The incarnation that sent the last report.
    pub incarnation: Option<Incarnation>,
    /// The last report.
    pub load: Option<Load>,
    /// When the last report arrived.
    pub last_contact: Duration,
    /// Whether the platform's list shows the side process as leaving.
    pub listed_leaving: bool,
    /// Attempts of this entry that have no result yet.
    pub outstanding: u32,
    /// Attempts sent since the last report.
    sent_since_report: u32,
    failures: u32,
    ejected_until: Duration,
    /// Most outstanding attempts while the upstream returns from ejection; grows with each success.
    ramp: Option<u32>,
}

/// Times and bounds for the choice of side processes.
#[derive(Debug, Clone, Copy)]
pub struct SideSettings {
    /// A side process that sends no report for longer gets no new work.
    pub silent_after: Duration,
    /// Attempts that may wait at a side process beyond its slots.
    pub queue_beyond_slots: u32,
    /// Failures in a row after which an upstream is ejected.
    pub failures_to_eject: u32,
    /// Length of the first ejection; each further failure in a row doubles it.
    pub eject_for: Duration,
}

impl Default for SideSettings {
    fn default() -> Self {
        Self {
            silent_after: Duration::from_millis(1_500),
            queue_beyond_slots: 4,
            failures_to_eject: 5,
            eject_for: Duration::from_secs(1),
        }
    }
}

const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// Says whether a side process belongs to a group that is preferred over later ones.
type Tier<'a> = dyn Fn(&str, &SideRow) -> bool + 'a;

/// All side processes that an entry knows.
#[derive(Debug, Clone, Default)]
pub struct SideTable {
    rows: BTreeMap<ProcessId, SideRow>,
    settings: SideSettings,
}

impl SideTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(settings: SideSettings) -> Self {
        Self { rows: BTreeMap::new(), settings }
    }

    /// Adds or updates a side process that the platform lists.
    pub fn listed(&mut self, id: &ProcessId, failure_domain: &str, leaving: bool) {
        let row = self.rows.entry(id.clone()).or_insert_with(|| SideRow {
            failure_domain: failure_domain.to_owned(),
            incarnation: None,
            load: None,
            last_contact: Duration::ZERO,
            listed_leaving: leaving,
            outstanding: 0,
            sent_since_report: 0,
            failures: 0,
            ejected_until: Duration::ZERO,
            ramp: None,
        });
        row.listed_leaving = leaving;
    }

    /// Removes side processes that are not listed, have no attempts of this entry, and have sent no
    /// report for [`SideSettings::silent_after`].
    pub fn retain_listed(&mut self, listed: &[ProcessId], now: Duration) {
        let silent_after = self.settings.silent_after;
        self.rows.retain(|id, row| {
            let in_contact = now.saturating_sub(row.last_contact) < silent_after;
            listed.contains(id) || row.outstanding > 0 || in_contact
        });
    }

    /// Records a report; returns the earlier incarnation if a new one sent it.
    pub fn record_load(
        &mut self,
        id: &ProcessId,
        load: Load,
        now: Duration,
    ) -> Option<Incarnation> {
        let row = self.rows.get_mut(id)?;
        let earlier = row.incarnation.filter(|earlier| *earlier != load.from);
        if row.incarnation != Some(load.from) {
            row.failures = 0;
            row.ejected_until = Duration::ZERO;
        }
        row.incarnation = Some(load.from);
        row.last_contact = now;
        row.sent_since_report = 0;
        row.load = Some(load);
        earlier
    }

    /// Returns one row.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&SideRow> {
        self.rows.get(id)
    }

    /// Returns every row.
    pub fn iter(&self) -> impl Iterator<Item = (&ProcessId, &SideRow)> {
        self.rows.iter()
    }

    /// Chooses by the power of two choices among the side processes with capacity. Those with a free
    /// slot in the entry's own failure domain come first; `avoid` is chosen only if there is no
    /// other.
    pub fn choose(
        &self,
        failure_domain: &str,
        avoid: Option<&str>,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Option<ProcessId> {
        let available: Vec<_> =
            self.rows.iter().filter(|(_, row)| self.has_capacity(row, now)).collect();
        let tiers: [&Tier<'_>; 3] = [
            &|id, row| {
                Some(id) != avoid && row.failure_domain == failure_domain && row.has_free_slot()
            },
            &|id, _| Some(id) != avoid,
            &|_, _| true,
        ];
        tiers.iter().find_map(|tier| {
            let tier: Vec<_> = available.iter().filter(|(id, row)| tier(id, row)).collect();
            let first = tier.get(rng.random_range(0..tier.len().max(1)))?;
            let second = tier.get(rng.random_range(0..tier.len().max(1)))?;
            let better =
                if second.1.load_permille() < first.1.load_permille() { second } else { first };
            Some(better.0.clone())
        })
    }

    /// Returns whether any side process is in contact and not leaving, with capacity or not.
    #[must_use]
    pub fn any_alive(&self, now: Duration) -> bool {
        self.rows.values().any(|row| self.is_alive(row, now))
    }

    fn is_alive(&self, row: &SideRow, now: Duration) -> bool {
        let Some(load) = &row.load else { return false };
        let in_contact = now.saturating_sub(row.last_contact) <= self.settings.silent_after;
        in_contact && !load.leaving && !row.listed_leaving
    }

    fn has_capacity(&self, row: &SideRow, now: Duration) -> bool {
        let Some(load) = &row.load else { return false };
        let full = load.slots + self.settings.queue_beyond_slots;
        self.is_alive(row, now)
            && now >= row.ejected_until
            && row.ramp.is_none_or(|most| row.outstanding < most)
            && load.used + load.waiting + row.sent_since_report < full
    }

    /// Counts an attempt that is sent.
    pub fn sent(&mut self, id: &str) {
        if let Some(row) = self.rows.get_mut(id) {
            row.outstanding += 1;
            row.sent_since_report += 1;
        }
    }

    /// Counts an attempt that has its result or is given up.
    pub fn settled(&mut self, id: &str) {
        if let Some(row) = self.rows.get_mut(id) {
            row.outstanding = row.outstanding.saturating_sub(1);
            if let Some(load) = &mut row.load {
                load.used = load.used.saturating_sub(1);
            }
        }
    }

    /// Records a success: an upstream that returns from ejection may get more attempts at a time.
    pub fn succeeded(&mut self, id: &str) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        row.failures = 0;
        let slots = row.load.as_ref().map_or(1, |load| load.slots);
        row.ramp = row.ramp.map(|most| most + 1).filter(|most| *most <= slots);
    }

    /// Records a failure; returns how long the upstream is ejected, if it is.
    pub fn failed(&mut self, id: &str, now: Duration) -> Option<Duration> {
        let settings = self.settings;
        let row = self.rows.get_mut(id)?;
        row.failures += 1;
        let beyond = row.failures.checked_sub(settings.failures_to_eject)?;
        let pause = settings.eject_for * (1 << beyond.min(MAX_EJECTION_DOUBLINGS));
        row.ejected_until = now + pause;
        row.ramp = Some(1);
        Some(pause)
    }
}

impl SideRow {
    /// Returns the attempts per slot, in thousandths, as far as this entry knows.
    fn load_permille(&self) -> u64 {
        const SCALE: u64 = 1_000;
        let Some(load) = &self.load else {
            return u64::MAX;
        };
        let busy = u64::from(load.used + load.waiting + self.sent_since_report);
        busy * SCALE / u64::from(load.slots.max(1))
    }

    /// Returns whether a slot is free, as far as this entry knows.
    fn has_free_slot(&self) -> bool {
        const SCALE: u64 = 1_000;
        self.load_permille() < SCALE
    }
}
