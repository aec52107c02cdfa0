//! What a round looks at as the fleet grows.
//!
//! A gang that others are stopped for was placed task by task, each time by a look at all workers: on 2,500 workers under load
//! that was two fifths of a round, and it grows with the fleet and with the width of gangs, which wide fleets bring.

mod support;

use rampbay_jobs::metrics::metrics;
use rampbay_jobs::record::TaskStatus;
use support::planner::{PlannerRig, gang};
use support::{job, on_virtual_time, step};

/// Accelerators of a worker.
const WHOLE_WORKER: u64 = 8;
/// How often a round may look at each worker: once for each kind of place that is tried, room by stops among them.
const MOST_LOOKS: u64 = 8;
const FILLING: &str = "00000000000000aa";
const URGENT: &str = "00000000000000bb";

/// Plans a round for an urgent gang of three quarters of the fleet's width, on a fleet that is full but for
/// what is kept for urgent work. Returns how often it looked at a
/// worker.
fn looks_for_wide_gang(workers: u32) -> u64 {
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
