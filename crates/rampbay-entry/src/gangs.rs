//! Runs the planner in a task that owns it, sends its commands to the workers, and renews leases.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use rampbay_core::{
    ids::{FencingToken, JobId, ProcessId, WorkerId, WorkspaceId},
    job::{Adjacency, JobSpec},
    knobs::Knobs,
    lease::LeaseMeta,
    plan::{Command, Explanation, GuaranteeError, Planner, SubmitError, WorkspaceView, YieldKind},
    topology::{DeviceMask, Placement, placement_devices},
};
use rampbay_node::{epoch_now, metrics::labels};
use rampbay_platform::workers::{LostLease, WorkerError, WorkerReport, Workers, WorkersPage};
use rampbay_wire::event::Code;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::{
    gang_calls::{StartError, shrink_parts, start_parts, stop_parts},
    leases::{LeaseTimes, release_all},
    shared::Shared,
};

/// Interval at which the planner ticks without any input.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Renewals within the duration of one lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// An event that a request receives about its gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GangEvent {
    /// Every part is committed, and the gates are open.
    Started {
        /// Devices of the gang.
        devices: u32,
    },
    /// The planner refused the request.
    Refused(SubmitError),
    /// The deadline passed while the request waited.
    Expired,
    /// The gang lost its devices; the planner queues the request for others.
    Interrupted,
}

/// One worker as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// The worker's own report.
    pub report: WorkerReport,
}

/// The planner's state as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanView {
    /// Workspaces with their counts.
    pub workspaces: Vec<WorkspaceView>,
    /// Working devices, free or in use.
    pub devices: u32,
    /// Devices that are free.
    pub free: u32,
    /// Guaranteed cells that can't be met; empty if none.
    pub short: String,
}

/// The inputs of the planner task.
#[derive(Debug)]
pub enum Input {
    /// A request needs a gang.
    Acquire(Box<JobSpec>, mpsc::UnboundedSender<GangEvent>),
    /// A request doesn't need its gang any more.
    Finish(JobId),
    /// A new version of the table was accepted.
    Table(BTreeMap<WorkspaceId, Knobs>),
    /// Asks why a job is in its state.
    Explain(JobId, oneshot::Sender<Option<Explanation>>),
    /// Asks for a view of the workers.
    Workers(oneshot::Sender<Vec<WorkerView>>),
    /// Asks for a view of the planner.
    View(oneshot::Sender<PlanView>),
    /// Asks whether the fleet could hold these guarantees all at once.
    Check(Vec<Knobs>, oneshot::Sender<Result<(), GuaranteeError>>),
    /// Every part of a gang is held; asks whether the gang may be committed, given the workers'
    /// changes since it was planned.
    Held(FencingToken, JobId, Option<WorkersPage>, oneshot::Sender<bool>),
    /// The start of a gang succeeded or failed.
    StartEnded(JobId, FencingToken, Result<(), StartError>),
    /// The workers have released a finished job's gang.
    Released(JobId),
    /// The workers have shrunk a gang to these parts.
    Shrunk(FencingToken, Placement),
    /// The result of renewing the leases on a worker: those that are lost.
    Renewed(WorkerId, Result<Vec<LostLease>, WorkerError>),
    /// The result of polling the workers for changes.
    Polled(Result<WorkersPage, WorkerError>),
}

/// A handle to the planner task.
#[derive(Debug, Clone)]
pub struct Gangs {
    tx: mpsc::UnboundedSender<Input>,
}

impl Gangs {
    /// Starts the planner task and the polling of the workers.
    #[must_use]
    pub fn start(shared: Arc<Shared>, workers: Arc<dyn Workers>) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let times = LeaseTimes {
            hold: Duration::from_millis(shared.settings.times.hold_ms),
            lease: Duration::from_millis(shared.settings.times.lease_ms),
        };
        let poll = Duration::from_millis(shared.settings.times.workers_poll_ms);
        let planner = Planner::new(shared.incarnation)
            .holder(shared.settings.id.clone())
            .settings(shared.settings.plan);
        shared.spawn(poll_workers(workers.clone(), tx.clone(), poll));
        let task = Task {
            shared: shared.clone(),
            workers,
            times,
            planner,
            tx: tx.clone(),
            callers: HashMap::new(),
            running: BTreeMap::new(),
            reports: BTreeMap::new(),
            table: BTreeMap::new(),
            reachable: true,
            guarantees_short: false,
            next_renewal: Duration::ZERO,
            revision: 0,
        };
        shared.spawn(task.run(rx));
        Self { tx }
    }

    /// Sends an input to the task. A failure is ignored, since the task ends only with the entry.
    pub fn tell(&self, input: Input) {
        let _ = self.tx.send(input);
    }

    /// Requests a gang; dropping the guard releases it.
    #[must_use]
    pub fn acquire(&self, spec: JobSpec) -> GangGuard {
        let (tx, rx) = mpsc::unbounded_channel();
        let job = spec.id.clone();
        self.tell(Input::Acquire(Box::new(spec), tx));
        GangGuard { gangs: self.clone(), job, rx }
    }

    /// Sends an input with a channel for its answer and waits for the answer, or returns `None` if
    /// the task has ended.
    pub async fn ask<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> Input) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.tell(input(tx));
        rx.await.ok()
    }
}

/// A request's gang, waiting or running; dropping the guard releases it.
#[derive(Debug)]
pub struct GangGuard {
    gangs: Gangs,
    job: JobId,
    rx: mpsc::UnboundedReceiver<GangEvent>,
}

impl GangGuard {
    /// Waits for the next event of the gang; `None` if there are no more.
    pub async fn next(&mut self) -> Option<GangEvent> {
        self.rx.recv().await
    }
}

impl Drop for GangGuard {
    fn drop(&mut self) {
        self.gangs.tell(Input::Finish(self.job.clone()));
    }
}

/// Returns whether this entry is the one whose planner prefers a failure domain: the listed entry
/// with the highest hash (rendezvous hashing).
///
/// The list of boxes lags, so two entries may prefer the same domain at once; the only cost is
/// refused starts.
fn prefers_failure_domain(
    this: &ProcessId,
    peers: &[(ProcessId, SocketAddr)],
    domain: &str,
) -> bool {
    let weight =
        |id: &ProcessId| rapidhash::v3::rapidhash_v3(format!("{domain}\u{0}{id}").as_bytes());
    let own = weight(this);
    peers.iter().all(|(id, _)| weight(id) < own)
}

async fn poll_workers(
    workers: Arc<dyn Workers>,
    tx: mpsc::UnboundedSender<Input>,
    every: Duration,
) {
    let mut revision = 0;
    loop {
        let page = workers.list(revision).await;
        if let Ok(page) = &page {
            revision = page.revision;
        }
        if tx.send(Input::Polled(page)).is_err() {
            return;
        }
        tokio::time::sleep(every).await;
    }
}

/// A running gang of this entry.
#[derive(Debug)]
struct RunningGang {
    job: JobId,
    parts: BTreeMap<WorkerId, DeviceMask>,
}

struct Task {
    shared: Arc<Shared>,
    workers: Arc<dyn Workers>,
    times: LeaseTimes,
    planner: Planner,
    tx: mpsc::UnboundedSender<Input>,
    callers: HashMap<JobId, mpsc::UnboundedSender<GangEvent>>,
    running: BTreeMap<FencingToken, RunningGang>,
    reports: BTreeMap<WorkerId, WorkerReport>,
    table: BTreeMap<WorkspaceId, Knobs>,
    reachable: bool,
    guarantees_short: bool,
    next_renewal: Duration,
    /// The workers' revision up to which their changes are known.
    revision: u64,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Input>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = rx.recv() => {
                    let Some(input) = input else { return };
                    self.handle(input);
                    while let Ok(more) = rx.try_recv() {
                        self.handle(more);
                    }
                }
                _ = ticks.tick() => self.renew_if_due(),
            }
            self.tick();
        }
    }

    fn handle(&mut self, input: Input) {
        let now = epoch_now();
        match input {
            Input::Acquire(spec, tx) => self.acquire(*spec, tx, now),
            Input::Finish(job) => self.finish(&job, now),
            Input::Table(rows) => self.set_table(rows),
            Input::Explain(job, tx) => {
                let _ = tx.send(self.planner.explain(&job, now));
            }
            Input::Workers(tx) => {
                let views = self.reports.values().map(|r| WorkerView { report: r.clone() });
                let _ = tx.send(views.collect());
            }
            Input::View(tx) => {
                let _ = tx.send(self.view());
            }
            Input::Check(rows, tx) => {
                let _ = tx.send(self.planner.check_guarantees(&rows));
            }
            Input::Held(token, job, page, tx) => {
                if let Some(page) = page {
                    self.sync(page, now);
                }
                let wanted = self.planner.gang_of(&job).is_some_and(|(held, _)| held == token);
                let _ = tx.send(wanted && !self.planner.violates_guarantee(token));
            }
            Input::StartEnded(job, token, result) => self.start_ended(&job, token, result, now),
            Input::Released(job) => self.planner.finished(&job, now),
            Input::Shrunk(token, keep) => self.shrunk(token, &keep, now),
            Input::Renewed(worker, result) => self.renewed(&worker, result, now),
            Input::Polled(result) => self.polled(result, now),
        }
    }

    fn acquire(&mut self, spec: JobSpec, tx: mpsc::UnboundedSender<GangEvent>, now: Duration) {
        let (job, workspace) = (spec.id.clone(), spec.workspace.clone());
        match self.planner.submit(spec, now) {
            Ok(()) => {
                self.shared.event(Code::GangWaits, Some(&job), Some(&workspace), "");
                self.callers.insert(job, tx);
            }
            Err(e) => {
                let _ = tx.send(GangEvent::Refused(e));
            }
        }
    }

    fn tell_caller(&self, job: &JobId, event: GangEvent) {
        if let Some(tx) = self.callers.get(job) {
            // The send fails only if the caller has gone; the drop of its guard finishes the gang.
            let _ = tx.send(event);
        }
    }

    fn finish(&mut self, job: &JobId, now: Duration) {
        if self.callers.remove(job).is_none() {
            return;
        }
        let Some((token, placement)) = self.planner.gang_of(job) else {
            self.planner.finished(job, now);
            return;
        };
        // The planner learns of the free devices only once the workers have released them;
        // otherwise its next start would be refused by its own earlier lease.
        self.running.remove(&token);
        self.shared.event(Code::GangReleased, Some(job), None, format!("{token:x}"));
        self.count("released");
        let (workers, tx, job) = (self.workers.clone(), self.tx.clone(), job.clone());
        self.shared.spawn(async move {
            release_all(&workers, token, &placement).await;
            let _ = tx.send(Input::Released(job));
        });
    }

    /// Releases the remaining parts of a gang that has stopped or was lost.
    fn release(&self, token: FencingToken, placement: Placement) {
        let workers = self.workers.clone();
        self.shared.spawn(async move { release_all(&workers, token, &placement).await });
    }

    fn count(&self, what: &str) {
        self.shared.metrics.gangs.get_or_create(&labels(&[("what", what)])).inc();
    }

    fn set_table(&mut self, rows: BTreeMap<WorkspaceId, Knobs>) {
        let gone: Vec<WorkspaceId> =
            self.table.keys().filter(|name| !rows.contains_key(*name)).cloned().collect();
        for name in gone {
            self.planner.remove_workspace(&name);
        }
        for (name, knobs) in &rows {
            if self.table.get(name) != Some(knobs) {
                self.planner.set_workspace(name.clone(), knobs.clone());
            }
        }
        self.table = rows;
    }

    fn view(&self) -> PlanView {
        PlanView {
            workspaces: self.planner.workspaces(),
            devices: self.planner.present_devices(),
            free: self.planner.free_devices(),
            short: self.planner.missing_cells().to_string(),
        }
    }

    fn tick(&mut self) {
        let commands = self.planner.tick(epoch_now());
        for command in commands {
            self.carry_out(command);
        }
        let short = self.planner.missing_cells();
        if short.is_empty() == self.guarantees_short {
            self.guarantees_short = !short.is_empty();
            if self.guarantees_short {
                let detail = format!("short of {short}");
                self.shared.event(Code::GuaranteeShort, None, None, detail);
            }
        }
    }

    fn carry_out(&self, command: Command) {
        match command {
            Command::Start { job, meta, placement } => self.start_gang(job, meta, placement),
            Command::Yield { token, job, how, parts, for_job, .. } => {
                let detail = format!("{how:?} for {for_job}");
                self.shared.event(Code::GangYields, Some(&job), None, detail);
                self.count("yields");
                self.ask_to_yield(token, how, parts, for_job);
            }
            Command::Expire { job } => self.tell_caller(&job, GangEvent::Expired),
        }
    }

    fn start_gang(&self, job: JobId, meta: LeaseMeta, placement: Placement) {
        let detail = format!("{} devices, token {:x}", meta.gang_devices, meta.token);
        self.shared.event(Code::GangHolds, Some(&job), Some(&meta.workspace), detail);
        let (workers, times, tx) = (self.workers.clone(), self.times, self.tx.clone());
        let revision = self.revision;
        self.shared.spawn(async move {
            let token = meta.token;
            let result = start_parts(&workers, &meta, &placement, times, revision, &tx).await;
            // The receiver is gone only when the process ends.
            let _ = tx.send(Input::StartEnded(job, token, result));
        });
    }

    fn start_ended(
        &mut self,
        job: &JobId,
        token: FencingToken,
        result: Result<(), StartError>,
        now: Duration,
    ) {
        let current = self.planner.gang_of(job).filter(|(held, _)| *held == token);
        let Some((_, placement)) = current else {
            // The request ended while its gang was being started, so a gang that did start is
            // released.
            if result.is_ok() {
                self.release_everywhere(token);
            }
            return;
        };
        match result {
            Ok(()) => {
                let devices = placement_devices(&placement);
                let detail = format!("{devices} devices, token {token:x}");
                self.shared.event(Code::GangStarted, Some(job), None, detail);
                self.count("started");
                let parts = placement.into_iter().map(|part| (part.worker, part.devices)).collect();
                self.running.insert(token, RunningGang { job: job.clone(), parts });
                self.planner.started(job, now);
                self.tell_caller(job, GangEvent::Started { devices });
            }
            Err(e) => {
                self.shared.event(Code::GangRefused, Some(job), None, e.to_string());
                self.count("refused");
                self.planner.start_refused(job, now);
            }
        }
    }

    fn release_everywhere(&self, token: FencingToken) {
        let workers = self.workers.clone();
        let names: Vec<WorkerId> = self.reports.keys().cloned().collect();
        let parts = names
            .into_iter()
            .map(|worker| rampbay_core::topology::Part { worker, devices: 0 })
            .collect();
        self.shared.spawn(async move { release_all(&workers, token, &parts).await });
    }

    fn ask_to_yield(&self, token: FencingToken, how: YieldKind, parts: Placement, for_job: JobId) {
        let (workers, tx) = (self.workers.clone(), self.tx.clone());
        self.shared.spawn(async move {
            match how {
                YieldKind::Shrink { keep } => {
                    if shrink_parts(&workers, token, &parts, &keep).await {
                        let _ = tx.send(Input::Shrunk(token, keep));
                    }
                }
                YieldKind::Checkpoint => stop_parts(&workers, token, &parts, true, &for_job).await,
                YieldKind::Stop => stop_parts(&workers, token, &parts, false, &for_job).await,
            }
        });
    }

    fn shrunk(&mut self, token: FencingToken, keep: &Placement, now: Duration) {
        if let Some(gang) = self.running.get_mut(&token) {
            gang.parts = keep.iter().map(|part| (part.worker.clone(), part.devices)).collect();
            let detail = format!("{} devices left", placement_devices(keep));
            self.shared.event(Code::GangShrunk, Some(&gang.job), None, detail);
        }
        self.planner.shrunk(token, keep, now);
    }

    fn polled(&mut self, result: Result<WorkersPage, WorkerError>, now: Duration) {
        match result {
            Ok(page) => {
                if !self.reachable {
                    self.shared.event(Code::WorkersUp, None, None, "");
                }
                self.reachable = true;
                self.sync(page, now);
            }
            Err(e) => {
                if self.reachable {
                    self.shared.event(Code::WorkersDown, None, None, e.to_string());
                }
                self.reachable = false;
            }
        }
    }

    /// Updates the planner with the workers' own reports.
    fn sync(&mut self, page: WorkersPage, now: Duration) {
        let mut suspect: HashSet<WorkerId> = HashSet::new();
        self.revision = self.revision.max(page.revision);
        for report in page.changed {
            let id = report.spec.id.clone();
            let known = self.reports.get(&id);
            if known.is_some_and(|known| known.version > report.version) {
                continue;
            }
            if known.is_none_or(|known| known.spec != report.spec) {
                self.planner.add_worker(report.spec.clone());
            }
            let leases: Vec<(LeaseMeta, DeviceMask)> =
                report.leases.iter().map(|lease| (lease.meta.clone(), lease.devices)).collect();
            self.planner.sync_worker(&id, &leases, now);
            if self.misses_own_lease(&id, &report) {
                suspect.insert(id.clone());
            }
            self.reports.insert(id, report);
        }
        for id in page.gone {
            self.reports.remove(&id);
            for job in self.planner.remove_worker(&id) {
                self.gang_lost(&job, now);
            }
        }
        for worker in suspect {
            self.renew(&worker);
        }
        self.update_largest_places();
        let this = self.shared.settings.id.clone();
        let peers = self.shared.peers();
        self.planner.prefer_failure_domains(|domain| prefers_failure_domain(&this, &peers, domain));
    }

    fn update_largest_places(&self) {
        let all = [Adjacency::Worker, Adjacency::Rack, Adjacency::FailureDomain, Adjacency::Any];
        let places = all.into_iter().map(|adjacency| (adjacency, self.planner.largest(adjacency)));
        let mut largest =
            self.shared.largest.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        *largest = places.collect();
    }

    /// Returns whether a running gang of this entry has no lease on a worker where it should.
    fn misses_own_lease(&self, worker: &WorkerId, report: &WorkerReport) -> bool {
        self.running.iter().any(|(token, gang)| {
            gang.parts.contains_key(worker)
                && !report.leases.iter().any(|lease| lease.meta.token == *token)
        })
    }

    /// Releases the remaining parts of a gang that lost one, and has its job wait again.
    fn gang_lost(&mut self, job: &JobId, now: Duration) {
        if let Some((token, placement)) = self.planner.gang_of(job)
            && self.running.remove(&token).is_some()
        {
            self.shared.event(Code::GangLost, Some(job), None, format!("{token:x}"));
            self.count("lost");
            self.release(token, placement);
            self.tell_caller(job, GangEvent::Interrupted);
            self.planner.lost(job, now);
        }
    }

    fn renew_if_due(&mut self) {
        let now = self.shared.now();
        if now < self.next_renewal {
            return;
        }
        self.next_renewal = now + self.times.lease / RENEWALS_PER_LEASE;
        let workers: HashSet<WorkerId> =
            self.running.values().flat_map(|gang| gang.parts.keys().cloned()).collect();
        for worker in workers {
            self.renew(&worker);
        }
        self.update_metrics();
    }

    fn update_metrics(&self) {
        let set = |state: &str, count: u32| {
            let labels = labels(&[("state", state)]);
            self.shared.metrics.devices.get_or_create(&labels).set(i64::from(count));
        };
        set("free", self.planner.free_devices());
        set("present", self.planner.present_devices());
        set("short", self.planner.missing_cells().devices());
    }

    /// Renews all leases on one worker in one call.
    fn renew(&self, worker: &WorkerId) {
        let tokens: Vec<FencingToken> = self
            .running
            .iter()
            .filter(|(_, gang)| gang.parts.contains_key(worker))
            .map(|(token, _)| *token)
            .collect();
        let (workers, tx, worker) = (self.workers.clone(), self.tx.clone(), worker.clone());
        let lease_ms = self.times.lease_ms();
        self.shared.spawn(async move {
            let result = workers.renew(&worker, &tokens, lease_ms).await;
            let _ = tx.send(Input::Renewed(worker, result));
        });
    }

    fn renewed(
        &mut self,
        worker: &WorkerId,
        result: Result<Vec<LostLease>, WorkerError>,
        now: Duration,
    ) {
        let lost = match result {
            Ok(lost) => lost,
            // The worker is gone; the next poll reports its removal.
            Err(WorkerError::NoWorker) => return,
            Err(e) => {
                log::debug!("renewal on {worker}: {e}");
                return;
            }
        };
        for lease in lost {
            self.lease_lost(worker, &lease, now);
        }
    }

    fn lease_lost(&mut self, worker: &WorkerId, lease: &LostLease, now: Duration) {
        let token = lease.token();
        let Some(gang) = self.running.get_mut(&token) else {
            return;
        };
        let job = gang.job.clone();
        match lease {
            LostLease::Lapsed { .. } => self.gang_lost(&job, now),
            LostLease::Shrunk { .. } => {
                gang.parts.remove(worker);
            }
            LostLease::Stopped { for_job, checkpointed, .. } => {
                let detail = format!("for {for_job}, checkpointed {checkpointed}");
                let parts = self.planner.gang_of(&job);
                self.running.remove(&token);
                self.shared.event(Code::GangReleased, Some(&job), None, detail);
                if let Some((_, placement)) = parts {
                    self.release(token, placement);
                }
                self.tell_caller(&job, GangEvent::Interrupted);
                self.planner.stopped(token, now);
            }
        }
    }
}
