//! Settings of a side process.

use std::net::SocketAddr;

use rampbay_core::ids::ProcessId;
use rampbay_node::settings::{Checked, Checker};
use serde::{Deserialize, Serialize};

/// Settings of a side process; `docs/examples` has one for each user.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SideSettings {
    /// The process's name.
    pub id: ProcessId,
    /// Its failure domain.
    pub failure_domain: String,
    /// Address on which its mailbox listens; port 0 picks a free port.
    #[serde(default = "any_port")]
    pub mailbox: SocketAddr,
    /// Address that serves metrics, health and drain.
    #[serde(default = "any_port")]
    pub http: SocketAddr,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Slots of the upstream.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Most connections to the upstream.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Most attempts that wait here for a slot.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// The largest answer that is accepted from the upstream, in bytes.
    #[serde(default = "default_max_answer")]
    pub max_answer_bytes: usize,
    /// The level of the log: off, error, warn, info, debug or trace.
    #[serde(default = "default_level")]
    pub log_level: String,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn default_slots() -> u32 {
    8
}

fn default_connections() -> usize {
    64
}

fn default_queue() -> usize {
    8
}

fn default_max_answer() -> usize {
    8 * 1024 * 1024
}

fn default_level() -> String {
    "info".to_owned()
}

impl SideSettings {
    /// Creates settings with the defaults.
    #[must_use]
    pub fn new(
        id: impl Into<ProcessId>,
        failure_domain: impl Into<String>,
        upstream: SocketAddr,
    ) -> Self {
        Self {
            id: id.into(),
            failure_domain: failure_domain.into(),
            mailbox: any_port(),
            http: any_port(),
            upstream,
            slots: default_slots(),
            connections: default_connections(),
            queue: default_queue(),
            max_answer_bytes: default_max_answer(),
            log_level: default_level(),
        }
    }

    /// Sets the number of slots.
    #[must_use]
    pub const fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }
}

impl Checked for SideSettings {
    fn check(&self, checker: &mut Checker) {
        checker.not_empty("id", &self.id);
        checker.not_empty("failure_domain", &self.failure_domain);
        checker.range("slots", self.slots.into(), 1, 10_000, "slots");
        checker.range("connections", self.connections as u64, 1, 100_000, "connections");
        checker.range("queue", self.queue as u64, 0, 100_000, "attempts");
        let bytes = self.max_answer_bytes as u64;
        checker.range("max_answer_bytes", bytes, 1, 32 * 1024 * 1024, "bytes");
        if self.connections < self.slots as usize {
            let expected = "at least as many connections as slots";
            checker.fault("connections", self.connections.to_string(), expected);
        }
    }
}
