//! Outlooks of a small fleet.

use std::collections::BTreeMap;

use rampbay_jobs::job::Resources;
use rampbay_jobs::outlook::room::{HORIZONS_MS, Slots};
use rampbay_jobs::outlook::{Outlook, PriorityOutlook, ServiceOutlook, WorkerShape};

/// Six workers of 8 accelerators, three in each of two racks, with room for everything from a time on.
pub fn outlook(room_from_ms: u64) -> Outlook {
    let shape = WorkerShape {
        capacity: Resources { cpu_milli: 128_000, memory_mb: 262_144, devices: 8 },
        labels: vec!["a".to_owned()],
        racks: BTreeMap::from([("r0".to_owned(), 3), ("r1".to_owned(), 3)]),
    };
    let priorities = (0..3).map(|priority| PriorityOutlook {
        priority,
        mean_ms: 5_000,
        late_permille: 1_500,
        expected: room_from(room_from_ms),
        early: room_from(room_from_ms),
    });
    let service = ServiceOutlook {
        service: "service".to_owned(),
        shapes: vec![shape],
        priorities: priorities.collect(),
    };
    Outlook { epoch: 7, number: 1, at: 1_000, guaranteed: Vec::new(), services: vec![service] }
}

/// Room for all tasks that fit six workers, from a time on.
pub fn room_from(ms: u64) -> Vec<Slots> {
    let slots = |at: &u64| if *at >= ms { [48, 24, 12, 6] } else { [0; 4] };
    HORIZONS_MS.iter().map(slots).collect()
}
