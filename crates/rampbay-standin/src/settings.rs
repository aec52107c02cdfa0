//! Sites of the two users' sizes, for trials.

use rampbay_core::{ids::WorkspaceId, knobs::Knobs, topology::WorkerSpec};

/// The sizes and the names of one user's site.
#[derive(Debug, Clone)]
pub struct Site {
    /// The user's name.
    pub name: &'static str,
    /// Its failure domains.
    pub failure_domains: [&'static str; 3],
    /// Its region.
    pub region: &'static str,
    /// Cores of each worker.
    pub cores: u32,
    /// Memory of each worker, in MiB.
    pub memory_mib: u32,
    /// Its workspaces.
    pub workspaces: Vec<(WorkspaceId, Knobs)>,
}

/// Workers of each user.
pub const WORKERS: usize = 10;
/// Accelerators of each worker.
pub const DEVICES: u32 = 8;
/// Workers in a rack.
pub const WORKERS_PER_RACK: usize = 3;
/// Upstreams of each user.
pub const UPSTREAMS: usize = 10;
/// Slots of each upstream.
pub const SLOTS: u32 = 8;
/// Connections of each upstream.
pub const CONNECTIONS: usize = 64;

fn knobs(guarantee: &str, weight: u32, packing: u32) -> Knobs {
    let shape = guarantee.parse().unwrap_or_default();
    Knobs::default().guarantee(shape).weight(weight).packing(packing)
}

impl Site {
    /// Returns Adwenkoma Stockline Labs' sizes.
    #[must_use]
    pub fn stockline() -> Self {
        Self {
            name: "stockline",
            failure_domains: ["kwadaso-hall", "ayeduase-hall", "bomso-hall"],
            region: "ashanti",
            cores: 128,
            memory_mib: 256 * 1024,
            workspaces: vec![
                ("forecasts".into(), knobs("1 rack", 200, 30)),
                ("reconciliation".into(), knobs("2 worker", 100, 30)),
                ("expiry".into(), knobs("1 worker", 100, 30)),
                ("trials".into(), knobs("1 quad", 50, 30)),
            ],
        }
    }

    /// Returns the Verbund Bibliothekskatalog Helvetia's sizes.
    #[must_use]
    pub fn verbund() -> Self {
        Self {
            name: "verbund",
            failure_domains: ["bern-halle", "olten-halle", "solothurn"],
            region: "mittelland",
            cores: 64,
            memory_mib: 128 * 1024,
            workspaces: vec![
                ("reindexing".into(), knobs("1 rack", 200, 80)),
                ("subjects".into(), knobs("1 worker + 1 quad", 100, 80)),
                ("authorities".into(), knobs("1 worker", 100, 80)),
                ("trials".into(), knobs("1 quad", 50, 80)),
            ],
        }
    }

    /// Returns the workers, three to a rack, racks spread over the failure domains.
    #[must_use]
    pub fn workers(&self) -> Vec<WorkerSpec> {
        (0..WORKERS).map(|at| self.worker(at)).collect()
    }

    fn worker(&self, at: usize) -> WorkerSpec {
        let rack = at / WORKERS_PER_RACK;
        let domain = self.failure_domains[rack % self.failure_domains.len()];
        let id = format!("{domain}-w{at}");
        let rack = format!("{domain}-r{rack}");
        WorkerSpec::new(&id, &rack, domain, self.region, DEVICES)
            .cores(self.cores)
            .memory_mib(self.memory_mib)
    }

    /// Returns the failure domain of the upstream or entry at a position.
    #[must_use]
    pub fn domain(&self, at: usize) -> &'static str {
        self.failure_domains[at % self.failure_domains.len()]
    }
}
