//! The dispatcher of an entry process: from an admitted request to its one outcome.
//!
//! # What makes "not run" true
//!
//! A request is settled as [`Outcome::NotRun`] only if no attempt of it was sent, or if for each
//! attempt the incarnation that it was meant for has answered that it didn't start the attempt and
//! won't. An attempt whose side process sent no more reports or was restarted is never counted as
//! not run. Repeatable work is then tried elsewhere; other work ends as [`Outcome::Unknown`].

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use bytes::Bytes;
use rampbay_core::{
    ids::{Incarnation, JobId, ProcessId, WorkspaceId},
    job::JobSpec,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    fair::FairQueue,
    message::{
        Accepted, AttemptId, AttemptResult, Cancel, CancelAck, CancelResult, Dispatch, Failure,
        Load, NotRun, Outcome, Reply, Unknown,
    },
    sides::{SideSettings, SideTable},
};

/// What the entry is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a dispatch to a side process.
    Dispatch(ProcessId, Box<Dispatch>),
    /// Send a cancel to a side process.
    Cancel(ProcessId, Cancel),
    /// Give the request its outcome; the dispatcher keeps nothing of the request.
    Settle(JobId, Outcome),
    /// An upstream failed so often that it gets no work for a while.
    Ejected(ProcessId, Duration),
}

/// What the dispatcher needs to know of a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Weight of the workspace's share of the slots, relative to the other workspaces.
    pub weight: u32,
    /// Most requests that wait.
    pub queued: u32,
    /// Retries as a share of first attempts, in percent.
    pub retry_percent: u32,
}

/// Times of the dispatcher.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// A dispatch that isn't acknowledged is sent again after this time.
    pub resend_after: Duration,
    /// A side process that sends no report for longer is given up.
    pub give_up_after: Duration,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Most requests that wait, over all workspaces.
    pub queue_limit: usize,
    /// Longest wait for a slot of work whose caller set no deadline.
    pub default_deadline: Duration,
    /// Settings for the choice of side processes.
    pub sides: SideSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            resend_after: Duration::from_millis(400),
            give_up_after: Duration::from_secs(3),
            max_attempts: 4,
            queue_limit: 20_000,
            default_deadline: Duration::from_secs(60),
            sides: SideSettings::default(),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Queued,
    Sent(Sent),
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Sent {
    side: ProcessId,
    incarnation: Incarnation,
    attempt: AttemptId,
    /// When the dispatch or the cancel was last sent.
    last_sent: Duration,
    acknowledged: bool,
    /// Set once the attempt is to be cancelled, with what happens to the request then.
    cancel: Option<CancelGoal>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CancelGoal {
    /// End the request: its caller cancelled it, or its deadline has passed.
    EndRequest,
    /// Try elsewhere: the side process sends no reports. Work that isn't repeatable is tried again
    /// only if the side process proves that nothing ran.
    RetryElsewhere,
}

#[derive(Debug, Clone)]
struct Request {
    spec: JobSpec,
    body: Bytes,
    deadline: Duration,
    state: State,
    attempts: u32,
    last_side: Option<ProcessId>,
    /// Set once an attempt that may have run was given up: the request can't end as not run then.
    may_have_run: Option<Unknown>,
}

/// Counts of what was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Replies for an attempt that is already settled: late, duplicated or crossed in transit.
    pub stale_replies: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Retries that the budget didn't allow.
    pub retries_denied: u64,
    /// Upstreams ejected.
    pub ejections: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Budget {
    /// Hundredths of a retry.
    credit: u64,
}

/// Retries that a workspace has credit for at first.
const BUDGET_FLOOR: u64 = 10;
const BUDGET_CEILING: u64 = 100;
const RETRY: u64 = 100;

/// The dispatcher of one entry process.
#[derive(Debug)]
pub struct Dispatcher {
    incarnation: Incarnation,
    failure_domain: String,
    settings: Settings,
    requests: HashMap<JobId, Request>,
    queue: FairQueue,
    deadlines: BTreeSet<(Duration, JobId)>,
    /// Attempts without a result, by number, so that the lowest unsettled number is known.
    open: BTreeMap<u64, JobId>,
    sides: SideTable,
    limits: HashMap<WorkspaceId, Limits>,
    budgets: HashMap<WorkspaceId, Budget>,
    next_attempt: u64,
    counts: Counts,
    rng: ChaCha8Rng,
}

impl Dispatcher {
    /// Creates a dispatcher for one incarnation of an entry in a failure domain.
    #[must_use]
    pub fn new(incarnation: Incarnation, failure_domain: &str, settings: Settings) -> Self {
        Self {
            incarnation,
            failure_domain: failure_domain.to_owned(),
            settings,
            requests: HashMap::new(),
            queue: FairQueue::default(),
            deadlines: BTreeSet::new(),
            open: BTreeMap::new(),
            sides: SideTable::new(settings.sides),
            limits: HashMap::new(),
            budgets: HashMap::new(),
            next_attempt: 1,
            counts: Counts::default(),
            rng: ChaCha8Rng::seed_from_u64(incarnation),
        }
    }

    /// Replaces the limits of all workspaces.
    pub fn set_limits(&mut self, limits: HashMap<WorkspaceId, Limits>) {
        self.limits = limits;
    }

    /// Queues a request, or refuses it at once, in which case nothing of it has run.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal.
    pub fn submit(
        &mut self,
        spec: JobSpec,
        body: Bytes,
        now: Duration,
    ) -> Result<Vec<Action>, NotRun> {
        let queued_limit = self.limits.get(&spec.workspace).map_or(u32::MAX, |row| row.queued);
        let full = self.queue.waiting(&spec.workspace) >= queued_limit as usize
            || self.queue.len() >= self.settings.queue_limit;
        if full {
            return Err(NotRun::QueueFull);
        }
        if !self.sides.any_alive(now) {
            return Err(NotRun::NoUpstream);
        }
        let wait = spec.deadline_ms.map_or(self.settings.default_deadline, Duration::from_millis);
        let deadline = now + wait;
        let id = spec.id.clone();
        self.earn_credit(&spec.workspace);
        self.deadlines.insert((deadline, id.clone()));
        self.queue.push(spec.class, &spec.workspace, id.clone());
        let request = Request {
            spec,
            body,
            deadline,
            state: State::Queued,
            attempts: 0,
            last_side: None,
            may_have_run: None,
        };
        self.requests.insert(id, request);
        Ok(self.send_queued(now))
    }

    fn earn_credit(&mut self, workspace: &WorkspaceId) {
        let percent = self.limits.get(workspace).map_or(20, |row| row.retry_percent);
        let budget = self
            .budgets
            .entry(workspace.clone())
            .or_insert(Budget { credit: BUDGET_FLOOR * RETRY });
        budget.credit = (budget.credit + u64::from(percent)).min(BUDGET_CEILING * RETRY);
    }

    fn spend_credit(&mut self, workspace: &WorkspaceId) -> bool {
        let Some(budget) = self.budgets.get_mut(workspace) else {
            return false;
        };
        let allowed = budget.credit >= RETRY;
        if allowed {
            budget.credit -= RETRY;
            self.counts.retries += 1;
        } else {
            self.counts.retries_denied += 1;
        }
        allowed
    }

    /// Sends queued requests while side processes have room.
    fn send_queued(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        while !self.queue.is_empty() {
            let limits = &self.limits;
            // The side process is chosen before a request is taken from the queue, so that the
            // request keeps its place if no side process has capacity.
            let Some(side) = self.sides.choose(&self.failure_domain, None, now, &mut self.rng)
            else {
                break;
            };
            let weight =
                |workspace: &WorkspaceId| limits.get(workspace).map_or(1, |row| row.weight);
            let Some(job) = self.queue.pop(weight) else {
                break;
            };
            let avoid = self.requests.get(&job).and_then(|request| request.last_side.clone());
            let side = match avoid {
                Some(last) if last == side => self
                    .sides
                    .choose(&self.failure_domain, Some(&last), now, &mut self.rng)
                    .unwrap_or(side),
                _ => side,
            };
            self.send(&job, side, now, &mut actions);
        }
        actions
    }

    fn send(&mut self, job: &JobId, side: ProcessId, now: Duration, actions: &mut Vec<Action>) {
        let Some(incarnation) = self.sides.get(&side).and_then(|row| row.incarnation) else {
            return;
        };
        let attempt = AttemptId { entry: self.incarnation, number: self.next_attempt };
        self.next_attempt += 1;
        self.open.insert(attempt.number, job.clone());
        let settled_below = self.settled_below();
        let Some(request) = self.requests.get_mut(job) else {
            return;
        };
        request.attempts += 1;
        request.last_side = Some(side.clone());
        request.state = State::Sent(Sent {
            side: side.clone(),
            incarnation,
            attempt,
            last_sent: now,
            acknowledged: false,
            cancel: None,
        });
        let dispatch = dispatch_of(request, attempt, incarnation, settled_below, now);
        self.sides.sent(&side);
        actions.push(Action::Dispatch(side, Box::new(dispatch)));
    }

    fn settled_below(&self) -> u64 {
        self.open.first_key_value().map_or(self.next_attempt, |(number, _)| *number)
    }

    /// Marks an attempt as acknowledged by its side process.
    pub fn accepted(&mut self, accepted: &Accepted) {
        if let Some(sent) = self.sent_mut(&accepted.job, accepted.attempt, accepted.from) {
            sent.acknowledged = true;
        }
    }

    /// Returns the open attempt that a message is about; `None` means that the message is stale.
    fn sent_mut(
        &mut self,
        job: &JobId,
        attempt: AttemptId,
        from: Incarnation,
    ) -> Option<&mut Sent> {
        match &mut self.requests.get_mut(job)?.state {
            State::Sent(sent) if sent.attempt == attempt && sent.incarnation == from => Some(sent),
            State::Sent(_) | State::Queued => None,
        }
    }

    /// Handles the result of an attempt.
    pub fn reply(&mut self, reply: Reply, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        // A refusal as `OtherIncarnation` comes from another incarnation, and proves nothing about
        // the one that the attempt was meant for.
        let other_incarnation =
            matches!(reply.result, AttemptResult::NotRun(NotRun::OtherIncarnation));
        let Some(sent) = self.sent_mut(&reply.job, reply.attempt, reply.from) else {
            if other_incarnation {
                self.side_restarted(&reply, now, &mut actions);
            } else {
                self.counts.stale_replies += 1;
            }
            return actions;
        };
        let (side, cancel) = (sent.side.clone(), sent.cancel);
        self.close_attempt(&reply.job, &side);
        match reply.result {
            AttemptResult::Answered(answer) => {
                self.sides.succeeded(&side);
                self.settle(&reply.job, Outcome::Answered(answer), &mut actions);
            }
            AttemptResult::NotRun(why) => {
                if why == NotRun::UpstreamRefused {
                    self.record_failure(&side, now, &mut actions);
                }
                self.not_run(&reply.job, why, cancel, now, &mut actions);
            }
            AttemptResult::Failed(failure) => {
                if failure != Failure::Stopped {
                    self.record_failure(&side, now, &mut actions);
                }
                self.attempt_failed(&reply.job, failure, cancel, now, &mut actions);
            }
        }
        actions.extend(self.send_queued(now));
        actions
    }

    fn close_attempt(&mut self, job: &JobId, side: &ProcessId) {
        if let Some(Request { state: State::Sent(sent), .. }) = self.requests.get(job) {
            self.open.remove(&sent.attempt.number);
        }
        self.sides.settled(side);
    }

    fn record_failure(&mut self, side: &ProcessId, now: Duration, actions: &mut Vec<Action>) {
        if let Some(pause) = self.sides.failed(side, now) {
            self.counts.ejections += 1;
            actions.push(Action::Ejected(side.clone(), pause));
        }
    }

    /// Handles an attempt that provably didn't run: puts the request back at the head of its queue,
    /// or settles the request if it was cancelled, is past its deadline or had too many attempts.
    fn not_run(
        &mut self,
        job: &JobId,
        why: NotRun,
        cancel: Option<CancelGoal>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(job) else {
            return;
        };
        let ended = cancel == Some(CancelGoal::EndRequest) || request.deadline <= now;
        if ended || request.attempts >= self.settings.max_attempts.saturating_mul(8) {
            self.settle(job, Outcome::NotRun(why), actions);
        } else {
            self.requeue(job);
        }
    }

    /// Handles an attempt that may have run in part: only repeatable work may be tried again.
    fn attempt_failed(
        &mut self,
        job: &JobId,
        failure: Failure,
        cancel: Option<CancelGoal>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(job) else {
            return;
        };
        let ended = cancel == Some(CancelGoal::EndRequest) || request.deadline <= now;
        let workspace = request.spec.workspace.clone();
        let may_retry = request.spec.repeatable
            && !ended
            && failure != Failure::TooLarge
            && request.attempts < self.settings.max_attempts;
        if may_retry && self.spend_credit(&workspace) {
            self.record_may_have_run(job, Unknown::UpstreamFailed);
            self.requeue(job);
            return;
        }
        let why = if ended { Unknown::DeadlinePassed } else { Unknown::UpstreamFailed };
        self.settle(job, Outcome::Unknown(why), actions);
    }

    fn record_may_have_run(&mut self, job: &JobId, why: Unknown) {
        if let Some(request) = self.requests.get_mut(job) {
            request.may_have_run = Some(why);
        }
    }

    fn requeue(&mut self, job: &JobId) {
        let Some(request) = self.requests.get_mut(job) else {
            return;
        };
        request.state = State::Queued;
        self.queue.push_front(request.spec.class, &request.spec.workspace, job.clone());
    }

    fn settle(&mut self, job: &JobId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(job) else {
            return;
        };
        self.deadlines.remove(&(request.deadline, job.clone()));
        if request.state == State::Queued {
            self.queue.remove(request.spec.class, &request.spec.workspace, job);
        }
        if let State::Sent(sent) = &request.state
            && self.open.remove(&sent.attempt.number).is_some()
        {
            self.sides.settled(&sent.side);
        }
        let outcome = match (outcome, request.may_have_run) {
            (Outcome::NotRun(_), Some(why)) => Outcome::Unknown(why),
            (outcome, _) => outcome,
        };
        actions.push(Action::Settle(job.clone(), outcome));
    }

    /// Handles a side process's answer to a cancel.
    pub fn cancel_ack(&mut self, ack: &CancelAck, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(sent) = self.sent_mut(&ack.job, ack.attempt, ack.from) else {
            return actions;
        };
        let (side, cancel) = (sent.side.clone(), sent.cancel);
        match ack.result {
            CancelResult::Tombstoned => {
                self.close_attempt(&ack.job, &side);
                self.not_run(&ack.job, NotRun::Cancelled, cancel, now, &mut actions);
            }
            CancelResult::Started if cancel == Some(CancelGoal::EndRequest) => {
                self.close_attempt(&ack.job, &side);
                self.settle(&ack.job, Outcome::Unknown(Unknown::DeadlinePassed), &mut actions);
            }
            // The side process can be reached again and the attempt runs there, so the cancel is
            // withdrawn and the result awaited.
            CancelResult::Started => {
                sent.cancel = None;
                sent.acknowledged = true;
            }
        }
        actions.extend(self.send_queued(now));
        actions
    }

    /// Cancels a request for its caller: nothing of it is to start any more.
    pub fn cancel(&mut self, job: &JobId, now: Duration) -> Vec<Action> {
        self.end(job, NotRun::Cancelled, now)
    }

    fn end(&mut self, job: &JobId, why: NotRun, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let settled_below = self.settled_below();
        let Some(request) = self.requests.get_mut(job) else {
            return actions;
        };
        match &mut request.state {
            State::Queued => self.settle(job, Outcome::NotRun(why), &mut actions),
            State::Sent(sent) => {
                if sent.cancel != Some(CancelGoal::EndRequest) {
                    sent.cancel = Some(CancelGoal::EndRequest);
                    sent.last_sent = now;
                    actions.push(cancel_of(job, sent, settled_below));
                }
            }
        }
        actions
    }

    /// Handles a side process's report.
    pub fn load(&mut self, id: &ProcessId, load: Load, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(earlier) = self.sides.record_load(id, load, now) {
            for job in self.jobs_sent_to(id, earlier) {
                self.give_up(&job, Unknown::SideRestarted, now, &mut actions);
            }
        }
        actions.extend(self.send_queued(now));
        actions
    }

    fn side_restarted(&mut self, reply: &Reply, now: Duration, actions: &mut Vec<Action>) {
        let Some(Request { state: State::Sent(sent), .. }) = self.requests.get(&reply.job) else {
            return;
        };
        if sent.attempt == reply.attempt {
            self.give_up(&reply.job, Unknown::SideRestarted, now, actions);
        }
    }

    fn jobs_sent_to(&self, side: &ProcessId, incarnation: Incarnation) -> Vec<JobId> {
        let at = |request: &Request| match &request.state {
            State::Sent(sent) => sent.side == *side && sent.incarnation == incarnation,
            State::Queued => false,
        };
        let jobs = self.open.values();
        jobs.filter(|job| self.requests.get(*job).is_some_and(at)).cloned().collect()
    }

    /// Gives up an attempt whose result can't be learned any more.
    fn give_up(&mut self, job: &JobId, why: Unknown, now: Duration, actions: &mut Vec<Action>) {
        let Some(Request { state: State::Sent(sent), .. }) = self.requests.get(job) else {
            return;
        };
        let (side, ended) = (sent.side.clone(), sent.cancel == Some(CancelGoal::EndRequest));
        self.close_attempt(job, &side);
        let Some(request) = self.requests.get(job) else {
            return;
        };
        let workspace = request.spec.workspace.clone();
        let may_retry = request.spec.repeatable
            && !ended
            && request.deadline > now
            && request.attempts < self.settings.max_attempts;
        if may_retry && self.spend_credit(&workspace) {
            self.record_may_have_run(job, why);
            self.requeue(job);
        } else {
            self.settle(job, Outcome::Unknown(why), actions);
        }
    }

    /// Updates the side processes from the platform's list.
    pub fn listed(&mut self, listed: &[(ProcessId, String, bool)], now: Duration) {
        for (id, failure_domain, leaving) in listed {
            self.sides.listed(id, failure_domain, *leaving);
        }
        let ids: Vec<ProcessId> = listed.iter().map(|(id, _, _)| id.clone()).collect();
        self.sides.retain_listed(&ids, now);
    }

    /// Ends requests that are past their deadline, sends dispatches again that aren't acknowledged,
    /// and gives up attempts at side processes that send no reports.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.end_overdue(now, &mut actions);
        let jobs: Vec<JobId> = self.open.values().cloned().collect();
        for job in jobs {
            self.check_attempt(&job, now, &mut actions);
        }
        if !self.queue.is_empty() && !self.sides.any_alive(now) {
            self.refuse_all(NotRun::NoUpstream, &mut actions);
        }
        actions.extend(self.send_queued(now));
        actions
    }

    fn end_overdue(&mut self, now: Duration, actions: &mut Vec<Action>) {
        // A request that is cancelled keeps its deadline until its attempt is settled, at the latest
        // `give_up_after` from its cancel, see `check_attempt`.
        let overdue: Vec<JobId> = self
            .deadlines
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, job)| job.clone())
            .collect();
        for job in overdue {
            actions.extend(self.end(&job, NotRun::Expired, now));
        }
    }

    fn refuse_all(&mut self, why: NotRun, actions: &mut Vec<Action>) {
        while let Some(job) = self.queue.pop(|_| 1) {
            self.settle(&job, Outcome::NotRun(why), actions);
        }
    }

    fn check_attempt(&mut self, job: &JobId, now: Duration, actions: &mut Vec<Action>) {
        let settled_below = self.settled_below();
        let Some(request) = self.requests.get_mut(job) else {
            return;
        };
        let repeatable = request.spec.repeatable;
        let State::Sent(sent) = &mut request.state else {
            return;
        };
        let last_contact =
            self.sides.get(&sent.side).map_or(Duration::ZERO, |row| row.last_contact);
        let silent = now.saturating_sub(last_contact) > self.settings.give_up_after;
        let since = now.saturating_sub(sent.last_sent);
        match sent.cancel {
            // The cancel wasn't answered: nothing can be proved about the attempt any more.
            Some(_) if since > self.settings.give_up_after => {
                let why = if silent { Unknown::SideUnreachable } else { Unknown::DeadlinePassed };
                self.give_up(job, why, now, actions);
            }
            None if silent => {
                sent.cancel = Some(CancelGoal::RetryElsewhere);
                sent.last_sent = now;
                actions.push(cancel_of(job, sent, settled_below));
                if repeatable {
                    self.give_up(job, Unknown::SideUnreachable, now, actions);
                }
            }
            None if !sent.acknowledged && since > self.settings.resend_after => {
                sent.last_sent = now;
                let (side, attempt, to) = (sent.side.clone(), sent.attempt, sent.incarnation);
                let dispatch = dispatch_of(request, attempt, to, settled_below, now);
                actions.push(Action::Dispatch(side, Box::new(dispatch)));
            }
            Some(_) | None => {}
        }
    }

    /// Returns the name of a request's state, `queued` or `sent`, or `None` for an unknown request.
    #[must_use]
    pub fn state_of(&self, job: &str) -> Option<&'static str> {
        Some(match self.requests.get(job)?.state {
            State::Queued => "queued",
            State::Sent(_) => "sent",
        })
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub const fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of attempts without a result.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no request is left.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the table of side processes.
    #[must_use]
    pub const fn sides(&self) -> &SideTable {
        &self.sides
    }

    /// Returns the counts of what was dropped.
    #[must_use]
    pub const fn counts(&self) -> Counts {
        self.counts
    }
}

fn dispatch_of(
    request: &Request,
    attempt: AttemptId,
    to: Incarnation,
    settled_below: u64,
    now: Duration,
) -> Dispatch {
    let left = request.deadline.saturating_sub(now);
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    Dispatch {
        job: request.spec.id.clone(),
        attempt,
        workspace: request.spec.workspace.clone(),
        to,
        start_within_ms: left_ms,
        finish_within_ms: left_ms,
        settled_below,
        body: request.body.clone(),
    }
}

fn cancel_of(job: &JobId, sent: &Sent, settled_below: u64) -> Action {
    let cancel =
        Cancel { job: job.clone(), attempt: sent.attempt, to: sent.incarnation, settled_below };
    Action::Cancel(sent.side.clone(), cancel)
}
