//! The system that reclaims devices: asks gangs to yield and tracks until they have.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    fleet::Claim,
    ids::{FencingToken, JobId},
    place::IndexedPart,
    reason::Reason,
    reclaim::Yield,
    tables::{JobRow, JobState},
    topology::Placement,
};

use super::{Command, Planner, YieldKind};

impl Planner {
    pub(super) fn begin_reclaim(
        &mut self,
        job: &JobId,
        token: FencingToken,
        victims: BTreeMap<FencingToken, Yield>,
        now: Duration,
        commands: &mut Vec<Command>,
    ) {
        self.dequeue(job);
        let from: Vec<FencingToken> = victims.keys().copied().collect();
        for (victim, how) in victims {
            self.ask_to_yield(victim, how, job, commands);
        }
        let names = self.job_names(&from);
        if let Some(row) = self.jobs.get_mut(job) {
            row.state = JobState::Reclaiming { token, from };
            row.reason = Reason::Reclaiming { from: names };
        }
        self.reclaiming.insert(job.clone(), now);
    }

    fn job_names(&self, tokens: &[FencingToken]) -> Vec<JobId> {
        tokens
            .iter()
            .filter_map(|token| self.fleet.gangs.get(token))
            .map(|gang| gang.meta.job.clone())
            .collect()
    }

    pub(super) fn ask_to_yield(
        &self,
        token: FencingToken,
        how: Yield,
        for_job: &JobId,
        commands: &mut Vec<Command>,
    ) {
        let Some(gang) = self.fleet.gangs.get(&token) else {
            return;
        };
        let how = match how {
            Yield::Shrink { keep } => YieldKind::Shrink { keep: self.fleet.placement(&keep) },
            Yield::Checkpoint => YieldKind::Checkpoint,
            Yield::Stop => YieldKind::Stop,
        };
        commands.push(Command::Yield {
            token,
            job: gang.meta.job.clone(),
            holder: gang.meta.holder.clone(),
            how,
            parts: self.fleet.placement(&gang.parts),
            for_job: for_job.clone(),
        });
    }

    /// Starts the jobs whose devices have all been reclaimed, and repeats requests to yield after
    /// `yield_again_ms`.
    pub(super) fn advance_reclaims(&mut self, now: Duration, commands: &mut Vec<Command>) {
        let again = Duration::from_millis(self.settings.yield_again_ms);
        let jobs: Vec<(JobId, Duration)> =
            self.reclaiming.iter().map(|(job, since)| (job.clone(), *since)).collect();
        for (job, since) in jobs {
            let Some(JobRow { state: JobState::Reclaiming { token, from }, .. }) =
                self.jobs.get(&job)
            else {
                self.reclaiming.remove(&job);
                continue;
            };
            let token = *token;
            let left: Vec<FencingToken> =
                from.iter().copied().filter(|victim| self.still_yields(*victim, &job)).collect();
            if left.is_empty() {
                self.reclaiming.remove(&job);
                self.begin(&job, token, commands);
            } else if now.saturating_sub(since) >= again {
                self.reclaiming.insert(job.clone(), now);
                for victim in left {
                    self.ask_again(victim, token, &job, commands);
                }
            }
        }
    }

    fn still_yields(&self, victim: FencingToken, job: &JobId) -> bool {
        self.fleet.gangs.get(&victim).is_some_and(|gang| gang.yields_to.as_ref() == Some(job))
    }

    fn ask_again(
        &self,
        victim: FencingToken,
        taker: FencingToken,
        job: &JobId,
        commands: &mut Vec<Command>,
    ) {
        let (Some(gang), Some(taker)) =
            (self.fleet.gangs.get(&victim), self.fleet.gangs.get(&taker))
        else {
            return;
        };
        let how = crate::reclaim::choose_yield(gang, &taker.parts);
        self.ask_to_yield(victim, how, job, commands);
    }

    /// Reports that a gang returned devices and continues with `keep`.
    pub fn shrunk(&mut self, token: FencingToken, keep: &Placement, now: Duration) {
        let keep: Vec<IndexedPart> = keep
            .iter()
            .filter_map(|part| Some((self.fleet.workers.index(&part.worker)?, part.devices)))
            .collect();
        let Some(workspace) = self.fleet.gangs.get(&token).map(|gang| gang.workspace) else {
            return;
        };
        self.fleet.workspaces.rows[workspace].accrue(now);
        let Some(mut gang) = self.fleet.remove(token) else {
            return;
        };
        let devices = keep.iter().map(|(_, devices)| devices.count_ones()).sum();
        gang.parts = keep;
        gang.meta.gang_devices = devices;
        let for_job = gang.yields_to.take();
        let job = gang.meta.job.clone();
        let claim = Claim::AsLeased(gang.meta.cell.filter(|_| gang.owned));
        self.fleet.insert(gang, claim);
        self.capacity_gained = true;
        if let (Some(row), Some(for_job)) = (self.jobs.get_mut(&job), for_job) {
            row.reason = Reason::ShrunkFor { job: for_job, devices };
        }
    }

    /// Reports that a gang was checkpointed or stopped and all its devices are free.
    ///
    /// If the gang belongs to a job of this planner, the job waits again and its id is returned.
    pub fn stopped(&mut self, token: FencingToken, now: Duration) -> Option<JobId> {
        let gang = self.fleet.gangs.get(&token)?;
        let (job, local) = (gang.meta.job.clone(), gang.local);
        let for_job = gang.yields_to.clone();
        if !local {
            self.drop_gang(token, now);
            return None;
        }
        match for_job {
            Some(for_job) => {
                let workspace = self.workspace_of(&for_job);
                self.wait_again(&job, Reason::StoppedFor { job: for_job, workspace }, now);
            }
            None => self.leave_to_others(token, &job, now),
        }
        Some(job)
    }

    /// Leaves the devices of a gang that another planner had stopped to that planner's job for
    /// `LEFT_FOR`. If this planner used them at once for its own waiting jobs, the other job's
    /// planner would have to reclaim them again.
    fn leave_to_others(&mut self, token: FencingToken, job: &JobId, now: Duration) {
        const LEFT_FOR: Duration = Duration::from_secs(1);
        if let Some(gang) = self.fleet.gangs.get_mut(&token) {
            gang.local = false;
            gang.running = false;
        }
        self.left_to_others.push((token, now + LEFT_FOR));
        self.requeue(job, Reason::Lost, now);
    }

    /// Frees devices that were left to another planner's job once the time for it has passed.
    pub(super) fn free_devices_left_to_others(&mut self, now: Duration) {
        let (over, left) =
            std::mem::take(&mut self.left_to_others).into_iter().partition(|(_, at)| *at <= now);
        self.left_to_others = left;
        let over: Vec<(FencingToken, Duration)> = over;
        for (token, _) in over {
            self.drop_gang(token, now);
        }
    }

    fn workspace_of(&self, job: &JobId) -> crate::ids::WorkspaceId {
        self.jobs.get(job).map_or_else(|| "".into(), |row| row.spec.workspace.clone())
    }
}
