//! Settings of an entry.

use std::net::SocketAddr;

use rampbay_core::{
    ids::{ProcessId, WorkspaceId},
    plan::PlanSettings,
};
use rampbay_node::settings::{Checked, Checker};
use serde::{Deserialize, Serialize};

/// Settings of an entry; `docs/examples` has one for each user.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The process's name.
    pub id: ProcessId,
    /// Its failure domain.
    pub failure_domain: String,
    /// Address that serves callers; port 0 picks a free port.
    #[serde(default = "any_port")]
    pub callers: SocketAddr,
    /// Address that serves operators, metrics and health.
    #[serde(default = "any_port")]
    pub operators: SocketAddr,
    /// Address on which its mailbox listens.
    #[serde(default = "any_port")]
    pub mailbox: SocketAddr,
    /// Address of the platform's log, list of boxes and workers.
    pub platform: SocketAddr,
    /// Bounds on sizes and counts.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Intervals and timeouts.
    #[serde(default)]
    pub times: TimeSettings,
    /// The planner's times and bounds.
    #[serde(default)]
    pub plan: PlanSettings,
    /// Keys of callers and operators; if empty, requests need no key and have full access.
    #[serde(default)]
    pub keys: Vec<KeySettings>,
    /// The level of the log: off, error, warn, info, debug or trace.
    #[serde(default = "default_level")]
    pub log_level: String,
}

/// Bounds on sizes and counts of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Most requests without an outcome at once.
    pub requests: usize,
    /// Most requests that wait for a slot of an upstream.
    pub queue: usize,
    /// Most upstreams that this entry sends work to; those of its failure domain come first.
    pub upstreams: usize,
    /// Most bytes of request bodies held at once.
    pub held_bytes: usize,
    /// Most bytes of answers kept for callers that fetch them later.
    pub kept_answer_bytes: usize,
    /// Most events that the time line keeps.
    pub timeline_events: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            requests: 50_000,
            queue: 20_000,
            upstreams: 64,
            held_bytes: 256 * 1024 * 1024,
            kept_answer_bytes: 64 * 1024 * 1024,
            timeline_events: 50_000,
        }
    }
}

/// Intervals and timeouts of an entry, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimeSettings {
    /// Time after which a hold of devices expires unless it is committed.
    pub hold_ms: u64,
    /// Time after which a committed lease expires unless it is renewed; it is renewed three times
    /// within that time.
    pub lease_ms: u64,
    /// Interval at which the workers are polled for changes.
    pub workers_poll_ms: u64,
    /// Interval at which the log is polled.
    pub log_poll_ms: u64,
    /// Interval at which the list of boxes is polled.
    pub boxes_poll_ms: u64,
    /// How long an answer is kept for callers that fetch it later.
    pub keep_answer_ms: u64,
    /// Deadline of requests that set none.
    pub default_deadline_ms: u64,
}

impl Default for TimeSettings {
    fn default() -> Self {
        Self {
            hold_ms: 2_000,
            lease_ms: 3_000,
            workers_poll_ms: 50,
            log_poll_ms: 200,
            boxes_poll_ms: 500,
            keep_answer_ms: 600_000,
            default_deadline_ms: 60_000,
        }
    }
}

/// A key and what it gives access to.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// The secret.
    pub key: String,
    /// The workspace whose requests the key gives access to; absent for an operator's key.
    #[serde(default)]
    pub workspace: Option<WorkspaceId>,
}

impl std::fmt::Debug for KeySettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KeySettings").field("workspace", &self.workspace).finish_non_exhaustive()
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn default_level() -> String {
    "info".to_owned()
}

impl EntrySettings {
    /// Creates settings with the defaults.
    #[must_use]
    pub fn new(
        id: impl Into<ProcessId>,
        failure_domain: impl Into<String>,
        platform: SocketAddr,
    ) -> Self {
        Self {
            id: id.into(),
            failure_domain: failure_domain.into(),
            callers: any_port(),
            operators: any_port(),
            mailbox: any_port(),
            platform,
            limits: LimitSettings::default(),
            times: TimeSettings::default(),
            plan: PlanSettings::default(),
            keys: Vec::new(),
            log_level: default_level(),
        }
    }

    /// Sets the keys.
    #[must_use]
    pub fn keys(mut self, keys: Vec<KeySettings>) -> Self {
        self.keys = keys;
        self
    }
}

const MIN_KEY_LENGTH: usize = 16;
const MIB: u64 = 1024 * 1024;

impl Checked for EntrySettings {
    fn check(&self, checker: &mut Checker) {
        checker.not_empty("id", &self.id);
        checker.not_empty("failure_domain", &self.failure_domain);
        let limits = &self.limits;
        checker.range("limits.body_bytes", limits.body_bytes as u64, 1, 32 * MIB, "bytes");
        checker.range("limits.requests", limits.requests as u64, 1, 1_000_000, "requests");
        checker.range("limits.queue", limits.queue as u64, 1, 1_000_000, "requests");
        checker.range("limits.upstreams", limits.upstreams as u64, 1, 10_000, "upstreams");
        checker.range("limits.held_bytes", limits.held_bytes as u64, MIB, 4096 * MIB, "bytes");
        let kept = limits.kept_answer_bytes as u64;
        checker.range("limits.kept_answer_bytes", kept, 0, 4096 * MIB, "bytes");
        let events = limits.timeline_events as u64;
        checker.range("limits.timeline_events", events, 100, 10_000_000, "events");
        let times = &self.times;
        checker.range("times.hold_ms", times.hold_ms, 100, 60_000, "ms");
        checker.range("times.lease_ms", times.lease_ms, 300, 60_000, "ms");
        checker.range("times.workers_poll_ms", times.workers_poll_ms, 5, 10_000, "ms");
        checker.range("times.log_poll_ms", times.log_poll_ms, 10, 10_000, "ms");
        checker.range("times.boxes_poll_ms", times.boxes_poll_ms, 10, 60_000, "ms");
        checker.range("times.keep_answer_ms", times.keep_answer_ms, 0, 86_400_000, "ms");
        let deadline = times.default_deadline_ms;
        checker.range("times.default_deadline_ms", deadline, 1, 86_400_000, "ms");
        for (at, key) in self.keys.iter().enumerate() {
            if key.key.len() < MIN_KEY_LENGTH {
                let expected = format!("a secret of at least {MIN_KEY_LENGTH} characters");
                checker.fault(format!("keys[{at}].key"), "(not shown)", expected);
            }
        }
    }
}
