//! Decisions for a generated fleet under load.

mod support;

use std::time::Duration;

use support::fleet::Fleet;
use support::run_in_virtual_time;

#[test]
fn decisions_for_loaded_fleet() {
    run_in_virtual_time(async {
        let mut fleet = Fleet::new(24, 1);
        fleet.advance(Duration::from_secs(14)).await;
        insta::assert_snapshot!(fleet.decisions.join("\n"));
    });
}
