//! The machines of a fleet: their number by kind, their addresses and their settings.

use rampbay_jobs::settings::Settings;

use crate::load::Role;

/// Number of failure domains of a fleet.
const FAILURE_DOMAINS: usize = 5;
/// Number of workers in one rack.
pub(crate) const WORKERS_PER_RACK: usize = 8;
/// Port of the peer protocol.
const PEER_PORT: u16 = 7000;

/// Number of processes of each kind in a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Entries on machines with a good share of a core and a wide link.
    pub well_provisioned: usize,
    /// Entries on machines with little processor power and a narrow link.
    pub small: usize,
    /// Agents, each with a worker.
    pub agents: usize,
}

impl Size {
    /// Divides machines as in a large deployment: 5% are well-provisioned entries, 14% small ones.
    #[must_use]
    pub fn of(machines: usize) -> Self {
        let well_provisioned = (machines * 5).div_ceil(100).max(2);
        let small = machines * 14 / 100;
        Self { well_provisioned, small, agents: machines.saturating_sub(well_provisioned + small) }
    }

    /// Returns the number of entries.
    #[must_use]
    pub const fn entries(&self) -> usize {
        self.well_provisioned + self.small
    }

    /// Returns the number of machines.
    #[must_use]
    pub const fn machines(&self) -> usize {
        self.entries() + self.agents
    }

    /// Returns the kind of the process on a machine.
    pub(crate) const fn role(&self, index: usize) -> Role {
        if index < self.well_provisioned {
            Role::WellProvisionedEntry
        } else if index < self.entries() {
            Role::SmallEntry
        } else {
            Role::Agent
        }
    }
}

/// Returns the peer address of a machine's process.
pub(crate) fn address(index: usize) -> String {
    format!("{}:{PEER_PORT}", ip(index))
}

/// Returns the IP address of a machine; addresses sort in the order of the machines' indices.
fn ip(index: usize) -> String {
    format!("10.0.{}.{}", 100 + index / 100, 100 + index % 100)
}

/// Returns the index of a machine from the address of its process.
pub(crate) fn index_of(address: &str) -> usize {
    let ip = address.split(':').next().unwrap_or_default();
    let numbers: Vec<usize> = ip.split('.').filter_map(|number| number.parse().ok()).collect();
    (numbers[2] - 100) * 100 + numbers[3] - 100
}

fn settings(index: usize, role: Role, seeds: &[String]) -> Settings {
    let kind = if role == Role::Agent { "side" } else { "entry" };
    let (link_mbps, cpu_share) = match role {
        Role::WellProvisionedEntry => (1000, 1.0),
        Role::SmallEntry => (20, 0.12),
        Role::Agent => (1000, 0.15),
    };
    let text = serde_json::json!({
        "node": format!("{kind}-{index}"), "ip": ip(index),
        "failure_domain": format!("domain-{}", index % FAILURE_DOMAINS),
        "peer_port": PEER_PORT, "metrics_port": PEER_PORT + 1, "seeds": seeds,
        "store": "10.200.0.1:1", "lease_ms": 6000, "stop_ms": 400, "revocation_ms": 5000,
        "visible_ms": 3000, "grace_s": 6.0, "remote_penalty": 3, "leader_ttl_ms": 1000,
        "link_mbps": link_mbps, "cpu_share": cpu_share,
    });
    serde_json::from_value(text).expect("settings as a deployment writes them")
}

/// One machine and its process.
pub(crate) struct Machine {
    /// Index among all machines.
    pub(crate) index: usize,
    /// Kind of its process.
    pub(crate) role: Role,
    /// The settings of its process.
    pub(crate) settings: Settings,
}

impl Machine {
    /// Describes the machine with the given index.
    pub(crate) fn of(size: Size, index: usize, seeds: &[String]) -> Self {
        let role = size.role(index);
        Self { index, role, settings: settings(index, role, seeds) }
    }
}
