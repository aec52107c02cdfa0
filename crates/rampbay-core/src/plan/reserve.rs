//! The system that reserves workers for large gangs that have waited long, and moves small gangs
//! off them.

use std::time::Duration;

use crate::{
    ids::{FencingToken, JobId, WorkerIndex},
    job::{Adjacency, Class},
    place::{Found, find},
    reason::Reason,
    reclaim::Yield,
    tables::{Demand, Gang, WorkerRow},
};

use super::{Command, Planner};

/// Workers reserved for one job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Reservation {
    pub job: JobId,
    pub workers: Vec<WorkerIndex>,
    /// When the workers are expected to be free.
    pub ready_at: Duration,
}

/// Number of workers in the fleet for each reservation that may exist at a time.
const WORKERS_PER_RESERVATION: usize = 5;
const MINUTE: Duration = Duration::from_secs(60);
/// Least remaining run time that is assumed of a gang without an expected end.
const MIN_REMAINING: Duration = Duration::from_secs(60);

/// Returns whether a checkpointable gang is small enough to yield to a starving one even if it fits
/// nowhere else.
fn is_small(gang: &Gang, demand: &Demand) -> bool {
    const TIMES_SMALLER: u32 = 3;
    gang.running
        && gang.meta.checkpointable
        && gang.meta.reclaimable
        && gang.meta.class >= demand.class
        && gang.devices() * TIMES_SMALLER <= demand.devices
}

impl Planner {
    /// Returns the workers that are reserved for other jobs and that `job` would hold too long.
    pub(super) fn closed_to(
        &self,
        job: &JobId,
        demand: &Demand,
        now: Duration,
    ) -> Vec<WorkerIndex> {
        if demand.class == Class::Urgent {
            return Vec::new();
        }
        let ends = demand.expected_ms.map(|ms| now + Duration::from_millis(ms));
        self.reservations
            .iter()
            .filter(|reservation| reservation.job != *job)
            .filter(|reservation| ends.is_none_or(|ends| ends > reservation.ready_at))
            .flat_map(|reservation| reservation.workers.iter().copied())
            .collect()
    }

    pub(super) fn release_reservation(&mut self, job: &JobId) {
        let Some(at) = self.reservations.iter().position(|kept| kept.job == *job) else {
            return;
        };
        let reservation = self.reservations.remove(at);
        self.mark_reserved(&reservation.workers, false);
        self.capacity_gained = true;
    }

    pub(super) fn reserve_for_starving(&mut self, now: Duration, commands: &mut Vec<Command>) {
        let most = self.fleet.workers.rows.len().div_ceil(WORKERS_PER_RESERVATION);
        if self.reservations.len() < most
            && let Some((job, demand)) = self.most_starved(now)
            && let Some(reservation) = self.choose_workers(&job, &demand, now)
        {
            self.mark_reserved(&reservation.workers, true);
            self.reservations.push(reservation);
        }
        self.renew_reservations(now);
        self.clear_reserved_workers(now, commands);
    }

    /// Moves a reservation to workers that are expected to be free more than `MIN_GAIN` sooner.
    fn renew_reservations(&mut self, now: Duration) {
        const MIN_GAIN: Duration = Duration::from_secs(600);
        for at in 0..self.reservations.len() {
            let old = self.reservations[at].clone();
            if old.ready_at <= now + MIN_GAIN {
                continue;
            }
            let row = &self.jobs[&old.job];
            let Some(demand) = Demand::of(&row.spec, row.workspace) else { continue };
            self.mark_reserved(&old.workers, false);
            let better = self.choose_workers(&old.job, &demand, now);
            let chosen = better.filter(|new| new.ready_at + MIN_GAIN < old.ready_at).unwrap_or(old);
            self.mark_reserved(&chosen.workers, true);
            self.reservations[at] = chosen;
        }
    }

    fn mark_reserved(&mut self, workers: &[WorkerIndex], reserved: bool) {
        for worker in workers {
            let row = &mut self.fleet.workers.rows[*worker];
            row.reserved = if reserved { row.spec.all_devices() } else { 0 };
        }
    }

    /// Returns the job that has waited longest for free devices, if at least `reserve_after_ms`.
    fn most_starved(&self, now: Duration) -> Option<(JobId, Demand)> {
        let limit = Duration::from_millis(self.settings.reserve_after_ms);
        let lacks_devices = |reason: &Reason| {
            matches!(reason, Reason::NoRoom { .. } | Reason::BehindReservation { .. })
        };
        self.blocked
            .iter()
            .filter(|(_, reason)| lacks_devices(reason))
            .filter_map(|(demand, _)| Some((self.queue.get(demand)?.front()?, demand)))
            .filter(|(job, _)| !self.reservations.iter().any(|kept| kept.job == **job))
            .filter(|(job, _)| now.saturating_sub(self.jobs[*job].arrived) >= limit)
            .min_by_key(|(job, demand)| self.aged_arrival(job, demand.class))
            .map(|(job, demand)| (job.clone(), demand.clone()))
    }

    /// Returns a job's arrival time plus a delay for its class. Less urgent classes go later, but
    /// the delay is fixed, so that no job waits forever behind more urgent ones.
    pub(super) fn aged_arrival(&self, job: &JobId, class: Class) -> Duration {
        let class_delay = match class {
            Class::Urgent => Duration::ZERO,
            Class::Normal => Duration::from_secs(1_800),
            Class::Batch => Duration::from_secs(2 * 3_600),
        };
        self.jobs[job].arrived + class_delay
    }

    /// Chooses the workers that are expected to be free soonest.
    fn choose_workers(&self, job: &JobId, demand: &Demand, now: Duration) -> Option<Reservation> {
        let workers = &self.fleet.workers;
        let all: Vec<Vec<WorkerIndex>> = match demand.adjacency {
            Adjacency::Worker => (0..workers.rows.len()).map(|index| vec![index]).collect(),
            Adjacency::Rack => workers.racks.clone(),
            Adjacency::FailureDomain => workers.failure_domains.clone(),
            Adjacency::Any => vec![(0..workers.rows.len()).collect()],
        };
        all.iter()
            .filter_map(|members| self.soonest(members, demand, now))
            .min_by_key(|(ready_at, workers)| (*ready_at, workers.len()))
            .map(|(ready_at, workers)| Reservation { job: job.clone(), workers, ready_at })
    }

    fn soonest(
        &self,
        members: &[WorkerIndex],
        demand: &Demand,
        now: Duration,
    ) -> Option<(Duration, Vec<WorkerIndex>)> {
        let mut free_at: Vec<(Duration, WorkerIndex)> = members
            .iter()
            .filter(|index| self.fleet.workers.rows[**index].reserved == 0)
            .map(|index| {
                let free_at = self.worker_free_at(*index, now, |gang| is_small(gang, demand));
                (free_at + self.owners_delay(*index, demand), *index)
            })
            .collect();
        free_at.sort_unstable();
        let mut devices = 0;
        let mut chosen = Vec::new();
        for (at, worker) in free_at {
            devices += self.fleet.workers.rows[worker].present.count_ones();
            chosen.push(worker);
            if devices >= demand.smallest {
                return Some((at, chosen));
            }
        }
        None
    }

    /// Returns the delay added for a worker that another workspace's cell is bound to: its owner is
    /// expected to keep using the cell.
    fn owners_delay(&self, worker: WorkerIndex, demand: &Demand) -> Duration {
        const OWNER_DELAY: Duration = Duration::from_secs(4 * 3_600);
        let row = &self.fleet.workers.rows[worker];
        let foreign = row.bound.iter().any(|part| part.workspace != demand.workspace);
        if foreign { OWNER_DELAY } else { Duration::ZERO }
    }

    /// Returns when a worker is expected to be free.
    ///
    /// Gangs that already yield or for which `is_removable` is true count as gone by `now`.
    fn worker_free_at(
        &self,
        worker: WorkerIndex,
        now: Duration,
        is_removable: impl Fn(&Gang) -> bool,
    ) -> Duration {
        let ends = |gang: &Gang| {
            if gang.yields_to.is_some() || is_removable(gang) {
                return now;
            }
            let elapsed = now.saturating_sub(gang.meta.started);
            gang.meta.expected_end.unwrap_or(now + elapsed.max(MIN_REMAINING)).max(now)
        };
        let row: &WorkerRow = &self.fleet.workers.rows[worker];
        let gangs = row.holders.iter().filter_map(|holder| self.fleet.gangs.get(&holder.token));
        gangs.map(ends).max().unwrap_or(now)
    }

    /// Updates when each reservation is expected to be ready, and asks movable gangs on reserved
    /// workers to checkpoint.
    fn clear_reserved_workers(&mut self, now: Duration, commands: &mut Vec<Command>) {
        while self.move_times.front().is_some_and(|at| now.saturating_sub(*at) > MINUTE) {
            self.move_times.pop_front();
        }
        for at in 0..self.reservations.len() {
            // Gangs that yield or can be moved don't count: backfill jobs may use the workers only
            // until the other gangs have ended.
            let reservation = self.reservations[at].clone();
            let blockers = reservation.workers.iter().map(|worker| {
                self.worker_free_at(*worker, now, |gang| self.is_movable(gang, &reservation, now))
            });
            self.reservations[at].ready_at = blockers.max().unwrap_or(now);
        }
        let reservations = self.reservations.clone();
        for reservation in reservations {
            // A move pays off only if all reserved workers will be free soon.
            if reservation.ready_at > now + MINUTE {
                continue;
            }
            for token in self.movable(&reservation, now) {
                if self.move_times.len() >= self.settings.moves_per_minute as usize {
                    return;
                }
                self.move_times.push_back(now);
                if let Some(gang) = self.fleet.gangs.get_mut(&token) {
                    gang.yields_to = Some(reservation.job.clone());
                }
                self.ask_to_yield(token, Yield::Checkpoint, &reservation.job, commands);
            }
        }
    }

    /// Returns the gangs on reserved workers that can be moved.
    fn movable(&self, reservation: &Reservation, now: Duration) -> Vec<FencingToken> {
        let mut tokens: Vec<FencingToken> = reservation
            .workers
            .iter()
            .flat_map(|worker| self.fleet.workers.rows[*worker].holders.iter())
            .map(|holder| holder.token)
            .collect();
        tokens.sort_unstable();
        tokens.dedup();
        tokens.retain(|token| {
            let gang = self.fleet.gangs.get(token);
            gang.is_some_and(|gang| self.is_movable(gang, reservation, now))
        });
        tokens
    }

    /// Returns whether a gang on reserved workers can be moved: it can be checkpointed, would run
    /// for longer than a minute, and fits elsewhere now or is so small that it will soon.
    fn is_movable(&self, gang: &Gang, reservation: &Reservation, now: Duration) -> bool {
        let left = gang.meta.expected_end.map(|end| end.saturating_sub(now));
        let stays = left.is_none_or(|left| left > MINUTE);
        let row = &self.jobs[&reservation.job];
        let small =
            Demand::of(&row.spec, row.workspace).is_some_and(|demand| is_small(gang, &demand));
        gang.running
            && gang.meta.checkpointable
            && gang.meta.reclaimable
            && gang.yields_to.is_none()
            && stays
            && (small || self.fits_elsewhere(gang, reservation))
    }

    fn fits_elsewhere(&self, gang: &Gang, reservation: &Reservation) -> bool {
        let demand = Demand {
            class: gang.meta.class,
            workspace: gang.workspace,
            devices: gang.devices(),
            smallest: gang.devices(),
            adjacency: Adjacency::Rack,
            reclaimable: true,
            checkpointable: true,
            cores: gang.cores_per_device,
            memory: gang.memory_per_device,
            expected_ms: None,
        };
        let usable = |index: WorkerIndex, row: &WorkerRow| {
            if reservation.workers.contains(&index) { 0 } else { row.free() & !row.reserved }
        };
        let preference = self.preference(&demand);
        let found = find(&self.fleet.workers, &demand, gang.devices(), preference, &usable);
        matches!(found, Found::Place(_))
    }
}
