//! A fleet: entries and agents that share one store and one network.

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::job::{NodeName, Resources, Step, Submission};
use rampbay_jobs::plan::JobStatus;
use rampbay_jobs::record::{Record, STATE_TOPIC};
use rampbay_peer::tree::Tree;
use tokio::time::{Instant, sleep, timeout};

use crate::connection::StoreAccess;
use crate::load::Load;
use crate::machine::{Machine, Size, address, index_of};
use crate::network::{Network, Reachability};
use crate::process::{Process, SERVICE};
use crate::store::{ModelStore, OPERATOR_TOPIC};
use crate::time::wall_clock;
use crate::worker::ModelWorker;

/// Time over which the starts of all processes are spread.
const START_SPREAD: Duration = Duration::from_millis(300);
/// Duration of every run.
const RUN_TIME: Duration = Duration::from_secs(3);
/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Key of the operators' configuration.
const CONFIGURATION_KEY: &str = "configuration";

/// All processes, workers, the store and the network of a fleet.
pub struct Fleet {
    /// Number of processes of each kind.
    pub size: Size,
    /// Counts of calls to the store and between processes.
    pub load: Rc<Load>,
    /// The store.
    pub store: Rc<ModelStore>,
    /// The network.
    pub network: Rc<Network>,
    /// The processes, entries first.
    pub processes: Vec<Process>,
    /// The workers, in the same order as the agents.
    pub workers: Vec<Rc<ModelWorker>>,
    seeds: Vec<String>,
}

impl Fleet {
    /// Starts all processes, spread evenly over 0.3 s.
    pub async fn start(size: Size) -> Self {
        let load = Rc::new(Load::default());
        let store = ModelStore::new(Rc::clone(&load));
        let network = Network::new(Rc::clone(&load));
        let workers = (0..size.agents).map(|_| ModelWorker::new(RUN_TIME)).collect();
        let seeds = (0..size.entries().min(3)).map(address).collect();
        let processes = Vec::new();
        let mut fleet = Self { size, load, store, network, processes, workers, seeds };
        let pause = START_SPREAD / u32::try_from(size.machines()).unwrap_or(u32::MAX);
        for index in fleet.start_order() {
            let process = fleet.start_process(index);
            fleet.processes.push(process);
            sleep(pause).await;
        }
        fleet.processes.sort_by_key(|process| process.address.clone());
        fleet
    }

    /// Returns the order in which processes start, with kinds and failure domains mixed.
    fn start_order(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.size.machines()).collect();
        order.sort_by_key(|index| index.wrapping_mul(2_654_435_761) % 1_000_003);
        order
    }

    fn start_process(&self, index: usize) -> Process {
        let machine = Machine::of(self.size, index, &self.seeds);
        let worker = index.checked_sub(self.size.entries()).map(|agent| &self.workers[agent]);
        Process::start(&self.store, &self.network, machine, worker)
    }

    /// Kills processes; calls to them are refused.
    pub fn kill(&mut self, selects: impl Fn(&Process) -> bool) {
        self.end(selects, Reachability::Refused);
    }

    /// Cuts the power of processes; calls to them hang.
    pub fn power_off(&mut self, selects: impl Fn(&Process) -> bool) {
        self.end(selects, Reachability::Silent);
    }

    fn end(&mut self, selects: impl Fn(&Process) -> bool, reachability: Reachability) {
        for process in self.processes.iter().filter(|process| selects(process)) {
            process.task.abort();
            process.connection.access.set(StoreAccess::Silent);
            self.network.set_reachability(&process.address, reachability);
        }
    }

    /// Restarts the processes that have ended.
    pub async fn restart(&mut self) {
        let has_ended = |process: &Process| process.task.is_finished();
        // An aborted task counts as finished only after the executor has polled it.
        sleep(POLL_INTERVAL).await;
        for index in 0..self.processes.len() {
            if has_ended(&self.processes[index]) {
                let started = index_of(&self.processes[index].address);
                self.processes[index] = self.start_process(started);
            }
        }
    }

    /// Returns the running entries.
    pub fn entries(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| process.is_entry() && !process.task.is_finished())
    }

    /// Returns the running agents.
    pub fn agents(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| !process.is_entry() && !process.task.is_finished())
    }

    /// Returns the leading process.
    #[must_use]
    pub fn leader(&self) -> Option<&Process> {
        let leader = self.store.leader()?;
        self.processes.iter().find(|process| process.name == leader)
    }

    /// Returns the names of the inner entries, which read through the leader, as the leader sees them.
    #[must_use]
    pub fn inner(&self) -> Vec<NodeName> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let table = leader.live.table.borrow();
        Tree::of(&table).inner.iter().map(|member| member.node.clone()).collect()
    }

    /// Waits until a condition holds. Returns how long that took, or `None` if it took longer than `limit`.
    pub async fn wait_until(
        &self,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let began = Instant::now();
        let wait = async {
            while !condition(self) {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(limit, wait).await.ok().map(|()| began.elapsed())
    }

    /// Returns whether a running process leads and has announced that in the state.
    #[must_use]
    pub fn has_leader(&self) -> bool {
        self.leader().is_some_and(|leader| {
            leader.live.table.borrow().leader.node == leader.name && !leader.task.is_finished()
        })
    }

    /// Returns whether the leader knows all workers.
    #[must_use]
    pub fn knows_workers(&self) -> bool {
        let count = |leader: &Process| leader.live.table.borrow().workers.len();
        self.has_leader() && self.leader().is_some_and(|leader| count(leader) == self.size.agents)
    }

    /// Publishes a configuration of the given size.
    pub fn publish(&self, version: u64, bytes: usize) {
        let mut value = version.to_be_bytes().to_vec();
        value.resize(bytes.max(value.len()), 0);
        self.store.write(OPERATOR_TOPIC, CONFIGURATION_KEY, value);
    }

    /// Returns whether all running entries have received a configuration.
    #[must_use]
    pub fn has_configuration(&self, version: u64) -> bool {
        self.entries().all(|entry| entry.arrivals.borrow().contains_key(&version))
    }

    /// Returns the age of the oldest view of the operators' orders at an entry.
    #[must_use]
    pub fn oldest_orders_age(&self) -> Duration {
        let ages = self.entries().map(|entry| entry.routing.freshness.age());
        ages.map(|age| age.unwrap_or(Duration::MAX)).max().unwrap_or_default()
    }

    /// Returns the age of the oldest view of the state at a process.
    #[must_use]
    pub fn oldest_table_age(&self) -> Duration {
        let running = self.processes.iter().filter(|process| !process.task.is_finished());
        let ages = running.map(|process| process.live.freshness.age());
        ages.map(|age| age.unwrap_or(Duration::MAX)).max().unwrap_or_default()
    }

    /// Submits a job of one step of equal tasks at the last entry, and waits until the store has it.
    ///
    /// # Panics
    ///
    /// Panics if there are no entries.
    pub async fn submit(&self, id: &str, tasks: u32, devices: u64) {
        let last = self.entries().count() - 1;
        self.submit_at(last, id, tasks, devices).await;
    }

    /// Submits a job of one step of equal tasks at one of the running entries, and waits until the store has it.
    ///
    /// # Panics
    ///
    /// Panics if there is no such entry.
    pub async fn submit_at(&self, entry: usize, id: &str, tasks: u32, devices: u64) {
        let entry = self.entries().nth(entry).expect("an entry");
        let step = Step {
            count: tasks,
            demand: Resources { cpu_milli: 4_000, memory_mb: 4_000, devices },
            estimate_ms: RUN_TIME.as_millis() as u64,
            ..Step::default()
        };
        let submission = Submission {
            id: id.to_owned(),
            workspace: "workspace".to_owned(),
            queue: "queue".to_owned(),
            service: SERVICE.to_owned(),
            priority: 1,
            attempts: 3,
            stretch_permille: 3000,
            target_ms: 1000,
            submitted_at: wall_clock(),
            steps: vec![step],
            ..Submission::default()
        };
        let records = [Record::Submitted(Box::new(submission)).encode()];
        while entry.store.append(STATE_TOPIC, &records, None).await.is_err() {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the number of runs on all workers.
    #[must_use]
    pub fn running(&self) -> usize {
        self.workers.iter().map(|worker| worker.running()).sum()
    }

    /// Returns whether every entry shows a job as done.
    #[must_use]
    pub fn is_done(&self, id: &str) -> bool {
        let is_done = |entry: &Process| {
            entry
                .live
                .table
                .borrow()
                .status(id)
                .is_some_and(|status| status == JobStatus::Succeeded)
        };
        self.entries().all(is_done)
    }
}
