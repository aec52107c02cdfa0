//! Machines whose maintenance a leader orders, in virtual time and without a network.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::record::{KeyedRecord, Record};
use rampbay_jobs::upkeep::control::{ControlError, UpkeepOrder};
use rampbay_jobs::upkeep::decision::{Upkeep, UpkeepActions, UpkeepCall, UpkeepInputs};
use rampbay_jobs::upkeep::load::{Load, WorkerLoad};
use rampbay_jobs::upkeep::machine::{Machine, MachineState};
use rampbay_jobs::upkeep::record::{Turn, WaveProgress};
use rampbay_jobs::upkeep::wave::{WaveNumber, WaveOrder, WaveSpec, WaveStatus};

/// Time between two rounds.
pub const TICK: Duration = Duration::from_millis(100);
/// Time that a machine is down for its maintenance.
pub const MAINTENANCE: Duration = Duration::from_millis(2000);

/// What happens to a call on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is carried out and answered.
    Answered,
    /// It is carried out, and the answer is lost.
    AnswerLost,
    /// It is lost.
    Lost,
    /// It is carried out after a time, without an answer.
    Late(Duration),
    /// It is refused with an error.
    Refused(ControlError),
}

/// A machine behind the interface.
#[derive(Clone, Debug, Default)]
pub struct SimMachine {
    /// Until when it is down, and for which wave.
    pub down: Option<(Duration, WaveNumber)>,
    /// Waves in which it has begun its maintenance.
    pub begun: BTreeSet<WaveNumber>,
    /// Highest token that it has seen.
    pub token: u64,
    /// Whether it refuses its maintenance for now.
    pub is_busy: bool,
}

/// The interface.
#[derive(Debug, Default)]
pub struct Interface {
    /// The machines.
    pub machines: BTreeMap<String, SimMachine>,
    /// Calls that are carried out later.
    late: Vec<(Duration, UpkeepOrder)>,
    /// Orders as they were sent, with their times.
    pub sent: Vec<(Duration, UpkeepOrder)>,
    /// Time after which a list shows that a maintenance has begun.
    pub list_lag: Duration,
    /// Number of lists that were requested.
    pub lists: usize,
    /// Times of all calls.
    pub calls: Vec<Duration>,
}

impl Interface {
    /// Carries out an order.
    pub fn carry_out(&mut self, order: &UpkeepOrder, now: Duration) -> Result<(), ControlError> {
        let machine = self.machines.get_mut(&order.machine).ok_or(ControlError::NoMachine)?;
        if order.token < machine.token {
            return Err(ControlError::Fenced);
        }
        machine.token = order.token;
        if machine.begun.contains(&order.wave) {
            return Ok(());
        }
        if machine.is_busy || machine.down.is_some() {
            return Err(ControlError::Busy);
        }
        machine.begun.insert(order.wave);
        machine.down = Some((now + MAINTENANCE, order.wave));
        Ok(())
    }

    /// Ends what is over by now.
    pub fn advance(&mut self, now: Duration) {
        for machine in self.machines.values_mut() {
            if machine.down.is_some_and(|(until, _)| until <= now) {
                machine.down = None;
            }
        }
        let late = std::mem::take(&mut self.late);
        let (due, late): (Vec<_>, Vec<_>) = late.into_iter().partition(|(at, _)| *at <= now);
        self.late = late;
        for (_, order) in due {
            let _ = self.carry_out(&order, now);
        }
    }

    /// Lists the machines.
    pub fn list(&self, now: Duration) -> Vec<Machine> {
        let shows_down = |machine: &SimMachine| {
            machine.down.is_some_and(|(until, _)| now + MAINTENANCE >= until + self.list_lag)
        };
        let machine = |(name, machine): (&String, &SimMachine)| Machine {
            name: name.clone(),
            pool: "pool".to_owned(),
            state: if shows_down(machine) { MachineState::Upkeep } else { MachineState::Up },
            worker: format!("i-{name}"),
        };
        self.machines.iter().map(machine).collect()
    }

    /// Counts the machines that are down for their maintenance in a wave.
    pub fn down(&self, wave: WaveNumber) -> usize {
        let is_down = |machine: &&SimMachine| machine.down.is_some_and(|(_, of)| of == wave);
        self.machines.values().filter(is_down).count()
    }
}

/// A leader that serves waves.
pub struct SimLeader {
    pub upkeep: Upkeep,
    pub token: u64,
    started: Duration,
    /// Reports and records that the store hasn't taken yet. While there are records, the leader waits.
    reports: Vec<(WaveNumber, WaveStatus)>,
    records: Vec<KeyedRecord>,
    /// What it knows of the state since it was cut off from the store, and since when.
    cut_off: Option<(BTreeMap<WaveNumber, Rc<WaveProgress>>, Duration)>,
}

impl SimLeader {
    pub fn new(token: u64, started: Duration) -> Self {
        Self {
            upkeep: Upkeep::default(),
            token,
            started,
            reports: Vec::new(),
            records: Vec::new(),
            cut_off: None,
        }
    }
}

/// A leader, the store and the interface.
pub struct UpkeepRig {
    pub now: Duration,
    pub waves: BTreeMap<WaveNumber, WaveOrder>,
    pub kept: BTreeMap<WaveNumber, Rc<WaveProgress>>,
    pub load: Load,
    pub interface: Interface,
    pub leader: SimLeader,
    /// Earlier leaders that don't know that they were replaced.
    pub deposed: Vec<SimLeader>,
    /// Whether the operators' topic can't be read.
    pub is_topic_unread: bool,
    /// Since when the store doesn't answer.
    pub store_down_since: Option<Duration>,
    /// What operators were told, in order.
    pub told: Vec<(WaveNumber, WaveStatus)>,
    /// The actions of the last round.
    pub last: UpkeepActions,
    /// Decides what happens to calls.
    pub fate: Box<dyn FnMut(&UpkeepCall) -> Fate>,
}

/// Returns a wave of machines.
pub fn wave(machines: &[&str], duration_s: u64, max_count: u32) -> WaveOrder {
    WaveOrder::Readable(WaveSpec {
        machines: machines.iter().map(|name| (*name).to_owned()).collect(),
        duration_ms: duration_s * 1000,
        max_count,
    })
}

/// Returns the work of a worker with one run that ends after a time, or not by itself.
pub fn busy_for(until_idle: Option<Duration>) -> WorkerLoad {
    WorkerLoad { runs: 1, until_idle, limited: BTreeMap::new() }
}

impl UpkeepRig {
    /// Creates a rig with machines that are up, and a leader whose term has just begun.
    pub fn new(machines: &[&str]) -> Self {
        let mut interface = Interface::default();
        for name in machines {
            interface.machines.insert((*name).to_owned(), SimMachine::default());
        }
        Self {
            now: Duration::ZERO,
            waves: BTreeMap::new(),
            kept: BTreeMap::new(),
            load: Load::default(),
            interface,
            leader: SimLeader::new(10, Duration::ZERO),
            deposed: Vec::new(),
            is_topic_unread: false,
            store_down_since: None,
            told: Vec::new(),
            last: UpkeepActions::default(),
            fate: Box::new(|_| Fate::Answered),
        }
    }

    /// Replaces the leader. The earlier one is cut off from the store and goes on for a while.
    pub fn change_leader(&mut self) {
        let new = SimLeader::new(self.leader.token + 1, self.now);
        let mut old = std::mem::replace(&mut self.leader, new);
        old.cut_off = Some((self.kept.clone(), self.now));
        self.deposed.push(old);
    }

    /// Advances the time by one tick and runs a round of each leader.
    pub fn step(&mut self) {
        self.now += TICK;
        self.interface.advance(self.now);
        let mut deposed = std::mem::take(&mut self.deposed);
        for leader in &mut deposed {
            self.run(leader);
        }
        self.deposed = deposed;
        let fresh = SimLeader::new(0, Duration::ZERO);
        let mut leader = std::mem::replace(&mut self.leader, fresh);
        self.run(&mut leader);
        self.leader = leader;
    }

    fn run(&mut self, leader: &mut SimLeader) {
        let (kept, silent_since) = match &leader.cut_off {
            Some((kept, since)) => (kept.clone(), Some(*since)),
            None => (self.kept.clone(), self.store_down_since),
        };
        if silent_since.is_none() {
            self.store(leader);
        }
        if !leader.records.is_empty() {
            return;
        }
        let now = self.now.saturating_sub(leader.started);
        let kept = if silent_since.is_none() { self.kept.clone() } else { kept };
        let actions = leader.upkeep.round(&UpkeepInputs {
            waves: (!self.is_topic_unread).then_some(&self.waves),
            kept: &kept,
            token: leader.token,
            newest_epoch: leader.token,
            store_age: Some(silent_since.map_or(Duration::ZERO, |since| self.now - since)),
            now,
            wall: 1_000_000 + self.now.as_millis() as u64,
            load: &self.load,
        });
        for call in &actions.calls {
            self.call(leader, call, now);
        }
        leader.reports.extend(actions.reports.iter().cloned());
        leader.records.extend(actions.records.iter().cloned());
        if silent_since.is_none() {
            self.store(leader);
        }
        self.last = actions;
    }

    fn store(&mut self, leader: &mut SimLeader) {
        for (wave, status) in leader.reports.drain(..) {
            self.told.push((wave, status.clone()));
            leader.upkeep.note_report(wave, status);
        }
        leader.records.drain(..).for_each(|record| self.keep(&record));
    }

    fn keep(&mut self, record: &KeyedRecord) {
        if record.value.is_empty() {
            let number = record.key.strip_prefix("upkeep/").expect("a key of a wave");
            self.kept.remove(&number.parse().expect("a number"));
            return;
        }
        let Ok(Record::Upkeep(progress)) = Record::decode(record) else {
            panic!("not the progress of a wave: {record:?}");
        };
        self.kept.insert(progress.wave, Rc::new(*progress));
    }

    fn call(&mut self, leader: &mut SimLeader, call: &UpkeepCall, now: Duration) {
        let fate = (self.fate)(call);
        self.interface.calls.push(self.now);
        match call {
            UpkeepCall::List => {
                self.interface.lists += 1;
                let list = match fate {
                    Fate::Answered => Ok(self.interface.list(self.now)),
                    Fate::Refused(error) => Err(error),
                    _ => Err(ControlError::NoAnswer),
                };
                leader.upkeep.note_list(now, now, list);
            }
            UpkeepCall::Begin(order) => {
                self.interface.sent.push((self.now, order.clone()));
                let answer = match fate {
                    Fate::Answered => self.interface.carry_out(order, self.now),
                    Fate::AnswerLost => {
                        let _ = self.interface.carry_out(order, self.now);
                        Err(ControlError::NoAnswer)
                    }
                    Fate::Lost => Err(ControlError::NoAnswer),
                    Fate::Late(delay) => {
                        self.interface.late.push((self.now + delay, order.clone()));
                        Err(ControlError::NoAnswer)
                    }
                    Fate::Refused(error) => Err(error),
                };
                leader.upkeep.note_answer(order.clone(), answer);
            }
        }
    }

    /// Advances the time.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the time until a wave has ended, and returns its status.
    ///
    /// # Panics
    ///
    /// Panics if the wave doesn't end within `limit`.
    pub fn finish(&mut self, number: WaveNumber, limit: Duration) -> WaveStatus {
        let end = self.now + limit;
        while self.now < end {
            self.step();
            let last = self.told.iter().rev().find(|(wave, _)| *wave == number);
            if let Some((_, status)) = last.filter(|(_, status)| *status != WaveStatus::Running) {
                return status.clone();
            }
        }
        panic!("the wave goes on: {:?}", self.kept.get(&number));
    }

    /// Returns whether a machine has begun its maintenance in a wave.
    pub fn has_begun(&self, machine: &str, wave: WaveNumber) -> bool {
        self.interface.machines.get(machine).is_some_and(|known| known.begun.contains(&wave))
    }

    /// Returns the turn of a machine, as the store keeps it.
    pub fn turn(&self, wave: WaveNumber, machine: &str) -> Option<Turn> {
        self.kept.get(&wave)?.turns.get(machine).cloned()
    }

    /// Puts work at the worker of a machine.
    pub fn put_load(&mut self, machine: &str, load: WorkerLoad) {
        self.load.workers.insert(format!("i-{machine}"), load);
    }

    /// Lists the waves' machines as they were sent, in order.
    pub fn sent_machines(&self) -> Vec<&str> {
        self.interface.sent.iter().map(|(_, order)| order.machine.as_str()).collect()
    }
}
