//! What operators see of work that waits for its workspace's share: the line `J195` and the gauges.
//!
//! The logger and the metrics are those of the whole process, so one test checks them all.

mod support;

use std::sync::Mutex;
use std::time::Duration;

use rampbay_jobs::job::Submission;
use rampbay_jobs::metrics::{PlaceLabel, metrics};
use rampbay_jobs::planner::Placement;
use rampbay_jobs::record::EndReason;
use support::planner::PlannerRig;
use support::{job, run_in_virtual_time, step, task};

/// Keeps the lines of one event.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = record.args().to_string();
        if line.starts_with("event=J195 ") {
            self.0.lock().expect("no test has panicked").push(line);
        }
    }

    fn flush(&self) {}
}

fn take_lines() -> Vec<String> {
    std::mem::take(&mut *LINES.0.lock().expect("no test has panicked"))
}

fn submit(rig: &mut PlannerRig, workspace: &str, id: u32, devices: u64) -> String {
    let id = format!("{id:016x}");
    let submission = job(&id, 1, step(1, devices));
    let workspace = workspace.to_owned();
    rig.submit(Submission { workspace, submitted_at: rig.wall, ..submission });
    id
}

fn share(place: &'static str) -> f64 {
    metrics().workspace_share.get_or_create(&PlaceLabel { place }).get()
}

/// Guards against a line for each round or job of a burst, of which there are hundreds, and against a burst of which
/// operators see nothing. A burst by many workspaces is bounded too.
#[test]
fn workspace_behind_others_logged_once() {
    log::set_logger(&LINES).expect("the only logger");
    log::set_max_level(log::LevelFilter::Info);
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1).with_placement(Placement::ByCompletion);
        let first: Vec<String> =
            (0..40).map(|number| submit(&mut rig, "large", 0xa0 + number, 1)).collect();
        rig.plan();
        for _ in 0..4 {
            rig.advance(Duration::from_millis(500)).await;
            rig.plan();
        }
        assert_eq!(take_lines(), Vec::<String>::new(), "nobody else waits");
        assert_eq!(metrics().workspaces_behind.get(), 0);

        let single = submit(&mut rig, "small", 0xffff, 2);
        for _ in 0..4 {
            rig.advance(Duration::from_millis(500)).await;
            rig.plan();
        }
        let lines = take_lines();
        assert_eq!(lines.len(), 1, "{lines:?}");
        let expected = format!(
            "event=J195 workspace ordered by share workspace=\"large\" after=\"small\" priority=1 guaranteed=false job={} before_job={single} rank=3 workspace_rank=3 used_permille=1000 fair_permille=500",
            lines[0].split(" job=").nth(1).expect("a job").split(' ').next().expect("a job")
        );
        assert_eq!(lines[0], expected);
        assert_eq!(metrics().workspaces_behind.get(), 1);
        assert!((share("first") - 1.0).abs() < 1e-9, "{}", share("first"));
        assert!(share("second").abs() < 1e-9, "{}", share("second"));

        first.iter().take(2).for_each(|id| rig.end(&task(id, 0), EndReason::Done));
        rig.plan();
        assert_eq!(metrics().workspaces_behind.get(), 0, "the single job has started");
        rig.advance(Duration::from_secs(1)).await;
        submit(&mut rig, "small", 0x1_0000, 2);
        rig.plan();
        assert_eq!(take_lines(), Vec::<String>::new(), "logged a second ago");

        let mut rig = PlannerRig::of_workers(1).with_placement(Placement::ByCompletion);
        submit(&mut rig, "small", 0xffff, 8);
        for number in 0..60 {
            submit(&mut rig, &format!("large-{}", number % 20), 0xa0 + number, 1);
        }
        rig.plan();
        assert_eq!(take_lines().len(), 2, "of twenty workspaces");
    });
}
