//! Read access to the planner's tables.

use std::time::Duration;

use crate::{
    ids::{FencingToken, JobId},
    job::{Adjacency, Class},
    place::{Found, Preference, find, largest},
    reason::Reason,
    shape::Shape,
    tables::{Demand, JobState, WorkerRow},
    topology::Placement,
};

use super::{Explanation, Planner, WorkspaceView, gang_token};

impl Planner {
    /// Explains a job's state.
    #[must_use]
    pub fn explain(&self, job: &str, now: Duration) -> Option<Explanation> {
        let (id, row) = self.jobs.get_key_value(job)?;
        let demand = Demand::of(&row.spec, row.workspace)?;
        let waits = row.state == JobState::Waiting;
        let mut reason = row.reason.clone();
        if waits && let Some(blocked) = self.blocked.get(&demand) {
            reason = blocked.clone();
        }
        if let JobState::Running { token } = row.state
            && matches!(reason, Reason::Running { .. })
            && let Some(gang) = self.fleet.gangs.get(&token)
        {
            reason = Reason::Running { devices: gang.devices(), borrowed: !gang.owned };
        }
        let position = self.queue.get(&demand).and_then(|jobs| jobs.iter().position(|j| j == id));
        Some(Explanation {
            job: id.clone(),
            reason,
            age: now.saturating_sub(row.arrived),
            waiting: if waits { now.saturating_sub(row.waiting_since) } else { Duration::ZERO },
            ahead: position.map_or(0, |at| u32::try_from(at).unwrap_or(u32::MAX)),
        })
    }

    /// Returns the jobs in the tables, in order of id.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.keys()
    }

    /// Returns the number of jobs that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.values().map(std::collections::VecDeque::len).sum()
    }

    /// Returns the counts of every workspace in the table.
    #[must_use]
    pub fn workspaces(&self) -> Vec<WorkspaceView> {
        let rows = self.fleet.workspaces.rows.iter().filter(|row| !row.removed);
        rows.map(|row| WorkspaceView {
            workspace: row.name.clone(),
            held: row.held_devices,
            borrowed: row.borrowed_devices,
            running: u32::try_from(row.gangs.len()).unwrap_or(u32::MAX),
            waiting: row.waiting,
            unused: row.unused,
        })
        .collect()
    }

    /// Returns the token and the parts of a job's gang, if it has devices.
    #[must_use]
    pub fn gang_of(&self, job: &str) -> Option<(FencingToken, Placement)> {
        let token = gang_token(&self.jobs.get(job)?.state)?;
        let gang = self.fleet.gangs.get(&token)?;
        Some((token, self.fleet.placement(&gang.parts)))
    }

    /// Returns the cells that are missing for all unused guarantees, empty if none is.
    #[must_use]
    pub fn missing_cells(&self) -> Shape {
        self.fleet.missing_cells()
    }

    /// Returns whether cells are missing for the guarantees in the current state, and fewer devices
    /// would be missing without the gang of `token`.
    #[must_use]
    pub fn violates_guarantee(&self, token: FencingToken) -> bool {
        let short = self.fleet.missing_cells().devices();
        if short == 0 {
            return false;
        }
        let mut without = self.fleet.clone();
        without.remove(token);
        without.missing_cells().devices() < short
    }

    /// Returns the number of free devices.
    #[must_use]
    pub fn free_devices(&self) -> u32 {
        self.fleet.workers.free_devices
    }

    /// Returns the number of working devices, used or free, in the largest place for an adjacency.
    #[must_use]
    pub fn largest(&self, adjacency: Adjacency) -> u32 {
        largest(&self.fleet.workers, adjacency)
    }

    /// Returns the number of working devices.
    #[must_use]
    pub fn present_devices(&self) -> u32 {
        self.fleet.workers.rows.iter().map(|row| row.present.count_ones()).sum()
    }

    /// Returns the free devices of each rack.
    #[must_use]
    pub fn free_by_rack(&self) -> Vec<u32> {
        self.fleet.workers.rack_free.clone()
    }

    /// Returns whether a gang of `devices` fits into the free devices of one rack.
    #[must_use]
    pub fn has_room(&self, devices: u32) -> bool {
        let demand = Demand {
            class: Class::Normal,
            workspace: 0,
            devices,
            smallest: devices,
            adjacency: Adjacency::Rack,
            reclaimable: true,
            checkpointable: true,
            cores: 0,
            memory: 0,
            expected_ms: None,
        };
        let first = Preference::default();
        let free = |_: usize, row: &WorkerRow| row.free();
        matches!(find(&self.fleet.workers, &demand, devices, first, &free), Found::Place(_))
    }

    /// Returns how many times devices are held more than once; any value but 0 is a fault.
    ///
    /// Gangs that wait for devices to be reclaimed for them don't count.
    #[must_use]
    pub fn doubly_held(&self) -> u32 {
        let overlaps = |row: &WorkerRow| {
            let held: u32 = row
                .holders
                .iter()
                .filter(|holder| {
                    let gang = &self.fleet.gangs[&holder.token];
                    let job = self.jobs.get(&gang.meta.job);
                    !matches!(job.map(|job| &job.state), Some(JobState::Reclaiming { .. }))
                })
                .map(|holder| holder.devices.count_ones())
                .sum();
            held.saturating_sub(row.used.count_ones())
        };
        self.fleet.workers.rows.iter().map(overlaps).sum()
    }
}
