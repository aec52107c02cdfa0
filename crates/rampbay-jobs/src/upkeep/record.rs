//! What the store keeps of a wave.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::job::EpochMillis;

use super::machine::MachineName;
use super::wave::{WaveNumber, WaveOrder, WaveStatus};

/// Where a machine of a wave stands. A machine without a turn waits for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Turn {
    /// Its maintenance was ordered, or is about to be, under this fencing token. It counts as begun until the list of
    /// machines shows otherwise.
    Ordered(u64),
    /// Its maintenance has begun, and the machine isn't up again.
    Begun,
    /// It is up again after its maintenance.
    Done,
    /// The interface refused its maintenance in this wave for good.
    Refused,
}

impl Turn {
    /// Returns whether the machine may be down for its maintenance.
    #[must_use]
    pub const fn may_be_down(&self) -> bool {
        matches!(self, Self::Ordered(_) | Self::Begun)
    }

    /// Returns whether the machine has certainly begun its maintenance.
    #[must_use]
    pub const fn has_begun(&self) -> bool {
        matches!(self, Self::Begun | Self::Done)
    }
}

/// Progress of a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// Its number.
    pub wave: WaveNumber,
    /// What it asks for.
    pub order: WaveOrder,
    /// When its record was acknowledged, as far as the leader knows that read it first.
    pub acknowledged_at: EpochMillis,
    /// The machines that have had their turn, also those that a newer record of the wave no longer names.
    pub turns: BTreeMap<MachineName, Turn>,
    /// What operators are to be told; `None` until a list has shown one of its machines.
    pub status: Option<WaveStatus>,
    /// What operators have been told.
    pub reported: Option<WaveStatus>,
}

impl WaveProgress {
    /// Creates the progress of a wave of which nothing has been done.
    #[must_use]
    pub fn new(wave: WaveNumber, order: WaveOrder, acknowledged_at: EpochMillis) -> Self {
        let status = order.defect().map(WaveStatus::Failed);
        Self { wave, order, acknowledged_at, turns: BTreeMap::new(), status, reported: None }
    }

    /// Replaces the order by that of a newer record. Machines that have had their maintenance in this wave don't get it
    /// again, since the interface counts it by the wave's number; those that may be down go on to count.
    pub fn replace(&mut self, order: WaveOrder, acknowledged_at: EpochMillis) {
        let new = Self::new(self.wave, order, acknowledged_at);
        let old = std::mem::replace(self, new);
        let names = self.order.machines();
        let is_kept = |name: &MachineName, turn: &Turn| {
            turn.may_be_down() || (turn.has_begun() && names.contains(name))
        };
        let turns = old.turns.into_iter().filter(|(name, turn)| is_kept(name, turn));
        self.turns = turns.collect();
    }

    /// Returns whether machines still wait for their turn in it, or may.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        matches!(self.status, None | Some(WaveStatus::Running))
    }

    /// Returns how many machines may be down for their maintenance in it.
    #[must_use]
    pub fn down(&self) -> usize {
        self.turns.values().filter(|turn| turn.may_be_down()).count()
    }
}
