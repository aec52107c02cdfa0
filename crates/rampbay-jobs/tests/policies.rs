//! The choice of the placement policy, and what a policy is told of each round.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::job::{Step, Submission};
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::planner::policy::by_lost_work::ByLostWork;
use rampbay_jobs::planner::policy::{
    Candidate, DepartureCosts, FleetState, Need, ObservedProgress, PlacementPolicy, RackRank,
    RoundStart, RunChange, RunningTask, StepOrder, StepQuestion, StopCost, StopReason, WaitingStep,
    WorkerIndex, WorkerRank,
};
use rampbay_jobs::planner::{Planner, RoundInputs};
use rampbay_jobs::record::EndReason;
use rampbay_jobs::settings::Settings;
use rstest::rstest;
use serde_json::{Value, json};
use support::planner::PlannerRig;
use support::{job, run_in_virtual_time, settings, step, task};

const BACKGROUND: &str = "00000000000000aa";
const URGENT: &str = "00000000000000bb";

/// Reads settings in which some fields are changed.
fn read(change: &Value) -> Result<Settings, String> {
    let mut text = json!({
        "node": "side-1", "ip": "127.0.0.1", "failure_domain": "domain-1",
        "peer_port": 7000, "metrics_port": 7001, "store": "127.0.0.1:1",
        "lease_ms": 6000, "stop_ms": 400, "revocation_ms": 5000, "visible_ms": 3000,
        "grace_s": 6.0, "remote_penalty": 3, "leader_ttl_ms": 1000
    });
    for (key, value) in change.as_object().expect("an object") {
        text[key] = value.clone();
    }
    let settings: Settings = serde_json::from_value(text).map_err(|error| error.to_string())?;
    settings.check().map_err(|error| error.to_string())
}

/// The planner places work by the policy that is set. With `auto`, the limit itself still means the rules that assume
/// it; a wrong comparison or a wrong unit would choose the other policy for a whole deployment.
#[rstest]
#[case::default(json!({}), "by_lost_work")]
#[case::lost_work_set(json!({"placement": "by_lost_work", "restore_ms": 5000}), "by_lost_work")]
#[case::completion_set(json!({"placement": "by_completion"}), "by_completion")]
#[case::auto_at_limit(json!({"checkpoint_s": 1.1, "restore_ms": 250}), "by_lost_work")]
#[case::auto_above_limit(json!({"checkpoint_s": 1.1, "restore_ms": 251}), "by_completion")]
#[case::auto_far_checkpoints(json!({"placement": "auto", "checkpoint_s": 2, "restore_ms": 100}), "by_completion")]
#[case::auto_long_restarts(json!({"checkpoint_s": 0.5, "restore_ms": 600}), "by_completion")]
#[case::auto_free_restarts(json!({"checkpoint_s": 0, "restore_ms": 0}), "by_lost_work")]
fn policy_of_settings(#[case] change: Value, #[case] expected: &str) {
    let settings = read(&change).expect("valid settings");
    assert_eq!(Planner::new(settings.planner()).policy_name(), expected);
}

/// A value that would mislead a policy ends the process at its start, and the message names the field.
#[rstest]
#[case::interval_negative(json!({"checkpoint_s": -0.5}), "checkpoint_s is -0.5")]
#[case::interval_too_long(json!({"checkpoint_s": 3601}), "checkpoint_s is 3601")]
#[case::restart_negative(json!({"restore_ms": -1}), "restore_ms is -1")]
#[case::restart_too_long(json!({"restore_ms": 3_600_001}), "restore_ms is 3600001")]
#[case::policy_unknown(json!({"placement": "by_luck"}), "placement is \"by_luck\"")]
fn settings_out_of_range_rejected(#[case] change: Value, #[case] message: &str) {
    let error = read(&change).expect_err("an error");
    assert!(error.contains(message), "{error}");
}

/// The ends of the ranges are valid.
#[rstest]
#[case(json!({"checkpoint_s": 0, "restore_ms": 0}), 0, 0)]
#[case(json!({"checkpoint_s": 3600, "restore_ms": 3_600_000}), 3_600_000, 3_600_000)]
#[case(json!({"checkpoint_s": 0.5, "restore_ms": 600}), 500, 600)]
fn settings_passed_to_planner(
    #[case] change: Value,
    #[case] checkpoint_ms: u64,
    #[case] restore_ms: u64,
) {
    let planner = read(&change).expect("valid settings").planner();
    assert_eq!(planner.checkpoint_interval, Duration::from_millis(checkpoint_ms));
    assert_eq!(planner.restore_time, Duration::from_millis(restore_ms));
    assert_eq!(planner.stop_time, Duration::from_millis(400));
}

/// What a policy was told, one entry for each change of a run and for each step or run that a round began with.
type Told = Rc<RefCell<Vec<String>>>;

/// The rules of `by_lost_work`, which record what they are told.
#[derive(Debug)]
struct Recording {
    rules: ByLostWork,
    told: Told,
}

impl PlacementPolicy for Recording {
    fn name(&self) -> &'static str {
        "recording"
    }

    fn begin_round(&mut self, start: &RoundStart<'_>) {
        let mut told = self.told.borrow_mut();
        told.extend(start.events.iter().map(|event| match &event.change {
            RunChange::Started { instance } => format!("{} started {instance}", event.task),
            RunChange::Stopped(StopReason::Preempted { for_job }) => {
                format!("{} preempted for {for_job}", event.task)
            }
            RunChange::Stopped(reason) => format!("{} stopped {reason:?}", event.task),
            RunChange::Ended(reason) => format!("{} ended {reason:?}", event.task),
        }));
        told.extend(start.waiting.iter().map(|step| format!("{} waits", step.job)));
        told.extend(start.running().map(|run| format!("{} at {}", run.task(), run.plan.instance)));
    }

    fn step_order(&self, waiting: &WaitingStep, inputs: &RoundInputs<'_>) -> StepOrder {
        self.rules.step_order(waiting, inputs)
    }

    fn choose_reserve(&mut self, fleet: &FleetState, inputs: &RoundInputs<'_>) -> Vec<WorkerIndex> {
        self.rules.choose_reserve(fleet, inputs)
    }

    fn may_use_reserve(&self, question: &StepQuestion<'_>) -> bool {
        self.rules.may_use_reserve(question)
    }

    fn worker_rank(&self, need: &Need<'_>, candidate: &Candidate<'_>) -> WorkerRank {
        self.rules.worker_rank(need, candidate)
    }

    fn rack_rank(
        &self,
        need: &Need<'_>,
        fleet: &FleetState,
        rack: usize,
        places: &[WorkerIndex],
    ) -> RackRank {
        self.rules.rack_rank(need, fleet, rack, places)
    }

    fn waits_for_rack(&self, question: &StepQuestion<'_>, need: &Need<'_>) -> bool {
        self.rules.waits_for_rack(question, need)
    }

    /// Protects every run from all but work for which anything may be stopped.
    fn stop_cost(
        &self,
        run: &RunningTask,
        seen: Option<&ObservedProgress>,
        inputs: &RoundInputs<'_>,
    ) -> StopCost {
        StopCost { cost: u64::MAX, ..self.rules.stop_cost(run, seen, inputs) }
    }

    fn max_stop_cost(&self, waiting: &WaitingStep, count: usize, inputs: &RoundInputs<'_>) -> u64 {
        self.rules.max_stop_cost(waiting, count, inputs)
    }

    fn stall_limit(&self, step: &Step, seen: &ObservedProgress) -> Duration {
        self.rules.stall_limit(step, seen)
    }

    fn departure_costs(&self) -> DepartureCosts {
        self.rules.departure_costs()
    }

    fn avoid_time(&self) -> Duration {
        self.rules.avoid_time()
    }
}

fn recording_rig(workers: usize) -> (PlannerRig, Told) {
    let told = Told::default();
    let settings = settings().planner();
    let policy = Recording { rules: ByLostWork::new(&settings), told: Rc::clone(&told) };
    let mut rig = PlannerRig::of_workers(workers);
    rig.planner = Planner::with_policy(settings, Box::new(policy));
    (rig, told)
}

/// Runs one round, applies its records, and returns what the policy was told in it.
fn round(rig: &mut PlannerRig, told: &Told) -> Vec<String> {
    told.borrow_mut().clear();
    let records = rig.round();
    records.iter().for_each(|record| rig.table.apply(record));
    told.borrow().clone()
}

/// A policy is told of each start, stop and end of a run once, with the reason, so that it can count preemptions; a
/// change that it misses or is told of twice makes it preempt a task too often or too rarely.
#[test]
fn policy_told_of_changes_once() {
    run_in_virtual_time(async {
        let (mut rig, told) = recording_rig(1);
        rig.guarantee(8);
        rig.submit(job(BACKGROUND, 2, step(1, 8)));
        assert_eq!(round(&mut rig, &told), [format!("{BACKGROUND} waits")]);
        let run = format!("{BACKGROUND}.0.0.0");
        let running = format!("{run} at i-0");
        assert_eq!(round(&mut rig, &told), [format!("{run} started i-0"), running.clone()]);
        assert_eq!(round(&mut rig, &told), vec![running.clone()]);
        rig.submit(job(URGENT, 0, step(1, 8)));
        let waits = format!("{URGENT} waits");
        assert_eq!(round(&mut rig, &told), [waits.clone(), running.clone()]);
        let preempted = format!("{run} preempted for {URGENT}");
        assert_eq!(round(&mut rig, &told), [preempted, waits.clone(), running]);
        rig.end(&task(BACKGROUND, 0), EndReason::Stopped);
        let ended = format!("{run} ended Stopped");
        let mut seen = round(&mut rig, &told);
        seen.sort();
        let mut expected = [ended, waits, format!("{BACKGROUND} waits")];
        expected.sort();
        assert_eq!(seen, expected);
    });
}

/// A policy is told why the other members of a broken gang are stopped, so that it doesn't count them as preempted.
#[test]
fn policy_told_of_stops_that_are_no_preemption() {
    run_in_virtual_time(async {
        let (mut rig, told) = recording_rig(2);
        rig.submit(job(BACKGROUND, 2, Step { gang: true, ..step(2, 8) }));
        rig.plan();
        rig.end(&task(BACKGROUND, 0), EndReason::Failed);
        let seen = round(&mut rig, &told);
        assert!(seen.contains(&format!("{BACKGROUND}.0.0.0 ended Failed")), "{seen:?}");
        assert!(seen.contains(&format!("{BACKGROUND}.0.0.1 stopped NotNeeded")), "{seen:?}");
    });
}

/// The cost that a policy charges holds, also where costs add up beyond the largest number: protected runs are stopped
/// only for work for which anything may be stopped.
#[rstest]
#[case::guaranteed(16, TaskStatus::Stopping)]
#[case::not_guaranteed(0, TaskStatus::Running)]
fn protected_run_stopped_only_for_guaranteed_work(
    #[case] guaranteed: u64,
    #[case] expected: TaskStatus,
) {
    run_in_virtual_time(async move {
        let (mut rig, _) = recording_rig(2);
        rig.guarantee(guaranteed);
        rig.submit(job(BACKGROUND, 2, Step { gang: true, ..step(2, 8) }));
        rig.plan();
        let gang = Step { gang: true, ..step(2, 8) };
        rig.submit(Submission { submitted_at: rig.wall, ..job(URGENT, 0, gang) });
        rig.plan();
        assert_eq!(rig.statuses(BACKGROUND), [expected; 2]);
    });
}

/// Ranks are compared in the order of their fields, so a policy's preference for fast machines never outweighs that a
/// worker failed recently, and the amount that is free decides only among equals.
#[test]
fn ranks_compared_in_order_of_fields() {
    let worst = WorkerRank { slowness: 9, stop_cost: 9, free_devices: 9, ..WorkerRank::default() };
    assert!(worst < WorkerRank { avoided: true, ..WorkerRank::default() });
    assert!(WorkerRank { free_devices: 9, ..worst } < WorkerRank { slowness: 10, ..worst });
}
