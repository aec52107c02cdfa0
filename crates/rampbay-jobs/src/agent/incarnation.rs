//! One incarnation of a worker, from its discovery until it has certainly ended.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::clock::Moment;
use crate::fencing::{self, FencingToken};
use crate::job::{InstanceId, Resources};
use crate::record::{ProgressReport, RunProgress, WorkerRecord};
use crate::registrations::RegistrationNumber;
use crate::worker::{ListedEnd, Worker, WorkerMillis};

use super::held_back::HeldBack;
use super::runs::{Phase, RunKey, Runs};
use super::withheld::WithheldEnds;
use super::{AgentParts, POLL_INTERVAL};

/// Time between two calls that check whether a deregistered worker has stopped listening.
const DEPARTURE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum bytes of all checkpoints in a report. The others are known once their runs end.
const MAX_REPORTED_CHECKPOINT_BYTES: usize = 128 << 10;

/// Time for which heartbeats have lower numbers than an earlier one before they count.
const NUMBERS_START_AGAIN_AFTER: Duration = Duration::from_secs(1);

/// Heartbeats whose numbers are lower than that of an earlier one.
#[derive(Clone, Copy, Debug)]
struct OvertakenHeartbeats {
    highest: u64,
    /// When the first of them came.
    since: Moment,
}

/// Why an incarnation has certainly ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndCause {
    /// Another incarnation answers at the worker's address, or a later one is known.
    Replaced,
    /// The worker departed: its leases have expired, or its address refuses connections after a
    /// deregistration.
    Left,
    /// The worker was silent until all its leases had expired; it may be heard from again.
    Silent,
}

impl EndCause {
    /// Returns the name used in log lines.
    const fn label(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::Left => "left",
            Self::Silent => "silent",
        }
    }
}

/// One incarnation of a worker.
pub struct Incarnation {
    /// Id of the incarnation.
    pub instance: InstanceId,
    pub(super) parts: Rc<AgentParts>,
    /// When this process started. Starts by an earlier process of the same agent were sent before.
    pub(super) process_started_at: Instant,
    /// Starts by an earlier process, or for an earlier incarnation, were sent before: when this process discovered the
    /// incarnation.
    pub(super) foreign_starts_until: Instant,
    pub(super) worker: Rc<dyn Worker>,
    pub(super) runs: RefCell<Runs>,
    pub(super) wake: Notify,
    /// The worker's clock, and when this process read it.
    pub(super) clock: Cell<Option<(WorkerMillis, Instant)>>,
    /// Whether the worker has listed its runs at least once.
    pub(super) listed: Cell<bool>,
    /// Number of the last end of a run, in the worker's list, that the store holds.
    pub(super) last_seen: Cell<u64>,
    /// Number of the last end that was acknowledged to the worker, which may forget it then.
    pub(super) acknowledged: Cell<u64>,
    /// Ends that the store holds and whose acknowledgement waits.
    pub(super) withheld: RefCell<WithheldEnds>,
    /// Whether an append of listed ends is in flight.
    pub(super) listed_append_in_flight: Cell<bool>,
    /// Runs that were assigned when this process first gave orders; an earlier process may have ordered them.
    pub(super) inherited: OnceCell<BTreeSet<RunKey>>,
    /// Number of appends of ends that are in flight.
    pub(super) appends_in_flight: Cell<usize>,
    /// When a call that renews leases was sent last, by a clock that stops during a suspension, as
    /// the worker's may.
    pub(super) lease_sent: Cell<Instant>,
    /// When the worker last answered or sent a heartbeat.
    pub(super) last_contact: Cell<Moment>,
    /// When the worker's list of runs was processed last.
    pub(super) last_listing: Cell<Instant>,
    /// When the worker last listed its runs; `None` after a call without an answer.
    pub(super) answered_at: Cell<Option<Instant>>,
    /// When this process discovered the incarnation.
    pub(super) discovered: Moment,
    /// When the worker's last heartbeat reached this process.
    pub(super) last_heartbeat: Cell<Option<Moment>>,
    pub(super) record: RefCell<WorkerRecord>,
    /// Number of the last registration by this process that the store accepted.
    pub(super) stored_registration_number: Cell<Option<RegistrationNumber>>,
    /// Number that this process registers the incarnation under, accepted by the store or not;
    /// `None` before the first registration.
    pub(super) registration_number: Cell<Option<RegistrationNumber>>,
    /// Whether the table held the worker at the last check.
    pub(super) was_registered: Cell<bool>,
    /// Reason for which assigned runs are held back, as logged last.
    pub(super) logged_held_back: Cell<Option<HeldBack>>,
    /// Whether the worker has answered as this incarnation.
    pub(super) confirmed: Cell<bool>,
    /// Highest sequence number of a heartbeat that was handled.
    heartbeat_sequence: Cell<u64>,
    /// Heartbeats since then whose numbers are lower.
    overtaken: Cell<Option<OvertakenHeartbeats>>,
    /// When the worker was found to have departed. Its leases are never renewed again.
    pub(super) departed_since: Cell<Option<Instant>>,
    /// Whether the worker has deregistered.
    has_deregistered: Cell<bool>,
    end_cause: Cell<Option<EndCause>>,
    /// Whether this process has ceased to renew leases and to order starts, since it is about to end.
    pub(super) has_ceased: Cell<bool>,
    /// Id of the incarnation that replaced this one, once known.
    pub(super) successor: RefCell<Option<InstanceId>>,
    /// Runs that whichever incarnation answers now certainly doesn't start any more by orders for this one, each with its
    /// end, if that incarnation lists one.
    pub(super) stopped_at_successor: RefCell<BTreeMap<RunKey, Option<ListedEnd>>>,
    is_abandoned: Cell<bool>,
    abandoned: Notify,
}

impl Incarnation {
    /// Creates an incarnation whose runs aren't known yet.
    pub(super) fn new(
        parts: Rc<AgentParts>,
        process_started_at: Instant,
        instance: InstanceId,
        record: WorkerRecord,
        worker: Rc<dyn Worker>,
    ) -> Rc<Self> {
        let now = Instant::now();
        let departed_since = record.departed.then_some(now);
        Rc::new(Self {
            instance,
            parts,
            process_started_at,
            foreign_starts_until: now,
            worker,
            runs: RefCell::default(),
            wake: Notify::new(),
            clock: Cell::new(None),
            listed: Cell::new(false),
            last_seen: Cell::new(0),
            acknowledged: Cell::new(0),
            withheld: RefCell::default(),
            listed_append_in_flight: Cell::new(false),
            inherited: OnceCell::new(),
            appends_in_flight: Cell::new(0),
            lease_sent: Cell::new(now),
            last_contact: Cell::new(Moment::now()),
            last_listing: Cell::new(now),
            answered_at: Cell::new(None),
            discovered: Moment::now(),
            last_heartbeat: Cell::new(None),
            record: RefCell::new(record),
            stored_registration_number: Cell::new(None),
            registration_number: Cell::new(None),
            was_registered: Cell::new(false),
            logged_held_back: Cell::new(None),
            confirmed: Cell::new(false),
            heartbeat_sequence: Cell::new(0),
            overtaken: Cell::new(None),
            departed_since: Cell::new(departed_since),
            has_deregistered: Cell::new(false),
            end_cause: Cell::new(None),
            has_ceased: Cell::new(false),
            successor: RefCell::default(),
            stopped_at_successor: RefCell::default(),
            is_abandoned: Cell::new(false),
            abandoned: Notify::new(),
        })
    }

    /// Handles a heartbeat. If a later one has been handled before, this one only shows that the
    /// worker could be heard, unless the numbers start again.
    pub(super) fn handle_heartbeat(&self, sequence: u64, record: WorkerRecord) {
        self.last_contact.set(Moment::now());
        if sequence < self.heartbeat_sequence.get() && !self.start_numbers_again(sequence) {
            return;
        }
        self.overtaken.set(None);
        self.heartbeat_sequence.set(sequence);
        self.last_heartbeat.set(Some(Moment::now()));
        let mut known = self.record.borrow_mut();
        if !known.draining && record.draining {
            log::info!(
                "event=J161 worker is draining worker={} leaves_at={}",
                self.instance,
                record.leaves_at
            );
        }
        // Later heartbeats report the same departure with a different time; the first one counts.
        let leaves_at = if known.draining { known.leaves_at } else { record.leaves_at };
        let departed = known.departed;
        let draining = departed || record.draining;
        let changed = WorkerRecord { leaves_at, departed, draining, ..record };
        if *known != changed {
            *known = changed;
            drop(known);
            self.parts.freshness.notify();
        }
    }

    /// Returns whether a heartbeat with a lower number than an earlier one counts: such heartbeats have come for a while,
    /// with rising numbers, and no other. Then the high number was another writer's. Late heartbeats come singly, or
    /// together.
    fn start_numbers_again(&self, sequence: u64) -> bool {
        let Some(overtaken) = self.overtaken.get() else {
            let since = Moment::now();
            self.overtaken.set(Some(OvertakenHeartbeats { highest: sequence, since }));
            return false;
        };
        if sequence <= overtaken.highest {
            return false;
        }
        self.overtaken.set(Some(OvertakenHeartbeats { highest: sequence, ..overtaken }));
        let starts_again = overtaken.since.elapsed() >= NUMBERS_START_AGAIN_AFTER;
        if starts_again {
            log::warn!(
                "event=J233 heartbeat numbers start again worker={} sequence={sequence} before={}",
                self.instance,
                self.heartbeat_sequence.get()
            );
        }
        starts_again
    }

    /// Returns whether the worker has answered as this incarnation, so that it is known by more than heartbeats.
    pub(super) fn is_confirmed(&self) -> bool {
        self.confirmed.get() || self.listed.get()
    }

    /// Compares the times at which this process discovered two incarnations.
    pub(super) fn compare_discovery(&self, other: &Self) -> std::cmp::Ordering {
        self.discovered.cmp(&other.discovered)
    }

    /// Handles the worker's deregistration, which announces that it ends now.
    pub(super) fn deregister(&self) {
        log::info!("event=J162 worker deregistered worker={}", self.instance);
        self.has_deregistered.set(true);
        self.mark_departed();
    }

    /// Handles a refused connection. A worker that refuses connections after its notice period has
    /// most likely ended without deregistering. Its leases are not renewed any more, and the store
    /// records the departure: if this machine is lost too, the leader reassigns the runs when the
    /// last lease ends, and doesn't have to wait for what a silent agent may still renew.
    pub(super) fn handle_refused(&self) {
        let notice_has_ended = {
            let record = self.record.borrow();
            record.draining && record.leaves_at <= (self.parts.wall_clock)()
        };
        if notice_has_ended && self.departed_since.get().is_none() {
            log::warn!(
                "event=J178 worker refuses connections after its notice period worker={} runs={}",
                self.instance,
                self.runs.borrow().open.len()
            );
            self.mark_departed();
        }
    }

    fn mark_departed(&self) {
        self.departed_since.set(Some(Instant::now()));
        {
            let mut record = self.record.borrow_mut();
            record.draining = true;
            record.departed = true;
        }
        self.parts.freshness.notify();
    }

    /// Ends the incarnation because another one of the worker is known. `successor` is the id of
    /// the other one, if known.
    pub(super) fn replace(&self, successor: Option<InstanceId>) {
        if successor.is_some() {
            self.successor.replace(successor);
        }
        self.end(EndCause::Replaced);
    }

    /// Marks the incarnation as certainly ended.
    pub(super) fn end(&self, why: EndCause) {
        if self.has_ended() {
            return;
        }
        self.end_cause.set(Some(why));
        let names = self.runs.borrow().describe_open();
        log::warn!(
            "event=J163 worker incarnation ended worker={} runs={} why={} draining={} heard_ms={} names={names:?}",
            self.instance,
            self.runs.borrow().open.len(),
            why.label(),
            self.is_draining(),
            self.last_contact.get().elapsed().as_millis()
        );
        self.wake.notify_waiters();
        self.parts.freshness.notify();
    }

    /// Ends all work for the incarnation without writing to the store.
    pub(super) fn abandon(&self) {
        self.is_abandoned.set(true);
        self.abandoned.notify_one();
    }

    /// Waits until the incarnation is abandoned.
    pub(super) async fn abandoned(&self) {
        self.abandoned.notified().await;
    }

    /// Returns whether the incarnation has ended or was abandoned.
    pub(super) fn has_ended(&self) -> bool {
        self.end_cause.get().is_some() || self.is_abandoned.get()
    }

    /// Returns whether heartbeats of this incarnation that still arrive are to be ignored.
    pub(super) fn has_ended_for_good(&self) -> bool {
        matches!(self.end_cause.get(), Some(EndCause::Replaced | EndCause::Left))
    }

    /// Returns whether nothing is lost if this process ends now: no departure, no end of the
    /// incarnation and no end of a run is still to be written to the store.
    pub(super) fn is_settled(&self) -> bool {
        self.departed_since.get().is_none()
            && !self.has_ended()
            && self.appends_in_flight.get() == 0
    }

    /// Returns whether the worker is draining or has departed.
    pub(super) fn is_draining(&self) -> bool {
        self.record.borrow().draining || self.departed_since.get().is_some()
    }

    /// Returns whether operators have drained the worker's failure domain. Checked before each
    /// start, since the run may have been assigned before the drain, or by a leader that hadn't
    /// read it.
    pub(super) fn is_in_drained_domain(&self) -> bool {
        self.parts.table.borrow().is_in_drained_domain(&self.record.borrow())
    }

    /// Returns the worker's total capacity, as it last reported it.
    pub(super) fn capacity(&self) -> Resources {
        self.record.borrow().capacity
    }

    /// Returns the fencing token for orders to this incarnation.
    pub(super) fn fencing_token(&self) -> FencingToken {
        self.token_for(&self.instance)
    }

    /// Returns the fencing token for orders to an incarnation of the worker.
    pub(super) fn token_for(&self, instance: &str) -> FencingToken {
        fencing::token(
            (self.parts.incarnation_start)(instance),
            self.parts.table.borrow().leader.epoch,
        )
    }

    /// Returns whether the worker may have runs.
    #[must_use]
    pub fn has_runs(&self) -> bool {
        !self.runs.borrow().open.is_empty()
    }

    /// Counts the ended runs that are remembered.
    pub(super) fn remembered_ends(&self) -> usize {
        self.runs.borrow().ended.len()
    }

    /// Forgets ended runs of jobs that the store no longer holds.
    pub(super) fn forget_removed_jobs(&self) {
        let table = self.parts.table.borrow();
        let mut runs = self.runs.borrow_mut();
        runs.ended.retain(|(task, _)| table.jobs.contains_key(&task.job));
        runs.never_started.retain(|(task, _)| table.jobs.contains_key(&task.job));
    }

    /// Returns a progress report on the worker's runs.
    #[must_use]
    pub fn report(&self) -> ProgressReport {
        let runs = self.runs.borrow();
        let running = runs.open.iter().filter(|(_, run)| run.phase == Phase::Running);
        let mut checkpoint_bytes = 0;
        let runs = running.map(|((task, attempt), run)| {
            checkpoint_bytes += run.checkpoint.len();
            let has_room = checkpoint_bytes <= MAX_REPORTED_CHECKPOINT_BYTES;
            RunProgress {
                task: task.clone(),
                attempt: *attempt,
                percent: run.percent,
                ran_ms: (run.listed_at - run.known_since).as_millis() as u64,
                checkpoint: if has_room { run.checkpoint.clone() } else { String::new() },
            }
        });
        let silent_ms = self.last_contact.get().elapsed().as_millis() as u64;
        ProgressReport { silent_ms, runs: runs.collect() }
    }

    /// Serves the incarnation until it has ended and the store shows that.
    pub(super) async fn run(self: &Rc<Self>) {
        tokio::select! {
            () = self.give_orders() => {}
            () = self.renew_forever() => {}
            () = self.poll_until_listed() => {}
            () = self.poll_while_withholding() => {}
            () = self.register_forever() => {}
            () = self.watch_departure() => {}
            () = self.take_over_unanswered_starts() => {}
        }
        if self.end_cause.get() == Some(EndCause::Replaced) {
            self.stop_runs_at_successor().await;
        }
        self.unregister().await;
    }

    /// Ends a departed incarnation once its leases have certainly expired, or once nothing listens
    /// at its address after a deregistration. Without a deregistration a refused call proves
    /// nothing: the runs may outlive the listener.
    async fn watch_departure(self: &Rc<Self>) {
        while !self.has_ended() {
            if self.departed_since.get().is_none() {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            if self.leases_have_expired()
                || (self.has_deregistered.get() && self.refuses_connections().await)
            {
                self.end(EndCause::Left);
                return;
            }
            tokio::time::sleep(DEPARTURE_CHECK_INTERVAL).await;
        }
    }
}
