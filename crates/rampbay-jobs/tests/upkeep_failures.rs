//! Waves of machine maintenance while the store, the interface or the leader fails.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::upkeep::control::ControlError;
use rampbay_jobs::upkeep::decision::UpkeepCall;
use rampbay_jobs::upkeep::record::Turn;
use rampbay_jobs::upkeep::wave::WaveStatus;
use rstest::rstest;

use support::upkeep::{Fate, UpkeepRig, wave};

const MINUTE: Duration = Duration::from_secs(60);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Gives the first order a fate; all other calls are answered.
fn first_order(fate: Fate) -> Box<dyn FnMut(&UpkeepCall) -> Fate> {
    let mut first = Some(fate);
    Box::new(move |call| match call {
        UpkeepCall::List => Fate::Answered,
        UpkeepCall::Begin(_) => first.take().unwrap_or(Fate::Answered),
    })
}

fn rig(machines: &[&str], max_count: u32) -> UpkeepRig {
    let mut rig = UpkeepRig::new(machines);
    rig.waves.insert(1, wave(machines, 120, max_count));
    rig
}

fn until_first_order(rig: &mut UpkeepRig) {
    while rig.interface.sent.is_empty() {
        rig.step();
    }
}

/// Guards against calls of a process that may not lead any more.
#[test]
fn nothing_called_while_store_silent() {
    let mut rig = rig(&["m0", "m1", "m2"], 1);
    until_first_order(&mut rig);
    rig.store_down_since = Some(rig.now);
    rig.advance(seconds(1));
    let calls = rig.interface.calls.len();
    rig.advance(seconds(30));
    assert_eq!(rig.interface.calls.len(), calls);
    rig.store_down_since = None;
    assert_eq!(rig.finish(1, MINUTE), WaveStatus::Succeeded);
}

/// Guards against a machine that is ordered while its order isn't kept.
#[test]
fn nothing_ordered_while_store_takes_no_records() {
    let mut rig = rig(&["m0"], 1);
    rig.advance(seconds(3));
    rig.store_down_since = Some(rig.now);
    rig.advance(MINUTE);
    assert!(rig.interface.sent.is_empty());
}

/// Guards against an order that is repeated although it was carried out, against a second machine while the first may be
/// down, and against one that is given up.
#[rstest]
#[case::carried_out(Fate::AnswerLost, 1)]
#[case::lost(Fate::Lost, 2)]
#[case::carried_out_late(Fate::Late(Duration::from_millis(800)), 2)]
#[case::not_sent(Fate::Refused(ControlError::NotSent), 2)]
#[case::too_many_calls(Fate::Refused(ControlError::TooManyCalls), 2)]
fn unanswered_order_resolved(#[case] fate: Fate, #[case] sent_for_first: usize) {
    let mut rig = rig(&["m0", "m1"], 1);
    rig.fate = first_order(fate);
    until_first_order(&mut rig);
    while !rig.told.contains(&(1, WaveStatus::Succeeded)) {
        rig.step();
        assert!(rig.interface.down(1) <= 1);
        assert!(rig.now < MINUTE * 2);
    }
    let of_first = rig.sent_machines().iter().filter(|name| **name == "m0").count();
    assert_eq!(of_first, sent_for_first);
}

/// Guards against a repetition before the list has shown what became of the order.
#[test]
fn unanswered_order_not_repeated_while_list_unknown() {
    let mut rig = rig(&["m0"], 1);
    let first = Cell::new(true);
    rig.fate = Box::new(move |call| match call {
        UpkeepCall::Begin(_) => Fate::Lost,
        UpkeepCall::List if first.take() => Fate::Answered,
        UpkeepCall::List => Fate::Refused(ControlError::NoAnswer),
    });
    rig.advance(MINUTE);
    assert_eq!(rig.interface.sent.len(), 1);
}

/// Guards against calls at full rate while the interface is down, and against a wave that doesn't go on when it is back.
#[rstest]
#[case::refuses_connections(ControlError::NotSent)]
#[case::slow(ControlError::NoAnswer)]
#[case::over_its_limit(ControlError::TooManyCalls)]
fn interface_down_asked_seldom(#[case] error: ControlError) {
    let mut rig = rig(&["m0", "m1"], 1);
    rig.fate = Box::new(move |_| Fate::Refused(error));
    rig.advance(MINUTE);
    assert!(rig.interface.calls.len() <= 20, "{} calls", rig.interface.calls.len());
    rig.fate = Box::new(|_| Fate::Answered);
    assert_eq!(rig.finish(1, seconds(40)), WaveStatus::Succeeded);
}

/// Guards against a leader that repeats its predecessor's order although the maintenance shows, or doesn't repeat it
/// although it doesn't.
#[rstest]
#[case::carried_out(Fate::AnswerLost)]
#[case::lost(Fate::Lost)]
#[case::answered(Fate::Answered)]
#[case::late(Fate::Late(Duration::from_secs(3)))]
fn leader_lost_between_order_and_answer(#[case] fate: Fate) {
    let mut rig = rig(&["m0", "m1"], 1);
    rig.fate = first_order(fate);
    until_first_order(&mut rig);
    rig.change_leader();
    while !rig.told.contains(&(1, WaveStatus::Succeeded)) {
        rig.step();
        assert!(rig.interface.down(1) <= 1);
        assert!(rig.now < MINUTE * 2);
    }
    assert!(rig.has_begun("m0", 1) && rig.has_begun("m1", 1));
    let tokens: Vec<u64> = rig.interface.sent.iter().map(|(_, order)| order.token).collect();
    assert!(tokens.is_sorted(), "{tokens:?}");
}

/// Guards against a predecessor's order that is given up after a refusal, and carried out after that.
#[test]
fn late_order_of_predecessor_holds_its_place() {
    let mut rig = rig(&["m0", "m1", "m2", "m3", "m4", "m5"], 1);
    rig.fate = first_order(Fate::Late(seconds(11)));
    until_first_order(&mut rig);
    rig.change_leader();
    // The new leader's order is refused before it reaches the machine, so that the earlier one isn't fenced there.
    rig.fate = Box::new(|call| match call {
        UpkeepCall::Begin(order) if order.machine == "m0" => Fate::Refused(ControlError::Busy),
        _ => Fate::Answered,
    });
    while rig.now < MINUTE {
        rig.step();
        assert!(rig.interface.down(1) <= 1, "{:?}", rig.now);
    }
    assert!(rig.has_begun("m0", 1) && rig.has_begun("m1", 1));
}

/// Guards against a second machine that goes down since the list doesn't show the first one's maintenance yet.
#[test]
fn list_behind_answers_frees_no_place() {
    let mut rig = rig(&["m0", "m1", "m2"], 1);
    rig.interface.list_lag = Duration::from_millis(1500);
    while !rig.told.contains(&(1, WaveStatus::Succeeded)) {
        rig.step();
        assert!(rig.interface.down(1) <= 1, "{:?}", rig.now);
    }
}

/// Guards against a maintenance that is counted as begun by an order that was refused, since the machine is down for
/// another reason.
#[test]
fn refused_order_not_taken_for_begun() {
    let mut rig = rig(&["m0"], 1);
    let mut refusals = 4;
    rig.fate = Box::new(move |call| match call {
        UpkeepCall::Begin(_) if refusals > 0 => {
            refusals -= 1;
            Fate::Refused(ControlError::TooManyCalls)
        }
        _ => Fate::Answered,
    });
    until_first_order(&mut rig);
    let until = rig.now + seconds(10);
    rig.interface.machines.get_mut("m0").expect("a machine").down = Some((until, 99));
    assert_eq!(rig.finish(1, MINUTE), WaveStatus::Succeeded);
    assert!(rig.has_begun("m0", 1));
}

/// Guards against orders under a token that a machine has seen surpassed.
#[test]
fn fenced_order_not_repeated() {
    let mut rig = rig(&["m0"], 1);
    rig.interface.machines.get_mut("m0").expect("a machine").token = 1000;
    rig.advance(MINUTE);
    assert_eq!(rig.interface.sent.len(), 1);
    assert!(matches!(rig.turn(1, "m0"), Some(Turn::Ordered(_))));
}

/// Guards against a place that is held for good by a machine that is gone.
#[test]
fn machine_that_vanishes_under_order_frees_its_place() {
    let mut rig = rig(&["m0", "m1"], 1);
    let fails = Rc::new(Cell::new(true));
    let lost = Rc::clone(&fails);
    rig.fate = Box::new(move |call| match call {
        UpkeepCall::Begin(_) if lost.get() => Fate::Lost,
        _ => Fate::Answered,
    });
    until_first_order(&mut rig);
    rig.interface.machines.remove("m0");
    fails.set(false);
    assert_eq!(rig.finish(1, MINUTE), WaveStatus::Succeeded);
    assert!(rig.has_begun("m1", 1));
}

/// Guards against a wave that is forgotten, or goes on although it may have been withdrawn, before a new leader has read the
/// operators' topic.
#[test]
fn wave_waits_for_operators_topic() {
    let mut rig = rig(&["m0", "m1"], 1);
    until_first_order(&mut rig);
    rig.change_leader();
    rig.is_topic_unread = true;
    rig.advance(seconds(2));
    let calls = rig.interface.calls.len();
    rig.advance(seconds(20));
    assert_eq!(rig.interface.calls.len(), calls);
    rig.is_topic_unread = false;
    assert_eq!(rig.finish(1, MINUTE), WaveStatus::Succeeded);
}

/// Guards against a wave that isn't finished since its leaders change all the time.
#[test]
fn wave_goes_on_under_next_leader() {
    let mut rig = rig(&["m0", "m1", "m2"], 1);
    until_first_order(&mut rig);
    for _ in 0..3 {
        rig.change_leader();
        rig.advance(seconds(2));
    }
    assert_eq!(rig.finish(1, MINUTE), WaveStatus::Succeeded);
    assert!(["m0", "m1", "m2"].iter().all(|name| rig.has_begun(name, 1)));
}
