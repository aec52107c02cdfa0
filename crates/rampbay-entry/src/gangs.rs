//! Runs the planner: one task that owns it, carries its commands to the workers, and renews leases.

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

/// How often the planner ticks while nothing happens.
const TICK: Duration = Duration::from_millis(25);
/// Renewals within one lease.
const RENEWALS: u32 = 3;

/// What a request learns of its gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GangEvent {
    /// Every part is committed and the gates are open.
    Started {
        /// Devices of the gang.
        devices: u32,
    },
    /// The planner doesn't take it.
    Refused(SubmitError),
    /// Its deadline passed while it waited.
    Expired,
    /// Its devices are gone; the planner has it wait for others.
    Interrupted,
}

/// One worker as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// The worker's own report.
    pub report: WorkerReport,
}

/// What operators see of the planner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanView {
    /// Workspaces with their counts.
    pub workspaces: Vec<WorkspaceView>,
    /// Devices that work.
    pub devices: u32,
    /// Devices that are free.
    pub free: u32,
    /// Guaranteed cells that can't be met; empty if none.
    pub short: String,
}

/// What the task is told.
#[derive(Debug)]
pub enum Input {
    /// A request needs a gang.
    Acquire(Box<JobSpec>, mpsc::UnboundedSender<GangEvent>),
    /// A request has no more use for its gang.
    Finish(JobId),
    /// The accepted table.
    Table(BTreeMap<WorkspaceId, Knobs>),
    /// Somebody wants to know why a job is in its state.
    Explain(JobId, oneshot::Sender<Option<Explanation>>),
    /// Somebody wants to see the workers.
    Workers(oneshot::Sender<Vec<WorkerView>>),
    /// Somebody wants to see the planner's counts.
    View(oneshot::Sender<PlanView>),
    /// Somebody wants to know whether the fleet could hold these guarantees.
    Check(Vec<Knobs>, oneshot::Sender<Result<(), GuaranteeError>>),
    /// Every part of a gang is held; may it go on?
    Held(FencingToken, JobId, Option<WorkersPage>, oneshot::Sender<bool>),
    /// A start has ended.
    StartEnded(JobId, FencingToken, Result<(), StartError>),
    /// The workers have released a finished job's gang.
    Released(JobId),
    /// A shrink was carried out.
    Shrunk(FencingToken, Placement),
    /// Leases of a worker were renewed.
    Renewed(WorkerId, Result<Vec<LostLease>, WorkerError>),
    /// The workers' changes.
    Polled(Result<WorkersPage, WorkerError>),
}

/// The sending end of the task's channel.
#[derive(Debug, Clone)]
pub struct Gangs {
    tx: mpsc::UnboundedSender<Input>,
}

impl Gangs {
    /// Starts the task.
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
            short: false,
            next_renewal: Duration::ZERO,
            revision: 0,
        };
        shared.spawn(task.run(rx));
        Self { tx }
    }

    /// Tells the task something; it is only gone when the process ends.
    pub fn tell(&self, input: Input) {
        let _ = self.tx.send(input);
    }

    /// Asks for a gang; the guard gives it back when it is dropped.
    #[must_use]
    pub fn acquire(&self, spec: JobSpec) -> GangGuard {
        let (tx, rx) = mpsc::unbounded_channel();
        let job = spec.id.clone();
        self.tell(Input::Acquire(Box::new(spec), tx));
        GangGuard { gangs: self.clone(), job, rx }
    }

    /// Asks something that is answered through a channel.
    pub async fn ask<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> Input) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.tell(input(tx));
        rx.await.ok()
    }
}

/// A request's claim on a gang; dropping it gives the gang back.
#[derive(Debug)]
pub struct GangGuard {
    gangs: Gangs,
    job: JobId,
    rx: mpsc::UnboundedReceiver<GangEvent>,
}

impl GangGuard {
    /// Waits for the next event of the gang.
    pub async fn next(&mut self) -> Option<GangEvent> {
        self.rx.recv().await
    }
}

impl Drop for GangGuard {
    fn drop(&mut self) {
        self.gangs.tell(Input::Finish(self.job.clone()));
    }
}

/// Returns whether this entry looks after a failure domain: the highest hash of the live entries
/// does (rendezvous hashing). The list lags, so two may think so at once; that only costs refusals.
fn looks_after(this: &ProcessId, peers: &[(ProcessId, SocketAddr)], domain: &str) -> bool {
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

/// A gang of this entry that runs.
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
    short: bool,
    next_renewal: Duration,
    /// Changes of the workers up to here are known.
    revision: u64,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Input>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = rx.recv() => {
                    let Some(input) = input else { return };
                    self.take(input);
                    while let Ok(more) = rx.try_recv() {
                        self.take(more);
                    }
                }
                _ = ticks.tick() => self.renew_if_due(),
            }
            self.tick();
        }
    }

    fn take(&mut self, input: Input) {
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
            // A caller that has gone finishes its gang by itself.
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

    /// Releases what is left of a gang that the planner doesn't count any more.
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
        if short.is_empty() == self.short {
            self.short = !short.is_empty();
            if self.short {
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
        let seen = self.revision;
        self.shared.spawn(async move {
            let token = meta.token;
            let result = start_parts(&workers, &meta, &placement, times, seen, &tx).await;
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
            // The request ended while its gang was being held; what was taken is given back.
            if result.is_ok() {
                self.release_unknown(token);
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

    fn release_unknown(&self, token: FencingToken) {
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

    /// Takes in the workers' own reports.
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
                self.lose(&job, now);
            }
        }
        for worker in suspect {
            self.renew(&worker);
        }
        self.note_largest();
        let this = self.shared.settings.id.clone();
        let peers = self.shared.peers();
        self.planner.prefer_failure_domains(|domain| looks_after(&this, &peers, domain));
    }

    fn note_largest(&self) {
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

    /// Stops what is left of a gang that lost a part, and has its job wait again.
    fn lose(&mut self, job: &JobId, now: Duration) {
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
        self.next_renewal = now + self.times.lease / RENEWALS;
        let workers: HashSet<WorkerId> =
            self.running.values().flat_map(|gang| gang.parts.keys().cloned()).collect();
        for worker in workers {
            self.renew(&worker);
        }
        self.show();
    }

    fn show(&self) {
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
            // The worker is gone; its poll will say so.
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
            LostLease::Lapsed { .. } => self.lose(&job, now),
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
