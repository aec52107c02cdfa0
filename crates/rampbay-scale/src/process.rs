//! A process of a fleet: the product's, over the model's store and network.

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
use crate::machine::{Machine, RACK};
use crate::network::Network;
use crate::store::{ModelStore, OPERATOR_TOPIC};
use crate::time::wall_clock;
use crate::worker::ModelWorker;

/// Service of all workers.
pub(crate) const SERVICE: &str = "service";
/// Time between two heartbeats of a worker.
const HEARTBEAT: Duration = Duration::from_millis(1500);

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
    /// When each of the operators' configurations came.
    pub(crate) arrivals: Rc<RefCell<BTreeMap<u64, Instant>>>,
    /// How it reads and appends.
    pub(crate) store: Rc<dyn Store>,
    /// Its work.
    pub(crate) task: JoinHandle<()>,
}

impl Process {
    /// Returns whether it is an entry.
    #[must_use]
    pub fn is_entry(&self) -> bool {
        self.role != Role::Agent
    }

    /// Starts the process of a machine; an agent has a worker.
    pub(crate) fn start(
        store: &Rc<ModelStore>,
        network: &Rc<Network>,
        machine: Machine,
        worker: Option<&Rc<ModelWorker>>,
    ) -> Self {
        let Machine { place, role, settings } = machine;
        let settings = Rc::new(settings);
        let live = match worker {
            Some(_) => LiveTable::of_agent(settings.node.clone()),
            None => LiveTable::default(),
        };
        let connection = Connection::new(store, role);
        let routing = Rc::new(CurrentRouting::default());
        let ways = StoreStack::open(StoreStackParts {
            settings: Rc::clone(&settings),
            transport: network.clone(),
            live: live.clone(),
            store: connection.clone(),
            subscription: follows(role, &routing),
        });
        let store = Rc::clone(&ways.store);
        let name = settings.node.clone();
        let address = format!("{}:{}", settings.ip, settings.peer_port);
        network.attach(address.clone(), name.clone(), ways.peer_service.clone());
        let arrivals = Rc::default();
        let task = if let Some(worker) = worker {
            let worker = Rc::clone(worker);
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
        Self { name, role, address, connection, live, routing, arrivals, store, task }
    }
}

fn follows(role: Role, routing: &CurrentRouting) -> Subscription {
    if role == Role::Agent {
        Subscription::OwnWorker
    } else {
        let orders = Rc::clone(&routing.freshness);
        Subscription::Everything { orders_topic: OPERATOR_TOPIC.to_owned(), orders }
    }
}

async fn run_entry(place: usize, entry: Entry, ways: StoreStack, orders: Orders) {
    let leads = entry.clone().lead(wall_clock, place as u64);
    tokio::join!(ways.maintain(), entry.follow(OPERATOR_TOPIC, orders), leads);
}

async fn run_agent(
    place: usize,
    settings: Rc<Settings>,
    live: LiveTable,
    ways: StoreStack,
    worker: Rc<ModelWorker>,
) {
    let client = Rc::clone(&worker);
    let host = AgentHost::new(AgentParts {
        node: settings.node.clone(),
        store: Rc::clone(&ways.store),
        table: Rc::clone(&live.table),
        freshness: Rc::clone(&live.freshness),
        connect: Box::new(move |_, _| -> Rc<dyn Worker> { client.clone() }),
        compare_incarnations: |_, _| None,
        incarnation_start: |_| None,
        wall_clock,
        settings: settings.agent(),
    });
    let _lives = Lives(Rc::clone(&host));
    let agent = Agent { store: Rc::clone(&ways.store), live, host: Rc::clone(&host) };
    let beats = send_heartbeats(place, &settings, host);
    tokio::join!(ways.maintain(), agent.run(), beats);
}

/// Ends the lives that an agent serves, which have tasks of their own, with its process.
struct Lives(Rc<AgentHost>);

impl Drop for Lives {
    fn drop(&mut self) {
        self.0.abandon();
    }
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
