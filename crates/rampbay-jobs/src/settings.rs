//! Settings of a process, as JSON.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::Deserialize;

use crate::agent::AgentSettings;
use crate::job::NodeName;
use crate::parts::PlanLayout;
use crate::planner::{Placement, PlannerSettings};
use crate::record::Member;
use crate::store::StoreLimits;

/// Maximum rate of this process's clock relative to a worker's, in thousandths: a worker's clock may be that
/// much slower.
const CLOCK_DRIFT_PERMILLE: u64 = 1020;
/// Time added to the end of a lease before a run counts as gone.
const EXPIRY_SLACK: Duration = Duration::from_millis(300);
/// Longest time after which a call that got no answer is still carried out.
pub const MAX_CALL_DELAY: Duration = Duration::from_millis(12_500);
/// Share of the time allowed for the removal of a key, in thousandths: an entry whose configuration is older
/// than this share stops answering.
const REVOCATION_MARGIN_PERMILLE: u64 = 550;

/// Share of the time allowed for a drain, in thousandths: a leader whose view of the operators' orders is older
/// than this share assigns nothing more. The rest is for the agents' view (2 s) and the order itself.
const DRAIN_MARGIN_PERMILLE: u64 = 550;

/// Largest value of `checkpoint_s`, in seconds: one hour.
const MAX_CHECKPOINT_S: f64 = 3600.0;
/// Smallest value of `record_bytes`, in bytes: the largest part of a plan fits.
const MIN_RECORD_BYTES: usize = 64 << 10;
/// Smallest value of `memory_mb`: the process itself takes some megabytes.
const MIN_MEMORY_MB: usize = 32;
/// Memory of a machine that isn't known: that of the smallest one.
const UNKNOWN_MEMORY_MB: usize = 128;
/// Smallest value of `max_fds`.
const MIN_FDS: usize = 400;
/// Descriptors of a machine that isn't known: the usual limit of a process.
const UNKNOWN_FDS: usize = 1024;
/// Descriptors that are kept for files.
const FILE_FDS: usize = 200;
/// Range of the parts that clients get, in percent. The process itself needs the rest.
const CLIENT_PERCENT: std::ops::RangeInclusive<usize> = 5..=80;
/// Range of `max_head_bytes`: from the smallest buffer of the HTTP library to the largest body.
const HEAD_BYTES: std::ops::RangeInclusive<usize> = (8 << 10)..=(1 << 20);
/// Largest value of `restore_ms`, in milliseconds: one hour.
const MAX_RESTORE_MS: f64 = 3_600_000.0;

/// Settings of a process. Unknown fields are ignored, so that a newer platform may add some.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of the process.
    pub node: NodeName,
    /// Address of its machine.
    pub ip: IpAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Port at which peers reach it.
    pub peer_port: u16,
    /// Port of its metrics.
    pub metrics_port: u16,
    /// Address that callers connect to; entries only.
    pub callers: Option<SocketAddr>,
    /// Address of the readiness check; entries only.
    pub readiness: Option<SocketAddr>,
    /// Address at which the worker registers; agents only.
    pub registration: Option<SocketAddr>,
    /// Addresses of some entries, used until the addresses of all processes are known from the store.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the interface for the maintenance of machines; entries only. Without it, waves aren't served.
    pub machines_address: Option<SocketAddr>,
    /// Longest lease that a worker grants.
    pub lease_ms: u64,
    /// Time that a stop takes at a worker.
    pub stop_ms: u64,
    /// Time after which a removed key may no longer be accepted.
    pub revocation_ms: u64,
    /// Time after which nothing may be started in a failure domain that operators drain.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Time within which a machine that can be reached learns of a change.
    #[serde(default = "default_awareness_ms")]
    pub awareness_ms: u64,
    /// Time between two heartbeats of a worker.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Maximum age of the count of pending jobs that callers are given.
    pub visible_ms: u64,
    /// How long after its end callers may query a job.
    #[serde(default = "default_status_s")]
    pub status_s: u64,
    /// Time between SIGTERM and SIGKILL.
    pub grace_s: f64,
    /// Factor by which work takes longer away from its data.
    pub remote_penalty: u64,
    /// Policy by which a leader places work: `auto`, `by_lost_work` or `by_completion`.
    #[serde(default)]
    pub placement: Placement,
    /// Work between two checkpoints of a run that saves them, in seconds.
    #[serde(default = "default_checkpoint_s")]
    pub checkpoint_s: f64,
    /// Time of a restart from a checkpoint, in milliseconds.
    #[serde(default = "default_restore_ms")]
    pub restore_ms: f64,
    /// Minimum time for which a candidate for leadership may be silent.
    pub leader_ttl_ms: u64,
    /// How a leader writes the plans of wide jobs: `in_parts`, or `whole` as long as processes of a release without parts
    /// are running. All processes read both.
    #[serde(default)]
    pub wide_accounts: PlanLayout,
    /// Maximum size of a record of the store, in bytes.
    #[serde(default = "default_record_bytes")]
    pub record_bytes: usize,
    /// Maximum size of an append to the store, in bytes.
    #[serde(default = "default_append_bytes")]
    pub append_bytes: usize,
    /// Bandwidth of the machine's link, in megabits a second; 0 if it isn't known.
    #[serde(default)]
    pub link_mbps: f64,
    /// Share of a core that the process gets; 0 if it isn't known.
    #[serde(default)]
    pub cpu_share: f64,
    /// Factor on `cpu_share`: how many times as fast as one core the share runs.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Memory of the machine, in megabytes; 0 if it isn't known.
    #[serde(default)]
    pub memory_mb: usize,
    /// Descriptors that the process may open; 0 if it isn't known.
    #[serde(default)]
    pub max_fds: usize,
    /// Part of the memory that clients may make the process hold, in percent.
    #[serde(default = "default_client_memory_percent")]
    pub client_memory_percent: usize,
    /// Part of the descriptors for sockets that connections of clients may take, in percent.
    #[serde(default = "default_client_fds_percent")]
    pub client_fds_percent: usize,
    /// Largest head of a request, in bytes.
    #[serde(default = "default_max_head_bytes")]
    pub max_head_bytes: usize,
    /// Lowest level of log lines.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

const fn default_status_s() -> u64 {
    120
}

const fn default_awareness_ms() -> u64 {
    3000
}

const fn default_heartbeat_ms() -> u64 {
    1500
}

const fn default_checkpoint_s() -> f64 {
    1.0
}

const fn default_drain_ms() -> u64 {
    5000
}

const fn default_restore_ms() -> f64 {
    250.0
}

fn default_record_bytes() -> usize {
    StoreLimits::default().record_bytes
}

fn default_append_bytes() -> usize {
    StoreLimits::default().append_bytes
}

const fn default_client_memory_percent() -> usize {
    25
}

const fn default_client_fds_percent() -> usize {
    75
}

const fn default_max_head_bytes() -> usize {
    64 << 10
}

const fn default_cores() -> f64 {
    1.0
}

fn default_log_level() -> String {
    "info".to_owned()
}

/// Settings that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("the settings file can't be read: {0}")]
    Unreadable(#[from] std::io::Error),
    /// The text isn't valid.
    #[error("the settings aren't valid: {0}")]
    Invalid(String),
}

fn out_of_range(field: &str, value: f64, max: f64) -> SettingsError {
    SettingsError::Invalid(format!("{field} is {value}, must be from 0 to {max}"))
}

/// Converts a number of seconds that [`Settings::check`] has found in range.
fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}

impl Settings {
    /// Checks that the values are usable.
    ///
    /// # Errors
    ///
    /// Returns an error that says which value is wrong.
    pub fn check(self) -> Result<Self, SettingsError> {
        let invalid = |text: &str| Err(SettingsError::Invalid(text.to_owned()));
        if self.node.is_empty() {
            return invalid("node is empty");
        }
        if self.lease_ms < 1000 {
            return invalid("lease_ms is below 1000");
        }
        if self.revocation_ms < 1000 {
            return invalid("revocation_ms is below 1000");
        }
        if self.drain_ms < 1000 {
            return invalid("drain_ms is below 1000");
        }
        if self.cpu_share < 0.0 || self.cores < 0.0 {
            return invalid("cpu_share or cores is below 0");
        }
        if !(0.0..=MAX_CHECKPOINT_S).contains(&self.checkpoint_s) {
            return Err(out_of_range("checkpoint_s", self.checkpoint_s, MAX_CHECKPOINT_S));
        }
        if !(0.0..=MAX_RESTORE_MS).contains(&self.restore_ms) {
            return Err(out_of_range("restore_ms", self.restore_ms, MAX_RESTORE_MS));
        }
        if self.record_bytes < MIN_RECORD_BYTES || self.append_bytes < self.record_bytes {
            return invalid("record_bytes is below 65536, or append_bytes below record_bytes");
        }
        self.check_client_limits()?;
        if self.peer_port == self.metrics_port {
            return invalid("peer_port and metrics_port are the same");
        }
        Ok(self)
    }

    /// Checks what clients may make the process hold.
    fn check_client_limits(&self) -> Result<(), SettingsError> {
        let invalid = |text: String| Err(SettingsError::Invalid(text));
        if self.memory_mb != 0 && self.memory_mb < MIN_MEMORY_MB {
            return invalid(format!("memory_mb is below {MIN_MEMORY_MB}"));
        }
        if self.max_fds != 0 && self.max_fds < MIN_FDS {
            return invalid(format!("max_fds is below {MIN_FDS}"));
        }
        let percents = [self.client_memory_percent, self.client_fds_percent];
        if percents.iter().any(|percent| !CLIENT_PERCENT.contains(percent)) {
            return invalid("a percentage for clients isn't from 5 to 80".to_owned());
        }
        if !HEAD_BYTES.contains(&self.max_head_bytes) {
            return invalid("max_head_bytes isn't from 8192 to 1048576".to_owned());
        }
        Ok(())
    }

    /// Returns the memory that all clients together may make the process hold, in bytes.
    #[must_use]
    pub const fn client_bytes(&self) -> usize {
        let memory_mb = if self.memory_mb == 0 { UNKNOWN_MEMORY_MB } else { self.memory_mb };
        (memory_mb << 20) / 100 * self.client_memory_percent
    }

    /// Returns the largest number of connections that all clients together may open.
    #[must_use]
    pub const fn client_connections(&self) -> usize {
        let fds = if self.max_fds == 0 { UNKNOWN_FDS } else { self.max_fds };
        (fds - FILE_FDS) * self.client_fds_percent / 100
    }

    /// Returns the time after which all leases have expired, counted from when the last renewal was sent.
    #[must_use]
    pub fn lease_expiry(&self) -> Duration {
        Duration::from_millis(self.lease_ms * CLOCK_DRIFT_PERMILLE / 1000) + EXPIRY_SLACK
    }

    /// Describes this process to its peers.
    #[must_use]
    pub fn member(&self, passes_on: bool) -> Member {
        Member {
            node: self.node.clone(),
            address: SocketAddr::new(self.ip, self.peer_port).to_string(),
            failure_domain: self.failure_domain.clone(),
            passes_on,
            link_mbps: self.link_mbps as u32,
            cpu_milli: (self.cpu_share * self.cores * 1000.0) as u32,
        }
    }

    /// Returns the maximum age of the configuration by which calls are answered.
    #[must_use]
    pub fn configuration_age(&self) -> Duration {
        Duration::from_millis(self.revocation_ms * REVOCATION_MARGIN_PERMILLE / 1000)
    }

    /// Returns the maximum age of the table by which a job is reported as unknown.
    #[must_use]
    pub const fn table_age(&self) -> Duration {
        Duration::from_millis(self.visible_ms / 2)
    }

    /// Returns how long an agent that ends waits until the store holds the record of its stop.
    #[must_use]
    pub const fn stop_record_timeout(&self) -> Duration {
        Duration::from_millis(self.lease_ms / STOP_RECORD_LEASE_FRACTION)
    }

    /// Returns the sizes that the store takes.
    #[must_use]
    pub const fn store_limits(&self) -> StoreLimits {
        StoreLimits { record_bytes: self.record_bytes, append_bytes: self.append_bytes }
    }

    /// Returns the settings of an agent.
    #[must_use]
    pub fn agent(&self) -> AgentSettings {
        AgentSettings {
            lease: Duration::from_millis(self.lease_ms),
            lease_expiry: self.lease_expiry(),
            max_renewal_table_age: MAX_RENEWAL_TABLE_AGE,
            max_start_table_age: Duration::from_millis(2000),
            max_heartbeat_age: self.max_heartbeat_age(),
            silence_timeout: Duration::from_millis(2500),
            renewal_wait: Duration::from_millis(1000),
            report_interval: Duration::from_millis(1000),
            idle_report_interval: Duration::from_millis(2000),
            unanswered_start_timeout: Duration::from_millis(100),
            max_call_delay: MAX_CALL_DELAY,
        }
    }

    /// Returns the maximum age of a worker's heartbeat by which runs are started. A capacity that has shrunk has to be
    /// respected after `awareness_ms` and one heartbeat; the time that a start takes is deducted.
    fn max_heartbeat_age(&self) -> Duration {
        let shrunk_ms = self.awareness_ms + self.heartbeat_ms;
        Duration::from_millis(shrunk_ms.saturating_sub(MAX_START_MS).max(self.heartbeat_ms))
    }

    /// Returns the settings of a planner.
    #[must_use]
    pub fn planner(&self) -> PlannerSettings {
        PlannerSettings {
            suspect_after: Duration::from_millis(3500),
            evict_after: Duration::from_millis(7000),
            remove_evicted_after: MAX_RENEWAL_TABLE_AGE + self.lease_expiry() + EXPIRY_SLACK,
            remove_departed_after: self.lease_expiry() + EXPIRY_SLACK,
            stop_slack: EXPIRY_SLACK,
            stall_after: Duration::from_millis(3500),
            ended_job_retention: Duration::from_secs(self.status_s * RETENTION_FACTOR),
            max_drain_orders_age: Duration::from_millis(
                self.drain_ms * DRAIN_MARGIN_PERMILLE / 1000,
            ),
            remote_penalty: self.remote_penalty.max(1),
            stop_time: Duration::from_millis(self.stop_ms),
            checkpoint_interval: seconds(self.checkpoint_s),
            restore_time: seconds(self.restore_ms / 1000.0),
            placement: self.placement,
            plan_layout: self.wide_accounts,
            store_limits: self.store_limits(),
        }
    }
}

/// Maximum time that a start takes, with its retries, in milliseconds: three orders of 300 ms, and their transmission.
const MAX_START_MS: u64 = 1500;
/// An agent that ends waits for the record of its stop for this fraction of a lease: its successor needs the rest to
/// start, to read the state and to register.
const STOP_RECORD_LEASE_FRACTION: u64 = 3;
/// Ended jobs are kept this many times as long as callers may query them, since an append that got no
/// answer may still be carried out.
const RETENTION_FACTOR: u64 = 2;
/// Maximum age of the table by which an agent renews leases: outages of the store up to this long cost
/// no work.
const MAX_RENEWAL_TABLE_AGE: Duration = Duration::from_millis(9000);
