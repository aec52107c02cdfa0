//! Which leases are owned, which are borrowed, and whether every guarantee can be reclaimed.
//!
//! Whether a gang is owned is derived from the table and the leases, never stamped on them: every
//! planner that sees the same leases comes to the same answer, and an edit of the table takes
//! effect on gangs that already run.

use crate::{
    shape::{DEVICES_PER_WORKER, Level, Shape, WORKERS_PER_RACK},
    topology::DeviceMask,
};

const CHUNK: u32 = DEVICES_PER_WORKER;

/// Cells of one worker's devices below the level of a rack, counted largest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WorkerCells {
    /// Single devices, pairs, quads and whole workers.
    pub counts: [u32; 4],
}

/// Splits a set of devices into its largest aligned cells.
///
/// ```
/// use rampbay_core::guarantee::worker_cells;
/// assert_eq!(worker_cells(0b0011_1111).counts, [0, 1, 1, 0]);
/// assert_eq!(worker_cells(0b1111_1111).counts, [0, 0, 0, 1]);
/// ```
#[must_use]
pub fn worker_cells(devices: DeviceMask) -> WorkerCells {
    let mut cells = WorkerCells::default();
    let mut rest = devices;
    while rest != 0 {
        chunk_cells((rest & 0xff) as u8, &mut cells.counts);
        rest >>= CHUNK;
    }
    cells
}

fn chunk_cells(chunk: u8, counts: &mut [u32; 4]) {
    if chunk == 0xff {
        counts[3] += 1;
        return;
    }
    for quad in [chunk & 0xf, chunk >> 4] {
        if quad == 0xf {
            counts[2] += 1;
            continue;
        }
        for pair in [quad & 0b11, quad >> 2] {
            match pair.count_ones() {
                2 => counts[1] += 1,
                ones => counts[0] += ones,
            }
        }
    }
}

/// Returns the cells that a gang's parts take up, with full racks counted as rack cells.
///
/// `parts` gives the rack's row index and the devices of each part.
#[must_use]
pub fn gang_shape(parts: &[(usize, DeviceMask)]) -> Shape {
    let mut whole_by_rack: Vec<(usize, u32)> = Vec::new();
    let mut shape = Shape::EMPTY;
    for (rack, devices) in parts {
        let [singles, pairs, quads, whole] = worker_cells(*devices).counts;
        shape =
            shape.with(Level::Device, singles).with(Level::Pair, pairs).with(Level::Quad, quads);
        match whole_by_rack.iter_mut().find(|(known, _)| known == rack) {
            Some((_, count)) => *count += whole,
            None => whole_by_rack.push((*rack, whole)),
        }
    }
    for (_, whole) in whole_by_rack {
        shape = shape
            .with(Level::Rack, whole / WORKERS_PER_RACK)
            .with(Level::Worker, whole % WORKERS_PER_RACK);
    }
    shape
}

/// Counts of available cells over the whole fleet, kept up to date worker by worker.
#[derive(Debug, Clone, Default)]
pub struct CellIndex {
    counts: [u32; 4],
    whole_by_rack: Vec<u32>,
    rack_cells: u32,
}

impl CellIndex {
    /// Replaces one worker's available devices.
    pub fn update(&mut self, rack: usize, before: DeviceMask, after: DeviceMask) {
        if before == after {
            return;
        }
        if self.whole_by_rack.len() <= rack {
            self.whole_by_rack.resize(rack + 1, 0);
        }
        let old = worker_cells(before).counts;
        let new = worker_cells(after).counts;
        for level in 0..4 {
            self.counts[level] = self.counts[level] + new[level] - old[level];
        }
        let whole = &mut self.whole_by_rack[rack];
        self.rack_cells -= *whole / WORKERS_PER_RACK;
        *whole = *whole + new[3] - old[3];
        self.rack_cells += *whole / WORKERS_PER_RACK;
    }

    /// Returns the cells that are missing for `needs`, empty if all can be placed at once.
    ///
    /// Cells nest, so serving the largest level first and splitting what is left is exact.
    #[must_use]
    pub fn missing(&self, needs: &Shape) -> Shape {
        let mut short = Shape::EMPTY;
        let racks = needs.count(Level::Rack);
        let placed_racks = racks.min(self.rack_cells);
        short = short.with(Level::Rack, racks - placed_racks);
        let mut carried = self.counts[3] - placed_racks * WORKERS_PER_RACK;
        let levels = [Level::Worker, Level::Quad, Level::Pair, Level::Device];
        for (step, level) in levels.into_iter().enumerate() {
            if step > 0 {
                carried = carried * 2 + self.counts[3 - step];
            }
            let need = needs.count(level);
            let placed = need.min(carried);
            short = short.with(level, need - placed);
            carried -= placed;
        }
        short
    }
}

/// Applies the rule of ownership to one workspace's gangs.
///
/// `gangs` gives the cells that each gang takes up. It must be in the order of the rule: gangs that can't be reclaimed first, then by class,
/// then by fencing token. Returns for each gang whether it is owned, and the part of the guarantee
/// that no gang uses.
#[must_use]
pub fn derive_ownership(
    guarantee: Shape,
    gangs: impl IntoIterator<Item = Shape>,
) -> (Vec<bool>, Shape) {
    let mut unused = guarantee;
    let owned = gangs.into_iter().map(|gang| unused.take(&gang)).collect();
    (owned, unused)
}
