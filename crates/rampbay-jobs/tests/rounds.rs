//! What a round looks at as the fleet grows.
//!
//! A gang that others are stopped for was placed task by task, each time by a look at all workers: on 2,500 workers under load
//! that was two fifths of a round, and it grows with the fleet and with the width of gangs, which wide fleets bring. And
//! each gang that fits nowhere was tried at all workers, round after round: the number of gangs that wait times the fleet,
//! some 100 looks at each of 2,500 workers in a round.

mod support;

use std::sync::Mutex;

use rampbay_jobs::metrics::metrics;
use rampbay_jobs::plan::TaskStatus;
use support::planner::{PlannerRig, gang};
use support::{job, on_virtual_time, step};

/// Accelerators of a worker.
const WHOLE_WORKER: u64 = 8;
/// How often a round may look at each worker: once for each kind of place that is tried, room by stops among them.
const MOST_LOOKS: u64 = 8;
const FILLING: &str = "00000000000000aa";
const URGENT: &str = "00000000000000bb";

/// Looks are counted for the whole process: one test at a time counts them.
static COUNTING: Mutex<()> = Mutex::new(());

/// Plans a round for an urgent gang of three quarters of the fleet's width, on a fleet that is full but for
/// what is kept for urgent work. Returns how often it looked at a
/// worker.
fn looks_for_wide_gang(workers: u32) -> u64 {
    let _guard = COUNTING.lock().expect("no test has panicked");
    let mut looks = 0;
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(workers as usize);
        rig.guarantee(WHOLE_WORKER * u64::from(workers));
        rig.submit(job(FILLING, 2, step(workers, WHOLE_WORKER)));
        rig.plan();
        rig.submit(job(URGENT, 0, gang(workers * 3 / 4, WHOLE_WORKER)));
        let before = metrics().workers_searched.get();
        let records = rig.round();
        looks = metrics().workers_searched.get() - before;
        records.iter().for_each(|record| rig.table.apply(record));
        let stopped =
            rig.statuses(FILLING).iter().filter(|is| **is == TaskStatus::Stopping).count();
        assert!(stopped > workers as usize / 2, "{stopped} of {workers} were stopped");
    });
    looks
}

#[test]
fn looks_of_round_not_by_width_times_fleet() {
    for workers in [48, 192, 768] {
        let looks = looks_for_wide_gang(workers);
        println!("{workers} workers: {looks} looks");
        assert!(looks <= MOST_LOOKS * u64::from(workers), "{looks} looks at {workers} workers");
    }
}

/// Plans a round while gangs wait that fit nowhere. Returns how often it looked at a worker.
fn looks_for_waiting_gangs(workers: u32, gangs: u32) -> u64 {
    let _guard = COUNTING.lock().expect("no test has panicked");
    let mut looks = 0;
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(workers as usize);
        rig.submit(job(FILLING, 2, step(workers, WHOLE_WORKER)));
        rig.plan();
        for number in 0..gangs {
            let width = workers / 4 + number % 5;
            rig.submit(job(&format!("{:016x}", 0xb000 + number), 2, gang(width, WHOLE_WORKER)));
        }
        rig.plan();
        let before = metrics().workers_searched.get();
        assert_eq!(rig.round(), []);
        looks = metrics().workers_searched.get() - before;
    });
    looks
}

#[test]
fn looks_of_round_not_by_waiting_gangs_times_fleet() {
    let workers = 96;
    for gangs in [8, 32, 128] {
        let looks = looks_for_waiting_gangs(workers, gangs);
        println!("{gangs} gangs wait: {looks} looks");
        assert!(looks <= MOST_LOOKS * u64::from(workers), "{looks} looks, {gangs} gangs wait");
    }
}
