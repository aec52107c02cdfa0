//! Which leases are owned, which are borrowed, and whether every guarantee can be reclaimed.
//!
//! A gang is owned if it was started in cells of its workspace's guarantee. Its lease records the
//! level of those cells, so that every planner that reads the leases gets the same result. The
//! unused part of a guarantee, and whether it can be reclaimed, are derived from the table and the
//! leases, so that an edit of the table also applies to gangs that already run.

use crate::{
    ids::WorkerIndex,
    shape::{DEVICES_PER_WORKER, LEVELS, Level, Shape, WORKERS_PER_RACK},
    topology::DeviceMask,
};

const CHUNK: u32 = DEVICES_PER_WORKER;

/// Numbers of cells on one worker, up to a whole worker; a device counts in its largest cell only.
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

/// Counts of available cells over the whole fleet, kept up to date worker by worker.
#[derive(Debug, Clone, Default)]
pub struct CellIndex {
    counts: [u32; 4],
    whole_by_rack: Vec<u32>,
    rack_cells: u32,
}

impl CellIndex {
    /// Replaces one worker's available devices; `rack` is the row of its rack cell.
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

/// The position of cells in the fleet.
pub trait Geometry {
    /// Returns the three workers of the rack cell that a worker belongs to, if it belongs to one.
    fn rack_cell(&self, worker: WorkerIndex) -> Option<[WorkerIndex; WORKERS_PER_RACK as usize]>;
}

/// One cell of a guarantee that is in use, and the place that it is bound to.
///
/// A cell is bound as a whole as soon as a part of it is used: the rest of a guaranteed rack must
/// be available in the same rack when the owner asks for it, whichever gangs in it end first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Binding {
    /// The cell's level.
    pub level: Level,
    /// Workers and devices of the place.
    pub region: Vec<(WorkerIndex, DeviceMask)>,
    /// The devices that the owner's gangs use, one mask for each entry of `region`.
    pub used: Vec<DeviceMask>,
}

impl Binding {
    fn is_used(&self) -> bool {
        self.used.iter().any(|used| *used != 0)
    }

    /// Returns the devices of the place that the owner doesn't use.
    pub fn rest(&self) -> impl Iterator<Item = (WorkerIndex, DeviceMask)> + '_ {
        let pairs = self.region.iter().zip(&self.used);
        pairs.map(|((worker, devices), used)| (*worker, devices & !used))
    }
}

/// The cells of one workspace's guarantee: which are bound to a place, and which are free to be.
///
/// A binding stays in its place until the last gang in it ends. Deriving it anew from the remaining
/// gangs could move it to a place whose other devices can't be reclaimed; a property test found
/// this fault.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct GuaranteeCells {
    guarantee: Shape,
    unbound: Shape,
    bindings: Vec<Binding>,
}

impl GuaranteeCells {
    /// Creates the cells of a guarantee, all of them unbound.
    #[must_use]
    pub const fn new(guarantee: Shape) -> Self {
        Self { guarantee, unbound: guarantee, bindings: Vec::new() }
    }

    /// Returns the cells that no gang uses any part of.
    #[must_use]
    pub const fn unbound(&self) -> Shape {
        self.unbound
    }

    /// Returns the cells that are in use.
    #[must_use]
    pub fn bindings(&self) -> &[Binding] {
        &self.bindings
    }

    /// Returns the unused part of the guarantee, in bound and unbound cells.
    #[must_use]
    pub fn unused(&self) -> Shape {
        let mut shape = self.unbound;
        for binding in &self.bindings {
            for (_, devices) in binding.rest() {
                let [singles, pairs, quads, whole] = worker_cells(devices).counts;
                shape = shape
                    .with(Level::Device, singles)
                    .with(Level::Pair, pairs)
                    .with(Level::Quad, quads)
                    .with(Level::Worker, whole);
            }
        }
        shape
    }

    /// Claims cells for a gang: each part must lie in a cell that is bound already, or bind one.
    ///
    /// Cells smaller than `min_level` aren't bound. Returns the largest level that was used, or
    /// `None` if the gang doesn't fit; the cells are unchanged then.
    pub fn claim(
        &mut self,
        parts: &[(WorkerIndex, DeviceMask)],
        min_level: Level,
        geometry: &impl Geometry,
    ) -> Option<Level> {
        let before = self.clone();
        let mut largest = Level::Device;
        for (worker, devices) in parts {
            for chunk in chunks(*devices) {
                match self.assign(*worker, chunk, min_level, geometry) {
                    Some(level) => largest = largest.max(level),
                    None => {
                        *self = before;
                        return None;
                    }
                }
            }
        }
        Some(largest)
    }

    /// Releases the devices of a gang's parts; a cell without used devices is unbound.
    pub fn release(&mut self, parts: &[(WorkerIndex, DeviceMask)]) {
        for binding in &mut self.bindings {
            for ((at, _), used) in binding.region.iter().zip(&mut binding.used) {
                for (_, devices) in parts.iter().filter(|(worker, _)| worker == at) {
                    *used &= !devices;
                }
            }
        }
        let (kept, ended) =
            std::mem::take(&mut self.bindings).into_iter().partition(Binding::is_used);
        self.bindings = kept;
        let ended: Vec<Binding> = ended;
        for binding in ended {
            self.unbound = self.unbound.with(binding.level, 1);
        }
    }

    /// Changes the guarantee. Bindings that exceed the new guarantee are dropped, the latest first;
    /// the gangs in them count as borrowed from then on.
    pub fn reshape(&mut self, guarantee: Shape) {
        self.guarantee = guarantee;
        let mut left = guarantee;
        self.bindings.retain(|binding| {
            let fits = left.count(binding.level) > 0;
            if fits {
                left = left.without_one(binding.level);
            }
            fits
        });
        self.unbound = left;
    }

    /// Returns whether a part lies in a bound cell that counts it as used.
    #[must_use]
    pub fn covers(&self, worker: WorkerIndex, devices: DeviceMask) -> bool {
        let places = self.bindings.iter().flat_map(|b| b.region.iter().zip(&b.used));
        let used = places.filter(|((at, _), _)| *at == worker);
        let mask = used.fold(0, |mask, (_, used)| mask | used);
        devices & !mask == 0
    }

    fn assign(
        &mut self,
        worker: WorkerIndex,
        devices: DeviceMask,
        min_level: Level,
        geometry: &impl Geometry,
    ) -> Option<Level> {
        self.assign_bound(worker, devices)
            .or_else(|| self.bind(worker, devices, min_level, geometry))
            .or_else(|| self.assign_halves(worker, devices, min_level, geometry))
    }

    fn assign_bound(&mut self, worker: WorkerIndex, devices: DeviceMask) -> Option<Level> {
        for binding in &mut self.bindings {
            for ((at, region), used) in binding.region.iter().zip(&mut binding.used) {
                if *at == worker && devices & !*region == 0 && devices & *used == 0 {
                    *used |= devices;
                    return Some(binding.level);
                }
            }
        }
        None
    }

    /// Binds the smallest unbound cell that contains the devices.
    fn bind(
        &mut self,
        worker: WorkerIndex,
        devices: DeviceMask,
        min_level: Level,
        geometry: &impl Geometry,
    ) -> Option<Level> {
        for level in LEVELS.into_iter().filter(|level| *level >= min_level) {
            if self.unbound.count(level) == 0 {
                continue;
            }
            let Some(region) = region_of(level, worker, devices, geometry) else { continue };
            if self.bindings.iter().any(|binding| overlaps(&binding.region, &region)) {
                continue;
            }
            self.unbound = self.unbound.without_one(level);
            let used = region.iter().map(|(at, _)| if *at == worker { devices } else { 0 });
            let used = used.collect();
            self.bindings.push(Binding { level, region, used });
            return Some(level);
        }
        None
    }

    fn assign_halves(
        &mut self,
        worker: WorkerIndex,
        devices: DeviceMask,
        min_level: Level,
        geometry: &impl Geometry,
    ) -> Option<Level> {
        let block = (1..=3).map(|level| 1 << level).find_map(|size| block_of(size, devices))?;
        let half = block.count_ones() / 2;
        let low = devices & block & !(block << half);
        let high = devices & !low;
        if low == 0 || high == 0 {
            return None;
        }
        let first = self.assign(worker, low, min_level, geometry)?;
        let second = self.assign(worker, high, min_level, geometry)?;
        Some(first.max(second))
    }
}

/// Splits a mask into aligned groups of `CHUNK` devices and leaves out empty groups.
fn chunks(devices: DeviceMask) -> impl Iterator<Item = DeviceMask> {
    (0..DeviceMask::BITS)
        .step_by(CHUNK as usize)
        .map(move |start| devices & (0xff << start))
        .filter(|chunk| *chunk != 0)
}

/// Returns the aligned block of `size` devices that contains all of `devices`, if there is one.
#[must_use]
pub fn block_of(size: u32, devices: DeviceMask) -> Option<DeviceMask> {
    let start = devices.trailing_zeros() / size * size;
    let block: DeviceMask = ((1 << size) - 1) << start;
    (devices & !block == 0).then_some(block)
}

fn region_of(
    level: Level,
    worker: WorkerIndex,
    devices: DeviceMask,
    geometry: &impl Geometry,
) -> Option<Vec<(WorkerIndex, DeviceMask)>> {
    match level {
        Level::Rack => {
            const WHOLE: DeviceMask = (1 << CHUNK) - 1;
            let workers = geometry.rack_cell(worker)?;
            let inside = devices & !WHOLE == 0;
            inside.then(|| workers.iter().map(|member| (*member, WHOLE)).collect())
        }
        _ => block_of(level.devices(), devices).map(|block| vec![(worker, block)]),
    }
}

fn overlaps(a: &[(WorkerIndex, DeviceMask)], b: &[(WorkerIndex, DeviceMask)]) -> bool {
    a.iter().any(|(worker, devices)| {
        b.iter().any(|(other, others)| worker == other && devices & others != 0)
    })
}
