//! The time line: numbered events of all processes in one order.

use std::{collections::VecDeque, sync::Mutex};

use rampbay_core::ids::{JobId, ProcessId, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::clock::{Clock, Stamp};

macro_rules! codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $text:literal;)+) => {
        /// The numbered events. `docs/EVENTS.md` lists them; a test compares the two lists.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[repr(u16)]
        pub enum Code {
            $($(#[doc = $doc])+ $name = $number,)+
        }

        impl Code {
            /// Every event.
            pub const ALL: &'static [Code] = &[$(Code::$name),+];

            /// Returns the event's short text.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self {
                    $(Code::$name => $text,)+
                }
            }
        }
    };
}

codes! {
    /// A process has started.
    ProcessStarted = 100, "process started";
    /// A process has been asked to stop and finishes its work.
    ProcessDraining = 101, "process drains";
    /// A process has ended its last work.
    ProcessDrained = 102, "process drained";
    /// A request was received.
    JobReceived = 200, "job received";
    /// A request was refused; nothing of it ran.
    JobRefused = 201, "job refused";
    /// A job waits for its gang.
    GangWaits = 210, "gang waits";
    /// Devices are being held for a gang.
    GangHolds = 211, "gang holds devices";
    /// Every part of a gang is committed; its work may start.
    GangStarted = 212, "gang started";
    /// A worker refused part of a gang; every hold was released.
    GangRefused = 213, "gang start refused";
    /// A gang's devices were released.
    GangReleased = 214, "gang released";
    /// A gang was lost with a worker or an expired lease.
    GangLost = 215, "gang lost";
    /// A gang was asked to shrink, checkpoint or stop for another job.
    GangYields = 216, "gang asked to give way";
    /// A gang released some of its devices and continues to run.
    GangShrunk = 217, "gang shrunk";
    /// An orphaned gang was stopped.
    OrphanStopped = 218, "orphaned gang stopped";
    /// An attempt was sent to a side process.
    AttemptSent = 220, "attempt sent";
    /// An attempt was started at its upstream.
    AttemptStarted = 221, "attempt started";
    /// An attempt has ended at its upstream.
    AttemptEnded = 222, "attempt ended";
    /// An attempt was cancelled.
    AttemptCancelled = 223, "attempt cancelled";
    /// An upstream failed so often that it gets no work for a while.
    UpstreamEjected = 230, "upstream ejected";
    /// A request reached its final outcome.
    JobSettled = 240, "job settled";
    /// Work that must run at most once was claimed in the log.
    ClaimMade = 250, "claim made";
    /// Another entry had claimed the same work earlier.
    ClaimLost = 251, "claim lost";
    /// A new version of the table is in force here.
    TableAccepted = 300, "table version in force";
    /// An edit of the table came too late and is void.
    TableVoid = 301, "table edit void";
    /// A record of the log was skipped.
    RecordSkipped = 302, "record skipped";
    /// A snapshot of the table was written.
    SnapshotWritten = 303, "table snapshot written";
    /// The table was taken from a peer while the log is down.
    TableFromPeer = 304, "table taken from a peer";
    /// The log can't be reached.
    LogDown = 310, "log unreachable";
    /// The log can be reached again.
    LogUp = 311, "log reachable again";
    /// The workers can't be reached.
    WorkersDown = 320, "workers unreachable";
    /// The workers can be reached again.
    WorkersUp = 321, "workers reachable again";
    /// The devices that the fleet has left can't meet a guarantee.
    GuaranteeShort = 330, "guarantees short of devices";
    /// A message was dropped because it could not be read.
    MessageUnreadable = 400, "message unreadable";
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When the event happened; orders events across all processes.
    pub stamp: Stamp,
    /// The process in which the event happened.
    pub process: ProcessId,
    /// What happened.
    pub code: Code,
    /// The job concerned, if any.
    pub job: Option<JobId>,
    /// The workspace concerned, if any.
    pub workspace: Option<WorkspaceId>,
    /// Further details, as text.
    pub detail: String,
}

/// A bounded buffer of events of this process and of others, in order of arrival.
///
/// [`Timeline::select`] returns events in order of their stamps.
#[derive(Debug)]
pub struct Timeline {
    process: ProcessId,
    events: Mutex<Inner>,
    capacity: usize,
}

#[derive(Debug, Default)]
struct Inner {
    events: VecDeque<Event>,
    unsent: VecDeque<Event>,
    dropped: u64,
}

/// The most events that wait to be forwarded to another process; later ones aren't forwarded.
const MAX_UNSENT: usize = 2_048;

impl Timeline {
    /// Creates a buffer that keeps the last `capacity` events.
    #[must_use]
    pub fn new(process: impl Into<ProcessId>, capacity: usize) -> Self {
        Self { process: process.into(), events: Mutex::new(Inner::default()), capacity }
    }

    /// Records an event of this process.
    pub fn record(
        &self,
        clock: &Clock,
        code: Code,
        job: Option<&JobId>,
        workspace: Option<&WorkspaceId>,
        detail: impl Into<String>,
    ) {
        let event = Event {
            stamp: clock.stamp(),
            process: self.process.clone(),
            code,
            job: job.cloned(),
            workspace: workspace.cloned(),
            detail: detail.into(),
        };
        let mut inner = self.lock();
        if inner.unsent.len() < MAX_UNSENT {
            inner.unsent.push_back(event.clone());
        } else {
            inner.dropped += 1;
        }
        self.push(&mut inner, event);
    }

    /// Adds events received from another process.
    pub fn merge(&self, events: Vec<Event>) {
        let mut inner = self.lock();
        for event in events {
            self.push(&mut inner, event);
        }
    }

    /// Removes and returns at most `count` of the events that wait to be forwarded.
    pub fn take_unsent(&self, count: usize) -> Vec<Event> {
        let mut inner = self.lock();
        let count = count.min(inner.unsent.len());
        inner.unsent.drain(..count).collect()
    }

    /// Returns the events that match a filter, in order of their stamps.
    pub fn select(&self, filter: impl Fn(&Event) -> bool) -> Vec<Event> {
        let inner = self.lock();
        let mut events: Vec<Event> = inner.events.iter().filter(|e| filter(e)).cloned().collect();
        events.sort_by_key(|event| event.stamp);
        events
    }

    /// Returns how many events weren't forwarded because too many were waiting.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    fn push(&self, inner: &mut Inner, event: Event) {
        if inner.events.len() >= self.capacity {
            inner.events.pop_front();
        }
        inner.events.push_back(event);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.events.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
