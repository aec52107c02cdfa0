//! The fleet: workers, workspaces and the running gangs, kept consistent with each other.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    guarantee::Binding,
    ids::{FencingToken, WorkerIndex, WorkspaceIndex},
    knobs::Knobs,
    shape::{Level, Shape},
    tables::{BoundPart, Gang, Holder, WorkerTable, WorkspaceTable},
    topology::{DeviceMask, Placement},
};

/// How a gang that is inserted counts against its workspace's guarantee.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Claim {
    /// The gang takes cells if it fits into them.
    IfItFits,
    /// The gang was started in a cell of this level, or borrows (`None`), as its lease says.
    AsLeased(Option<Level>),
}

impl Claim {
    const fn min_level(self) -> Option<Level> {
        match self {
            Claim::IfItFits => Some(Level::Device),
            Claim::AsLeased(level) => level,
        }
    }
}

/// The running gangs, with the tables of workers and workspaces that account for their devices.
#[derive(Debug, Clone, Default)]
pub(crate) struct Fleet {
    pub workers: WorkerTable,
    pub workspaces: WorkspaceTable,
    pub gangs: BTreeMap<FencingToken, Gang>,
}

impl Fleet {
    /// Adds a gang, marks its devices, and claims cells of its workspace's guarantee for it.
    pub fn insert(&mut self, mut gang: Gang, claim: Claim) {
        gang.owned = false;
        self.mark(&gang, true);
        let (token, workspace) = (gang.meta.token, gang.workspace);
        let row = &mut self.workspaces.rows[workspace];
        row.gangs.insert(token);
        row.held_devices += gang.devices();
        row.borrowed_devices += gang.devices();
        let lends = gang.meta.reclaimable && gang.yields_to.is_none();
        let parts = gang.parts.clone();
        self.gangs.insert(token, gang);
        if lends {
            self.mark_lent(token, &parts, true);
        }
        let Some(min_level) = claim.min_level() else { return };
        let workers = &self.workers;
        let level = self
            .workspaces
            .change_cells(workspace, |cells| cells.claim(&parts, min_level, workers));
        if let Some(gang) = self.gangs.get_mut(&token) {
            gang.meta.cell = level;
        }
        if level.is_some() {
            self.place_bindings(workspace);
            self.set_owned(token, true);
        }
    }

    /// Removes a gang; cells without used devices are unbound.
    pub fn remove(&mut self, token: FencingToken) -> Option<Gang> {
        let gang = self.gangs.remove(&token)?;
        self.mark(&gang, false);
        let row = &mut self.workspaces.rows[gang.workspace];
        row.gangs.remove(&token);
        row.held_devices -= gang.devices();
        if gang.owned {
            self.workspaces.change_cells(gang.workspace, |cells| cells.release(&gang.parts));
            self.place_bindings(gang.workspace);
        } else {
            row.borrowed_devices -= gang.devices();
        }
        Some(gang)
    }

    /// Sets a workspace's knobs; gangs whose cells exceed the new guarantee count as borrowed.
    pub fn set_knobs(&mut self, workspace: WorkspaceIndex, knobs: Knobs) {
        let guarantee = knobs.guarantee;
        self.workspaces.set_knobs(workspace, knobs);
        self.workspaces.change_cells(workspace, |cells| cells.reshape(guarantee));
        self.place_bindings(workspace);
        let tokens: Vec<FencingToken> =
            self.workspaces.rows[workspace].gangs.iter().copied().collect();
        for token in tokens {
            let cells = &self.workspaces.rows[workspace].cells;
            let gang = &self.gangs[&token];
            let covered = gang.parts.iter().all(|(at, devices)| cells.covers(*at, *devices));
            if gang.owned && !covered {
                self.set_owned(token, false);
            }
        }
    }

    /// Records a workspace's bound cells on the workers that they are bound to.
    fn place_bindings(&mut self, workspace: WorkspaceIndex) {
        let bindings: Vec<Binding> = self.workspaces.rows[workspace].cells.bindings().to_vec();
        let before = std::mem::take(&mut self.workspaces.rows[workspace].bound_workers);
        for worker in before {
            self.workers.change(worker, |row| row.bound.retain(|p| p.workspace != workspace));
        }
        let mut workers = BTreeSet::new();
        for binding in &bindings {
            for ((worker, region), used) in binding.region.iter().zip(&binding.used) {
                let part = BoundPart { workspace, region: *region, used: *used };
                self.workers.change(*worker, |row| row.bound.push(part));
                workers.insert(*worker);
            }
        }
        self.workspaces.rows[workspace].bound_workers = workers;
    }

    fn set_owned(&mut self, token: FencingToken, owned: bool) {
        let Some(gang) = self.gangs.get_mut(&token) else {
            return;
        };
        if gang.owned == owned {
            return;
        }
        gang.owned = owned;
        let devices = gang.devices();
        let lends = gang.meta.reclaimable && gang.yields_to.is_none();
        let parts = gang.parts.clone();
        let row = &mut self.workspaces.rows[gang.workspace];
        if owned {
            row.borrowed_devices -= devices;
        } else {
            row.borrowed_devices += devices;
        }
        if lends {
            self.mark_lent(token, &parts, !owned);
        }
    }

    fn mark(&mut self, gang: &Gang, used: bool) {
        let token = gang.meta.token;
        let loses_work = !gang.meta.checkpointable;
        for (worker, devices) in &gang.parts {
            let devices = *devices;
            let count = devices.count_ones();
            let (cores, memory) = (count * gang.cores_per_device, count * gang.memory_per_device);
            self.workers.change(*worker, |row| {
                if used {
                    row.holders.push(Holder { token, devices, lent: false, loses_work });
                    row.cores_used += cores;
                    row.memory_used += memory;
                } else {
                    row.holders.retain(|holder| holder.token != token);
                    row.cores_used -= cores;
                    row.memory_used -= memory;
                }
                row.derive_masks();
            });
        }
    }

    fn mark_lent(&mut self, token: FencingToken, parts: &[(WorkerIndex, DeviceMask)], lent: bool) {
        for (worker, _) in parts {
            self.workers.change(*worker, |row| {
                for holder in row.holders.iter_mut().filter(|holder| holder.token == token) {
                    holder.lent = lent;
                }
                row.derive_masks();
            });
        }
    }

    /// Stops counting a gang's devices as lent, because they are already being reclaimed for a job.
    pub fn withdraw_lent(&mut self, token: FencingToken) {
        let Some(gang) = self.gangs.get(&token) else {
            return;
        };
        let parts = gang.parts.clone();
        self.mark_lent(token, &parts, false);
    }

    /// Returns the cells that are missing for all guarantees, empty if none is.
    ///
    /// All unbound cells must fit at once into free or lent devices. The devices of a bound cell
    /// that its owner doesn't use must be free or lent themselves.
    pub fn missing_cells(&self) -> Shape {
        let missing = self.workers.cells.missing(&self.workspaces.unbound);
        missing.with(Level::Device, self.workers.violated)
    }

    /// Converts parts by worker row into a placement by worker name.
    pub fn placement(&self, parts: &[(WorkerIndex, DeviceMask)]) -> Placement {
        parts
            .iter()
            .map(|(worker, devices)| crate::topology::Part {
                worker: self.workers.rows[*worker].spec.id.clone(),
                devices: *devices,
            })
            .collect()
    }
}
