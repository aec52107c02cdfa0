//! The log lines on decisions that the estimate of completion changes.

mod support;

use std::sync::Mutex;
use std::time::Duration;

use rampbay_jobs::job::{Step, Submission};
use rampbay_jobs::planner::Placement;
use support::planner::{PlannerRig, gang};
use support::{job, run_in_virtual_time, step};

const BACKGROUND: &str = "00000000000000bb";
const URGENT: &str = "00000000000000aa";
const WORKERS: usize = 12;
/// Largest number of questions that a round asks the estimate.
const MAX_QUESTIONS: usize = 12;

/// Keeps the lines of one event.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = record.args().to_string();
        if line.starts_with("event=J196 ") {
            self.0.lock().expect("no test has panicked").push(line);
        }
    }

    fn flush(&self) {}
}

fn take_lines() -> Vec<String> {
    std::mem::take(&mut *LINES.0.lock().expect("no test has panicked"))
}

/// Creates a rig that knows its errors. Runs of a late job that take `estimate_ms` fill some workers.
async fn busy_rig(in_use: u32, estimate_ms: u64) -> PlannerRig {
    let mut rig = PlannerRig::of_workers(WORKERS).with_placement(Placement::ByCompletion);
    rig.measure_speeds(&[8; WORKERS]).await;
    rig.submit(Submission {
        queue: "queue-background".to_owned(),
        stretch_permille: 1_000,
        target_ms: 0,
        submitted_at: rig.wall - 1_000,
        ..job(BACKGROUND, 2, Step { estimate_ms, ..step(in_use, 8) })
    });
    rig.plan();
    rig
}

/// Guards against a line in each round for a step that waits, of which a large fleet would write hundreds a second, and
/// against rounds that ask the estimate for each of hundreds of steps.
#[test]
fn changed_decision_logged_once_and_questions_bounded() {
    log::set_logger(&LINES).expect("the only logger");
    log::set_max_level(log::LevelFilter::Info);
    run_in_virtual_time(async {
        let mut rig = busy_rig(WORKERS as u32, 1_500).await;
        let urgent = job(URGENT, 0, Step { estimate_ms: 2_000, ..gang(2, 8) });
        rig.submit(Submission { target_ms: 0, submitted_at: rig.wall, ..urgent });
        for _ in 0..3 {
            rig.plan();
            rig.advance(Duration::from_millis(500)).await;
        }
        let lines = take_lines();
        let first = "event=J196 estimate changes decision job=00000000000000aa occurrence=0 step=0 reason=room_in_time tasks=2 waited_ms=0 left_ms=4000 start_ms=1499 end_ms=3498 ";
        assert_eq!(lines.iter().filter(|line| line.starts_with(first)).count(), 1, "{lines:?}");
        let of_reason = lines.iter().filter(|line| line.contains("reason=room_in_time"));
        assert_eq!(of_reason.count(), 1, "{lines:?}");

        let mut rig = busy_rig(WORKERS as u32 - 2, 60_000).await;
        for number in 0..2 * MAX_QUESTIONS {
            let id = format!("{:016x}", 0xd000 + number);
            rig.submit(Submission {
                target_ms: 15_000,
                submitted_at: rig.wall,
                ..job(&id, 1, step(1, 8))
            });
        }
        let _ = rig.round();
        assert_eq!(take_lines().len(), MAX_QUESTIONS);
    });
}
