//! The machines of a fleet: how many of each kind, their addresses and settings.

use rampbay_jobs::settings::Settings;

use crate::load::Role;

/// Failure domains of a fleet.
const DOMAINS: usize = 5;
/// Workers of one rack.
pub(crate) const RACK: usize = 8;
/// Port at which peers reach each other.
const PEER_PORT: u16 = 7000;

/// How many processes of each kind a fleet has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Entries with a good share of a core and a wide link.
    pub ample: usize,
    /// Entries with little room.
    pub small: usize,
    /// Agents, with a worker each.
    pub agents: usize,
}

impl Size {
    /// Divides machines as a large deployment does: five in a hundred are ample entries, fourteen small ones.
    #[must_use]
    pub fn of(machines: usize) -> Self {
        let ample = (machines * 5).div_ceil(100).max(2);
        let small = machines * 14 / 100;
        Self { ample, small, agents: machines.saturating_sub(ample + small) }
    }

    /// Returns the number of entries.
    #[must_use]
    pub const fn entries(&self) -> usize {
        self.ample + self.small
    }

    /// Returns the number of machines.
    #[must_use]
    pub const fn machines(&self) -> usize {
        self.entries() + self.agents
    }

    /// Returns what the process at a place is.
    pub(crate) const fn role(&self, place: usize) -> Role {
        if place < self.ample {
            Role::AmpleEntry
        } else if place < self.entries() {
            Role::SmallEntry
        } else {
            Role::Agent
        }
    }
}

/// Returns where peers reach the process of a machine.
pub(crate) fn address(place: usize) -> String {
    format!("{}:{PEER_PORT}", ip(place))
}

/// Returns the address of a machine; addresses sort as places do.
fn ip(place: usize) -> String {
    format!("10.0.{}.{}", 100 + place / 100, 100 + place % 100)
}

/// Returns the place of a machine by the address of its process.
pub(crate) fn place_of(address: &str) -> usize {
    let ip = address.split(':').next().unwrap_or_default();
    let numbers: Vec<usize> = ip.split('.').filter_map(|number| number.parse().ok()).collect();
    (numbers[2] - 100) * 100 + numbers[3] - 100
}

fn settings(place: usize, role: Role, seeds: &[String]) -> Settings {
    let kind = if role == Role::Agent { "side" } else { "entry" };
    let (link_mbps, cpu_share) = match role {
        Role::AmpleEntry => (1000, 1.0),
        Role::SmallEntry => (20, 0.12),
        Role::Agent => (1000, 0.15),
    };
    let text = serde_json::json!({
        "node": format!("{kind}-{place}"), "ip": ip(place),
        "failure_domain": format!("domain-{}", place % DOMAINS),
        "peer_port": PEER_PORT, "metrics_port": PEER_PORT + 1, "seeds": seeds,
        "store": "10.200.0.1:1", "lease_ms": 6000, "stop_ms": 400, "revocation_ms": 5000,
        "visible_ms": 3000, "grace_s": 6.0, "remote_penalty": 3, "leader_ttl_ms": 1000,
        "link_mbps": link_mbps, "cpu_share": cpu_share,
    });
    serde_json::from_value(text).expect("settings as a deployment writes them")
}

/// One machine and what runs there.
pub(crate) struct Machine {
    /// Its place among all machines.
    pub(crate) place: usize,
    /// What its process is.
    pub(crate) role: Role,
    /// The settings of its process.
    pub(crate) settings: Settings,
}

impl Machine {
    /// Describes the machine at a place.
    pub(crate) fn of(size: Size, place: usize, seeds: &[String]) -> Self {
        let role = size.role(place);
        Self { place, role, settings: settings(place, role, seeds) }
    }
}
