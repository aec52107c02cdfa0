//! Rules of waves of machine maintenance.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use rampbay_jobs::upkeep::budget::StepBudget;
use rampbay_jobs::upkeep::control::ControlError;
use rampbay_jobs::upkeep::decision::{TAKEOVER_PAUSE, UpkeepCall};
use rampbay_jobs::upkeep::load::WorkerLoad;
use rampbay_jobs::upkeep::record::Turn;
use rampbay_jobs::upkeep::wave::{WaveOrder, WaveStatus};
use rstest::rstest;

use support::upkeep::{Fate, MAINTENANCE, UpkeepRig, busy_for, wave};

const MINUTE: Duration = Duration::from_secs(60);
const NAMES: [&str; 4] = ["m0", "m1", "m2", "m3"];

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn rig_with_wave(order: WaveOrder) -> UpkeepRig {
    let mut rig = UpkeepRig::new(&NAMES);
    rig.waves.insert(1, order);
    rig
}

/// Guards against more machines down at once than allowed, and against a wave that does not use what is allowed.
#[rstest]
#[case::one_at_a_time(1)]
#[case::two_at_a_time(2)]
#[case::more_than_machines(9)]
fn machines_served_up_to_max_count(#[case] max_count: u32) {
    let mut rig = rig_with_wave(wave(&NAMES, 60, max_count));
    let mut most = 0;
    while rig.now < MINUTE {
        rig.step();
        most = most.max(rig.interface.down(1));
    }
    assert_eq!(most, NAMES.len().min(max_count as usize));
    assert!(NAMES.iter().all(|name| rig.has_begun(name, 1)));
    assert_eq!(rig.told, [(1, WaveStatus::Running), (1, WaveStatus::Succeeded)]);
}

/// Guards against work on a wave of which nothing can be done, and against one that is never answered.
#[rstest]
#[case::no_machines(wave(&[], 60, 1), "no machines")]
#[case::count_zero(wave(&NAMES, 60, 0), "max_count is 0")]
#[case::unreadable(WaveOrder::Unreadable("no duration_s".to_owned()), "no duration_s")]
#[case::all_unknown(wave(&["x", "y"], 60, 1), "none of the machines is known")]
fn impossible_wave_failed(#[case] order: WaveOrder, #[case] reason: &str) {
    let mut rig = rig_with_wave(order);
    rig.advance(MINUTE);
    assert_eq!(rig.told, [(1, WaveStatus::Failed(reason.to_owned()))]);
    assert!(rig.interface.sent.is_empty());
}

/// Guards against an impossible wave that holds up another one.
#[test]
fn impossible_wave_costs_only_itself() {
    let mut rig = rig_with_wave(wave(&NAMES, 60, 1));
    rig.waves.insert(2, WaveOrder::Unreadable("not JSON".to_owned()));
    assert_eq!(rig.finish(1, MINUTE), WaveStatus::Succeeded);
    assert!(rig.told.contains(&(2, WaveStatus::Failed("not JSON".to_owned()))));
}

/// Guards against an order that the next leader doesn't know of.
#[test]
fn order_kept_before_sent() {
    let mut rig = rig_with_wave(wave(&NAMES, 60, 4));
    while rig.now < MINUTE {
        let kept = rig.kept.clone();
        rig.step();
        for call in &rig.last.calls {
            let UpkeepCall::Begin(order) = call else { continue };
            let turn = kept[&1].turns.get(&order.machine);
            assert_eq!(turn, Some(&Turn::Ordered(order.token)), "{order:?}");
        }
    }
    assert_eq!(rig.interface.sent.len(), 4);
}

/// Guards against calls beside those of an earlier leader.
#[test]
fn first_call_after_takeover_pause() {
    let mut rig = rig_with_wave(wave(&NAMES, 60, 1));
    rig.advance(MINUTE);
    assert!(rig.interface.calls[0] >= TAKEOVER_PAUSE);
    assert!(rig.interface.calls[0] <= TAKEOVER_PAUSE + seconds(1));
}

/// Guards against paid calls while there is nothing to do.
#[test]
fn no_call_without_open_wave() {
    let mut rig = UpkeepRig::new(&NAMES);
    rig.advance(MINUTE);
    assert_eq!(rig.interface.calls.len(), 0);
    rig.waves.insert(1, wave(&["m0"], 60, 1));
    rig.finish(1, MINUTE);
    rig.advance(seconds(10));
    let calls = rig.interface.calls.len();
    rig.advance(MINUTE * 10);
    assert_eq!(rig.interface.calls.len(), calls);
    assert!(calls <= 6, "{calls} calls for one machine");
}

/// Guards against success that is reported while a machine still waits.
#[test]
fn success_reported_after_last_machine_began() {
    let mut rig = rig_with_wave(wave(&NAMES, 60, 1));
    while !rig.told.contains(&(1, WaveStatus::Succeeded)) {
        rig.step();
    }
    assert!(NAMES.iter().all(|name| rig.has_begun(name, 1)));
}

/// Guards against a new leader that tells again what operators know.
#[test]
fn status_not_repeated_by_next_leader() {
    let mut rig = rig_with_wave(wave(&["m0"], 60, 1));
    rig.finish(1, MINUTE);
    rig.advance(seconds(5));
    let (told, calls) = (rig.told.len(), rig.interface.calls.len());
    rig.change_leader();
    rig.advance(MINUTE);
    assert_eq!((rig.told.len(), rig.interface.calls.len()), (told, calls));
}

/// Guards against a machine that gets one maintenance for two waves, or both at a time.
#[test]
fn machine_in_two_waves_served_in_turn() {
    let mut rig = rig_with_wave(wave(&NAMES, 60, 4));
    rig.waves.insert(2, wave(&NAMES[2..], 60, 2));
    assert_eq!(rig.finish(1, MINUTE), WaveStatus::Succeeded);
    assert_eq!(rig.finish(2, MINUTE), WaveStatus::Succeeded);
    assert!(rig.has_begun("m3", 1) && rig.has_begun("m3", 2));
    assert_eq!(rig.interface.sent.len(), 6, "no order was refused as busy");
}

/// Guards against a newer record that is ignored, and against a second maintenance of machines that had theirs.
#[test]
fn newer_record_replaces_wave() {
    let mut rig = rig_with_wave(wave(&["m0", "m1"], 60, 1));
    assert_eq!(rig.finish(1, MINUTE), WaveStatus::Succeeded);
    rig.waves.insert(1, wave(&["m1", "m2"], 60, 1));
    rig.advance(MINUTE);
    assert_eq!(rig.sent_machines(), ["m0", "m1", "m2"]);
    let told: Vec<&WaveStatus> = rig.told.iter().map(|(_, status)| status).collect();
    let (running, succeeded) = (&WaveStatus::Running, &WaveStatus::Succeeded);
    assert_eq!(told, [running, succeeded, running, succeeded]);
}

/// Guards against more machines down than allowed when the newer record names others while some are down.
#[test]
fn machine_of_replaced_record_counts_while_down() {
    let mut rig = rig_with_wave(wave(&["m0"], 60, 1));
    while rig.interface.down(1) == 0 {
        rig.step();
    }
    rig.waves.insert(1, wave(&["m1"], 60, 1));
    while rig.now < MINUTE {
        rig.step();
        assert!(rig.interface.down(1) <= 1);
    }
    assert!(rig.has_begun("m1", 1));
}

/// Guards against an unchanged record that starts its wave again.
#[test]
fn repeated_record_changes_nothing() {
    let mut rig = rig_with_wave(wave(&["m0"], 60, 1));
    rig.finish(1, MINUTE);
    rig.advance(seconds(5));
    let kept = rig.kept.clone();
    rig.waves.insert(1, wave(&["m0"], 60, 1));
    rig.advance(MINUTE);
    assert_eq!(rig.kept, kept);
    assert_eq!(rig.interface.sent.len(), 1);
}

/// Guards against orders for a wave that operators have withdrawn, and against its record that stays for good.
#[test]
fn withdrawn_wave_forgotten() {
    let mut rig = rig_with_wave(wave(&NAMES, 60, 1));
    while rig.interface.sent.is_empty() {
        rig.step();
    }
    rig.waves.clear();
    rig.advance(MINUTE);
    assert_eq!(rig.interface.sent.len(), 1);
    assert!(rig.kept.is_empty());
}

/// Guards against a wave that waits for a machine that is gone.
#[test]
fn vanished_machine_leaves_wave() {
    let mut rig = rig_with_wave(wave(&["m0", "x", "m1"], 60, 1));
    while rig.interface.sent.is_empty() {
        rig.step();
    }
    rig.interface.machines.remove("m1");
    assert_eq!(rig.finish(1, MINUTE), WaveStatus::Succeeded);
    assert_eq!(rig.sent_machines(), ["m0"]);
}

/// Guards against a machine that leaves its wave since one list lacked it.
#[test]
fn machine_missing_from_one_list_served() {
    let mut rig = rig_with_wave(wave(&["m0", "m1"], 60, 1));
    let missing = rig.interface.machines.remove("m1").expect("the machine");
    while rig.interface.lists == 0 {
        rig.step();
    }
    rig.interface.machines.insert("m1".to_owned(), missing);
    assert_eq!(rig.finish(1, MINUTE), WaveStatus::Succeeded);
    assert!(rig.has_begun("m1", 1));
}

/// Guards against a busy machine that is asked without pause, and one that holds up the others.
#[test]
fn busy_machine_asked_again_with_growing_pauses() {
    let mut rig = rig_with_wave(wave(&["m0", "m1"], 60, 1));
    rig.interface.machines.get_mut("m0").expect("a machine").is_busy = true;
    rig.advance(seconds(30));
    let sent = rig.interface.sent.iter().filter(|(_, order)| order.machine == "m0");
    let times: Vec<Duration> = sent.map(|(at, _)| *at).collect();
    // The other machine has its turn in the first pause.
    let pauses: Vec<Duration> = times.windows(2).skip(1).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses.len() >= 2 && pauses.len() <= 5, "{pauses:?}");
    assert!(pauses.is_sorted() && pauses[1] >= seconds(4), "{pauses:?}");
    assert!(rig.has_begun("m1", 1));
    rig.interface.machines.get_mut("m0").expect("a machine").is_busy = false;
    assert_eq!(rig.finish(1, MINUTE), WaveStatus::Succeeded);
}

/// Guards against a machine that is asked again although it can't be served in the wave, and against success without it.
#[test]
fn refused_machine_dropped() {
    let mut rig = rig_with_wave(wave(&["m0", "m1"], 60, 1));
    rig.fate = Box::new(|call| match call {
        UpkeepCall::Begin(order) if order.machine == "m0" => Fate::Refused(ControlError::Wave),
        _ => Fate::Answered,
    });
    let status = rig.finish(1, MINUTE);
    assert_eq!(status, WaveStatus::Failed("refused for the machine m0".to_owned()));
    assert_eq!(rig.sent_machines(), ["m0", "m1"]);
}

/// Guards against more calls than the interface takes.
#[test]
fn calls_at_most_five_a_second() {
    let names: Vec<String> = (0..40).map(|index| format!("m{index:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut rig = UpkeepRig::new(&names);
    rig.waves.insert(1, wave(&names, 60, 40));
    rig.finish(1, MINUTE);
    for pair in rig.interface.calls.windows(6) {
        assert!(pair[5] - pair[0] >= seconds(1), "{pair:?}");
    }
}

/// Guards against calls that keep an interface over its limit.
#[test]
fn too_many_calls_back_off() {
    let mut rig = rig_with_wave(wave(&NAMES, 300, 4));
    rig.fate = Box::new(|_| Fate::Refused(ControlError::TooManyCalls));
    rig.advance(MINUTE);
    let calls = rig.interface.calls.len();
    assert!((10..=20).contains(&calls), "{calls} calls");
    rig.fate = Box::new(|_| Fate::Answered);
    assert_eq!(rig.finish(1, MINUTE), WaveStatus::Succeeded);
}

/// Guards against a machine that goes down under work that was about to end.
#[test]
fn run_that_ends_in_time_left_to_end() {
    let mut rig = rig_with_wave(wave(&["m0"], 60, 1));
    rig.put_load("m0", busy_for(Some(seconds(10))));
    rig.advance(seconds(15));
    assert!(rig.last.closed.contains("i-m0") && rig.last.stopping.is_empty());
    assert!(rig.interface.sent.is_empty());
    rig.load.workers.clear();
    rig.advance(seconds(2));
    assert_eq!(rig.sent_machines(), ["m0"]);
    assert!(rig.last.closed.contains("i-m0"), "it gets nothing until it is up again");
    rig.advance(seconds(5));
    assert!(rig.last.closed.is_empty());
}

/// Guards against work that is stopped earlier than the wave needs, and against a wave that is late for it.
#[rstest]
#[case::one_machine(&NAMES[..1], 1)]
#[case::two_turns(&NAMES, 2)]
#[case::four_turns(&NAMES, 1)]
fn endless_run_stopped_as_late_as_possible(#[case] names: &[&str], #[case] max_count: u32) {
    let mut rig = rig_with_wave(wave(names, 60, max_count));
    names.iter().for_each(|name| rig.put_load(name, busy_for(None)));
    while rig.last.stopping.is_empty() {
        rig.step();
        assert!(rig.interface.sent.is_empty(), "ordered before it was stopped");
    }
    let turns = names.len().div_ceil(max_count as usize) as u64;
    let latest = 60 - turns * 7 / 2;
    assert!(rig.now + seconds(3) >= seconds(latest) && rig.now <= seconds(latest), "{:?}", rig.now);
    let stopped_at = rig.now;
    while rig.interface.sent.is_empty() {
        rig.step();
    }
    assert!(rig.now - stopped_at >= seconds(1), "no time to save a checkpoint");
    while !names.iter().all(|name| rig.has_begun(name, 1)) {
        rig.step();
    }
    assert!(rig.now + MAINTENANCE <= seconds(60), "late: {:?}", rig.now);
}

/// Guards against a machine that stands half empty for the whole of a long wave.
#[test]
fn machine_with_endless_run_closed_late() {
    let mut rig = rig_with_wave(wave(&["m0"], 300, 1));
    rig.put_load("m0", busy_for(None));
    rig.advance(seconds(250));
    assert!(rig.last.closed.is_empty());
    rig.advance(seconds(40));
    assert!(rig.last.closed.contains("i-m0"));
}

/// Guards against a wave that is never worked on since its time is over.
#[test]
fn wave_without_time_served_at_once() {
    let mut rig = rig_with_wave(wave(&NAMES, 0, 2));
    NAMES.iter().for_each(|name| rig.put_load(name, busy_for(None)));
    assert_eq!(rig.finish(1, seconds(20)), WaveStatus::Succeeded);
}

/// Guards against machines that are all closed although only a few are next in turn.
#[test]
fn only_machines_next_in_turn_closed() {
    let mut rig = rig_with_wave(wave(&NAMES, 60, 1));
    NAMES.iter().for_each(|name| rig.put_load(name, busy_for(Some(seconds(5)))));
    rig.advance(seconds(10));
    assert_eq!(rig.last.closed.len(), 1);
}

fn member_of_step(running: u32) -> WorkerLoad {
    let step = ("job".to_owned(), 0, 0);
    WorkerLoad { runs: running, until_idle: None, limited: BTreeMap::from([(step, running)]) }
}

fn rig_with_step(optional: u32) -> UpkeepRig {
    let mut rig = rig_with_wave(wave(&["m0", "m1"], 0, 2));
    rig.put_load("m0", member_of_step(1));
    rig.put_load("m1", member_of_step(1));
    rig.load.steps.insert(("job".to_owned(), 0, 0), StepBudget { optional, away: 0 });
    rig
}

/// Guards against maintenance that takes away more tasks of a step at once than its caller can spare, also when the wave
/// is late.
#[rstest]
#[case::none_may_be_away(0, 0)]
#[case::one_may_be_away(1, 1)]
#[case::both_may_be_away(2, 2)]
fn step_keeps_tasks_it_needs(#[case] optional: u32, #[case] stopped: usize) {
    let mut rig = rig_with_step(optional);
    let mut most = 0;
    while rig.now < seconds(7) {
        rig.step();
        most = most.max(rig.last.stopping.len());
    }
    assert_eq!(most, stopped);
    assert!(rig.interface.sent.len() <= stopped);
}

/// Guards against a budget that counts only what waves take away, and not tasks that are away already.
#[test]
fn task_that_is_away_uses_budget() {
    let mut rig = rig_with_step(1);
    rig.load.steps.insert(("job".to_owned(), 0, 0), StepBudget { optional: 1, away: 1 });
    rig.advance(seconds(20));
    assert!(rig.interface.sent.is_empty());
    assert!(rig.last.stopping.is_empty());
}
