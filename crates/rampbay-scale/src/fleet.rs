//! A fleet: entries and agents over one store and one network.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::agent::{AgentHost, AgentParts, Heartbeat};
use rampbay_jobs::follower::Sink;
use rampbay_jobs::intake::CurrentRouting;
use rampbay_jobs::job::{InstanceId, NodeName, Resources, Step, Submission};
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::record::{JobStatus, KeyedRecord, Record, STATE_TOPIC, WorkerRecord};
use rampbay_jobs::routing::Routing;
use rampbay_jobs::settings::Settings;
use rampbay_jobs::store::Store;
use rampbay_jobs::worker::Worker;
use rampbay_peer::agent::Agent;
use rampbay_peer::entry::Entry;
use rampbay_peer::tree::Tree;
use rampbay_peer::ways::{Follows, Ways, WaysParts};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::load::{Load, Role};
use crate::network::{Network, Reachable};
use crate::store::{Connection, ModelStore, OPERATOR_TOPIC, Way};
use crate::time::wall_clock;
use crate::worker::ModelWorker;

/// Failure domains of a fleet.
const DOMAINS: usize = 5;
/// Workers of one rack.
const RACK: usize = 8;
/// Time within which all processes of a fleet start.
const START_SPREAD: Duration = Duration::from_millis(300);
/// Time between two heartbeats of a worker.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Time that every run takes.
const RUN_TIME: Duration = Duration::from_secs(3);
/// Time between two looks of whoever waits for something.
const LOOK: Duration = Duration::from_millis(5);
/// Key of the operators' configuration.
const CONFIGURATION: &str = "configuration";

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
}

/// Takes in the operators' configurations, and notes when each came.
struct Orders {
    routing: Rc<CurrentRouting>,
    arrivals: Rc<RefCell<BTreeMap<u64, Instant>>>,
}

impl Sink for Orders {
    fn reset(&mut self) {}

    fn apply(&mut self, record: &KeyedRecord) {
        let Some(version) = record.value.first_chunk().map(|bytes| u64::from_be_bytes(*bytes))
        else {
            return;
        };
        self.arrivals.borrow_mut().entry(version).or_insert_with(Instant::now);
        self.routing.set(Routing { version, ..Routing::default() });
    }
}

/// A process, whatever it is.
pub struct Process {
    /// Its name.
    pub name: NodeName,
    /// What it is.
    pub role: Role,
    /// Where peers reach it.
    pub address: String,
    /// Its way to the store.
    pub connection: Rc<Connection>,
    /// The table that it keeps.
    pub live: LiveTable,
    /// What it knows of the operators' orders; entries only.
    pub routing: Rc<CurrentRouting>,
    arrivals: Rc<RefCell<BTreeMap<u64, Instant>>>,
    store: Rc<dyn Store>,
    task: JoinHandle<()>,
}

impl Process {
    /// Returns whether it is an entry.
    #[must_use]
    pub fn is_entry(&self) -> bool {
        self.role != Role::Agent
    }
}

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
    /// Starts all processes within [`START_SPREAD`].
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

    fn role(&self, place: usize) -> Role {
        if place < self.size.ample {
            Role::AmpleEntry
        } else if place < self.size.entries() {
            Role::SmallEntry
        } else {
            Role::Agent
        }
    }

    fn start_process(&self, place: usize) -> Process {
        let role = self.role(place);
        let settings = Rc::new(settings(place, role, &self.seeds));
        let live = LiveTable::default();
        let connection = Connection::new(&self.store, role);
        let routing = Rc::new(CurrentRouting::default());
        let follows = if role == Role::Agent {
            Follows::OwnWorker
        } else {
            let orders = Rc::clone(&routing.freshness);
            Follows::Everything { orders_topic: OPERATOR_TOPIC.to_owned(), orders }
        };
        let ways = Ways::open(WaysParts {
            settings: Rc::clone(&settings),
            transport: self.network.clone(),
            live: live.clone(),
            store: connection.clone(),
            follows,
        });
        let store = Rc::clone(&ways.store);
        let name = settings.node.clone();
        self.network.attach(address(place), name.clone(), ways.served.clone());
        let arrivals = Rc::default();
        let task = if role == Role::Agent {
            let worker = Rc::clone(&self.workers[place - self.size.entries()]);
            tokio::task::spawn_local(run_agent(place, settings, live.clone(), ways, worker))
        } else {
            let entry = Entry {
                settings,
                store: Rc::clone(&store),
                routes: ways.routes.clone(),
                live: live.clone(),
                routing: Rc::clone(&routing),
            };
            let orders = Orders { routing: Rc::clone(&routing), arrivals: Rc::clone(&arrivals) };
            tokio::task::spawn_local(run_entry(place, entry, ways, orders))
        };
        let address = address(place);
        Process { name, role, address, connection, live, routing, arrivals, store, task }
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

/// Service of all workers.
const SERVICE: &str = "service";
/// Port at which peers reach each other.
const PEER_PORT: u16 = 7000;

/// Returns where peers reach the process of a machine.
fn address(place: usize) -> String {
    format!("{}:{PEER_PORT}", ip(place))
}

/// Returns the address of a machine; addresses sort as places do.
fn ip(place: usize) -> String {
    format!("10.0.{}.{}", 100 + place / 100, 100 + place % 100)
}

/// Returns the place of a machine by the address of its process.
fn place_of(address: &str) -> usize {
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

async fn run_entry(place: usize, entry: Entry, ways: Ways, orders: Orders) {
    let leads = entry.clone().lead(wall_clock, place as u64);
    tokio::join!(ways.maintain(), entry.follow(OPERATOR_TOPIC, orders), leads);
}

async fn run_agent(
    place: usize,
    settings: Rc<Settings>,
    live: LiveTable,
    ways: Ways,
    worker: Rc<ModelWorker>,
) {
    let client = Rc::clone(&worker);
    let host = AgentHost::new(AgentParts {
        node: settings.node.clone(),
        store: Rc::clone(&ways.store),
        table: Rc::clone(&live.table),
        freshness: Rc::clone(&live.freshness),
        connect: Box::new(move |_, _| -> Rc<dyn Worker> { client.clone() }),
        succession: |_, _| None,
        wall_clock,
        settings: settings.agent(),
    });
    let agent = Agent { store: Rc::clone(&ways.store), live, host: Rc::clone(&host) };
    let beats = send_heartbeats(place, &settings, host);
    tokio::join!(ways.maintain(), agent.run(), beats);
}

async fn send_heartbeats(place: usize, settings: &Settings, host: Rc<AgentHost>) {
    let instance: InstanceId = format!("worker-{place}");
    let record = WorkerRecord {
        node: settings.node.clone(),
        service: SERVICE.to_owned(),
        address: format!("{}:8000", settings.ip),
        failure_domain: settings.failure_domain.clone(),
        capacity: Resources { cpu_milli: 128_000, memory_mb: 262_144, devices: 8 },
        labels: vec!["kind".to_owned(), format!("rack-{}", place / RACK)],
        ..WorkerRecord::default()
    };
    for sequence in 1.. {
        host.heartbeat(Heartbeat {
            instance: instance.clone(),
            sequence,
            record: record.clone(),
            remaining: None,
        });
        sleep(HEARTBEAT).await;
    }
}
