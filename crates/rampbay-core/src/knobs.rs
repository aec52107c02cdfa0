//! One row of the table: a workspace's guarantee, weights and limits.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::shape::Shape;

/// The knobs of one workspace. Units, ranges and effects are in `docs/KNOBS.md`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Knobs {
    /// Shape that the workspace can always reclaim.
    pub guarantee: Shape,
    /// Share among borrowers, relative to the other workspaces' weights.
    pub weight: u32,
    /// Most devices that the workspace may hold beyond its guarantee.
    pub borrow_limit: u32,
    /// Most devices of its unused guarantee that others may hold.
    pub lend_limit: u32,
    /// Most gangs running at once.
    pub running_limit: u32,
    /// Most jobs waiting at once, gangs and plain requests counted apart.
    pub queued_limit: u32,
    /// Most urgent jobs that are waiting or running at once.
    pub urgent_limit: u32,
    /// Retries as a share of first attempts, in percent.
    pub retry_budget_percent: u32,
    /// Longest deadline that a caller may ask for, in milliseconds.
    pub deadline_ceiling_ms: u64,
    /// 0 weighs only completion time, 100 only fragmentation.
    pub packing: u32,
}

/// A value that a knob can't take.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{knob} = {value}: expected {expected}")]
pub struct KnobError {
    /// The knob's column.
    pub knob: &'static str,
    /// The value that was given.
    pub value: String,
    /// The range and unit that is expected.
    pub expected: &'static str,
}

/// The columns of the table, in order, after the workspace's name.
pub const COLUMNS: [&str; 10] = [
    "guarantee",
    "weight",
    "borrow_limit",
    "lend_limit",
    "running_limit",
    "queued_limit",
    "urgent_limit",
    "retry_budget_percent",
    "deadline_ceiling_ms",
    "packing",
];

const MAX_DEVICES: u32 = 100_000;
const MAX_WEIGHT: u32 = 10_000;
const MAX_QUEUED: u32 = 1_000_000;
const WEEK_MS: u64 = 7 * 24 * 3_600_000;

impl Default for Knobs {
    fn default() -> Self {
        Self {
            guarantee: Shape::EMPTY,
            weight: 100,
            borrow_limit: MAX_DEVICES,
            lend_limit: MAX_DEVICES,
            running_limit: MAX_DEVICES,
            queued_limit: 1_000,
            urgent_limit: 100,
            retry_budget_percent: 20,
            deadline_ceiling_ms: 24 * 3_600_000,
            packing: 50,
        }
    }
}

impl Knobs {
    /// Sets the guaranteed shape.
    #[must_use]
    pub const fn guarantee(mut self, guarantee: Shape) -> Self {
        self.guarantee = guarantee;
        self
    }

    /// Sets the weight among borrowers.
    #[must_use]
    pub const fn weight(mut self, weight: u32) -> Self {
        self.weight = weight;
        self
    }

    /// Sets the most devices beyond the guarantee.
    #[must_use]
    pub const fn borrow_limit(mut self, devices: u32) -> Self {
        self.borrow_limit = devices;
        self
    }

    /// Sets the most jobs waiting.
    #[must_use]
    pub const fn queued_limit(mut self, jobs: u32) -> Self {
        self.queued_limit = jobs;
        self
    }

    /// Sets the weight of fragmentation against completion time, from 0 to 100.
    #[must_use]
    pub const fn packing(mut self, percent: u32) -> Self {
        self.packing = percent;
        self
    }

    /// Checks every knob's range.
    ///
    /// # Errors
    ///
    /// Returns every knob that is out of its range, so that an operator can correct all at once.
    pub fn check(&self) -> Result<(), Vec<KnobError>> {
        let mut errors = Vec::new();
        let mut range = |knob, value: u64, low: u64, high: u64, expected| {
            if !(low..=high).contains(&value) {
                errors.push(KnobError { knob, value: value.to_string(), expected });
            }
        };
        let devices = u64::from(MAX_DEVICES);
        range("weight", self.weight.into(), 1, MAX_WEIGHT.into(), "1 to 10000");
        range("borrow_limit", self.borrow_limit.into(), 0, devices, "0 to 100000 devices");
        range("lend_limit", self.lend_limit.into(), 0, devices, "0 to 100000 devices");
        range("running_limit", self.running_limit.into(), 0, devices, "0 to 100000 gangs");
        range("queued_limit", self.queued_limit.into(), 0, MAX_QUEUED.into(), "0 to 1000000 jobs");
        range("urgent_limit", self.urgent_limit.into(), 0, MAX_QUEUED.into(), "0 to 1000000 jobs");
        range("retry_budget_percent", self.retry_budget_percent.into(), 0, 100, "0 to 100 percent");
        range("deadline_ceiling_ms", self.deadline_ceiling_ms, 1, WEEK_MS, "1 to 604800000 ms");
        range("packing", self.packing.into(), 0, 100, "0 to 100");
        if errors.is_empty() { Ok(()) } else { Err(errors) }
    }
}
