//! What an entry knows of the side processes, and which one gets the next attempt.

use std::{collections::BTreeMap, time::Duration};

use rampbay_core::ids::{Incarnation, ProcessId};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::message::Load;

/// One side process.
#[derive(Debug, Clone)]
pub struct SideRow {
    /// Its failure domain.
    pub failure_domain: String,
    /// The incarnation that was last heard.
    pub incarnation: Option<Incarnation>,
    /// What it last reported.
    pub load: Option<Load>,
    /// When it was last heard.
    pub last_contact: Duration,
    /// Whether the platform's list says that it leaves.
    pub listed_leaving: bool,
    /// Attempts of this entry that have no result yet.
    pub outstanding: u32,
    /// Attempts sent since the last report.
    sent_since_report: u32,
    failures: u32,
    ejected_until: Duration,
    /// Most outstanding attempts while it returns from ejection; grows with each success.
    ramp: Option<u32>,
}

/// Times and bounds of the choice.
#[derive(Debug, Clone, Copy)]
pub struct SideSettings {
    /// A side process that is silent for longer gets no new work.
    pub silent_after: Duration,
    /// Attempts that may wait at a side process beyond its slots.
    pub queue_beyond_slots: u32,
    /// Failures in a row that eject it.
    pub failures_to_eject: u32,
    /// First ejection; each further one doubles it.
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

const LONGEST_EJECTION_DOUBLINGS: u32 = 5;

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

    /// Takes in that the platform lists a side process.
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

    /// Forgets side processes that are neither listed nor have work of this entry.
    pub fn retain_listed(&mut self, listed: &[ProcessId], now: Duration) {
        let silent_after = self.settings.silent_after;
        self.rows.retain(|id, row| {
            let speaks = now.saturating_sub(row.last_contact) < silent_after;
            listed.contains(id) || row.outstanding > 0 || speaks
        });
    }

    /// Takes in a report; returns the earlier incarnation if there is a new one.
    pub fn heard(&mut self, id: &ProcessId, load: Load, now: Duration) -> Option<Incarnation> {
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

    /// Chooses by the power of two choices among those with room, the entry's own failure domain
    /// first; `avoid` is taken only if there is no other.
    pub fn choose(
        &self,
        failure_domain: &str,
        avoid: Option<&str>,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Option<ProcessId> {
        let open: Vec<_> = self.rows.iter().filter(|(_, row)| self.has_room(row, now)).collect();
        let tiers: [&Tier<'_>; 3] = [
            &|id, row| Some(id) != avoid && row.failure_domain == failure_domain && row.is_light(),
            &|id, _| Some(id) != avoid,
            &|_, _| true,
        ];
        tiers.iter().find_map(|tier| {
            let tier: Vec<_> = open.iter().filter(|(id, row)| tier(id, row)).collect();
            let first = tier.get(rng.random_range(0..tier.len().max(1)))?;
            let second = tier.get(rng.random_range(0..tier.len().max(1)))?;
            let better = if second.1.pressure() < first.1.pressure() { second } else { first };
            Some(better.0.clone())
        })
    }

    /// Returns whether any side process could ever take work now, with room or not.
    #[must_use]
    pub fn any_alive(&self, now: Duration) -> bool {
        self.rows.values().any(|row| self.is_alive(row, now))
    }

    fn is_alive(&self, row: &SideRow, now: Duration) -> bool {
        let Some(load) = &row.load else { return false };
        let speaks = now.saturating_sub(row.last_contact) <= self.settings.silent_after;
        speaks && !load.leaving && !row.listed_leaving
    }

    fn has_room(&self, row: &SideRow, now: Duration) -> bool {
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

    /// Counts an attempt that has its result, or is given up.
    pub fn settled(&mut self, id: &str) {
        if let Some(row) = self.rows.get_mut(id) {
            row.outstanding = row.outstanding.saturating_sub(1);
            if let Some(load) = &mut row.load {
                load.used = load.used.saturating_sub(1);
            }
        }
    }

    /// Takes in a success: a returning upstream gets more.
    pub fn succeeded(&mut self, id: &str) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        row.failures = 0;
        let slots = row.load.as_ref().map_or(1, |load| load.slots);
        row.ramp = row.ramp.map(|most| most + 1).filter(|most| *most <= slots);
    }

    /// Takes in a failure; returns how long the upstream is ejected, if it is.
    pub fn failed(&mut self, id: &str, now: Duration) -> Option<Duration> {
        let settings = self.settings;
        let row = self.rows.get_mut(id)?;
        row.failures += 1;
        let beyond = row.failures.checked_sub(settings.failures_to_eject)?;
        let pause = settings.eject_for * (1 << beyond.min(LONGEST_EJECTION_DOUBLINGS));
        row.ejected_until = now + pause;
        row.ramp = Some(1);
        Some(pause)
    }
}

impl SideRow {
    /// Attempts for each slot, as far as this entry can tell.
    fn pressure(&self) -> u64 {
        const SCALE: u64 = 1_000;
        let Some(load) = &self.load else {
            return u64::MAX;
        };
        let busy = u64::from(load.used + load.waiting + self.sent_since_report);
        busy * SCALE / u64::from(load.slots.max(1))
    }

    /// Whether a slot is free, as far as this entry can tell.
    fn is_light(&self) -> bool {
        const SCALE: u64 = 1_000;
        self.pressure() < SCALE
    }
}
