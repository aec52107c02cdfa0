//! A stand-in for the workers: leases over devices, by compare-and-set and fencing token.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Mutex,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use rampbay_core::{
    ids::{FencingToken, WorkerId},
    lease::LeaseMeta,
    topology::{DeviceMask, WorkerSpec},
};
use rampbay_platform::workers::{
    HoldRequest, Lease, LeaseState, LostLease, WorkerError, WorkerReport, Workers, WorkersPage,
};
use serde::{Deserialize, Serialize};

use crate::faults::{Faults, lock};

/// Time in which a worker stops a task.
const STOP_TIME: Duration = Duration::from_millis(300);
/// Time in which a worker writes a checkpoint.
const CHECKPOINT_TIME: Duration = Duration::from_millis(600);

#[derive(Debug, Clone)]
struct LeaseRow {
    meta: LeaseMeta,
    devices: DeviceMask,
    state: LeaseState,
    expires_at: Duration,
    stopping: Option<Stopping>,
}

#[derive(Debug, Clone)]
struct Stopping {
    at: Duration,
    for_job: String,
    checkpoint: bool,
}

#[derive(Debug)]
struct WorkerRow {
    spec: WorkerSpec,
    version: u64,
    revision: u64,
    alive: bool,
    leases: BTreeMap<FencingToken, LeaseRow>,
    /// The latest token that was granted each device.
    fences: HashMap<u32, FencingToken>,
    stopped: BTreeMap<FencingToken, LostLease>,
}

/// What the workers observed; tests check against these counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WorkersRecord {
    /// Gates that were opened.
    pub opened: u64,
    /// Gates that were opened while a part of the gang wasn't committed; must stay 0.
    pub opened_in_part: u64,
    /// Holds granted.
    pub held: u64,
    /// Holds refused.
    pub refused: u64,
    /// Leases that expired while their task ran.
    pub lapsed_running: u64,
    /// Tasks stopped for another job.
    pub stopped: u64,
}

#[derive(Debug, Default)]
struct Inner {
    rows: BTreeMap<WorkerId, WorkerRow>,
    revision: u64,
    record: WorkersRecord,
}

/// The workers in memory.
#[derive(Debug)]
pub struct WorkersModel {
    inner: Mutex<Inner>,
    started: Instant,
    /// Faults of the workers.
    pub faults: Faults,
}

impl Default for WorkersModel {
    fn default() -> Self {
        Self { inner: Mutex::default(), started: Instant::now(), faults: Faults::default() }
    }
}

impl WorkersModel {
    /// Creates workers from their specifications.
    #[must_use]
    pub fn new(specs: Vec<WorkerSpec>) -> Self {
        let model = Self::default();
        for spec in specs {
            model.add(spec);
        }
        model
    }

    /// Adds a worker, or replaces a known one by one without leases.
    pub fn add(&self, spec: WorkerSpec) {
        let mut inner = lock(&self.inner);
        inner.revision += 1;
        let revision = inner.revision;
        let version = inner.rows.get(&spec.id).map_or(1, |row| row.version + 1);
        let row = WorkerRow {
            spec,
            version,
            revision,
            alive: true,
            leases: BTreeMap::new(),
            fences: HashMap::new(),
            stopped: BTreeMap::new(),
        };
        inner.rows.insert(row.spec.id.clone(), row);
    }

    /// Removes a worker with all its leases.
    pub fn kill(&self, id: &str) {
        let mut inner = lock(&self.inner);
        inner.revision += 1;
        let revision = inner.revision;
        if let Some(row) = inner.rows.get_mut(id) {
            row.alive = false;
            row.revision = revision;
            row.leases.clear();
        }
    }

    /// Returns what the workers observed so far.
    #[must_use]
    pub fn record(&self) -> WorkersRecord {
        lock(&self.inner).record
    }

    /// Returns the number of devices under running leases.
    #[must_use]
    pub fn devices_running(&self) -> u32 {
        self.with_current(|inner| {
            let leases = inner.rows.values().flat_map(|row| row.leases.values());
            let running = leases.filter(|lease| lease.state == LeaseState::Running);
            running.map(|lease| lease.devices.count_ones()).sum()
        })
    }

    /// Runs a function on the workers after every expiry and stop that is due was applied.
    fn with_current<T>(&self, run: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = lock(&self.inner);
        inner.advance(self.started.elapsed(), self.faults.get().ignore_stop);
        run(&mut inner)
    }

    fn on_worker<T>(
        &self,
        id: &str,
        run: impl FnOnce(&mut WorkerRow, &mut WorkersRecord, Duration) -> Result<T, WorkerError>,
    ) -> Result<T, WorkerError> {
        let now = self.started.elapsed();
        self.with_current(|inner| {
            let next = inner.revision + 1;
            let row =
                inner.rows.get_mut(id).filter(|row| row.alive).ok_or(WorkerError::NoWorker)?;
            let before = row.version;
            let result = run(row, &mut inner.record, now);
            if row.version != before {
                row.revision = next;
                inner.revision = next;
            }
            result
        })
    }

    async fn check_reachable(&self) -> Result<(), WorkerError> {
        self.faults.pause().await;
        if self.faults.get().down {
            return Err(WorkerError::NoAnswer { message: "down".into() });
        }
        Ok(())
    }

    /// Loses the answer of a call that took effect, if that fault is on.
    fn deliver<T>(&self, value: T) -> Result<T, WorkerError> {
        if self.faults.hits(self.faults.get().lose_answer_percent) {
            return Err(WorkerError::NoAnswer { message: "answer lost".into() });
        }
        Ok(value)
    }
}

impl Inner {
    /// Ends holds and leases that have expired, and tasks whose stop is due.
    fn advance(&mut self, now: Duration, ignore_stop: bool) {
        for row in self.rows.values_mut() {
            let ended: Vec<FencingToken> = row
                .leases
                .iter()
                .filter(|(_, lease)| {
                    let stops = lease.stopping.as_ref().is_some_and(|stop| stop.at <= now);
                    lease.expires_at <= now || (stops && !ignore_stop)
                })
                .map(|(token, _)| *token)
                .collect();
            for token in ended {
                let Some(lease) = row.leases.remove(&token) else {
                    continue;
                };
                row.version += 1;
                self.revision += 1;
                row.revision = self.revision;
                if let Some(stop) = lease.stopping {
                    self.record.stopped += 1;
                    let lost = LostLease::Stopped {
                        token,
                        for_job: stop.for_job.as_str().into(),
                        checkpointed: stop.checkpoint,
                    };
                    row.stopped.insert(token, lost);
                } else if lease.state == LeaseState::Running {
                    self.record.lapsed_running += 1;
                }
            }
        }
    }

    /// Returns whether every device of a gang is committed or in use by its running task.
    fn is_whole(&self, token: FencingToken) -> bool {
        let parts = self.rows.values().filter_map(|row| row.leases.get(&token));
        let ready = parts.filter(|lease| lease.state != LeaseState::Held);
        let mut wanted = None;
        let mut devices = 0;
        for lease in ready {
            wanted = Some(lease.meta.gang_devices);
            devices += lease.devices.count_ones();
        }
        wanted.is_some_and(|wanted| devices >= wanted)
    }
}

impl WorkerRow {
    fn leased_devices(&self) -> DeviceMask {
        self.leases.values().fold(0, |mask, lease| mask | lease.devices)
    }

    fn lease(&mut self, token: FencingToken) -> Result<&mut LeaseRow, WorkerError> {
        self.leases.get_mut(&token).ok_or(WorkerError::NoLease)
    }

    fn check_hold(&self, req: &HoldRequest) -> Result<(), WorkerError> {
        if req.version.is_some_and(|version| version != self.version) {
            return Err(WorkerError::Version { version: self.version });
        }
        if req.devices & !self.spec.all_devices() != 0 || req.devices & self.leased_devices() != 0 {
            return Err(WorkerError::Taken);
        }
        let fenced = devices_in(req.devices)
            .any(|device| self.fences.get(&device).is_some_and(|last| *last >= req.meta.token));
        if fenced { Err(WorkerError::Fenced) } else { Ok(()) }
    }

    fn report(&self) -> WorkerReport {
        let leases = self.leases.values().map(|lease| Lease {
            meta: lease.meta.clone(),
            devices: lease.devices,
            state: lease.state,
        });
        WorkerReport { spec: self.spec.clone(), version: self.version, leases: leases.collect() }
    }
}

fn devices_in(mask: DeviceMask) -> impl Iterator<Item = u32> {
    (0..DeviceMask::BITS).filter(move |device| mask & (1 << device) != 0)
}

#[async_trait]
impl Workers for WorkersModel {
    async fn list(&self, since: u64) -> Result<WorkersPage, WorkerError> {
        self.check_reachable().await?;
        Ok(self.with_current(|inner| {
            let changed = inner.rows.values().filter(|row| row.revision > since);
            let (alive, dead): (Vec<_>, Vec<_>) = changed.partition(|row| row.alive);
            WorkersPage {
                revision: inner.revision,
                changed: alive.into_iter().map(WorkerRow::report).collect(),
                gone: dead.into_iter().map(|row| row.spec.id.clone()).collect(),
            }
        }))
    }

    async fn hold(&self, worker: &str, req: HoldRequest) -> Result<u64, WorkerError> {
        self.check_reachable().await?;
        let version = self.on_worker(worker, |row, record, now| {
            if let Some(known) = row.leases.get(&req.meta.token)
                && known.devices == req.devices
            {
                return Ok(row.version);
            }
            if let Err(e) = row.check_hold(&req) {
                record.refused += 1;
                return Err(e);
            }
            record.held += 1;
            for device in devices_in(req.devices) {
                row.fences.insert(device, req.meta.token);
            }
            row.version += 1;
            let lease = LeaseRow {
                meta: req.meta.clone(),
                devices: req.devices,
                state: LeaseState::Held,
                expires_at: now + Duration::from_millis(req.ttl_ms),
                stopping: None,
            };
            row.leases.insert(req.meta.token, lease);
            Ok(row.version)
        })?;
        self.deliver(version)
    }

    async fn commit(
        &self,
        worker: &str,
        token: FencingToken,
        lease_ms: u64,
    ) -> Result<(), WorkerError> {
        self.check_reachable().await?;
        self.on_worker(worker, |row, _, now| {
            let lease = row.lease(token)?;
            lease.expires_at = now + Duration::from_millis(lease_ms);
            if lease.state == LeaseState::Held {
                lease.state = LeaseState::Committed;
                row.version += 1;
            }
            Ok(())
        })?;
        self.deliver(())
    }

    async fn open(&self, worker: &str, token: FencingToken) -> Result<(), WorkerError> {
        self.check_reachable().await?;
        self.with_current(|inner| {
            let whole = inner.is_whole(token);
            let row = inner.rows.get_mut(worker).ok_or(WorkerError::NoWorker)?;
            let lease = row.lease(token)?;
            if lease.state == LeaseState::Held {
                return Err(WorkerError::NoLease);
            }
            if lease.state == LeaseState::Committed {
                lease.state = LeaseState::Running;
                row.version += 1;
                inner.record.opened += 1;
                inner.record.opened_in_part += u64::from(!whole);
                inner.revision += 1;
                row.revision = inner.revision;
            }
            Ok(())
        })?;
        self.deliver(())
    }

    async fn renew(
        &self,
        worker: &str,
        tokens: &[FencingToken],
        lease_ms: u64,
    ) -> Result<Vec<LostLease>, WorkerError> {
        self.check_reachable().await?;
        let lost = self.on_worker(worker, |row, _, now| {
            let mut lost = Vec::new();
            for token in tokens {
                match row.leases.get_mut(token) {
                    Some(lease) => lease.expires_at = now + Duration::from_millis(lease_ms),
                    None => lost.push(
                        row.stopped
                            .get(token)
                            .cloned()
                            .unwrap_or(LostLease::Lapsed { token: *token }),
                    ),
                }
            }
            Ok(lost)
        })?;
        self.deliver(lost)
    }

    async fn release(&self, worker: &str, token: FencingToken) -> Result<(), WorkerError> {
        self.check_reachable().await?;
        self.on_worker(worker, |row, _, _| {
            if row.leases.remove(&token).is_some() {
                row.version += 1;
            }
            Ok(())
        })?;
        self.deliver(())
    }

    async fn shrink(
        &self,
        worker: &str,
        token: FencingToken,
        keep: DeviceMask,
    ) -> Result<(), WorkerError> {
        self.check_reachable().await?;
        self.on_worker(worker, |row, _, _| {
            let lease = row.lease(token)?;
            lease.devices &= keep;
            if lease.devices == 0 {
                row.leases.remove(&token);
                row.stopped.insert(token, LostLease::Shrunk { token });
            }
            row.version += 1;
            Ok(())
        })?;
        self.deliver(())
    }

    async fn stop(
        &self,
        worker: &str,
        token: FencingToken,
        checkpoint: bool,
        for_job: &str,
    ) -> Result<(), WorkerError> {
        self.check_reachable().await?;
        self.on_worker(worker, |row, _, now| {
            let Some(lease) = row.leases.get_mut(&token) else {
                return Ok(());
            };
            let delay = if checkpoint { CHECKPOINT_TIME + STOP_TIME } else { STOP_TIME };
            if lease.stopping.is_none() {
                let for_job = for_job.to_owned();
                lease.stopping = Some(Stopping { at: now + delay, for_job, checkpoint });
            }
            Ok(())
        })?;
        self.deliver(())
    }
}
