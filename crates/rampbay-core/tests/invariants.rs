//! Properties of the planner over random sequences of events.

use std::{collections::BTreeMap, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use rampbay_core::{
    ids::{FencingToken, JobId},
    job::{Class, GangSpec, JobSpec},
    knobs::Knobs,
    lease::LeaseMeta,
    plan::{Command, Planner, YieldKind},
    topology::{Placement, WorkerSpec, placement_devices},
};

/// Runs the same cases each time; `RAMPBAY_SEED` draws other cases, `RAMPBAY_CASES` multiplies
/// their number.
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
enum Event {
    Submit {
        workspace: usize,
        size: usize,
        class: usize,
        repeatable: bool,
        checkpoint: bool,
        elastic: bool,
    },
    Finish(usize),
    Refuse(usize),
    Lose(usize),
    Back(usize),
    Edit {
        workspace: usize,
        shape: usize,
    },
    Wait(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        6 => (0..4usize, 0..6usize, 0..3usize, any::<bool>(), any::<bool>(), any::<bool>()).prop_map(
            |(workspace, size, class, repeatable, checkpoint, elastic)| Event::Submit {
                workspace, size, class, repeatable, checkpoint, elastic
            }
        ),
        4 => any::<usize>().prop_map(Event::Finish),
        1 => any::<usize>().prop_map(Event::Refuse),
        1 => (0..10usize).prop_map(Event::Lose),
        1 => (0..10usize).prop_map(Event::Back),
        1 => (0..4usize, 0..4usize).prop_map(|(workspace, shape)| Event::Edit { workspace, shape }),
        2 => (1..100_000u64).prop_map(Event::Wait),
    ];
    prop::collection::vec(event, 1..120)
}

const NAMES: [&str; 4] = ["large", "middle", "steady", "small"];
const SIZES: [u32; 6] = [1, 2, 4, 8, 16, 24];
const SHAPES: [[&str; 4]; 4] = [
    ["1 rack", "1 rack", "2 worker", "1 worker"],
    ["2 worker", "2 worker", "1 worker", "3 worker"],
    ["1 worker", "0 device", "1 worker", "1 quad"],
    ["1 quad", "1 quad + 1 pair", "1 quad", "0 device"],
];

fn worker(at: usize) -> WorkerSpec {
    let domains = ["a", "b", "c"];
    let rack = at / 3;
    WorkerSpec::new(&format!("w{at}"), &format!("r{rack}"), domains[rack % 3], "region", 8)
}

fn knobs(workspace: usize, shape: usize) -> Knobs {
    Knobs::default().guarantee(SHAPES[workspace][shape].parse().expect("shape"))
}

/// Applies events to a planner and carries out its commands in place of the workers.
struct Driver {
    planner: Planner,
    now: Duration,
    jobs: Vec<JobId>,
    gangs: BTreeMap<JobId, (LeaseMeta, Placement)>,
    lost: Vec<usize>,
    log: Vec<String>,
    submitted: usize,
}

impl Driver {
    fn new() -> Self {
        let mut planner = Planner::new(3);
        for at in 0..10 {
            planner.add_worker(worker(at));
        }
        for (at, name) in NAMES.iter().enumerate() {
            planner.set_workspace(*name, knobs(at, 0));
        }
        Self {
            planner,
            now: Duration::from_secs(1_000),
            jobs: Vec::new(),
            gangs: BTreeMap::new(),
            lost: Vec::new(),
            log: Vec::new(),
            submitted: 0,
        }
    }

    fn apply(&mut self, event: &Event) {
        self.now += Duration::from_millis(10);
        match *event {
            Event::Submit { workspace, size, class, repeatable, checkpoint, elastic } => {
                let class = [Class::Urgent, Class::Normal, Class::Batch][class];
                let devices = SIZES[size];
                let mut gang = GangSpec::new(devices).checkpointable(checkpoint);
                if elastic && devices > 1 {
                    gang = gang.min_devices(devices / 2);
                }
                let id: JobId = format!("j{}", self.submitted).into();
                self.submitted += 1;
                let spec = JobSpec::new(id.clone(), NAMES[workspace]).class(class);
                let spec = spec.repeatable(repeatable).gang(gang);
                if self.planner.submit(spec, self.now).is_ok() {
                    self.jobs.push(id);
                }
            }
            Event::Finish(at) if !self.jobs.is_empty() => {
                let job = self.jobs.remove(at % self.jobs.len());
                self.gangs.remove(&job);
                self.planner.finished(&job, self.now);
            }
            Event::Refuse(at) if !self.gangs.is_empty() => {
                let job = self.gangs.keys().nth(at % self.gangs.len()).cloned().expect("gang");
                self.gangs.remove(&job);
                self.planner.lost(&job, self.now);
            }
            Event::Finish(_) | Event::Refuse(_) => {}
            Event::Lose(at) => {
                self.lost.push(at);
                for job in self.planner.remove_worker(&format!("w{at}")) {
                    self.gangs.remove(&job);
                    self.planner.lost(&job, self.now);
                }
            }
            Event::Back(at) => {
                self.lost.retain(|lost| *lost != at);
                self.planner.add_worker(worker(at));
            }
            Event::Edit { workspace, shape } => {
                self.planner.set_workspace(NAMES[workspace], knobs(workspace, shape));
            }
            Event::Wait(millis) => self.now += Duration::from_millis(millis),
        }
        self.tick_until_idle();
    }

    /// Ticks until the planner returns no more commands; carries out every command at once.
    fn tick_until_idle(&mut self) {
        for _ in 0..40 {
            let commands = self.planner.tick(self.now);
            if commands.is_empty() {
                break;
            }
            for command in commands {
                self.log.push(format!("{command:?}"));
                self.carry_out(command);
            }
            assert_eq!(self.planner.doubly_held(), 0, "a device has two gangs");
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Start { job, meta, placement } => {
                let devices = placement_devices(&placement);
                assert_eq!(devices, meta.gang_devices, "a gang starts whole");
                assert!(devices >= meta.min_devices);
                self.planner.started(&job, self.now);
                self.gangs.insert(job, (meta, placement));
            }
            Command::Yield { token, job, how, .. } => {
                let meta = &self.gangs[&job].0;
                assert!(meta.reclaimable, "work that can't be stopped is never asked to yield");
                self.yielded(token, &job, how);
            }
            Command::Expire { job } => self.jobs.retain(|known| *known != job),
        }
    }

    fn yielded(&mut self, token: FencingToken, job: &JobId, how: YieldKind) {
        match how {
            YieldKind::Shrink { keep } => {
                let (meta, placement) = self.gangs.get_mut(job).expect("gang runs");
                assert!(placement_devices(&keep) >= meta.min_devices, "never below its minimum");
                placement.clone_from(&keep);
                self.planner.shrunk(token, &keep, self.now);
            }
            YieldKind::Checkpoint | YieldKind::Stop => {
                self.gangs.remove(job);
                self.planner.stopped(token, self.now);
            }
        }
    }

    fn held(&self) -> u32 {
        self.gangs.values().map(|(_, placement)| placement_devices(placement)).sum()
    }
}

proptest! {
    #![proptest_config(config(300))]

    #[test]
    fn tick_any_events_device_counts_stay_correct(events in events()) {
        let mut driver = Driver::new();
        for event in &events {
            driver.apply(event);
            let lost: u32 = if driver.lost.is_empty() { 0 } else { 80 };
            let used = driver.planner.present_devices() - driver.planner.free_devices();
            if lost == 0 {
                prop_assert_eq!(used, driver.held(), "devices are counted once each");
            }
        }
    }

    #[test]
    fn tick_without_losses_guarantees_stay_reclaimable(events in events()) {
        let mut driver = Driver::new();
        let allowed = |event: &&Event| !matches!(event, Event::Lose(_) | Event::Edit { .. });
        for event in events.iter().filter(allowed) {
            driver.apply(event);
            prop_assert!(
                driver.planner.missing_cells().is_empty(),
                "short of {}",
                driver.planner.missing_cells()
            );
        }
    }

    #[test]
    fn tick_owned_job_starts_at_once_whatever_runs(events in events(), workspace in 0..4usize) {
        let mut driver = Driver::new();
        let allowed = |event: &&Event| !matches!(event, Event::Lose(_) | Event::Edit { .. });
        for event in events.iter().filter(allowed) {
            driver.apply(event);
        }
        // A job for the largest unused cell of the guarantee starts before the planner is idle.
        let views = driver.planner.workspaces();
        let view = views.iter().find(|view| &*view.workspace == NAMES[workspace]).expect("row");
        let largest = [24, 8, 4, 2, 1]
            .into_iter()
            .find(|size| view.unused.holds(&rampbay_core::shape::Shape::tightest(*size)));
        if let Some(devices) = largest {
            let spec = JobSpec::new("owner", NAMES[workspace]).class(Class::Urgent);
            driver
                .planner
                .submit(spec.gang(GangSpec::new(devices)), driver.now)
                .expect("job accepted");
            driver.tick_until_idle();
            let runs = driver.gangs.contains_key("owner");
            let why = driver.planner.explain("owner", driver.now);
            prop_assert!(runs, "{devices} devices of {}: {why:?}", view.unused);
        }
    }

    #[test]
    fn tick_same_events_same_decisions(events in events()) {
        let run = || {
            let mut driver = Driver::new();
            for event in &events {
                driver.apply(event);
            }
            driver.log
        };
        prop_assert_eq!(run(), run());
    }
}

#[test]
fn start_refused_job_is_tried_again_after_its_pause_not_at_the_next_scan() {
    let mut planner = Planner::new(5);
    planner.add_worker(worker(0));
    planner.set_workspace("large", Knobs::default());
    let start = Duration::from_secs(10);
    let spec = JobSpec::new("job", "large").gang(GangSpec::new(8));
    planner.submit(spec, start).expect("job accepted");
    assert_eq!(planner.tick(start).len(), 1);
    planner.start_refused("job", start);
    assert!(planner.tick(start).is_empty(), "a pause comes first");
    // The first pause is at most 40 ms; scans without a change are one second apart.
    assert_eq!(planner.tick(start + Duration::from_millis(41)).len(), 1);
}

#[test]
fn stopped_for_another_planner_devices_are_left_to_it_for_a_moment() {
    let mut planner = Planner::new(5);
    planner.add_worker(worker(0));
    planner.set_workspace("large", Knobs::default());
    let start = Duration::from_secs(10);
    let spec = JobSpec::new("job", "large").gang(GangSpec::new(8));
    planner.submit(spec, start).expect("job accepted");
    let Some(Command::Start { meta, .. }) = planner.tick(start).pop() else { panic!("no start") };
    planner.started("job", start);
    planner.stopped(meta.token, start * 2);
    assert!(planner.tick(start * 2).is_empty(), "the other planner's job goes first");
    let commands = planner.tick(start * 2 + Duration::from_millis(1_001));
    assert!(
        matches!(&commands[..], [Command::Start { .. }]),
        "the job starts again on the unused devices: {commands:?}"
    );
}
