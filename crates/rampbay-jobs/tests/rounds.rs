//! The number of workers that a round searches as the fleet grows.
//!
//! Guards against two kinds of searches that grow faster than the fleet. A gang that preempts others was placed
//! task by task, with a search of all workers for each task: on 2,500 workers under load this took two fifths of a
//! round, and it grows with the fleet and with the width of gangs, which is greater in larger fleets. And each gang
//! that fits nowhere was tried at all workers in every round, which costs the number of waiting gangs times the
//! fleet: each of 2,500 workers was searched some 100 times in a round.

mod support;

use std::sync::Mutex;

use rampbay_jobs::metrics::metrics;
use rampbay_jobs::plan::TaskStatus;
use support::planner::{PlannerRig, gang};
use support::{job, run_in_virtual_time, step};

/// Accelerators of a worker.
const WORKER_DEVICES: u64 = 8;
/// How often a round may search each worker: once for each kind of placement that is tried, including preemption.
const MAX_SEARCHES_PER_WORKER: u64 = 8;
const BACKGROUND: &str = "00000000000000aa";
const URGENT: &str = "00000000000000bb";

/// Searches are counted for the whole process, so only one test at a time counts them.
static COUNTING: Mutex<()> = Mutex::new(());

/// Plans a round for an urgent gang of three quarters of the fleet's width, on a fleet that is full except for the
/// workers reserved for urgent work. Returns how many workers it searched, counting each search.
fn searches_for_wide_gang(workers: u32) -> u64 {
    let _guard = COUNTING.lock().expect("no test has panicked");
    let mut searches = 0;
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(workers as usize);
        rig.guarantee(WORKER_DEVICES * u64::from(workers));
        rig.submit(job(BACKGROUND, 2, step(workers, WORKER_DEVICES)));
        rig.plan();
        rig.submit(job(URGENT, 0, gang(workers * 3 / 4, WORKER_DEVICES)));
        let before = metrics().workers_searched.get();
        let records = rig.round();
        searches = metrics().workers_searched.get() - before;
        records.iter().for_each(|record| rig.table.apply(record));
        let stopped =
            rig.statuses(BACKGROUND).iter().filter(|is| **is == TaskStatus::Stopping).count();
        assert!(stopped > workers as usize / 2, "{stopped} of {workers} were stopped");
    });
    searches
}

#[test]
fn searches_of_round_not_proportional_to_width_times_fleet() {
    for workers in [48, 192, 768] {
        let searches = searches_for_wide_gang(workers);
        println!("{workers} workers: {searches} searches");
        assert!(
            searches <= MAX_SEARCHES_PER_WORKER * u64::from(workers),
            "{searches} searches at {workers} workers"
        );
    }
}

/// Plans a round while gangs wait that fit nowhere. Returns how many workers it searched, counting each search.
fn searches_for_waiting_gangs(workers: u32, gangs: u32) -> u64 {
    let _guard = COUNTING.lock().expect("no test has panicked");
    let mut searches = 0;
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(workers as usize);
        rig.submit(job(BACKGROUND, 2, step(workers, WORKER_DEVICES)));
        rig.plan();
        for number in 0..gangs {
            let width = workers / 4 + number % 5;
            rig.submit(job(&format!("{:016x}", 0xb000 + number), 2, gang(width, WORKER_DEVICES)));
        }
        rig.plan();
        let before = metrics().workers_searched.get();
        assert_eq!(rig.round(), []);
        searches = metrics().workers_searched.get() - before;
    });
    searches
}

#[test]
fn searches_of_round_not_proportional_to_waiting_gangs_times_fleet() {
    let workers = 96;
    for gangs in [8, 32, 128] {
        let searches = searches_for_waiting_gangs(workers, gangs);
        println!("{gangs} gangs wait: {searches} searches");
        assert!(
            searches <= MAX_SEARCHES_PER_WORKER * u64::from(workers),
            "{searches} searches, {gangs} gangs wait"
        );
    }
}
