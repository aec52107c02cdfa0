//! Prints the load of a fleet on its store and between its processes, by size.

use std::time::Duration;

use argh::FromArgs;
use comfy_table::Table;
use rampbay_scale::fleet::Fleet;
use rampbay_scale::load::Purpose;
use rampbay_scale::machine::Size;
use rampbay_scale::time;
use tokio::time::sleep;

/// Prints the calls of fleets of several sizes to the store and between processes while they are idle, and the effects
/// of changes and restarts.
#[derive(FromArgs)]
struct Arguments {
    /// numbers of machines (default: 50 200 983)
    #[argh(positional)]
    machines: Vec<usize>,
}

/// Time after which a fleet has settled.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Time for which an idle fleet is measured.
const MEASURED_TIME: Duration = Duration::from_secs(10);
/// Size of a configuration, in bytes.
const CONFIGURATION_BYTES: usize = 16_000;

struct Column {
    size: Size,
    rows: Vec<(String, String)>,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    let machines =
        if arguments.machines.is_empty() { vec![50, 200, 983] } else { arguments.machines };
    let columns: Vec<Column> = machines.into_iter().map(column).collect();
    let mut table = Table::new();
    let head = columns.iter().map(|column| column.size.machines().to_string());
    table.set_header(std::iter::once("machines".to_owned()).chain(head));
    let rows = columns.first().map_or(0, |column| column.rows.len());
    for row in 0..rows {
        let name = columns[0].rows[row].0.clone();
        let values = columns.iter().map(|column| column.rows[row].1.clone());
        table.add_row(std::iter::once(name).chain(values));
    }
    println!("{table}");
}

fn column(machines: usize) -> Column {
    let size = Size::of(machines);
    let mut rows = Vec::new();
    time::run(async {
        let fleet = Fleet::start(size).await;
        measure_start(&fleet, &mut rows).await;
        measure_idle(&fleet, &mut rows).await;
        measure_change(&fleet, &mut rows).await;
        let mut fleet = fleet;
        measure_restart(&mut fleet, Share::Half, &mut rows).await;
        measure_restart(&mut fleet, Share::All, &mut rows).await;
    });
    Column { size, rows }
}

async fn measure_start(fleet: &Fleet, rows: &mut Vec<(String, String)>) {
    let known = fleet.wait_until(SETTLE_TIME, Fleet::knows_workers).await;
    let known = known.map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string());
    rows.push(("start: all workers known, ms".to_owned(), known));
    sleep(SETTLE_TIME).await;
    let counts = fleet.load.take();
    rows.push(("start: leadership dealt".to_owned(), fleet.store.generation().to_string()));
    rows.push(("start: calls to the store".to_owned(), counts.calls().to_string()));
    rows.push(("start: kB of the store".to_owned(), (counts.store_bytes() / 1000).to_string()));
    let passed = (counts.peer_bytes() / 1000).to_string();
    rows.push(("start: kB between processes".to_owned(), passed));
}

async fn measure_idle(fleet: &Fleet, rows: &mut Vec<(String, String)>) {
    fleet.load.take();
    sleep(MEASURED_TIME).await;
    let counts = fleet.load.take();
    let seconds = MEASURED_TIME.as_secs_f64();
    let rate = |count: u64| format!("{:.1}", count as f64 / seconds);
    for purpose in Purpose::ALL {
        let name = format!("idle: calls a second, {}", purpose.label());
        rows.push((name, rate(counts.calls_for(purpose))));
    }
    rows.push(("idle: calls a second".to_owned(), rate(counts.calls())));
    rows.push(("idle: kB a second of the store".to_owned(), rate(counts.store_bytes() / 1000)));
    let busiest = counts.busiest_by_calls();
    rows.push(("idle: calls a second, busiest peer".to_owned(), rate(busiest.calls)));
    rows.push((
        "idle: kB a second, widest peer".to_owned(),
        rate(counts.busiest_by_bytes().bytes / 1000),
    ));
}

async fn measure_change(fleet: &Fleet, rows: &mut Vec<(String, String)>) {
    let mut longest = Duration::ZERO;
    for version in 1..=5 {
        fleet.publish(version, CONFIGURATION_BYTES);
        let spread = fleet.wait_until(SETTLE_TIME, |fleet| fleet.has_configuration(version)).await;
        longest = longest.max(spread.unwrap_or(SETTLE_TIME));
        sleep(Duration::from_millis(1700)).await;
    }
    rows.push(("configuration everywhere, ms".to_owned(), longest.as_millis().to_string()));
    let mut oldest = Duration::ZERO;
    let mut oldest_table_age = Duration::ZERO;
    for _ in 0..100 {
        oldest = oldest.max(fleet.oldest_orders_age());
        oldest_table_age = oldest_table_age.max(fleet.oldest_table_age());
        sleep(Duration::from_millis(37)).await;
    }
    rows.push(("oldest view of the orders, ms".to_owned(), oldest.as_millis().to_string()));
    rows.push((
        "oldest view of the state, ms".to_owned(),
        oldest_table_age.as_millis().to_string(),
    ));
}

/// Part of a fleet that is killed at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Share {
    Half,
    All,
}

/// Time until killed processes start again.
const DOWNTIME: Duration = Duration::from_secs(2);

async fn measure_restart(fleet: &mut Fleet, share: Share, rows: &mut Vec<(String, String)>) {
    let name = if share == Share::Half { "half killed" } else { "all killed" };
    let leader = fleet.leader().map(|leader| leader.name.clone()).unwrap_or_default();
    let is_odd = |name: &str| name.bytes().last().is_some_and(|last| last % 2 == 1);
    fleet.kill(|process| share == Share::All || process.name == leader || is_odd(&process.name));
    sleep(DOWNTIME).await;
    fleet.load.take();
    let assignments = fleet.store.generation();
    fleet.restart().await;
    let millis = |time: Option<Duration>| {
        time.map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string())
    };
    fleet.submit(&format!("{:016}", share as u32), 4, 1).await;
    let started = fleet.wait_until(SETTLE_TIME, |fleet| fleet.running() > 0).await;
    rows.push((format!("{name}: first start after restart, ms"), millis(started)));
    let current =
        fleet.wait_until(SETTLE_TIME, |fleet| fleet.oldest_table_age() < SETTLE_TIME).await;
    rows.push((format!("{name}: all know the state, ms more"), millis(current)));
    sleep(SETTLE_TIME).await;
    let counts = fleet.load.take();
    let assignments = fleet.store.generation() - assignments;
    rows.push((format!("{name}: leadership dealt"), assignments.to_string()));
    rows.push((format!("{name}: calls to the store"), counts.calls().to_string()));
    rows.push((format!("{name}: kB of the store"), (counts.store_bytes() / 1000).to_string()));
}
