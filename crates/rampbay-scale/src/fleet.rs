//! A fleet: entries and agents over one store and one network.

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::job::{NodeName, Resources, Step, Submission};
use rampbay_jobs::plan::JobStatus;
use rampbay_jobs::record::{Record, STATE_TOPIC};
use rampbay_peer::tree::Tree;
use tokio::time::{Instant, sleep, timeout};

use crate::connection::Way;
use crate::load::Load;
use crate::machine::{Machine, Size, address, place_of};
use crate::network::{Network, Reachable};
use crate::process::{Process, SERVICE};
use crate::store::{ModelStore, OPERATOR_TOPIC};
use crate::time::wall_clock;
use crate::worker::ModelWorker;

/// Time within which all processes of a fleet start.
const START_SPREAD: Duration = Duration::from_millis(300);
/// Time that every run takes.
const RUN_TIME: Duration = Duration::from_secs(3);
/// Time between two looks of whoever waits for something.
const LOOK: Duration = Duration::from_millis(5);
/// Key of the operators' configuration.
const CONFIGURATION: &str = "configuration";

/// A fleet.
pub struct Fleet {
    /// How many processes it has.
    pub size: Size,
    /// What they ask of the store and of each other.
    pub load: Rc<Load>,
    /// The store.
    pub store: Rc<ModelStore>,
    /// The network.
    pub network: Rc<Network>,
    /// The processes, entries first.
    pub processes: Vec<Process>,
    /// The workers, in the order of the agents.
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
        for place in fleet.start_order() {
            let process = fleet.start_process(place);
            fleet.processes.push(process);
            sleep(pause).await;
        }
        fleet.processes.sort_by_key(|process| process.address.clone());
        fleet
    }

    /// Returns the order in which processes start: kinds and failure domains mixed.
    fn start_order(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.size.machines()).collect();
        order.sort_by_key(|place| place.wrapping_mul(2_654_435_761) % 1_000_003);
        order
    }

    fn start_process(&self, place: usize) -> Process {
        let machine = Machine::of(self.size, place, &self.seeds);
        let worker = place.checked_sub(self.size.entries()).map(|agent| &self.workers[agent]);
        Process::start(&self.store, &self.network, machine, worker)
    }

    /// Ends processes without notice; nobody listens at their addresses.
    pub fn kill(&mut self, is_hit: impl Fn(&Process) -> bool) {
        self.end(is_hit, Reachable::Refused);
    }

    /// Takes the power of processes away; calls to them hang.
    pub fn power_off(&mut self, is_hit: impl Fn(&Process) -> bool) {
        self.end(is_hit, Reachable::Silent);
    }

    fn end(&mut self, is_hit: impl Fn(&Process) -> bool, reachable: Reachable) {
        for process in self.processes.iter().filter(|process| is_hit(process)) {
            process.task.abort();
            process.connection.way.set(Way::Silent);
            self.network.set_reachable(&process.address, reachable);
        }
    }

    /// Starts the processes again that have ended.
    pub async fn restart(&mut self) {
        let is_over = |process: &Process| process.task.is_finished();
        // An aborted task is over once it has been looked at.
        sleep(LOOK).await;
        for place in 0..self.processes.len() {
            if is_over(&self.processes[place]) {
                let started = place_of(&self.processes[place].address);
                self.processes[place] = self.start_process(started);
            }
        }
    }

    /// Returns the entries that haven't ended.
    pub fn entries(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| process.is_entry() && !process.task.is_finished())
    }

    /// Returns the agents that haven't ended.
    pub fn agents(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| !process.is_entry() && !process.task.is_finished())
    }

    /// Returns the process that leads.
    #[must_use]
    pub fn leader(&self) -> Option<&Process> {
        let leader = self.store.leader()?;
        self.processes.iter().find(|process| process.name == leader)
    }

    /// Names the entries that read through the leader, as it sees them.
    #[must_use]
    pub fn inner(&self) -> Vec<NodeName> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let table = leader.live.table.borrow();
        Tree::of(&table).inner.iter().map(|member| member.node.clone()).collect()
    }

    /// Waits until something holds. Returns how long that took, or `None` if it took longer than `limit`.
    pub async fn until(&self, limit: Duration, holds: impl Fn(&Self) -> bool) -> Option<Duration> {
        let began = Instant::now();
        let held = async {
            while !holds(self) {
                sleep(LOOK).await;
            }
        };
        timeout(limit, held).await.ok().map(|()| began.elapsed())
    }

    /// Returns whether one process leads, and has said so in the state.
    #[must_use]
    pub fn is_led(&self) -> bool {
        self.leader().is_some_and(|leader| {
            leader.live.table.borrow().leader.node == leader.name && !leader.task.is_finished()
        })
    }

    /// Returns whether the leader knows all workers.
    #[must_use]
    pub fn knows_workers(&self) -> bool {
        let count = |leader: &Process| leader.live.table.borrow().workers.len();
        self.is_led() && self.leader().is_some_and(|leader| count(leader) == self.size.agents)
    }

    /// Publishes a configuration of so many bytes.
    pub fn publish(&self, version: u64, bytes: usize) {
        let mut value = version.to_be_bytes().to_vec();
        value.resize(bytes.max(value.len()), 0);
        self.store.write(OPERATOR_TOPIC, CONFIGURATION, value);
    }

    /// Returns whether all entries that are there have a configuration.
    #[must_use]
    pub fn has_configuration(&self, version: u64) -> bool {
        self.entries().all(|entry| entry.arrivals.borrow().contains_key(&version))
    }

    /// Returns the age of the oldest view that an entry has of the operators' orders.
    #[must_use]
    pub fn oldest_orders(&self) -> Duration {
        let ages = self.entries().map(|entry| entry.routing.freshness.age());
        ages.map(|age| age.unwrap_or(Duration::MAX)).max().unwrap_or_default()
    }

    /// Returns the age of the oldest view that a process has of the state.
    #[must_use]
    pub fn oldest_table(&self) -> Duration {
        let running = self.processes.iter().filter(|process| !process.task.is_finished());
        let ages = running.map(|process| process.live.freshness.age());
        ages.map(|age| age.unwrap_or(Duration::MAX)).max().unwrap_or_default()
    }

    /// Hands a job of one step of equal tasks in at the last entry, until the store has it.
    ///
    /// # Panics
    ///
    /// Panics if there are no entries.
    pub async fn submit(&self, id: &str, tasks: u32, devices: u64) {
        let last = self.entries().count() - 1;
        self.submit_at(last, id, tasks, devices).await;
    }

    /// Hands a job of one step of equal tasks in at one of the entries that are there, until the store has it.
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
            sleep(LOOK).await;
        }
    }

    /// Counts the runs at all workers.
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
