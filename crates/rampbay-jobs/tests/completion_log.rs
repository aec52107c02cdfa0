//! The log line on the error of an estimate.

mod support;

use std::sync::Mutex;
use std::time::Duration;

use rampbay_jobs::record::EndReason;
use support::planner::{PlannerRig, gang, progress};
use support::{job, run_in_virtual_time, step, task};
use tokio::time::sleep;

const GANG: &str = "00000000000000aa";
const SINGLE: &str = "00000000000000bb";
const LESS_URGENT: &str = "00000000000000cc";

/// Keeps the lines of one event.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = record.args().to_string();
        if line.starts_with("event=J190 ") {
            self.0.lock().expect("no test has panicked").push(line);
        }
    }

    fn flush(&self) {}
}

/// Guards against lines for each member of a gang or for work that isn't urgent, of which a large fleet would write
/// hundreds a second.
#[test]
fn estimate_logged_once_for_each_urgent_unit() {
    log::set_logger(&LINES).expect("the only logger");
    log::set_max_level(log::LevelFilter::Info);
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(3);
        rig.submit(job(GANG, 0, gang(2, 8)));
        rig.submit(job(SINGLE, 0, step(1, 4)));
        rig.submit(job(LESS_URGENT, 1, step(1, 4)));
        rig.plan();
        for second in 1..=4_u32 {
            sleep(Duration::from_secs(1)).await;
            let instance = rig.instance_of(&task(GANG, 0));
            let run = progress(GANG, 0, second * 20, u64::from(second) * 1_000);
            rig.report(&instance, vec![run]);
        }
        sleep(Duration::from_secs(2)).await;
        let ended = [(GANG, 0), (GANG, 1), (SINGLE, 0), (LESS_URGENT, 0)];
        ended.iter().for_each(|(job, index)| rig.end(&task(job, *index), EndReason::Done));
        rig.plan();
    });
    let lines = LINES.0.lock().expect("no test has panicked");
    let fields = |line: &String| {
        let fields = line.split(' ').filter(|field| field.contains('='));
        let is_range =
            |field: &&str| field.starts_with("early_ms=") || field.starts_with("late_ms=");
        fields.filter(|field| !is_range(field)).collect::<Vec<&str>>().join(" ")
    };
    let found: Vec<String> = lines.iter().map(fields).collect();
    let expected = [
        "event=J190 task=00000000000000aa.0.0.0 attempt=1 members=2 actual_ms=6000 forecast_ms=5000 rate_ms=5000",
        "event=J190 task=00000000000000bb.0.0.0 attempt=1 members=1 actual_ms=6000 forecast_ms=5000 rate_ms=-1",
    ];
    assert_eq!(found, expected);
}
