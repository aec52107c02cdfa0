//! The register of attempts beside one upstream: slots, starts and tombstones.
//!
//! # What makes "at most once" hold
//!
//! - An attempt starts only in the incarnation that it was meant for, and only once there.
//! - A cancelled attempt that hasn't started leaves a tombstone, so that a delayed dispatch of it
//!   can't start it later.
//! - Tombstones need no clock: every message of an entry carries the number below which all its
//!   attempts are settled. A dispatch below that number is refused, so tombstones below that number
//!   are removed.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use rampbay_core::ids::{Incarnation, JobId, ProcessId};

use crate::message::{
    Accepted, AttemptId, AttemptResult, Cancel, CancelAck, CancelResult, Dispatch, Failure, Load,
    NotRun, Reply,
};

/// What the side process must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the attempt to the upstream; a slot is taken until [`Register::done`].
    Run(Box<Dispatch>),
    /// Stop an attempt that runs.
    Abort(AttemptId),
    /// Tell the entry that the attempt was accepted.
    Accept(ProcessId, Accepted),
    /// Tell the entry how the attempt ended.
    Reply(ProcessId, Reply),
    /// Tell the entry what became of its cancel.
    CancelAck(ProcessId, CancelAck),
}

#[derive(Debug, Clone)]
enum AttemptState {
    Waiting,
    Running,
    Done(Reply),
    Tombstone,
}

#[derive(Debug, Clone)]
struct AttemptRow {
    from: ProcessId,
    state: AttemptState,
}

#[derive(Debug, Clone)]
struct Waiting {
    dispatch: Box<Dispatch>,
    start_by: Duration,
}

/// Counts of what was dropped or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Dispatches of an attempt that was already known.
    pub duplicated: u64,
    /// Dispatches refused for a tombstone or a settled number.
    pub tombstoned: u64,
    /// Dispatches meant for another incarnation.
    pub other_incarnation: u64,
    /// Dispatches refused because all slots were in use and the queue was full.
    pub busy: u64,
    /// Attempts started.
    pub started: u64,
}

/// The register of one side process.
#[derive(Debug, Clone)]
pub struct Register {
    incarnation: Incarnation,
    slots: u32,
    queue_limit: usize,
    used: u32,
    leaving: bool,
    waiting: VecDeque<Waiting>,
    attempts: BTreeMap<AttemptId, AttemptRow>,
    settled: HashMap<Incarnation, (u64, Duration)>,
    done_order: VecDeque<(Duration, AttemptId)>,
    kept_bytes: usize,
    counts: Counts,
}

/// How long a reply is kept for an entry that sends the dispatch again.
const KEEP_REPLIES_FOR: Duration = Duration::from_secs(30);
/// Most bytes of replies that are kept.
const MAX_KEPT_BYTES: usize = 16 * 1024 * 1024;
/// Most entries whose settled numbers are remembered.
const MAX_KNOWN_ENTRIES: usize = 4_096;

impl Register {
    /// Creates a register for an upstream with `slots`, where `queue_limit` attempts may wait.
    #[must_use]
    pub fn new(incarnation: Incarnation, slots: u32, queue_limit: usize) -> Self {
        Self {
            incarnation,
            slots,
            queue_limit,
            used: 0,
            leaving: false,
            waiting: VecDeque::new(),
            attempts: BTreeMap::new(),
            settled: HashMap::new(),
            done_order: VecDeque::new(),
            kept_bytes: 0,
            counts: Counts::default(),
        }
    }

    /// Handles a dispatch.
    pub fn dispatch(&mut self, from: ProcessId, dispatch: Dispatch, now: Duration) -> Vec<Action> {
        self.settle_below(dispatch.attempt.entry, dispatch.settled_below, now);
        if let Some(row) = self.attempts.get(&dispatch.attempt) {
            self.counts.duplicated += 1;
            return self.answer_duplicate(from, &dispatch, row.state.clone());
        }
        if dispatch.to != self.incarnation {
            self.counts.other_incarnation += 1;
            return vec![self.refuse(from, &dispatch, NotRun::OtherIncarnation)];
        }
        if dispatch.attempt.number < self.settled_number(dispatch.attempt.entry) {
            self.counts.tombstoned += 1;
            return vec![self.refuse(from, &dispatch, NotRun::Cancelled)];
        }
        if self.leaving {
            return vec![self.refuse(from, &dispatch, NotRun::Leaving)];
        }
        if self.used >= self.slots && self.waiting.len() >= self.queue_limit {
            self.counts.busy += 1;
            return vec![self.refuse(from, &dispatch, NotRun::Busy)];
        }
        let accepted = Accepted {
            job: dispatch.job.clone(),
            attempt: dispatch.attempt,
            from: self.incarnation,
        };
        let row = AttemptRow { from: from.clone(), state: AttemptState::Waiting };
        self.attempts.insert(dispatch.attempt, row);
        let start_by = now + Duration::from_millis(dispatch.start_within_ms);
        self.waiting.push_back(Waiting { dispatch: Box::new(dispatch), start_by });
        let mut actions = vec![Action::Accept(from, accepted)];
        self.start_waiting(now, &mut actions);
        actions
    }

    /// Refuses a dispatch. A dispatch that was meant for this incarnation leaves a tombstone. One that
    /// was meant for another leaves no row: it can't start here later, since each copy of it is refused
    /// too and the entry gives each attempt's number only once.
    fn refuse(&mut self, from: ProcessId, dispatch: &Dispatch, why: NotRun) -> Action {
        let reply = Reply {
            job: dispatch.job.clone(),
            attempt: dispatch.attempt,
            from: self.incarnation,
            result: AttemptResult::NotRun(why),
        };
        if dispatch.to == self.incarnation {
            // The entry takes the refusal as proof that the attempt won't start, so a copy of the
            // dispatch that is still on its way must not start either.
            self.insert_tombstone(from.clone(), dispatch.attempt);
        }
        Action::Reply(from, reply)
    }

    fn insert_tombstone(&mut self, from: ProcessId, attempt: AttemptId) {
        if attempt.number < self.settled_number(attempt.entry) {
            return;
        }
        let row = AttemptRow { from, state: AttemptState::Tombstone };
        self.attempts.insert(attempt, row);
    }

    fn answer_duplicate(
        &self,
        from: ProcessId,
        dispatch: &Dispatch,
        state: AttemptState,
    ) -> Vec<Action> {
        let (job, attempt) = (dispatch.job.clone(), dispatch.attempt);
        match state {
            AttemptState::Done(reply) => vec![Action::Reply(from, reply)],
            AttemptState::Waiting | AttemptState::Running => {
                let accepted = Accepted { job, attempt, from: self.incarnation };
                vec![Action::Accept(from, accepted)]
            }
            AttemptState::Tombstone => {
                let result = AttemptResult::NotRun(NotRun::Cancelled);
                let reply = Reply { job, attempt, from: self.incarnation, result };
                vec![Action::Reply(from, reply)]
            }
        }
    }

    /// Handles a cancel.
    pub fn cancel(&mut self, from: ProcessId, cancel: &Cancel, now: Duration) -> Vec<Action> {
        self.settle_below(cancel.attempt.entry, cancel.settled_below, now);
        let attempt = cancel.attempt;
        let mut actions = Vec::new();
        let result = match self.attempts.get(&attempt).map(|row| row.state.clone()) {
            Some(AttemptState::Running) => {
                actions.push(Action::Abort(attempt));
                CancelResult::Started
            }
            Some(AttemptState::Done(reply)) => match reply.result {
                AttemptResult::NotRun(_) => CancelResult::Tombstoned,
                AttemptResult::Answered(_) | AttemptResult::Failed(_) => CancelResult::Started,
            },
            Some(AttemptState::Waiting) => {
                self.waiting.retain(|waiting| waiting.dispatch.attempt != attempt);
                self.insert_tombstone(from.clone(), attempt);
                CancelResult::Tombstoned
            }
            Some(AttemptState::Tombstone) | None => {
                self.insert_tombstone(from.clone(), attempt);
                CancelResult::Tombstoned
            }
        };
        let ack = CancelAck { job: cancel.job.clone(), attempt, from: self.incarnation, result };
        actions.push(Action::CancelAck(from, ack));
        self.start_waiting(now, &mut actions);
        actions
    }

    /// Handles the end of a running attempt and frees its slot.
    pub fn done(
        &mut self,
        attempt: AttemptId,
        job: JobId,
        result: AttemptResult,
        now: Duration,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(row) = self.attempts.get_mut(&attempt) else {
            return actions;
        };
        if !matches!(row.state, AttemptState::Running) {
            return actions;
        }
        self.used -= 1;
        let reply = Reply { job, attempt, from: self.incarnation, result };
        row.state = AttemptState::Done(reply.clone());
        self.kept_bytes += reply_bytes(&reply);
        self.done_order.push_back((now, attempt));
        actions.push(Action::Reply(row.from.clone(), reply));
        if attempt.number < self.settled_number(attempt.entry) {
            self.forget(attempt);
        }
        self.start_waiting(now, &mut actions);
        self.drop_old_replies(now);
        actions
    }

    /// Refuses waiting attempts whose time to start has run out, starts others in free slots, and
    /// drops old replies.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire_waiting(now, &mut actions);
        self.start_waiting(now, &mut actions);
        self.drop_old_replies(now);
        actions
    }

    fn expire_waiting(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let (kept, expired): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.waiting).into_iter().partition(|item| item.start_by > now);
        self.waiting = kept;
        for item in expired {
            let from = self.attempts[&item.dispatch.attempt].from.clone();
            actions.push(self.refuse(from, &item.dispatch, NotRun::Expired));
        }
    }

    fn start_waiting(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while self.used < self.slots {
            let Some(item) = self.waiting.pop_front() else {
                return;
            };
            if item.start_by <= now {
                let from = self.attempts[&item.dispatch.attempt].from.clone();
                actions.push(self.refuse(from, &item.dispatch, NotRun::Expired));
                continue;
            }
            if let Some(row) = self.attempts.get_mut(&item.dispatch.attempt) {
                row.state = AttemptState::Running;
            }
            self.used += 1;
            self.counts.started += 1;
            actions.push(Action::Run(item.dispatch));
        }
    }

    fn settle_below(&mut self, entry: Incarnation, number: u64, now: Duration) {
        if self.settled.len() >= MAX_KNOWN_ENTRIES && !self.settled.contains_key(&entry) {
            let oldest = self.settled.iter().min_by_key(|(_, (_, at))| *at).map(|(id, _)| *id);
            if let Some(oldest) = oldest {
                self.settled.remove(&oldest);
                self.forget_settled(oldest, u64::MAX);
            }
        }
        let known = self.settled.entry(entry).or_insert((0, now));
        known.1 = now;
        if number <= known.0 {
            return;
        }
        known.0 = number;
        self.waiting.retain(|item| {
            let attempt = item.dispatch.attempt;
            attempt.entry != entry || attempt.number >= number
        });
        self.forget_settled(entry, number);
    }

    fn forget_settled(&mut self, entry: Incarnation, number: u64) {
        let settled: Vec<AttemptId> = self
            .attempts
            .range(AttemptId { entry, number: 0 }..AttemptId { entry, number })
            .filter(|(_, row)| !matches!(row.state, AttemptState::Running))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in settled {
            self.forget(attempt);
        }
    }

    fn settled_number(&self, entry: Incarnation) -> u64 {
        self.settled.get(&entry).map_or(0, |(number, _)| *number)
    }

    fn forget(&mut self, attempt: AttemptId) {
        if let Some(AttemptRow { state: AttemptState::Done(reply), .. }) =
            self.attempts.remove(&attempt)
        {
            self.kept_bytes -= reply_bytes(&reply);
        }
    }

    /// Replaces replies that are older than `KEEP_REPLIES_FOR`, and the oldest ones while all take
    /// more than `MAX_KEPT_BYTES`, by a failure without a body, which says only that the attempt
    /// started.
    fn drop_old_replies(&mut self, now: Duration) {
        while let Some((at, attempt)) = self.done_order.front().copied() {
            let old = now.saturating_sub(at) > KEEP_REPLIES_FOR;
            if !old && self.kept_bytes <= MAX_KEPT_BYTES {
                return;
            }
            self.done_order.pop_front();
            let Some(row) = self.attempts.get_mut(&attempt) else {
                continue;
            };
            let AttemptState::Done(reply) = &row.state else {
                continue;
            };
            self.kept_bytes -= reply_bytes(reply);
            // An attempt that ended stays known, so that no copy of it starts again; its row is
            // removed once its entry has settled the attempt.
            let reply = Reply {
                job: reply.job.clone(),
                attempt,
                from: self.incarnation,
                result: AttemptResult::Failed(Failure::Cut),
            };
            row.state = AttemptState::Done(reply);
        }
    }

    /// Stops accepting new work: waiting attempts are refused as not run, running ones go on.
    pub fn leave(&mut self) -> Vec<Action> {
        self.leaving = true;
        let waiting = std::mem::take(&mut self.waiting);
        waiting
            .into_iter()
            .map(|item| {
                let from = self.attempts[&item.dispatch.attempt].from.clone();
                self.refuse(from, &item.dispatch, NotRun::Leaving)
            })
            .collect()
    }

    /// Returns whether nothing waits or runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.used == 0 && self.waiting.is_empty()
    }

    /// Returns the load to report.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            from: self.incarnation,
            slots: self.slots,
            used: self.used,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            leaving: self.leaving,
        }
    }

    /// Returns the counts of what was dropped or refused.
    #[must_use]
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of attempts that are remembered.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.attempts.len()
    }
}

fn reply_bytes(reply: &Reply) -> usize {
    match &reply.result {
        AttemptResult::Answered(answer) => answer.body.len(),
        AttemptResult::NotRun(_) | AttemptResult::Failed(_) => 0,
    }
}
