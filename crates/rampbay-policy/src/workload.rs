//! Seeded arrivals: bursts of many small gangs and of few large ones, heavy-tailed durations.

use std::time::Duration;

use rampbay_core::{
    ids::WorkspaceId,
    job::{Class, GangSpec, JobSpec},
    knobs::Knobs,
    topology::WorkerSpec,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One job of the workload.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it arrives.
    pub at: Duration,
    /// What it asks for.
    pub spec: JobSpec,
    /// How long it runs on its full gang.
    pub run: Duration,
}

/// A worker that is lost for a while.
#[derive(Debug, Clone)]
pub struct Loss {
    /// When the worker is lost.
    pub at: Duration,
    /// When the worker is back.
    pub back: Duration,
    /// The worker's index in the fleet.
    pub worker: usize,
}

/// The input of a simulation, the same for every policy.
#[derive(Debug, Clone)]
pub struct Workload {
    /// The fleet.
    pub workers: Vec<WorkerSpec>,
    /// The table.
    pub workspaces: Vec<(WorkspaceId, Knobs)>,
    /// Jobs in order of arrival.
    pub arrivals: Vec<Arrival>,
    /// Lost workers.
    pub losses: Vec<Loss>,
    /// An edit of the table during the run: its time, a workspace, and the workspace's new knobs.
    pub edit: (Duration, WorkspaceId, Knobs),
}

/// The mix of jobs of one of the two users.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// Many short forecasts and reconciliations, some large.
    Stockline,
    /// Enrichment jobs, and long bulk re-indexing that needs adjacent devices.
    Verbund,
}

impl Mix {
    /// Returns the mix's name.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Mix::Stockline => "stockline",
            Mix::Verbund => "verbund",
        }
    }

    /// Shares of gang sizes.
    const fn sizes(self) -> [(u32, f64); 6] {
        match self {
            Mix::Stockline => [(1, 0.36), (2, 0.26), (4, 0.20), (8, 0.12), (16, 0.04), (24, 0.02)],
            Mix::Verbund => [(1, 0.34), (2, 0.24), (4, 0.18), (8, 0.14), (16, 0.06), (24, 0.04)],
        }
    }

    /// Mean run time by size: large gangs run longer.
    fn mean_run(self, devices: u32) -> Duration {
        let minutes = match (self, devices) {
            (Mix::Stockline, 1..=4) => 12,
            (Mix::Stockline, _) => 40,
            (Mix::Verbund, 1..=4) => 15,
            (Mix::Verbund, _) => 75,
        };
        Duration::from_secs(minutes * 60)
    }

    const fn packing(self) -> u32 {
        match self {
            Mix::Stockline => 40,
            Mix::Verbund => 80,
        }
    }

    /// The table: four workspaces, three of them large.
    #[must_use]
    pub fn workspaces(self) -> Vec<(WorkspaceId, Knobs)> {
        let row = |name: &str, shape: &str, weight| {
            let shape = shape.parse().unwrap_or_default();
            let knobs = Knobs::default().guarantee(shape).weight(weight).packing(self.packing());
            (name.into(), knobs.queued_limit(100_000))
        };
        vec![
            row("large", "1 rack", 200),
            row("middle", "2 worker", 100),
            row("steady", "1 worker", 100),
            row("small", "1 quad", 50),
        ]
    }

    fn workers(self) -> Vec<WorkerSpec> {
        let domains = match self {
            Mix::Stockline => ["kwadaso-hall", "ayeduase-hall", "bomso-hall"],
            Mix::Verbund => ["bern-halle", "olten-halle", "solothurn"],
        };
        (0..10)
            .map(|at| {
                let rack = at / 3;
                let domain = domains[rack % 3];
                WorkerSpec::new(&format!("w{at}"), &format!("r{rack}"), domain, "region", 8)
            })
            .collect()
    }
}

/// The parameters of a workload.
#[derive(Debug, Clone, Copy)]
pub struct WorkloadParams {
    /// The mix.
    pub mix: Mix,
    /// Offered load as a share of the fleet's devices.
    pub load: f64,
    /// Number of jobs.
    pub jobs: usize,
    /// The seed.
    pub seed: u64,
    /// Overrides the mix's packing knob.
    pub packing: Option<u32>,
}

const FLEET_DEVICES: f64 = 80.0;

impl WorkloadParams {
    /// Generates the workload from its seed.
    #[must_use]
    pub fn generate(self) -> Workload {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut workspaces = self.mix.workspaces();
        if let Some(packing) = self.packing {
            for (_, knobs) in &mut workspaces {
                knobs.packing = packing;
            }
        }
        let mean: f64 = self
            .mix
            .sizes()
            .iter()
            .map(|(devices, share)| {
                share * f64::from(*devices) * self.mix.mean_run(*devices).as_secs_f64()
            })
            .sum();
        let rate = self.load * FLEET_DEVICES / mean;
        let mut at = 0.0;
        let mut arrivals = Vec::new();
        while arrivals.len() < self.jobs {
            // A burst is several jobs of one workspace at once; the gap before a burst grows with
            // its size, so that the mean rate stays.
            let burst = if rng.random::<f64>() < 0.05 { rng.random_range(4..16) } else { 1 };
            at += -(1.0 - rng.random::<f64>()).ln() / rate * f64::from(burst);
            let workspace = pick(&mut rng, &[(0, 0.4), (1, 0.25), (2, 0.2), (3, 0.15)]);
            for _ in 0..burst {
                let number = arrivals.len();
                arrivals.push(self.arrival(&mut rng, number, at, &workspaces[workspace].0));
            }
        }
        let end = at;
        let losses = self.losses(&mut rng, end);
        let (name, knobs) = workspaces[1].clone();
        let edited = Knobs { guarantee: "1 worker".parse().unwrap_or_default(), ..knobs };
        Workload {
            workers: self.mix.workers(),
            edit: (Duration::from_secs_f64(end * 0.7), name, edited),
            workspaces,
            arrivals,
            losses,
        }
    }

    fn arrival(
        self,
        rng: &mut ChaCha8Rng,
        number: usize,
        at: f64,
        workspace: &WorkspaceId,
    ) -> Arrival {
        let sizes = self.mix.sizes();
        let devices = pick(rng, &sizes);
        let mean = self.mix.mean_run(devices);
        let run = heavy_tailed(rng, mean);
        let class = pick(rng, &[(0_u8, 0.05), (1, 0.65), (2, 0.30)]);
        let class = [Class::Urgent, Class::Normal, Class::Batch][usize::from(class)];
        let mut gang = GangSpec::new(devices).checkpointable(rng.random::<f64>() < 0.5);
        if devices >= 8 && rng.random::<f64>() < 0.3 {
            gang = gang.min_devices(devices / 2);
        }
        if rng.random::<f64>() < 0.7 {
            // Callers guess their run times to within a factor of two.
            gang = gang.expected(run.mul_f64(0.5 + 1.5 * rng.random::<f64>()));
        }
        let spec = JobSpec::new(format!("job-{number:05}"), workspace.clone()).class(class);
        Arrival { at: Duration::from_secs_f64(at), spec: spec.gang(gang), run }
    }

    fn losses(self, rng: &mut ChaCha8Rng, end: f64) -> Vec<Loss> {
        let count = rng.random_range(1..4);
        (0..count)
            .map(|_| {
                let at = end * (0.1 + 0.8 * rng.random::<f64>());
                let back = at + 300.0 + 1_500.0 * rng.random::<f64>();
                Loss {
                    at: Duration::from_secs_f64(at),
                    back: Duration::from_secs_f64(back),
                    worker: rng.random_range(0..10),
                }
            })
            .collect()
    }
}

fn pick<T: Copy>(rng: &mut ChaCha8Rng, choices: &[(T, f64)]) -> T {
    let total: f64 = choices.iter().map(|(_, share)| share).sum();
    let mut left = rng.random::<f64>() * total;
    for (value, share) in choices {
        left -= share;
        if left < 0.0 {
            return *value;
        }
    }
    choices[choices.len() - 1].0
}

/// A log-normal time with a heavy tail and the given mean, at least 10 s and at most ten means.
fn heavy_tailed(rng: &mut ChaCha8Rng, mean: Duration) -> Duration {
    const SIGMA: f64 = 1.2;
    let uniform = (1.0 - rng.random::<f64>(), rng.random::<f64>());
    let normal = (-2.0 * uniform.0.ln()).sqrt() * (std::f64::consts::TAU * uniform.1).cos();
    let factor = (SIGMA * normal - SIGMA * SIGMA / 2.0).exp().min(10.0);
    mean.mul_f64(factor).max(Duration::from_secs(10))
}
