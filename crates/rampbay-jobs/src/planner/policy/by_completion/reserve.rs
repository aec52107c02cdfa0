//! Workers that are kept idle for urgent work.
//!
//! Load: urgent gangs with 0.3 to 0.9 s to spare. A stop, its end and the next start take 0.3 to 0.6 s, so a gang that
//! has to wait for stops ends late, and the stopped work is lost as well. Other work may take three times as long as it
//! needs. So some workers take only urgent work, as many as that has needed lately. They are the fastest ones, since a
//! gang runs at the pace of its slowest member, and from few racks, since most urgent gangs want to run in one.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use crate::job::InstanceId;
use crate::metrics::metrics;
use crate::planner::WorkerIndex;
use crate::planner::completion::room::RoomScope;
use crate::planner::fit::Need;
use crate::planner::fleet_state::FleetState;
use crate::planner::policy::{RunChange, RunEvent, StepQuestion};

use super::demand::UrgentDemand;
use super::questions::{Questions, Reason};

/// Share of the usable workers that is reserved until the demand is known, in percent: the middle of the range.
const UNKNOWN_DEMAND_PERCENT: usize = 20;
/// Smallest share, in percent, since the next burst may be larger than those seen.
const MIN_PERCENT: usize = 10;
/// Largest share, in percent, so that other work isn't starved for urgent work that may not come.
const MAX_PERCENT: usize = 30;
/// Time before its latest start from which work that isn't urgent may use the reserve where the estimate doesn't say
/// when it would end, in milliseconds: half of the time that a task of most queues takes.
const LEAD_TIME_MS: u64 = 4_000;
/// Time before its latest start from which the estimate is asked, in milliseconds. Tasks of most queues take up to 10 s,
/// and three times that if they are spread, so nearly all runs end within it.
const ASK_BEFORE_MS: u64 = 30_000;
/// Time for which other work leaves the reserve alone on a fleet that is half idle, in milliseconds. A job that waits
/// for 3 s beside free capacity breaks the users' rule, and a gang may wait for one rack after this.
const IDLE_FLEET_WAIT_MS: u64 = 800;
/// This time for work that was stopped for others, from the stop on. Started on the reserve, it would be in the way of
/// the next burst; for longer, the users' rule would be broken.
const IDLE_FLEET_WAIT_OF_PREEMPTED: Duration = Duration::from_millis(2_300);
/// Share of the accelerators in use below which the fleet is half idle, in percent: the users' rule holds below 50, and
/// measures the load in another way.
pub const IDLE_BELOW_PERCENT: u64 = 60;
/// Smallest time between two log lines on the number of reserved workers.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Smallest change of this number that is logged, as a part of it.
const MIN_LOGGED_CHANGE: usize = 10;

/// The reserve, and what was logged of it.
#[derive(Debug, Default)]
pub struct Reserve {
    /// The workers reserved in the last round that placed work, without those that were used since.
    members: HashSet<InstanceId>,
    /// The number of workers that was last logged, and when.
    logged: Option<(usize, Duration)>,
}

impl Reserve {
    /// Drops the workers at which something has been started since the last round.
    pub fn update(&mut self, events: &[RunEvent]) {
        for event in events {
            if let RunChange::Started { instance } = &event.change {
                self.members.remove(instance);
            }
        }
    }

    /// Chooses idle workers for the reserve: first those that are in it already, then the fastest, and among these the
    /// racks with the most idle workers.
    pub fn choose(
        &mut self,
        fleet: &FleetState,
        demand: &UrgentDemand,
        now: Duration,
    ) -> Vec<WorkerIndex> {
        let usable = fleet.workers.iter().filter(|worker| worker.usable).count();
        let target = target(usable, demand);
        let mut chosen: Vec<WorkerIndex> =
            (0..fleet.workers.len()).filter(|&place| is_candidate(fleet, place)).collect();
        let mut idle_in_rack = vec![0_usize; fleet.racks.len()];
        for &place in &chosen {
            idle_in_rack[fleet.workers[place].rack] += 1;
        }
        chosen.sort_by_key(|&place| {
            let worker = &fleet.workers[place];
            let is_new = !self.members.contains(&worker.instance);
            (is_new, worker.speed, Reverse(idle_in_rack[worker.rack]), worker.rack)
        });
        chosen.truncate(target);
        self.members = chosen.iter().map(|&place| fleet.workers[place].instance.clone()).collect();
        metrics().reserved_workers.set(chosen.len() as i64);
        self.log_target(target, usable, demand, now);
        chosen
    }

    fn log_target(&mut self, target: usize, usable: usize, demand: &UrgentDemand, now: Duration) {
        let has_changed = |before: usize| target.abs_diff(before) * MIN_LOGGED_CHANGE > before;
        let should_log = self.logged.is_none_or(|(before, at)| {
            has_changed(before) && now.saturating_sub(at) >= MIN_LOG_INTERVAL
        });
        if !should_log {
            return;
        }
        log::info!(
            "event=J192 reserve changed workers={target} before={} idle={} usable={usable} known={} peak={} widest_gang={}",
            self.logged.map_or(0, |(before, _)| before),
            self.members.len(),
            demand.workers().is_some(),
            demand.peak(),
            demand.widest_gang()
        );
        self.logged = Some((target, now));
    }
}

/// Returns how many workers are to be reserved.
fn target(usable: usize, demand: &UrgentDemand) -> usize {
    let share = |percent: usize| usable * percent / 100;
    demand.workers().map_or_else(
        || share(UNKNOWN_DEMAND_PERCENT),
        |needed| needed.clamp(share(MIN_PERCENT), share(MAX_PERCENT)),
    )
}

/// Returns whether a worker may be reserved: it is idle and may be assigned work.
fn is_candidate(fleet: &FleetState, place: WorkerIndex) -> bool {
    let worker = &fleet.workers[place];
    worker.usable && !worker.avoided && fleet.is_idle(place)
}

/// Returns whether a step may use the reserve: urgent work, work that would end late without it, and other work on a
/// fleet that is half idle. `need` is what the step needs if it doesn't use the reserve, and `preempted_at` is when a
/// task of it was last stopped for others.
pub fn may_use_reserve(
    question: &StepQuestion<'_>,
    need: &Need<'_>,
    preempted_at: Option<Duration>,
    questions: &Questions,
) -> bool {
    let inputs = question.inputs();
    if question.waiting.is_urgent() || ends_late_without(question, need, questions) {
        return true;
    }
    if question.fleet.percent_used() >= IDLE_BELOW_PERCENT {
        return false;
    }
    preempted_at.map_or_else(
        || question.waited_ms() >= IDLE_FLEET_WAIT_MS,
        |at| inputs.now.saturating_sub(at) >= IDLE_FLEET_WAIT_OF_PREEMPTED,
    )
}

/// Returns whether a step would end late if it didn't use the reserve.
fn ends_late_without(question: &StepQuestion<'_>, need: &Need<'_>, questions: &Questions) -> bool {
    let (wall, waiting) = (question.inputs().wall, question.waiting);
    if waiting.is_late(wall) {
        return true;
    }
    let is_nearly_late = wall + LEAD_TIME_MS > waiting.latest_start;
    if wall + ASK_BEFORE_MS <= waiting.latest_start || !questions.may_ask(question, 1) {
        return is_nearly_late;
    }
    let room = question.room(need, RoomScope::Anywhere);
    // More single tasks than there is room for at once start one after the other, of which the estimate says nothing.
    if room.is_none() && !need.step.gang {
        return is_nearly_late;
    }
    let is_late = room.as_ref().is_none_or(|room| !question.is_in_time(room.times.end.ms));
    if is_late && !is_nearly_late {
        questions.note(question, Reason::LateWithoutReserve, None, room.map(|room| room.times));
    }
    is_late
}
