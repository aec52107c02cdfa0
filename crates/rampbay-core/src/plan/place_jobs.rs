//! The system that starts waiting jobs, in order of class, ownership, share and age.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use crate::{
    fleet::Claim,
    guarantee::Binding,
    ids::{FencingToken, JobId},
    job::{Adjacency, Class},
    lease::LeaseMeta,
    place::{Found, GuaranteeImpact, IndexedPart, Usable, find, find_among},
    reason::Reason,
    reclaim,
    shape::Shape,
    tables::{Demand, Gang, JobState, WorkerRow, WorkerTable},
};

use super::{Command, Planner};

/// Order of service; the smallest goes first.
type ServiceKey = (Class, bool, u64, Duration);

/// The outcome of an attempt to start a job.
enum StartAttempt {
    Started,
    Blocked(Reason),
}

impl Planner {
    pub(super) fn place_waiting(&mut self, now: Duration, commands: &mut Vec<Command>) {
        let mut left = self.settings.starts_per_tick;
        let demands: Vec<Demand> = if self.capacity_gained {
            self.queue.keys().cloned().collect()
        } else {
            self.new_demands
                .iter()
                .filter(|demand| self.queue.contains_key(*demand))
                .cloned()
                .collect()
        };
        let mut heap: BinaryHeap<Reverse<(ServiceKey, Demand)>> = BinaryHeap::new();
        for demand in demands {
            if let Some(key) = self.service_key(&demand, now) {
                heap.push(Reverse((key, demand)));
            }
        }
        while let Some(Reverse((_, demand))) = heap.pop() {
            if left == 0 {
                self.next_scan = now;
                break;
            }
            let Some(job) = self.head(&demand, now) else {
                continue;
            };
            match self.try_start(&job, &demand, now, commands) {
                StartAttempt::Started => {
                    left -= 1;
                    if let Some(key) = self.service_key(&demand, now) {
                        heap.push(Reverse((key, demand)));
                    }
                }
                StartAttempt::Blocked(reason) => {
                    self.blocked.insert(demand, reason);
                }
            }
        }
    }

    /// Returns the first job of a demand that may be tried now.
    fn head(&self, demand: &Demand, now: Duration) -> Option<JobId> {
        let jobs = self.queue.get(demand)?;
        jobs.iter().find(|job| self.jobs[*job].not_before <= now).cloned()
    }

    fn service_key(&mut self, demand: &Demand, now: Duration) -> Option<ServiceKey> {
        let head = self.queue.get(demand)?.front()?;
        let since = self.jobs[head].arrived;
        let row = &mut self.fleet.workspaces.rows[demand.workspace];
        row.accrue(now);
        let owned = row.unused.devices() >= demand.devices;
        // Devices held now also count as used for `HORIZON_SECONDS` to come, so that a start lowers
        // the workspace's priority at once.
        const HORIZON_SECONDS: f64 = 600.0;
        let held = f64::from(row.held_devices) / f64::from(row.knobs.weight.max(1));
        let share = row.share() + held * HORIZON_SECONDS;
        Some((demand.class, !owned, share.to_bits(), since))
    }

    fn try_start(
        &mut self,
        job: &JobId,
        demand: &Demand,
        now: Duration,
        commands: &mut Vec<Command>,
    ) -> StartAttempt {
        let knobs = &self.fleet.workspaces.rows[demand.workspace].knobs;
        let limit = knobs.running_limit;
        let running = self.fleet.workspaces.rows[demand.workspace].gangs.len();
        if running >= limit as usize {
            return StartAttempt::Blocked(Reason::RunningLimit { limit });
        }
        let mut reason = None;
        let closed = self.closed_to(job, demand, now);
        for devices in sizes(demand) {
            match self.try_free(job, demand, devices, &closed, now, commands) {
                StartAttempt::Started => return StartAttempt::Started,
                StartAttempt::Blocked(why) => reason = reason.or(Some(why)),
            }
        }
        // An owner may use reserved workers; that is tried before other gangs are stopped for it.
        let unused = self.fleet.workspaces.rows[demand.workspace].unused;
        let owner = unused.holds(&Shape::tightest(demand.devices));
        if owner
            && !closed.is_empty()
            && let StartAttempt::Started =
                self.try_free(job, demand, demand.devices, &[], now, commands)
        {
            return StartAttempt::Started;
        }
        for devices in sizes(demand) {
            if self.try_reclaim(job, demand, devices, now, commands) {
                return StartAttempt::Started;
            }
        }
        StartAttempt::Blocked(reason.unwrap_or(Reason::Queued))
    }

    /// Tries to start on free devices: in the workspace's own cells, then anywhere.
    fn try_free(
        &mut self,
        job: &JobId,
        demand: &Demand,
        devices: u32,
        closed: &[usize],
        now: Duration,
        commands: &mut Vec<Command>,
    ) -> StartAttempt {
        let preference = self.preference(demand);
        let avoids_owners = has_costly_restart(demand, preference.impact);
        let usable = |index: usize, row: &WorkerRow| {
            let kept = if closed.contains(&index) { row.reserved } else { 0 };
            let owners = if avoids_owners { row.bound_by_others(demand.workspace) } else { 0 };
            row.free() & !kept & !owners
        };
        let own = self
            .try_bound(job, demand, devices, now)
            .or_else(|| self.try_open_cell(job, demand, devices, &usable, now));
        if let Some(token) = own {
            self.begin(job, token, commands);
            return StartAttempt::Started;
        }
        let parts = match find(&self.fleet.workers, demand, devices, preference, &usable) {
            Found::Place(parts) => parts,
            Found::NoRoom { best } => {
                return StartAttempt::Blocked(self.no_room(demand, devices, best, closed));
            }
        };
        let admitted = self.admit(job, demand, parts.clone(), &[], Claim::IfItFits, now);
        // Where the gang can't bind a cell of its own guarantee, it may still borrow the devices.
        let admitted = admitted.or_else(|why| match why {
            Reason::ProtectsGuarantee { .. } if demand.reclaimable => {
                self.admit(job, demand, parts, &[], Claim::AsLeased(None), now)
            }
            why => Err(why),
        });
        match admitted {
            Ok(token) => {
                self.begin(job, token, commands);
                StartAttempt::Started
            }
            Err(why) => StartAttempt::Blocked(why),
        }
    }

    /// Tries free devices in cells that the workspace could bind as a whole.
    fn try_open_cell(
        &mut self,
        job: &JobId,
        demand: &Demand,
        devices: u32,
        usable: &impl Usable,
        now: Duration,
    ) -> Option<FencingToken> {
        let preference = self.preference(demand);
        let GuaranteeImpact::Binds(level) = preference.impact else { return None };
        let workers = &self.fleet.workers;
        let in_open_cell = |index: usize, row: &WorkerRow| {
            usable.devices(index, row) & workers.open_cells(index, level)
        };
        match find(workers, demand, devices, preference, &in_open_cell) {
            Found::Place(parts) => self.admit(job, demand, parts, &[], Claim::IfItFits, now).ok(),
            Found::NoRoom { .. } => None,
        }
    }

    /// Tries the free devices of cells that are already bound to the workspace: a gang that starts
    /// there breaks no other cell.
    fn try_bound(
        &mut self,
        job: &JobId,
        demand: &Demand,
        devices: u32,
        now: Duration,
    ) -> Option<FencingToken> {
        let bindings = &self.fleet.workspaces.rows[demand.workspace].cells.bindings();
        let mut rest: BTreeMap<usize, u64> = BTreeMap::new();
        for (worker, devices) in bindings.iter().flat_map(Binding::rest) {
            *rest.entry(worker).or_default() |= devices;
        }
        let capacity: u32 = rest.values().map(|mask| mask.count_ones()).sum();
        if capacity < devices {
            return None;
        }
        let usable =
            |index: usize, row: &WorkerRow| rest.get(&index).map_or(0, |mask| mask & row.free());
        let members: Vec<usize> = rest.keys().copied().collect();
        let groups = within_adjacency(&self.fleet.workers, &members, demand.adjacency);
        let preference = self.preference(demand);
        for members in groups {
            let workers = &self.fleet.workers;
            let found = find_among(workers, &members, demand, devices, preference, &usable);
            if let Found::Place(parts) = found
                && let Ok(token) = self.admit(job, demand, parts, &[], Claim::IfItFits, now)
            {
                return Some(token);
            }
        }
        None
    }

    fn no_room(&self, demand: &Demand, devices: u32, best: u32, closed: &[usize]) -> Reason {
        let open = |_: usize, row: &WorkerRow| row.free();
        let reserved = !closed.is_empty()
            && matches!(
                find(&self.fleet.workers, demand, devices, self.preference(demand), &open),
                Found::Place(_)
            );
        match self.reservations.first() {
            Some(reservation) if reserved => {
                Reason::BehindReservation { job: reservation.job.clone() }
            }
            _ => Reason::NoRoom { need: devices, adjacency: demand.adjacency, best },
        }
    }

    /// Tries to start on devices that other gangs yield.
    fn try_reclaim(
        &mut self,
        job: &JobId,
        demand: &Demand,
        devices: u32,
        now: Duration,
        commands: &mut Vec<Command>,
    ) -> bool {
        let unused = self.fleet.workspaces.rows[demand.workspace].unused;
        let owned = unused.holds(&Shape::tightest(devices));
        if !owned && demand.class != Class::Urgent {
            return false;
        }
        let preference = self.preference(demand);
        let cells =
            if owned { reclaim::cell_plans(&self.fleet, demand, devices, now) } else { Vec::new() };
        let groups = reclaim::group_plans(&self.fleet, demand, devices, owned, preference, now);
        for plan in cells.into_iter().chain(groups) {
            let victims: Vec<_> = plan.victims.keys().copied().collect();
            if let Ok(token) = self.admit(job, demand, plan.parts, &victims, Claim::IfItFits, now) {
                if victims.is_empty() {
                    self.begin(job, token, commands);
                    return true;
                }
                self.begin_reclaim(job, token, plan.victims, now, commands);
                return true;
            }
        }
        false
    }

    /// Adds a gang to the tables if the limits allow it and no more devices are then missing for
    /// the guarantees than before.
    ///
    /// `victims` are the gangs that yield to the new gang.
    fn admit(
        &mut self,
        job: &JobId,
        demand: &Demand,
        parts: Vec<IndexedPart>,
        victims: &[FencingToken],
        claim: Claim,
        now: Duration,
    ) -> Result<FencingToken, Reason> {
        let short_before = self.fleet.missing_cells();
        let borrowed_before = self.fleet.workspaces.rows[demand.workspace].borrowed_devices;
        let removed: Vec<Gang> =
            victims.iter().filter_map(|token| self.fleet.remove(*token)).collect();
        let token = self.next_token(now);
        let gang = self.new_gang(job, demand, token, parts, now);
        self.fleet.insert(gang, claim);
        let mut result = self.check_admission(demand, token, short_before, borrowed_before);
        // No gang is stopped for work that would itself borrow, unless that work is urgent.
        let borrows = !self.fleet.gangs[&token].owned;
        if !victims.is_empty() && borrows && demand.class != Class::Urgent {
            result = result.and(Err(Reason::NeedsOwnCells));
        }
        if result.is_err() {
            self.fleet.remove(token);
        }
        for mut gang in removed {
            if result.is_ok() {
                gang.yields_to = Some(job.clone());
            }
            let yields = gang.yields_to.is_some();
            let token = gang.meta.token;
            let claim = Claim::AsLeased(gang.meta.cell.filter(|_| gang.owned));
            self.fleet.insert(gang, claim);
            if yields {
                self.fleet.withdraw_lent(token);
            }
        }
        result.map(|()| token)
    }

    fn check_admission(
        &self,
        demand: &Demand,
        token: FencingToken,
        short_before: Shape,
        borrowed_before: u32,
    ) -> Result<(), Reason> {
        let short = self.fleet.missing_cells();
        if short.devices() > short_before.devices() {
            return Err(Reason::ProtectsGuarantee { short });
        }
        let row = &self.fleet.workspaces.rows[demand.workspace];
        let limit = row.knobs.borrow_limit;
        if row.borrowed_devices > limit && row.borrowed_devices > borrowed_before {
            return Err(Reason::BorrowLimit { held: borrowed_before, limit });
        }
        let gang = &self.fleet.gangs[&token];
        if gang.owned {
            return Ok(());
        }
        if !demand.reclaimable {
            return Err(Reason::NeedsOwnCells);
        }
        let free = self.fleet.workers.free_devices;
        let kept = self.fleet.workspaces.unlent_devices;
        if free < kept {
            let lendable = (free + gang.devices()).saturating_sub(kept);
            return Err(Reason::LendLimit { lendable });
        }
        Ok(())
    }

    fn new_gang(
        &self,
        job: &JobId,
        demand: &Demand,
        token: FencingToken,
        parts: Vec<IndexedPart>,
        now: Duration,
    ) -> Gang {
        let spec = &self.jobs[job].spec;
        let gang = spec.gang.as_ref();
        let devices = parts.iter().map(|(_, devices)| devices.count_ones()).sum();
        let meta = LeaseMeta {
            job: job.clone(),
            workspace: spec.workspace.clone(),
            class: spec.class,
            token,
            holder: self.holder.clone(),
            gang_devices: devices,
            min_devices: demand.smallest,
            reclaimable: demand.reclaimable,
            cell: None,
            checkpointable: gang.is_some_and(|gang| gang.checkpointable),
            started: now,
            expected_end: gang
                .and_then(super::super::job::GangSpec::expected_run)
                .map(|run| now + run),
        };
        Gang {
            meta,
            workspace: demand.workspace,
            parts,
            owned: false,
            yields_to: None,
            local: true,
            running: false,
            cores_per_device: demand.cores,
            memory_per_device: demand.memory,
        }
    }

    /// Removes a job from the queue and adds the command to start its gang.
    pub(super) fn begin(&mut self, job: &JobId, token: FencingToken, commands: &mut Vec<Command>) {
        self.dequeue(job);
        let Some(row) = self.jobs.get_mut(job) else {
            return;
        };
        row.state = JobState::Starting { token };
        row.reason = Reason::Starting;
        let gang = &self.fleet.gangs[&token];
        commands.push(Command::Start {
            job: job.clone(),
            meta: gang.meta.clone(),
            placement: self.fleet.placement(&gang.parts),
        });
    }
}

/// Returns whether a gang that borrows would lose much work when an owner reclaims its devices.
///
/// Such a gang isn't placed on cells whose owner is active.
fn has_costly_restart(demand: &Demand, impact: GuaranteeImpact) -> bool {
    const LARGE: u32 = 8;
    const SHORT_MS: u64 = 15 * 60 * 1_000;
    let short = demand.expected_ms.is_some_and(|ms| ms <= SHORT_MS);
    impact == GuaranteeImpact::Borrows { checkpointable: false }
        && demand.devices >= LARGE
        && !short
}

/// Divides workers into the groups within which an adjacency lets a gang spread.
fn within_adjacency(
    workers: &WorkerTable,
    members: &[usize],
    adjacency: Adjacency,
) -> Vec<Vec<usize>> {
    let mut groups: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    for member in members {
        let row = &workers.rows[*member];
        let group = match adjacency {
            Adjacency::Worker => *member,
            Adjacency::Rack => row.rack,
            Adjacency::FailureDomain => row.failure_domain,
            Adjacency::Any => 0,
        };
        groups.entry(group).or_default().push(*member);
    }
    groups.into_values().collect()
}

/// Returns the sizes to try: the full one, then repeatedly half of that, down to the smallest.
fn sizes(demand: &Demand) -> Vec<u32> {
    let mut sizes = vec![demand.devices];
    let mut devices = demand.devices / 2;
    while devices > demand.smallest {
        sizes.push(devices);
        devices /= 2;
    }
    if demand.smallest < demand.devices {
        sizes.push(demand.smallest);
    }
    sizes
}
