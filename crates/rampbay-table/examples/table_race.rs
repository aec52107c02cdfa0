//! Two operators edit the same row at once; the log's order decides.
//!
//! `cargo run -p rampbay-table --example table_race`
//!
//! What to look for: the second edit is void and names who was first; an edit that is appended
//! twice is applied once; an edit of another row isn't affected.

use rampbay_core::knobs::Knobs;
use rampbay_table::{
    record::{Edit, Record},
    state::TableState,
};

fn main() {
    let edit = |id: &str, by: &str, row: &str, weight| {
        Record::Edit(Edit::new(id, by).set(row, 0, Knobs::default().weight(weight))).encode()
    };
    let ama = edit("e1", "ama", "forecasts", 200);
    let kofi = edit("e2", "kofi", "forecasts", 300);
    let urs = edit("e3", "urs", "trials", 50);
    let log = [ama.clone(), kofi, ama, urs];
    let mut table = TableState::default();
    for (offset, record) in (0..).zip(&log) {
        table.apply(offset, record);
    }
    for row in table.history() {
        let fate = row.void.as_deref().unwrap_or("in force");
        println!("offset {} {} by {}: {fate}", row.offset, row.edit, row.by);
    }
    println!(
        "version {}, weight of forecasts {}",
        table.version(),
        table.knobs("forecasts").expect("row").weight
    );
}
