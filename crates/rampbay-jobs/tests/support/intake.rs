//! The intake of an entry, over the store in memory.

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::admission::gate::AdmissionGate;
use rampbay_jobs::follower::Pace;
use rampbay_jobs::intake::{Admission, CallTarget, CurrentRouting, Intake, IntakeLimits, Refusal};
use rampbay_jobs::job::Submission;
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::routing::{Queue, Routing, Workspace};
use rampbay_jobs::store::Store;

use super::store::MemoryStore;

/// The intake of an entry, with the data that it uses.
pub struct IntakeRig {
    /// The store.
    pub store: Rc<MemoryStore>,
    /// The table.
    pub live: LiveTable,
    /// The configuration.
    pub routing: Rc<CurrentRouting>,
    /// The intake.
    pub intake: Intake,
}

impl IntakeRig {
    /// Starts an entry's intake; the configuration is known, and stays as old as the table.
    pub fn start() -> Self {
        let store = MemoryStore::new();
        let live = LiveTable::default();
        let routing = Rc::new(CurrentRouting {
            freshness: Rc::clone(&live.freshness),
            ..CurrentRouting::default()
        });
        routing.set(Routing {
            version: 1,
            queues: vec![
                queue("open", "/open/", true),
                queue("keyed", "/keyed/", false),
                queue("deeper", "/keyed/deeper/", false),
            ],
            workspaces: vec![Workspace {
                name: "workspace".to_owned(),
                keys: vec!["key".to_owned()],
                guaranteed_devices: 8,
            }],
            body_limit: 0,
        });
        let shared: Rc<dyn Store> = store.clone();
        let pace = Pace { wait: Duration::from_millis(1000), gap: Duration::from_millis(10) };
        tokio::task::spawn_local(live.clone().follow(Rc::clone(&shared), pace));
        let limits = IntakeLimits {
            configuration_age: Duration::from_millis(2750),
            usual_wait: Duration::from_millis(800),
            store_age: Duration::from_millis(2200),
            max_waiting: 2,
            table_age: Duration::from_millis(3000),
        };
        let intake = Intake::new(
            shared,
            Rc::clone(&live.table),
            Rc::clone(&live.freshness),
            Rc::clone(&routing),
            limits,
        )
        .with_gate(AdmissionGate::new(&live));
        Self { store, live, routing, intake }
    }

    /// Submits a job whose caller waits for a time.
    pub async fn submit(&self, job: Submission, waits: Duration) -> Result<(), Refusal> {
        self.intake.submit(job, self.intake.wait_budget(Some(waits))).await
    }

    /// Requests admission with the key, for a caller that waits for a time.
    pub async fn admit(&self, waits: Duration) -> Result<Admission, Refusal> {
        let target = CallTarget { host: "host", path: "/keyed/x", key: Some("key") };
        self.intake.admit(target, self.intake.wait_budget(Some(waits))).await
    }
}

fn queue(name: &str, path_prefix: &str, public: bool) -> Queue {
    Queue {
        name: name.to_owned(),
        host: "host".to_owned(),
        path_prefix: path_prefix.to_owned(),
        service: "service".to_owned(),
        public,
        ..Queue::default()
    }
}
