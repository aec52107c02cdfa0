//! Guaranteed shapes, and the arithmetic of cells.
//!
//! A cell is an aligned group of devices: one device, a pair, a quad, a whole worker, or a whole
//! rack. Cells nest, so placing the largest first is exact and a count for each level replaces a
//! search (HiveD, OSDI 2020, published this for clusters of accelerators).

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Levels of cells, smallest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Level {
    /// One device.
    Device,
    /// Two aligned devices of one worker.
    Pair,
    /// Four aligned devices of one worker.
    Quad,
    /// All devices of one worker.
    Worker,
    /// All workers of one rack of [`WORKERS_PER_RACK`].
    Rack,
}

/// Every level, smallest first.
pub const LEVELS: [Level; 5] =
    [Level::Device, Level::Pair, Level::Quad, Level::Worker, Level::Rack];
/// Devices in a worker cell.
pub const DEVICES_PER_WORKER: u32 = 8;
/// Workers in a rack cell.
pub const WORKERS_PER_RACK: u32 = 3;

impl Level {
    /// Returns the number of devices in a cell of this level.
    #[must_use]
    pub const fn devices(self) -> u32 {
        match self {
            Level::Device => 1,
            Level::Pair => 2,
            Level::Quad => 4,
            Level::Worker => DEVICES_PER_WORKER,
            Level::Rack => DEVICES_PER_WORKER * WORKERS_PER_RACK,
        }
    }

    /// Returns the level's name as written in the table.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Level::Device => "device",
            Level::Pair => "pair",
            Level::Quad => "quad",
            Level::Worker => "worker",
            Level::Rack => "rack",
        }
    }

    const fn index(self) -> usize {
        self as usize
    }

    /// Returns how many cells of the next smaller level make one of this level.
    const fn split(self) -> u32 {
        match self {
            Level::Device => 1,
            Level::Rack => WORKERS_PER_RACK,
            Level::Pair | Level::Quad | Level::Worker => 2,
        }
    }
}

/// A multiset of cells: what a workspace is guaranteed, or what a gang occupies.
///
/// ```
/// use rampbay_core::shape::{Level, Shape};
/// let shape: Shape = "1 rack + 2 worker".parse().unwrap();
/// assert_eq!(shape.devices(), 40);
/// assert_eq!(shape.count(Level::Worker), 2);
/// assert_eq!(shape.to_string(), "1 rack + 2 worker");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Shape {
    cells: [u32; 5],
}

/// Why a text isn't a shape.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ShapeError {
    /// A term isn't `COUNT LEVEL`.
    #[error("shape term `{0}`: expected `COUNT LEVEL`, for example `2 worker`")]
    Term(String),
    /// A count isn't a whole number up to 100000.
    #[error("shape count `{0}`: expected a whole number from 0 to 100000")]
    Count(String),
    /// A level isn't known.
    #[error("shape level `{0}`: expected device, pair, quad, worker or rack")]
    Level(String),
}

const MAX_CELLS: u32 = 100_000;

impl Shape {
    /// The shape without cells.
    pub const EMPTY: Shape = Shape { cells: [0; 5] };

    /// Returns the cells that a gang occupies in the tightest possible placement.
    #[must_use]
    pub fn tightest(devices: u32) -> Self {
        let mut left = devices;
        let mut shape = Shape::EMPTY;
        for level in LEVELS.into_iter().rev() {
            shape = shape.with(level, left / level.devices());
            left %= level.devices();
        }
        shape
    }

    /// Returns whether the cells of `other` fit into this shape.
    #[must_use]
    pub fn holds(&self, other: &Shape) -> bool {
        let mut left = *self;
        left.take(other)
    }

    /// Returns this shape with `count` more cells of `level`.
    #[must_use]
    pub const fn with(mut self, level: Level, count: u32) -> Self {
        self.cells[level.index()] += count;
        self
    }

    /// Returns the number of cells of `level`.
    #[must_use]
    pub const fn count(&self, level: Level) -> u32 {
        self.cells[level.index()]
    }

    /// Returns the number of devices in all cells.
    #[must_use]
    pub fn devices(&self) -> u32 {
        LEVELS.iter().map(|level| self.count(*level) * level.devices()).sum()
    }

    /// Returns whether the shape has no cells.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cells == [0; 5]
    }

    /// Returns this shape with one cell of `level` less; the shape must contain one.
    #[must_use]
    pub(crate) const fn without_one(mut self, level: Level) -> Self {
        self.cells[level.index()] -= 1;
        self
    }

    /// Adds the cells of `other`.
    pub fn add(&mut self, other: &Shape) {
        for (count, more) in self.cells.iter_mut().zip(other.cells) {
            *count += more;
        }
    }

    /// Takes the cells of `other` out of this shape, splitting larger cells where needed.
    ///
    /// Returns whether all fitted; if not, the shape is unchanged.
    pub fn take(&mut self, other: &Shape) -> bool {
        let mut left = *self;
        for level in LEVELS.iter().rev() {
            for _ in 0..other.count(*level) {
                if !left.take_one(*level) {
                    return false;
                }
            }
        }
        *self = left;
        true
    }

    fn take_one(&mut self, level: Level) -> bool {
        let at = level.index();
        let Some(from) = (at..self.cells.len()).find(|larger| self.cells[*larger] > 0) else {
            return false;
        };
        self.cells[from] -= 1;
        for larger in (at + 1..=from).rev() {
            self.cells[larger - 1] += LEVELS[larger].split() - 1;
        }
        true
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut first = true;
        for level in LEVELS.iter().rev().filter(|level| self.count(**level) > 0) {
            if !first {
                f.write_str(" + ")?;
            }
            first = false;
            write!(f, "{} {}", self.count(*level), level.name())?;
        }
        if first { f.write_str("0 device") } else { Ok(()) }
    }
}

impl FromStr for Shape {
    type Err = ShapeError;

    fn from_str(text: &str) -> Result<Self, ShapeError> {
        let mut shape = Shape::EMPTY;
        for term in text.split('+').map(str::trim).filter(|term| !term.is_empty()) {
            let (count, level) =
                term.split_once(' ').ok_or_else(|| ShapeError::Term(term.to_owned()))?;
            let cells: u32 = count
                .parse()
                .ok()
                .filter(|cells| *cells <= MAX_CELLS)
                .ok_or_else(|| ShapeError::Count(count.to_owned()))?;
            let name = level.trim().trim_end_matches('s');
            let level = LEVELS
                .into_iter()
                .find(|known| known.name() == name)
                .ok_or_else(|| ShapeError::Level(level.to_owned()))?;
            shape = shape.with(level, cells);
        }
        Ok(shape)
    }
}

impl Serialize for Shape {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Shape {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
