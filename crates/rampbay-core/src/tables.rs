//! The planner's tables of entities. Systems in the other modules run over them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use crate::{
    guarantee::{CellIndex, Geometry, GuaranteeCells},
    ids::{FencingToken, JobId, WorkerId, WorkerIndex, WorkspaceId, WorkspaceIndex},
    job::{Adjacency, Class, JobSpec},
    knobs::Knobs,
    lease::LeaseMeta,
    reason::Reason,
    shape::{DEVICES_PER_WORKER, Level, Shape, WORKERS_PER_RACK},
    topology::{DeviceMask, WorkerSpec},
};

/// One worker.
#[derive(Debug, Clone)]
pub(crate) struct WorkerRow {
    pub spec: WorkerSpec,
    pub rack: usize,
    /// The row of the rack cell that the worker belongs to.
    pub rack_cell: usize,
    pub failure_domain: usize,
    /// Devices that exist and work.
    pub present: DeviceMask,
    /// The gangs on this worker and the devices that each holds.
    pub holders: Vec<Holder>,
    /// Devices that are held by any gang.
    pub used: DeviceMask,
    /// Devices of gangs that borrow them and are reclaimable.
    pub lent: DeviceMask,
    /// Devices reserved for one job.
    pub reserved: DeviceMask,
    /// Parts of the worker that guaranteed cells are bound to.
    pub bound: Vec<BoundPart>,
    pub cores_used: u32,
    pub memory_used: u32,
}

/// One gang's part on a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Holder {
    pub token: FencingToken,
    pub devices: DeviceMask,
    pub lent: bool,
    /// Whether the gang can't be checkpointed, so that its work is lost when it stops.
    pub loses_work: bool,
}

/// A worker's part of a bound cell.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BoundPart {
    pub workspace: WorkspaceIndex,
    pub region: DeviceMask,
    pub used: DeviceMask,
}

impl WorkerRow {
    /// Returns the devices that any workspace's cells are bound to.
    pub fn bound_mask(&self) -> DeviceMask {
        self.bound.iter().fold(0, |mask, part| mask | part.region)
    }

    /// Returns the devices that cells of workspaces other than `workspace` are bound to.
    pub fn bound_by_others(&self, workspace: WorkspaceIndex) -> DeviceMask {
        let others = self.bound.iter().filter(|part| part.workspace != workspace);
        others.fold(0, |mask, part| mask | part.region)
    }

    /// Returns the cost of reclaiming all lent devices of the worker; lost work counts more.
    pub fn cost_of_lent(&self) -> u32 {
        const MOVE_COST: u32 = 6;
        const LOST_WORK_COST: u32 = 24;
        let lent = self.holders.iter().filter(|holder| holder.lent);
        lent.map(|h| h.devices.count_ones() * if h.loses_work { LOST_WORK_COST } else { MOVE_COST })
            .sum()
    }

    /// Returns the devices that any unbound cell may be bound to.
    fn open_to_cells(&self) -> DeviceMask {
        self.reclaimable() & !self.bound_mask()
    }

    /// Returns the number of devices of bound cells that their owners don't use and can't reclaim.
    fn violated(&self) -> u32 {
        let used = self.bound.iter().fold(0, |mask, part| mask | part.used);
        let regions: u32 = self.bound.iter().map(|part| part.region.count_ones()).sum();
        let mask = self.bound_mask();
        let overlap = regions - mask.count_ones();
        (mask & !used & !self.reclaimable()).count_ones() + overlap
    }

    /// Recomputes the masks from the holders.
    ///
    /// Reported gangs may overlap on a device, so setting and clearing single bits would leave
    /// wrong ones behind.
    pub fn derive_masks(&mut self) {
        self.used = self.holders.iter().fold(0, |mask, holder| mask | holder.devices);
        self.lent = self
            .holders
            .iter()
            .filter(|holder| holder.lent)
            .fold(0, |mask, holder| mask | holder.devices);
    }

    pub fn free(&self) -> DeviceMask {
        self.present & !self.used
    }

    /// Returns the devices that an owner can get: free ones and those lent out.
    pub fn reclaimable(&self) -> DeviceMask {
        self.free() | (self.lent & self.present)
    }
}

/// All workers, with their racks, rack cells and failure domains.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkerTable {
    pub rows: Vec<WorkerRow>,
    by_id: HashMap<WorkerId, WorkerIndex>,
    pub racks: Vec<Vec<WorkerIndex>>,
    pub failure_domains: Vec<Vec<WorkerIndex>>,
    rack_names: HashMap<String, usize>,
    failure_domain_names: HashMap<String, usize>,
    pub cells: CellIndex,
    /// Workers of each rack cell.
    pub rack_cells: Vec<Vec<WorkerIndex>>,
    /// Number of devices of bound cells that their owners don't use and can't reclaim.
    pub violated: u32,
    pub rack_free: Vec<u32>,
    pub failure_domain_free: Vec<u32>,
    pub free_devices: u32,
}

impl WorkerTable {
    pub fn index(&self, id: &str) -> Option<WorkerIndex> {
        self.by_id.get(id).copied()
    }

    /// Adds a worker, or brings a known one back.
    pub fn add(&mut self, spec: WorkerSpec) -> WorkerIndex {
        if let Some(known) = self.index(&spec.id) {
            let present = spec.all_devices();
            self.rows[known].spec = spec;
            self.change(known, |row| row.present = present);
            return known;
        }
        let index = self.rows.len();
        let rack = group(&mut self.rack_names, &mut self.racks, &spec.rack, index);
        let failure_domain = group(
            &mut self.failure_domain_names,
            &mut self.failure_domains,
            &spec.failure_domain,
            index,
        );
        let rack_cell = self.join_rack_cell(rack, index, spec.is_full_size());
        self.rack_free.resize(self.racks.len(), 0);
        self.failure_domain_free.resize(self.failure_domains.len(), 0);
        self.by_id.insert(spec.id.clone(), index);
        let present = spec.all_devices();
        self.rows.push(WorkerRow {
            spec,
            rack,
            rack_cell,
            failure_domain,
            present: 0,
            holders: Vec::new(),
            used: 0,
            lent: 0,
            reserved: 0,
            bound: Vec::new(),
            cores_used: 0,
            memory_used: 0,
        });
        self.change(index, |row| row.present = present);
        index
    }

    /// Puts a worker into its rack's last cell, or into a new one if that is full.
    fn join_rack_cell(&mut self, rack: usize, worker: WorkerIndex, full_size: bool) -> usize {
        let size = WORKERS_PER_RACK as usize;
        let last = self.racks[rack].iter().rev().skip(1).map(|w| self.rows[*w].rack_cell).max();
        let open = last.filter(|cell| full_size && self.rack_cells[*cell].len() < size);
        let cell = open.unwrap_or_else(|| {
            self.rack_cells.push(Vec::new());
            self.rack_cells.len() - 1
        });
        self.rack_cells[cell].push(worker);
        cell
    }

    /// Returns the names of the failure domains with their rows.
    pub fn failure_domain_names(&self) -> impl Iterator<Item = (&str, usize)> {
        self.failure_domain_names.iter().map(|(name, row)| (name.as_str(), *row))
    }

    /// Returns the devices of a worker that lie in unbound cells of a level whose devices are all
    /// free or lent.
    pub fn open_cells(&self, index: WorkerIndex, level: Level) -> DeviceMask {
        const WHOLE: DeviceMask = (1 << DEVICES_PER_WORKER) - 1;
        let open = |at: &WorkerIndex| self.rows[*at].open_to_cells();
        if level == Level::Rack {
            let members = &self.rack_cells[self.rows[index].rack_cell];
            let whole = members.len() == WORKERS_PER_RACK as usize
                && members.iter().all(|member| open(member) & WHOLE == WHOLE);
            return if whole { WHOLE } else { 0 };
        }
        let mask = open(&index);
        let size = level.devices();
        (0..DeviceMask::BITS)
            .step_by(size as usize)
            .map(|start| ((1 << size) - 1) << start)
            .filter(|block| mask & block == *block)
            .fold(0, |all, block| all | block)
    }

    /// Changes one row and keeps the counts of free devices and cells up to date.
    pub fn change(&mut self, index: WorkerIndex, edit: impl FnOnce(&mut WorkerRow)) {
        let row = &mut self.rows[index];
        let (free_before, cells_before) = (row.free(), row.open_to_cells());
        let violated = row.violated();
        edit(row);
        let (free_after, cells_after) = (row.free(), row.open_to_cells());
        self.cells.update(row.rack_cell, cells_before, cells_after);
        self.violated = self.violated + row.violated() - violated;
        let (before, after) = (free_before.count_ones(), free_after.count_ones());
        let rack_free = &mut self.rack_free[row.rack];
        *rack_free = *rack_free + after - before;
        let domain_free = &mut self.failure_domain_free[row.failure_domain];
        *domain_free = *domain_free + after - before;
        self.free_devices = self.free_devices + after - before;
    }
}

impl Geometry for WorkerTable {
    fn rack_cell(&self, worker: WorkerIndex) -> Option<[WorkerIndex; WORKERS_PER_RACK as usize]> {
        let members = &self.rack_cells[self.rows[worker].rack_cell];
        members.as_slice().try_into().ok()
    }
}

fn group(
    names: &mut HashMap<String, usize>,
    groups: &mut Vec<Vec<WorkerIndex>>,
    name: &str,
    member: WorkerIndex,
) -> usize {
    let at = *names.entry(name.to_owned()).or_insert_with(|| {
        groups.push(Vec::new());
        groups.len() - 1
    });
    groups[at].push(member);
    at
}

/// A running gang, of this planner or of another.
#[derive(Debug, Clone)]
pub(crate) struct Gang {
    pub meta: LeaseMeta,
    pub workspace: WorkspaceIndex,
    pub parts: Vec<(WorkerIndex, DeviceMask)>,
    pub owned: bool,
    /// The job that the gang yields its devices to, if it was asked to.
    pub yields_to: Option<JobId>,
    /// Whether this planner's own jobs table has its job.
    pub local: bool,
    /// Whether the gang's work runs; a gang that is still starting can't be asked to yield.
    pub running: bool,
    pub cores_per_device: u32,
    pub memory_per_device: u32,
}

impl Gang {
    pub fn devices(&self) -> u32 {
        self.parts.iter().map(|(_, devices)| devices.count_ones()).sum()
    }
}

/// One workspace.
#[derive(Debug, Clone)]
pub(crate) struct WorkspaceRow {
    pub name: WorkspaceId,
    pub knobs: Knobs,
    /// Its gangs.
    pub gangs: BTreeSet<FencingToken>,
    /// The part of the guarantee that no gang uses.
    pub unused: Shape,
    /// Which cells of the guarantee are in use, and where.
    pub cells: GuaranteeCells,
    /// Workers that its cells are bound to.
    pub bound_workers: BTreeSet<WorkerIndex>,
    pub borrowed_devices: u32,
    pub held_devices: u32,
    pub waiting: u32,
    pub urgent: u32,
    /// Decayed usage up to `usage_at`, in device-seconds.
    pub usage: f64,
    pub usage_at: Duration,
    pub removed: bool,
}

/// Half-life of past usage.
const USAGE_HALF_LIFE: Duration = Duration::from_secs(3_600);

impl WorkspaceRow {
    /// Decays the usage up to `now` and adds the devices held since `usage_at`.
    pub fn accrue(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.usage_at).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        let decay = 0.5_f64.powf(passed / USAGE_HALF_LIFE.as_secs_f64());
        self.usage = self.usage * decay + f64::from(self.held_devices) * passed;
        self.usage_at = now;
    }

    pub fn share(&self) -> f64 {
        self.usage / f64::from(self.knobs.weight.max(1))
    }
}

/// All workspaces.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkspaceTable {
    pub rows: Vec<WorkspaceRow>,
    by_name: HashMap<WorkspaceId, WorkspaceIndex>,
    /// Sum of the unbound cells of all workspaces.
    pub unbound: Shape,
    /// Devices that owners don't lend, over all workspaces.
    pub unlent_devices: u32,
}

impl WorkspaceTable {
    pub fn index(&self, name: &str) -> Option<WorkspaceIndex> {
        self.by_name.get(name).copied().filter(|index| !self.rows[*index].removed)
    }

    /// Returns the row for a name; an unknown name gets a row with default knobs, marked removed.
    pub fn ensure(&mut self, name: &WorkspaceId) -> WorkspaceIndex {
        if let Some(known) = self.by_name.get(name) {
            return *known;
        }
        let index = self.rows.len();
        self.rows.push(WorkspaceRow {
            name: name.clone(),
            knobs: Knobs::default(),
            gangs: BTreeSet::new(),
            unused: Shape::EMPTY,
            cells: GuaranteeCells::default(),
            bound_workers: BTreeSet::new(),
            borrowed_devices: 0,
            held_devices: 0,
            waiting: 0,
            urgent: 0,
            usage: 0.0,
            usage_at: Duration::ZERO,
            removed: true,
        });
        self.by_name.insert(name.clone(), index);
        index
    }

    /// Changes a workspace's cells and updates the sums over all workspaces.
    pub fn change_cells<T>(
        &mut self,
        index: WorkspaceIndex,
        edit: impl FnOnce(&mut GuaranteeCells) -> T,
    ) -> T {
        let row = &mut self.rows[index];
        self.unlent_devices -= unlent(row.unused, row.knobs.lend_limit);
        self.unbound = subtract(self.unbound, row.cells.unbound());
        let result = edit(&mut row.cells);
        row.unused = row.cells.unused();
        self.unbound.add(&row.cells.unbound());
        self.unlent_devices += unlent(row.unused, row.knobs.lend_limit);
        result
    }

    pub fn set_knobs(&mut self, index: WorkspaceIndex, knobs: Knobs) {
        let row = &mut self.rows[index];
        self.unlent_devices -= unlent(row.unused, row.knobs.lend_limit);
        row.knobs = knobs;
        self.unlent_devices += unlent(row.unused, row.knobs.lend_limit);
    }
}

fn unlent(unused: Shape, lend_limit: u32) -> u32 {
    unused.devices().saturating_sub(lend_limit)
}

fn subtract(from: Shape, part: Shape) -> Shape {
    crate::shape::LEVELS
        .into_iter()
        .fold(Shape::EMPTY, |shape, level| shape.with(level, from.count(level) - part.count(level)))
}

/// A job's state.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum JobState {
    Waiting,
    /// Other gangs yield devices to the job.
    Reclaiming {
        token: FencingToken,
        from: Vec<FencingToken>,
    },
    Starting {
        token: FencingToken,
    },
    Running {
        token: FencingToken,
    },
}

/// One job of this planner.
#[derive(Debug, Clone)]
pub(crate) struct JobRow {
    pub spec: JobSpec,
    pub workspace: WorkspaceIndex,
    pub arrived: Duration,
    pub waiting_since: Duration,
    pub state: JobState,
    pub reason: Reason,
    pub refusals: u32,
    pub not_before: Duration,
}

/// The properties of a job that planning depends on.
///
/// Waiting jobs with equal demands share a queue; if the first can't start, no other can.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Demand {
    pub class: Class,
    pub workspace: WorkspaceIndex,
    pub devices: u32,
    pub smallest: u32,
    pub adjacency: Adjacency,
    pub reclaimable: bool,
    pub checkpointable: bool,
    pub cores: u32,
    pub memory: u32,
    pub expected_ms: Option<u64>,
}

impl Demand {
    pub fn of(spec: &JobSpec, workspace: WorkspaceIndex) -> Option<Self> {
        let gang = spec.gang.as_ref()?;
        Some(Self {
            class: spec.class,
            workspace,
            devices: gang.devices,
            smallest: gang.smallest(),
            adjacency: gang.adjacency,
            reclaimable: spec.is_reclaimable(),
            checkpointable: gang.checkpointable,
            cores: gang.cores_per_device,
            memory: gang.memory_mib_per_device,
            expected_ms: gang.expected_ms.map(round_up_to_power_of_two),
        })
    }
}

/// Rounds an expected run time up to a power of two, so that similar jobs share one demand.
fn round_up_to_power_of_two(ms: u64) -> u64 {
    ms.checked_next_power_of_two().unwrap_or(u64::MAX)
}

/// Waiting jobs by demand, in order of arrival.
pub(crate) type QueueTable = BTreeMap<Demand, VecDeque<JobId>>;
