//! The implementation against the invariants of the specifications, over generated
//! sequences of steps.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bytes::Bytes;
use proptest::{prelude::*, test_runner::RngSeed};
use rampbay_core::{
    ids::{Incarnation, JobId, ProcessId},
    job::JobSpec,
    knobs::Knobs,
};
use rampbay_dispatch::{
    dispatcher::{Action as EntryAction, Dispatcher, Settings},
    message::{
        Accepted, Answer, AttemptId, AttemptResult, Cancel, CancelAck, Dispatch, Failure, Load,
        NotRun, Outcome, Reply,
    },
    register::{Action as SideAction, Register},
};
use rampbay_table::{
    record::{Edit, Record},
    state::{Applied, TableState},
};

/// Returns a configuration with the same cases in every run; `RAMPBAY_SEED` selects other cases, and
/// `RAMPBAY_CASES` multiplies their number.
fn config(cases: u32) -> ProptestConfig {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seed = number("RAMPBAY_SEED").unwrap_or(1);
    let factor = number("RAMPBAY_CASES").unwrap_or(1);
    ProptestConfig {
        cases: cases * u32::try_from(factor).unwrap_or(1),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

#[derive(Debug, Clone)]
enum Step {
    Submit { repeatable: bool, deadline_ms: u64 },
    Cancel(usize),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Finish(usize, u8),
    Restart(usize),
    Leave(usize),
    Report(usize),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (any::<bool>(), 10..20_000u64)
            .prop_map(|(repeatable, deadline_ms)| Step::Submit { repeatable, deadline_ms }),
        1 => any::<usize>().prop_map(Step::Cancel),
        12 => any::<usize>().prop_map(Step::Deliver),
        2 => any::<usize>().prop_map(Step::Duplicate),
        2 => any::<usize>().prop_map(Step::Drop),
        4 => (any::<usize>(), 0..4u8).prop_map(|(at, how)| Step::Finish(at, how)),
        1 => (0..SIDES).prop_map(Step::Restart),
        1 => (0..SIDES).prop_map(Step::Leave),
        4 => (0..SIDES).prop_map(Step::Report),
        3 => (1..3_000u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..200)
}

const SIDES: usize = 2;

#[derive(Debug, Clone)]
enum Message {
    Dispatch(usize, Dispatch),
    Cancel(usize, Cancel),
    Accepted(Accepted),
    Reply(Reply),
    Ack(CancelAck),
    Load(usize, Load),
}

struct Simulation {
    dispatcher: Dispatcher,
    registers: Vec<Register>,
    next_incarnation: Incarnation,
    network: Vec<Message>,
    running: Vec<(usize, AttemptId, JobId)>,
    starts: HashMap<JobId, u32>,
    specs: BTreeMap<JobId, JobSpec>,
    outcomes: HashMap<JobId, Outcome>,
    now: Duration,
}

fn side(at: usize) -> ProcessId {
    format!("side-{at}").into()
}

impl Simulation {
    fn new() -> Self {
        let mut dispatcher = Dispatcher::new(7, "a", Settings::default());
        let listed: Vec<_> = (0..SIDES).map(|at| (side(at), "a".to_owned(), false)).collect();
        dispatcher.listed(&listed, Duration::ZERO);
        let registers = (0..SIDES).map(|at| Register::new(100 + at as u64, 2, 1)).collect();
        let mut simulation = Self {
            dispatcher,
            registers,
            next_incarnation: 200,
            network: Vec::new(),
            running: Vec::new(),
            starts: HashMap::new(),
            specs: BTreeMap::new(),
            outcomes: HashMap::new(),
            now: Duration::from_secs(1),
        };
        for at in 0..SIDES {
            let load = simulation.registers[at].load();
            let actions = simulation.dispatcher.load(&side(at), load, simulation.now);
            simulation.entry(actions);
        }
        simulation
    }

    fn entry(&mut self, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::Dispatch(to, dispatch) => {
                    self.network.push(Message::Dispatch(index(&to), *dispatch));
                }
                EntryAction::Cancel(to, cancel) => {
                    self.network.push(Message::Cancel(index(&to), cancel));
                }
                EntryAction::Settle(job, outcome) => {
                    let earlier = self.outcomes.insert(job.clone(), outcome);
                    assert!(earlier.is_none(), "{job} was settled twice");
                }
                EntryAction::Ejected(..) => {}
            }
        }
    }

    fn side(&mut self, at: usize, actions: Vec<SideAction>) {
        for action in actions {
            match action {
                SideAction::Run(dispatch) => {
                    *self.starts.entry(dispatch.job.clone()).or_default() += 1;
                    self.running.push((at, dispatch.attempt, dispatch.job));
                }
                SideAction::Abort(attempt) => {
                    let found = self.running.iter().position(|r| r.0 == at && r.1 == attempt);
                    if let Some(found) = found {
                        self.finish(found, AttemptResult::Failed(Failure::Stopped));
                    }
                }
                SideAction::Accept(_, accepted) => self.network.push(Message::Accepted(accepted)),
                SideAction::Reply(_, reply) => self.network.push(Message::Reply(reply)),
                SideAction::CancelAck(_, ack) => self.network.push(Message::Ack(ack)),
            }
        }
    }

    fn finish(&mut self, found: usize, result: AttemptResult) {
        let (at, attempt, job) = self.running.remove(found);
        let actions = self.registers[at].done(attempt, job, result, self.now);
        self.side(at, actions);
    }

    fn deliver(&mut self, message: Message) {
        let (now, from) = (self.now, ProcessId::from("entry"));
        match message {
            Message::Dispatch(at, dispatch) => {
                let actions = self.registers[at].dispatch(from, dispatch, now);
                self.side(at, actions);
            }
            Message::Cancel(at, cancel) => {
                let actions = self.registers[at].cancel(from, &cancel, now);
                self.side(at, actions);
            }
            Message::Accepted(accepted) => self.dispatcher.accepted(&accepted),
            Message::Reply(reply) => {
                let actions = self.dispatcher.reply(reply, now);
                self.entry(actions);
            }
            Message::Ack(ack) => {
                let actions = self.dispatcher.cancel_ack(&ack, now);
                self.entry(actions);
            }
            Message::Load(at, load) => {
                let actions = self.dispatcher.load(&side(at), load, now);
                self.entry(actions);
            }
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Submit { repeatable, deadline_ms } => {
                let id = format!("job-{}", self.specs.len());
                let spec = JobSpec::new(id.as_str(), "w").repeatable(repeatable);
                let spec = spec.deadline(Duration::from_millis(deadline_ms));
                match self.dispatcher.submit(spec.clone(), Bytes::new(), self.now) {
                    Ok(actions) => {
                        self.specs.insert(spec.id.clone(), spec);
                        self.entry(actions);
                    }
                    Err(_) => assert!(!self.starts.contains_key(&spec.id)),
                }
            }
            Step::Cancel(at) if !self.specs.is_empty() => {
                let job = self.specs.keys().nth(at % self.specs.len()).cloned().expect("job");
                let actions = self.dispatcher.cancel(&job, self.now);
                self.entry(actions);
            }
            Step::Deliver(at) if !self.network.is_empty() => {
                let message = self.network.swap_remove(at % self.network.len());
                self.deliver(message);
            }
            Step::Duplicate(at) if !self.network.is_empty() => {
                let message = self.network[at % self.network.len()].clone();
                self.deliver(message);
            }
            Step::Drop(at) if !self.network.is_empty() => {
                self.network.swap_remove(at % self.network.len());
            }
            Step::Finish(at, how) if !self.running.is_empty() => {
                let answer = Answer { status: 200, body: Bytes::new() };
                let result = match how {
                    0 => AttemptResult::Failed(Failure::Cut),
                    1 => AttemptResult::Failed(Failure::ServerError),
                    _ => AttemptResult::Answered(answer),
                };
                self.finish(at % self.running.len(), result);
            }
            Step::Restart(at) => {
                self.next_incarnation += 1;
                self.registers[at] = Register::new(self.next_incarnation, 2, 1);
                self.running.retain(|running| running.0 != at);
            }
            Step::Leave(at) => {
                let actions = self.registers[at].leave();
                self.side(at, actions);
            }
            Step::Report(at) => {
                let load = self.registers[at].load();
                self.network.push(Message::Load(at, load));
            }
            Step::Wait(millis) => self.wait(millis),
            Step::Cancel(_)
            | Step::Deliver(_)
            | Step::Duplicate(_)
            | Step::Drop(_)
            | Step::Finish(..) => {}
        }
    }

    fn wait(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        for at in 0..SIDES {
            let actions = self.registers[at].tick(self.now);
            self.side(at, actions);
        }
        let actions = self.dispatcher.tick(self.now);
        self.entry(actions);
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (job, spec) in &self.specs {
            let starts = self.starts.get(job).copied().unwrap_or(0);
            if !spec.repeatable {
                prop_assert!(starts <= 1, "{} may run at most once, started {} times", job, starts);
            }
            if let Some(Outcome::NotRun(why)) = self.outcomes.get(job) {
                prop_assert_eq!(starts, 0, "{} was refused as {:?} but ran", job, why);
            }
        }
        Ok(())
    }
}

fn index(side: &str) -> usize {
    side.trim_start_matches("side-").parse().expect("a side's number")
}

proptest! {
    #![proptest_config(config(600))]

    #[test]
    fn request_path_any_faults_holds_its_invariants(steps in steps()) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.step(step);
            simulation.check()?;
        }
        // Every message that is still in the network is delivered, and then delivered once more.
        for message in simulation.network.clone().into_iter().chain(simulation.network.clone()) {
            simulation.deliver(message);
            simulation.check()?;
        }
    }

    #[test]
    fn request_path_when_faults_end_every_request_is_settled(steps in steps()) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.step(step);
        }
        for _ in 0..200 {
            for message in std::mem::take(&mut simulation.network) {
                simulation.deliver(message);
            }
            while !simulation.running.is_empty() {
                let answer = Answer { status: 200, body: Bytes::new() };
                simulation.finish(0, AttemptResult::Answered(answer));
            }
            simulation.wait(200);
        }
        prop_assert!(simulation.dispatcher.is_idle());
        prop_assert_eq!(simulation.outcomes.len(), simulation.specs.len());
        simulation.check()?;
    }
}

/// Generates steps as (kind, reader, row): edits based on what one of two readers shows, duplicated
/// and torn records, snapshots, and readers that take the other's snapshot.
fn log_steps() -> impl Strategy<Value = Vec<(u8, u8, u8)>> {
    prop::collection::vec((0..6u8, 0..2u8, 0..3u8), 1..60)
}

proptest! {
    #![proptest_config(config(300))]

    #[test]
    fn table_any_log_readers_agree_and_versions_never_decrease(steps in log_steps()) {
        let mut log: Vec<Vec<u8>> = Vec::new();
        let mut readers = [TableState::default(), TableState::default()];
        let mut served = [0; 2];
        let mut ids = 0;
        let row = |n: u8| format!("w{n}");
        for (what, reader, name) in steps {
            let at = usize::from(reader);
            let base = readers[at].row_version(&row(name));
            match what {
                0 | 1 => {
                    ids += 1;
                    let edit = Edit::new(format!("e{ids}"), "x");
                    let knobs = Knobs::default().weight(ids);
                    let edit = if what == 0 || base == 0 {
                        edit.set(row(name), base, knobs)
                    } else {
                        edit.remove(row(name), base)
                    };
                    log.push(Record::Edit(edit).encode());
                }
                2 if !log.is_empty() => log.push(log[usize::from(name) % log.len()].clone()),
                3 => log.push(b"{\"v\":1,\"kind\":\"edit\",\"torn".to_vec()),
                4 => log.push(Record::Snapshot(readers[at].snapshot()).encode()),
                _ => {
                    let snapshot = readers[1 - at].snapshot();
                    readers[at].install_snapshot(&snapshot);
                }
            }
            if what != 5 {
                let next = readers[at].next_offset();
                if let Some(record) = log.get(usize::try_from(next).expect("offset")) {
                    let applied = readers[at].apply(next, record);
                    prop_assert!(!matches!(applied, Applied::Old | Applied::AwaitingSnapshot));
                }
            }
            prop_assert!(readers[at].version() >= served[at]);
            served[at] = readers[at].version();
        }
        for reader in &mut readers {
            while let Some(record) = log.get(usize::try_from(reader.next_offset()).expect("offset")) {
                reader.apply(reader.next_offset(), record);
            }
        }
        prop_assert_eq!(readers[0].version(), readers[1].version());
        prop_assert_eq!(readers[0].rows(), readers[1].rows());
        // A reader that starts after retention reaches the same table from a snapshot.
        let snapshot = readers[0].snapshot();
        let mut late = TableState::default();
        prop_assert!(late.install_snapshot(&snapshot) || snapshot.version == 0);
        prop_assert_eq!(late.rows(), readers[1].rows());
    }

    #[test]
    fn decode_any_bytes_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Record::decode(&bytes);
    }
}

#[test]
fn not_run_from_other_incarnation_proves_nothing() {
    // A refusal by another incarnation doesn't show whether the one that the attempt was meant for
    // has started it.
    let mut dispatcher = Dispatcher::new(7, "a", Settings::default());
    dispatcher.listed(&[(side(0), "a".to_owned(), false)], Duration::ZERO);
    let load = Register::new(100, 2, 1).load();
    dispatcher.load(&side(0), load, Duration::ZERO);
    let spec = JobSpec::new("sweep", "w").repeatable(false);
    let actions = dispatcher.submit(spec, Bytes::new(), Duration::ZERO).expect("taken");
    let EntryAction::Dispatch(_, dispatch) = &actions[0] else { panic!("{actions:?}") };
    let reply = Reply {
        job: dispatch.job.clone(),
        attempt: dispatch.attempt,
        from: 101,
        result: AttemptResult::NotRun(NotRun::OtherIncarnation),
    };
    let actions = dispatcher.reply(reply, Duration::from_millis(1));
    assert!(matches!(&actions[..], [EntryAction::Settle(_, Outcome::Unknown(_))]), "{actions:?}");
}
