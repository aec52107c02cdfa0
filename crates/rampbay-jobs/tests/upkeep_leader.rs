//! Waves of machine maintenance, served by processes that stand for election, over the store in memory.

mod support;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::planner::Placement;
use rampbay_jobs::record::STATE_TOPIC;
use rampbay_jobs::store::{AppendError, Fence, Store};
use rampbay_jobs::upkeep::control::{ControlError, MachineControl, UpkeepOrder};
use rampbay_jobs::upkeep::driver::UpkeepParts;
use rampbay_jobs::upkeep::machine::{Machine, WorkerId};
use rampbay_jobs::upkeep::wave::{CurrentWaves, WaveNumber, WaveStatus};
use support::leader::start_leader_with;
use support::store::{MemoryStore, StoreFault};
use support::upkeep::{Interface, SimMachine, wave};
use support::{run_in_virtual_time, seed_running_job, table_of, task};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

const STATUS_TOPIC: &str = "status";
const JOB: &str = "00000000000000aa";

/// The machines, as all processes reach them.
struct Machines {
    interface: RefCell<Interface>,
    started: Instant,
    store: Rc<MemoryStore>,
    /// Whether orders are carried out without an answer.
    is_silent: Cell<bool>,
    /// Largest number of machines that were down at a time.
    most_down: Cell<usize>,
}

impl Machines {
    fn new(store: &Rc<MemoryStore>, names: &[&str]) -> Rc<Self> {
        let mut interface = Interface::default();
        let machines = names.iter().map(|name| ((*name).to_owned(), SimMachine::default()));
        interface.machines = machines.collect();
        Rc::new(Self {
            interface: RefCell::new(interface),
            started: Instant::now(),
            store: Rc::clone(store),
            is_silent: Cell::new(false),
            most_down: Cell::new(0),
        })
    }

    fn now(&self) -> Duration {
        let now = self.started.elapsed();
        self.interface.borrow_mut().advance(now);
        now
    }

    fn carry_out(&self, order: &UpkeepOrder) -> Result<(), ControlError> {
        let now = self.now();
        let mut interface = self.interface.borrow_mut();
        interface.sent.push((now, order.clone()));
        let answer = interface.carry_out(order, now);
        self.most_down.set(self.most_down.get().max(interface.down(order.wave)));
        answer
    }

    fn statuses(&self) -> Vec<String> {
        let records = self.store.all(STATUS_TOPIC).into_iter();
        records.map(|record| String::from_utf8(record.value).expect("text")).collect()
    }
}

struct Control(Rc<Machines>);

#[async_trait(?Send)]
impl MachineControl for Control {
    async fn machines(&self) -> Result<Vec<Machine>, ControlError> {
        sleep(Duration::from_millis(20)).await;
        let now = self.0.now();
        self.0.interface.borrow_mut().lists += 1;
        Ok(self.0.interface.borrow().list(now))
    }

    async fn begin_upkeep(&self, order: &UpkeepOrder) -> Result<(), ControlError> {
        sleep(Duration::from_millis(20)).await;
        let answer = self.0.carry_out(order);
        if self.0.is_silent.get() {
            sleep(Duration::from_secs(1)).await;
            return Err(ControlError::NoAnswer);
        }
        answer
    }

    async fn report(
        &self,
        wave: WaveNumber,
        status: &WaveStatus,
        fence: &Fence,
    ) -> Result<(), AppendError> {
        let value = format!("{wave} {status:?}").into_bytes();
        let record = rampbay_jobs::record::KeyedRecord { key: format!("wave/{wave}"), value };
        self.0.store.append(STATUS_TOPIC, &[record], Some(fence)).await.map(|_| ())
    }

    fn worker_id(&self, instance: &str) -> WorkerId {
        instance.to_owned()
    }
}

fn start(machines: &Rc<Machines>, node: &str, waves: &Rc<CurrentWaves>) -> JoinHandle<()> {
    let control = Rc::new(Control(Rc::clone(machines)));
    let parts = UpkeepParts { control, waves: Rc::clone(waves) };
    let salt = node.len() as u64;
    start_leader_with(&machines.store, node, salt, None, Some(parts), Placement::Auto)
}

fn two_machines(store: &Rc<MemoryStore>) -> (Rc<Machines>, Rc<CurrentWaves>) {
    let machines = Machines::new(store, &["m0", "m1"]);
    let waves = Rc::new(CurrentWaves::default());
    waves.set(1, wave(&["m0", "m1"], 60, 1));
    (machines, waves)
}

/// Guards against parts of the leader that don't fit together: a wave that isn't read, ordered, kept or reported.
#[test]
fn wave_served_by_leader() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let (machines, waves) = two_machines(&store);
        start(&machines, "entry-1", &waves);
        sleep(Duration::from_secs(30)).await;
        assert_eq!(machines.statuses(), ["1 Running", "1 Succeeded"]);
        assert_eq!(machines.most_down.get(), 1);
        assert_eq!(machines.interface.borrow().sent.len(), 2);
        assert!(machines.interface.borrow().lists <= 8, "{}", machines.interface.borrow().lists);
        assert!(table_of(&store).upkeep[&1].reported.is_some());
    });
}

/// Guards against state that is written, or an interface that is called, where there are no waves.
#[test]
fn leader_without_waves_calls_nothing() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let machines = Machines::new(&store, &["m0"]);
        start(&machines, "entry-1", &Rc::new(CurrentWaves::default()));
        sleep(Duration::from_secs(30)).await;
        assert_eq!(machines.interface.borrow().lists, 0);
        assert!(machines.statuses().is_empty());
        let records = store.all(STATE_TOPIC);
        assert!(records.iter().all(|record| !record.key.starts_with("upkeep/")));
    });
}

/// Guards against a second machine that goes down after the process that ordered the first one is lost with the answer.
#[test]
fn wave_goes_on_after_loss_of_leader() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let (machines, waves) = two_machines(&store);
        let first = start(&machines, "entry-1", &waves);
        machines.is_silent.set(true);
        while machines.interface.borrow().sent.is_empty() {
            sleep(Duration::from_millis(20)).await;
        }
        first.abort();
        store.expire_leader();
        machines.is_silent.set(false);
        start(&machines, "entry-two", &waves);
        sleep(Duration::from_secs(60)).await;
        assert_eq!(machines.statuses(), ["1 Running", "1 Succeeded"]);
        assert_eq!(machines.most_down.get(), 1);
        let interface = machines.interface.borrow();
        let orders: Vec<&UpkeepOrder> = interface.sent.iter().map(|(_, order)| order).collect();
        assert!(orders.is_sorted_by_key(|order| order.token), "{orders:?}");
        assert!(interface.sent[1].0 - interface.sent[0].0 >= Duration::from_secs(3));
    });
}

/// Guards against orders while the store doesn't answer, and against a wave that doesn't go on after that.
#[test]
fn nothing_ordered_while_store_refuses() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let (machines, waves) = two_machines(&store);
        start(&machines, "entry-1", &waves);
        sleep(Duration::from_secs(3)).await;
        store.fault.set(StoreFault::Refuses);
        sleep(Duration::from_secs(20)).await;
        assert!(machines.interface.borrow().sent.is_empty());
        store.fault.set(StoreFault::None);
        sleep(Duration::from_secs(30)).await;
        assert_eq!(machines.statuses().last().map(String::as_str), Some("1 Succeeded"));
    });
}

/// Guards against a machine that goes down under its work: what runs there is stopped before, and nothing is started.
#[test]
fn work_stopped_before_maintenance() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let machines = Machines::new(&store, &["m0"]);
        let waves = Rc::new(CurrentWaves::default());
        seed_running_job(&store, JOB, 1, "i-m0");
        waves.set(1, wave(&["m0"], 0, 1));
        start(&machines, "entry-1", &waves);
        let mut was_stopping = false;
        while machines.interface.borrow().sent.is_empty() {
            sleep(Duration::from_millis(50)).await;
            let table = table_of(&store);
            let plan = table.jobs[JOB].plan.as_ref().expect("a plan");
            let status = plan.task(&task(JOB, 0)).expect("a task").status;
            was_stopping |= status == rampbay_jobs::plan::TaskStatus::Stopping;
        }
        assert!(was_stopping);
    });
}
