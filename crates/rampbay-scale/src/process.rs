//! A process of a fleet: the product's code with the model's store and network.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::agent::{AgentHost, AgentParts, Heartbeat};
use rampbay_jobs::follower::Sink;
use rampbay_jobs::intake::CurrentRouting;
use rampbay_jobs::job::{InstanceId, NodeName, Resources};
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::record::{KeyedRecord, WorkerRecord};
use rampbay_jobs::routing::Routing;
use rampbay_jobs::settings::Settings;
use rampbay_jobs::store::Store;
use rampbay_jobs::worker::Worker;
use rampbay_peer::agent::Agent;
use rampbay_peer::entry::Entry;
use rampbay_peer::stack::{StoreStack, StoreStackParts, Subscription};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::connection::Connection;
use crate::load::Role;
use crate::machine::{Machine, WORKERS_PER_RACK};
use crate::network::Network;
use crate::store::{ModelStore, OPERATOR_TOPIC};
use crate::time::wall_clock;
use crate::worker::ModelWorker;

/// Service of all workers.
pub(crate) const SERVICE: &str = "service";
/// Time between two heartbeats of a worker.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);

/// Applies the operators' configurations and records when each arrived.
struct ConfigurationSink {
    routing: Rc<CurrentRouting>,
    arrivals: Rc<RefCell<BTreeMap<u64, Instant>>>,
}

impl Sink for ConfigurationSink {
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

/// A process of any kind.
pub struct Process {
    /// Its name.
    pub name: NodeName,
    /// Its kind.
    pub role: Role,
    /// Its peer address.
    pub address: String,
    /// Its connection to the store.
    pub connection: Rc<Connection>,
    /// Its copy of the state.
    pub live: LiveTable,
    /// Its view of the operators' configuration and orders; entries only.
    pub routing: Rc<CurrentRouting>,
    /// When each version of the operators' configuration arrived.
    pub(crate) arrivals: Rc<RefCell<BTreeMap<u64, Instant>>>,
    /// The store stack through which it reads and appends.
    pub(crate) store: Rc<dyn Store>,
    /// The task that runs it.
    pub(crate) task: JoinHandle<()>,
}

impl Process {
    /// Returns whether it is an entry.
    #[must_use]
    pub fn is_entry(&self) -> bool {
        self.role != Role::Agent
    }

    /// Starts the process of a machine: an agent if there is a worker, otherwise an entry.
    pub(crate) fn start(
        store: &Rc<ModelStore>,
        network: &Rc<Network>,
        machine: Machine,
        worker: Option<&Rc<ModelWorker>>,
    ) -> Self {
        let Machine { index, role, settings } = machine;
        let settings = Rc::new(settings);
        let live = match worker {
            Some(_) => LiveTable::of_agent(settings.node.clone()),
            None => LiveTable::default(),
        };
        let connection = Connection::new(store, role);
        let routing = Rc::new(CurrentRouting::default());
        let stack = StoreStack::open(StoreStackParts {
            settings: Rc::clone(&settings),
            transport: network.clone(),
            live: live.clone(),
            store: connection.clone(),
            subscription: subscription_of(role, &routing),
        });
        let store = Rc::clone(&stack.store);
        let name = settings.node.clone();
        let address = format!("{}:{}", settings.ip, settings.peer_port);
        network.attach(address.clone(), name.clone(), stack.peer_service.clone());
        let arrivals = Rc::default();
        let task = if let Some(worker) = worker {
            let worker = Rc::clone(worker);
            tokio::task::spawn_local(run_agent(index, settings, live.clone(), stack, worker))
        } else {
            let entry = Entry {
                settings,
                store: Rc::clone(&store),
                routes: stack.routes.clone(),
                live: live.clone(),
                routing: Rc::clone(&routing),
                upkeep: None,
            };
            let orders =
                ConfigurationSink { routing: Rc::clone(&routing), arrivals: Rc::clone(&arrivals) };
            tokio::task::spawn_local(run_entry(index, entry, stack, orders))
        };
        Self { name, role, address, connection, live, routing, arrivals, store, task }
    }
}

fn subscription_of(role: Role, routing: &CurrentRouting) -> Subscription {
    if role == Role::Agent {
        Subscription::OwnWorker
    } else {
        let orders = Rc::clone(&routing.freshness);
        Subscription::Everything { orders_topic: OPERATOR_TOPIC.to_owned(), orders }
    }
}

async fn run_entry(index: usize, entry: Entry, stack: StoreStack, orders: ConfigurationSink) {
    let leads = entry.clone().lead(wall_clock, index as u64);
    tokio::join!(stack.maintain(), entry.follow(OPERATOR_TOPIC, orders), leads);
}

async fn run_agent(
    index: usize,
    settings: Rc<Settings>,
    live: LiveTable,
    stack: StoreStack,
    worker: Rc<ModelWorker>,
) {
    let client = Rc::clone(&worker);
    let host = AgentHost::new(AgentParts {
        node: settings.node.clone(),
        store: Rc::clone(&stack.store),
        table: Rc::clone(&live.table),
        freshness: Rc::clone(&live.freshness),
        connect: Box::new(move |_, _| -> Rc<dyn Worker> { client.clone() }),
        compare_incarnations: |_, _| None,
        incarnation_start: |_| None,
        wall_clock,
        settings: settings.agent(),
    });
    let _incarnations = IncarnationsGuard(Rc::clone(&host));
    let agent = Agent { store: Rc::clone(&stack.store), live, host: Rc::clone(&host) };
    let heartbeats = send_heartbeats(index, &settings, host);
    tokio::join!(stack.maintain(), agent.run(), heartbeats);
}

/// Ends the worker incarnations that an agent serves, which have tasks of their own, when the agent's task is
/// dropped.
struct IncarnationsGuard(Rc<AgentHost>);

impl Drop for IncarnationsGuard {
    fn drop(&mut self) {
        self.0.abandon();
    }
}

async fn send_heartbeats(index: usize, settings: &Settings, host: Rc<AgentHost>) {
    let instance: InstanceId = format!("worker-{index}");
    let record = WorkerRecord {
        node: settings.node.clone(),
        service: SERVICE.to_owned(),
        address: format!("{}:8000", settings.ip),
        failure_domain: settings.failure_domain.clone(),
        capacity: Resources { cpu_milli: 128_000, memory_mb: 262_144, devices: 8 },
        labels: vec!["kind".to_owned(), format!("rack-{}", index / WORKERS_PER_RACK)],
        ..WorkerRecord::default()
    };
    for sequence in 1.. {
        host.heartbeat(Heartbeat {
            instance: instance.clone(),
            sequence,
            record: record.clone(),
            remaining: None,
        });
        sleep(HEARTBEAT_INTERVAL).await;
    }
}
