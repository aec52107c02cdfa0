//! Records of starts that got no answer.
//!
//! Such a start may be carried out seconds later. This incarnation rejects it once the run has been stopped or has
//! ended here. A later incarnation under the same id has seen no fencing token and no run, and carries it out unless
//! it has received an order of its own before. So the planner is told of the start, and starts the task nowhere but at
//! the incarnation that rejects the start, until the start can't be carried out and its run can't go on any more.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::job::InstanceId;
use crate::keys::unanswered_key;
use crate::record::{KeyedRecord, Record, STATE_TOPIC, UnansweredStart, removal};
use crate::worker::{StopOrder, StoppedRun};

use super::ends::{log_end_at_successor, record_of_end_at_successor};
use super::incarnation::Incarnation;
use super::runs::RunKey;

/// Longest time between two checks for unanswered starts of earlier incarnations.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for which a start is held back until the store holds the record of the one before.
const MAX_ANNOUNCEMENT_WAIT: Duration = Duration::from_millis(300);
/// Pause before a failed append of such a record is retried.
const ANNOUNCEMENT_RETRY: Duration = Duration::from_millis(150);

impl Incarnation {
    /// Returns the record of a run's start without an answer, if there is one. For a run that this incarnation rejects
    /// from now on.
    pub(super) fn unanswered_start_record(&self, key: &RunKey) -> Option<KeyedRecord> {
        let sent = match self.runs.borrow().open.get(key) {
            Some(run) => run.unanswered_start?,
            // Only an earlier process can have ordered it, or an order for an earlier incarnation have begun it.
            None => self.foreign_starts_until,
        };
        let remaining = self.remaining_time(sent)?;
        Some(self.record_of_unanswered(key, &self.instance, remaining))
    }

    /// Stores the record of a gang member's start without an answer, before the start is repeated. The end of one
    /// member counts for all, so the other members' agents have to know of the start before the gang can be complete.
    /// Doesn't wait for a store that is slow to answer: the other members wait for this one.
    pub(super) async fn announce_unanswered_start(self: &Rc<Self>, key: &RunKey) {
        let Some(sent) = self.take_start_to_announce(key) else { return };
        let incarnation = Rc::clone(self);
        let key = key.clone();
        let stored =
            tokio::task::spawn_local(
                async move { incarnation.store_announcement(&key, sent).await },
            );
        let _ = tokio::time::timeout(MAX_ANNOUNCEMENT_WAIT, stored).await;
    }

    /// Returns when the unanswered start of a gang's member was sent, once for each run.
    fn take_start_to_announce(&self, key: &RunKey) -> Option<Instant> {
        if !self.parts.table.borrow().is_in_gang(&key.0) {
            return None;
        }
        let mut runs = self.runs.borrow_mut();
        let run = runs.open.get_mut(key).filter(|run| !run.is_announced)?;
        run.is_announced = run.unanswered_start.is_some();
        run.unanswered_start
    }

    async fn store_announcement(&self, key: &RunKey, sent: Instant) {
        while let Some(remaining) = self.remaining_time(sent).filter(|_| !self.has_ended()) {
            let record = self.record_of_unanswered(key, &self.instance, remaining);
            if self.parts.store.append(STATE_TOPIC, &[record], None).await.is_ok() {
                return;
            }
            tokio::time::sleep(ANNOUNCEMENT_RETRY).await;
        }
    }

    /// Returns the records of all starts without an answer, for the end of this incarnation.
    pub(super) fn unanswered_start_records(&self) -> Vec<KeyedRecord> {
        let successor = self.successor_of_same_worker();
        let stopped = self.stopped_at_successor.borrow();
        let (stored, own) = (self.stored_unanswered_starts(), self.own_unanswered_starts());
        let rejected_by = |key: &RunKey| match &successor {
            Some(successor) if stopped.contains_key(key) => Some(successor),
            // An incarnation with another id rejects all orders that name this one's id.
            None if stopped.contains_key(key) => None,
            _ => Some(&self.instance),
        };
        let mut starts = stored.clone();
        starts.extend(own.clone());
        let records = starts.iter().filter_map(|(key, remaining)| match rejected_by(key) {
            // The planner measures the time anew for a record that changes.
            Some(instance) if *instance == self.instance && !own.contains_key(key) => None,
            Some(instance) => Some(self.record_of_unanswered(key, instance, *remaining)),
            None => stored.contains_key(key).then(|| removal(unanswered_key(&key.0, key.1))),
        });
        records.collect()
    }

    /// Returns the starts that the store holds for this incarnation, with the times for which they still count.
    fn stored_unanswered_starts(&self) -> BTreeMap<RunKey, Duration> {
        let table = self.parts.table.borrow();
        let stored = table.unanswered_at(&self.instance);
        let stored = stored.map(|start| {
            let remaining = Duration::from_millis(start.remaining_ms);
            ((start.task.clone(), start.attempt), remaining)
        });
        stored.collect()
    }

    /// Returns the starts by this process, and the possible starts by an earlier one, whose runs haven't ended.
    pub(super) fn own_unanswered_starts(&self) -> BTreeMap<RunKey, Duration> {
        let assigned = self.parts.table.borrow().runs_assigned_to(&self.instance);
        let runs = self.runs.borrow();
        let is_unknown = |key: &RunKey| !runs.open.contains_key(key) && !runs.ended.contains(key);
        let may_be_inherited =
            |key: &RunKey| self.inherited.get().is_none_or(|inherited| inherited.contains(key));
        let of_earlier_process = assigned.into_iter().filter(is_unknown).filter(may_be_inherited);
        let of_earlier_process = of_earlier_process.map(|key| (key, self.process_started_at));
        let open = runs.open.iter();
        let open = open.filter_map(|(key, run)| Some((key.clone(), run.unanswered_start?)));
        let sent = of_earlier_process.chain(open);
        sent.filter_map(|(key, sent)| Some((key, self.remaining_time(sent)?))).collect()
    }

    /// Returns for how long a start that was sent at a time may still be carried out, or its run still go on by the
    /// lease that the start itself carries; `None` if neither is possible, or if no other incarnation of the worker
    /// has its id.
    fn remaining_time(&self, sent: Instant) -> Option<Duration> {
        (self.parts.incarnation_start)(&self.instance)?;
        let settings = &self.parts.settings;
        (settings.max_call_delay + settings.lease_expiry).checked_sub(sent.elapsed())
    }

    /// Takes over the unanswered starts of earlier incarnations that are gone, as soon as this one rejects them; never
    /// returns.
    pub(super) async fn take_over_unanswered_starts(&self) {
        let mut changes = self.parts.freshness.subscribe();
        loop {
            changes.borrow_and_update();
            if self.listed.get() && !self.has_ended() {
                for start in self.starts_of_predecessors() {
                    self.take_over(&start).await;
                }
            }
            let _ = tokio::time::timeout(CHECK_INTERVAL, changes.changed()).await;
        }
    }

    /// Lists the unanswered starts that incarnations of this worker rejected which are gone.
    fn starts_of_predecessors(&self) -> Vec<Rc<UnansweredStart>> {
        let table = self.parts.table.borrow();
        let address = self.record.borrow().address.clone();
        let compare = self.parts.compare_incarnations;
        // An incarnation that isn't registered yet has the agent of the earlier ones of its worker.
        let agent_of_worker = |instance: &str| {
            let of_worker = || table.find_agent(|known| compare(known, instance).is_some());
            table.agent_of(instance).or_else(of_worker)
        };
        let is_of_other_agent = |start: &Rc<UnansweredStart>| {
            agent_of_worker(&start.instance).is_some_and(|agent| *agent != self.parts.node)
        };
        let is_of_predecessor = |start: &&Rc<UnansweredStart>| {
            start.instance != self.instance
                && start.address == address
                && !is_of_other_agent(start)
                && !table.workers.contains_key(&start.instance)
        };
        let starts = table.unanswered.values().flat_map(BTreeMap::values);
        starts.filter(is_of_predecessor).cloned().collect()
    }

    /// Stops the run of a start at this incarnation, and moves the record here. If this incarnation has another id, it
    /// rejects the start, and the record is removed.
    async fn take_over(&self, start: &UnansweredStart) {
        let worker = (self.parts.connect)(&start.address, &start.instance);
        let (task, attempt) = (start.task.clone(), start.attempt);
        let order = StopOrder { task, attempt, fencing_token: self.fencing_token() };
        let end = match worker.stop_in_any_incarnation(&order).await {
            Ok(StoppedRun::NotThere) => None,
            Ok(StoppedRun::Ended(end)) => {
                log_end_at_successor(&start.instance, &end);
                Some(record_of_end_at_successor(&start.instance, &end))
            }
            Ok(StoppedRun::Unsettled) | Err(_) => return,
        };
        let is_same_worker =
            (self.parts.compare_incarnations)(&start.instance, &self.instance).is_some();
        let record = if is_same_worker {
            let remaining = Duration::from_millis(start.remaining_ms);
            self.record_of_unanswered(&(order.task, attempt), &self.instance, remaining)
        } else {
            removal(unanswered_key(&order.task, attempt))
        };
        // The task may start again as soon as the planner reads the second record.
        let records: Vec<KeyedRecord> = end.into_iter().chain([record]).collect();
        if let Ok(end) = self.parts.store.append(STATE_TOPIC, &records, None).await {
            self.parts.freshness.reach(end).await;
        }
    }

    /// Returns the incarnation that replaced this one, if it has the same id.
    fn successor_of_same_worker(&self) -> Option<InstanceId> {
        let successor = self.successor.borrow().clone()?;
        (self.parts.compare_incarnations)(&self.instance, &successor).map(|_| successor)
    }

    fn record_of_unanswered(
        &self,
        (task, attempt): &RunKey,
        instance: &str,
        remaining: Duration,
    ) -> KeyedRecord {
        let remaining_ms = remaining.as_millis() as u64;
        log::info!(
            "event=J188 unanswered start recorded task={task} attempt={attempt} worker={} rejected_by={instance} remaining_ms={remaining_ms}",
            self.instance
        );
        let start = UnansweredStart {
            task: task.clone(),
            attempt: *attempt,
            instance: instance.to_owned(),
            address: self.record.borrow().address.clone(),
            remaining_ms,
        };
        Record::Unanswered(Box::new(start)).encode()
    }
}
