//! How many tasks will fit at some times from now, as runs end.

/// Times from an outlook at which room is counted, in milliseconds. Each is at most twice the one before, so that a wait
/// is known to half of its length; three times the objective of a bulk step of the hardest loads is 95 s. They are a part
/// of the record's format.
pub const HORIZONS_MS: [u64; 16] = [
    0, 1_000, 1_500, 2_000, 3_000, 4_000, 6_000, 8_000, 12_000, 16_000, 24_000, 32_000, 48_000,
    64_000, 96_000, 128_000,
];

/// Accelerators of the tasks that are counted: callers use 1, 2, 4 or 8. A part of the record's format.
pub const DEVICES_OF_SLOT: [u64; 4] = [1, 2, 4, 8];

/// Number of tasks that fit, by [`DEVICES_OF_SLOT`].
pub type Slots = [u32; 4];

/// A run that holds accelerators of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldDevices {
    /// The worker, as an index.
    pub worker: usize,
    /// Accelerators.
    pub devices: u64,
    /// Priority of the run.
    pub priority: u32,
    /// Expected end, in milliseconds from now; `None` if it doesn't end by itself.
    pub end_ms: Option<u64>,
    /// Early end of the range of that time.
    pub early_end_ms: Option<u64>,
}

/// Counts the tasks that fit at each of [`HORIZONS_MS`], given the accelerators of each worker and the runs that hold
/// some of them until `end`. Runs of less urgent work than `priority` count as ended, since they may be stopped.
#[must_use]
pub fn slots_at_horizons(
    capacities: &[u64],
    runs: &[HeldDevices],
    priority: u32,
    end: impl Fn(&HeldDevices) -> Option<u64>,
) -> Vec<Slots> {
    let mut room = FreeDevices::new(capacities);
    let mut ending: Vec<(u64, &HeldDevices)> = Vec::with_capacity(runs.len());
    for run in runs.iter().filter(|run| run.priority <= priority) {
        room.held[run.worker] += run.devices;
        ending.extend(end(run).map(|end| (end, run)));
    }
    room.count_all();
    ending.sort_unstable_by_key(|(end, _)| *end);
    let mut ending = ending.into_iter().peekable();
    let at_horizon = |horizon: &u64| {
        while let Some((_, run)) = ending.next_if(|(end, _)| end <= horizon) {
            room.release(run);
        }
        room.tasks.map(|tasks| u32::try_from(tasks).unwrap_or(u32::MAX))
    };
    HORIZONS_MS.iter().map(at_horizon).collect()
}

/// Accelerators that are held at each worker, and the tasks that fit into the rest. Only workers that change are counted
/// again.
struct FreeDevices<'a> {
    capacities: &'a [u64],
    held: Vec<u64>,
    /// Tasks that fit, by [`DEVICES_OF_SLOT`].
    tasks: [u64; DEVICES_OF_SLOT.len()],
}

impl<'a> FreeDevices<'a> {
    fn new(capacities: &'a [u64]) -> Self {
        let held = vec![0; capacities.len()];
        Self { capacities, held, tasks: [0; DEVICES_OF_SLOT.len()] }
    }

    fn tasks_at(&self, worker: usize) -> [u64; DEVICES_OF_SLOT.len()] {
        let free = self.capacities[worker].saturating_sub(self.held[worker]);
        DEVICES_OF_SLOT.map(|devices| free / devices)
    }

    fn count_all(&mut self) {
        for worker in 0..self.capacities.len() {
            let fitting = self.tasks_at(worker);
            self.tasks.iter_mut().zip(fitting).for_each(|(tasks, fitting)| *tasks += fitting);
        }
    }

    fn release(&mut self, run: &HeldDevices) {
        let before = self.tasks_at(run.worker);
        self.held[run.worker] -= run.devices;
        let after = self.tasks_at(run.worker);
        for ((tasks, before), after) in self.tasks.iter_mut().zip(before).zip(after) {
            *tasks = *tasks - before + after;
        }
    }
}
